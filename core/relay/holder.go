package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkdeal/core/fleet"
)

// candidates are the hosts of one data centre that may hold connections to instances: the strong
// ones, and the rest, which do it while no strong one can.
type candidates struct {
	strong, weak []Peer
}

// strongDivisor is the part of the capacity of the strongest host from which on a host is strong.
//
// The load it is made for: a data centre of a few large hosts and many small ones. What all hosts
// send to an instance goes through its holder, and would fill the processor or the link of a
// small one, and have all callers of the instance wait.
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

// samePeer reports whether a and b are the same candidate. Links come and go more often.
func samePeer(a, b Peer) bool {
	return a.Host == b.Host && a.DataCentre == b.DataCentre && a.Capacity == b.Capacity
}

func (r *Relay) self() Peer {
	return Peer{Host: r.cfg.Host, DataCentre: r.cfg.DataCentre, Capacity: r.cfg.Capacity}
}

// ranking is the order in which hosts are to hold an instance's connections, as of a round of
// the candidates.
type ranking struct {
	version uint64
	centre  fleet.DataCentre
	// preferred are the strong hosts of the instance's data centre, fallback those that come behind them,
	// once that was asked for.
	preferred, fallback []fleet.Host
	// isProber is whether this host looks for itself when another one doubts the instance, nil
	// until that was asked for.
	isProber *bool
}

// holder returns the host over which an instance is used, false for this one.
//
// One that has just started is used over one host whatever the connections, as only one can keep to
// the rate that it bears.
//
// Where connections suffice each host uses its own, unless it can't reach the instance
// and another says that it can. Else one host holds them for all. The hosts of the
// instance's data centre go before all others, as its statements cross the network once
// either way; among them the strong ones, and then the highest hash decides, so that all hosts
// that see the same peers choose alike. One that sees others chooses another holder: the
// instance then has two, with fewer connections each, and no harm done.
func (r *Relay) holder(i *instance) (Peer, bool) {
	now := r.now()
	reachable := !i.doubtful(now)
	if len(r.forwarding.peers) == 0 || reachable && i.direct(now) && !i.isCold(now) {
		return Peer{}, false
	}
	mayHold := func(h fleet.Host) bool {
		if h == r.cfg.Host {
			return reachable
		}
		return r.peerMayReach(now, h, i)
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

// rank brings the ranking up to date.
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

// rankFallback ranks the other hosts of the instance's data centre, and behind them the strong ones of
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

// peerMayReach reports whether another host may be able to reach an instance: it hasn't said
// that it can't. Where each host uses its own connections it has to have said that it can.
func (r *Relay) peerMayReach(now time.Time, h fleet.Host, i *instance) bool {
	if now.Before(i.blocked[h]) {
		return false
	}
	d := r.duty.doubts[h]
	current := d.told(now)
	if current && d.instances.Has(i.info.Name) {
		return false
	}
	return !i.direct(now) || i.isCold(now) || current && d.reached.Has(i.info.Name)
}

// standbyHolders is how many hosts beside an instance's holder are wanted with it, so that the loss of
// the holder costs no new links.
const standbyHolders = 1

// Holders returns the hosts over which this one uses instances, or would if their holders were
// lost: those to which links are worth keeping.
func (r *Relay) Holders() fleet.Set[fleet.Host] {
	out := fleet.NewSet[fleet.Host]()
	for _, g := range r.groups {
		for _, i := range g.instances {
			if i.gone {
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

// maxProbers is how many hosts look for themselves whether they reach an instance that another
// one doubts: enough of several data centres to tell a cut from a death.
//
// The load it is made for: hundreds of hosts that hear of the same doubt. If each made a
// connection to find out, the instance would have no room left for statements.
const maxProbers = 16

// isProber reports whether this host is one of those that look for themselves.
func (r *Relay) isProber(i *instance) bool {
	i.rank()
	if i.ranking.isProber == nil {
		own, before := rendezvousWeight(r.cfg.Host, i.info.Name), 0
		for _, p := range r.forwarding.peers {
			if rendezvousWeight(p.Host, i.info.Name) > own {
				before++
			}
		}
		first := before < maxProbers
		i.ranking.isProber = &first
	}
	return *i.ranking.isProber
}

// leavesProbeToHolder reports whether this host leaves it to others to find out whether the instance can be reached:
// it has just started, and another one holds the connections.
//
// The load it is made for: all hosts that start at once after a loss of power. The instance still has the
// connections of before, and the few that are left are the holder's: those that all others made to
// look for themselves kept it from serving anybody for three seconds.
func (i *instance) leavesProbeToHolder(now time.Time) bool {
	_, held := i.g.r.holder(i)
	return held && i.g.r.recentlyStarted(now)
}

// recentlyStarted reports whether instances may still have the connections of a process before this one.
func (r *Relay) recentlyStarted(now time.Time) bool {
	return now.Sub(r.startedAt) < deadHostConnTimeout
}
