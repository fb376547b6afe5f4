package relay_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
)

// An instance is off the list for 3 s, is listed again for another host, and is promoted. The host has
// read the list a moment ago, without it, and has no registration. Guards against leaving it out of the
// question too soon.
func TestInstanceThatIsUnlistedForAWhileIsAsked(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.instances["b"].unlisted = true
	for range 6 {
		w.list()
		w.advance(500*time.Millisecond, true)
	}
	w.advance(800*time.Millisecond, false)
	w.promote()
	w.list()
	ran, _ := w.readOnce("rush", 100*time.Millisecond, false)
	c.Assert(ran["a"], qt.Equals, 0)
}

// A write is sent while the registration holds, by a host that has just read its first list, which lacks the
// other instances. Its answer comes once the registration has ended. Guards against an acknowledgement that
// nobody was asked for.
func TestLateAnswerIsNotVerifiedByAnIncompleteList(t *testing.T) {
	c := qt.New(t)
	w := newWorldWithout(c, "b", "c")
	w.advance(100*time.Millisecond, true)
	w.open("rush", "key-1").do(statement.KindRead, "", "item")
	w.instances["a"].hold = true
	x := w.open("rush", "key-1")
	x.do(statement.KindWrite, "", "item data")
	c.Assert(w.count("write"), qt.Equals, 1)
	w.relay.LeaseLost()
	w.instances["a"].hold = false
	w.deliver()
	c.Assert(x.last().Code, qt.Equals, statement.CodeInDoubt)
}

// The primary is used over another host, and starts anew under its id, empty. Guards against a log position
// of the new process: with the refusal of a write, or with the status that tells that it doesn't lead.
func TestErrorOverAnotherHostGivesNoLogPosition(t *testing.T) {
	status := statement.Answer{Rows: []string{"replica 0 0 0"}}
	for kind, answer := range map[statement.Kind]statement.Answer{
		statement.KindWrite: {Code: statement.CodeReadOnly}, statement.KindStepDown: status,
	} {
		t.Run(string(kind), func(t *testing.T) {
			c := qt.New(t)
			w := newConnectedWorld(c)
			var sent []relay.Forward
			w.relay.SetPeers([]relay.Peer{{Host: holderOfAll, DataCentre: "obihiro", Capacity: 100,
				Send: func(f relay.Forward) { sent = append(sent, f) }}}, 0)
			w.relay.SetHostCount(16)
			w.advance(2*time.Second, true)
			x := w.open("rush", "key-1")
			if kind == statement.KindWrite {
				x.do(statement.KindWrite, "", "item data")
			} else {
				w.open("stock", "key-1").do(statement.KindRead, "", "item")
				w.advance(60*time.Millisecond, true)
			}
			before := w.relay.State().Groups[0].SampleAge
			answered := 0
			for _, f := range sent {
				if f.Instance == "a" && len(f.Statements) > 0 && f.Statements[0].Kind == kind {
					a := answer
					a.Position, a.State = fleet.Some(fleet.LogPosition{}), statement.TxNone
					w.relay.HandleForwardAnswer(holderOfAll, f.Stream, a)
					answered++
				}
			}
			c.Assert(answered > 0, qt.IsTrue)
			c.Assert(w.relay.State().Groups[0].SampleAge, qt.Equals, before)
		})
	}
}

// holderOfAll is a host so strong that it holds the connections of all instances.
const holderOfAll fleet.Host = "h9"

