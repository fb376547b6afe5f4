package registry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// evacuated returns the data centres that the last catalog told of, and how many came.
func (t *seen) evacuated() (last []string, count int) {
	if n := len(t.whole); n > 0 {
		for _, dc := range t.whole[n-1].Evacuated.Sorted() {
			last = append(last, string(dc))
		}
	}
	return last, len(t.whole)
}

// Guards against an evacuation that no host hears of, or that is never taken back.
func TestEvacuationIsHeardAndTakenBack(t *testing.T) {
	c := qt.New(t)
	for _, deaf := range []bool{false, true} {
		s := newShelf()
		s.put("catalog", "3")
		_, t1 := join(c, s)
		until(c, t1, "a catalog", func() bool { return len(t1.whole) > 0 })
		s.set(func() { s.deaf = deaf })
		s.put("catalog/obihiro", "{}")
		until(c, t1, "the evacuation", func() bool { last, _ := t1.evacuated(); return len(last) == 1 })
		s.remove("catalog/obihiro")
		until(c, t1, "its end", func() bool { last, _ := t1.evacuated(); return len(last) == 0 })
		t1.get(func() {
			for n := range t1.whole[1:] {
				c.Check(t1.whole[n+1].Newer(t1.whole[n]), qt.IsTrue)
			}
		})
	}
}

// Guards against an evacuation that waits for a configuration which can't be read.
func TestUnreadableConfigurationHoldsUpNoEvacuation(t *testing.T) {
	c := qt.New(t)
	s := newShelf()
	s.put("catalog", "3")
	_, t1 := join(c, s)
	until(c, t1, "a catalog", func() bool { return len(t1.whole) > 0 })
	s.put("catalog", "rubbish")
	s.put("catalog/obihiro", "{}")
	until(c, t1, "the evacuation", func() bool { last, _ := t1.evacuated(); return len(last) == 1 })
	t1.get(func() { c.Check(t1.versions[len(t1.versions)-1], qt.Equals, t1.versions[0]) })
}

// Guards against a catalog that comes again and again although nothing has changed.
func TestCatalogIsHandedOnOnce(t *testing.T) {
	c := qt.New(t)
	s := newShelf()
	s.put("catalog", "3")
	_, t1 := join(c, s)
	until(c, t1, "a catalog", func() bool { return len(t1.whole) > 0 })
	time.Sleep(2 * time.Second)
	t1.get(func() { c.Check(t1.whole, qt.HasLen, 1) })
}
