package relay_test

import (
	"maps"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
)

// setPriorities sets the priority of the route "rush" and adds the route "urgent", like it, of priority 0.
func (w *world) setPriorities(rush fleet.Priority) {
	w.revise(func(d *catalog.Catalog) {
		d.Routes = maps.Clone(d.Routes)
		r := d.Routes["rush"]
		r.Priority = rush
		d.Routes["rush"] = r
		r.Database, r.Priority = "urgent", 0
		d.Routes["urgent"] = r
	})
}

// A burst of one route has filled the account's part of the queue when an urgent operation comes. Guards
// against its refusal, and against a displaced operation that gets no answer, or runs although it is
// answered as not run.
func TestUrgentOperationDisplacesALessUrgentOne(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.setPriorities(2)
	w.instances["a"].hold = true
	var callers []*caller
	for range 100 {
		x := w.open("rush", "key-1")
		x.do(statement.KindWrite, "", "item data")
		callers = append(callers, x)
	}
	displaced := func() int {
		n := 0
		for _, x := range callers {
			if strings.Contains(x.last().Detail, "took its place") {
				c.Check(x.last().Code, qt.Equals, statement.CodeBusy)
				c.Check(x.last().RetryAfter > 0, qt.IsTrue)
				c.Check(x.answers, qt.HasLen, 1)
				n++
			}
		}
		return n
	}
	c.Assert(displaced(), qt.Equals, 0)
	refused := w.relay.State().Counts.RefusedByPriority
	c.Assert(w.relay.State().Groups[0].WaitingByPriority, qt.DeepEquals, map[fleet.Priority]int{2: 64})
	u := w.open("urgent", "key-1")
	u.do(statement.KindWrite, "", "item data")
	c.Assert(u.answers, qt.HasLen, 0)
	c.Assert(displaced(), qt.Equals, 1)
	s := w.relay.State()
	c.Assert(s.Groups[0].WaitingByPriority, qt.DeepEquals, map[fleet.Priority]int{0: 1, 2: 63})
	c.Assert(s.Counts.RefusedByPriority[2], qt.Equals, refused[2]+1)

	w.instances["a"].hold = false
	w.deliver()
	w.advance(150*time.Millisecond, true)
	c.Assert(u.last().Code, qt.Equals, statement.CodeNone)
	answered := 0
	for _, x := range callers {
		if x.last().Code == statement.CodeNone {
			answered++
		}
	}
	c.Assert(w.count("write"), qt.Equals, answered+1)
}

// An urgent transaction takes the connection that was dialled for a less urgent operation. Guards against an
// operation that waits for that connection until it is refused, although another one is free to be closed for it.
func TestOperationWhoseConnectionWasTakenDialsAnother(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.setPriorities(2)
	w.revise(func(d *catalog.Catalog) {
		d.Version++
		d.Services = map[fleet.Service]catalog.Service{service: {Name: service, Connections: 3}}
	})
	// Connections beyond the limit are closed.
	w.listFor(4 * time.Second)
	x, y, urgent := w.open("rush", "key-3"), w.open("rush", "key-1"), w.open("urgent", "key-1")
	x.do(statement.KindBegin, "", "")
	x.do(statement.KindWrite, "", "item data")
	w.advance(30*time.Millisecond, true)
	a := w.instances["a"]
	a.hold = true
	y.do(statement.KindWrite, "", "item data")
	w.advance(20*time.Millisecond, true)
	urgent.do(statement.KindBegin, "", "")
	urgent.do(statement.KindWrite, "", "item data")
	a.hold = false
	w.advance(20*time.Millisecond, true)
	c.Assert(urgent.answers, qt.HasLen, 2)
	c.Assert(y.answers, qt.HasLen, 0)
	x.do(statement.KindCommit, "", "")
	w.advance(50*time.Millisecond, true)
	c.Assert(y.answers, qt.HasLen, 1)
	c.Assert(y.last().Code, qt.Equals, statement.CodeNone)
}

