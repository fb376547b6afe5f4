package leader_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/statement"
)

var start = time.Unix(1000, 0)

// led returns a belief in the primary a of term 1.
func led() *leader.PrimaryState {
	var b leader.PrimaryState
	b.SetInstances([]catalog.Instance{{Name: "a", Role: fleet.RolePrimary}, {Name: "b"}, {Name: "c"}})
	b.AddStatus("a", statement.Status{Role: fleet.RolePrimary, Term: 1})
	return &b
}

func members(change func(m map[fleet.Instance]*leader.InstanceInfo)) []leader.InstanceInfo {
	m := map[fleet.Instance]*leader.InstanceInfo{}
	for _, n := range []fleet.Instance{"a", "b", "c"} {
		m[n] = &leader.InstanceInfo{
			Name: n, Reachable: true, Leads: n == "a", Term: 1, Received: fleet.LogPosition{Term: 1, Index: 5},
		}
	}
	change(m)
	return []leader.InstanceInfo{*m["a"], *m["b"], *m["c"]}
}

func ExamplePrimaryState() {
	var b leader.PrimaryState
	b.SetInstances([]catalog.Instance{{Name: "a", Role: fleet.RolePrimary}})
	_, _, settled := b.Primary()
	fmt.Println(settled)
	b.AddStatus("a", statement.Status{Role: fleet.RolePrimary, Term: 3})
	fmt.Println(b.Primary())
	// Output:
	// false
	// a 3 true
}

func TestRecordNamesThePrimaryBeforeTheList(t *testing.T) {
	c := qt.New(t)
	b := led()
	c.Assert(b.AddRecord(leader.Record{Primary: "b", Former: "a", Term: 2, Revision: 7}), qt.IsTrue)
	b.SetInstances([]catalog.Instance{{Name: "a", Role: fleet.RolePrimary}})
	c.Assert(b.DesignatedPrimary(), qt.Equals, fleet.Instance("b"))
	_, _, settled := b.Primary()
	c.Assert(settled, qt.IsFalse)
	former, term, ok := b.FormerPrimary()
	c.Assert(ok, qt.IsTrue)
	c.Assert(former, qt.Equals, fleet.Instance("a"))
	c.Assert(term, qt.Equals, fleet.Term(1))
	c.Assert(b.AddRecord(leader.Record{Primary: "c", Term: 2, Revision: 6}), qt.IsFalse)
}

// An order names b, which still follows a. Its word that it is a replica, or a primary of
// an earlier term, must not settle it: writes would go where they are lost.
func TestOnlyThePrimaryOfTheOrdersTermSettles(t *testing.T) {
	c := qt.New(t)
	b := led()
	b.AddRecord(leader.Record{Primary: "b", Former: "a", Term: 2, Revision: 7})
	c.Assert(b.AddStatus("b", statement.Status{Role: fleet.RoleReplica, Term: 2}), qt.IsFalse)
	c.Assert(b.AddStatus("b", statement.Status{Role: fleet.RolePrimary, Term: 1}), qt.IsFalse)
	c.Assert(b.AddStatus("c", statement.Status{Role: fleet.RolePrimary, Term: 9}), qt.IsFalse)
	c.Assert(b.AddStatus("b", statement.Status{Role: fleet.RolePrimary, Term: 2}), qt.IsTrue)
	_, _, former := b.FormerPrimary()
	c.Assert(former, qt.IsFalse)
}

func TestJudge(t *testing.T) {
	c := qt.New(t)
	others := []fleet.Instance{"b", "c"}
	b := led()
	v, term, _ := b.VerifyAnswer("a", true, others)
	c.Check(v, qt.Equals, leader.VerdictVerified)
	c.Check(term, qt.Equals, fleet.Term(1))
	v, _, ask := b.VerifyAnswer("a", false, others)
	c.Check(v, qt.Equals, leader.VerdictAsk)
	c.Check(ask, qt.DeepEquals, others)
	v, _, _ = b.VerifyAnswer("c", true, others)
	c.Check(v, qt.Equals, leader.VerdictRefuted)

	b.AddRecord(leader.Record{Primary: "b", Former: "a", Term: 2, Revision: 7})
	v, _, ask = b.VerifyAnswer("a", true, others)
	c.Check(v, qt.Equals, leader.VerdictAsk)
	c.Check(ask, qt.DeepEquals, []fleet.Instance{"b"})
	b.AddStatus("b", statement.Status{Role: fleet.RolePrimary, Term: 2})
	v, _, _ = b.VerifyAnswer("a", true, others)
	c.Check(v, qt.Equals, leader.VerdictRefuted)
}

// The store drops instances from its list that couldn't reach it; one of them has just
// been promoted. A write of the former primary was proved by the word of the third alone,
// acknowledged, and lost.
func TestTheOrderedInstanceIsAskedAlsoWhenItIsOffTheList(t *testing.T) {
	c := qt.New(t)
	b := led()
	b.AddRecord(leader.Record{Primary: "b", Former: "a", Term: 2, Revision: 7})
	_, _, ask := b.VerifyAnswer("a", false, []fleet.Instance{"c"})
	c.Assert(ask, qt.DeepEquals, []fleet.Instance{"c", "b"})
}

