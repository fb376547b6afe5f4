// Package staleness tells which point of a group's log a read has to cover to be no older
// than its caller accepts.
package staleness

import (
	"time"

	"skylarkdeal/core/fleet"
)

// Sample is a point that the primary has given, asked for at a moment: it covers every
// commit that was acknowledged before that.
type Sample struct {
	Position fleet.LogPosition
	AskedAt  time.Time
	// PrimaryTerm is the term in which the primary led that gave it. The point may be of an earlier
	// one, as a promotion writes no entry.
	PrimaryTerm fleet.Term
}

// Samples are the last samples of one group. The zero Samples is empty.
type Samples struct {
	// ring is in the order of the moments of asking.
	ring []Sample
}

const (
	// keep bounds the samples, and spacing is the least time between two: together they
	// reach back 4 s, longer than callers accept old reads on the platform (2.5 s).
	keep    = 100
	spacing = 40 * time.Millisecond
)

// Add takes in a sample. One that is hardly newer than the last takes its place.
func (s *Samples) Add(n Sample) {
	if len(s.ring) > 0 && !n.AskedAt.After(s.ring[len(s.ring)-1].AskedAt) {
		return
	}
	if len(s.ring) > 1 && n.AskedAt.Sub(s.ring[len(s.ring)-2].AskedAt) < spacing {
		s.ring[len(s.ring)-1] = n
		return
	}
	if len(s.ring) >= keep {
		s.ring = append(s.ring[:0], s.ring[1:]...)
	}
	s.ring = append(s.ring, n)
}

// Oldest returns the oldest sample that was asked for no earlier than since: the one
// that a lagging replica is likeliest to cover.
func (s *Samples) Oldest(since time.Time) (Sample, bool) {
	for _, n := range s.ring {
		if !n.AskedAt.Before(since) {
			return n, true
		}
	}
	return Sample{}, false
}

// Newest returns the newest sample.
func (s *Samples) Newest() (Sample, bool) {
	if len(s.ring) == 0 {
		return Sample{}, false
	}
	return s.ring[len(s.ring)-1], true
}
