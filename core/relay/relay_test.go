package relay_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/statement"
)

var errReset = errors.New("connection reset by peer")

func TestStatementsAreServed(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	x := w.open("rush", "key-1")
	c.Assert(x.started, qt.IsTrue)
	x.do(statement.KindWrite, "", "item data")
	c.Assert(x.last().Digest, qt.Equals, "d-a")
	x.do(statement.KindRead, "", "item")
	c.Assert(x.last().Rows, qt.DeepEquals, []string{"row"})
	c.Assert(x.last().State, qt.Equals, statement.TxNone)
}

func TestUnknownDatabaseAndKeyAreRejected(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c)
	c.Check(w.open("nowhere", "key-1").code, qt.Equals, statement.CodeNoDatabase)
	c.Check(w.open("rush", "key-9").code, qt.Equals, statement.CodeNoAccount)
	c.Check(w.open("rush", "").code, qt.Equals, statement.CodeNoAccount)
}

// Connections to instances are shared by sessions, their values are not: with the values of
// another session a caller would see another's rows. Of three sessions on one connection, two
// set different values and the third sets none. Each statement must run under the values of
// its own session.
func TestValuesFollowTheirSession(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	x, y, z := w.open("rush", "key-1"), w.open("rush", "key-2"), w.open("rush", "key-1")
	x.do(statement.KindSet, "v0", "x")
	y.do(statement.KindSet, "v1", "y")
	for range 2 {
		x.do(statement.KindRead, "", "of-x")
		y.do(statement.KindRead, "", "of-y")
		z.do(statement.KindRead, "", "of-z")
	}
	c.Assert(w.instances["a"].executed, qt.DeepEquals, []string{
		"read q2 v0=x", "read q2 v1=y", "read q1", "read q3 v0=x", "read q3 v1=y", "read q2",
	})
}

// Two sessions prepare different statements under the same name. Each session must run its own.
func TestPreparedNamesOfSessionsDontCollide(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	x, y := w.open("rush", "key-1"), w.open("rush", "key-1")
	x.do(statement.KindPrepare, "s0", "r1")
	y.do(statement.KindPrepare, "s0", "w1")
	before := w.instances["a"].position
	x.do(statement.KindExecute, "s0", "item")
	c.Assert(w.instances["a"].position, qt.Equals, before)
	y.do(statement.KindExecute, "s0", "item data")
	c.Assert(w.instances["a"].position.Index, qt.Equals, before.Index+1)
	c.Assert(x.do(statement.KindExecute, "s9", "item"), qt.Not(qt.Equals), "")
	c.Assert(x.last().Code, qt.Equals, statement.CodeNotPrepared)
}

// The connection breaks after a write was sent and before its answer arrives. The write may
// have run, so it must neither be repeated nor reported as not run. The caller receives "in
// doubt" at once.
func TestLostWriteIsInDoubtAndNotRepeated(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	x := w.open("rush", "key-1")
	x.do(statement.KindRead, "", "warm up")
	w.instances["a"].hold = true
	x.do(statement.KindWrite, "", "item data")
	c.Assert(w.count("write"), qt.Equals, 1)
	w.breakConns(w.instances["a"])
	c.Assert(x.last().Code, qt.Equals, statement.CodeInDoubt)
	w.instances["a"].hold = false
	w.advance(2*time.Second, true)
	c.Assert(w.count("write"), qt.Equals, 1)
	c.Assert(x.answers, qt.HasLen, 2)
}

// The connections break while a read waits for its answer. Reads are safe to repeat, so it is run
// again on another instance.
func TestLostReadIsRunElsewhere(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.open("rush", "key-1").do(statement.KindRead, "", "for the sample")
	x := w.open("stock", "key-1")
	for _, n := range w.instances {
		n.hold = n.name != "c"
	}
	x.do(statement.KindRead, "", "item")
	w.advance(30*time.Millisecond, true)
	for _, n := range []fleet.Instance{"a", "b"} {
		w.instances[n].hold = false
		w.breakConns(w.instances[n])
	}
	w.advance(100*time.Millisecond, true)
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
}

