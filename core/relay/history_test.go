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

// promotionOfB is the order under which b is to lead after a, in term 2.
var promotionOfB = leader.Record{Service: service, Term: 2, Primary: "b", Former: "a", Revision: 7}

// newConnectedWorld returns a world whose relay has a point of the primary a, and connections to all
// instances. Of the replicas it prefers c, which is nearer.
func newConnectedWorld(c *qt.C) *world {
	w := newWorld(c).settled()
	w.open("rush", "key-1").do(statement.KindRead, "", "for the sample")
	for _, busy := range []fleet.Instance{"a", "b", "c"} {
		w.instances[busy].hold = true
		for range 4 {
			w.open("stock", "key-1").do(statement.KindRead, "", "item")
			w.pass(20*time.Millisecond, true)
		}
	}
	for _, i := range w.instances {
		i.hold = false
		c.Assert(len(i.conns) > 0, qt.IsTrue, qt.Commentf("no connection to %s", i.name))
	}
	w.deliver()
	// What they took while they were held counts no more after this.
	w.pass(3*time.Second, true)
	w.instances["b"].far = true
	w.list()
	w.open("rush", "key-1").do(statement.KindRead, "", "for the sample")
	return w
}

// newLateAnswerWorld returns a world in which a is lost and b, a late replica, has just begun to lead, and
// what delivers an answer that b gave before.
func newLateAnswerWorld(c *qt.C) (*world, func()) {
	w := newConnectedWorld(c)
	w.instances["a"].point.Index = 9
	w.lose("a")
	w.pass(1900*time.Millisecond, true)
	b := w.instances["b"]
	b.hold = true
	w.relay.AddRecord(promotionOfB)
	w.pass(80*time.Millisecond, true)
	c.Assert(b.pending, qt.HasLen, 2, qt.Commentf("an answer, and a second connection"))
	asReplica, connected := b.pending[0], b.pending[1]
	b.pending, b.hold = nil, false
	w.promote().point.Index = 9
	w.instances["c"].term = 2
	connected()
	return w, asReplica
}

// promote has b lead term 2 with the log that it has.
func (w *world) promote() *node {
	b := w.instances["b"]
	b.role, b.term = fleet.RolePrimary, 2
	return b
}

// readOnce has a new session of a database read once and returns how often each instance has run
// it by the end of a wait.
func (w *world) readOnce(d catalog.Database, wait time.Duration, renewed bool) (map[fleet.Instance]int, *caller) {
	before := map[fleet.Instance]int{}
	for n, i := range w.instances {
		before[n] = len(i.ran)
	}
	x := w.open(d, "key-1")
	x.do(statement.KindRead, "", "item")
	w.pass(wait, renewed)
	ran := map[fleet.Instance]int{}
	for n, i := range w.instances {
		ran[n] = len(i.ran) - before[n]
	}
	return ran, x
}

// Collectors browse what may be 1.5 s old, and are shown a bottle that left 2 s ago. The primary
// and its hosts are cut off; they still acknowledge a withdrawal that no replica hears of. When b
// leads, its log ends where c's does, in the old term, and c has not heard of the change: its
// log is still that of the old primary, and lacks the withdrawal. The cause: a point of the old
// term covers nothing of the new one. A replica that is asked says which term it is in.
func TestReplicaIsReadOnlyOnceItHasJoinedTheNewTerm(t *testing.T) {
	c := qt.New(t)
	w := newConnectedWorld(c)
	w.instances["a"].point.Index = 6
	w.lose("a")
	w.relay.AddRecord(promotionOfB)
	w.pass(1900*time.Millisecond, true)
	w.promote()
	_, first := w.readOnce("rush", 100*time.Millisecond, true)
	c.Assert(first.last().Code, qt.Equals, statement.CodeNone)
	ran, x := w.readOnce("stock", 100*time.Millisecond, true)
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
	c.Assert(ran["c"], qt.Equals, 0, qt.Commentf("c has not joined the new reign"))
	c.Assert(ran["b"], qt.Equals, 1)

	w.instances["c"].term = 2
	w.pass(200*time.Millisecond, true)
	ran, _ = w.readOnce("stock", 100*time.Millisecond, true)
	c.Assert(ran["c"], qt.Equals, 1, qt.Commentf("c has joined it, and spares the primary the read"))
}