func TestProofsWantAnAnswerAskedForAfterwards(t *testing.T) {
	c := qt.New(t)
	var p leader.PendingAnswers
	p.Add(leader.PendingAnswer{Key: 1, Term: 1, At: start, Deadline: start.Add(time.Second)}, []fleet.Instance{"b", "c"})
	proved, refuted := p.AddStatus("b", start.Add(-time.Millisecond), 1)
	c.Assert(len(proved)+len(refuted), qt.Equals, 0)
	p.AddStatus("b", start, 1)
	proved, _ = p.AddStatus("c", start.Add(time.Millisecond), 1)
	c.Assert(proved, qt.HasLen, 1)

	p.Add(leader.PendingAnswer{Key: 2, Term: 1, At: start, Deadline: start.Add(time.Second)}, []fleet.Instance{"b", "c"})
	_, refuted = p.AddStatus("c", start, 2)
	c.Assert(refuted, qt.HasLen, 1)
	p.Add(leader.PendingAnswer{Key: 3, Term: 1, At: start, Deadline: start.Add(time.Second)}, []fleet.Instance{"b"})
	c.Assert(p.Expire(start.Add(time.Second)), qt.HasLen, 0)
	c.Assert(p.Expire(start.Add(time.Second+1)), qt.HasLen, 1)
	c.Assert(p.Len(), qt.Equals, 0)
}

// A host is suspended just after it has sent a renewal, and wakes up with its answer. The
// proof counts from the sending, by a clock that goes on, and has run out.
func TestLeaseCountsFromTheSending(t *testing.T) {
	c := qt.New(t)
	var l leader.Lease
	c.Assert(l.RecordsCurrent(start), qt.IsFalse)
	l.Renewed(start)
	c.Assert(l.RecordsCurrent(start.Add(leader.LeaseValidity-1)), qt.IsTrue)
	c.Assert(l.RecordsCurrent(start.Add(leader.LeaseValidity)), qt.IsFalse)
	l.Renewed(start.Add(-time.Second)) // an older one that comes late
	c.Assert(l.RecordsCurrent(start.Add(leader.LeaseValidity-1)), qt.IsTrue)
	l.Lost()
	c.Assert(l.RecordsCurrent(start), qt.IsFalse)
}

func TestDecide(t *testing.T) {
	c := qt.New(t)
	for _, t := range []struct {
		name    string
		change  func(m map[fleet.Instance]*leader.InstanceInfo)
		reason  leader.Reason
		primary fleet.Instance
	}{
		{"all is well", func(map[fleet.Instance]*leader.InstanceInfo) {}, "", ""},
		{"two hosts miss it, four reach it", func(m map[fleet.Instance]*leader.InstanceInfo) {
			m["a"].UnreachableFrom, m["a"].ReachableFrom, m["a"].UnreachableFor = 2, 4, time.Second
		}, "", ""},
		{"half of the hosts miss it", func(m map[fleet.Instance]*leader.InstanceInfo) {
			m["a"].UnreachableFrom, m["a"].ReachableFrom, m["a"].UnreachableFor = 3, 3, time.Second
		}, leader.ReasonUnreachable, "b"},
		{"its holder misses it and nobody reaches it", func(m map[fleet.Instance]*leader.InstanceInfo) {
			m["a"].UnreachableFrom, m["a"].UnreachableFor = 1, time.Second
		}, leader.ReasonUnreachable, "b"},
		{"the others have not looked yet", func(m map[fleet.Instance]*leader.InstanceInfo) {
			m["a"].UnreachableFrom, m["a"].UnreachableFor = 1, 100*time.Millisecond
		}, "", ""},
		{"it leaves", func(m map[fleet.Instance]*leader.InstanceInfo) { m["a"].Leaving = true }, leader.ReasonLeaving, "b"},
		{"it has gone", func(m map[fleet.Instance]*leader.InstanceInfo) { m["a"].Gone = true }, leader.ReasonGone, "b"},
		{"the farthest log is promoted", func(m map[fleet.Instance]*leader.InstanceInfo) {
			m["a"].Gone, m["c"].Received.Index = true, 6
		}, leader.ReasonGone, "c"},
		{"not one that leaves", func(m map[fleet.Instance]*leader.InstanceInfo) {
			m["a"].Gone, m["b"].Leaving = true, true
		}, leader.ReasonGone, "c"},
		{"not one that didn't answer", func(m map[fleet.Instance]*leader.InstanceInfo) {
			m["a"].Gone, m["b"].Reachable = true, false
		}, leader.ReasonGone, "c"},
		{"nobody is left", func(m map[fleet.Instance]*leader.InstanceInfo) {
			m["a"].Gone, m["b"].Reachable, m["c"].Reachable = true, false, false
		}, "", ""},
	} {
		b := led()
		o, ok := b.Decide(leader.GroupStatus{Now: start, Since: start, Instances: members(t.change)})
		c.Check(ok, qt.Equals, t.primary != "", qt.Commentf("%s", t.name))
		c.Check(o.Primary, qt.Equals, t.primary, qt.Commentf("%s", t.name))
		if ok {
			c.Check(o.Reason, qt.Equals, t.reason, qt.Commentf("%s", t.name))
			c.Check(o.Term, qt.Equals, fleet.Term(2), qt.Commentf("%s", t.name))
		}
	}
}

