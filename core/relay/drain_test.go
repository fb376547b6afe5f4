package relay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/follow"
	"skylarkdeal/core/statement"
)

const (
	// grace is that of the shutdowns in the tests. pastReaction is a time after their begin at which sessions are being
	// closed, before half of the grace has passed.
	grace        = 6 * time.Second
	pastReaction = 2300 * time.Millisecond
)

// drainTo begins a shutdown and lets d pass.
func (w *world) drainTo(d time.Duration) {
	w.relay.Drain(grace)
	w.advance(d, true)
}

// withdrawKeys adopts a catalog without accounts.
func (w *world) withdrawKeys() {
	d := w.catalog(w.catalogInUse.Version + 1)
	d.Accounts = map[fleet.Account]catalog.Account{}
	w.relay.SetCatalog(d)
}

// Guards against a shutdown that drops an operation which waits for its admission while sessions are being closed.
func TestShutdownRunsWhatWaitsForItsAdmission(t *testing.T) {
	c := qt.New(t)
	for _, k := range []statement.Kind{statement.KindRead, statement.KindWrite} {
		w, u, decide := waitingWorld(c)
		w.drainTo(1900 * time.Millisecond)
		id := u.do(k, "", "item data")
		w.advance(400*time.Millisecond, true)
		c.Check(u.closed, qt.IsFalse)
		decide(0, true)
		c.Check(w.count(string(id)), qt.Equals, 1)
		c.Check(u.answers, qt.HasLen, 1)
		c.Check(u.last().Code, qt.Equals, statement.CodeNone)
		c.Check(w.returned, qt.Equals, 0)
		c.Check(u.closed, qt.IsTrue)
		c.Check(w.relay.Drained(), qt.IsTrue)
	}
}

// Guards against a shutdown that ends a session without a whole answer to an operation over its account's rate.
func TestShutdownAnswersWhatIsNotAdmitted(t *testing.T) {
	c := qt.New(t)
	w, u, decide := waitingWorld(c)
	w.drainTo(1900 * time.Millisecond)
	u.do(statement.KindWrite, "", "item data")
	w.advance(400*time.Millisecond, true)
	decide(70*time.Millisecond, false)
	c.Check(u.last().Code, qt.Equals, statement.CodeBusy)
	c.Check(u.last().RetryAfter, qt.Equals, 70*time.Millisecond)
	c.Check(u.closed, qt.IsTrue)
}

// Guards against a transaction whose beginning waits for its admission and that a shutdown drops, or lets go on for
// longer than half of the grace.
func TestShutdownLetsAnAdmittedTransactionEnd(t *testing.T) {
	c := qt.New(t)
	for _, commits := range []bool{true, false} {
		w, u, decide := waitingWorld(c)
		w.drainTo(1900 * time.Millisecond)
		u.do(statement.KindBegin, "", "")
		w.advance(400*time.Millisecond, true)
		decide(0, true)
		c.Check(u.last().State, qt.Equals, statement.TxOpen)
		u.do(statement.KindWrite, "", "item data")
		if commits {
			u.do(statement.KindCommit, "", "")
			c.Check(u.last().Code, qt.Equals, statement.CodeNone)
			c.Check(u.closed, qt.IsTrue)
			continue
		}
		w.advance(time.Second, true)
		c.Check(u.code, qt.Equals, statement.CodeAborted)
		c.Check(u.closed, qt.IsTrue)
	}
}

// Guards against a key that is withdrawn during a shutdown and goes on to be used by what waits for its admission.
func TestKeyWithdrawnDuringAShutdown(t *testing.T) {
	c := qt.New(t)
	w, u, decide := waitingWorld(c)
	w.drainTo(1900 * time.Millisecond)
	u.do(statement.KindWrite, "", "item data")
	w.advance(400*time.Millisecond, true)
	w.withdrawKeys()
	decide(0, true)
	c.Check(w.count("q1"), qt.Equals, 0)
	c.Check(u.answers, qt.HasLen, 1)
	c.Check(u.last().Code, qt.Equals, statement.CodeNoAccount)
	c.Check(u.closed, qt.IsTrue)
}

