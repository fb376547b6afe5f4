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

func newGroup() *group.Group {
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

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// Two answers of an instance arrive in reverse order. If the older one replaced the
// newer, the group would have a primary again that has been replaced.
func TestOlderAnswerThatArrivesLaterIsIgnored(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	g.StatusReceived("a", at(20), at(21), status("a", 2, fleet.RoleReplica, fleet.LogPosition{Term: 1, Index: 5}))
	g.StatusReceived("a", at(10), at(30), status("a", 1, fleet.RolePrimary, fleet.LogPosition{Term: 1, Index: 5}))
	c.Assert(g.Snapshot(at(30)).Primary, qt.Equals, fleet.Instance(""))
}

// An address leads to another instance. If that instance's position were counted for
// both, a write that only one instance has would count as replicated.
func TestAnswerOfAnotherInstanceIsNotCounted(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	write := fleet.LogPosition{Term: 1, Index: 6}
	g.StatusReceived("a", at(1), at(2), status("a", 1, fleet.RolePrimary, write))
	g.StatusReceived("b", at(1), at(2), status("a", 1, fleet.RolePrimary, write))
	g.CommandAnswered("b", at(1), at(2), status("a", 1, fleet.RolePrimary, write))
	got := g.Snapshot(at(2)).Acknowledge(document.AcknowledgeReplicated, write, start)
	c.Assert(got, qt.Equals, group.VerdictWait)
}

// The primary is cut off and its last status is still that of a primary, but a
// majority has promised a later term. A write sent to it would end as unknown.
func TestReplacedPrimaryIsNotNamed(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	for _, n := range []fleet.Instance{"b", "c"} {
		g.StatusReceived(n, at(1), at(2), status(n, 2, fleet.RoleReplica, fleet.LogPosition{Term: 1, Index: 5}))
	}
	s := g.Snapshot(at(2))
	c.Assert(s.Primary, qt.Equals, fleet.Instance(""))
	write := fleet.LogPosition{Term: 1, Index: 5}
	c.Assert(s.Acknowledge(document.AcknowledgePrimary, write, start), qt.Equals, group.VerdictReplaced)
}

func TestRepairCommandsInstancesThatDoNotFollow(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	c.Assert(group.Repair(g.Snapshot(start)), qt.HasLen, 0)
	// The last promotion left b out. c has promised a later term to a proposer whose
	// promotion hasn't ended, and would refuse.
	for _, n := range []fleet.Instance{"a"} {
		g.StatusReceived(n, at(1), at(2), status(n, 2, fleet.RolePrimary, fleet.LogPosition{Term: 2, Index: 6}))
	}
	g.StatusReceived("c", at(1), at(2), status("c", 3, fleet.RoleReplica, fleet.LogPosition{Term: 1, Index: 5}))
	c.Assert(group.Repair(g.Snapshot(at(2))), qt.DeepEquals, []group.Command{{
		Act: group.ActFollow, Instance: "b", Term: 2, Primary: "a", Address: "127.0.0.1:1",
	}})
}

// The answer to a promote command is lost. The instance may be the primary by then, so
// no other instance may become the primary in the same term.
func TestPromotionWithLostAnswerIsNotTriedOnAnotherInstance(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	p, commands := group.Promote(start, g.Snapshot(start), "h0/1/1", nil)
	var promoteCommands []group.Command
	for _, command := range commands {
		st := status(command.Instance, p.Term, fleet.RoleReplica, fleet.LogPosition{Term: 1, Index: 5})
		promoteCommands = append(promoteCommands, p.HandleAnswer(at(1), command, st, nil)...)
	}
	c.Assert(promoteCommands, qt.HasLen, 1)
	c.Assert(p.Tick(at(3000)), qt.HasLen, 0)
	c.Assert(p.Phase, qt.Equals, group.PhaseFailed)
	c.Assert(p.HandleAnswer(at(3001), promoteCommands[0],
		status("a", 2, fleet.RolePrimary, fleet.LogPosition{Term: 2, Index: 6}), nil), qt.HasLen, 0)
}

func TestHistoryStaysSmallAndNearlyExact(t *testing.T) {
	c := qt.New(t)
	var h group.History
	for ms := range 120_000 {
		h = h.Add(group.Proof{Position: fleet.LogPosition{Term: 1, Index: fleet.LogIndex(ms)}, AsOf: at(ms)})
	}
	c.Assert(len(h) < 80, qt.IsTrue, qt.Commentf("%d proofs", len(h)))
	now := at(120_000)
	for _, age := range []int{10, 100, 1000, 5000, 30_000} {
		got, ok := h.Age(fleet.LogPosition{Term: 1, Index: fleet.LogIndex(120_000 - age)}, now)
		want := time.Duration(age) * time.Millisecond
		c.Check(ok && got >= want && got <= want*3/2+10*time.Millisecond, qt.IsTrue, qt.Commentf("%v for %v", got, want))
	}
	_, ok := h.Age(fleet.LogPosition{Term: 1, Index: 1}, now)
	c.Assert(ok, qt.IsFalse)
}
