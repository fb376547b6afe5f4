package relay_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
)

// placeReasons returns the reasons logged for reads on the primary.
func (w *world) placeReasons() []string {
	var out []string
	for _, e := range w.events {
		if e.Kind == relay.EventPlace && e.Choice == "read the primary" {
			out = append(out, e.Reason)
		}
	}
	return out
}

// Guards against a stale read on a primary that can't be explained: the log near a change of primary
// didn't tell on which proof the read ran, nor which instances were asked for it.
func TestLogTellsTheProofOfAPrimarysRead(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.relay.AddRecord(promotionOfB)
	w.readOnce("rush", 20*time.Millisecond, true)
	c.Assert(w.placeReasons(), qt.DeepEquals, []string{"no other one by the promotion can't have taken effect yet"})

	w.events = nil
	w.advance(2*time.Second, false)
	w.open("rush", "key-1").do(statement.KindRead, "", "item")
	w.advance(100*time.Millisecond, false)
	c.Assert(w.placeReasons(), qt.DeepEquals, []string{"no other one by statuses of the same term c b"})

	w.events = nil
	for n, i := range w.instances {
		i.term = 2
		i.role = fleet.RoleReplica
		if n == "b" {
			i.role = fleet.RolePrimary
		}
	}
	w.relay.AddRecord(promotionOfB)
	w.advance(500*time.Millisecond, true)
	w.readOnce("rush", 20*time.Millisecond, true)
	c.Assert(slices.Contains(w.placeReasons(), "no other one by the registration"), qt.IsTrue)
}
