package relay

import (
	"errors"
	"time"

	"skylarkdeal/core/backpressure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/statement"
)

// loadMaxAge is how long a computed load is sent to other hosts before it is computed anew.
const loadMaxAge = 5 * time.Millisecond

// Load returns the load of the queue of a service, for the answers to other hosts.
func (r *Relay) Load(n fleet.Service) backpressure.Load {
	g := r.groups[n]
	if !r.cfg.Backpressure || g == nil || g.queue.Len() == 0 {
		return backpressure.Load{}
	}
	now := r.now()
	if now.Sub(g.loadAt) > loadMaxAge {
		g.loadAt = now
		g.load = backpressure.NewLoad(func(p fleet.Priority) time.Duration { return g.queue.ExpectedWait(now, p) })
	}
	return g.load
}

// HandleForwardLoad handles the load that another host reports with an answer on a stream: the expected waits
// by priority in milliseconds, none if there is no wait.
func (r *Relay) HandleForwardLoad(from fleet.Host, stream uint64, millis []uint32) {
	c := r.forwarding.forwardedConns[stream]
	if !r.cfg.Backpressure || c == nil || c.via != from {
		return
	}
	l, err := backpressure.ParseMillis(millis)
	if err != nil {
		r.logEvent(Event{
			Kind: EventInstance, Service: c.Service, Host: from, Choice: "ignore a load report", Reason: err.Error(),
		})
	}
	if err == nil || errors.Is(err, backpressure.ErrTooMany) {
		r.forwarding.loads.Add(r.now(), backpressure.Queue{Holder: from, Service: c.Service}, l)
	}
}

// holderWait returns the expected wait of an operation at a holder.
func (g *group) holderWait(now time.Time, h fleet.Host, p fleet.Priority) time.Duration {
	if g.r.forwarding.loads.Empty() {
		return 0
	}
	return g.r.forwarding.loads.Wait(now, backpressure.Queue{Holder: h, Service: g.name}, p)
}

// transientLags is how often in a row a replica may lack a required position before it no longer counts as
// one that is about to have it.
const transientLags = 3

// refusedBeforeHop refuses an operation whose paths all lead over holders at which it can't start in time, and
// reports whether it did. A few are forwarded all the same, as Reports.Probe decides.
//
// Guards against operations that cross a link and wait at a holder, only to be refused there.
func (g *group) refusedBeforeHop(now time.Time, o *operation) bool {
	if g.r.forwarding.loads.Empty() || o.s.boundInstance != "" {
		return false
	}
	var q backpressure.Queue
	least := time.Duration(-1)
	for _, i := range g.instances {
		if !g.canRun(now, i, o) {
			if g.mayRunSoon(i, o) {
				return false
			}
			continue
		}
		p, over := g.forwardsTo(i, o)
		at := backpressure.Queue{Holder: p.Host, Service: g.name}
		if !over || !g.r.forwarding.loads.Overdue(now, at, o.route.Priority, o.waitDeadline()) {
			return false
		}
		if w := g.r.forwarding.loads.Wait(now, at, o.route.Priority); least < 0 || w < least {
			q, least = at, w
		}
	}
	if least < 0 || g.r.forwarding.loads.Probe(q) {
		return false
	}
	g.r.counters.RefusedBeforeHop++
	o.refuse(statement.CodeBusy, "the queue of host "+string(q.Holder)+" is too long", g.retryAfterOverload(now, least))
	return true
}

// mayRunSoon reports whether a replica that can't run a read now is about to have the required position.
func (g *group) mayRunSoon(i *instance, o *operation) bool {
	return !o.needsPrimary && i.usable() && !o.excluded.Has(i.info.Name) && !g.isPrimary(i.info.Name) &&
		g.r.allowsRegion(o.regions, i.info.DataCentre) && i.lagCount < transientLags
}
