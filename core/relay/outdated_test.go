package relay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/follow"
	"skylarkdeal/core/statement"
)

// Guards against a host that goes on with an old catalog, by which a key still works that was withdrawn.
func TestOutdatedCatalogStartsNothing(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	x := w.open("rush", "key-1")
	x.do(statement.KindRead, "", "item")
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
	w.relay.SetCatalogOutdated(follow.OutdatedBehind)
	c.Assert(w.relay.Ready(), qt.IsFalse)
	sent := w.count("item")
	for _, k := range []statement.Kind{statement.KindRead, statement.KindWrite, statement.KindBegin} {
		x.do(k, "", "item")
		c.Check(x.last().Code, qt.Equals, statement.CodeBusy)
		c.Check(x.last().RetryAfter > 0, qt.IsTrue)
		c.Check(x.last().State, qt.Equals, statement.TxNone)
	}
	c.Assert(w.count("item"), qt.Equals, sent)
	c.Assert(w.open("rush", "key-1").code, qt.Equals, statement.CodeBusy)
	w.relay.SetCatalogOutdated("")
	c.Assert(w.relay.Ready(), qt.IsTrue)
	x.do(statement.KindRead, "", "item")
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
}

// Guards against a transaction that is cut in the middle because the catalog became outdated.
func TestOpenTransactionGoesOnWithAnOutdatedCatalog(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	x := w.open("rush", "key-1")
	x.do(statement.KindBegin, "", "")
	x.do(statement.KindWrite, "", "item")
	w.relay.SetCatalogOutdated(follow.OutdatedBehind)
	x.do(statement.KindCommit, "", "")
	w.advance(20*time.Millisecond, true)
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
	x.do(statement.KindBegin, "", "")
	c.Assert(x.last().Code, qt.Equals, statement.CodeBusy)
}

// Guards against a host that is continued after a pause and takes sessions and operations that wait in its
// sockets by a catalog from before it.
func TestPausedHostStartsNothingBeforeItsFirstTick(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	x := w.open("rush", "key-1")
	w.now = w.now.Add(3 * time.Second)
	for _, k := range []statement.Kind{statement.KindRead, statement.KindWrite, statement.KindBegin} {
		x.do(k, "", "item")
		c.Check(x.last().Code, qt.Equals, statement.CodeBusy)
	}
	c.Assert(w.count("item"), qt.Equals, 0)
	c.Assert(w.open("rush", "key-1").code, qt.Equals, statement.CodeBusy)
	w.advance(100*time.Millisecond, true)
	x.do(statement.KindRead, "", "item")
	w.advance(50*time.Millisecond, true)
	c.Assert(x.last().Code, qt.Equals, statement.CodeNone)
}
