package relay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/statement"
)

// waitingWorld returns a world in which operations wait for their admission, and how to decide on the last one.
func waitingWorld(c *qt.C) (w *world, u *caller, decide func(retryAfter time.Duration, admitted bool)) {
	w = newWorld(c).withConfirmedPrimary()
	u = w.open("rush", "key-1")
	c.Assert(u.started, qt.IsTrue)
	var waiting func(time.Duration, bool)
	w.admitLater = func(done func(time.Duration, bool)) { waiting = done }
	return w, u, func(retryAfter time.Duration, admitted bool) {
		waiting(retryAfter, admitted)
		w.deliver()
	}
}

// Guards against an operation that is run, or answered, before its admission.
func TestOperationWaitsForItsAdmission(t *testing.T) {
	c := qt.New(t)
	for _, admitted := range []bool{true, false} {
		w, u, decide := waitingWorld(c)
		u.do(statement.KindWrite, "", "item data")
		c.Check(u.answers, qt.HasLen, 0)
		c.Check(w.count("q1"), qt.Equals, 0)
		c.Check(u.s.Busy(), qt.IsTrue)
		decide(70*time.Millisecond, admitted)
		c.Check(u.s.Busy(), qt.IsFalse)
		if admitted {
			c.Check(u.last().Code, qt.Equals, statement.CodeNone)
			c.Check(w.count("q1"), qt.Equals, 1)
			continue
		}
		c.Check(u.last().Code, qt.Equals, statement.CodeBusy)
		c.Check(u.last().RetryAfter, qt.Equals, 70*time.Millisecond)
	}
}

// Guards against a transaction that is open although it was not admitted.
func TestTransactionWaitsForItsAdmission(t *testing.T) {
	c := qt.New(t)
	_, u, decide := waitingWorld(c)
	u.do(statement.KindBegin, "", "")
	c.Check(u.answers, qt.HasLen, 0)
	decide(0, false)
	c.Check(u.last().Code, qt.Equals, statement.CodeBusy)
	c.Check(u.last().State, qt.Equals, statement.TxNone)
	u.do(statement.KindBegin, "", "")
	decide(0, true)
	c.Check(u.last().State, qt.Equals, statement.TxOpen)
}

// Guards against an operation that is run with a key that was withdrawn while it waited for its admission.
func TestKeyWithdrawnDuringTheAdmission(t *testing.T) {
	c := qt.New(t)
	w, u, decide := waitingWorld(c)
	u.do(statement.KindWrite, "", "item data")
	w.withdrawKeys()
	c.Check(u.closed, qt.IsFalse)
	decide(0, true)
	c.Check(w.count("q1"), qt.Equals, 0)
	c.Check(u.answers, qt.HasLen, 1)
	c.Check(u.last().Code, qt.Equals, statement.CodeNoAccount)
	c.Check(u.closed, qt.IsTrue)
	c.Check(w.returned, qt.Equals, 1)
}

// Guards against a token that is lost with the caller that waited for it.
func TestCallerGoneDuringTheAdmission(t *testing.T) {
	c := qt.New(t)
	w, u, decide := waitingWorld(c)
	u.do(statement.KindWrite, "", "item data")
	u.s.Disconnected()
	decide(0, true)
	c.Check(w.count("q1"), qt.Equals, 0)
	c.Check(w.returned, qt.Equals, 1)
}
