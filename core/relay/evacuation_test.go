package relay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
)

// newSplitWorld returns a world whose primary a and replica b are in data centre sapporo, and whose
// replica c is in the data centre of the host.
func newSplitWorld(c *qt.C) *world {
	w := newWorld(c)
	w.instances["a"].otherDataCentre, w.instances["b"].otherDataCentre = true, true
	w.list()
	w.withConfirmedPrimary()
	w.open("rush", "key-1").do(statement.KindRead, "", "for the sample")
	return w
}

// ranSince returns what an instance has run since it had run from statements.
func (n *node) ranSince(from int) []string { return n.executed[from:] }

// handleForward has the relay handle a statement that another host forwards to it, and returns the
// answers.
func (w *world) handleForward(i fleet.Instance, q statement.Statement) []statement.Answer {
	var got []statement.Answer
	w.relay.HandleForward(1, relay.Forward{
		Stream: 1, Service: service, Instance: i, Account: "hotel", Timeout: time.Second, Open: true, Close: true,
		Statements: []statement.Statement{q},
	}, func(a statement.Answer) { got = append(got, a) })
	w.advance(50*time.Millisecond, true)
	return got
}

// Guards against reads that still reach the instances of a data centre that operators have
// evacuated.
func TestReadsLeaveAnEvacuatedDataCentreAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newSplitWorld(c)
	w.evacuate("sapporo")
	before := len(w.instances["b"].executed)
	for range 30 {
		x := w.open("stock", "key-1")
		x.do(statement.KindRead, "", "item")
		w.advance(20*time.Millisecond, true)
		c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
	}
	c.Assert(w.instances["b"].ranSince(before), qt.HasLen, 0)
}

// Guards against a healthy primary that stays in an evacuated data centre.
func TestEvacuatedPrimaryIsReplacedElsewhere(t *testing.T) {
	c := qt.New(t)
	w := newSplitWorld(c)
	w.relay.SetCoordinator(true)
	w.evacuate("sapporo")
	w.advance(500*time.Millisecond, true)
	c.Assert(w.promotionRequests, qt.HasLen, 1)
	c.Assert(w.promotionRequests[0].Primary, qt.Equals, w.instances["c"].name)
	c.Assert(w.promotionRequests[0].Reason, qt.Equals, leader.ReasonLeaving)
}

// Guards against refused writes as soon as the data centre of the primary is evacuated, although
// that primary may serve until its successor does. Guards also against a primary that serves for
// longer than it may.
func TestEvacuatedPrimaryGoesOnForHalfOfTheTime(t *testing.T) {
	c := qt.New(t)
	w := newSplitWorld(c)
	w.evacuate("sapporo")
	x := w.open("rush", "key-1")
	x.do(statement.KindWrite, "", "item data")
	w.advance(100*time.Millisecond, true)
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
	w.advance(2400*time.Millisecond, true)
	before := len(w.instances["a"].executed)
	x.do(statement.KindWrite, "", "item data")
	c.Assert(x.last().Code, qt.Equals, statement.CodeBusy)
	c.Assert(x.last().RetryAfter > 0, qt.IsTrue)
	c.Assert(w.instances["a"].ranSince(before), qt.HasLen, 0)
}

// Guards against a transaction that keeps using an instance in an evacuated data centre after the
// time that it is given to end. Neither its next statement nor its commit may reach the instance,
// and its caller must learn that it was rolled back.
func TestTransactionInAnEvacuatedDataCentreIsRolledBack(t *testing.T) {
	c := qt.New(t)
	w := newSplitWorld(c)
	x, y := w.open("rush", "key-1"), w.open("rush", "key-1")
	for _, o := range []*caller{x, y} {
		o.do(statement.KindBegin, "", "")
		o.do(statement.KindWrite, "", "item data")
	}
	w.evacuate("sapporo")
	w.advance(2400*time.Millisecond, true)
	y.do(statement.KindCommit, "", "")
	c.Assert(y.last().Code, qt.Equals, statement.CodeNone)
	before := len(w.instances["a"].executed)
	w.advance(200*time.Millisecond, true)
	x.do(statement.KindCommit, "", "")
	c.Assert(x.last().Code, qt.Equals, statement.CodeAborted)
	c.Assert(w.instances["a"].ranSince(before), qt.HasLen, 0)
}

