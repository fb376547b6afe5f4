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

// Guards against a caller that gets rows under another caller's session values. An instance that is
// rolling its log back to that of its new primary is busy, and rejects the statement that clears a
// connection. The connection is idle again and was taken for a cleared one.
func TestConnectionThatWasNotClearedIsNotReused(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	x := w.open("rush", "key-1")
	x.do(statement.KindSet, "v0", "x")
	x.do(statement.KindRead, "", "of-x")
	a := w.instances["a"]
	a.busy = true
	w.open("rush", "key-1").do(statement.KindRead, "", "turned away")
	a.busy = false
	before := len(a.executed)
	for range 2 {
		w.open("rush", "key-1").do(statement.KindRead, "", "of-z")
		w.advance(50*time.Millisecond, true)
	}
	c.Assert(a.executed[before:], qt.DeepEquals, []string{"read q1", "read q1"})
}

// A transaction has a connection of its own from its first statement to its end: another session of
// the same account must not run inside it, nor the transaction outside of it.
func TestTransactionKeepsItsConnection(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	x, y := w.open("rush", "key-1"), w.open("rush", "key-1")
	x.do(statement.KindBegin, "", "")
	c.Assert(x.last().State, qt.Equals, statement.TxOpen)
	x.do(statement.KindWrite, "", "1 a")
	y.do(statement.KindWrite, "", "2 b")
	x.do(statement.KindWrite, "", "3 c")
	x.do(statement.KindCommit, "", "")
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
	c.Assert(x.last().State, qt.Equals, statement.TxNone)
	var open int
	for _, l := range w.instances["a"].conns {
		if l.state == statement.TxOpen {
			open++
		}
	}
	c.Assert(open, qt.Equals, 0)
	c.Assert(w.instances["a"].executed, qt.DeepEquals, []string{
		"begin q1", "write q2", "write q1", "write q3", "commit q4",
	})
}

// The primary closes the connection in the middle of a transaction, before a commit was sent.
// Nothing of it is kept, so its caller must learn that it was rolled back, not that it is in doubt.
// A commit of reads alone is not in doubt either.
func TestTransactionCutBeforeItsCommitWasRolledBack(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	x := w.open("rush", "key-1")
	x.do(statement.KindBegin, "", "")
	x.do(statement.KindWrite, "", "item data")
	w.breakConns(w.instances["a"])
	x.do(statement.KindWrite, "", "item data")
	c.Assert(x.last().Code, qt.Equals, statement.CodeMalformed)
	x.do(statement.KindCommit, "", "")
	c.Assert(x.last().Code, qt.Equals, statement.CodeAborted)
	c.Assert(x.last().State, qt.Equals, statement.TxNone)
}

// A connection breaks after a commit was sent on it, and before its answer. The commit may have been
// run, so its caller must learn that it is in doubt.
func TestCommitThatWasSentIsInDoubt(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	x := w.open("rush", "key-1")
	x.do(statement.KindBegin, "", "")
	x.do(statement.KindWrite, "", "item data")
	w.instances["a"].hold = true
	x.do(statement.KindCommit, "", "")
	w.breakConns(w.instances["a"])
	c.Assert(x.last().Code, qt.Equals, statement.CodeInDoubt)
	c.Assert(x.last().State, qt.Equals, statement.TxNone)
}

// Rates count operations, not statements: a transaction is one operation, whatever its length.
func TestTransactionIsOneOperation(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	checks := 0
	w.admit = func(catalog.Account) (time.Duration, bool) { checks++; return 0, checks < 3 }
	x := w.open("rush", "key-1")
	x.do(statement.KindBegin, "", "")
	x.do(statement.KindRead, "", "item")
	x.do(statement.KindRead, "", "item")
	x.do(statement.KindCommit, "", "")
	c.Assert(checks, qt.Equals, 1)
	x.do(statement.KindRead, "", "item")
	c.Assert(checks, qt.Equals, 2)
	x.do(statement.KindRead, "", "item")
	c.Assert(x.last().Code, qt.Equals, statement.CodeBusy)
	c.Assert(x.last().State, qt.Equals, statement.TxNone)
}

