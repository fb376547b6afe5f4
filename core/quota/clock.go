package quota

import (
	"sync/atomic"
	"time"
)

// SuspendAwareClock gives a host's time so that nothing outlives its end while the host is
// suspended. The monotonic clock of a suspended machine stands still, so on
// waking it would spend tokens that have expired elsewhere, or grant by a lease
// that has ended; its wall clock has moved on by then. The zero SuspendAwareClock works, and
// is safe for concurrent use.
type SuspendAwareClock struct {
	// maxAhead is the furthest that the wall clock was ever maxAhead of the monotonic
	// one. It never falls, so the time never goes back when the wall clock does.
	maxAhead atomic.Int64
}

// Elapsed returns the time since the process started, by which all that this host
// has to end is ended: the monotonic time, plus what the wall clock was ever
// ahead of it. Both readings are since the process started. A wall clock that is
// put forward ends things early, which is safe.
func (c *SuspendAwareClock) Elapsed(wall, monotonic time.Duration) time.Duration {
	ahead := int64(wall - monotonic)
	for {
		recorded := c.maxAhead.Load()
		if ahead <= recorded {
			return monotonic + time.Duration(recorded)
		}
		if c.maxAhead.CompareAndSwap(recorded, ahead) {
			return monotonic + time.Duration(ahead)
		}
	}
}
