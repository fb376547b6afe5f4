package relay

import (
	"time"

	"skylarkdeal/core/admit"
	"skylarkdeal/core/catalog"
	"skylarkdeal/core/pathcost"
	"skylarkdeal/core/staleness"
)

// requiredSample returns the sample whose position a replica has to cover for a read, or false if none
// is known.
func (g *group) requiredSample(o *operation) (staleness.Sample, bool) {
	s, ok := g.samples.Oldest(o.asOf)
	if !ok {
		return staleness.Sample{}, false
	}
	if o.route.Consistency == catalog.ConsistencySession && !s.Position.Covers(o.s.lastCommit) {
		s.Position = o.s.lastCommit
	}
	return s, true
}

// dispatch starts the requests and operations that can be started now.
func (g *group) dispatch() {
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
		// The queue may look for the paths of several operations and starts one of them.
		found := map[uint64]path{}
		item, ok := g.queue.Next(now, func(i admit.Item) bool {
			w, ok := g.choosePath(now, g.waiting[i.Key])
			if !ok {
				return false
			}
			if w.conn != nil {
				w.conn.reserved = true
			}
			found[i.Key] = w
			return true
		})
		for _, w := range found {
			if w.conn != nil {
				w.conn.reserved = false
			}
		}
		if !ok {
			return
		}
		o, w := g.waiting[item.Key], found[item.Key]
		if w.conn == nil {
			w.conn = w.inst.connVia(w.peer, o.s.account)
		}
		o.runOn(w.conn)
	}
}

const (
	// latencyMaxAge is how long a measured latency counts. An instance that was slow is tried again
	// after it.
	latencyMaxAge = 2 * time.Second
	// lagBackoffMin is how long an instance that lacked a required position is skipped at first: about
	// the usual lag of replicas. lagBackoffMax bounds that time.
	lagBackoffMin = 60 * time.Millisecond
	lagBackoffMax = time.Second
)

// choosePath returns the path by which an operation is to run now, over an idle connection or another host, or
// false if it has to wait. It starts a new connection if that costs less than the paths that there are.
//
// Designed for few slots on each instance, one of which is slow or far behind, and accounts that each
// need connections of their own. Callers would wait for a slow instance while others are idle, so the
// expected wait decides.
func (g *group) choosePath(now time.Time, o *operation) (path, bool) {
	if o == nil {
		return path{}, false
	}
	if c := g.dialledFor(now, o); c != nil {
		return path{inst: c.inst, conn: c}, true
	}
	ready, dial, limited := g.cheapestPaths(now, o)
	if limited.cheaperThan(ready) && limited.cheaperThan(dial) {
		return path{}, false
	}
	if dial.cheaperThan(ready) {
		if o.dialling == nil || o.dialling.state == connClosed {
			o.dialling = dial.inst.connect(now, o)
		}
		if o.dialling != nil {
			return path{}, false
		}
	}
	return ready, ready.inst != nil
}

// dialledFor returns the connection that was dialled for an operation if the operation can run on it now.
func (g *group) dialledFor(now time.Time, o *operation) *Conn {
	c := o.dialling
	if c != nil && (c.op != nil || c.session != nil) {
		// Another operation has taken it, and may keep it for a transaction.
		o.dialling = nil
		return nil
	}
	if c == nil || c.state != connIdle {
		return nil
	}
	if !g.mayTake(now, c.inst, o) || c.inst.limited(now) {
		// The instance has turned out not to be one that may run it, or has reached its limit meanwhile. It may
		// then hang, so that the operation doesn't wait for this connection.
		o.dialling = nil
		return nil
	}
	if !c.inst.canStart(now) || !g.readyFor(now, c, o) {
		return nil
	}
	return c
}

