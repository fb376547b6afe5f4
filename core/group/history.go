package group

import (
	"time"

	"skylarkdeal/core/fleet"
)

// History keeps proofs, the oldest first, thinned out with age: a gap between
// two of them stays under a quarter of the age of the younger one. A replica's
// age is so found at most a quarter too old, and never too young, from a few
// dozen proofs.
type History []Proof

// maxProvableAge is the longest age that can be proven; a caller that accepts
// older data than this is served as if it had asked for this.
const maxProvableAge = time.Minute

// minProofGap is the least gap between two kept proofs, so that a busy group's
// hundreds of rounds a second don't fill the history.
const minProofGap = 5 * time.Millisecond

// Add returns h with p, without those that are no longer needed. h itself is
// left as it is.
func (h History) Add(p Proof) History {
	if n := len(h); n > 0 && !h[n-1].AsOf.Before(p.AsOf) {
		return h
	}
	out := make(History, 0, len(h)+1)
	for i, old := range h {
		age := p.AsOf.Sub(old.AsOf)
		if age > maxProvableAge {
			continue
		}
		next := p
		if i+1 < len(h) {
			next = h[i+1]
		}
		if n := len(out); n > 0 && next.AsOf.Sub(out[n-1].AsOf) < max(minProofGap, p.AsOf.Sub(next.AsOf)/4) {
			continue
		}
		out = append(out, old)
	}
	return append(out, p)
}

// CompleteUntil returns the latest moment before which a log that ends at p is proven
// to have every acknowledged write.
func (h History) CompleteUntil(p fleet.LogPosition) (time.Time, bool) {
	for i := len(h) - 1; i >= 0; i-- {
		if p.Covers(h[i].Position) {
			return h[i].AsOf, true
		}
	}
	return time.Time{}, false
}

// Age returns how old the data of a log that ends at p is at the most, and
// whether that can be proven.
func (h History) Age(p fleet.LogPosition, now time.Time) (time.Duration, bool) {
	asOf, ok := h.CompleteUntil(p)
	return max(0, now.Sub(asOf)), ok
}

// MissingSince returns the earliest moment by which the primary is known to have had
// more than a log that ends at p, and false when it isn't known to have more.
func (h History) MissingSince(p fleet.LogPosition) (time.Time, bool) {
	for _, proof := range h {
		if !p.Covers(proof.Position) {
			return proof.AsOf, true
		}
	}
	return time.Time{}, false
}
