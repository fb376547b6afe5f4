package relay_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
)

// beginIdle opens n sessions of an account that each write in a transaction and then stay idle.
func (w *world) beginIdle(n int, k catalog.Key) []*caller {
	var out []*caller
	for range n {
		x := w.open("rush", k)
		x.do(statement.KindBegin, "", "")
		x.do(statement.KindWrite, "", "item data")
		out = append(out, x)
	}
	return out
}

// Guards against callers that are refused while idle transactions hold all connections: they were held for
// the operator's 3 s, and all others were refused at their target of 200 ms.
func TestIdleTransactionMakesRoomForOthers(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withFewConnections(4)
	idle := w.beginIdle(8, "key-hotel")
	w.advance(20*time.Millisecond, true)
	for _, k := range []catalog.Key{"key-florist", "key-museum"} {
		x := w.open("rush", k)
		x.do(statement.KindWrite, "", "theirs")
		w.advance(180*time.Millisecond, true)
		c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
	}
	aborted := 0
	for _, x := range idle {
		before := len(x.answers)
		if x.last().Code != statement.CodeNone {
			continue
		}
		x.do(statement.KindWrite, "", "late")
		w.advance(10*time.Millisecond, true)
		if len(x.answers) == before || x.last().Code != statement.CodeAborted {
			continue
		}
		aborted++
		c.Assert(x.last().State, qt.Equals, statement.TxFailed)
		x.do(statement.KindCommit, "", "")
		c.Assert(x.last().Code, qt.Equals, statement.CodeAborted)
	}
	c.Assert(aborted > 0, qt.IsTrue)
	c.Assert(w.relay.State().Counts.IdleRollbacks > 0, qt.IsTrue)
}

// Guards against an account whose callers take each connection again that its idle transactions give up: the
// others wait for as long as it has callers.
func TestAccountInTransactionsLeavesHalfOfTheConnections(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withFewConnections(4)
	w.beginIdle(8, "key-hotel")
	served := 0
	for range 10 {
		x := w.open("rush", "key-florist")
		x.do(statement.KindWrite, "", "theirs")
		w.beginIdle(4, "key-hotel")
		w.advance(180*time.Millisecond, true)
		if x.last().Code == statement.CodeNone {
			served++
		}
	}
	c.Assert(served, qt.Equals, 10)
}

// Guards against transactions that are rolled back although nobody needs their connections.
func TestIdleTransactionStaysWhileNobodyWaits(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withFewConnections(4)
	x := w.beginIdle(1, "key-hotel")[0]
	for range 20 {
		w.open("rush", "key-florist").do(statement.KindWrite, "", "theirs")
		w.advance(100*time.Millisecond, true)
	}
	x.do(statement.KindCommit, "", "")
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
	c.Assert(w.relay.State().Counts.IdleRollbacks, qt.Equals, uint64(0))
}

// Guards against a host that was paused and takes transactions for idle whose statements wait in its sockets.
func TestPauseOfTheHostEndsNoTransaction(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withFewConnections(4)
	w.beginIdle(4, "key-hotel")
	y := w.open("rush", "key-florist")
	y.do(statement.KindWrite, "", "theirs")
	w.advance(10*time.Millisecond, true)
	w.now = w.now.Add(150 * time.Millisecond)
	w.renew()
	w.relay.Tick()
	w.deliver()
	c.Assert(w.relay.State().Counts.IdleRollbacks, qt.Equals, uint64(0))
}

// forwardTx begins a transaction over another host's stream and writes in it, and returns a function that runs
// the next statement.
func (w *world) forwardTx(stream uint64, reply func(statement.Answer)) func(k statement.Kind) {
	f := relay.Forward{
		Stream: stream, Service: service, Instance: "a", Account: "hotel", Timeout: time.Second,
		QueueWait: time.Second, Open: true,
		Statements: []statement.Statement{
			{ID: statement.ID(fmt.Sprint("b", stream)), Kind: statement.KindBegin},
			{ID: statement.ID(fmt.Sprint("w", stream)), Kind: statement.KindWrite, Text: "1 a"},
		},
	}
	w.relay.HandleForward(1, f, reply)
	w.deliver()
	return func(k statement.Kind) {
		f.Open, f.Statements = false, []statement.Statement{{ID: "next", Kind: k, Text: "late"}}
		w.relay.HandleForward(1, f, reply)
		w.deliver()
	}
}

// Guards against a transaction of another host's caller that keeps its connection: the host that holds the
// connections ends it, and the next statement on the stream is answered that nothing of it is kept.
func TestHolderEndsIdleTransactionOfAnotherHost(t *testing.T) {
	for _, k := range []statement.Kind{statement.KindWrite, statement.KindCommit} {
		c := qt.New(t)
		w := newWorld(c).withFewConnections(2)
		var got []statement.Answer
		reply := func(a statement.Answer) { got = append(got, a) }
		first := w.forwardTx(1, reply)
		w.forwardTx(2, reply)
		c.Assert(got, qt.HasLen, 2)
		x := w.open("rush", "key-florist")
		x.do(statement.KindWrite, "", "theirs")
		w.advance(180*time.Millisecond, true)
		c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
		c.Assert(w.count("rollback"), qt.Equals, 1)
		first(k)
		c.Assert(got[len(got)-1].Code, qt.Equals, statement.CodeAborted)
		c.Assert(w.count("next"), qt.Equals, 0)
	}
}

// Guards against a commit that is rolled back after it was sent, while others wait for its connection and the
// instance is slow to answer.
func TestCommitThatWasSentIsNotEndedAsIdle(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withFewConnections(2)
	var got []statement.Answer
	next := w.forwardTx(1, func(a statement.Answer) { got = append(got, a) })
	w.forwardTx(2, func(statement.Answer) {})
	w.instances["a"].holdRequests = true
	next(statement.KindCommit)
	y := w.open("rush", "key-florist")
	y.do(statement.KindWrite, "", "theirs")
	w.advance(110*time.Millisecond, true)
	a := w.instances["a"]
	a.holdRequests = false
	for _, f := range a.inbox {
		f()
	}
	a.inbox = nil
	w.advance(20*time.Millisecond, true)
	c.Assert(got[len(got)-1].Code, qt.Equals, statement.CodeNone)
	c.Assert(w.count("commit next"), qt.Equals, 1)
}

// Guards against many transactions that are rolled back for one operation, since each tick ends another one
// before the instance has answered the first rollback.
func TestOneIdleTransactionIsEndedAtATime(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withFewConnections(4)
	w.beginIdle(4, "key-hotel")
	w.instances["a"].holdRequests = true
	w.open("rush", "key-florist").do(statement.KindWrite, "", "theirs")
	w.advance(150*time.Millisecond, true)
	c.Assert(w.relay.State().Counts.IdleRollbacks, qt.Equals, uint64(1))
}

// Guards against a transaction that is rolled back for an operation which waits for something else than its
// connection, such as a new connection that is being made.
func TestIdleTransactionStaysWhileThereIsRoom(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withFewConnections(4)
	w.beginIdle(1, "key-hotel")
	w.advance(550*time.Millisecond, true)
	w.instances["a"].hold = true
	w.open("rush", "key-florist").do(statement.KindWrite, "", "theirs")
	w.advance(100*time.Millisecond, true)
	c.Assert(w.relay.State().Counts.IdleRollbacks, qt.Equals, uint64(0))
}
