package relay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/statement"
)

// withFewConnections gives the host n connections to each instance, and four accounts that need them.
func (w *world) withFewConnections(n int) *world {
	w.revise(func(d *catalog.Catalog) {
		d.Services = map[fleet.Service]catalog.Service{service: {Name: service, Connections: n + 1}}
		d.Accounts = map[fleet.Account]catalog.Account{}
		for _, a := range []fleet.Account{"bakery", "florist", "hotel", "museum"} {
			d.Accounts[a] = catalog.Account{Name: a, Rate: 100, Burst: 100, Keys: []catalog.Key{catalog.Key("key-" + a)}}
		}
	})
	return w.withConfirmedPrimary()
}

// connsOf counts the open connections of an account to an instance.
func (w *world) connsOf(n fleet.Instance, a fleet.Account) int {
	open := 0
	for _, l := range w.instances[n].conns {
		if !l.closed && l.conn.Account == a {
			open++
		}
	}
	return open
}

// Guards against an account that is wanted often and loses its only connection to one that is wanted
// seldom: the one that had been idle longest was closed, and opened again at its next statement.
func TestConnectionOfTheLeastWantedAccountIsEvicted(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withFewConnections(2)
	often, seldom, other := w.open("rush", "key-hotel"), w.open("rush", "key-museum"), w.open("rush", "key-florist")
	for range 20 {
		often.do(statement.KindRead, "", "item")
		w.advance(20*time.Millisecond, true)
	}
	seldom.do(statement.KindRead, "", "item")
	w.advance(50*time.Millisecond, true)
	c.Assert(w.connsOf("a", "hotel"), qt.Equals, 1)
	c.Assert(w.connsOf("a", "museum"), qt.Equals, 1)
	other.do(statement.KindRead, "", "item")
	w.advance(50*time.Millisecond, true)
	c.Assert(other.last().Code, qt.Equals, statement.CodeNone)
	c.Assert(w.connsOf("a", "hotel"), qt.Equals, 1)
	c.Assert(w.connsOf("a", "museum"), qt.Equals, 0)
	c.Assert(w.relay.State().Counts.Evictions > 0, qt.IsTrue)
}

// Guards against a connection that is closed in favour of another account the moment it is free, while the next
// operation of its own account waits for it and has to open it again.
func TestFreedConnectionGoesToItsAccountsOperation(t *testing.T) {
	c := qt.New(t)
	// The queue asks the accounts in any order.
	for range 60 {
		w := newWorld(c).withFewConnections(2)
		w.beginIdle(1, "key-museum")
		x, y, z := w.open("rush", "key-hotel"), w.open("rush", "key-hotel"), w.open("rush", "key-florist")
		x.do(statement.KindRead, "", "first")
		w.advance(50*time.Millisecond, true)
		a := w.instances["a"]
		a.hold = true
		x.do(statement.KindRead, "", "second")
		y.do(statement.KindRead, "", "third")
		z.do(statement.KindRead, "", "theirs")
		w.advance(20*time.Millisecond, true)
		before := a.dialled
		a.hold = false
		w.advance(50*time.Millisecond, true)
		c.Assert(y.last().Code, qt.Equals, statement.CodeNone)
		c.Assert(z.last().Code, qt.Equals, statement.CodeNone)
		c.Assert(a.dialled-before, qt.Equals, 1)
	}
}