// Guards against a holder that runs a statement on an instance in an evacuated data centre for
// another host, which doesn't know of the evacuation yet.
func TestHolderRejectsForwardsToAnEvacuatedDataCentre(t *testing.T) {
	c := qt.New(t)
	w := newSplitWorld(c)
	w.evacuate("sapporo")
	got := w.handleForward("b", statement.Statement{ID: "f1", Kind: statement.KindRead, Text: "item"})
	c.Assert(got, qt.HasLen, 1)
	c.Assert(got[0].Code, qt.Equals, statement.CodeBusy)
	c.Assert(w.count("f1"), qt.Equals, 0)
}

// Guards against an evacuation that stays in effect after it is revoked, or that is undone by an
// older catalog.
func TestWritesResumeOnceTheEvacuationIsRevoked(t *testing.T) {
	c := qt.New(t)
	w := newSplitWorld(c)
	old := w.catalogInUse
	w.evacuate("sapporo")
	c.Assert(w.relay.SetCatalog(old), qt.IsFalse)
	w.advance(3*time.Second, true)
	x := w.open("rush", "key-1")
	x.do(statement.KindWrite, "", "item data")
	c.Assert(x.last().Code, qt.Equals, statement.CodeBusy)
	w.evacuate()
	x.do(statement.KindWrite, "", "item data")
	w.advance(100*time.Millisecond, true)
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
}

// Guards against a change of primary that is caused by an evacuation which is revoked at once.
func TestShortEvacuationChangesNoPrimary(t *testing.T) {
	c := qt.New(t)
	w := newSplitWorld(c)
	w.relay.SetCoordinator(true)
	w.evacuate("sapporo")
	w.evacuate()
	w.advance(time.Second, true)
	c.Assert(w.promotionRequests, qt.HasLen, 0)
}

// Guards against a host that reports that it isn't ready, or requests promotions in a loop, when
// every data centre is evacuated. One of the evacuated data centres is unknown.
func TestEvacuationOfAllDataCentresRefusesEveryStatement(t *testing.T) {
	c := qt.New(t)
	w := newSplitWorld(c)
	w.relay.SetCoordinator(true)
	w.evacuate("obihiro", "sapporo", "nowhere")
	w.advance(3*time.Second, true)
	c.Assert(w.promotionRequests, qt.HasLen, 0)
	c.Assert(w.relay.Ready(), qt.IsTrue)
	before := map[string]int{}
	for n, i := range w.instances {
		before[string(n)] = len(i.executed)
	}
	for _, d := range []catalog.Database{"rush", "stock", "standing"} {
		x := w.open(d, "key-1")
		x.do(statement.KindRead, "", "item")
		c.Assert(x.last().Code, qt.Equals, statement.CodeBusy)
	}
	for n, i := range w.instances {
		c.Assert(i.ranSince(before[string(n)]), qt.HasLen, 0)
	}
}

// Guards against a primary that stays in an evacuated data centre, because the evacuation began
// during its promotion.
func TestSuccessorInAnEvacuatedDataCentreIsReplacedToo(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c)
	w.instances["b"].otherDataCentre = true
	w.list()
	w.withConfirmedPrimary()
	w.relay.SetCoordinator(true)
	w.promote()
	w.instances["a"].role = fleet.RoleReplica
	w.relay.AddRecord(leader.Record{Service: service, Term: 2, Primary: "b", Former: "a", Revision: 1})
	w.advance(100*time.Millisecond, true)
	w.evacuate("sapporo")
	w.advance(2*time.Second, true)
	c.Assert(len(w.promotionRequests) > 0, qt.IsTrue)
	c.Assert(w.promotionRequests[len(w.promotionRequests)-1].Primary, qt.Not(qt.Equals), w.instances["b"].name)
}
