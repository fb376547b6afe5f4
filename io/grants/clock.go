package grants

import (
	"sync/atomic"
	"time"
)

// clock gives two readings of one host's time. A suspended machine's monotonic
// clock stands still, so on waking it would spend tokens that have expired
// elsewhere; its wall clock has moved on by then. Whatever ends by this clock
// goes by late, and whatever another host has to end first goes by early.
type clock struct {
	now   func() time.Time
	first time.Time
	// ahead is the furthest that the wall clock was ever ahead of the monotonic
	// one. It never falls, so late never goes back when the wall clock does.
	ahead atomic.Int64
}

func (c *clock) start(now func() time.Time) {
	c.now, c.first = now, now()
}

// early returns the monotonic time.
func (c *clock) early() time.Time {
	return c.now()
}

// late returns the monotonic time, plus what the wall clock was ever ahead.
func (c *clock) late() time.Time {
	t := c.now()
	wall := t.Round(0).Sub(c.first.Round(0))
	ahead := int64(wall - t.Sub(c.first))
	for {
		v := c.ahead.Load()
		if ahead <= v {
			return t.Add(time.Duration(v))
		}
		if c.ahead.CompareAndSwap(v, ahead) {
			return t.Add(time.Duration(ahead))
		}
	}
}
