package grants

import (
	"time"

	"skylarkdeal/core/quota"
)

// clock gives two readings of one host's time. The end of a period that this host
// itself must observe, such as its lease, is checked with suspendAware; a wait for a
// period of another host to end is checked with monotonic.
type clock struct {
	now   func() time.Time
	first time.Time
	clock quota.SuspendAwareClock
}

func (c *clock) start(now func() time.Time) {
	c.now, c.first = now, now()
}

// monotonic returns the monotonic time, which stands still while the machine is suspended.
func (c *clock) monotonic() time.Time {
	return c.now()
}

// suspendAware returns the time according to quota.SuspendAwareClock.
func (c *clock) suspendAware() time.Time {
	t := c.now()
	wall := t.Round(0).Sub(c.first.Round(0))
	return c.first.Add(c.clock.Elapsed(wall, t.Sub(c.first)))
}
