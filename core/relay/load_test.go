package relay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/backpressure"
	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
)

// loadWorld is the world of a host that forwards all statements to holders, which don't answer by themselves.
type loadWorld struct {
	*world
	sent   []relay.Forward
	holder fleet.Host
}

func newLoadWorld(c *qt.C, on bool) *loadWorld {
	w := &loadWorld{world: configuredWorld(c, relay.Peer{Host: "h1", DataCentre: "obihiro"}, time.Minute,
		func(cfg *relay.Config) { cfg.Backpressure = on }).withConfirmedPrimary()}
	w.usePeers(12, "obihiro")
	return w
}

// usePeers sets the number of hosts, nine of which are heard in a data centre.
func (w *loadWorld) usePeers(hosts int, dc fleet.DataCentre) {
	w.relay.SetHostCount(hosts)
	var peers []relay.Peer
	for n := range 9 {
		name := fleet.Host("near-" + string(rune('a'+n)))
		peers = append(peers, relay.Peer{Host: name, DataCentre: dc, Send: func(f relay.Forward) {
			w.sent, w.holder = append(w.sent, f), name
		}})
	}
	w.relay.SetPeers(peers, 0)
}

// reported has the holder of the primary answer one statement and report a wait for all priorities.
func (w *loadWorld) reported(millis ...uint32) {
	x := w.open("rush", "key-1")
	x.do(statement.KindWrite, "", "item data")
	f := w.sent[len(w.sent)-1]
	w.relay.HandleForwardLoad(w.holder, f.Stream, millis)
	w.relay.HandleForwardAnswer(w.holder, f.Stream, statement.Answer{Digest: "d-over", State: statement.TxNone})
	w.sent = nil
}

// ask sends writes of as many callers, and returns how many were forwarded and how many refused.
func (w *loadWorld) ask(callers int) (forwarded, refused int) {
	w.sent = nil
	for range callers {
		x := w.open("rush", "key-1")
		x.do(statement.KindWrite, "", "item data")
		if x.last().Code == statement.CodeBusy {
			refused++
		}
	}
	return len(w.sent), refused
}

// The holder of the primary reports a wait beyond what callers wait. Guards against forwarding operations that
// can't be served, and against forwarding none, so that nobody would notice that the holder has recovered.
func TestOverdueOperationsAreRefusedBeforeTheHop(t *testing.T) {
	c := qt.New(t)
	for _, on := range []bool{false, true} {
		w := newLoadWorld(c, on)
		w.reported(5000)
		forwarded, refused := w.ask(16)
		if !on {
			c.Check(forwarded, qt.Equals, 16)
			continue
		}
		c.Check(forwarded, qt.Equals, 2, qt.Commentf("one in eight is forwarded"))
		c.Check(refused, qt.Equals, 14)
		c.Check(w.relay.State().Counts.RefusedBeforeHop, qt.Equals, uint64(14))
	}
}

// The holder of the primary is in a region that a route's statements may not enter, so that they use this host's
// own connections. Guards against refusing them by the load of that holder.
func TestLoadOfAHolderInAForbiddenRegionRefusesNothing(t *testing.T) {
	c := qt.New(t)
	w := &loadWorld{world: configuredWorld(c, relay.Peer{Host: "h1", DataCentre: "otaru"}, time.Minute,
		func(cfg *relay.Config) {
			cfg.Backpressure = true
			cfg.Regions = map[fleet.DataCentre]fleet.Region{"obihiro": "hokkaido", "otaru": "hokkaido", "sapporo": "honshu"}
		}).withConfirmedPrimary()}
	w.revise(func(d *catalog.Catalog) {
		d.Version++
		r := d.Routes["rush"]
		r.Database, r.AllowedRegions = "local", catalog.AllowedRegions{"hokkaido": {}}
		d.Routes["local"] = r
	})
	w.usePeers(12, "sapporo")
	w.reported(5000)
	_, refused := w.ask(8)
	c.Assert(refused, qt.Equals, 7)
	w.sent = nil
	x := w.open("local", "key-1")
	x.do(statement.KindWrite, "", "item data")
	w.advance(50*time.Millisecond, true)
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
	c.Assert(w.sent, qt.HasLen, 0)
}

// Guards against refusals by a report that is outdated, replaced, or that of a holder whose link has ended.
func TestReportsThatNoLongerHoldRefuseNothing(t *testing.T) {
	c := qt.New(t)
	for name, end := range map[string]func(w *loadWorld){
		"outdated": func(w *loadWorld) { w.advance(250*time.Millisecond, true) },
		"replaced": func(w *loadWorld) {
			w.relay.HandleForwardLoad(w.holder, 0, nil)
			_, _ = w.ask(8)
			f := w.sent[len(w.sent)-1]
			w.relay.HandleForwardLoad(w.holder, f.Stream, nil)
		},
		"lost": func(w *loadWorld) { w.relay.PeerLost(w.holder) },
	} {
		w := newLoadWorld(c, true)
		w.reported(5000)
		end(w)
		forwarded, refused := w.ask(8)
		c.Check(forwarded, qt.Equals, 8, qt.Commentf("%s", name))
		c.Check(refused, qt.Equals, 0, qt.Commentf("%s", name))
	}
}

// A host reports waits that are out of range. Guards against using them, and against doing so without a line in
// the log.
func TestLoadsOutOfRangeAreIgnored(t *testing.T) {
	c := qt.New(t)
	w := newLoadWorld(c, true)
	w.reported(4_000_000_000)
	forwarded, _ := w.ask(8)
	c.Check(forwarded, qt.Equals, 8)
	logged := false
	for _, e := range w.events {
		logged = logged || e.Choice == "ignore a load report" && e.Reason == backpressure.ErrTooLong.Error()
	}
	c.Check(logged, qt.IsTrue)
}

// Other hosts forward more than a holder's instance can run. Guards against a holder that reports no load, or
// reports one when nothing waits.
func TestHolderReportsItsLoad(t *testing.T) {
	c := qt.New(t)
	for _, on := range []bool{false, true} {
		w := configuredWorld(c, relay.Peer{Host: "h1", DataCentre: "obihiro"}, time.Minute,
			func(cfg *relay.Config) { cfg.Backpressure = on }).withConfirmedPrimary()
		c.Check(w.relay.Load(service).IsZero(), qt.IsTrue)
		w.instances["a"].hold = true
		for n := range 40 {
			w.relay.HandleForward(1, relay.Forward{
				Stream: uint64(n), Service: service, Instance: "a", Account: "hotel", //nolint:gosec // small
				Timeout: time.Second, QueueWait: time.Second, Open: true, Close: true,
				Statements: []statement.Statement{{ID: "w", Kind: statement.KindWrite, Text: "item data"}},
			}, func(statement.Answer) {})
		}
		w.advance(100*time.Millisecond, true)
		c.Check(w.relay.Load(service).Wait(fleet.DefaultPriority) >= 50*time.Millisecond, qt.Equals, on)
	}
}