// Instances refuse a read as busy without running it. It is sent again, to the same instance or
// another, and its caller doesn't notice.
func TestReadRefusedAsBusyIsRunAgain(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.open("rush", "key-1").do(statement.KindRead, "", "for the sample")
	for _, n := range w.instances {
		n.fail = []statement.Code{statement.CodeBusy}
	}
	w.instances["a"].fail = nil
	x := w.open("stock", "key-1")
	x.do(statement.KindRead, "", "item")
	w.advance(50*time.Millisecond, true)
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
}

// The primary, the only instance that can run a write, refuses it as busy. Waiting wouldn't help:
// the write fails at once, with a time to retry after, so that the caller can retry in time.
func TestWriteRefusedByTheOnlyPrimaryFailsAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.instances["a"].fail = []statement.Code{statement.CodeBusy}
	x := w.open("rush", "key-1")
	x.do(statement.KindWrite, "", "item data")
	w.advance(20*time.Millisecond, true)
	c.Assert(x.last().Code, qt.Equals, statement.CodeBusy)
	c.Assert(x.last().RetryAfter > 0, qt.IsTrue)
}

// An instance has stopped and another has taken its address, while its entry stays on the list
// for some more seconds. Guards against hosts that suspect the instance, report it to each other
// as unreachable, and each dial it twenty times a second.
func TestMisroutedInstanceIsNotRedialled(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.breakConns(w.instances["c"])
	w.instances["c"].refuse = statement.CodeMisrouted
	w.relay.AddReachability("h2", []fleet.Instance{"c"}, nil)
	w.advance(50*time.Millisecond, true)
	for range 20 {
		w.list()
		w.relay.AddReachability("h2", []fleet.Instance{"c"}, nil)
		w.advance(100*time.Millisecond, true)
	}
	c.Assert(w.instances["c"].dialled <= 1, qt.IsTrue, qt.Commentf("tried %d times", w.instances["c"].dialled))
	c.Assert(w.relay.Unreachable(), qt.HasLen, 0)
}

// A caller writes and reads at once, while the replicas lag. The read has to show the write, so
// it goes to the primary and doesn't wait for a replica.
func TestSessionReadsItsOwnWrites(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	x := w.open("standing", "key-1")
	x.do(statement.KindWrite, "", "item data")
	w.advance(20*time.Millisecond, true)
	x.do(statement.KindRead, "", "item")
	w.advance(100*time.Millisecond, true)
	c.Assert(x.last().Digest, qt.Equals, "d-a")
	for _, n := range []fleet.Instance{"b", "c"} {
		w.instances[n].position = w.instances["a"].position
	}
	w.advance(2*time.Second, true)
	w.instances["a"].fail = []statement.Code{statement.CodeBusy}
	x.do(statement.KindRead, "", "item")
	w.advance(100*time.Millisecond, true)
	c.Assert(x.last().Digest, qt.Not(qt.Equals), "d-a")
}

// A bounded read accepts data up to a maximum age. A replica that lacks a write which was
// acknowledged before that must not serve it, however late the relay detects the lag.
func TestBoundedReadDoesNotUseAReplicaThatIsTooFarBehind(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	x, y := w.open("rush", "key-1"), w.open("stock", "key-3")
	x.do(statement.KindWrite, "", "item data")
	w.advance(500*time.Millisecond, true)
	w.instances["a"].fail = []statement.Code{statement.CodeBusy, statement.CodeBusy}
	y.do(statement.KindRead, "", "item")
	w.advance(50*time.Millisecond, true)
	c.Assert(y.last().Digest, qt.Not(qt.Equals), "d-a", qt.Commentf("the write is younger than 1.5 s"))
	w.instances["a"].fail = nil
	w.advance(1600*time.Millisecond, true)
	y.do(statement.KindRead, "", "item")
	w.advance(100*time.Millisecond, true)
	c.Assert(y.last().Digest, qt.Equals, "d-a")
}

