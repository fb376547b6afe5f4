// Package reference holds the simplest implementations of what the system does,
// for differential tests: one host with one clock, one bucket for each account,
// and one database instance with one lock.
package reference

import "time"

// Bucket is the single token bucket that the hosts together must not exceed. It
// starts full.
type Bucket struct {
	// Rate is in tokens a second.
	Rate  float64
	Burst float64

	spent     float64
	updatedAt time.Time
}

// tolerance allows for the rounding of floating-point numbers.
const tolerance = 1e-6

// Admit spends a token at now, or reports that there is none. Calls must be in
// the order of time.
func (b *Bucket) Admit(now time.Time) bool {
	b.refill(now)
	if b.spent+1 > b.Burst+tolerance {
		return false
	}
	b.spent++
	return true
}

// Set changes rate and burst from now on.
func (b *Bucket) Set(now time.Time, rate, burst float64) {
	b.refill(now)
	b.Rate, b.Burst = rate, burst
}

func (b *Bucket) refill(now time.Time) {
	if !b.updatedAt.IsZero() {
		b.spent = max(0, b.spent-b.Rate*now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
}

// FirstExcess returns the index of the first admission that ends a window w with
// more than rate·w + burst admissions, or -1. The admissions are in the order
// of time.
//
// A bucket that starts full and serves the same admissions runs out at one of
// them exactly when some window that ends at that admission has more than
// rate·w + burst admissions. So one pass covers every window.
func FirstExcess(admitted []time.Time, rate, burst float64) int {
	b := Bucket{Rate: rate, Burst: burst}
	for i, t := range admitted {
		if !b.Admit(t) {
			return i
		}
	}
	return -1
}
