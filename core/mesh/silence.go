package mesh

import "time"

const (
	// askAfter is how long nothing may come from a data centre before its hosts are asked: two of its
	// reports, with what they wait at a door.
	askAfter = 250 * time.Millisecond
	// silentAfter is how long it may be silent, although it was asked, before it counts as cut off.
	silentAfter = 500 * time.Millisecond
	// leastHosts is how many hosts of a data centre have to be known for its silence to tell: one or
	// two may stand still.
	leastHosts = 3
)

// NeedsProbe reports whether the hosts of a data centre are to be asked for a sign, as nothing has come from
// any of them for some time.
func NeedsProbe(silent time.Duration) bool { return silent > askAfter }

// DataCentreSilent reports whether a data centre counts as cut off: nothing has come from any of its hosts for
// some time, neither a report nor an answer over a link.
//
// The load it is made for: a data centre that is cut off while the others hear it over doors, at a
// pace at which the loss of a single host shows after seconds. Statements that were sent there wait
// for their time limit until then, and nobody looks for another primary. A whole data centre that
// says nothing is no host that is slow.
func DataCentreSilent(hosts int, silent time.Duration) bool {
	return hosts >= leastHosts && silent > silentAfter
}
