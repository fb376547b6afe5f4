package relay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
)

// newLimitedWorld returns the world of one of four hosts, each of which has five connections of its own to
// each instance. Its relay limits the statements at an instance if on is set.
func newLimitedWorld(c *qt.C, on bool) *world {
	w := configuredWorld(c, relay.Peer{Host: "h1", DataCentre: "obihiro"}, time.Minute, func(cfg *relay.Config) {
		cfg.ConcurrencyLimit = on
	}).withConfirmedPrimary()
	w.relay.SetHostCount(4)
	w.revise(func(d *catalog.Catalog) {
		d.Version++
		d.Services = map[fleet.Service]catalog.Service{service: {Name: service, Connections: 24}}
	})
	return w
}

// Callers of one host send more at once than its share of the instance's slots. Guards against statements
// that wait in the instance instead of in the host's queue.
func TestStatementsBeyondTheLimitWaitInTheHost(t *testing.T) {
	c := qt.New(t)
	for _, on := range []bool{false, true} {
		w := newLimitedWorld(c, on)
		a := w.instances["a"]
		var callers []*caller
		for range 3 {
			x := w.open("rush", "key-1")
			x.do(statement.KindBegin, "", "")
			x.do(statement.KindWrite, "", "item data")
			w.advance(30*time.Millisecond, true)
			callers = append(callers, x)
		}
		for _, x := range callers {
			x.do(statement.KindCommit, "", "")
		}
		w.advance(30*time.Millisecond, true)
		a.hold, a.executed = true, nil
		for _, x := range callers {
			x.do(statement.KindWrite, "", "item data")
		}
		w.advance(30*time.Millisecond, true)
		writes := 3
		if on {
			writes = 1
		}
		c.Check(w.count("write q4"), qt.Equals, writes)
		a.hold = false
		w.advance(50*time.Millisecond, true)
		for _, x := range callers {
			c.Check(x.answers, qt.HasLen, 4)
			c.Check(x.last().Code, qt.Equals, statement.CodeNone)
		}
	}
}

// An instance has as many statements as the limit allows. Guards against holding back the next statement of
// an open transaction, which keeps a connection and locks until it ends.
func TestLimitNeverHoldsBackAnOpenTransaction(t *testing.T) {
	c := qt.New(t)
	w := newLimitedWorld(c, true)
	x, y, z := w.open("rush", "key-1"), w.open("rush", "key-1"), w.open("rush", "key-1")
	x.do(statement.KindBegin, "", "")
	x.do(statement.KindWrite, "", "item data")
	w.advance(20*time.Millisecond, true)
	y.do(statement.KindRead, "", "item")
	w.advance(20*time.Millisecond, true)
	a := w.instances["a"]
	a.hold, a.executed = true, nil
	y.do(statement.KindRead, "", "item")
	z.do(statement.KindRead, "", "item")
	x.do(statement.KindWrite, "", "item data")
	w.advance(20*time.Millisecond, true)
	c.Check(w.count("write q3"), qt.Equals, 1)
	c.Check(w.count("read"), qt.Equals, 1)
	a.hold = false
	w.advance(50*time.Millisecond, true)
	x.do(statement.KindCommit, "", "")
	c.Check(x.last().Code, qt.Equals, statement.CodeNone)
	c.Check(z.last().Code, qt.Equals, statement.CodeNone)
}

// useReplicaB has a caller read at replica b, so that it is the instance known to be quick, and returns the caller.
func (w *world) useReplicaB() *caller {
	hold := func(on bool) {
		w.instances["a"].hold, w.instances["c"].hold = on, on
	}
	hold(true)
	x := w.open("stock", "key-1")
	x.do(statement.KindRead, "", "item")
	w.advance(50*time.Millisecond, true)
	hold(false)
	w.advance(50*time.Millisecond, true)
	w.c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
	x.do(statement.KindRead, "", "item")
	w.c.Assert(w.instances["b"].executed, qt.HasLen, 2)
	return x
}

// A replica stops answering while it has as many statements as the limit allows. Guards against reads that wait
// for it, since its past latency is short, although another instance could run them.
func TestReadsDontWaitForALimitedInstanceThatHangs(t *testing.T) {
	c := qt.New(t)
	w := newLimitedWorld(c, true)
	x, y := w.useReplicaB(), w.open("stock", "key-1")
	w.instances["b"].hold = true
	x.do(statement.KindRead, "", "item")
	y.do(statement.KindRead, "", "item")
	w.advance(90*time.Millisecond, true)
	c.Assert(y.answers, qt.HasLen, 1)
	c.Assert(y.last().Code, qt.Equals, statement.CodeNone)
}

// A read has dialled a connection to a replica, which then reaches its limit and hangs. Guards against a read that
// waits for that connection until it is refused, although another instance could run it.
func TestReadDoesntWaitForTheConnectionThatItDialledToALimitedInstance(t *testing.T) {
	c := qt.New(t)
	w := newLimitedWorld(c, true)
	x, y := w.useReplicaB(), w.open("stock", "key-3")
	b := w.instances["b"]
	b.hold, b.holdRequests = true, true
	dialled := b.dialled
	y.do(statement.KindRead, "", "item")
	c.Assert(b.dialled, qt.Equals, dialled+1)
	x.do(statement.KindRead, "", "item")
	c.Assert(b.inbox, qt.HasLen, 1)
	b.hold = false
	w.advance(150*time.Millisecond, true)
	c.Assert(y.answers, qt.HasLen, 1)
	c.Assert(y.last().Code, qt.Equals, statement.CodeNone)
}