// Both replicas of a group lag by seconds, and the primary serves all reads. Guards against
// sending to a replica that is tried again every read that arrives before its first answer:
// these reads queue there and return late without a result. One read is enough to find the lag.
func TestReplicaThatLagsIsTriedByOneReadAtATime(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	readers := make([]*caller, 12)
	read := func() {
		for n := range readers {
			readers[n] = w.open("stock", []catalog.Key{"key-1", "key-3"}[n%2])
			readers[n].do(statement.KindRead, "", "item")
		}
	}
	a, b, d := w.instances["a"], w.instances["b"], w.instances["c"]
	a.hold = true
	read()
	a.hold = false
	w.advance(100*time.Millisecond, true)
	writer := w.open("rush", "key-1")
	writer.do(statement.KindWrite, "", "item data")
	w.advance(1600*time.Millisecond, true)
	b.hold, d.hold = true, true
	read()
	c.Check(b.lagged <= 1, qt.IsTrue, qt.Commentf("%d reads sent to one replica", b.lagged))
	c.Check(d.lagged <= 1, qt.IsTrue, qt.Commentf("%d reads sent to the other", d.lagged))
	b.hold, d.hold = false, false
	w.advance(100*time.Millisecond, true)
	for _, x := range readers {
		c.Check(x.last().Digest, qt.Equals, "d-a")
	}
}

// A key is withdrawn while sessions use it. An idle session ends at once; a session with a
// statement running ends after the statement's answer, which is delivered whole.
func TestWithdrawnKeyEndsItsSessions(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	idle, running, other := w.open("rush", "key-1"), w.open("rush", "key-1"), w.open("rush", "key-2")
	w.instances["a"].hold = true
	running.do(statement.KindWrite, "", "item data")
	next := w.catalog(2)
	a := next.Accounts["hotel"]
	a.Keys = []catalog.Key{"key-2"}
	next.Accounts["hotel"] = a
	w.relay.SetCatalog(next)
	c.Assert(idle.code, qt.Equals, statement.CodeNoAccount)
	c.Assert(running.closed, qt.IsFalse)
	c.Assert(other.closed, qt.IsFalse)
	w.instances["a"].hold = false
	w.deliver()
	c.Assert(running.last().Digest, qt.Equals, "d-a")
	c.Assert(running.code, qt.Equals, statement.CodeNoAccount)
	c.Assert(w.open("rush", "key-1").code, qt.Equals, statement.CodeNoAccount)
}

// A catalog that arrives late by another path must not restore an older version.
func TestOlderCatalogIsIgnored(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c)
	c.Assert(w.relay.SetCatalog(w.catalog(5)), qt.IsTrue)
	c.Assert(w.relay.SetCatalog(w.catalog(4)), qt.IsFalse)
	c.Assert(w.relay.SetCatalog(w.catalog(5)), qt.IsFalse)
}

// A network partition leaves this host with the replaced primary and without the store; the
// hosts that it doesn't hear can still serve. It leaves the rotation, and closes its sessions
// once the balancer has noticed, so that callers reconnect to other hosts. When the store is
// down for all hosts, no host is better off, and nothing is closed. When all hosts believe that
// others are better off, callers are sent back to them. Guards against closing these sessions
// again and again, so that no caller is served.
func TestHostOnTheWorseSideOfACutLeavesTheRotation(t *testing.T) {
	t.Run("started", func(t *testing.T) { testWorseSideOfACut(t, func(w *world) { w.list() }) })
	t.Run("running", func(t *testing.T) { testWorseSideOfACut(t, func(w *world) { w.listFor(12 * time.Second) }) })
}

func testWorseSideOfACut(t *testing.T, list func(w *world)) {
	c := qt.New(t)
	for missing, want := range []bool{false, true} {
		w := newWorld(c)
		w.relay.SetInstances(append(w.instancesOf("other", "x"), w.instancesOf("third", "y")...), w.now)
		list(w)
		w.withConfirmedPrimary()
		idle := w.open("rush", "key-1")
		w.instances["a"].silent = true
		w.breakConns(w.instances["a"])
		x := w.open("rush", "key-1")
		x.do(statement.KindWrite, "", "item data")
		w.relay.SetPeers(nil, missing)
		w.advance(2*time.Second, false)
		c.Assert(w.relay.CutOff(), qt.Equals, want, qt.Commentf("%d missing", missing))
		w.advance(3*time.Second, false)
		c.Assert(idle.closed, qt.Equals, want)
		// A session opened after that stays: the balancer had no other host to send it to.
		next := w.open("rush", "key-1")
		w.advance(time.Second, false)
		c.Assert(next.closed, qt.IsFalse)
		w.renew()
		c.Assert(w.relay.CutOff(), qt.IsFalse)
	}
}