// Statements go over a holder. Guards against an order that ends at the entry host: the holder gets the
// priority of the route.
func TestForwardedStatementHasThePriorityOfItsRoute(t *testing.T) {
	c := qt.New(t)
	w := newRecentlyStartedWorld(c).withConfirmedPrimary()
	w.setPriorities(2)
	w.relay.SetHostCount(2)
	var sent []relay.Forward
	var peers []relay.Peer
	for n := range 9 {
		peers = append(peers, relay.Peer{
			Host: fleet.Host("near-" + string(rune('a'+n))), DataCentre: "obihiro",
			Send: func(f relay.Forward) { sent = append(sent, f) },
		})
	}
	w.relay.SetPeers(peers, 0)
	w.open("rush", "key-1").do(statement.KindRead, "", "item")
	w.open("urgent", "key-1").do(statement.KindRead, "", "item")
	c.Assert(sent, qt.HasLen, 2)
	c.Assert(sent[0].Priority, qt.Equals, fleet.Priority(2))
	c.Assert(sent[1].Priority, qt.Equals, fleet.Priority(0))
}

// Operations of two priorities wait for the link to the holder, and less urgent ones get their share of the
// starts. Guards against a connection over the holder for an operation that another one goes before: nothing
// runs on it or closes it, and it counts as a running statement for as long as the link lasts.
func TestOnlyStartedOperationsOpenConnectionsOverAHolder(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.setPriorities(2)
	w.relay.SetHostCount(12)
	opened, unopened := map[uint64]bool{}, 0
	setPeers := func(send func(f relay.Forward)) {
		var peers []relay.Peer
		for n := range 9 {
			peers = append(peers, relay.Peer{Host: fleet.Host(rune('b' + n)), DataCentre: "obihiro", Send: send})
		}
		w.relay.SetPeers(peers, 0)
	}
	setPeers(nil)
	for range 30 {
		w.open("urgent", "key-1").do(statement.KindWrite, "", "item data")
		w.open("rush", "key-1").do(statement.KindWrite, "", "item data")
	}
	c.Assert(w.relay.State().Groups[0].WaitingByPriority, qt.DeepEquals, map[fleet.Priority]int{0: 30, 2: 30})
	setPeers(func(f relay.Forward) {
		opened[f.Stream] = opened[f.Stream] || f.Open
		if !opened[f.Stream] {
			unopened++
		}
	})
	w.advance(10*time.Millisecond, true)
	c.Assert(opened, qt.HasLen, 60)
	for n := range 9 {
		w.relay.PeerLost(fleet.Host(rune('b' + n)))
	}
	c.Assert(unopened, qt.Equals, 0)
}

// A holder has other hosts' operations of several priorities waiting. Guards against a priority that the
// holder receives and doesn't use.
func TestHolderQueuesByForwardedPriority(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.instances["a"].hold = true
	for n := range uint64(40) {
		w.relay.HandleForward(1, forwardedWrite(n, 3), func(statement.Answer) {})
	}
	c.Assert(w.relay.State().Groups[0].WaitingByPriority[3] > 0, qt.IsTrue)
	w.relay.HandleForward(1, forwardedWrite(99, 0), func(statement.Answer) {})
	c.Assert(w.relay.State().Groups[0].WaitingByPriority[0], qt.Equals, 1)
}

func forwardedWrite(stream uint64, p fleet.Priority) relay.Forward {
	return relay.Forward{
		Stream: stream, Service: service, Instance: "a", Account: "hotel", Priority: p,
		Timeout: time.Second, QueueWait: time.Second, Open: true, Close: true,
		Statements: []statement.Statement{{ID: "w", Kind: statement.KindWrite, Text: "item data"}},
	}
}

// A host of another build sends priorities above the range. Guards against a statement that is lost for it,
// and against a log line for each: it runs as the least urgent, and the log says so once.
func TestForwardedPriorityAboveTheRangeCountsAsTheLeastUrgent(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	var got []statement.Answer
	for n := range uint64(20) {
		w.relay.HandleForward(1, forwardedWrite(n, 40), func(a statement.Answer) { got = append(got, a) })
	}
	for p := range w.relay.State().Groups[0].WaitingByPriority {
		c.Check(p, qt.Equals, fleet.MaxPriority)
	}
	w.advance(50*time.Millisecond, true)
	c.Assert(got, qt.HasLen, 20)
	for _, a := range got {
		c.Check(a.Code, qt.Equals, statement.CodeNone)
	}
	logged := 0
	for _, e := range w.events {
		if strings.Contains(e.Reason, "priority 40") {
			logged++
		}
	}
	c.Assert(logged, qt.Equals, 1)
}
