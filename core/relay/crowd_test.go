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

// crowded returns a world whose primary has refused connections of two accounts that were
// opened at the same time, and accepts connections again; and one waiting caller of each account.
func crowded(c *qt.C) (*world, []*caller) {
	w := newWorld(c).withConfirmedPrimary()
	for _, n := range w.instances {
		w.breakConns(n)
		n.refuse = statement.CodeTooMany
	}
	a := w.instances["a"]
	a.hold = true
	w.advance(100*time.Millisecond, true)
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

// Two connections that were opened at the same time are refused with "too many". Guards against
// extending the delay before the next attempt for each of the two refusals: connection slots that
// others had released were found a second late.
func TestSimultaneousTooManyRefusalsCountOnce(t *testing.T) {
	c := qt.New(t)
	w, _ := crowded(c)
	dialled := w.instances["a"].dialled
	w.advance(45*time.Millisecond, true)
	c.Assert(w.instances["a"].dialled > dialled, qt.IsTrue)
}

// Two accounts take turns on the only connection that the primary accepts. Guards against
// assigning a statement of one account to a connection that is being closed at the same time to
// make room for the other account: the statement was never sent, and its caller waited until the
// timeout. Depending on the order in which the accounts were checked, this happened in about half
// of the runs.
func TestAccountsThatTakeTurnsAreBothServed(t *testing.T) {
	c := qt.New(t)
	for range 20 {
		w, callers := crowded(c)
		w.advance(150*time.Millisecond, true)
		for _, x := range callers {
			c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
		}
	}
}

// Guards against hosts that all start at once and, when the holder reports that it can't reach an
// instance yet, each open a connection to check: the instance has no slot left for the holder.
func TestHostsThatHaveJustStartedLeaveConnectionsToTheHolder(t *testing.T) {
	c := qt.New(t)
	hosts := newFleet(300)
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

// Guards against a holder that has just started and refuses forwarded statements, because it has not
// read the list of instances yet: the other hosts would forward to hosts that hold no connections.
func TestHolderThatHasJustStartedKeepsWhatOthersSend(t *testing.T) {
	c := qt.New(t)
	for _, age := range []time.Duration{100 * time.Millisecond, time.Minute} {
		w := worldOf(c, relay.Peer{Host: "h1", DataCentre: "obihiro"}, age)
		var got []statement.Answer
		w.relay.HandleForward(1, relay.Forward{
			Stream: 1, Service: "ledger", Instance: "l", Account: "hotel", Timeout: time.Second, Open: true, Close: true,
			Statements: []statement.Statement{{ID: "f1", Kind: statement.KindRead, Text: "item"}},
		}, func(a statement.Answer) { got = append(got, a) })
		w.relay.SetInstances(w.instancesOf("ledger", "l"), w.now)
		w.advance(100*time.Millisecond, true)
		c.Assert(got, qt.HasLen, 1)
		c.Check(got[0].Code == statement.CodeNone, qt.Equals, age != time.Minute)
	}
}
