package relay_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/outlier"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
)

// newOutlierWorld returns a connected world that detects outliers if detect is set, and prefers replica c.
func newOutlierWorld(c *qt.C, detect bool) *world {
	enable := func(f *relay.Config) { f.DetectOutliers = detect }
	return configuredWorld(c, relay.Peer{Host: "h1", DataCentre: "obihiro"}, time.Minute, enable).connected()
}

// readFor runs a read of one of two accounts every 10 ms, of which c fails two in five, and returns how many
// c has got.
func (w *world) readFor(d time.Duration) int {
	n, before := 0, w.instances["c"].gotReads
	for end := w.now.Add(d); w.now.Before(end); n++ {
		w.instances["c"].fail = nil
		if n%5 < 2 {
			w.instances["c"].fail = []statement.Code{statement.CodeFailed}
		}
		x := w.open("stock", []catalog.Key{"key-1", "key-3"}[n%2])
		x.do(statement.KindRead, "", "item")
		w.advance(10*time.Millisecond, true)
		w.c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
	}
	w.instances["c"].fail = nil
	return w.instances["c"].gotReads - before
}

// A replica fails two of five reads for five seconds. It is to get no more than probes, and the reads again
// once it has recovered.
func TestFailingReplicaGetsOnlyProbesUnderLoad(t *testing.T) {
	c := qt.New(t)
	w := newOutlierWorld(c, true)
	w.readFor(time.Second)
	got := w.readFor(4 * time.Second)
	off := newOutlierWorld(c, false)
	off.readFor(time.Second)
	without := off.readFor(4 * time.Second)
	t.Logf("the failing replica got %d of 400 reads, %d without detection", got, without)
	c.Check(without > 200, qt.IsTrue)
	c.Check(got < 20, qt.IsTrue)
	for range 1000 {
		w.open("stock", "key-1").do(statement.KindRead, "", "item")
		w.advance(10*time.Millisecond, true)
	}
	c.Check(w.relay.Ejections(), qt.HasLen, 0)
	before := w.instances["c"].gotReads
	w.open("stock", "key-1").do(statement.KindRead, "", "item")
	c.Check(w.instances["c"].gotReads, qt.Equals, before+1)
}

// Guards against an ejected instance that is the only one which could run an operation and gets nothing.
func TestEjectedInstanceIsUsedIfNoOtherCanRunTheOperation(t *testing.T) {
	c := qt.New(t)
	w := newOutlierWorld(c, true)
	w.makeUnreachable("a")
	w.makeUnreachable("b")
	w.advance(time.Second, true)
	report := func() {
		w.relay.AddEjections("h4", "obihiro", w.now, []outlier.Ejection{{Instance: "c", RatePercent: 40}})
		w.advance(60*time.Millisecond, true)
	}
	report()
	x := w.open("stock", "key-1")
	x.do(statement.KindRead, "", "item")
	report()
	c.Check(x.last().Digest, qt.Equals, "d-c")
}

// Guards against a host that acts on the word of one other host elsewhere, or on an outdated one, and one
// that goes on after the reports have ended.
func TestReportedEjectionIsFollowed(t *testing.T) {
	c := qt.New(t)
	w := newOutlierWorld(c, true)
	report := func(h fleet.Host, dc fleet.DataCentre) bool {
		w.relay.AddEjections(h, dc, w.now, []outlier.Ejection{{Instance: "c", RatePercent: 40}})
		w.advance(60*time.Millisecond, true)
		before := w.instances["c"].gotReads
		w.open("stock", "key-1").do(statement.KindRead, "", "item")
		return w.instances["c"].gotReads == before
	}
	c.Check(report("h2", "sapporo"), qt.IsFalse)
	c.Check(report("h3", "otaru"), qt.IsTrue)
	w.advance(1100*time.Millisecond, true)
	c.Check(report("h3", "otaru"), qt.IsFalse)
	c.Check(report("h4", "obihiro"), qt.IsTrue)
	c.Check(w.relay.Ejections(), qt.HasLen, 0)
	w.relay.AddEjections("h4", "obihiro", w.now, nil)
	w.relay.AddEjections("h3", "otaru", w.now, nil)
	w.advance(60*time.Millisecond, true)
	before := w.instances["c"].gotReads
	w.open("stock", "key-1").do(statement.KindRead, "", "item")
	c.Check(w.instances["c"].gotReads, qt.Equals, before+1)
}

