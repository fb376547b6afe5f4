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

// promotionOfB is the leader record that makes b the primary in term 2, after a.
var promotionOfB = leader.Record{Service: service, Term: 2, Primary: "b", Former: "a", Revision: 7}

// newConnectedWorld returns a world whose relay has a log position of the primary a and connections
// to all instances. It prefers replica c to b, because c is nearer.
func newConnectedWorld(c *qt.C) *world { return newWorld(c).connected() }

// connected makes the connections of newConnectedWorld.
func (w *world) connected() *world {
	c := w.c
	w.withConfirmedPrimary()
	w.open("rush", "key-1").do(statement.KindRead, "", "for the sample")
	for _, busy := range []fleet.Instance{"a", "b", "c"} {
		w.instances[busy].hold = true
		for range 4 {
			w.open("stock", "key-1").do(statement.KindRead, "", "item")
			w.advance(20*time.Millisecond, true)
		}
	}
	for _, i := range w.instances {
		i.hold = false
		c.Assert(len(i.conns) > 0, qt.IsTrue, qt.Commentf("no connection to %s", i.name))
	}
	w.deliver()
	// After this time the slow answers of the held instances no longer count.
	w.advance(3*time.Second, true)
	w.instances["b"].otherDataCentre = true
	w.list()
	w.open("rush", "key-1").do(statement.KindRead, "", "for the sample")
	return w
}

// newLateAnswerWorld returns a world in which a is lost and b, a lagging replica, has just been
// promoted. The function that it returns delivers an answer that b gave as a replica.
func newLateAnswerWorld(c *qt.C) (*world, func()) {
	w := newConnectedWorld(c)
	w.instances["a"].position.Index = 9
	w.makeUnreachable("a")
	w.advance(1900*time.Millisecond, true)
	b := w.instances["b"]
	b.hold = true
	w.relay.AddRecord(promotionOfB)
	w.advance(80*time.Millisecond, true)
	c.Assert(b.pending, qt.HasLen, 2, qt.Commentf("an answer, and a second connection"))
	asReplica, connected := b.pending[0], b.pending[1]
	b.pending, b.hold = nil, false
	w.promote().position.Index = 9
	w.instances["c"].term = 2
	connected()
	return w, asReplica
}

// promote makes b the primary in term 2, with the log that it has.
func (w *world) promote() *node {
	b := w.instances["b"]
	b.role, b.term = fleet.RolePrimary, 2
	return b
}

// readOnce has a new session of a database read once. It returns how many statements each instance
// has run by the end of wait, and the session.
func (w *world) readOnce(d catalog.Database, wait time.Duration, renewed bool) (map[fleet.Instance]int, *caller) {
	before := map[fleet.Instance]int{}
	for n, i := range w.instances {
		before[n] = len(i.executed)
	}
	x := w.open(d, "key-1")
	x.do(statement.KindRead, "", "item")
	w.advance(wait, renewed)
	ran := map[fleet.Instance]int{}
	for n, i := range w.instances {
		ran[n] = len(i.executed) - before[n]
	}
	return ran, x
}

// Guards against a read with an age limit of 1.5 s that misses a write of 2 s before. The old
// primary and its hosts are cut off, and still acknowledge a write that no replica receives. When b
// is promoted, its log ends where the log of c does, in the old term. c has not heard of the
// promotion, so its log lacks the write. A log position of the old term covers nothing in the new
// one, and a replica that is polled reports its term.
func TestReplicaIsReadOnlyOnceItHasJoinedTheNewTerm(t *testing.T) {
	c := qt.New(t)
	w := newConnectedWorld(c)
	w.instances["a"].position.Index = 6
	w.makeUnreachable("a")
	w.relay.AddRecord(promotionOfB)
	w.advance(1900*time.Millisecond, true)
	w.promote()
	_, first := w.readOnce("rush", 100*time.Millisecond, true)
	c.Assert(first.last().Code, qt.Equals, statement.CodeNone)
	ran, x := w.readOnce("stock", 100*time.Millisecond, true)
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
	c.Assert(ran["c"], qt.Equals, 0, qt.Commentf("c has not joined the new term"))
	c.Assert(ran["b"], qt.Equals, 1)

	w.instances["c"].term = 2
	w.advance(200*time.Millisecond, true)
	ran, _ = w.readOnce("stock", 100*time.Millisecond, true)
	c.Assert(ran["c"], qt.Equals, 1, qt.Commentf("c has joined it, and takes the read from the primary"))
}

