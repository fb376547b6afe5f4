package group

import (
	"time"

	"skylarkdeal/core/fleet"
)

// History is a list of proofs, the oldest first, that grows sparser with age: the
// gap between two of them stays under a quarter of the age of the younger one. A
// few dozen proofs therefore give a replica's age at most a quarter too high, and
// never too low.
type History []Proof

// maxProvableAge is the highest age that can be proven. A read that accepts older
// data is served as if it had stated this age.
const maxProvableAge = time.Minute

// minProofGap is the minimum gap between two kept proofs. A busy group makes
// hundreds of proofs a second, which would fill the history.
const minProofGap = 5 * time.Millisecond

// Add returns a copy of h with p at its end and without the proofs that are no
// longer needed. If p isn't newer than the last proof, it returns h.
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

// CompleteUntil returns the latest time before which a log that ends at p is proven
// to have every acknowledged write, and false if there is none.
func (h History) CompleteUntil(p fleet.LogPosition) (time.Time, bool) {
	for i := len(h) - 1; i >= 0; i-- {
		if p.Covers(h[i].Position) {
			return h[i].AsOf, true
		}
	}
	return time.Time{}, false
}

// Age returns the maximum age at now of the data in a log that ends at p, and
// false if no age can be proven.
func (h History) Age(p fleet.LogPosition, now time.Time) (time.Duration, bool) {
	asOf, ok := h.CompleteUntil(p)
	return max(0, now.Sub(asOf)), ok
}

// MissingSince returns the earliest time at which the primary is known to have had
// entries that a log that ends at p lacks, and false if it isn't known to have any.
func (h History) MissingSince(p fleet.LogPosition) (time.Time, bool) {
	for _, proof := range h {
		if !p.Covers(proof.Position) {
			return proof.AsOf, true
		}
	}
	return time.Time{}, false
}
