// Package reference holds the simplest versions of the decisions, for differential
// tests: one host, one clock, one bucket for each account.
package reference

import "time"

// Bucket is the single token bucket that the whole fleet must be no more
// generous than. It starts full.
type Bucket struct {
	// Rate is in tokens a second.
	Rate  float64
	Burst float64

	spent     float64
	updatedAt time.Time
}

// tolerance makes up for the rounding of floating-point numbers.
const tolerance = 1e-6

// Admit spends a token at now, or reports that there is none. Calls have to come
// in the order of time.
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

// Exceeds returns the index of the first of the admissions, in the order of
// time, that ends a window w with more than rate·w + burst of them, or -1.
//
// A full bucket that is asked at each admission runs dry exactly when some
// window that ends there holds too many, so one pass covers every window.
func Exceeds(admitted []time.Time, rate, burst float64) int {
	b := Bucket{Rate: rate, Burst: burst}
	for i, t := range admitted {
		if !b.Admit(t) {
			return i
		}
	}
	return -1
}
