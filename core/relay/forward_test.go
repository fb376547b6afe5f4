package relay_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
)

// Only this host is cut off from the primary, and another host reports that it reaches it.
// Statements are forwarded through that host.
func TestUnreachablePrimaryIsUsedOverAHostThatReachesIt(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	var sent []relay.Forward
	w.relay.SetPeers([]relay.Peer{
		{Host: "h2", DataCentre: "obihiro", Send: func(f relay.Forward) { sent = append(sent, f) }},
	}, 0)
	x := w.open("rush", "key-1")
	x.do(statement.KindRead, "", "item")
	c.Assert(sent, qt.HasLen, 0)
	w.makeUnreachable("a")
	for range 7 {
		w.relay.AddReachability("h2", nil, []fleet.Instance{"a"})
		w.advance(100*time.Millisecond, true)
	}
	sent = nil
	x.do(statement.KindWrite, "", "item data")
	c.Assert(len(sent) > 0, qt.IsTrue)
	f := sent[len(sent)-1]
	w.relay.HandleForwardAnswer("h2", f.Stream, statement.Answer{Digest: "d-over", State: statement.TxNone})
	w.advance(50*time.Millisecond, true)
	c.Assert(x.last().Digest, qt.Equals, "d-over")
}

// Guards against a write of a transaction that runs outside of it. A host had reopened its link,
// which ended the streams of the old link; the next write of a transaction then ran on its own. A
// statement that doesn't open a stream must not run on a stream that has ended.
func TestStreamThatEndedRunsNothing(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	var got []statement.Answer
	reply := func(a statement.Answer) { got = append(got, a) }
	f := relay.Forward{
		Stream: 1, Service: service, Instance: "a", Account: "hotel", Timeout: time.Second, Open: true,
		Statements: []statement.Statement{
			{ID: "b", Kind: statement.KindBegin}, {ID: "w1", Kind: statement.KindWrite, Text: "1 a"},
		},
	}
	w.relay.HandleForward(1, f, reply)
	w.advance(20*time.Millisecond, true)
	c.Assert(got, qt.HasLen, 1)
	c.Assert(got[0].State, qt.Equals, statement.TxOpen)
	w.relay.InboundLinkClosed(1)
	c.Assert(w.count("rollback"), qt.Equals, 1)
	f.Open, f.Statements = false, []statement.Statement{{ID: "w2", Kind: statement.KindWrite, Text: "2 b"}}
	w.relay.HandleForward(2, f, reply)
	w.advance(20*time.Millisecond, true)
	c.Assert(got[1].Code, qt.Equals, statement.CodeAborted)
	c.Assert(w.count("write w2"), qt.Equals, 0)
}

// With 12 hosts and 16 connections, each host would have one, and its accounts would take turns on
// it. So one host in the data centre of the instance holds all connections, and the others forward
// to it.
func TestScarceConnectionsAreHeldByOneHost(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.relay.SetHostCount(12)
	var sent []relay.Forward
	var holder fleet.Host
	peers := []relay.Peer{{
		Host: "far", DataCentre: "sapporo", Send: func(relay.Forward) { c.Error("not the nearest host") },
	}}
	for n := range 9 {
		name := fleet.Host("near-" + string(rune('a'+n)))
		peers = append(peers, relay.Peer{Host: name, DataCentre: "obihiro", Send: func(f relay.Forward) {
			sent, holder = append(sent, f), name
		}})
	}
	w.relay.SetPeers(peers, 0)
	x := w.open("rush", "key-1")
	x.do(statement.KindRead, "", "item")
	c.Assert(sent, qt.HasLen, 1)
	c.Assert(sent[0].Open, qt.IsTrue)
	c.Assert(sent[0].Close, qt.IsTrue)
	w.relay.HandleForwardAnswer(holder, sent[0].Stream, statement.Answer{Digest: "d-over", State: statement.TxNone})
	c.Assert(x.last().Digest, qt.Equals, "d-over")
	w.relay.HandleForwardAnswer(holder, sent[0].Stream, statement.Answer{Digest: "twice", State: statement.TxNone})
	c.Assert(x.answers, qt.HasLen, 1)
}

// Guards against accounts that take turns on the few connections of each host in a small fleet: eight
// accounts had three connections, and new connections took more of the instance's slots than
// statements did. One host holds the connections of all accounts instead.
func TestAccountsOfASmallFleetDoNotTakeTurnsOnConnections(t *testing.T) {
	c := qt.New(t)
	const hosts, accounts, rounds = 8, 8, 20
	w := newWorld(c)
	w.revise(func(d *catalog.Catalog) {
		d.Services = map[fleet.Service]catalog.Service{service: {Name: service, Connections: 32}}
		d.Accounts = map[fleet.Account]catalog.Account{}
		for n := range accounts {
			name := fmt.Sprintf("account-%d", n)
			d.Accounts[fleet.Account(name)] = catalog.Account{Name: fleet.Account(name), Keys: []catalog.Key{catalog.Key(name)}}
		}
	})
	w.withConfirmedPrimary()
	w.relay.SetHostCount(hosts)
	w.relay.SetPeers([]relay.Peer{{Host: "far", DataCentre: "sapporo", Send: func(relay.Forward) {}}}, 0)
	before := w.instances["a"].dialled
	for range rounds {
		for n := range accounts {
			x := w.open("rush", catalog.Key(fmt.Sprintf("account-%d", n)))
			x.do(statement.KindRead, "", "item")
			w.advance(10*time.Millisecond, true)
			c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
		}
	}
	dialled := w.instances["a"].dialled - before
	c.Assert(dialled <= accounts, qt.IsTrue, qt.Commentf("%d connections", dialled))
}

