package group_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
)

func status(n fleet.Instance, promised fleet.Term, r fleet.Role, last fleet.LogPosition) fleet.Status {
	s := fleet.Status{Instance: n, Promised: promised, Role: r, Last: last}
	if r == fleet.RoleReplica {
		s.Follows = "a"
	}
	return s
}

func three() *group.Group {
	g := new(group.Group)
	g.Configure(start, []document.Instance{
		{Name: "a", Address: "127.0.0.1:1"}, {Name: "b", Address: "127.0.0.1:2"}, {Name: "c", Address: "127.0.0.1:3"},
	})
	for _, n := range []fleet.Instance{"a", "b", "c"} {
		r := fleet.RoleReplica
		if n == "a" {
			r = fleet.RolePrimary
		}
		g.StatusReceived(n, start, start, status(n, 1, r, fleet.LogPosition{Term: 1, Index: 5}))
	}
	return g
}

func later(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// Two answers of an instance cross. The older one, taken for the state of now,
// would take the group back to a primary that is no more.
func TestCrossedAnswersDontTurnBack(t *testing.T) {
	c := qt.New(t)
	g := three()
	g.StatusReceived("a", later(20), later(21), status("a", 2, fleet.RoleReplica, fleet.LogPosition{Term: 1, Index: 5}))
	g.StatusReceived("a", later(10), later(30), status("a", 1, fleet.RolePrimary, fleet.LogPosition{Term: 1, Index: 5}))
	c.Assert(g.Snapshot(later(30)).Primary, qt.Equals, fleet.Instance(""))
}

// An address that is wired to another instance would have that one's position
// counted twice, and a write held by one instance taken for replicated.
func TestAnswerOfAnotherInstanceIsNotCounted(t *testing.T) {
	c := qt.New(t)
	g := three()
	w := fleet.LogPosition{Term: 1, Index: 6}
	g.StatusReceived("a", later(1), later(2), status("a", 1, fleet.RolePrimary, w))
	g.StatusReceived("b", later(1), later(2), status("a", 1, fleet.RolePrimary, w))
	g.CommandAnswered("b", later(1), later(2), status("a", 1, fleet.RolePrimary, w))
	got := g.Snapshot(later(2)).Acknowledge(document.AcknowledgeReplicated, w, start)
	c.Assert(got, qt.Equals, group.VerdictWait)
}

// The primary is cut off and its last status still looks well, while a majority
// has promised a later term. A write sent to it would end as unknown.
func TestReplacedPrimaryIsNotNamed(t *testing.T) {
	c := qt.New(t)
	g := three()
	for _, n := range []fleet.Instance{"b", "c"} {
		g.StatusReceived(n, later(1), later(2), status(n, 2, fleet.RoleReplica, fleet.LogPosition{Term: 1, Index: 5}))
	}
	t2 := g.Snapshot(later(2))
	c.Assert(t2.Primary, qt.Equals, fleet.Instance(""))
	w := fleet.LogPosition{Term: 1, Index: 5}
	c.Assert(t2.Acknowledge(document.AcknowledgePrimary, w, start), qt.Equals, group.VerdictReplaced)
}

func TestRepairPointsWhoDoesNotFollow(t *testing.T) {
	c := qt.New(t)
	g := three()
	c.Assert(group.Repair(g.Snapshot(start)), qt.HasLen, 0)
	// b has been left out of the last promotion, c has promised to a proposer
	// whose promotion isn't over and would refuse.
	for _, n := range []fleet.Instance{"a"} {
		g.StatusReceived(n, later(1), later(2), status(n, 2, fleet.RolePrimary, fleet.LogPosition{Term: 2, Index: 6}))
	}
	g.StatusReceived("c", later(1), later(2), status("c", 3, fleet.RoleReplica, fleet.LogPosition{Term: 1, Index: 5}))
	c.Assert(group.Repair(g.Snapshot(later(2))), qt.DeepEquals, []group.Command{{
		Act: group.ActFollow, Instance: "b", Term: 2, Primary: "a", Address: "127.0.0.1:1",
	}})
}

// The answer to the order to promote is lost. The instance may be the primary
// by now, so nobody else may become it in the same term.
func TestLostPromotionIsNotTriedOnAnother(t *testing.T) {
	c := qt.New(t)
	g := three()
	p, orders := group.Promote(start, g.Snapshot(start), "h0/1/1", nil)
	var promote []group.Command
	for _, o := range orders {
		st := status(o.Instance, p.Term, fleet.RoleReplica, fleet.LogPosition{Term: 1, Index: 5})
		promote = append(promote, p.Done(later(1), o, st, nil)...)
	}
	c.Assert(promote, qt.HasLen, 1)
	c.Assert(p.Tick(later(3000)), qt.HasLen, 0)
	c.Assert(p.Phase, qt.Equals, group.PhaseFailed)
	c.Assert(p.Done(later(3001), promote[0], status("a", 2, fleet.RolePrimary, fleet.LogPosition{Term: 2, Index: 6}), nil),
		qt.HasLen, 0)
}

func TestHistoryStaysSmallAndNearlyExact(t *testing.T) {
	c := qt.New(t)
	var h group.History
	for ms := range 120_000 {
		h = h.Add(group.Proof{Position: fleet.LogPosition{Term: 1, Index: fleet.LogIndex(ms)}, AsOf: later(ms)})
	}
	c.Assert(len(h) < 80, qt.IsTrue, qt.Commentf("%d proofs", len(h)))
	now := later(120_000)
	for _, age := range []int{10, 100, 1000, 5000, 30_000} {
		got, ok := h.Age(fleet.LogPosition{Term: 1, Index: fleet.LogIndex(120_000 - age)}, now)
		want := time.Duration(age) * time.Millisecond
		c.Check(ok && got >= want && got <= want*3/2+10*time.Millisecond, qt.IsTrue, qt.Commentf("%v for %v", got, want))
	}
	_, ok := h.Age(fleet.LogPosition{Term: 1, Index: 1}, now)
	c.Assert(ok, qt.IsFalse)
}
