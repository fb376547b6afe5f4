package registry

import (
	"math/rand/v2"
	"time"
)

const (
	// rankDelay is how much later each host reads than the host ranked before it. It is longer than
	// a report of a reading takes to reach all hosts, 0.6 s in a large fleet.
	rankDelay = 700 * time.Millisecond
	// rankedHosts is the number of hosts with a delay of their own. The other hosts read after
	// them, spread over one rankDelay, so that a store that refuses the first hosts doesn't delay
	// the readings for long.
	rankedHosts = 2
)

// readDelay returns how long this host waits after the due time before it reads the store, where
// the reading of one host is enough for all. The other hosts skip theirs once they have the report
// of the first one, so that the number of calls doesn't grow with the fleet.
//
// A random delay of up to 0.6 s isn't enough: most of 77 hosts had read before the report of the
// first reading reached them.
func (r *Registry) readDelay() time.Duration {
	if n := r.rank(); n < rankedHosts {
		return time.Duration(n) * rankDelay
	}
	return rankedHosts*rankDelay + time.Duration(rand.Int64N(int64(rankDelay)))
}

func (r *Registry) rank() int {
	if r.cfg.Rank == nil {
		return 0
	}
	return r.cfg.Rank()
}
