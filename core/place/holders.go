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
// names no number: two that can agree that a primary has failed while a third
// is being replaced, and few enough that 16 connections make shares of use.
const DefaultHolders = 3

// Holders returns the hosts that hold the connections of d's group, the
// preferred one first. Every host that goes by the same members and document
// returns the same hosts, and when a host comes or goes at most one place
// changes hands.
//
// The data centres of the instances take turns, so that the holders see the
// instances from different data centres and a cut leaves some on either side.
// Hosts elsewhere are taken only when these have too few. A leaving host holds
// nothing.
func Holders(d *document.Document, members []fleet.Member, k int) []fleet.Host {
	if k == 0 {
		k = d.Holders
	}
	if k == 0 {
		k = DefaultHolders
	}
	near := fleet.NewSet[fleet.DataCentre]()
	for _, i := range d.Instances {
		near.Add(i.DataCentre)
	}
	hosts := make(map[fleet.DataCentre][]string)
	for _, m := range members {
		if m.Leaving {
			continue
		}
		c := m.DataCentre
		if !near.Has(c) {
			c = elsewhere
		}
		hosts[c] = append(hosts[c], string(m.Host))
	}
	out := turns(d.Service, ranked(d.Service, near.Sorted()), hosts, k)
	if len(out) < k {
		out = append(out, top(d.Service, hosts[elsewhere], k-len(out))...)
	}
	return out
}

// elsewhere stands for the data centres without an instance; it is no valid
// name of one.
const elsewhere fleet.DataCentre = ""

func ranked(s fleet.Service, centres []fleet.DataCentre) []fleet.DataCentre {
	names := make([]string, 0, len(centres))
	for _, c := range centres {
		names = append(names, string(c))
	}
	out := make([]fleet.DataCentre, 0, len(centres))
	for _, h := range top(s, names, len(names)) {
		out = append(out, fleet.DataCentre(h))
	}
	return out
}

func turns(
	s fleet.Service, centres []fleet.DataCentre, hosts map[fleet.DataCentre][]string, k int,
) []fleet.Host {
	best := make([][]fleet.Host, len(centres))
	for i, c := range centres {
		best[i] = top(s, hosts[c], k)
	}
	var out []fleet.Host
	for turn := range k {
		for _, b := range best {
			if turn < len(b) && len(out) < k {
				out = append(out, b[turn])
			}
		}
	}
	return out
}

// top returns the n names that rendezvous hashing ranks first for s.
func top(s fleet.Service, names []string, n int) []fleet.Host {
	rest := slices.Sorted(slices.Values(names))
	var out []fleet.Host
	for len(out) < n && len(rest) > 0 {
		w := rendezvous.New(rest, xxhash.Sum64String).Lookup(string(s))
		out = append(out, fleet.Host(w))
		rest = slices.DeleteFunc(rest, func(o string) bool { return o == w })
	}
	return out
}

// ConnectionShare is what one holder may use of an instance.
type ConnectionShare struct {
	// Connections is how many connections it may open, the one for control
	// among them.
	Connections int
	// Slots is how many statements it may have the instance work on at a time.
	Slots int
}

// StatementConnections returns how many connections are left for callers' statements.
func (s ConnectionShare) StatementConnections() int {
	return max(0, s.Connections-1)
}

// Shares returns the share of h among holders of an instance, and false when h
// is none of them.
//
// The load is that of all holders at their most: their connections sum up to no
// more than the instance takes, so that none is refused, whenever the hosts
// agree on who the holders are. What is left over after an even split goes to
// the preferred ones. Slots are a target for the queue and no fence of the
// instance: each holder has at least one, since with none its callers would get
// nothing, and the surplus waits at the instance, bounded by a slot a holder.
func Shares(i document.Instance, holders []fleet.Host, h fleet.Host) (ConnectionShare, bool) {
	rank := slices.Index(holders, h)
	if rank < 0 {
		return ConnectionShare{}, false
	}
	n := len(holders)
	return ConnectionShare{
		Connections: split(i.Connections, n, rank),
		Slots:       max(1, split(i.Slots, n, rank)),
	}, true
}

func split(total, n, rank int) int {
	s := total / n
	if rank < total%n {
		s++
	}
	return s
}