// A status is asked of b, and then a read is sent to it on another connection. The read runs first, while b
// is a lagging replica; the status is answered once b leads, and read before the read's answer. Guards
// against taking the read's log position for one of b's term, as it was asked for later than the status that
// confirms b: at once, by the registration, or once the other instances have verified the answer.
func TestPositionAskedForBeforeTheConfirmationArrivedIsIgnored(t *testing.T) {
	for _, renewed := range []bool{true, false} {
		t.Run(fmt.Sprintf("renewed %v", renewed), func(t *testing.T) {
			c := qt.New(t)
			w := newConnectedWorld(c)
			a, b, other := w.instances["a"], w.instances["b"], w.instances["c"]
			b.otherDataCentre = false
			w.list("c")
			w.readOnReplicaB()
			w.advance(1100*time.Millisecond, false)
			if !renewed {
				// The registration no longer covers what the read owes, and the others' statuses are needed.
				w.advance(1300*time.Millisecond, false)
				w.open("stock", "key-1").do(statement.KindRead, "", "item")
				// A log position from now no longer counts for the last read.
				w.advance(500*time.Millisecond, false)
			}
			b.holdRequests = true
			w.open("rush", "key-1").do(statement.KindRead, "", "item")
			c.Assert(b.inbox, qt.HasLen, 1, qt.Commentf("the status"))
			a.busy = true
			for range 2 {
				w.open("stock", "key-1").do(statement.KindRead, "", "item")
			}
			c.Assert(len(b.inbox) > 1, qt.IsTrue, qt.Commentf("no read on b"))
			b.hold, b.holdRequests = true, false
			b.inbox[1]()
			late := b.pending
			c.Assert(late, qt.HasLen, 1)
			b.pending, b.hold, a.busy = nil, false, false
			w.list()
			w.promote().position.Index = 9
			a.role, a.term, other.term = fleet.RoleReplica, 2, 2
			w.relay.AddRecord(promotionOfB)
			b.inbox[0]()
			w.deliver()
			c.Assert(w.relay.State().Groups[0].PrimaryKnown, qt.IsTrue)
			if renewed {
				w.renew()
			}
			late[0]()
			// What a showed before the cut no longer counts after this time.
			w.advance(1200*time.Millisecond, renewed)
			ran, _ := w.readOnce("stock", 20*time.Millisecond, renewed)
			c.Assert(ran["a"]+ran["c"], qt.Equals, 0, qt.Commentf("they end at %v, b leads with %v", other.position, b.position))
		})
	}
}

// A host without a registration asks a for its log position, not knowing that b leads and has acknowledged
// writes. It hears of b, and has a registration again, while that position waits to be verified. Guards
// against verifying it by what is known of b.
func TestPositionOfTheFormerPrimaryIsNotVerifiedForItsSuccessor(t *testing.T) {
	c := qt.New(t)
	w := newConnectedWorld(c)
	b, other := w.instances["b"], w.instances["c"]
	w.advance(4*time.Second, false)
	b.hold, other.hold = true, true
	w.promote().position = fleet.LogPosition{Term: 2, Index: 9}
	other.term = 2
	x := w.open("stock", "key-1")
	x.do(statement.KindRead, "", "item")
	w.advance(60*time.Millisecond, false)
	x.s.Disconnected()
	w.relay.AddRecord(promotionOfB)
	w.renew()
	b.hold, other.hold, b.busy = false, false, true
	a := w.instances["a"]
	executed := len(a.executed) + len(other.executed)
	w.deliver()
	c.Assert(w.relay.State().Groups[0].Primary, qt.Equals, fleet.Instance("b"))
	w.advance(20*time.Millisecond, true)
	for range 3 {
		w.readOnce("stock", 50*time.Millisecond, true)
	}
	c.Assert(w.relay.State().Groups[0].PrimaryKnown, qt.IsTrue)
	c.Assert(len(a.executed)+len(other.executed), qt.Equals, executed)
}

// readOnReplicaB has two reads run on b at a time, so that there are two connections to it.
func (w *world) readOnReplicaB() {
	a, b := w.instances["a"], w.instances["b"]
	a.busy, b.hold = true, true
	for range 10 {
		w.open("stock", "key-1").do(statement.KindRead, "", "item")
		w.advance(20*time.Millisecond, true)
	}
	a.busy, b.hold = false, false
	w.deliver()
	w.c.Assert(len(b.conns) > 1, qt.IsTrue)
	w.open("rush", "key-1").do(statement.KindRead, "", "for the sample")
}

// A host has just started, and its registration ends for a moment, as that of each host does before a
// promotion. Guards against writes and reads that are refused, or in doubt, instead of waiting for the next
// registration.
func TestShortLossOfTheRegistrationAfterAStartRefusesNothing(t *testing.T) {
	for _, k := range []statement.Kind{statement.KindRead, statement.KindWrite} {
		t.Run(string(k), func(t *testing.T) {
			c := qt.New(t)
			w := newWorldWithout(c, "c")
			w.advance(200*time.Millisecond, true)
			w.relay.LeaseLost()
			x := w.open("rush", "key-1")
			x.do(k, "", "item data")
			w.advance(100*time.Millisecond, false)
			c.Assert(w.count(string(statement.KindWrite)), qt.Equals, 0)
			w.advance(50*time.Millisecond, true)
			c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
		})
	}
}
