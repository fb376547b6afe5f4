package cold_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"skylarkdeal/core/cold"
)

func ExampleLimit_MaxStatements() {
	l := cold.Limit{Overshoot: 1.5, Slack: 5}
	fmt.Println(l.MaxStatements(20), cold.Limit{}.MaxStatements(20))
	// Output: 17 10
}

// Guards against exceeding the rate of a cold instance when hosts that don't hear each other each
// take themselves for the only sender.
func TestTwoHalvesOfADataCentreKeepToTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := cold.Limit{
			Overshoot: rapid.Float64Range(1, 3).Draw(t, "overshoot"), Slack: rapid.IntRange(0, 20).Draw(t, "slack"),
		}
		rate := rapid.Float64Range(0, 200).Draw(t, "rate")
		known := rapid.IntRange(1, 40).Draw(t, "known")
		left, senders := known, 0
		var sent []time.Duration
		for left > 0 {
			part := rapid.IntRange(1, left).Draw(t, "part")
			left -= part
			if !cold.MaySend(part, known) {
				continue
			}
			senders++
			sent = append(sent, send(t, l.MaxStatements(rate))...)
		}
		if senders > 2 {
			t.Fatalf("%d senders", senders)
		}
		for _, from := range sent {
			n := 0
			for _, at := range sent {
				if at >= from && at < from+time.Second {
					n++
				}
			}
			if float64(n) > rate*l.Overshoot+float64(l.Slack) {
				t.Fatalf("%d statements in a second, of %g and %d", n, rate*l.Overshoot, l.Slack)
			}
		}
	})
}

// send makes one host send up to its limit for three seconds.
func send(t *rapid.T, limit int) []time.Duration {
	var b cold.SendBudget
	var out []time.Duration
	begin := time.Unix(1000, 0)
	at := time.Duration(0)
	for at < 3*time.Second {
		at += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
		all, forNew := b.Left(begin.Add(at), limit)
		if forNew > all {
			t.Fatalf("%d for new operations, of %d", forNew, all)
		}
		n := rapid.IntRange(0, all).Draw(t, "burst")
		b.Spend(begin.Add(at), n)
		for range n {
			out = append(out, at)
		}
	}
	return out
}

// Guards against new operations that use up what transactions in progress need on a cold instance.
func TestTransactionsInProgressHaveAReserve(t *testing.T) {
	c := qt.New(t)
	var b cold.SendBudget
	now := time.Unix(1000, 0)
	b.Spend(now, 9)
	all, begin := b.Left(now, 12)
	c.Check(all, qt.Equals, 3)
	c.Check(begin, qt.Equals, 0)
	all, begin = b.Left(now.Add(time.Second), 12)
	c.Check(all, qt.Equals, 12)
	c.Check(begin, qt.Equals, 9)
}

// Guards against a third sender: a host that hears less than half of the hosts must not send.
func TestHostThatHearsFewDoesNotSend(t *testing.T) {
	c := qt.New(t)
	c.Check(cold.MaySend(1, 2), qt.IsTrue)
	c.Check(cold.MaySend(1, 3), qt.IsFalse)
	c.Check(cold.MaySend(0, 0), qt.IsFalse)
}
