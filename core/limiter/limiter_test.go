package limiter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/limiter"
)

// Guards against a limit outside of its bounds, whatever the instance answers, and against bounds that
// have changed since.
func TestLimitStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := &limiter.Limiter{}, epoch
		for range rapid.IntRange(1, 200).Draw(t, "responses") {
			b := limiter.Bounds{Min: rapid.IntRange(0, 4).Draw(t, "min"), Max: rapid.IntRange(0, 40).Draw(t, "max")}
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond)
			took := time.Duration(rapid.IntRange(0, 900).Draw(t, "took")) * time.Millisecond
			k := limiter.Kind{Priority: fleet.Priority(rapid.IntRange(-1, 12).Draw(t, "priority"))}
			l.Answered(now, k, took, rapid.IntRange(0, 40).Draw(t, "running"), b)
			if rapid.Bool().Draw(t, "shed") {
				l.Shed(now, b)
			}
			n := l.Limit(b)
			if n < 1 || n < b.Min || n > max(b.Max, b.Min, 1) {
				t.Fatalf("limit %d in %+v", n, b)
			}
		}
	})
}

// An instance refuses all statements of a burst as busy. Guards against a limit that one burst of
// refusals lowers to its minimum.
func TestRefusalsOfOneBurstCountOnce(t *testing.T) {
	c := qt.New(t)
	l, b := &limiter.Limiter{}, limiter.Bounds{Min: 1, Max: 10}
	for n := range 1000 {
		l.Answered(epoch.Add(time.Duration(n-1100)*10*time.Millisecond), limiter.Kind{}, time.Millisecond, 10, b)
	}
	c.Assert(l.Limit(b), qt.Equals, 10)
	c.Assert(l.Shed(epoch, b), qt.IsTrue)
	for range 20 {
		l.Shed(epoch.Add(time.Millisecond), b)
	}
	c.Assert(l.Limit(b) >= 7, qt.IsTrue)
}

// Reports join short statements. Guards against taking their execution time for a wait in the instance.
func TestLongerStatementsAreNoCongestion(t *testing.T) {
	c := qt.New(t)
	l, b, now := &limiter.Limiter{}, limiter.Bounds{Min: 1, Max: 8}, epoch
	answer := func(p fleet.Priority, took time.Duration) {
		now = now.Add(5 * time.Millisecond)
		l.Answered(now, limiter.Kind{Priority: p}, took, 8, b)
	}
	for range 300 {
		answer(0, 3*time.Millisecond)
	}
	c.Assert(l.Limit(b), qt.Equals, 8)
	for range 100 {
		answer(2, 15*time.Millisecond)
	}
	c.Assert(l.Limit(b), qt.Equals, 8)
}

// Guards against garbage for each statement, on hosts with a fifth of a core.
func TestLimiterAllocatesNothing(t *testing.T) {
	c := qt.New(t)
	l, b, now := &limiter.Limiter{}, limiter.Bounds{Min: 1, Max: 8}, epoch
	c.Assert(testing.AllocsPerRun(1000, func() {
		now = now.Add(time.Millisecond)
		l.Allows(3, b)
		l.Answered(now, limiter.Kind{Priority: 1}, 9*time.Millisecond, 3, b)
	}), qt.Equals, 0.0)
}

// Guards against a wait of zero, or a division by zero, for the first statement that waits.
func TestWaitGrowsWithTheQueueAndFallsWithTheSlots(t *testing.T) {
	c := qt.New(t)
	const latency = 10 * time.Millisecond
	c.Check(limiter.Wait(latency, 0, 0), qt.Equals, latency)
	c.Check(limiter.Wait(latency, 6, 1), qt.Equals, 6*latency)
	c.Check(limiter.Wait(latency, 6, 2), qt.Equals, 3*latency)
}
