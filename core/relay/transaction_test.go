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

// A transaction has a connection of its own from its first statement to its end: another
// session of the same account must not run inside it, nor it outside.
// A caller gets rows under another's values. An instance is busy for a moment, as its log is rolled
// back to its new primary's, and turns away what was to clear a connection. The connection is at
// rest again and taken for a cleared one.
func TestConnectionThatWasNotClearedIsNotReused(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	x := w.open("rush", "key-1")
	x.do(statement.KindSet, "v0", "x")
	x.do(statement.KindRead, "", "of-x")
	a := w.instances["a"]
	a.busy = true
	w.open("rush", "key-1").do(statement.KindRead, "", "turned away")
	a.busy = false
	before := len(a.ran)
	for range 2 {
		w.open("rush", "key-1").do(statement.KindRead, "", "of-z")
		w.pass(50*time.Millisecond, true)
	}
	c.Assert(a.ran[before:], qt.DeepEquals, []string{"read q1", "read q1"})
}

func TestTransactionKeepsItsConnection(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
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
	c.Assert(w.instances["a"].ran, qt.DeepEquals, []string{
		"begin q1", "write q2", "write q1", "write q3", "commit q4",
	})
}

// The primary breaks off in the middle of a transaction that hasn't been told to commit.
// Nothing of it is kept, so its caller hears that it was rolled back, not that it is in
// doubt; and a commit of reads alone is in no doubt either.
func TestTransactionCutBeforeItsCommitWasRolledBack(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	x := w.open("rush", "key-1")
	x.do(statement.KindBegin, "", "")
	x.do(statement.KindWrite, "", "item data")
	w.cut(w.instances["a"])
	x.do(statement.KindWrite, "", "item data")
	c.Assert(x.last().Code, qt.Equals, statement.CodeMalformed)
	x.do(statement.KindCommit, "", "")
	c.Assert(x.last().Code, qt.Equals, statement.CodeAborted)
	c.Assert(x.last().State, qt.Equals, statement.TxNone)
}

func TestCommitThatWasSentIsInDoubt(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	x := w.open("rush", "key-1")
	x.do(statement.KindBegin, "", "")
	x.do(statement.KindWrite, "", "item data")
	w.instances["a"].hold = true
	x.do(statement.KindCommit, "", "")
	w.cut(w.instances["a"])
	c.Assert(x.last().Code, qt.Equals, statement.CodeInDoubt)
	c.Assert(x.last().State, qt.Equals, statement.TxNone)
}

// Rates count operations, not statements: a transaction is one, whatever its length.
func TestTransactionIsOneOperation(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	asked := 0
	w.over = func(catalog.Account) (time.Duration, bool) { asked++; return 0, asked < 3 }
	x := w.open("rush", "key-1")
	x.do(statement.KindBegin, "", "")
	x.do(statement.KindRead, "", "item")
	x.do(statement.KindRead, "", "item")
	x.do(statement.KindCommit, "", "")
	c.Assert(asked, qt.Equals, 1)
	x.do(statement.KindRead, "", "item")
	c.Assert(asked, qt.Equals, 2)
	x.do(statement.KindRead, "", "item")
	c.Assert(x.last().Code, qt.Equals, statement.CodeBusy)
	c.Assert(x.last().State, qt.Equals, statement.TxNone)
}

// A caller begins, writes and goes away without a sign. Its connection, of which there are
// few, is given back, and what it wrote is rolled back.
func TestIdleTransactionIsRolledBack(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	x := w.open("rush", "key-1")
	x.do(statement.KindBegin, "", "")
	x.do(statement.KindWrite, "", "item data")
	w.pass(3100*time.Millisecond, true)
	c.Assert(w.count("rollback"), qt.Equals, 1)
	x.do(statement.KindCommit, "", "")
	c.Assert(x.last().Code, qt.Equals, statement.CodeAborted)
}

// A host is told to end. Sessions at rest are closed once the balancer knows; a
// transaction gets half of the grace; nothing that was sent is cut.
func TestShutdownLetsTransactionsEnd(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	resting, tx, slow := w.open("rush", "key-1"), w.open("rush", "key-1"), w.open("rush", "key-1")
	for _, x := range []*caller{tx, slow} {
		x.do(statement.KindBegin, "", "")
		x.do(statement.KindWrite, "", "item data")
	}
	w.relay.Drain(6 * time.Second)
	c.Assert(w.relay.Ready(), qt.IsFalse)
	w.pass(time.Second, true)
	c.Assert(resting.closed, qt.IsFalse)
	w.pass(1500*time.Millisecond, true)
	c.Assert(resting.closed, qt.IsTrue)
	tx.do(statement.KindCommit, "", "")
	c.Assert(tx.last().Digest, qt.Equals, "d-a")
	c.Assert(w.relay.Drained(), qt.IsFalse)
	w.pass(600*time.Millisecond, true)
	c.Assert(slow.code, qt.Equals, statement.CodeAborted)
	c.Assert(tx.closed, qt.IsTrue)
	c.Assert(w.relay.Drained(), qt.IsTrue)
}

// A transaction has written, and its caller sets a value. The primary is replaced, and
// refuses the value as it refuses all of the transaction. What the caller writes next must
// not run by itself at the successor: half of the transaction would be kept.
func TestTransactionWhoseValueIsRefusedIsRolledBack(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	x := w.open("rush", "key-1")
	x.do(statement.KindBegin, "", "")
	x.do(statement.KindWrite, "", "item data")
	x.do(statement.KindSet, "zone", "north")
	w.instances["a"].role = fleet.RoleReplica
	w.instances["b"].role, w.instances["b"].term = fleet.RolePrimary, 2
	w.relay.AddRecord(leader.Record{Service: service, Term: 2, Primary: "b", Former: "a", Revision: 7})
	w.pass(200*time.Millisecond, true)
	id := x.do(statement.KindWrite, "", "item data")
	w.pass(200*time.Millisecond, true)
	c.Assert(w.count(string(id)), qt.Equals, 0)
	c.Assert(x.last().Code, qt.Equals, statement.CodeAborted)
	c.Assert(x.last().State, qt.Equals, statement.TxFailed)
	x.do(statement.KindCommit, "", "")
	c.Assert(x.last().Code, qt.Equals, statement.CodeAborted)
	c.Assert(x.last().State, qt.Equals, statement.TxNone)
	c.Assert(w.count("rollback"), qt.Equals, 1)
}

// The same, but the connection breaks while the value is being set.
func TestTransactionCutWhileItsValueIsSetIsRolledBack(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	x := w.open("rush", "key-1")
	x.do(statement.KindBegin, "", "")
	x.do(statement.KindWrite, "", "item data")
	x.do(statement.KindSet, "zone", "north")
	w.instances["a"].hold = true
	id := x.do(statement.KindWrite, "", "item data")
	w.instances["a"].hold = false
	w.cut(w.instances["a"])
	w.pass(200*time.Millisecond, true)
	c.Assert(w.count(string(id)), qt.Equals, 0)
	c.Assert(x.last().Code, qt.Equals, statement.CodeAborted)
	c.Assert(x.last().State, qt.Equals, statement.TxFailed)
	x.do(statement.KindCommit, "", "")
	c.Assert(x.last().State, qt.Equals, statement.TxNone)
}
