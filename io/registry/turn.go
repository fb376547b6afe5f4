package registry

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// turnStep is how much later each host reads than the one whose turn is before: longer
	// than it takes for the news of a reading to come around, 0.6 s in a large fleet.
	turnStep = 700 * time.Millisecond
	// turns is how many hosts have turns of their own. The others read after them, spread over
	// a step, so that a store which turns the first ones away holds up no news for long.
	turns = 2
)

// turn returns how much later than due this host reads what one host reads for all: the
// others wait for its news, so that the calls don't grow with the fleet.
//
// With hosts that each waited for a random part of 0.6 s, most of 77 had read before the first
// one's news came around.
func (r *Registry) turn() time.Duration {
	if n := r.rank(); n < turns {
		return time.Duration(n) * turnStep
	}
	return turns*turnStep + time.Duration(rand.Int64N(int64(turnStep)))
}

func (r *Registry) rank() int {
	if r.cfg.Rank == nil {
		return 0
	}
	return r.cfg.Rank()
}

// await waits for some time, less if it is signalled before, and reports whether it was.
func await(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
		return true
	case <-ctx.Done():
	}
	return false
}
