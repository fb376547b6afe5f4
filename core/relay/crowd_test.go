package relay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/catalog"
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
func TestRefusalsForWantOfRoomAtOnceCountAsOne(t *testing.T) {
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
