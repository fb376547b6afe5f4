package grants_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/document"
	"skylarkdeal/core/failure"
)

// A hotel chain sends several times its rate. Its order is a transaction of three
// statements; the first is let through, then its other callers use up all tokens.
// Refusing the second statement would throw away the order half-way, with its
// connection and its tokens spent: it waits in front instead.
func TestOpenTransactionGoesBeforeNewWork(t *testing.T) {
	c := qt.New(t)
	b := newBench(threeHosts, document.Account{Name: "hotel", Rate: 20, Burst: 30})
	b.run(t)
	eventually(t, "homes filled", func() bool {
		b.ask("o1")
		return b.level() >= 28
	})
	b.admit("o1", 100)

	var plain []chan *failure.Refusal
	for range 50 {
		a := make(chan *failure.Refusal, 1)
		plain = append(plain, a)
		b.hosts["o1"].Admit(service, "hotel", 1, time.Time{}, func(f *failure.Refusal) { a <- f })
	}
	open := make(chan *failure.Refusal, 1)
	b.hosts["o1"].AdmitOpen(service, "hotel", 1, time.Time{}, func(f *failure.Refusal) { open <- f })
	f := <-open
	c.Assert(f == nil, qt.IsTrue, qt.Commentf("%v", f))
	refused := 0
	for _, a := range plain {
		if <-a != nil {
			refused++
		}
	}
	c.Assert(refused > 0, qt.IsTrue)
}
