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

// allowRegions restricts a database, or an account, to some regions. An empty name changes none.
func (w *world) allowRegions(db catalog.Database, a fleet.Account, regions ...fleet.Region) {
	h := catalog.AllowedRegions{}
	for _, r := range regions {
		h[r] = struct{}{}
	}
	w.revise(func(d *catalog.Catalog) {
		routes, accounts := map[catalog.Database]catalog.Route{}, map[fleet.Account]catalog.Account{}
		for n, r := range d.Routes {
			if n == db {
				r.AllowedRegions = h
			}
			routes[n] = r
		}
		for n, o := range d.Accounts {
			if n == a {
				o.AllowedRegions = h
			}
			accounts[n] = o
		}
		d.Routes, d.Accounts = routes, accounts
	})
}

// Guards against data that leaves the allowed regions of its database or account.
func TestStatementsStayInTheirRegions(t *testing.T) {
	for _, restricted := range []string{"database", "account"} {
		c := qt.New(t)
		w := newSplitWorld(c)
		if restricted == "database" {
			w.allowRegions("stock", "", "honshu")
		} else {
			w.allowRegions("", "hotel", "honshu")
		}
		before := len(w.instances["c"].executed)
		for range 20 {
			x := w.open("stock", "key-1")
			x.do(statement.KindRead, "", "item")
			w.advance(20*time.Millisecond, true)
			c.Assert(x.last().Code, qt.Equals, statement.CodeNone, qt.Commentf("%s", restricted))
		}
		c.Assert(w.instances["c"].ranSince(before), qt.HasLen, 0, qt.Commentf("%s", restricted))
	}
}

// Guards against a statement that waits for its timeout, or runs outside its allowed regions, where
// those of its database and of its account have no instance in common.
func TestStatementWithoutACommonRegionIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newSplitWorld(c)
	w.allowRegions("stock", "", "honshu")
	w.allowRegions("", "hotel", "hokkaido")
	x := w.open("stock", "key-1")
	x.do(statement.KindRead, "", "item")
	c.Assert(x.last().Code, qt.Equals, statement.CodeBusy)
	c.Assert(x.last().RetryAfter > 0, qt.IsTrue)
	y := w.open("stock", "key-3")
	y.do(statement.KindRead, "", "item")
	w.advance(20*time.Millisecond, true)
	c.Assert(y.last().Code, qt.Equals, statement.CodeNone)
}

// Guards against a write that is sent to a primary outside the allowed regions.
func TestWriteIsRefusedWhileThePrimaryIsOutsideItsRegions(t *testing.T) {
	c := qt.New(t)
	w := newSplitWorld(c)
	w.allowRegions("rush", "", "hokkaido")
	before := len(w.instances["a"].executed)
	x := w.open("rush", "key-1")
	x.do(statement.KindWrite, "", "item data")
	c.Assert(x.last().Code, qt.Equals, statement.CodeBusy)
	c.Assert(w.instances["a"].ranSince(before), qt.HasLen, 0)
}

// Guards against a statement whose text is sent to a host outside the allowed regions, because that
// host holds the connections.
func TestStatementIsNotForwardedOutsideItsRegions(t *testing.T) {
	c := qt.New(t)
	w := newSplitWorld(c)
	w.relay.SetHostCount(12)
	forwarded := 0
	w.relay.SetPeers([]relay.Peer{{
		Host: "h2", DataCentre: "sapporo", Send: func(f relay.Forward) {
			for _, q := range f.Statements {
				if q.Kind != statement.KindStepDown {
					forwarded++
				}
			}
		},
	}}, 0)
	w.allowRegions("stock", "", "hokkaido")
	x := w.open("stock", "key-1")
	x.do(statement.KindRead, "", "item")
	w.advance(100*time.Millisecond, true)
	c.Assert(forwarded, qt.Equals, 0)
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
}

// Guards against a promotion after which the writes of a database are refused because of its
// allowed regions, where another replica has the same log and is in an allowed region.
func TestReplicaInAnAllowedRegionIsPromoted(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c)
	w.instances["b"].otherDataCentre = true
	w.list()
	w.withConfirmedPrimary()
	w.relay.SetCoordinator(true)
	w.allowRegions("rush", "", "hokkaido")
	w.list("a")
	w.advance(500*time.Millisecond, true)
	c.Assert(w.promotionRequests, qt.HasLen, 1)
	c.Assert(w.promotionRequests[0].Primary, qt.Equals, fleet.Instance("c"))
}
