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
	w := newWorld(c).settled()
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

// Connections to instances are shared, values are not: a caller would see another's rows.
// One sets a value and works; the next on the same connection has set another, the last
// has set none. Each statement must run under the values of its own session.
func TestValuesFollowTheirSession(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	x, y, z := w.open("rush", "key-1"), w.open("rush", "key-2"), w.open("rush", "key-1")
	x.do(statement.KindSet, "v0", "x")
	y.do(statement.KindSet, "v1", "y")
	for range 2 {
		x.do(statement.KindRead, "", "of-x")
		y.do(statement.KindRead, "", "of-y")
		z.do(statement.KindRead, "", "of-z")
	}
	c.Assert(w.instances["a"].ran, qt.DeepEquals, []string{
		"read q2 v0=x", "read q2 v1=y", "read q1", "read q3 v0=x", "read q3 v1=y", "read q2",
	})
}

// Two sessions name different statements alike. Each has to run what it prepared itself.
func TestPreparedNamesOfSessionsDontCollide(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	x, y := w.open("rush", "key-1"), w.open("rush", "key-1")
	x.do(statement.KindPrepare, "s0", "r1")
	y.do(statement.KindPrepare, "s0", "w1")
	before := w.instances["a"].point
	x.do(statement.KindExecute, "s0", "item")
	c.Assert(w.instances["a"].point, qt.Equals, before)
	y.do(statement.KindExecute, "s0", "item data")
	c.Assert(w.instances["a"].point.Index, qt.Equals, before.Index+1)
	c.Assert(x.do(statement.KindExecute, "s9", "item"), qt.Not(qt.Equals), "")
	c.Assert(x.last().Code, qt.Equals, statement.CodeNotPrepared)
}

// An order is sent, and the connection breaks before its answer. It may have been run: a
// second run would ship the cream twice, "not run" would be untrue. The caller is told at
// once that nobody knows.
func TestLostWriteIsInDoubtAndNotRepeated(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	x := w.open("rush", "key-1")
	x.do(statement.KindRead, "", "warm up")
	w.instances["a"].hold = true
	x.do(statement.KindWrite, "", "item data")
	c.Assert(w.count("write"), qt.Equals, 1)
	w.cut(w.instances["a"])
	c.Assert(x.last().Code, qt.Equals, statement.CodeInDoubt)
	w.instances["a"].hold = false
	w.pass(2*time.Second, true)
	c.Assert(w.count("write"), qt.Equals, 1)
	c.Assert(x.answers, qt.HasLen, 2)
}

// A read that loses its answer harms nobody when it is run again.
func TestLostReadIsRunElsewhere(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	w.open("rush", "key-1").do(statement.KindRead, "", "for the sample")
	x := w.open("stock", "key-1")
	for _, n := range w.instances {
		n.hold = n.name != "c"
	}
	x.do(statement.KindRead, "", "item")
	w.pass(30*time.Millisecond, true)
	for _, n := range []fleet.Instance{"a", "b"} {
		w.instances[n].hold = false
		w.cut(w.instances[n])
	}
	w.pass(100*time.Millisecond, true)
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
}

// Work that an instance turned away unrun is sent to it again, or elsewhere, unseen by its
// caller.
func TestReadRefusedAsBusyIsRunAgain(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	w.open("rush", "key-1").do(statement.KindRead, "", "for the sample")
	for _, n := range w.instances {
		n.fail = []statement.Code{statement.CodeBusy}
	}
	w.instances["a"].fail = nil
	x := w.open("stock", "key-1")
	x.do(statement.KindRead, "", "item")
	w.pass(50*time.Millisecond, true)
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
}

// The only instance that can run a write is full and turns it away. There is nothing to wait
// for: the caller hears so at once, and comes back while it has the time.
func TestWriteRefusedByTheOnlyPrimaryFailsAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	w.instances["a"].fail = []statement.Code{statement.CodeBusy}
	x := w.open("rush", "key-1")
	x.do(statement.KindWrite, "", "item data")
	w.pass(20*time.Millisecond, true)
	c.Assert(x.last().Code, qt.Equals, statement.CodeBusy)
	c.Assert(x.last().RetryAfter > 0, qt.IsTrue)
}

// An instance has gone, and another has its address. Its entry is on the list for some more
// seconds; hosts doubted it, told each other so, and each tried it twenty times a second.
func TestMisroutedInstanceIsNotRedialled(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	w.cut(w.instances["c"])
	w.instances["c"].refuse = statement.CodeMisrouted
	w.relay.AddReachability("h2", []fleet.Instance{"c"}, nil)
	w.pass(50*time.Millisecond, true)
	for range 20 {
		w.list()
		w.relay.AddReachability("h2", []fleet.Instance{"c"}, nil)
		w.pass(100*time.Millisecond, true)
	}
	c.Assert(w.instances["c"].dialled <= 1, qt.IsTrue, qt.Commentf("tried %d times", w.instances["c"].dialled))
	c.Assert(w.relay.Unreachable(), qt.HasLen, 0)
}