// Only the replaced primary can be reached: it is cut off from its successor, and still
// takes itself for the primary. Promoting it would undo what the successor has
// acknowledged, and reads on it showed an old ledger.
func TestReplacedPrimaryIsNoCandidate(t *testing.T) {
	c := qt.New(t)
	b := led()
	b.AddRecord(leader.Record{Primary: "b", Former: "a", Term: 2, Revision: 7})
	b.AddStatus("b", statement.Status{Role: fleet.RolePrimary, Term: 2})
	s := leader.GroupStatus{Now: start, Since: start, Instances: members(func(m map[fleet.Instance]*leader.InstanceInfo) {
		m["b"].UnreachableFrom, m["b"].UnreachableFor = 4, time.Second
		m["b"].Reachable, m["c"].Reachable = false, false
	})}
	_, ok := b.Decide(s)
	c.Assert(ok, qt.IsFalse)
}

// An order's instance dies before it takes effect. The next order comes only once the
// first can't be on its way any more: two at once make two primaries.
func TestNextOrderWaitsForTheOneOnItsWay(t *testing.T) {
	c := qt.New(t)
	b := led()
	b.AddRecord(leader.Record{Primary: "b", Former: "a", Term: 2, Revision: 7})
	s := leader.GroupStatus{Since: start, Instances: members(func(m map[fleet.Instance]*leader.InstanceInfo) {
		m["a"].Gone, m["b"].Reachable = true, false
	})}
	s.Now = start.Add(2 * time.Second)
	_, ok := b.Decide(s)
	c.Assert(ok, qt.IsFalse)
	s.Now = start.Add(3 * time.Second)
	o, ok := b.Decide(s)
	c.Assert(ok, qt.IsTrue)
	c.Assert(o.Primary, qt.Equals, fleet.Instance("c"))
	c.Assert(o.Term, qt.Equals, fleet.Term(3))
}

// The platform changes nothing when it is told to promote the primary that it has. The
// group waited for ever for the term that the order was to lead to.
func TestPrimaryThatLedAlreadyIsAffirmed(t *testing.T) {
	c := qt.New(t)
	b := led()
	b.AddRecord(leader.Record{Primary: "a", Former: "a", Term: 2, Revision: 7})
	_, ok := b.ConfirmingRequest("a", 1, start, start.Add(time.Second))
	c.Assert(ok, qt.IsFalse)
	o, ok := b.ConfirmingRequest("a", 1, start, start.Add(2*time.Second))
	c.Assert(ok, qt.IsTrue)
	b.AddRecord(leader.Record{Primary: o.Primary, Term: o.Term, Revision: 8})
	c.Assert(b.AddStatus("a", statement.Status{Role: fleet.RolePrimary, Term: 1}), qt.IsTrue)
}

// Whatever hosts believe, and whatever answers come in whatever order: an answer is proved
// only from the instance that leads, in its term, as long as certain is true of it.
func TestNothingIsProvedForAReplacedPrimary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []fleet.Instance{"a", "b", "c"}
		truth, term, rev := fleet.Instance("a"), fleet.Term(1), uint64(0)
		var b leader.PrimaryState
		b.SetInstances([]catalog.Instance{{Name: "a", Role: fleet.RolePrimary}})
		told := true
		for range 40 {
			switch rapid.SampledFrom([]string{"order", "tell", "status", "answer"}).Draw(t, "step") {
			case "order":
				truth, term, rev = rapid.SampledFrom(names).Draw(t, "next"), term+1, rev+1
				told = false
			case "tell":
				b.AddRecord(leader.Record{Primary: truth, Term: term, Revision: rev})
				told = true
			case "status":
				n := rapid.SampledFrom(names).Draw(t, "who")
				s := statement.Status{Role: fleet.RoleReplica, Term: term}
				if n == truth {
					s.Role = fleet.RolePrimary
				}
				b.AddStatus(n, s)
			case "answer":
				n := rapid.SampledFrom(names).Draw(t, "from")
				// Records are certain while none has been written that isn't known.
				v, _, _ := b.VerifyAnswer(n, told, names)
				if v == leader.VerdictVerified && n != truth {
					t.Fatalf("an answer of %s was proved while %s leads term %d", n, truth, term)
				}
			}
		}
	})
}
