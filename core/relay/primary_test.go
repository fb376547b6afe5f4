package relay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/statement"
)

// A host loses the store, and a primary is replaced without its knowing. The old primary
// still accepts writes on this side of a cut; they will be lost. The host must not
// acknowledge before it has asked the others, and here one leads a later term.
func TestWriteOfAReplacedPrimaryIsNotAcknowledged(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	x := w.open("rush", "key-1")
	w.pass(time.Second, false)
	b := w.instances["b"]
	b.role, b.term = fleet.RolePrimary, 2
	x.do(statement.KindWrite, "", "item data")
	w.pass(50*time.Millisecond, false)
	c.Assert(w.count("write q1"), qt.Equals, 1)
	c.Assert(x.last().Code, qt.Equals, statement.CodeInDoubt)
}

// As above, but the promoted instance has written nothing yet: its log still ends in the
// old term, as a promotion writes no entry. Only its own word tells that it leads. A
// write was acknowledged and lost when the position was taken for that.
func TestPositionOfAPromotedInstanceVerifiesNothing(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	w.open("stock", "key-1").do(statement.KindRead, "", "warm up")
	w.pass(time.Second, false)
	b := w.instances["b"]
	b.role, b.term = fleet.RolePrimary, 2
	c.Assert(b.point.Term, qt.Equals, fleet.Term(1))
	x, y := w.open("rush", "key-1"), w.open("stock", "key-1")
	x.do(statement.KindWrite, "", "item data")
	y.do(statement.KindRead, "", "item") // brings an answer of a replica with its position
	w.pass(50*time.Millisecond, false)
	c.Assert(x.last().Code, qt.Equals, statement.CodeInDoubt)
}

// With the store away the answers of the primary are good as long as the others say so.
func TestWritesAreVerifiedWithoutTheStore(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	x := w.open("rush", "key-1")
	w.pass(time.Second, false)
	x.do(statement.KindWrite, "", "item data")
	w.pass(50*time.Millisecond, false)
	c.Assert(x.last().Digest, qt.Equals, "d-a")
}

// Without the store, with one instance out of reach, nobody can tell whether that one
// leads by now. A write that was sent would stay in doubt, so none is sent: its caller is
// told that it was not run, and when to come back.
func TestUnverifiableWriteIsNotSent(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	w.instances["c"].silent = true
	w.pass(2*time.Second, false)
	first, x := w.open("rush", "key-1"), w.open("rush", "key-1")
	first.do(statement.KindWrite, "", "found out by this one")
	w.pass(500*time.Millisecond, false)
	c.Assert(first.last().Code, qt.Equals, statement.CodeInDoubt)
	x.do(statement.KindWrite, "", "item data")
	c.Assert(x.last().Code, qt.Equals, statement.CodeBusy)
	c.Assert(x.last().RetryAfter > 0, qt.IsTrue)
	c.Assert(w.count("write"), qt.Equals, 1)
	c.Assert(w.returned, qt.Equals, 1)
}

// A primary goes dark: it resets nothing. Statements on it must not wait for their time
// limit, and new ones are refused, unrun, as soon as it is known.
func TestSilentPrimaryIsDetected(t *testing.T) {
	for _, key := range []catalog.Key{"key-1", "key-3"} {
		// One of the accounts finds the connection of the first question at rest.
		checkSilentPrimary(qt.New(t), key)
	}
}

func checkSilentPrimary(c *qt.C, key catalog.Key) {
	w := newWorld(c).settled()
	x := w.open("rush", key)
	x.do(statement.KindRead, "", "item")
	w.instances["a"].silent = true
	y := w.open("rush", key)
	y.do(statement.KindWrite, "", "item data")
	w.pass(600*time.Millisecond, true)
	c.Assert(y.last().Code, qt.Equals, statement.CodeInDoubt)
	x.do(statement.KindWrite, "", "item data")
	c.Assert(x.last().Code, qt.Equals, statement.CodeBusy)
	c.Assert(x.last().RetryAfter > 0, qt.IsTrue)
	_, doubted := w.relay.Unreachable()["a"]
	c.Assert(doubted, qt.IsTrue)
}

