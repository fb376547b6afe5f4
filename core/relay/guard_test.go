package relay_test

import (
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
