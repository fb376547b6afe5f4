package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkdeal/core/fleet"
)

// candidates are the hosts of one data centre that may hold connections to instances. The weak ones do
// so only while no strong one can.
type candidates struct {
	strong, weak []Peer
}

// strongDivisor defines strong hosts: those with at least half of the capacity of the strongest host in
// their data centre.
//
// Designed for a data centre with a few large hosts and many small ones. All that hosts send to an
// instance goes through its holder, which would use up the processor or the network link of a small
// host and make all callers of the instance wait.
const strongDivisor = 2

func groupCandidates(ps []Peer) map[fleet.DataCentre]candidates {
	maxCapacity := map[fleet.DataCentre]fleet.Capacity{}
	for _, p := range ps {
		maxCapacity[p.DataCentre] = max(maxCapacity[p.DataCentre], p.Capacity)
	}
	out := map[fleet.DataCentre]candidates{}
	for _, p := range ps {
		c := out[p.DataCentre]
		if strongDivisor*p.Capacity >= maxCapacity[p.DataCentre] {
			c.strong = append(c.strong, p)
		} else {
			c.weak = append(c.weak, p)
		}
		out[p.DataCentre] = c
	}
	return out
}

// samePeer reports whether a and b are the same candidate. It ignores their links, which change more
// often.
func samePeer(a, b Peer) bool {
	return a.Host == b.Host && a.DataCentre == b.DataCentre && a.Capacity == b.Capacity
}

func (r *Relay) self() Peer {
	return Peer{Host: r.cfg.Host, DataCentre: r.cfg.DataCentre, Capacity: r.cfg.Capacity}
}

// ranking is the order in which hosts are to hold an instance's connections, for one version of the
// candidates.
type ranking struct {
	version uint64
	centre  fleet.DataCentre
	// preferred are the strong hosts of the instance's data centre. fallback are the hosts that come
	// after them, nil until they are needed.
	preferred, fallback []fleet.Host
	// isProber is whether this host probes the instance itself when another host suspects it, nil until
	// that is needed.
	isProber *bool
}

// holder returns the host over which an instance is used, or false if this host uses its own
// connections.
//
// An instance that has just started is used over one host regardless of its connections, since only a
// single host can keep to the rate that the instance bears.
//
// If there are enough connections, each host uses its own, unless it can't reach the instance and
// another host reports that it can. Otherwise one host holds them for all. The hosts of the instance's
// data centre come before all others, since its statements cross the network once either way. Among
// them the strong ones come first, then the highest rendezvous hash decides, so that all hosts with the
// same peers choose the same holder. A host with other peers chooses another holder. The instance then
// has two holders with fewer connections each, which does no harm.
func (r *Relay) holder(i *instance) (Peer, bool) { return r.holderExcept(i, "") }

// holderExcept returns the holder as if host x couldn't reach the instance; x is empty for none.
func (r *Relay) holderExcept(i *instance, x fleet.Host) (Peer, bool) {
	now := r.now()
	reachable := !i.suspected(now)
	if len(r.forwarding.peers) == 0 || reachable && i.direct(now) && !i.isCold(now) {
		return Peer{}, false
	}
	mayHold := func(h fleet.Host) bool {
		if h == r.cfg.Host {
			return reachable
		}
		return h != x && r.peerMayReach(now, h, i)
	}
	i.rank()
	hosts := i.ranking.preferred
	n := slices.IndexFunc(hosts, mayHold)
	if n < 0 {
		i.rankFallback()
		hosts = i.ranking.fallback
		n = slices.IndexFunc(hosts, mayHold)
	}
	if n < 0 || hosts[n] == r.cfg.Host {
		return Peer{}, false
	}
	return r.forwarding.peersByHost[hosts[n]], true
}

// rank updates the ranking after a change of the candidates or of the instance's data centre.
func (i *instance) rank() {
	f := &i.g.r.forwarding
	if i.ranking.version == f.candidatesVersion && i.ranking.centre == i.info.DataCentre {
		return
	}
	i.ranking = ranking{
		version: f.candidatesVersion, centre: i.info.DataCentre,
		preferred: i.rankByHash(f.candidates[i.info.DataCentre].strong),
	}
}

