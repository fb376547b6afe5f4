// Package place decides which hosts hold a group's connections and how they
// share them, which instance serves a request, and when a read may be tried
// again.
package place

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
)

// DefaultHolders is how many hosts hold a group's connections when its document
// sets no number. With three, two can agree that a primary has failed while the
// third is being replaced, and 16 connections still give each a useful share.
const DefaultHolders = 3

// Holders returns the count hosts that hold the connections of d's group, the
// preferred one first. A count of 0 stands for the document's number, or
// DefaultHolders if that is 0 as well. Every host with the same members and
// document gets the same result, and when a host joins or leaves, at most one
// holder is replaced.
//
// Holders are taken in turn from the data centres that have an instance, so that
// they observe the instances from different data centres and a network partition
// leaves some on either side. Hosts of other data centres are used only when
// these have too few. A leaving host is never a holder.
func Holders(d *document.Document, members []fleet.Member, count int) []fleet.Host {
	if count == 0 {
		count = d.Holders
	}
	if count == 0 {
		count = DefaultHolders
	}
	local := fleet.NewSet[fleet.DataCentre]()
	for _, i := range d.Instances {
		local.Add(i.DataCentre)
	}
	hosts := make(map[fleet.DataCentre][]string)
	for _, m := range members {
		if m.Leaving {
			continue
		}
		c := m.DataCentre
		if !local.Has(c) {
			c = otherDataCentres
		}
		hosts[c] = append(hosts[c], string(m.Host))
	}
	out := interleave(d.Service, rankDataCentres(d.Service, local.Sorted()), hosts, count)
	if len(out) < count {
		out = append(out, topRanked(d.Service, hosts[otherDataCentres], count-len(out))...)
	}
	return out
}

// otherDataCentres stands for all data centres without an instance. It is not a
// valid name of a data centre.
const otherDataCentres fleet.DataCentre = ""

// rankDataCentres orders the data centres by rendezvous hashing for s.
func rankDataCentres(s fleet.Service, centres []fleet.DataCentre) []fleet.DataCentre {
	names := make([]string, 0, len(centres))
	for _, c := range centres {
		names = append(names, string(c))
	}
	out := make([]fleet.DataCentre, 0, len(centres))
	for _, h := range topRanked(s, names, len(names)) {
		out = append(out, fleet.DataCentre(h))
	}
	return out
}

// interleave returns up to count hosts: the first-ranked host of each data centre,
// then the second-ranked ones, and so on.
func interleave(
	s fleet.Service, centres []fleet.DataCentre, hosts map[fleet.DataCentre][]string, count int,
) []fleet.Host {
	best := make([][]fleet.Host, len(centres))
	for i, c := range centres {
		best[i] = topRanked(s, hosts[c], count)
	}
	var out []fleet.Host
	for turn := range count {
		for _, b := range best {
			if turn < len(b) && len(out) < count {
				out = append(out, b[turn])
			}
		}
	}
	return out
}

// topRanked returns the n names that rendezvous hashing ranks first for s.
func topRanked(s fleet.Service, names []string, n int) []fleet.Host {
	rest := slices.Sorted(slices.Values(names))
	var out []fleet.Host
	for len(out) < n && len(rest) > 0 {
		w := rendezvous.New(rest, xxhash.Sum64String).Lookup(string(s))
		out = append(out, fleet.Host(w))
		rest = slices.DeleteFunc(rest, func(o string) bool { return o == w })
	}
	return out
}

// ConnectionShare is one holder's share of an instance's connections and slots.
type ConnectionShare struct {
	// Connections is how many connections the holder may open, including the
	// control connection.
	Connections int
	// Slots is how many statements of the holder the instance may run at a time.
	Slots int
}

// StatementConnections returns how many connections serve callers' statements: all
// but the control connection.
func (s ConnectionShare) StatementConnections() int {
	return max(0, s.Connections-1)
}

// Shares returns the share of h among the holders of instance i, and false if h
// isn't one of the holders.
//
// While the hosts agree on the holders, the connections of all shares sum up to no
// more than the instance accepts, so that it refuses none. The remainder of an
// even split goes to the preferred holders. Slots are a target for the holder's
// queue and not enforced by the instance. Each holder has at least one, since
// without a slot it would serve nothing; the statements in excess of the
// instance's slots wait at the instance, at most one for each holder.
func Shares(i document.Instance, holders []fleet.Host, h fleet.Host) (ConnectionShare, bool) {
	rank := slices.Index(holders, h)
	if rank < 0 {
		return ConnectionShare{}, false
	}
	n := len(holders)
	return ConnectionShare{
		Connections: evenShare(i.Connections, n, rank),
		Slots:       max(1, evenShare(i.Slots, n, rank)),
	}, true
}

// evenShare returns the part of total for the holder of the given rank, of n holders.
func evenShare(total, n, rank int) int {
	s := total / n
	if rank < total%n {
		s++
	}
	return s
}
