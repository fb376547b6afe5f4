package relay

import (
	"time"

	"skylarkdeal/core/admit"
	"skylarkdeal/core/catalog"
	"skylarkdeal/core/pathcost"
	"skylarkdeal/core/staleness"
)

// needs returns the point that a read has to cover on a replica, with what it was taken from,
// and whether it is known.
func (g *group) needs(o *operation) (staleness.Sample, bool) {
	s, ok := g.samples.Oldest(o.age)
	if !ok {
		return staleness.Sample{}, false
	}
	if o.route.Consistency == catalog.ConsistencySession && !s.Position.Covers(o.s.written) {
		s.Position = o.s.written
	}
	return s, true
}

// pump starts what can be started.
func (g *group) pump() {
	if g.dispatching {
		return
	}
	g.dispatching = true
	defer func() { g.dispatching = false }()
	now := g.r.now()
	defer g.requestOtherTerms(now)
	if len(g.peerRequests) > 0 {
		g.sendPeerRequests(now)
	}
	for len(g.waiting) > 0 {
		found := map[uint64]*Conn{}
		item, ok := g.queue.Next(now, func(i admit.Item) bool {
			c := g.place(now, g.waiting[i.Key])
			if c == nil {
				return false
			}
			c.offered, found[i.Key] = true, c
			return true
		})
		for _, c := range found {
			c.offered = false
		}
		if !ok {
			return
		}
		g.waiting[item.Key].run(found[item.Key])
	}
}

const (
	// freshWork is how long a measured time counts: an instance that was slow is tried
	// again after it.
	freshWork = 2 * time.Second
	// lagPause is how long an instance that lacked a point is passed over, at first; it is
	// about how far replicas usually are behind. lagPauseMax bounds it.
	lagPause    = 60 * time.Millisecond
	lagPauseMax = time.Second
)

// place returns the connection on which an operation is to run now, or nil. It begins
// to connect where that is better than what there is.
//
// The load it is made for: few slots on each instance, one of them slow or far behind,
// accounts that each need connections of their own. Callers would wait behind one
// slow instance while the others rest, so the expected wait decides.
func (g *group) place(now time.Time, o *operation) *Conn {
	if o == nil {
		return nil
	}
	if o.dial != nil && o.dial.state == connIdle && o.dial.inst.bears(now) && g.serves(now, o.dial.inst, o) {
		return o.dial
	}
	var ready, dial way
	for _, i := range g.instances {
		if !g.serves(now, i, o) {
			continue
		}
		w, ok := g.way(now, i, o)
		if !ok {
			continue
		}
		to := &ready
		if w.conn == nil && w.peer.Host == "" {
			to = &dial
		}
		if to.inst == nil || w.cost < to.cost {
			*to = w
		}
	}
	if dial.inst != nil && (ready.inst == nil || dial.cost < ready.cost) {
		if o.dial == nil || o.dial.state == connClosed {
			o.dial = dial.inst.connect(now, o)
		}
		if o.dial != nil {
			return nil
		}
	}
	if ready.inst == nil || ready.conn != nil {
		return ready.conn
	}
	return ready.inst.over(ready.peer, o.s.account)
}

// way is how an operation can reach an instance: by a connection that rests, over another
// host, or by a connection that is to be made.
type way struct {
	inst *instance
	conn *Conn
	peer Peer
	cost time.Duration
}

// serves reports whether an instance may run an operation now.
func (g *group) serves(now time.Time, i *instance, o *operation) bool {
	if !i.open(now) || !g.r.allow(o.homes, i.info.DataCentre) {
		return false
	}
	if o.s.instance != "" {
		return i.info.Name == o.s.instance && !i.removed
	}
	if o.avoid.Has(i.info.Name) || i.removed {
		return false
	}
	leads := g.isPrimary(i.info.Name)
	if leads && g.primary() == i {
		return g.primaryMayRun(o)
	}
	if o.lead || leads || !i.usable() || i.info.Name == g.primaryState.DesignatedPrimary() {
		return false
	}
	g.replicaReadAt = now
	s, ok := g.needs(o)
	return ok && i.sharesHistory(s) && (i.position.Covers(s.Position) || i.mayTrialRead(now, o))
}

// way returns how an operation can reach an instance now, false while the link to its holder
// is being made.
func (g *group) way(now time.Time, i *instance, o *operation) (way, bool) {
	w := way{inst: i}
	leads := g.isPrimary(i.info.Name)
	about := pathcost.Path{
		Latency: i.avgLatency, Running: i.busyConns(), Slots: i.info.Slots, Remote: !i.local(), PrimaryRead: !o.lead && leads,
		Silent: !g.r.reaches(now, i), Cold: !o.lead && i.isCold(now),
	}
	if now.Sub(i.avgLatencyAt) > freshWork {
		about.Latency = 0
	}
	p, over := g.r.holder(i)
	if over && o.s.instance == "" && g.r.allow(o.homes, p.DataCentre) {
		if p.Send == nil {
			return way{}, false
		}
		w.peer = p
	} else {
		if !i.bears(now) {
			return way{}, false
		}
		w.conn, about.SetupStatements = i.idle(o.s.account, o.s, o.prep)
		about.Connect = w.conn == nil
	}
	w.cost = about.Cost(o.route.Target)
	return w, true
}
