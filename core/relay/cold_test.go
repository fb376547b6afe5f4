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

// coldRate is the rate that a cold instance can serve in these tests, in statements a second. Half
// of it is the share of one host.
const coldRate = 20

// setCold limits cold instances of the service to coldRate, and makes some instances cold.
func (w *world) setCold(is ...fleet.Instance) {
	w.revise(func(d *catalog.Catalog) {
		s := d.Services[service]
		s.ColdRate = coldRate
		d.Services = map[fleet.Service]catalog.Service{service: s}
	})
	for _, n := range is {
		w.instances[n].cold = 10 * time.Second
	}
	w.relay.SetDataCentreSizes(map[fleet.DataCentre]int{"obihiro": 1})
	w.list()
}

// Guards against callers that all return at once to a replica that has just started.
func TestColdReplicaStaysBelowItsRate(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.open("rush", "key-1").do(statement.KindRead, "", "for the sample")
	w.setCold("b")
	for range 100 {
		x := w.open("stock", "key-1")
		x.do(statement.KindRead, "", "item")
		w.advance(10*time.Millisecond, true)
		c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
	}
	c.Assert(len(w.instances["b"].executed) <= coldRate/2, qt.IsTrue)
}

// Guards against a cold primary that gets more than its rate, and against one that gets none: no
// other instance can run writes.
func TestColdPrimaryGetsItsRate(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.setCold("a")
	began, ran := w.now, len(w.instances["a"].executed)
	var callers []*caller
	for w.now.Sub(began) < 3*time.Second {
		x := w.open("rush", "key-1")
		x.do(statement.KindWrite, "", "item data")
		callers = append(callers, x)
		w.advance(20*time.Millisecond, true)
	}
	served := 0
	for _, x := range callers {
		if x.last().Code == statement.CodeNone {
			served++
		}
	}
	got := len(w.instances["a"].ranSince(ran))
	c.Assert(got <= 3*coldRate/2+1, qt.IsTrue, qt.Commentf("%d", got))
	c.Assert(served > coldRate, qt.IsTrue, qt.Commentf("%d", served))
}

// Guards against two hosts that both send the whole rate of a cold instance: a host that hears less
// than half of its data centre sends nothing.
func TestHostThatHearsFewHostsSendsNothingToColdInstances(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.setCold("a")
	w.relay.SetDataCentreSizes(map[fleet.DataCentre]int{"obihiro": 5})
	ran := len(w.instances["a"].executed)
	x := w.open("rush", "key-1")
	x.do(statement.KindWrite, "", "item data")
	w.advance(time.Second, true)
	c.Assert(x.last().Code, qt.Equals, statement.CodeBusy)
	c.Assert(w.instances["a"].ranSince(ran), qt.HasLen, 0)
}

// Guards against hosts that each send, over their own connections, the rate that a cold instance
// can serve for all hosts.
func TestColdInstanceIsUsedOverOneHost(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	var others []relay.Peer
	for _, h := range []fleet.Host{"h2", "h3", "h4", "h5", "h6"} {
		others = append(others, relay.Peer{Host: h, DataCentre: "obihiro", Send: func(relay.Forward) {}})
	}
	w.relay.SetPeers(others, 0)
	direct := 0
	for _, i := range w.relay.State().Groups[0].Instances {
		if i.Holder == "" {
			direct++
		}
	}
	c.Assert(direct, qt.Equals, 3)
	w.setCold("a", "b", "c")
	forwarded := 0
	for _, i := range w.relay.State().Groups[0].Instances {
		if i.Holder != "" {
			forwarded++
		}
	}
	c.Assert(forwarded > 0, qt.IsTrue)
}

// Guards against an instance that has restarted under its name and is overloaded before the list in
// the store shows that it is cold.
func TestRestartedInstanceCountsAsColdUntilTheListIsRead(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.setCold()
	w.breakConns(w.instances["a"])
	w.advance(200*time.Millisecond, true)
	ran := len(w.instances["a"].executed)
	flood := func() {
		for range 50 {
			w.open("rush", "key-1").do(statement.KindWrite, "", "item data")
			w.advance(10*time.Millisecond, true)
		}
	}
	flood()
	c.Assert(len(w.instances["a"].ranSince(ran)) <= coldRate/2, qt.IsTrue)
	w.advance(2*time.Second, true)
	w.list()
	ran = len(w.instances["a"].executed)
	flood()
	c.Assert(len(w.instances["a"].ranSince(ran)) >= 45, qt.IsTrue)
}

// Guards against the promotion of an instance that is slow for seconds, where a warm one has the
// same log.
func TestWarmReplicaIsPromoted(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.relay.SetCoordinator(true)
	w.setCold("b")
	w.list("a")
	w.advance(500*time.Millisecond, true)
	c.Assert(w.promotionRequests, qt.HasLen, 1)
	c.Assert(w.promotionRequests[0].Primary, qt.Equals, fleet.Instance("c"))
}
