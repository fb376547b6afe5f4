package place_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/place"
	"skylarkdeal/core/session"
)

// cutOff returns a simulation two seconds after a cut that left this host with
// the given instances only. Nothing has been promoted.
func cutOff(reached ...fleet.Instance) *sim {
	s := settled()
	left := fleet.NewSet(reached...)
	for range 40 {
		s.now = s.now.Add(50 * time.Millisecond)
		for _, n := range names {
			s.group.StatusRequested(n, s.now)
			if left.Has(n) {
				r, f := fleet.RoleReplica, fleet.Instance("a")
				if n == "a" {
					r, f = fleet.RolePrimary, ""
				}
				s.group.StatusReceived(n, s.now, s.now, fleet.Status{Instance: n, Promised: 1, Role: r,
					Last: s.last(n), Follows: f})
			}
		}
	}
	return s
}

// A data centre is cut off in the middle of the day. Storage staff go on to see
// their own bookings where a reachable instance has them, and portal users what
// is young enough; nothing is booked that can't be confirmed.
func TestCutOffDataCentre(t *testing.T) {
	read := func(n session.Need) place.RequestInfo {
		return place.RequestInfo{Intent: exchange.IntentRead, Need: n}
	}
	own := read(session.Need{After: fleet.Some(fleet.LogPosition{Term: 1, Index: 1})})
	ahead := read(session.Need{After: fleet.Some(fleet.LogPosition{Term: 2, Index: 9})})
	young := read(session.Need{MaxAge: time.Second})
	old := read(session.Need{MaxAge: 5 * time.Second})
	write := place.RequestInfo{Intent: exchange.IntentWrite}
	tests := []struct {
		name    string
		reached []fleet.Instance
		// runs is where each request runs; empty while it waits.
		write, own, ahead, young, old fleet.Instance
	}{
		{name: "with the old primary", reached: []fleet.Instance{"a"}, own: "a", old: "a"},
		{name: "with one replica", reached: []fleet.Instance{"b"}, own: "b", old: "b"},
		{
			name: "with the primary and a replica", reached: []fleet.Instance{"a", "b"},
			write: "a", own: "b", young: "b", old: "b",
		},
		{name: "with two replicas", reached: []fleet.Instance{"b", "c"}, own: "b", old: "b"},
		{name: "with none"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := cutOff(tt.reached...)
			c.Check(runs(s, write), qt.Equals, tt.write, qt.Commentf("write"))
			c.Check(runs(s, own), qt.Equals, tt.own, qt.Commentf("read of own work"))
			c.Check(runs(s, ahead), qt.Equals, tt.ahead, qt.Commentf("read of own work that isn't here"))
			c.Check(runs(s, young), qt.Equals, tt.young, qt.Commentf("read of an age of 1 s"))
			c.Check(runs(s, old), qt.Equals, tt.old, qt.Commentf("read of an age of 5 s"))
		})
	}
}

func runs(s *sim, f place.RequestInfo) fleet.Instance {
	c := s.choose(f)
	if c.Action != place.ActionRun {
		return ""
	}
	return c.Instance
}