// A caller writes, and reads again at once. Replicas are behind; the read has to show the
// write, so it waits for none of them but goes where the write is.
func TestSessionReadsItsOwnWrites(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	x := w.open("standing", "key-1")
	x.do(statement.KindWrite, "", "item data")
	w.pass(20*time.Millisecond, true)
	x.do(statement.KindRead, "", "item")
	w.pass(100*time.Millisecond, true)
	c.Assert(x.last().Digest, qt.Equals, "d-a")
	for _, n := range []fleet.Instance{"b", "c"} {
		w.instances[n].point = w.instances["a"].point
	}
	w.pass(2*time.Second, true)
	w.instances["a"].fail = []statement.Code{statement.CodeBusy}
	x.do(statement.KindRead, "", "item")
	w.pass(100*time.Millisecond, true)
	c.Assert(x.last().Digest, qt.Not(qt.Equals), "d-a")
}

// Portal browsing accepts data of an age. A replica that lacks what was acknowledged
// before that must not serve it, however long it takes to notice.
func TestBoundedReadDoesNotUseAReplicaThatIsTooFarBehind(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	x, y := w.open("rush", "key-1"), w.open("stock", "key-3")
	x.do(statement.KindWrite, "", "item data")
	w.pass(500*time.Millisecond, true)
	w.instances["a"].fail = []statement.Code{statement.CodeBusy, statement.CodeBusy}
	y.do(statement.KindRead, "", "item")
	w.pass(50*time.Millisecond, true)
	c.Assert(y.last().Digest, qt.Not(qt.Equals), "d-a", qt.Commentf("the write is younger than 1.5 s"))
	w.instances["a"].fail = nil
	w.pass(1600*time.Millisecond, true)
	y.do(statement.KindRead, "", "item")
	w.pass(100*time.Millisecond, true)
	c.Assert(y.last().Digest, qt.Equals, "d-a")
}

// Both replicas of a group are seconds behind, and all reads are left to the primary. Each
// time that the replicas were tried again, all reads that came before the first answer went
// there, waited for their turn, and came back late with nothing: one read tells as much.
func TestReplicaThatLagsIsTriedByOneReadAtATime(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
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
	w.pass(100*time.Millisecond, true)
	writer := w.open("rush", "key-1")
	writer.do(statement.KindWrite, "", "item data")
	w.pass(1600*time.Millisecond, true)
	b.hold, d.hold = true, true
	read()
	c.Check(b.lagged <= 1, qt.IsTrue, qt.Commentf("%d reads sent to one replica", b.lagged))
	c.Check(d.lagged <= 1, qt.IsTrue, qt.Commentf("%d reads sent to the other", d.lagged))
	b.hold, d.hold = false, false
	w.pass(100*time.Millisecond, true)
	for _, x := range readers {
		c.Check(x.last().Digest, qt.Equals, "d-a")
	}
}

// A key is withdrawn while its caller is connected and rests. The session ends at once;
// one at work ends with its answer, which is not cut.
func TestWithdrawnKeyEndsItsSessions(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).settled()
	resting, working, other := w.open("rush", "key-1"), w.open("rush", "key-1"), w.open("rush", "key-2")
	w.instances["a"].hold = true
	working.do(statement.KindWrite, "", "item data")
	next := w.catalog(2)
	a := next.Accounts["hotel"]
	a.Keys = []catalog.Key{"key-2"}
	next.Accounts["hotel"] = a
	w.relay.SetCatalog(next)
	c.Assert(resting.code, qt.Equals, statement.CodeNoAccount)
	c.Assert(working.closed, qt.IsFalse)
	c.Assert(other.closed, qt.IsFalse)
	w.instances["a"].hold = false
	w.deliver()
	c.Assert(working.last().Digest, qt.Equals, "d-a")
	c.Assert(working.code, qt.Equals, statement.CodeNoAccount)
	c.Assert(w.open("rush", "key-1").code, qt.Equals, statement.CodeNoAccount)
}

// A catalog that comes late, over another way, must not bring an older version back.
func TestOlderCatalogIsIgnored(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c)
	c.Assert(w.relay.SetCatalog(w.catalog(5)), qt.IsTrue)
	c.Assert(w.relay.SetCatalog(w.catalog(4)), qt.IsFalse)
	c.Assert(w.relay.SetCatalog(w.catalog(5)), qt.IsFalse)
}

// A cut leaves this host with the replaced primary and without the store; others, which it
// doesn't hear, are on the better side. It leaves the rotation, and closes its sessions
// once the balancer knows, so that callers come back elsewhere. When the store is down for
// all, nobody is better off: nothing is closed. When all hosts believe that others are
// better off, callers come back; they were closed again and again, and nobody was served.
func TestHostOnTheWorseSideOfACutLeavesTheRotation(t *testing.T) {
	c := qt.New(t)
	for missing, want := range []bool{false, true} {
		w := newWorld(c)
		w.relay.SetInstances(append(w.instancesOf("other", "x"), w.instancesOf("third", "y")...), w.now)
		w.list()
		w.settled()
		rest := w.open("rush", "key-1")
		w.instances["a"].silent = true
		w.cut(w.instances["a"])
		x := w.open("rush", "key-1")
		x.do(statement.KindWrite, "", "item data")
		w.relay.SetPeers(nil, missing)
		w.pass(2*time.Second, false)
		c.Assert(w.relay.CutOff(), qt.Equals, want, qt.Commentf("%d missing", missing))
		w.pass(3*time.Second, false)
		c.Assert(rest.closed, qt.Equals, want)
		// Who is sent here all the same has nowhere else to go, and stays.
		next := w.open("rush", "key-1")
		w.pass(time.Second, false)
		c.Assert(next.closed, qt.IsFalse)
		w.renew()
		c.Assert(w.relay.CutOff(), qt.IsFalse)
	}
}
