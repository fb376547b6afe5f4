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

// A host loses the store, and the primary is replaced without its knowledge. The old primary still
// accepts writes on the host's side of a network partition; they will be lost. The host must poll
// the other instances before it acknowledges, and here one leads a later term.
func TestWriteOfAReplacedPrimaryIsNotAcknowledged(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	x := w.open("rush", "key-1")
	w.advance(time.Second, false)
	b := w.instances["b"]
	b.role, b.term = fleet.RolePrimary, 2
	x.do(statement.KindWrite, "", "item data")
	w.advance(50*time.Millisecond, false)
	c.Assert(w.count("write q1"), qt.Equals, 1)
	c.Assert(x.last().Code, qt.Equals, statement.CodeInDoubt)
}

// As in TestWriteOfAReplacedPrimaryIsNotAcknowledged, but the promoted instance has written nothing
// yet: its log still ends in the old term, as a promotion writes no entry. Only its own status
// shows that it leads. A host took the log position as evidence that it doesn't, and a write was
// acknowledged and lost.
func TestPositionOfAPromotedInstanceVerifiesNothing(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.open("stock", "key-1").do(statement.KindRead, "", "warm up")
	w.advance(time.Second, false)
	b := w.instances["b"]
	b.role, b.term = fleet.RolePrimary, 2
	c.Assert(b.position.Term, qt.Equals, fleet.Term(1))
	x, y := w.open("rush", "key-1"), w.open("stock", "key-1")
	x.do(statement.KindWrite, "", "item data")
	y.do(statement.KindRead, "", "item") // the answer of a replica carries its log position
	w.advance(50*time.Millisecond, false)
	c.Assert(x.last().Code, qt.Equals, statement.CodeInDoubt)
}

// Without the store, a write on the primary is acknowledged when the other instances report no
// later term.
func TestWritesAreVerifiedWithoutTheStore(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	x := w.open("rush", "key-1")
	w.advance(time.Second, false)
	x.do(statement.KindWrite, "", "item data")
	w.advance(50*time.Millisecond, false)
	c.Assert(x.last().Digest, qt.Equals, "d-a")
}

// Without the store, and with one instance out of reach, no host can tell whether that instance
// leads by now. A write that was sent would stay in doubt, so none is sent: it is refused as not
// run, with a time to retry.
func TestUnverifiableWriteIsNotSent(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.instances["c"].silent = true
	w.advance(2*time.Second, false)
	first, x := w.open("rush", "key-1"), w.open("rush", "key-1")
	first.do(statement.KindWrite, "", "found out by this one")
	w.advance(500*time.Millisecond, false)
	c.Assert(first.last().Code, qt.Equals, statement.CodeInDoubt)
	x.do(statement.KindWrite, "", "item data")
	c.Assert(x.last().Code, qt.Equals, statement.CodeBusy)
	c.Assert(x.last().RetryAfter > 0, qt.IsTrue)
	c.Assert(w.count("write"), qt.Equals, 1)
	c.Assert(w.returned, qt.Equals, 1)
}

// The primary stops responding and resets no connection. Statements on it must not wait for their
// timeout, and new ones are refused, not run, as soon as this is detected.
func TestSilentPrimaryIsDetected(t *testing.T) {
	for _, key := range []catalog.Key{"key-1", "key-3"} {
		// One of the accounts gets the idle connection of the first poll.
		checkSilentPrimary(qt.New(t), key)
	}
}

// checkSilentPrimary checks two statements for the account of a key: one that is sent to a silent primary
// before the silence is detected, and one that comes after.
func checkSilentPrimary(c *qt.C, key catalog.Key) {
	w := newWorld(c).withConfirmedPrimary()
	x := w.open("rush", key)
	x.do(statement.KindRead, "", "item")
	w.instances["a"].silent = true
	y := w.open("rush", key)
	y.do(statement.KindWrite, "", "item data")
	w.advance(600*time.Millisecond, true)
	c.Assert(y.last().Code, qt.Equals, statement.CodeInDoubt)
	x.do(statement.KindWrite, "", "item data")
	c.Assert(x.last().Code, qt.Equals, statement.CodeBusy)
	c.Assert(x.last().RetryAfter > 0, qt.IsTrue)
	_, suspected := w.relay.Unreachable()["a"]
	c.Assert(suspected, qt.IsTrue)
}

// The link between the failover coordinator and the primary breaks. The other hosts report that
// they reach the primary: one broken link must replace no primary.
func TestCoordinatorKeepsAPrimaryThatOthersReach(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.relay.SetCoordinator(true)
	report := func(reached ...fleet.Instance) {
		w.relay.AddReachability("h2", nil, reached)
		w.relay.AddReachability("h3", nil, reached)
		w.advance(100*time.Millisecond, true)
	}
	for range 15 {
		report()
	}
	w.makeUnreachable("a")
	for range 20 {
		report("a")
	}
	c.Assert(w.promotionRequests, qt.HasLen, 0)
}

