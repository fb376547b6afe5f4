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

// newCutOffSim returns a simulation two seconds after a network partition that left
// only the reached instances reachable from this host. No instance has been promoted.
func newCutOffSim(reached ...fleet.Instance) *sim {
	s := newObservedSim()
	left := fleet.NewSet(reached...)
	for range 40 {
		s.now = s.now.Add(50 * time.Millisecond)
		for _, n := range instanceNames {
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

// A data centre is cut off. Reads of own writes have to go on where a reachable
// instance has them, and reads that accept an age where the data is recent enough.
// No write may run that can't be confirmed.
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
		// The instance that runs each request, empty while the request waits.
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
			s := newCutOffSim(tt.reached...)
			c.Check(chosenInstance(s, write), qt.Equals, tt.write, qt.Commentf("write"))
			c.Check(chosenInstance(s, own), qt.Equals, tt.own, qt.Commentf("read of own writes"))
			c.Check(chosenInstance(s, ahead), qt.Equals, tt.ahead, qt.Commentf("read of unreachable own writes"))
			c.Check(chosenInstance(s, young), qt.Equals, tt.young, qt.Commentf("read that accepts an age of 1 s"))
			c.Check(chosenInstance(s, old), qt.Equals, tt.old, qt.Commentf("read that accepts an age of 5 s"))
		})
	}
}

// chosenInstance returns the instance that runs the request now, empty if the request waits.
func chosenInstance(s *sim, f place.RequestInfo) fleet.Instance {
	c := s.choose(f)
	if c.Action != place.ActionRun {
		return ""
	}
	return c.Instance
}