// cheapestPaths returns the cheapest path of an operation of each kind: one that is ready, one for which a
// connection has to be made, and one to an instance that has reached its concurrency limit. Those that there are
// none of have no instance.
func (g *group) cheapestPaths(now time.Time, o *operation) (ready, dial, limited path) {
	for _, i := range g.instances {
		if !g.mayTake(now, i, o) {
			continue
		}
		w, ok := g.pathTo(now, i, o)
		if !ok {
			continue
		}
		best := &ready
		switch {
		case w.limited:
			best = &limited
		case w.conn == nil && w.peer.Host == "":
			best = &dial
		}
		if w.cheaperThan(*best) {
			*best = w
		}
	}
	return ready, dial, limited
}

// path is one way to reach an instance: an idle connection, another host, or a connection that is still
// to be made.
type path struct {
	inst *instance
	conn *Conn
	peer Peer
	cost time.Duration
	// limited is set while the instance has as many statements as its concurrency limit allows.
	limited bool
}

// cheaperThan reports whether there is the path, and the other one is missing or costs more.
func (w path) cheaperThan(other path) bool {
	return w.inst != nil && (other.inst == nil || w.cost < other.cost)
}

// canRun reports whether an instance may run an operation now.
func (g *group) canRun(now time.Time, i *instance, o *operation) bool {
	if !i.acceptsNew(now) || !i.mayBeginTx(now, o) || !g.r.allowsRegion(o.regions, i.info.DataCentre) {
		return false
	}
	if o.s.boundInstance != "" {
		return i.info.Name == o.s.boundInstance && !i.removed
	}
	if o.excluded.Has(i.info.Name) || i.removed {
		return false
	}
	leads := g.isPrimary(i.info.Name)
	if leads && g.primary() == i {
		return g.primaryMayRun(o)
	}
	if o.needsPrimary || leads || !i.usable() || i.info.Name == g.primaryState.DesignatedPrimary() {
		return false
	}
	g.replicaReadAt = now
	s, ok := g.requiredSample(o)
	return ok && i.sharesHistory(s) && (i.position.Covers(s.Position) || i.mayTrialRead(now, o))
}

// forwardsTo returns the holder over which an operation reaches an instance, or false if it has to use this host's
// own connections.
func (g *group) forwardsTo(i *instance, o *operation) (Peer, bool) {
	p, held := g.r.holder(i)
	return p, held && o.s.boundInstance == "" && g.r.allowsRegion(o.regions, p.DataCentre)
}

// readyFor reports whether an operation may be sent on a connection now. If it relies on the instance's
// status, and that doesn't cover the connection, readyFor requests it.
func (g *group) readyFor(now time.Time, c *Conn, o *operation) bool {
	if !o.reliesOnStatus(c.inst) || c.coveredByStatus() {
		return true
	}
	g.confirmProcess(now, c, o)
	return false
}

// pathTo returns the path of an operation to an instance, or false if there is none now: the link to
// its holder is being made, the instance has just started and bears no more, or its status is awaited.
func (g *group) pathTo(now time.Time, i *instance, o *operation) (path, bool) {
	w := path{inst: i}
	leads := g.isPrimary(i.info.Name)
	est := pathcost.Path{
		Latency: i.avgLatency, Running: i.busyConns(), Slots: i.info.Slots, Remote: !i.local(),
		PrimaryRead: !o.needsPrimary && leads, Unreachable: !g.r.canReach(now, i), Cold: !o.needsPrimary && i.isCold(now),
	}
	if now.Sub(i.avgLatencyAt) > latencyMaxAge {
		est.Latency = 0
	}
	if p, over := g.forwardsTo(i, o); over {
		if p.Send == nil {
			g.r.requestLink(p)
			return path{}, false
		}
		w.peer = p
		est.Queued = g.holderWait(now, p.Host, o.route.Priority)
	} else {
		if !i.canStart(now) {
			return path{}, false
		}
		if w.limited = i.limited(now); w.limited {
			est.Queued = g.limitWait(now, i)
			w.cost = est.Cost(o.route.Target)
			return w, true
		}
		w.conn, est.SetupStatements = i.idleConn(o)
		est.Connect = w.conn == nil
		if w.conn != nil && !g.readyFor(now, w.conn, o) {
			return path{}, false
		}
	}
	w.cost = est.Cost(o.route.Target)
	if o.probes(now, i) {
		w.cost = 0
	}
	return w, true
}
