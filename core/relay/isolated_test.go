package relay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/statement"
)

// newRemoteWorld returns a world whose instances are all in another data centre.
func newRemoteWorld(c *qt.C) *world {
	w := newWorld(c)
	for _, n := range w.instances {
		n.otherDataCentre = true
	}
	w.list()
	return w.withConfirmedPrimary()
}

// passIsolated lets time pass while the host hears no other data centre.
func (w *world) passIsolated(d time.Duration, renewed bool) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.relay.SetIsolated(true)
		w.advance(10*time.Millisecond, renewed)
	}
}

// Guards against callers in an isolated data centre whose statements each wait for their timeout on
// instances elsewhere, and which the balancer sends there for another second.
func TestIsolatedDataCentreRefusesAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newRemoteWorld(c)
	c.Assert(w.relay.Ready(), qt.IsTrue)
	for _, n := range w.instances {
		n.hold = true
	}
	w.passIsolated(600*time.Millisecond, false)
	c.Assert(w.relay.Ready(), qt.IsFalse)
	x := w.open("rush", "key-1")
	x.do(statement.KindRead, "", "item")
	c.Assert(x.last().Code, qt.Equals, statement.CodeBusy)
	c.Assert(x.last().RetryAfter > 0, qt.IsTrue)
}

// Guards against taking one loss for an isolation: reports of other hosts are lost while the store
// answers, or the store is lost while other hosts are heard.
func TestLossOfReportsOrOfTheStoreAloneIsNoIsolation(t *testing.T) {
	c := qt.New(t)
	for _, isolated := range []bool{true, false} {
		w := newRemoteWorld(c)
		if isolated {
			w.passIsolated(600*time.Millisecond, true)
		} else {
			w.advance(600*time.Millisecond, false)
		}
		c.Assert(w.relay.Ready(), qt.IsTrue)
		x := w.open("rush", "key-1")
		x.do(statement.KindRead, "", "item")
		w.advance(20*time.Millisecond, isolated)
		c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
	}
}

// Guards against sending callers away from an isolated data centre that has all instances they
// need.
func TestIsolatedDataCentreWithThePrimaryServes(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.passIsolated(600*time.Millisecond, false)
	c.Assert(w.relay.Ready(), qt.IsTrue)
	x := w.open("rush", "key-1")
	x.do(statement.KindRead, "", "item")
	w.advance(20*time.Millisecond, false)
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
}

// Guards against taking lost reports for an isolation while the store is down: an instance in
// another data centre still answers.
func TestAnswerFromAnotherDataCentreIsNoIsolation(t *testing.T) {
	c := qt.New(t)
	w := newRemoteWorld(c)
	for range 12 {
		w.open("rush", "key-1").do(statement.KindRead, "", "item")
		w.passIsolated(50*time.Millisecond, false)
	}
	c.Assert(w.relay.Ready(), qt.IsTrue)
}
