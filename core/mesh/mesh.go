// Package mesh decides over which hosts the reports of a fleet travel.
//
// In a small fleet each host tells all others. In a large one it tells in each other data
// centre two hosts, the doors, which pass on what they hear to the hosts beside them, many
// reports at a time; in a large data centre its own doors in place of all hosts. The datagrams
// that a host sends then don't grow with the fleet, and those that it hears grow with a
// fraction of it. The price is one more pause on the way.
package mesh

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkdeal/core/fleet"
)

const (
	// fullUpTo is how many hosts tell each other directly: that is 80 datagrams a second for
	// each, as many as a host of a large fleet hears from its own data centre.
	fullUpTo = 16
	// besideUpTo is up to how many hosts of a data centre tell each other directly: each then
	// sends and hears 80 datagrams a second.
	besideUpTo = 32
	// doors is how many hosts of a data centre hear from the others, so that the death of one
	// holds up no report.
	doors = 2
	// secondHold is how long the second door waits for the first: two of its datagrams.
	secondHold = 350 * time.Millisecond
)

// UsesRelays reports whether a fleet of n hosts uses doors.
func UsesRelays(n int) bool { return n > fullUpTo }

// Intervals is how often the hosts of a fleet report, and what follows from it.
type Intervals struct {
	// Report is the time between two reports of a host, Forward that between two datagrams of
	// a door.
	Report, Forward time.Duration
	// HeardWithin is how old the last report of a host may be for it to count as heard: three in a
	// row were lost otherwise.
	HeardWithin time.Duration
}

// The paces of small and of large fleets. What hosts admit to an account without knowing of
// each other has to fit into half of its burst, a second of its rate as a rule; a large
// fleet reports half as often, which halves the work of listening on its small hosts.
var (
	smallPace = Intervals{Report: 200 * time.Millisecond, HeardWithin: 700 * time.Millisecond}
	largePace = Intervals{
		Report: 400 * time.Millisecond, Forward: 150 * time.Millisecond, HeardWithin: 1400 * time.Millisecond,
	}
)

// IntervalsFor returns the pace of a fleet of n hosts.
func IntervalsFor(n int) Intervals {
	if UsesRelays(n) {
		return largePace
	}
	return smallPace
}

// Peer is another host.
type Peer struct {
	Host       fleet.Host
	DataCentre fleet.DataCentre
	// Heard is set while its reports come.
	Heard bool
	// Leaving is set once it has told that it shuts down.
	Leaving bool
	// Capacity is what it can carry.
	Capacity fleet.Capacity
}

// Recipients returns the hosts that a host tells of itself.
func Recipients(self Peer, others []Peer) []fleet.Host {
	if !UsesRelays(1 + len(others)) {
		return names(others)
	}
	centres := map[fleet.DataCentre][]Peer{}
	for _, m := range others {
		centres[m.DataCentre] = append(centres[m.DataCentre], m)
	}
	near := centres[self.DataCentre]
	delete(centres, self.DataCentre)
	out := names(near)
	if crowded(1 + len(near)) {
		out = doorsOf(self.DataCentre, near)
	}
	for dc, ms := range centres {
		out = append(out, doorsOf(dc, ms)...)
	}
	return out
}

func names(ms []Peer) []fleet.Host {
	out := make([]fleet.Host, 0, len(ms))
	for _, m := range ms {
		out = append(out, m.Host)
	}
	return out
}

// crowded reports whether the n hosts of a data centre report over its doors.
func crowded(n int) bool { return n > besideUpTo }

// ForwardsFrom reports whether a host passes on what it has heard directly from a host of some data
// centre.
func ForwardsFrom(self Peer, from fleet.DataCentre, others []Peer) bool {
	if !UsesRelays(1 + len(others)) {
		return false
	}
	return from != self.DataCentre || crowded(1+len(LocalRecipients(self.DataCentre, others)))
}

// LocalRecipients returns the hosts to which a door passes on what it hears from elsewhere.
func LocalRecipients(own fleet.DataCentre, others []Peer) []fleet.Host {
	var out []fleet.Host
	for _, m := range others {
		if m.DataCentre == own {
			out = append(out, m.Host)
		}
	}
	return out
}

// ForwardDelay returns how long a host keeps what it has heard from elsewhere before it passes it on.
//
// The first door passes on at its pace. The other one gives it the time to do so, and then
// passes on only what the first one hasn't: with both at work at once the links of small
// hosts, 10 Mbit/s, were full, and a third of the reports were lost.
func ForwardDelay(self Peer, others []Peer) time.Duration {
	self.Heard = true
	beside := []Peer{self}
	for _, m := range others {
		if m.DataCentre == self.DataCentre {
			beside = append(beside, m)
		}
	}
	if doorsOf(self.DataCentre, beside)[0] == self.Host {
		return largePace.Forward
	}
	return secondHold
}

// doorsOf returns the doors of a data centre, chosen alike by all hosts that hear the same
// ones: of those that are heard and stay, the strongest, and then the first by their hash. If
// too few are heard the others are tried, as when the fleet starts or a cut has ended.
//
// The strongest, as a door sends each host of its data centre what it hears of the whole fleet,
// which fills the link of a small host of a fleet of hundreds.
//
// The guard on those that leave is for hosts that are restarted in turn: both doors were among
// them at once, and a whole data centre heard nobody else for two seconds.
func doorsOf(dc fleet.DataCentre, ms []Peer) []fleet.Host {
	rank := func(h fleet.Host) uint64 { return xxhash.Sum64String(string(dc) + "/" + string(h)) }
	slices.SortFunc(ms, func(a, b Peer) int {
		stays, other := a.Heard && !a.Leaving, b.Heard && !b.Leaving
		switch ra, rb := rank(a.Host), rank(b.Host); {
		case stays != other && stays:
			return -1
		case stays != other:
			return 1
		case a.Capacity != b.Capacity:
			return cmp.Compare(b.Capacity, a.Capacity)
		case ra != rb && ra > rb:
			return -1
		case ra != rb:
			return 1
		}
		return strings.Compare(string(a.Host), string(b.Host))
	})
	out := make([]fleet.Host, 0, doors)
	for _, m := range ms[:min(doors, len(ms))] {
		out = append(out, m.Host)
	}
	return out
}
