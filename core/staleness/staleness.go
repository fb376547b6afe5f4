// Package staleness keeps samples of a group's log position. They tell which position a replica has
// to cover for a read to be no older than its caller accepts.
package staleness

import (
	"time"

	"skylarkdeal/core/fleet"
)

// Sample is a log position reported by the primary. It covers every commit that was acknowledged
// before AskedAt, when the primary was asked for it.
type Sample struct {
	Position fleet.LogPosition
	AskedAt  time.Time
	// PrimaryTerm is the term of the primary that reported the position. The position may be of an
	// earlier term: a promotion in a group on the prepared machines writes no log entry. (One in a
	// PostgreSQL group of core/group appends an entry.)
	PrimaryTerm fleet.Term
}

// Samples are the last samples of one group. The zero Samples is empty.
type Samples struct {
	// samples is in the order of AskedAt.
	samples []Sample
}

const (
	// maxSamples bounds the number of samples, and minSpacing is the shortest time between two of
	// them. Together they reach back 4 s, longer than the oldest reads that callers accept on the
	// platform (2.5 s).
	maxSamples = 100
	minSpacing = 40 * time.Millisecond
)

// Add adds a sample. A sample that was not asked for after the last one is ignored. A sample that
// was asked for less than minSpacing after the last but one replaces the last one.
func (s *Samples) Add(sample Sample) {
	if len(s.samples) > 0 && !sample.AskedAt.After(s.samples[len(s.samples)-1].AskedAt) {
		return
	}
	if len(s.samples) > 1 && sample.AskedAt.Sub(s.samples[len(s.samples)-2].AskedAt) < minSpacing {
		s.samples[len(s.samples)-1] = sample
		return
	}
	if len(s.samples) >= maxSamples {
		s.samples = append(s.samples[:0], s.samples[1:]...)
	}
	s.samples = append(s.samples, sample)
}

// Oldest returns the oldest sample that was asked for no earlier than since. It is the one that a
// lagging replica is most likely to cover.
func (s *Samples) Oldest(since time.Time) (Sample, bool) {
	for _, sample := range s.samples {
		if !sample.AskedAt.Before(since) {
			return sample, true
		}
	}
	return Sample{}, false
}

// Newest returns the newest sample.
func (s *Samples) Newest() (Sample, bool) {
	if len(s.samples) == 0 {
		return Sample{}, false
	}
	return s.samples[len(s.samples)-1], true
}