// Guards against slow transactions after all hosts have lost power and restarted. The instances
// keep the old connections for 3 s and have room for one more from each host. Accounts took turns
// on it, each with a new connection, and one paused transaction blocked all others of the host.
// Until the old connections are closed, one host holds the free ones, and the others forward to it.
func TestRecentlyStartedHostsShareOneHolder(t *testing.T) {
	c := qt.New(t)
	w := newRecentlyStartedWorld(c).withConfirmedPrimary()
	w.relay.SetHostCount(2)
	var sent []relay.Forward
	var peers []relay.Peer
	for n := range 9 {
		name := fleet.Host("near-" + string(rune('a'+n)))
		peers = append(peers, relay.Peer{Host: name, DataCentre: "obihiro", Send: func(f relay.Forward) {
			sent = append(sent, f)
		}})
	}
	w.relay.SetPeers(peers, 0)
	x := w.open("rush", "key-1")
	x.do(statement.KindRead, "", "item")
	c.Assert(sent, qt.HasLen, 1)
	w.advance(3500*time.Millisecond, true)
	y := w.open("rush", "key-1")
	y.do(statement.KindRead, "", "item")
	w.advance(50*time.Millisecond, true)
	c.Assert(sent, qt.HasLen, 1)
	c.Assert(y.last().Code, qt.Equals, statement.CodeNone)
}

// Another host forwards the begin of a transaction to a replica that doesn't cover the required
// position. Guards against retries on the same replica: this host made five more in as many round
// trips, while reads that the replica could serve waited. The forwarding host chooses the next
// instance.
func TestForwardedTransactionIsRejectedAtOnceByALaggingReplica(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	var got []statement.Answer
	f := relay.Forward{
		Stream: 1, Service: service, Instance: "b", Account: "hotel",
		Timeout: time.Second, QueueWait: time.Second, Open: true,
		Statements: []statement.Statement{
			{ID: "b", Kind: statement.KindBeginRead, After: fleet.Some(fleet.LogPosition{Term: 1, Index: 9})},
			{ID: "r", Kind: statement.KindRead, Text: "item"},
		},
	}
	w.relay.HandleForward(1, f, func(a statement.Answer) { got = append(got, a) })
	w.advance(50*time.Millisecond, true)
	c.Assert(got, qt.HasLen, 1)
	c.Assert(got[0].Code, qt.Equals, statement.CodeLagging)
	c.Assert(w.instances["b"].lagged, qt.Equals, 1)
}

// An instance closes one connection in five instead of answering, but is reachable. The next
// connection to it must be opened at once, without a delay.
func TestBrokenConnectionToARespondingInstanceIsReplacedAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	x, y := w.open("rush", "key-1"), w.open("rush", "key-1")
	x.do(statement.KindRead, "", "item")
	a := w.instances["a"]
	a.hold = true
	x.do(statement.KindRead, "", "item")
	dialled := a.dialled
	w.breakConns(a)
	a.hold = false
	y.do(statement.KindRead, "", "item")
	c.Assert(a.dialled > dialled, qt.IsTrue)
	c.Assert(y.last().Code, qt.Equals, statement.CodeNone)
}

// An operation is forwarded with little of its wait limit left, and the holder has no free
// connection. The holder must refuse it at that limit, not at the timeout of its route.
func TestForwardedOperationDoesNotWaitBeyondItsLimit(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	var got []statement.Answer
	for n := range 6 {
		f := relay.Forward{
			Stream: uint64(n), Service: service, Instance: "b", Account: "hotel", Timeout: time.Second, //nolint:gosec // small
			QueueWait: time.Millisecond, Open: true, Close: true,
			Statements: []statement.Statement{{ID: "r", Kind: statement.KindRead, Text: "item"}},
		}
		w.instances["b"].hold = true
		w.relay.HandleForward(1, f, func(a statement.Answer) { got = append(got, a) })
	}
	w.advance(50*time.Millisecond, true)
	c.Assert(len(got) > 0, qt.IsTrue)
	for _, a := range got {
		c.Check(a.Code, qt.Equals, statement.CodeBusy)
	}
}

// A holder's connections break as the instance starts anew, empty and as a replica. Guards against running
// another host's read of the primary on the new process: the asking host can't know of the connections.
func TestHolderRunsAPrimarysReadOnlyOnAProcessThatLeads(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	var got []statement.Answer
	read := func(stream uint64) {
		got = nil
		w.relay.HandleForward(1, relay.Forward{
			Stream: stream, Service: service, Instance: "a", Account: "hotel",
			Timeout: time.Second, QueueWait: time.Second, Open: true, Close: true,
			Statements: []statement.Statement{{ID: "r", Kind: statement.KindRead, Text: "item"}},
		}, func(a statement.Answer) { got = append(got, a) })
		w.advance(50*time.Millisecond, true)
		c.Assert(got, qt.HasLen, 1)
	}
	read(1)
	c.Assert(got[0].Code, qt.Equals, statement.CodeNone)
	a := w.instances["a"]
	w.breakConns(a)
	a.role, a.position, a.executed = fleet.RoleReplica, fleet.LogPosition{}, nil
	read(2)
	c.Assert(got[0].Code, qt.Equals, statement.CodeReadOnly)
	c.Assert(a.executed, qt.HasLen, 0)

	a.role = fleet.RolePrimary
	read(3)
	c.Assert(got[0].Code, qt.Equals, statement.CodeNone, qt.Commentf("it is asked again for each read"))
}