// rankFallback ranks the weak hosts of the instance's data centre, and after them the strong hosts of
// all others.
func (i *instance) rankFallback() {
	if i.ranking.fallback != nil {
		return
	}
	f := &i.g.r.forwarding
	var remote []Peer
	for dc, c := range f.candidates {
		if dc != i.info.DataCentre {
			remote = append(remote, c.strong...)
		}
	}
	i.ranking.fallback = append(i.rankByHash(f.candidates[i.info.DataCentre].weak), i.rankByHash(remote)...)
}

// rankByHash orders hosts by rendezvous hashing for the instance.
func (i *instance) rankByHash(ps []Peer) []fleet.Host {
	weights := make(map[fleet.Host]uint64, len(ps))
	out := make([]fleet.Host, 0, len(ps))
	for _, p := range ps {
		weights[p.Host] = rendezvousWeight(p.Host, i.info.Name)
		out = append(out, p.Host)
	}
	slices.SortFunc(out, func(a, b fleet.Host) int { return cmp.Compare(weights[b], weights[a]) })
	return out
}

func rendezvousWeight(h fleet.Host, i fleet.Instance) uint64 {
	return xxhash.Sum64String(string(h) + "/" + string(i))
}

// peerMayReach reports whether another host may be able to reach an instance: it hasn't reported it as
// unreachable. Where each host uses its own connections, it has to have reported it as reachable.
func (r *Relay) peerMayReach(now time.Time, h fleet.Host, i *instance) bool {
	if now.Before(i.blockedHosts[h]) {
		return false
	}
	if r.duty.reports.Unreachable(now, h, i.info.Name) {
		return false
	}
	return !i.direct(now) || i.isCold(now) || r.duty.reports.Reachable(now, h, i.info.Name)
}

// standbyHolders is how many hosts besides an instance's holder are linked to in advance, so that the
// loss of the holder requires no new links.
const standbyHolders = 1

// Holders returns the hosts over which this host uses instances, or would if their holders were lost:
// links to them are to be kept.
func (r *Relay) Holders() fleet.Set[fleet.Host] {
	now := r.now()
	out := fleet.NewSet[fleet.Host]()
	for g := range r.active {
		if !g.confirmsPrimary(now) {
			continue
		}
		for _, i := range g.instances {
			if i.removed {
				continue
			}
			if p, held := r.holder(i); held {
				out.Add(p.Host)
			}
			i.rank()
			for _, h := range i.ranking.preferred[:min(1+standbyHolders, len(i.ranking.preferred))] {
				out.Add(h)
			}
		}
	}
	return out
}

// maxProbers is how many hosts probe an instance themselves when another host suspects it: enough hosts
// of several data centres to tell a network partition from the death of the instance.
//
// Designed for hundreds of hosts that receive the same report. If each of them made a connection to
// check it, the instance would have no room left for statements.
const maxProbers = 16

// isProber reports whether this host probes a suspected instance itself.
func (r *Relay) isProber(i *instance) bool {
	i.rank()
	if i.ranking.isProber == nil {
		own, higher := rendezvousWeight(r.cfg.Host, i.info.Name), 0
		for _, p := range r.forwarding.peers {
			if rendezvousWeight(p.Host, i.info.Name) > own {
				higher++
			}
		}
		chosen := higher < maxProbers
		i.ranking.isProber = &chosen
	}
	return *i.ranking.isProber
}

// leavesProbeToHolder reports whether this host leaves it to other hosts to probe the instance: it has
// recently started, and another host holds the connections.
//
// Designed for all hosts starting at once after a loss of power. The instance still has the former
// connections, and the few that are left belong to the holder. When all other hosts connected to probe
// the instance themselves, it could serve no caller for three seconds.
func (i *instance) leavesProbeToHolder(now time.Time) bool {
	_, held := i.g.r.holder(i)
	return held && i.g.r.recentlyStarted(now)
}

// recentlyStarted reports whether instances may still have the connections of an earlier process of
// this host.
func (r *Relay) recentlyStarted(now time.Time) bool {
	return now.Sub(r.startedAt) < deadHostConnTimeout
}
