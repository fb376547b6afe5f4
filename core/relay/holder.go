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
	strong, rest []Peer
}

// strongPart is the part of the capacity of the strongest host from which on a host is strong.
//
// The load it is made for: a data centre of a few large hosts and many small ones. What all hosts
// send to an instance goes through its holder, and would fill the processor or the link of a
// small one, and have all callers of the instance wait.
const strongPart = 2

func candidatesOf(ps []Peer) map[fleet.DataCentre]candidates {
	most := map[fleet.DataCentre]fleet.Capacity{}
	for _, p := range ps {
		most[p.DataCentre] = max(most[p.DataCentre], p.Capacity)
	}
	out := map[fleet.DataCentre]candidates{}
	for _, p := range ps {
		c := out[p.DataCentre]
		if strongPart*p.Capacity >= most[p.DataCentre] {
			c.strong = append(c.strong, p)
		} else {
			c.rest = append(c.rest, p)
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
	round  uint64
	centre fleet.DataCentre
	// near are the strong hosts of the instance's data centre, rest those that come behind them,
	// once that was asked for.
	near, rest []fleet.Host
	// witness is whether this host looks for itself when another one doubts the instance, nil
	// until that was asked for.
	witness *bool
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
	here := !i.suspected(now)
	if len(r.forwarding.peers) == 0 || here && i.direct(now) && !i.isCold(now) {
		return Peer{}, false
	}
	may := func(h fleet.Host) bool {
		if h == r.cfg.Host {
			return here
		}
		return r.mayReach(now, h, i)
	}
	i.rank()
	hosts := i.ranking.near
	n := slices.IndexFunc(hosts, may)
	if n < 0 {
		i.rankRest()
		hosts = i.ranking.rest
		n = slices.IndexFunc(hosts, may)
	}
	if n < 0 || hosts[n] == r.cfg.Host {
		return Peer{}, false
	}
	return r.forwarding.byHost[hosts[n]], true
}

// rank brings the ranking up to date.
func (i *instance) rank() {
	f := &i.g.r.forwarding
	if i.ranking.round == f.round && i.ranking.centre == i.info.DataCentre {
		return
	}
	i.ranking = ranking{round: f.round, centre: i.info.DataCentre, near: i.ranked(f.candidates[i.info.DataCentre].strong)}
}

// rankRest ranks the other hosts of the instance's data centre, and behind them the strong ones of
// all others.
func (i *instance) rankRest() {
	if i.ranking.rest != nil {
		return
	}
	f := &i.g.r.forwarding
	var far []Peer
	for dc, c := range f.candidates {
		if dc != i.info.DataCentre {
			far = append(far, c.strong...)
		}
	}
	i.ranking.rest = append(i.ranked(f.candidates[i.info.DataCentre].rest), i.ranked(far)...)
}

func (i *instance) ranked(ps []Peer) []fleet.Host {
	of := make(map[fleet.Host]uint64, len(ps))
	out := make([]fleet.Host, 0, len(ps))
	for _, p := range ps {
		of[p.Host] = weight(p.Host, i.info.Name)
		out = append(out, p.Host)
	}
	slices.SortFunc(out, func(a, b fleet.Host) int { return cmp.Compare(of[b], of[a]) })
	return out
}

func weight(h fleet.Host, i fleet.Instance) uint64 {
	return xxhash.Sum64String(string(h) + "/" + string(i))
}

// mayReach reports whether another host may be able to reach an instance: it hasn't said
// that it can't. Where each host uses its own connections it has to have said that it can.
func (r *Relay) mayReach(now time.Time, h fleet.Host, i *instance) bool {
	if now.Before(i.blockedHosts[h]) {
		return false
	}
	d := r.duty.reports[h]
	told := d.recent(now)
	if told && d.unreachable.Has(i.info.Name) {
		return false
	}
	return !i.direct(now) || i.isCold(now) || told && d.reachable.Has(i.info.Name)
}

// standbys is how many hosts beside an instance's holder are wanted with it, so that the loss of
// the holder costs no new links.
const standbys = 1

// Holders returns the hosts over which this one uses instances, or would if their holders were
// lost: those to which links are worth keeping.
func (r *Relay) Holders() fleet.Set[fleet.Host] {
	out := fleet.NewSet[fleet.Host]()
	for _, g := range r.groups {
		for _, i := range g.instances {
			if i.removed {
				continue
			}
			if p, over := r.holder(i); over {
				out.Add(p.Host)
			}
			i.rank()
			for _, h := range i.ranking.near[:min(1+standbys, len(i.ranking.near))] {
				out.Add(h)
			}
		}
	}
	return out
}

// witnesses is how many hosts look for themselves whether they reach an instance that another
// one doubts: enough of several data centres to tell a cut from a death.
//
// The load it is made for: hundreds of hosts that hear of the same doubt. If each made a
// connection to find out, the instance would have no room left for statements.
const witnesses = 16

// witness reports whether this host is one of those that look for themselves.
func (r *Relay) witness(i *instance) bool {
	i.rank()
	if i.ranking.witness == nil {
		own, before := weight(r.cfg.Host, i.info.Name), 0
		for _, p := range r.forwarding.peers {
			if weight(p.Host, i.info.Name) > own {
				before++
			}
		}
		first := before < witnesses
		i.ranking.witness = &first
	}
	return *i.ranking.witness
}

// spared reports whether this host leaves it to others to find out whether the instance can be reached:
// it has just started, and another one holds the connections.
//
// The load it is made for: all hosts that start at once after a loss of power. The instance still has the
// connections of before, and the few that are left are the holder's: those that all others made to
// look for themselves kept it from serving anybody for three seconds.
func (i *instance) spared(now time.Time) bool {
	_, held := i.g.r.holder(i)
	return held && i.g.r.young(now)
}

// young reports whether instances may still have the connections of a process before this one.
func (r *Relay) young(now time.Time) bool { return now.Sub(r.began) < lingerFor }
