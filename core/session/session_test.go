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

func point(t fleet.Term, p fleet.LogIndex) fleet.LogPosition {
	return fleet.LogPosition{Term: t, Index: p}
}

// table returns what a host knows that has asked a, the primary, and b at the
// given times, each answered 20 ms later with the log growing by one entry a
// millisecond.
func table(asked ...int) group.Snapshot {
	var g group.Group
	g.Configure(start, []document.Instance{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	var now time.Time
	for _, ms := range asked {
		now = at(ms + 20)
		last := point(1, fleet.LogIndex(ms))
		g.StatusReceived("b", at(ms), now, fleet.Status{Instance: "b", Promised: 1, Role: fleet.RoleReplica, Last: last})
		g.StatusReceived("a", at(ms), now, fleet.Status{Instance: "a", Promised: 1, Role: fleet.RolePrimary, Last: last})
	}
	return g.Snapshot(now)
}

func ExampleMerge() {
	fmt.Println(session.Merge(point(2, 7), point(1, 90)), session.Merge(point(2, 7), point(2, 8)))
	// Output: 2.7 2.8
}

func TestSatisfied(t *testing.T) {
	replica, primary := fleet.RoleReplica, fleet.RolePrimary
	tests := []struct {
		name    string
		need    session.Need
		answer  session.Answer
		at      int
		asked   []int
		satisfy bool
	}{
		{
			name: "token covered", need: session.Need{After: fleet.Some(point(1, 50))},
			answer: session.Answer{Position: point(1, 50), Role: replica}, satisfy: true,
		},
		{
			name: "token of a lagging replica", need: session.Need{After: fleet.Some(point(1, 50))},
			answer: session.Answer{Position: point(1, 49), Role: replica},
		},
		{
			name: "token of a later term, replaced primary", need: session.Need{After: fleet.Some(point(2, 3))},
			answer: session.Answer{Position: point(1, 90), Role: primary}, asked: []int{10, 20},
		},
		{
			name: "no token, proof before the read", need: session.Need{Arrived: at(30)},
			answer: session.Answer{Position: point(1, 60), Role: replica}, asked: []int{10, 25},
		},
		{
			name: "no token, proof after the read", need: session.Need{Arrived: at(30)},
			answer: session.Answer{Position: point(1, 40), Role: replica}, asked: []int{10, 40}, satisfy: true,
		},
		{
			name: "no token, replica behind the proof", need: session.Need{Arrived: at(30)},
			answer: session.Answer{Position: point(1, 39), Role: replica}, asked: []int{10, 40},
		},
		{
			name: "no token, answered by the primary ahead of the proof", need: session.Need{Arrived: at(30)},
			answer: session.Answer{Position: point(1, 35), Role: primary}, asked: []int{40}, satisfy: true,
		},
		{
			name: "no token, primary not proven since", need: session.Need{Arrived: at(50)},
			answer: session.Answer{Position: point(1, 60), Role: primary}, asked: []int{40},
		},
		{
			name: "age proven", need: session.Need{MaxAge: 100 * time.Millisecond, Arrived: at(90)}, at: 110,
			answer: session.Answer{Position: point(1, 10), Role: replica}, asked: []int{10}, satisfy: true,
		},
		{
			// The answer to the question came in at 30 ms, but it is as old as the
			// question.
			name: "age counts from the question", need: session.Need{MaxAge: 100 * time.Millisecond, Arrived: at(90)},
			at: 111, answer: session.Answer{Position: point(1, 10), Role: replica}, asked: []int{10},
		},
		{
			name: "late answer of the primary", need: session.Need{MaxAge: 10 * time.Millisecond, Arrived: at(20)},
			at: 110, answer: session.Answer{Position: point(1, 20), Role: primary}, asked: []int{109},
		},
		{
			name: "age and token", need: session.Need{
				After: fleet.Some(point(1, 11)), MaxAge: 100 * time.Millisecond, Arrived: at(90),
			}, at: 100, answer: session.Answer{Position: point(1, 10), Role: replica}, asked: []int{10},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var g group.Snapshot
			if len(tt.asked) > 0 {
				g = table(tt.asked...)
			}
			c.Assert(tt.need.Satisfied(tt.answer, at(tt.at), g), qt.Equals, tt.satisfy)
		})
	}
}

// A caller writes through one host, roams to another and reads without a token.
// A point that was obtained before the read came in may lack its write.
func TestResolveTakesOnlyALaterProof(t *testing.T) {
	c := qt.New(t)
	n := session.Needs(&exchange.Request{Intent: exchange.IntentRead}, at(30))
	c.Assert(n.Latest(), qt.IsTrue)
	c.Assert(n.Resolve(group.Proof{Position: point(1, 29), AsOf: at(29)}).Latest(), qt.IsTrue)
	n = n.Resolve(group.Proof{Position: point(1, 30), AsOf: at(30)})
	c.Assert(n.Latest(), qt.IsFalse)
	c.Assert(n.Satisfied(session.Answer{Position: point(1, 30), Role: fleet.RoleReplica}, at(40),
		group.Snapshot{}), qt.IsTrue)
	c.Assert(n.Satisfied(session.Answer{Position: point(1, 29), Role: fleet.RoleReplica}, at(40),
		group.Snapshot{}), qt.IsFalse)
	// The read reached the primary before the question for the point did.
	c.Assert(n.Satisfied(session.Answer{Position: point(1, 29), Role: fleet.RolePrimary}, at(40),
		group.Snapshot{}), qt.IsTrue)
}

func TestNeedShownIsKept(t *testing.T) {
	c := qt.New(t)
	q := &exchange.Request{After: fleet.Some(point(1, 5)), MaxAge: time.Second}
	n := session.Needs(q, at(0))
	c.Assert(n.Latest(), qt.IsFalse)
	after, ok := n.Resolve(group.Proof{Position: point(1, 9), AsOf: at(9)}).After.Get()
	c.Assert(ok, qt.IsTrue)
	c.Assert(after, qt.Equals, point(1, 5))
}