// The primary stops responding. Only its holder has connections to it; all other hosts use it
// through the holder and detect nothing themselves. The suspicion of the holder must suffice, once
// the others had the time to probe: the failover took 8 s, until the instance was off the list.
func TestCoordinatorReplacesAPrimaryThatOnlyItsHolderSuspects(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.relay.SetCoordinator(true)
	w.instances["c"].position.Index = 9
	for range 15 {
		w.relay.AddReachability("h2", nil, nil)
		w.advance(100*time.Millisecond, true)
	}
	w.makeUnreachable("a")
	w.advance(700*time.Millisecond, true)
	c.Assert(w.promotionRequests, qt.HasLen, 1)
	o := w.promotionRequests[0]
	c.Assert(o.Primary, qt.Equals, fleet.Instance("c"), qt.Commentf("it has received most"))
	c.Assert(o.Former, qt.Equals, fleet.Instance("a"))
	c.Assert(o.Term, qt.Equals, fleet.Term(2))
	c.Assert(o.Reason, qt.Equals, leader.ReasonUnreachable)
}

// Another host suspects an instance that this host has not used for long. This host must probe it,
// and then report that it reaches it.
func TestHostProbesAnInstanceThatAnotherSuspects(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.advance(2*time.Second, true)
	c.Assert(w.relay.Reachable(), qt.HasLen, 0)
	w.relay.AddReachability("h2", []fleet.Instance{"c"}, nil)
	w.advance(100*time.Millisecond, true)
	c.Assert(w.relay.Reachable(), qt.DeepEquals, []fleet.Instance{"c"})
}

// A data centre was cut off and is back. Its hosts report again at once, and still suspect the
// primary that was promoted meanwhile: they have not probed it since. These reports replaced a
// healthy primary, and all writes were blocked for a second.
func TestSuspicionsOfAHostThatWasCutOffDontCount(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.relay.SetCoordinator(true)
	for range 12 {
		w.relay.AddReachability("h2", nil, nil)
		w.advance(100*time.Millisecond, true)
	}
	for range 9 {
		w.relay.AddReachability("h2", nil, nil)
		w.relay.AddReachability("h3", []fleet.Instance{"a"}, nil)
		w.relay.AddReachability("h4", []fleet.Instance{"a"}, nil)
		w.advance(100*time.Millisecond, true)
	}
	c.Assert(w.promotionRequests, qt.HasLen, 0)
}

// The primary is leaving. The promotion of its successor is requested while it still works, and it
// serves until then: callers wait a tenth of a second, not for the whole change.
func TestLeavingPrimaryGoesOnUntilItsSuccessorLeads(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.relay.SetCoordinator(true)
	w.list("a")
	w.advance(100*time.Millisecond, true)
	c.Assert(w.promotionRequests, qt.HasLen, 1)
	o := w.promotionRequests[0]
	c.Assert(o.Reason, qt.Equals, leader.ReasonLeaving)
	w.relay.AddRecord(leader.Record{Service: service, Term: o.Term, Primary: o.Primary, Former: o.Former, Revision: 7})
	x := w.open("rush", "key-1")
	x.do(statement.KindWrite, "", "before")
	w.advance(880*time.Millisecond, true)
	c.Assert(x.last().Digest, qt.Equals, "d-a")
	w.relay.RequestStepDown(o)
	w.deliver()
	x.do(statement.KindWrite, "", "between")
	c.Assert(x.answers, qt.HasLen, 1)
	n := w.instances[o.Primary]
	n.role, n.term = fleet.RolePrimary, o.Term
	w.advance(150*time.Millisecond, true)
	c.Assert(x.last().Digest, qt.Equals, "d-"+string(o.Primary))
	c.Assert(w.count("write"), qt.Equals, 2)
}

// Guards against a group without a primary while a promotion without an outcome is requested again, and against
// reads on the former primary by the time of the second request, as the first may have taken effect by then.
func TestFormerPrimaryGoesOnWhileAPromotionIsRequestedAgain(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	record := leader.Record{Service: service, Term: 2, Primary: "b", Former: "a", Revision: 7}
	w.relay.AddRecord(record)
	w.advance(2*time.Second, true)
	record.Revision = 8
	w.relay.AddRecord(record)
	x, y := w.open("rush", "key-1"), w.open("rush", "key-1")
	x.do(statement.KindWrite, "", "item data")
	w.advance(50*time.Millisecond, true)
	c.Check(x.last().Digest, qt.Equals, "d-a")
	w.lead("b", 2)
	y.do(statement.KindRead, "", "item")
	w.advance(100*time.Millisecond, true)
	c.Check(y.last().Digest, qt.Equals, "d-b")
}

// Guards against a read on the former primary after a promotion has taken effect: the record of a request that is
// repeated doesn't show that the first one hasn't.
func TestRepeatedRequestProvesNothingForTheFormerPrimary(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	record := leader.Record{Service: service, Term: 2, Primary: "b", Former: "a", Revision: 7}
	w.relay.AddRecord(record)
	w.advance(2*time.Second, true)
	w.lead("b", 2)
	w.instances["b"].hold = true
	record.Revision = 8
	w.relay.AddRecord(record)
	w.open("rush", "key-1").do(statement.KindRead, "", "item")
	w.advance(100*time.Millisecond, true)
	c.Check(w.instances["a"].gotReads, qt.Equals, 0)
}
