package grants_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/document"
	"skylarkdeal/core/failure"
)

// An account sends several times its rate. One of its transactions has three
// statements; the first is admitted, then other callers use up all tokens. Refusing
// the second statement would abort the transaction half-way, with its connection and
// tokens spent. It must wait before the new work instead.
func TestOpenTransactionGoesBeforeNewWork(t *testing.T) {
	c := qt.New(t)
	b := newBench(threeHosts, document.Account{Name: "hotel", Rate: 200, Burst: 300})
	b.run(t)
	eventually(t, "homes filled", func() bool {
		b.ask("o1")
		return b.level() >= 280
	})
	b.admit("o1", 1000)
	eventually(t, "tokens come again", func() bool {
		n, _ := b.admit("o1", 1)
		return n == 1
	})

	// Answers come from one goroutine, in the order in which tokens are spent.
	const waiting = 400
	type answer struct {
		open    bool
		refused bool
	}
	answers := make(chan answer, waiting+1)
	for range waiting {
		b.hosts["o1"].Admit(service, "hotel", 1, time.Time{}, func(f *failure.Refusal) {
			answers <- answer{refused: f != nil}
		})
	}
	// A refusal shows that as many exchanges wait as the rate serves within their timeout.
	eventually(t, "a full queue", func() bool {
		n, _ := b.admit("o1", 1)
		return n == 0
	})
	before := len(answers)
	b.hosts["o1"].AdmitOpen(service, "hotel", 1, time.Time{}, func(f *failure.Refusal) {
		answers <- answer{open: true, refused: f != nil}
	})
	overtook, refused := 0, 0
	for n := range waiting + 1 {
		x := <-answers
		if x.open {
			c.Assert(x.refused, qt.IsFalse)
			c.Assert(overtook <= 10, qt.IsTrue, qt.Commentf("%d new exchanges went first", overtook))
			overtook = -2 * waiting
			continue
		}
		if x.refused {
			refused++
		} else if n >= before {
			overtook++
		}
	}
	c.Assert(refused > 0, qt.IsTrue)
}