// An instance hangs on one read, while its other connections respond. Guards against a read that waits for
// its caller's deadline although another instance could run it, and against a late answer that reaches
// the caller.
func TestReadWithoutAResponseIsRunElsewhere(t *testing.T) {
	c := qt.New(t)
	w := newOutlierWorld(c, true)
	x, hung := w.hangOneRead()
	w.advance(250*time.Millisecond, true)
	c.Assert(x.answers, qt.HasLen, 1)
	c.Check(x.last().Code, qt.Equals, statement.CodeNone)
	c.Check(x.last().Digest, qt.Not(qt.Equals), "d-c")
	hung()
	w.advance(100*time.Millisecond, true)
	c.Check(x.answers, qt.HasLen, 1)
	c.Check(w.relay.State().Counts.AbandonedReads, qt.Equals, uint64(1))
}

// hangOneRead returns a caller whose read hangs on instance c, which responds on its other connections, and a
// function that runs the read there.
func (w *world) hangOneRead() (x *caller, late func()) {
	r := w.instances["c"]
	r.holdRequests = true
	x = w.open("stock", "key-1")
	x.do(statement.KindRead, "", "item")
	w.c.Assert(r.inbox, qt.HasLen, 1)
	late = r.inbox[0]
	r.holdRequests, r.inbox = false, nil
	return x, late
}

// Guards against a read without a response that is charged to the retry budget twice: when it is abandoned and
// when it is queued again. The second charge could also refuse a read that was abandoned already.
func TestReadRunElsewhereIsChargedToTheRetryBudgetOnce(t *testing.T) {
	c := qt.New(t)
	w := configuredWorld(c, relay.Peer{Host: "h1", DataCentre: "obihiro"}, time.Minute, func(f *relay.Config) {
		f.DetectOutliers, f.RetryBudget = true, true
	}).connected()
	before := w.relay.State().Groups[0].RetriesLeft
	x, _ := w.hangOneRead()
	w.advance(250*time.Millisecond, true)
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
	c.Assert(w.relay.State().Counts.AbandonedReads, qt.Equals, uint64(1))
	c.Assert(w.relay.State().Groups[0].RetriesLeft, qt.Equals, before-1)
}

// The route allows one run of each statement. Guards against a read that is abandoned and then refused, although
// its answer is on the way.
func TestReadThatMayNotRunAgainKeepsItsAttempt(t *testing.T) {
	c := qt.New(t)
	w := newOutlierWorld(c, true)
	w.revise(func(d *catalog.Catalog) {
		d.Version++
		r := d.Routes["stock"]
		r.MaxAttempts = 1
		d.Routes["stock"] = r
	})
	x, late := w.hangOneRead()
	w.advance(250*time.Millisecond, true)
	c.Assert(x.answers, qt.HasLen, 0)
	late()
	w.advance(50*time.Millisecond, true)
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
	c.Assert(x.last().Digest, qt.Equals, "d-c")
}

// Guards against a second run of a write, or of a statement in a transaction, that gets no response.
func TestWritesAndTransactionsAreNotRunAgain(t *testing.T) {
	c := qt.New(t)
	for _, begin := range []bool{false, true} {
		w := newOutlierWorld(c, true)
		x := w.open("rush", "key-1")
		if begin {
			x = w.open("stock", "key-1")
			x.do(statement.KindBeginRead, "", "")
			x.do(statement.KindRead, "", "item")
		}
		for _, i := range w.instances {
			i.holdRequests = true
		}
		kind := statement.KindWrite
		if begin {
			kind = statement.KindRead
		}
		answers := len(x.answers)
		x.do(kind, "", "item data")
		w.advance(300*time.Millisecond, true)
		c.Check(w.relay.State().Counts.AbandonedReads, qt.Equals, uint64(0))
		c.Check(x.answers, qt.HasLen, answers)
	}
}