// Guards against the same stale read with replicas that apply late. b reports on one connection
// where its log ends as a replica, and then, on another connection, that it is the primary, with
// all that it had received. The second answer is read first, as connections have no order among
// each other. The log position of the first is below the one that b leads with, so that c, whose
// log is as short, was taken for fresh. The cause: the time at which an answer was read was
// compared, not the time of its request. As a replica, b reports a log that ends far before what it
// has received; once promoted, its log ends with all of that.
func TestLogPositionFromBeforeThePromotionIsIgnored(t *testing.T) {
	c := qt.New(t)
	w, late := newLateAnswerWorld(c)
	w.advance(70*time.Millisecond, true)
	late()
	ran, x := w.readOnce("stock", 100*time.Millisecond, true)
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
	c.Assert(ran["c"], qt.Equals, 0, qt.Commentf("its log ends at %v", w.instances["c"].position))
	c.Assert(ran["b"], qt.Equals, 1)
}

// Guards against a caller that writes on one host and doesn't see the write in a read on another. A
// promotion has taken effect: the first host knows it and acknowledges writes of the new primary.
// The second polls the new primary every 50 ms, and goes on using the former one until it reports
// that it leads. That the former primary still led was verified for answers, after the run, but not
// for reads before they ran.
func TestReadDoesNotRunOnAnUnverifiedFormerPrimary(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.relay.AddRecord(promotionOfB)
	w.advance(1050*time.Millisecond, true)
	w.promote().position = fleet.LogPosition{Term: 2, Index: 6}
	ran, x := w.readOnce("rush", 100*time.Millisecond, true)
	c.Assert(ran["a"], qt.Equals, 0, qt.Commentf("a lacks what b has acknowledged"))
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
	c.Assert(ran["b"], qt.Equals, 1)
}

// A host has lost the store, and the primary that it knows is replaced. It reaches all instances:
// one poll of each shows that b leads. Guards against polling only after the read has run on a,
// which lacks what b has acknowledged by then. The cause is that of
// TestReadDoesNotRunOnAnUnverifiedFormerPrimary.
func TestReadDoesNotRunOnAnUnverifiedPrimaryWithoutTheStore(t *testing.T) {
	for _, d := range []catalog.Database{"rush", "stock", "standing"} {
		t.Run(string(d), func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(c).withConfirmedPrimary()
			w.open("rush", "key-1").do(statement.KindRead, "", "for the sample")
			w.advance(4*time.Second, false)
			w.promote().position = fleet.LogPosition{Term: 2, Index: 6}
			w.advance(3*time.Second, false)
			ran, _ := w.readOnce(d, 100*time.Millisecond, false)
			c.Assert(ran["a"], qt.Equals, 0, qt.Commentf("a lacks what b has acknowledged 3 s before"))
		})
	}
}

// Guards against reads that are refused, or all sent to the primary, while the store is lost and no
// primary has been replaced.
func TestReadsAreServedWithoutTheStore(t *testing.T) {
	for _, d := range []catalog.Database{"rush", "stock", "standing"} {
		t.Run(string(d), func(t *testing.T) {
			c := qt.New(t)
			w := newConnectedWorld(c)
			w.advance(4*time.Second, false)
			ran, x := w.readOnce(d, 100*time.Millisecond, false)
			c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
			c.Assert(ran["a"]+ran["b"]+ran["c"], qt.Equals, 1)
			w.advance(time.Second, false)
			ran, x = w.readOnce(d, 100*time.Millisecond, false)
			c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
			c.Assert(ran["a"] == 0, qt.Equals, d != "rush")
		})
	}
}
