package mesh

import "time"

const (
	// probeAfter is how long nothing may arrive from a data centre before its hosts are probed: the
	// time of two of its reports, including their delay at a relay.
	probeAfter = 250 * time.Millisecond
	// silentAfter is how long a data centre may be silent, although it was probed, before it counts
	// as cut off.
	silentAfter = 500 * time.Millisecond
	// minHosts is how many hosts of a data centre must be known for its silence to count: one or
	// two hosts may have stalled.
	minHosts = 3
)

// NeedsProbe reports whether the hosts of a data centre have to be probed, because nothing has
// arrived from any of them for the duration silence.
func NeedsProbe(silence time.Duration) bool { return silence > probeAfter }

// DataCentreSilent reports whether a data centre counts as cut off. hosts is how many of its hosts
// are known, silent for how long neither a report nor a response on a connection has arrived from
// any of them.
//
// Designed for a data centre that is cut off in a large fleet. Its reports pass through gossip
// relays, at intervals at which the loss of a single host is noticed only after seconds. Until
// then, statements sent there wait for their timeout, and no host looks for another primary. The
// silence of a whole data centre can't be due to a slow host.
func DataCentreSilent(hosts int, silence time.Duration) bool {
	return hosts >= minHosts && silence > silentAfter
}