// Guards against a key that is withdrawn during a shutdown and goes on to be used in an open transaction.
func TestKeyOfATransactionWithdrawnDuringAShutdown(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	u := w.open("rush", "key-1")
	u.do(statement.KindBegin, "", "")
	u.do(statement.KindWrite, "", "item data")
	w.instances["a"].hold = true
	w.drainTo(2100 * time.Millisecond)
	u.do(statement.KindWrite, "", "item data")
	w.advance(200*time.Millisecond, true)
	w.withdrawKeys()
	w.instances["a"].hold = false
	w.deliver()
	c.Check(u.answers, qt.HasLen, 3)
	c.Check(u.closed, qt.IsTrue)
	c.Check(u.code, qt.Equals, statement.CodeNoAccount)
}

// Guards against an answer that is cut off because its caller reads it slowly while the session ends: by a shutdown, a
// withdrawn key, a host that may be outdated, or at the caller's own request.
func TestSessionEndsOnceItsAnswersAreWritten(t *testing.T) {
	c := qt.New(t)
	for _, end := range []func(w *world, u *caller){
		func(w *world, _ *caller) { w.drainTo(pastReaction) },
		func(w *world, _ *caller) {
			w.withdrawKeys()
		},
		func(w *world, _ *caller) {
			w.relay.SetCatalogOutdated(follow.OutdatedBehind)
			w.advance(pastReaction, true)
		},
		func(_ *world, u *caller) { u.s.Bye() },
	} {
		w := newWorld(c).withConfirmedPrimary()
		u := w.open("rush", "key-1")
		u.do(statement.KindRead, "", "item")
		c.Assert(u.last().Code, qt.Equals, statement.CodeNone)
		u.unsettled = true
		end(w, u)
		w.advance(600*time.Millisecond, true)
		c.Check(u.closed, qt.IsFalse)
		c.Check(w.relay.Drained(), qt.IsFalse)
		u.unsettled = false
		w.advance(50*time.Millisecond, true)
		c.Check(u.closed, qt.IsTrue)
		c.Check(w.relay.State().Counts.AnswersCut, qt.Equals, uint64(0))
	}
}

// Guards against a session that never ends because its caller doesn't read.
func TestCallerThatDoesNotReadIsCutOff(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	u := w.open("rush", "key-1")
	u.unsettled = true
	w.withdrawKeys()
	w.advance(29*time.Second, true)
	c.Check(u.closed, qt.IsFalse)
	w.advance(2*time.Second, true)
	c.Check(u.closed, qt.IsTrue)
	c.Check(w.relay.State().Counts.AnswersCut, qt.Equals, uint64(1))
}

// Guards against a statement that its caller has sent ahead and that a shutdown leaves without an answer.
func TestShutdownAnswersStatementsSentAhead(t *testing.T) {
	c := qt.New(t)
	w, u, decide := waitingWorld(c)
	w.drainTo(1900 * time.Millisecond)
	u.do(statement.KindWrite, "", "item data")
	w.advance(400*time.Millisecond, true)
	u.unsettled = true
	decide(0, true)
	c.Check(u.closed, qt.IsFalse)
	ahead := u.do(statement.KindWrite, "", "item data")
	decide(0, true)
	c.Check(w.count(string(ahead)), qt.Equals, 1)
	c.Check(u.answers, qt.HasLen, 2)
	w.advance(time.Second, true)
	late := u.do(statement.KindWrite, "", "item data")
	c.Check(w.count(string(late)), qt.Equals, 0)
	c.Check(u.last().Code, qt.Equals, statement.CodeBusy)
	c.Check(u.last().RetryAfter > 0, qt.IsTrue)
	u.unsettled = false
	u.s.EndIfSettled()
	c.Check(u.closed, qt.IsTrue)
	c.Check(u.code, qt.Equals, statement.CodeNone)
}

