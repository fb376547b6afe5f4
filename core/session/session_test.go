package session_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/document"
	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
	"skylarkdeal/core/session"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

func position(term fleet.Term, index fleet.LogIndex) fleet.LogPosition {
	return fleet.LogPosition{Term: term, Index: index}
}

// snapshot returns the state of a host that requested the status of a, the primary,
// and of b at the given times in ms. Each answer arrives 20 ms later. The log grows by
// one entry a millisecond.
func snapshot(requestTimes ...int) group.Snapshot {
	var g group.Group
	g.Configure(start, []document.Instance{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	var now time.Time
	for _, ms := range requestTimes {
		now = at(ms + 20)
		last := position(1, fleet.LogIndex(ms))
		g.StatusReceived("b", at(ms), now, fleet.Status{Instance: "b", Promised: 1, Role: fleet.RoleReplica, Last: last})
		g.StatusReceived("a", at(ms), now, fleet.Status{Instance: "a", Promised: 1, Role: fleet.RolePrimary, Last: last})
	}
	return g.Snapshot(now)
}

func ExampleMerge() {
	fmt.Println(session.Merge(position(2, 7), position(1, 90)), session.Merge(position(2, 7), position(2, 8)))
	// Output: 2.7 2.8
}

func TestSatisfied(t *testing.T) {
	replica, primary := fleet.RoleReplica, fleet.RolePrimary
	tests := []struct {
		name         string
		need         session.Need
		answer       session.Answer
		at           int
		requestTimes []int
		satisfied    bool
	}{
		{
			name: "token covered", need: session.Need{After: fleet.Some(position(1, 50))},
			answer: session.Answer{Position: position(1, 50), Role: replica}, satisfied: true,
		},
		{
			name: "token of a lagging replica", need: session.Need{After: fleet.Some(position(1, 50))},
			answer: session.Answer{Position: position(1, 49), Role: replica},
		},
		{
			name: "token of a later term, replaced primary", need: session.Need{After: fleet.Some(position(2, 3))},
			answer: session.Answer{Position: position(1, 90), Role: primary}, requestTimes: []int{10, 20},
		},
		{
			name: "no token, proof before the read", need: session.Need{Arrived: at(30)},
			answer: session.Answer{Position: position(1, 60), Role: replica}, requestTimes: []int{10, 25},
		},
		{
			name: "no token, proof after the read", need: session.Need{Arrived: at(30)},
			answer: session.Answer{Position: position(1, 40), Role: replica}, requestTimes: []int{10, 40}, satisfied: true,
		},
		{
			name: "no token, replica behind the proof", need: session.Need{Arrived: at(30)},
			answer: session.Answer{Position: position(1, 39), Role: replica}, requestTimes: []int{10, 40},
		},
		{
			name: "no token, answered by the primary ahead of the proof", need: session.Need{Arrived: at(30)},
			answer: session.Answer{Position: position(1, 35), Role: primary}, requestTimes: []int{40}, satisfied: true,
		},
		{
			name: "no token, primary not proven since", need: session.Need{Arrived: at(50)},
			answer: session.Answer{Position: position(1, 60), Role: primary}, requestTimes: []int{40},
		},
		{
			name: "age proven", need: session.Need{MaxAge: 100 * time.Millisecond, Arrived: at(90)}, at: 110,
			answer: session.Answer{Position: position(1, 10), Role: replica}, requestTimes: []int{10}, satisfied: true,
		},
		{
			// The status arrived at 30 ms, but its age counts from the request at 10 ms.
			name: "age counts from the status request", need: session.Need{MaxAge: 100 * time.Millisecond, Arrived: at(90)},
			at: 111, answer: session.Answer{Position: position(1, 10), Role: replica}, requestTimes: []int{10},
		},
		{
			name: "late answer of the primary", need: session.Need{MaxAge: 10 * time.Millisecond, Arrived: at(20)},
			at: 110, answer: session.Answer{Position: position(1, 20), Role: primary}, requestTimes: []int{109},
		},
		{
			name: "age and token", need: session.Need{
				After: fleet.Some(position(1, 11)), MaxAge: 100 * time.Millisecond, Arrived: at(90),
			}, at: 100, answer: session.Answer{Position: position(1, 10), Role: replica}, requestTimes: []int{10},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var g group.Snapshot
			if len(tt.requestTimes) > 0 {
				g = snapshot(tt.requestTimes...)
			}
			c.Assert(tt.need.Satisfied(tt.answer, at(tt.at), g), qt.Equals, tt.satisfied)
		})
	}
}

// A caller writes through one host and reads through another without a token. The
// log position in a group.Proof as of a time before the read's arrival may lack that write.
func TestResolveIgnoresProofBeforeArrival(t *testing.T) {
	c := qt.New(t)
	n := session.NeedOf(&exchange.Request{Intent: exchange.IntentRead}, at(30))
	c.Assert(n.Latest(), qt.IsTrue)
	c.Assert(n.Resolve(group.Proof{Position: position(1, 29), AsOf: at(29)}).Latest(), qt.IsTrue)
	n = n.Resolve(group.Proof{Position: position(1, 30), AsOf: at(30)})
	c.Assert(n.Latest(), qt.IsFalse)
	c.Assert(n.Satisfied(session.Answer{Position: position(1, 30), Role: fleet.RoleReplica}, at(40),
		group.Snapshot{}), qt.IsTrue)
	c.Assert(n.Satisfied(session.Answer{Position: position(1, 29), Role: fleet.RoleReplica}, at(40),
		group.Snapshot{}), qt.IsFalse)
	// The read reached the primary before the status request on which the proof is based.
	c.Assert(n.Satisfied(session.Answer{Position: position(1, 29), Role: fleet.RolePrimary}, at(40),
		group.Snapshot{}), qt.IsTrue)
}

func TestResolveKeepsStatedNeed(t *testing.T) {
	c := qt.New(t)
	q := &exchange.Request{After: fleet.Some(position(1, 5)), MaxAge: time.Second}
	n := session.NeedOf(q, at(0))
	c.Assert(n.Latest(), qt.IsFalse)
	after, ok := n.Resolve(group.Proof{Position: position(1, 9), AsOf: at(9)}).After.Get()
	c.Assert(ok, qt.IsTrue)
	c.Assert(after, qt.Equals, position(1, 5))
}