// A caller begins a transaction, writes and disappears without closing its session. The connection,
// of which there are few, must be released, and the write rolled back.
func TestIdleTransactionIsRolledBack(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	x := w.open("rush", "key-1")
	x.do(statement.KindBegin, "", "")
	x.do(statement.KindWrite, "", "item data")
	w.advance(3100*time.Millisecond, true)
	c.Assert(w.count("rollback"), qt.Equals, 1)
	x.do(statement.KindCommit, "", "")
	c.Assert(x.last().Code, qt.Equals, statement.CodeAborted)
}

// A host is told to shut down. Idle sessions are closed once the balancer knows; a transaction gets
// half of the grace period; no statement that was sent is cut off.
func TestShutdownLetsTransactionsEnd(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	idle, tx, slow := w.open("rush", "key-1"), w.open("rush", "key-1"), w.open("rush", "key-1")
	for _, x := range []*caller{tx, slow} {
		x.do(statement.KindBegin, "", "")
		x.do(statement.KindWrite, "", "item data")
	}
	w.relay.Drain(6 * time.Second)
	c.Assert(w.relay.Ready(), qt.IsFalse)
	w.advance(time.Second, true)
	c.Assert(idle.closed, qt.IsFalse)
	w.advance(1500*time.Millisecond, true)
	c.Assert(idle.closed, qt.IsTrue)
	tx.do(statement.KindCommit, "", "")
	c.Assert(tx.last().Digest, qt.Equals, "d-a")
	c.Assert(w.relay.Drained(), qt.IsFalse)
	w.advance(600*time.Millisecond, true)
	c.Assert(slow.code, qt.Equals, statement.CodeAborted)
	c.Assert(tx.closed, qt.IsTrue)
	c.Assert(w.relay.Drained(), qt.IsTrue)
}

// A transaction has written, and its caller sets a session value. The primary is replaced and
// refuses the value, as it refuses all of the transaction. The caller's next write must not run on
// its own at the successor: half of the transaction would be kept.
func TestTransactionWhoseValueIsRefusedIsRolledBack(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	x := w.open("rush", "key-1")
	x.do(statement.KindBegin, "", "")
	x.do(statement.KindWrite, "", "item data")
	x.do(statement.KindSet, "zone", "north")
	w.instances["a"].role = fleet.RoleReplica
	w.instances["b"].role, w.instances["b"].term = fleet.RolePrimary, 2
	w.relay.AddRecord(leader.Record{Service: service, Term: 2, Primary: "b", Former: "a", Revision: 7})
	w.advance(200*time.Millisecond, true)
	id := x.do(statement.KindWrite, "", "item data")
	w.advance(200*time.Millisecond, true)
	c.Assert(w.count(string(id)), qt.Equals, 0)
	c.Assert(x.last().Code, qt.Equals, statement.CodeAborted)
	c.Assert(x.last().State, qt.Equals, statement.TxFailed)
	x.do(statement.KindCommit, "", "")
	c.Assert(x.last().Code, qt.Equals, statement.CodeAborted)
	c.Assert(x.last().State, qt.Equals, statement.TxNone)
	c.Assert(w.count("rollback"), qt.Equals, 1)
}

// As in TestTransactionWhoseValueIsRefusedIsRolledBack, but the connection breaks while the value
// is being set.
func TestTransactionCutWhileItsValueIsSetIsRolledBack(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	x := w.open("rush", "key-1")
	x.do(statement.KindBegin, "", "")
	x.do(statement.KindWrite, "", "item data")
	x.do(statement.KindSet, "zone", "north")
	w.instances["a"].hold = true
	id := x.do(statement.KindWrite, "", "item data")
	w.instances["a"].hold = false
	w.breakConns(w.instances["a"])
	w.advance(200*time.Millisecond, true)
	c.Assert(w.count(string(id)), qt.Equals, 0)
	c.Assert(x.last().Code, qt.Equals, statement.CodeAborted)
	c.Assert(x.last().State, qt.Equals, statement.TxFailed)
	x.do(statement.KindCommit, "", "")
	c.Assert(x.last().State, qt.Equals, statement.TxNone)
}
