package test_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The primary's data centre loses the other one and the store goes down: the
// primary reaches no replica, but the hosts beside it, and so their callers, go
// on reaching it. It takes their orders and must not acknowledge one that the
// new primary lacks. When the cut heals, the old primary's own entries are
// dropped, so an order acknowledged from them would be gone.
func TestPrimaryCutOffAcknowledgesNothingThatIsLost(t *testing.T) {
	f := startFleet(t, 4)
	g := f.addGroup(t, "primary-cut")
	w := g.write(f.hosts, 4)
	w.more(t, 40)
	old, term := g.primary(t)
	from := []string{"b", "c"}
	for _, h := range f.hosts {
		if h.centre == "sapporo" {
			from = append(from, h.name)
		}
	}
	f.storeFault(t, "down=true")
	g.fault(t, "kind=cut&instance=a&from="+strings.Join(from, ","))
	qt.Assert(t, string(old), qt.Equals, "a")
	eventually(t, func() error {
		if n, now := g.primary(t); now <= term {
			return fmt.Errorf("%s is still the primary; %s", n, w.summary())
		}
		return nil
	})
	w.more(t, 40)
	g.fault(t, "kind=cut&instance=a&clear=true")
	w.more(t, 40)
	f.storeFault(t, "down=false")
	all := w.end()
	t.Log(w.summary())
	judge(t, g.record(t, ""), all)
	// The record is the whole group's: every instance comes to the same log.
	want := g.record(t, "").Status.Last
	for _, s := range g.statuses(t) {
		eventually(t, func() error {
			if got := g.record(t, s.Instance).Status.Last; got != want {
				return fmt.Errorf("instance %s is at %s, the primary at %s", s.Instance, got, want)
			}
			return nil
		})
		judge(t, g.record(t, s.Instance), all)
	}
}
