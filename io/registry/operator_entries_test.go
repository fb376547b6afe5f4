package registry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// evacuated returns the evacuated data centres of the last catalog, and the number of
// reported ones.
func (t *callbackLog) evacuated() (last []string, count int) {
	if n := len(t.catalogList); n > 0 {
		for _, dc := range t.catalogList[n-1].Evacuated.Sorted() {
			last = append(last, string(dc))
		}
	}
	return last, len(t.catalogList)
}

// Guards against an evacuation that is never applied or never reverted, also if watches miss the
// changes.
func TestEvacuationIsAppliedAndReverted(t *testing.T) {
	c := qt.New(t)
	for _, deaf := range []bool{false, true} {
		s := newMemStore()
		s.put("catalog", "3")
		_, got := startRegistry(c, s)
		until(c, got, "a catalog", func() bool { return len(got.catalogList) > 0 })
		s.locked(func() { s.missChanges = deaf })
		s.put("catalog/obihiro", "{}")
		until(c, got, "the evacuation", func() bool { last, _ := got.evacuated(); return len(last) == 1 })
		s.remove("catalog/obihiro")
		until(c, got, "its end", func() bool { last, _ := got.evacuated(); return len(last) == 0 })
		got.locked(func() {
			for n := range got.catalogList[1:] {
				c.Check(got.catalogList[n+1].Newer(got.catalogList[n]), qt.IsTrue)
			}
		})
	}
}

// Guards against an evacuation that waits for a configuration that can't be parsed.
func TestInvalidConfigurationDelaysNoEvacuation(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	s.put("catalog", "3")
	_, got := startRegistry(c, s)
	until(c, got, "a catalog", func() bool { return len(got.catalogList) > 0 })
	s.put("catalog", "rubbish")
	s.put("catalog/obihiro", "{}")
	until(c, got, "the evacuation", func() bool { last, _ := got.evacuated(); return len(last) == 1 })
	got.locked(func() { c.Check(got.versions[len(got.versions)-1], qt.Equals, got.versions[0]) })
}

// Guards against a catalog that is reported again although nothing has changed.
func TestUnchangedCatalogIsReportedOnce(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	s.put("catalog", "3")
	_, got := startRegistry(c, s)
	until(c, got, "a catalog", func() bool { return len(got.catalogList) > 0 })
	time.Sleep(2 * time.Second)
	got.locked(func() { c.Check(got.catalogList, qt.HasLen, 1) })
}