// A link breaks between this host, which has the duty, and the primary. The others reach
// it and say so: one bad link replaces no primary.
func TestCoordinatorKeepsAPrimaryThatOthersReach(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	w.relay.SetCoordinator(true)
	tell := func(reached ...fleet.Instance) {
		w.relay.AddReachability("h2", nil, reached)
		w.relay.AddReachability("h3", nil, reached)
		w.pass(100*time.Millisecond, true)
	}
	for range 15 {
		tell()
	}
	w.lose("a")
	for range 20 {
		tell("a")
	}
	c.Assert(w.orders, qt.HasLen, 0)
}

// The primary goes dark. Only its holder has connections to it; all others use it over
// that host, and notice nothing by themselves. The holder's doubt has to do, once the
// others had the time to look: it took 8 s, until the instance was off the list.
func TestCoordinatorReplacesAPrimaryThatOnlyItsHolderSuspects(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	w.relay.SetCoordinator(true)
	w.instances["c"].point.Index = 9
	for range 15 {
		w.relay.AddReachability("h2", nil, nil)
		w.pass(100*time.Millisecond, true)
	}
	w.lose("a")
	w.pass(700*time.Millisecond, true)
	c.Assert(w.orders, qt.HasLen, 1)
	o := w.orders[0]
	c.Assert(o.Primary, qt.Equals, fleet.Instance("c"), qt.Commentf("it has received most"))
	c.Assert(o.Former, qt.Equals, fleet.Instance("a"))
	c.Assert(o.Term, qt.Equals, fleet.Term(2))
	c.Assert(o.Reason, qt.Equals, leader.ReasonUnreachable)
}

// Another host doubts an instance that this one has not used for long. It looks for
// itself, and can then say that it reaches it.
func TestHostProbesAnInstanceThatAnotherSuspects(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	w.pass(2*time.Second, true)
	c.Assert(w.relay.Reachable(), qt.HasLen, 0)
	w.relay.AddReachability("h2", []fleet.Instance{"c"}, nil)
	w.pass(100*time.Millisecond, true)
	c.Assert(w.relay.Reachable(), qt.DeepEquals, []fleet.Instance{"c"})
}

// A data centre was cut off and is back. Its hosts report again at once, still doubting
// the primary that was made meanwhile: they have not tried it since. Their word replaced
// a healthy primary, and all writes stood still for a second.
func TestSuspicionsOfAHostThatWasCutOffDontCount(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	w.relay.SetCoordinator(true)
	for range 12 {
		w.relay.AddReachability("h2", nil, nil)
		w.pass(100*time.Millisecond, true)
	}
	for range 9 {
		w.relay.AddReachability("h2", nil, nil)
		w.relay.AddReachability("h3", []fleet.Instance{"a"}, nil)
		w.relay.AddReachability("h4", []fleet.Instance{"a"}, nil)
		w.pass(100*time.Millisecond, true)
	}
	c.Assert(w.orders, qt.HasLen, 0)
}

// The primary is leaving. Its successor is ordered while it still works, and it goes on
// until then: callers wait a tenth of a second, not the whole change.
func TestLeavingPrimaryGoesOnUntilItsSuccessorLeads(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	w.relay.SetCoordinator(true)
	w.list("a")
	w.pass(100*time.Millisecond, true)
	c.Assert(w.orders, qt.HasLen, 1)
	o := w.orders[0]
	c.Assert(o.Reason, qt.Equals, leader.ReasonLeaving)
	w.relay.AddRecord(leader.Record{Service: service, Term: o.Term, Primary: o.Primary, Former: o.Former, Revision: 7})
	x := w.open("rush", "key-1")
	x.do(statement.KindWrite, "", "before")
	w.pass(880*time.Millisecond, true)
	c.Assert(x.last().Digest, qt.Equals, "d-a")
	w.relay.RequestStepDown(o)
	w.deliver()
	x.do(statement.KindWrite, "", "between")
	c.Assert(x.answers, qt.HasLen, 1)
	n := w.instances[o.Primary]
	n.role, n.term = fleet.RolePrimary, o.Term
	w.pass(150*time.Millisecond, true)
	c.Assert(x.last().Digest, qt.Equals, "d-"+string(o.Primary))
	c.Assert(w.count("write"), qt.Equals, 2)
}
