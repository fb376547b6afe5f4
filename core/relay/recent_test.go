package relay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/statement"
)

// partitionWith cuts off the host and the given instances from the other instances and the store, and
// runs until the host has detected it.
func (w *world) partitionWith(with ...fleet.Instance) {
	reachable := fleet.NewSet(with...)
	for n, i := range w.instances {
		if !reachable.Has(n) {
			i.silent = true
			w.breakConns(i)
		}
	}
	for range 9 {
		w.open("rush", "key-1").do(statement.KindRead, "", "item")
		w.advance(100*time.Millisecond, false)
	}
}

// Guards against refusing bounded reads on a cut-off primary: it can no longer be verified as the
// primary, but is known to have been the primary until a time recent enough for the reads.
func TestBoundedReadsAreServedBesideACutOffPrimary(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	x := w.open("standing", "key-1")
	x.do(statement.KindWrite, "", "own data")
	w.partitionWith("a")
	for _, d := range []catalog.Database{"standing", "stock"} {
		y := w.open(d, "key-1")
		y.do(statement.KindRead, "", "item")
		w.advance(200*time.Millisecond, false)
		c.Check(y.last().Code, qt.Equals, statement.CodeNone, qt.Commentf("%s", d))
	}
	x.do(statement.KindRead, "", "own")
	w.advance(200*time.Millisecond, false)
	c.Check(x.last().Code, qt.Equals, statement.CodeNone)
	// Reads that have to show every write, or whose maximum age has passed since, are refused at once.
	y := w.open("rush", "key-1")
	y.do(statement.KindRead, "", "item")
	c.Check(y.last().Code, qt.Equals, statement.CodeBusy)
	w.advance(1600*time.Millisecond, false)
	z := w.open("stock", "key-1")
	z.do(statement.KindRead, "", "item")
	w.advance(200*time.Millisecond, false)
	c.Check(z.last().Code, qt.Equals, statement.CodeBusy)
	w.advance(time.Second, false)
	u := w.open("standing", "key-1")
	u.do(statement.KindRead, "", "own")
	c.Check(u.last().Code, qt.Equals, statement.CodeBusy)
}

// Guards against bounded reads that find no log position recent enough after a network partition,
// because the store was down before it.
func TestPositionsAreVerifiedWhileTheStoreIsDown(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	for range 30 {
		w.open("standing", "key-1").do(statement.KindRead, "", "item")
		w.advance(100*time.Millisecond, false)
	}
	w.partitionWith("b")
	x := w.open("standing", "key-1")
	x.do(statement.KindRead, "", "item")
	w.advance(200*time.Millisecond, false)
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
	c.Assert(x.last().Digest, qt.Equals, "d-b")
}
