package mesh

import (
	"iter"
	"maps"
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/times"
)

// Centres keeps when each data centre was last heard. The zero Centres has heard none.
//
// Designed for hundreds of hosts whose reports arrive thousands of times a second: a question about a data
// centre, several times a second, doesn't go through its hosts.
type Centres struct {
	last map[fleet.DataCentre]LastHeard
}

// LastHeard is when anything last came from a data centre.
type LastHeard struct {
	// At is when it came, SentAt when the latest report was sent at the latest, both by this host's clock.
	At, SentAt time.Time
}

// Heard records that something came from a host of a data centre. sentAt is zero if it was no report.
func (c *Centres) Heard(dc fleet.DataCentre, at, sentAt time.Time) {
	if c.last == nil {
		c.last = map[fleet.DataCentre]LastHeard{}
	}
	l := c.last[dc]
	c.last[dc] = LastHeard{At: times.Later(l.At, at), SentAt: times.Later(l.SentAt, sentAt)}
}

// All returns the data centres that were ever heard, and when.
func (c *Centres) All() iter.Seq2[fleet.DataCentre, LastHeard] { return maps.All(c.last) }

// AllHeardAt returns the latest time by which all data centres had been heard, by AllHeardAt: those of centres, and
// those that were heard within the time recent. The reports of a fleet are delayed by the given time at most.
func (c *Centres) AllHeardAt(
	now time.Time, centres iter.Seq[fleet.DataCentre], recent, delay time.Duration,
) time.Time {
	return AllHeardAt(now, centres, func(yield func(LastReport) bool) {
		for dc, l := range c.last {
			if now.Sub(l.At) <= recent && !yield(LastReport{DataCentre: dc, SentAt: l.SentAt.Add(-delay)}) {
				return
			}
		}
	})
}