// The host that holds the connections falls silent. Guards against a read that it owes and that waits for
// its caller's deadline, and against its late answer, which must reach nobody.
func TestReadOwedByASilentHolderIsRunElsewhere(t *testing.T) {
	c := qt.New(t)
	w := newOutlierWorld(c, true)
	w.relay.SetHostCount(12)
	var sent []relay.Forward
	var peers []relay.Peer
	hosts := map[uint64]fleet.Host{}
	for _, h := range []fleet.Host{"h2", "h3", "h4"} {
		peers = append(peers, relay.Peer{Host: h, DataCentre: "obihiro", Send: func(f relay.Forward) {
			if len(f.Statements) > 0 && f.Statements[0].Kind == statement.KindRead {
				sent = append(sent, f)
				hosts[f.Stream] = h
			}
		}})
	}
	w.relay.SetPeers(peers, 0)
	x := w.open("rush", "key-1")
	x.do(statement.KindRead, "", "item")
	c.Assert(sent, qt.HasLen, 1)
	w.advance(260*time.Millisecond, true)
	first := sent[0]
	c.Assert(len(sent) == 2 || len(x.answers) == 1, qt.IsTrue)
	if len(sent) == 2 {
		c.Check(hosts[sent[1].Stream], qt.Not(qt.Equals), hosts[first.Stream])
		w.relay.HandleForwardAnswer(hosts[sent[1].Stream], sent[1].Stream, statement.Answer{Digest: "d-second"})
		w.advance(50*time.Millisecond, true)
	}
	c.Assert(x.answers, qt.HasLen, 1)
	c.Check(x.last().Code, qt.Equals, statement.CodeNone)
	w.relay.HandleForwardAnswer(hosts[first.Stream], first.Stream, statement.Answer{Digest: "d-late"})
	c.Check(x.answers, qt.HasLen, 1)
	c.Check(x.last().Digest, qt.Not(qt.Equals), "d-late")
}

// The queue of the holder of an instance is full. Guards against its refusals counting as those of the
// instance, which would eject the primary and promote another one under overload.
func TestRefusalsOfAHolderDoNotEjectTheInstance(t *testing.T) {
	c := qt.New(t)
	for _, ofInstance := range []bool{false, true} {
		w := newOutlierWorld(c, true)
		w.relay.SetHostCount(12)
		w.relay.SetPeers([]relay.Peer{{Host: "h2", DataCentre: "obihiro", Capacity: 9, Send: func(f relay.Forward) {
			if len(f.Statements) == 0 || f.Statements[0].Kind == statement.KindStepDown {
				return
			}
			a := statement.Answer{Code: statement.CodeFailed, State: statement.TxNone}
			if ofInstance {
				a.Position = fleet.Some(w.instances["a"].position)
			}
			w.instances["a"].pending = append(w.instances["a"].pending, func() {
				w.relay.HandleForwardAnswer("h2", f.Stream, a)
			})
		}}}, 0)
		for n := range 20 {
			w.open("rush", []catalog.Key{"key-1", "key-3"}[n%2]).do(statement.KindWrite, "", "item data")
			w.advance(10*time.Millisecond, true)
		}
		c.Check(len(w.relay.Ejections()) > 0, qt.Equals, ofInstance)
	}
}

// Two probes are sent to an ejected instance; the connection of the second one breaks. Guards against a reset
// that doesn't count, and against one that does although nothing was heard of the instance: the link may be cut.
func TestOnlyResetsOfAReachableInstanceCount(t *testing.T) {
	c := qt.New(t)
	for _, cut := range []bool{false, true} {
		w := newOutlierWorld(c, true)
		w.readFor(300 * time.Millisecond)
		w.advance(600*time.Millisecond, true)
		w.open("stock", "key-1").do(statement.KindRead, "", "item")
		r := w.instances["c"]
		r.holdRequests = true
		w.open("stock", "key-1").do(statement.KindRead, "", "item")
		c.Assert(r.inbox, qt.HasLen, 1)
		if cut {
			w.now = w.now.Add(150 * time.Millisecond)
			w.renew()
		}
		w.events = nil
		w.breakConns(r)
		failed := slices.ContainsFunc(w.events, func(e relay.Event) bool {
			return e.Kind == relay.EventOutlier && e.Instance == "c" && e.Reason == "it ended: failed"
		})
		c.Check(failed, qt.Equals, !cut, qt.Commentf("cut: %v", cut))
	}
}
