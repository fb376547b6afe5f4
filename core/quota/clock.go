package quota

import (
	"sync/atomic"
	"time"
)

// SuspendAwareClock measures the time since the process started, including the
// time for which the host was suspended. The monotonic clock of a suspended
// machine stands still. A host that used only that clock would, on resuming,
// spend tokens that have expired elsewhere, or grant under a lease that has
// ended. The wall clock has advanced during the suspension. The zero
// SuspendAwareClock works, and is safe for concurrent use.
type SuspendAwareClock struct {
	// maxAhead is the most by which the wall clock was ever ahead of the
	// monotonic one. It never falls, so the time never goes back when the wall
	// clock does.
	maxAhead atomic.Int64
}

// Elapsed returns the time since the process started: the monotonic time plus
// the most by which the wall clock was ever ahead of it. Both readings are
// since the process started. Leases, grants and consents end by this time. A
// wall clock that is set forward ends them early, which is safe.
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
