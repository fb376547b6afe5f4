package grants

import (
	"time"

	"skylarkdeal/core/quota"
)

// clock gives two readings of one host's time. Whatever this host has to end
// goes by late, and whatever another host has to end first goes by early.
type clock struct {
	now   func() time.Time
	first time.Time
	clock quota.SuspendAwareClock
}

func (c *clock) start(now func() time.Time) {
	c.now, c.first = now, now()
}

// monotonic returns the monotonic time.
func (c *clock) monotonic() time.Time {
	return c.now()
}

// suspendAware returns the time as quota.SuspendAwareClock has it.
func (c *clock) suspendAware() time.Time {
	t := c.now()
	wall := t.Round(0).Sub(c.first.Round(0))
	return c.first.Add(c.clock.Elapsed(wall, t.Sub(c.first)))
}
