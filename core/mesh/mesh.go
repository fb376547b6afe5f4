// Package mesh decides which hosts of a fleet send their reports to which, and which hosts forward
// them.
//
// In a small fleet each host reports to all others. In a large fleet it reports to two hosts of
// each other data centre, the gossip relays, which forward what they receive to the hosts of their
// data centre, many reports in one datagram. In a large data centre a host reports only to the
// relays of its own data centre as well. The number of datagrams that a host sends then doesn't
// grow with the fleet, and the number that it receives grows with a fraction of it. The cost is the
// delay of one more forwarding interval.
package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkdeal/core/fleet"
)

const (
	// maxFullMeshHosts is the largest fleet in which each host reports to all others. It means 80
	// datagrams a second for each host, as many as a host of a large fleet receives from its own
	// data centre.
	maxFullMeshHosts = 16
	// maxLocalMeshHosts is the largest number of hosts in a data centre that report directly to
	// each other. Each then sends and receives 80 datagrams a second.
	maxLocalMeshHosts = 32
	// relaysPerDataCentre is how many hosts of a data centre receive the reports of the others.
	// There are two, so that the death of one delays no report.
	relaysPerDataCentre = 2
	// secondRelayDelay is how long the second relay waits for the first: two datagrams of the
	// first.
	secondRelayDelay = 350 * time.Millisecond
)

// UsesRelays reports whether a fleet of n hosts uses gossip relays.
func UsesRelays(n int) bool { return n > maxFullMeshHosts }

// Intervals are the times that govern the reports of a fleet.
type Intervals struct {
	// Report is the interval between two reports of a host, Forward the interval between two
	// datagrams of a relay.
	Report, Forward time.Duration
	// HeardWithin is the largest age of a host's last report at which the host counts as heard. At
	// a larger age three reports in a row were lost.
	HeardWithin time.Duration
}

// The intervals of small and of large fleets. A large fleet reports half as often, which halves the
// load of incoming reports on its small hosts.
var (
	smallFleetIntervals = Intervals{Report: 200 * time.Millisecond, HeardWithin: 700 * time.Millisecond}
	largeFleetIntervals = Intervals{
		Report: 400 * time.Millisecond, Forward: 150 * time.Millisecond, HeardWithin: 1400 * time.Millisecond,
	}
)

// IntervalsFor returns the intervals of a fleet of n hosts.
func IntervalsFor(n int) Intervals {
	if UsesRelays(n) {
		return largeFleetIntervals
	}
	return smallFleetIntervals
}

// Peer is another host of the fleet.
type Peer struct {
	Host       fleet.Host
	DataCentre fleet.DataCentre
	// Heard is set while the host's reports arrive.
	Heard bool
	// Leaving is set once the host has reported that it is shutting down.
	Leaving bool
	// Capacity is the load that the host can carry.
	Capacity fleet.Capacity
}

// Recipients returns the hosts to which a host sends its own reports.
func Recipients(self Peer, others []Peer) []fleet.Host {
	if !UsesRelays(1 + len(others)) {
		return hostNames(others)
	}
	centres := map[fleet.DataCentre][]Peer{}
	for _, peer := range others {
		centres[peer.DataCentre] = append(centres[peer.DataCentre], peer)
	}
	local := centres[self.DataCentre]
	delete(centres, self.DataCentre)
	out := hostNames(local)
	if usesLocalRelays(1 + len(local)) {
		out = relaysOf(self.DataCentre, local)
	}
	for dc, remote := range centres {
		out = append(out, relaysOf(dc, remote)...)
	}
	return out
}

func hostNames(peers []Peer) []fleet.Host {
	out := make([]fleet.Host, 0, len(peers))
	for _, peer := range peers {
		out = append(out, peer.Host)
	}
	return out
}

// usesLocalRelays reports whether n hosts of a data centre report to each other through relays.
func usesLocalRelays(n int) bool { return n > maxLocalMeshHosts }

// ForwardsFrom reports whether a host forwards the reports that it receives directly from hosts of
// data centre from.
func ForwardsFrom(self Peer, from fleet.DataCentre, others []Peer) bool {
	if !UsesRelays(1 + len(others)) {
		return false
	}
	return from != self.DataCentre || usesLocalRelays(1+countLocal(self.DataCentre, others))
}

// countLocal counts the hosts of data centre dc, up to the number from which on they use relays.
func countLocal(dc fleet.DataCentre, others []Peer) int {
	n := 0
	for _, peer := range others {
		if peer.DataCentre == dc {
			n++
		}
		if usesLocalRelays(n) {
			break
		}
	}
	return n
}

// LocalRecipients returns the hosts to which a relay of data centre dc forwards reports.
func LocalRecipients(dc fleet.DataCentre, others []Peer) []fleet.Host {
	var out []fleet.Host
	for _, peer := range others {
		if peer.DataCentre == dc {
			out = append(out, peer.Host)
		}
	}
	return out
}

// ForwardDelay returns how long a host keeps the reports that it has received directly before it
// forwards them.
//
// The first relay forwards at the usual interval. The second one gives the first the time to do so,
// and then forwards only what the first one hasn't. With both forwarding at once the links of small
// hosts, 10 Mbit/s, were full, and a third of the reports were lost.
func ForwardDelay(self Peer, others []Peer) time.Duration {
	self.Heard = true
	local := []Peer{self}
	for _, peer := range others {
		if peer.DataCentre == self.DataCentre {
			local = append(local, peer)
		}
	}
	if relaysOf(self.DataCentre, local)[0] == self.Host {
		return largeFleetIntervals.Forward
	}
	return secondRelayDelay
}

// relaysOf returns the gossip relays of a data centre. All hosts that hear the same hosts choose
// the same relays: of the hosts that are heard and aren't leaving, those with the highest capacity,
// and among equal ones those with the highest hash. If too few are heard, the other hosts are used
// as well, as when the fleet starts or a network partition has ended.
//
// Capacity counts because a relay sends each host of its data centre the reports of the whole
// fleet, which fills the link of a small host in a fleet of hundreds.
//
// Leaving hosts are avoided because of rolling restarts: when both relays were restarted at the same
// time, a whole data centre heard no host of another one for two seconds.
func relaysOf(dc fleet.DataCentre, peers []Peer) []fleet.Host {
	return firstRelays(dc, peers, relaysPerDataCentre)
}

func firstRelays(dc fleet.DataCentre, peers []Peer, count int) []fleet.Host {
	first := make([]Peer, 0, count+1)
	for _, peer := range peers {
		n := len(first)
		for n > 0 && compareRelays(dc, peer, first[n-1]) < 0 {
			n--
		}
		if n < count {
			first = slices.Insert(first, n, peer)
			first = first[:min(count, len(first))]
		}
	}
	return hostNames(first)
}

// compareRelays orders two hosts of a data centre: it is negative if a is preferred as a gossip relay.
func compareRelays(dc fleet.DataCentre, a, b Peer) int {
	aAvailable, bAvailable := a.Heard && !a.Leaving, b.Heard && !b.Leaving
	switch {
	case aAvailable != bAvailable && aAvailable:
		return -1
	case aAvailable != bAvailable:
		return 1
	case a.Capacity != b.Capacity:
		return cmp.Compare(b.Capacity, a.Capacity)
	}
	if c := cmp.Compare(relayRank(dc, b.Host), relayRank(dc, a.Host)); c != 0 {
		return c
	}
	return cmp.Compare(a.Host, b.Host)
}

func relayRank(dc fleet.DataCentre, h fleet.Host) uint64 {
	return xxhash.Sum64String(string(dc) + "/" + string(h))
}
