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

// crowded returns a world whose primary has turned away connections of two accounts that
// were begun at once, and has room again; and one caller of each account, who waits.
func crowded(c *qt.C) (*world, []*caller) {
	w := newWorld(c).settled()
	for _, n := range w.instances {
		w.cut(n)
		n.refuse = statement.CodeTooMany
	}
	a := w.instances["a"]
	a.hold = true
	w.pass(100*time.Millisecond, true)
	var callers []*caller
	for _, k := range []catalog.Key{"key-1", "key-3"} {
		x := w.open("rush", k)
		x.do(statement.KindRead, "", "item")
		callers = append(callers, x)
	}
	a.hold = false
	w.deliver()
	a.refuse = ""
	return w, callers
}

// The two refusals are one piece of news. The pause before the next try grew with each, and
// the room that others had left was found a second late.
func TestSimultaneousTooManyRefusalsCountOnce(t *testing.T) {
	c := qt.New(t)
	w, _ := crowded(c)
	dialled := w.instances["a"].dialled
	w.pass(45*time.Millisecond, true)
	c.Assert(w.instances["a"].dialled > dialled, qt.IsTrue)
}

// Two accounts take turns on the only connection that the primary has room for. The one's
// statement was to run on a connection that was closed at the same moment to make room for
// the other's, was never sent, and its caller waited until the time limit: about every second
// time, by the order in which the accounts were looked at.
func TestAccountsThatTakeTurnsAreBothServed(t *testing.T) {
	c := qt.New(t)
	for range 20 {
		w, callers := crowded(c)
		w.pass(150*time.Millisecond, true)
		for _, x := range callers {
			c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
		}
	}
}

// Guards against hosts that all start at once and, told that the holder can't reach an instance yet, each
// make a connection to see for themselves: the instance has no room left for the holder.
func TestHostsThatHaveJustStartedLeaveConnectionsToTheHolder(t *testing.T) {
	c := qt.New(t)
	hosts := fleetOf(300)
	for _, age := range []time.Duration{500 * time.Millisecond, time.Minute} {
		dials := 0
		for h := 1; h < len(hosts); h += 3 {
			w := worldOf(c, hosts[h], age)
			w.relay.SetHostCount(len(hosts))
			w.relay.SetPeers(append(append([]relay.Peer(nil), hosts[:h]...), hosts[h+1:]...), 0)
			w.now = w.now.Add(200 * time.Millisecond)
			before := w.instances["b"].dialled
			w.relay.AddReachability(hosts[0].Host, []fleet.Instance{"b"}, nil)
			dials += w.instances["b"].dialled - before
		}
		c.Check(dials > 0, qt.Equals, age == time.Minute, qt.Commentf("%d connections at the age of %v", dials, age))
	}
}

// Guards against a holder that has just started and turns others away, because it has not read the list
// of instances yet: they would turn to hosts that hold no connections.
func TestHolderThatHasJustStartedKeepsWhatOthersSend(t *testing.T) {
	c := qt.New(t)
	for _, age := range []time.Duration{100 * time.Millisecond, time.Minute} {
		w := worldOf(c, relay.Peer{Host: "h1", DataCentre: "obihiro"}, age)
		var got []statement.Answer
		w.relay.HandleForward(1, relay.Forward{
			Stream: 1, Service: "ledger", Instance: "l", Account: "hotel", Left: time.Second, Open: true, Close: true,
			Statements: []statement.Statement{{ID: "f1", Kind: statement.KindRead, Text: "item"}},
		}, func(a statement.Answer) { got = append(got, a) })
		w.relay.SetInstances(w.instancesOf("ledger", "l"), w.now)
		w.pass(100*time.Millisecond, true)
		c.Assert(got, qt.HasLen, 1)
		c.Check(got[0].Code == statement.CodeNone, qt.Equals, age != time.Minute)
	}
}