// Guards against a statement that runs after its key was withdrawn, or without an answer, because its caller had sent
// it ahead of the end of the session.
func TestStatementAfterTheEndIsNotRun(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	withdrawn, ended, gone := w.open("rush", "key-1"), w.open("rush", "key-1"), w.open("rush", "key-1")
	withdrawn.unsettled, ended.unsettled = true, true
	ended.s.Bye()
	ended.do(statement.KindWrite, "", "item data")
	c.Check(ended.last().Code, qt.Equals, statement.CodeMalformed)
	w.withdrawKeys()
	withdrawn.do(statement.KindWrite, "", "item data")
	c.Check(withdrawn.last().Code, qt.Equals, statement.CodeNoAccount)
	gone.s.Disconnected()
	gone.do(statement.KindWrite, "", "item data")
	gone.s.HandleMalformed("q2")
	c.Check(gone.answers, qt.HasLen, 0)
	c.Check(w.count("q1"), qt.Equals, 0)
}

// Guards against a panic, or a second answer, at the end of the grace with many statements in progress: the end of one
// makes room for others, and ends them too.
func TestEndOfTheGraceAnswersEachOnce(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	var callers []*caller
	for n := range 24 {
		u := w.open("rush", "key-1")
		callers = append(callers, u)
		if n%3 == 0 {
			u.do(statement.KindBegin, "", "")
		}
	}
	w.instances["a"].hold = true
	w.relay.Drain(grace)
	before := map[*caller]int{}
	for _, u := range callers {
		before[u] = len(u.answers)
		u.do(statement.KindWrite, "", "item data")
	}
	w.relay.EndDrain()
	w.instances["a"].hold = false
	w.deliver()
	for _, u := range callers {
		c.Check(u.answers, qt.HasLen, before[u]+1)
		c.Check(u.closed, qt.IsTrue)
	}
}

// Guards against statements that the end of a shutdown's grace leaves without an answer, or with one that isn't true.
func TestEndOfTheGraceAnswersEverything(t *testing.T) {
	c := qt.New(t)
	begin := func(u *caller) {
		u.do(statement.KindBegin, "", "")
		u.do(statement.KindWrite, "", "item data")
	}
	for _, x := range []struct {
		name    string
		prepare func(u *caller)
		hold    bool
		kind    statement.Kind
		code    statement.Code
	}{
		{"sent read", func(*caller) {}, true, statement.KindRead, statement.CodeTimeout},
		{"sent write", func(*caller) {}, true, statement.KindWrite, statement.CodeInDoubt},
		{"statement of a transaction", begin, true, statement.KindRead, statement.CodeAborted},
		{"commit of writes", begin, true, statement.KindCommit, statement.CodeInDoubt},
		{"waits for its admission", func(u *caller) {
			u.w.admitLater = func(func(time.Duration, bool)) {}
		}, false, statement.KindWrite, statement.CodeBusy},
		{"waits for the primary", func(u *caller) {
			u.w.breakConns(u.w.instances["a"])
			u.w.instances["a"].silent = true
		}, false, statement.KindWrite, statement.CodeBusy},
	} {
		c.Run(x.name, func(c *qt.C) {
			w := newWorld(c).withConfirmedPrimary()
			u := w.open("rush", "key-1")
			u.do(statement.KindRead, "", "item")
			x.prepare(u)
			w.instances["a"].hold = x.hold
			before := len(u.answers)
			w.relay.Drain(grace)
			id := u.do(x.kind, "", "item data")
			c.Assert(u.answers, qt.HasLen, before)
			w.relay.EndDrain()
			w.deliver()
			c.Check(u.answers, qt.HasLen, before+1)
			c.Check(u.last().Code, qt.Equals, x.code)
			c.Check(u.closed, qt.IsTrue)
			c.Check(x.code == statement.CodeBusy && w.count(string(id)) > 0, qt.IsFalse)
			c.Check(w.relay.State().Counts.StatementsCut, qt.Equals, uint64(0))
			c.Check(w.relay.State().Sessions, qt.Equals, 0)
		})
	}
}