// The same callers, with replicas that apply late. b says on one connection where its log ends
// as a replica, and a moment later, on another, that it leads, with all that it had received.
// The second answer is read first, as connections have no order among each other. The point of
// the first is below what b leads with, and c, whose log is as short, is taken for fresh. The
// cause: what counts is when an answer is read, not when it was asked for. The log of a late
// replica ends far before what it has received, and at that when it is promoted.
func TestLogPositionFromBeforeThePromotionIsIgnored(t *testing.T) {
	c := qt.New(t)
	w, late := newLateAnswerWorld(c)
	w.pass(70*time.Millisecond, true)
	late()
	ran, x := w.readOnce("stock", 100*time.Millisecond, true)
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
	c.Assert(ran["c"], qt.Equals, 0, qt.Commentf("its log ends at %v", w.instances["c"].point))
	c.Assert(ran["b"], qt.Equals, 1)
}

// A pastry kitchen orders on one host and asks on another, which doesn't see the order. An order
// of a change has taken effect: the first host has heard it and acknowledges writes of the new
// primary. The second asks the new one every 50 ms whether it leads, and until then goes on with
// the former, where the read runs, whatever becomes of its answer. The cause: that the former leads
// was proved for answers, after the run, and for no read before it.
func TestReadDoesNotRunOnAnUnverifiedFormerPrimary(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	w.relay.AddRecord(promotionOfB)
	w.pass(1050*time.Millisecond, true)
	w.promote().point = fleet.LogPosition{Term: 2, Index: 6}
	ran, x := w.readOnce("rush", 100*time.Millisecond, true)
	c.Assert(ran["a"], qt.Equals, 0, qt.Commentf("a lacks what b has acknowledged"))
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
	c.Assert(ran["b"], qt.Equals, 1)
}

// A host has lost the store, and the primary that it knows is replaced. It reaches all
// instances: one question to each shows that b leads, but it was put after the read had run on a,
// which lacks what b has acknowledged by then. The cause is that of the test before.
func TestReadDoesNotRunOnAnUnverifiedPrimaryWithoutTheStore(t *testing.T) {
	for _, d := range []catalog.Database{"rush", "stock", "standing"} {
		t.Run(string(d), func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(c).settled()
			w.open("rush", "key-1").do(statement.KindRead, "", "for the sample")
			w.pass(4*time.Second, false)
			w.promote().point = fleet.LogPosition{Term: 2, Index: 6}
			w.pass(3*time.Second, false)
			ran, _ := w.readOnce(d, 100*time.Millisecond, false)
			c.Assert(ran["a"], qt.Equals, 0, qt.Commentf("a lacks what b has acknowledged 3 s before"))
		})
	}
}

// The host of the test before, with nothing replaced: callers are served all the same, and the
// replicas take their part of the reads.
func TestReadsAreServedWithoutTheStore(t *testing.T) {
	for _, d := range []catalog.Database{"rush", "stock", "standing"} {
		t.Run(string(d), func(t *testing.T) {
			c := qt.New(t)
			w := newConnectedWorld(c)
			w.pass(4*time.Second, false)
			ran, x := w.readOnce(d, 100*time.Millisecond, false)
			c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
			c.Assert(ran["a"]+ran["b"]+ran["c"], qt.Equals, 1)
			w.pass(time.Second, false)
			ran, x = w.readOnce(d, 100*time.Millisecond, false)
			c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
			c.Assert(ran["a"] == 0, qt.Equals, d != "rush")
		})
	}
}
