package holder_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/standin/ledger"
)

// The primary hangs, and reports have filled the account's part of the queue when an urgent exchange comes.
// Guards against its refusal, and against a displaced exchange that gets no answer.
func TestUrgentExchangeDisplacesALessUrgentOne(t *testing.T) {
	b := newBench(t)
	b.c.Assert(b.group.Set("a", ledger.Fault{Kind: ledger.FaultPause}), qt.IsNil)
	results := make(chan exchange.Result, 1024)
	start := func(p fleet.Priority) {
		q := b.request("once w1 bin 1")
		q.Priority = p
		b.holder.Runner().Run(q, exchange.Reply{
			Send: func([]byte) error { return nil },
			Done: func(r exchange.Result) { results <- r },
		})
	}
	for range 400 {
		start(2)
	}
	start(0)
	displaced := func() bool {
		for len(results) > 0 {
			r := <-results
			if r.Refusal != nil && strings.Contains(r.Refusal.Message, "took its place") {
				b.c.Check(r.Outcome, qt.Equals, exchange.OutcomeNotRun)
				b.c.Check(r.Refusal.Code, qt.Equals, failure.CodeOverloaded)
				return true
			}
		}
		return false
	}
	b.eventually("a displaced exchange", displaced)
}

// A host of another build sends a priority above the range. Guards against an exchange that is lost for it.
func TestPriorityAboveTheRangeRuns(t *testing.T) {
	b := newBench(t)
	q := b.request("put x 1")
	q.Priority = 40
	b.c.Assert(b.run(q).Outcome, qt.Equals, exchange.OutcomeDone)
	b.c.Assert(q.Priority, qt.Equals, fleet.MaxPriority)
}
