package relay_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
)

// failing returns a world whose instances answer all statements of callers with the given codes in turn, a
// thousand each, and how many have been answered.
func failing(c *qt.C, budget bool, codes ...statement.Code) (w *world, answered func() int) {
	w = configuredWorld(c, relay.Peer{Host: "h1", DataCentre: "obihiro"}, time.Minute, func(cfg *relay.Config) {
		cfg.RetryBudget = budget
	}).withConfirmedPrimary()
	w.open("stock", "key-1").do(statement.KindRead, "", "item")
	w.advance(50*time.Millisecond, true)
	for _, n := range w.instances {
		n.fail = slices.Repeat(codes, 1000)
	}
	return w, func() int {
		left := 0
		for _, n := range w.instances {
			left += len(n.fail)
		}
		return len(w.instances)*1000*len(codes) - left
	}
}

// All instances of a group fail all reads. Guards against retries that multiply the load which may have caused
// the failures.
func TestRetriesOfFailedReadsAreATenth(t *testing.T) {
	c := qt.New(t)
	const reads = 300
	for _, on := range []bool{false, true} {
		w, answered := failing(c, on, statement.CodeFailed)
		for range reads {
			x := w.open("stock", "key-1")
			x.do(statement.KindRead, "", "item")
			w.advance(10*time.Millisecond, true)
			c.Assert(x.last().Code, qt.Equals, statement.CodeBusy)
		}
		t.Logf("budget %t: %d reads sent %d times", on, reads, answered())
		c.Check(answered() <= reads+reads/10+10, qt.Equals, on)
		c.Check(w.relay.State().Counts.RetriesDenied > 0, qt.Equals, on)
	}
}

// Guards against running a failing statement more often than its route allows, and against counting refusals
// that say that it wasn't run.
func TestRouteLimitsHowOftenAStatementRuns(t *testing.T) {
	c := qt.New(t)
	for _, x := range []struct {
		max   int
		codes []statement.Code
		sent  int
	}{
		{0, []statement.Code{statement.CodeFailed}, 3},
		{-1, []statement.Code{statement.CodeFailed}, 3},
		{1, []statement.Code{statement.CodeFailed}, 1},
		{2, []statement.Code{statement.CodeTimeout}, 2},
		{1, []statement.Code{statement.CodeBusy}, 3},
	} {
		w, answered := failing(c, false, x.codes...)
		w.revise(func(d *catalog.Catalog) {
			d.Version++
			r := d.Routes["stock"]
			r.MaxAttempts = x.max
			d.Routes["stock"] = r
		})
		y := w.open("stock", "key-1")
		y.do(statement.KindRead, "", "item")
		w.advance(50*time.Millisecond, true)
		c.Check(y.last().Code, qt.Equals, statement.CodeBusy)
		c.Check(answered(), qt.Equals, x.sent, qt.Commentf("%d attempts, %v", x.max, x.codes))
	}
}

// Guards against a budget to which the reads of other hosts add, at the holder as well as where they are retried.
func TestForwardedReadsAddNothingToTheHoldersBudget(t *testing.T) {
	c := qt.New(t)
	w, _ := failing(c, true, statement.CodeFailed)
	for range 100 {
		w.open("stock", "key-1").do(statement.KindRead, "", "item")
		w.advance(10*time.Millisecond, true)
	}
	left := w.relay.State().Groups[0].RetriesLeft
	c.Assert(left < 1, qt.IsTrue, qt.Commentf("%v", left))
	for n := range 50 {
		w.relay.HandleForward(1, relay.Forward{
			Stream: uint64(n), Service: service, Instance: "a", Account: "hotel", //nolint:gosec // small
			Timeout: time.Second, QueueWait: time.Second, Open: true, Close: true,
			Statements: []statement.Statement{{ID: "r", Kind: statement.KindRead, Text: "item"}},
		}, func(statement.Answer) {})
		w.advance(10*time.Millisecond, true)
	}
	c.Assert(w.relay.State().Groups[0].RetriesLeft, qt.Equals, left)
}
