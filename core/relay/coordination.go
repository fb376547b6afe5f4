package relay

import (
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/reachability"
	"skylarkdeal/core/statement"
	"skylarkdeal/core/times"
)

// coordination is the state of this host's part in failovers.
type coordination struct {
	// active is set while this host is the failover coordinator.
	active bool
	// reports holds the last reachability report of each other host.
	reports reachability.Reports
}

const (
	// suspectAfter is how long an instance has to be silent, with a failed attempt to reach it,
	// before this host suspects it.
	suspectAfter = 300 * time.Millisecond
	// reachableFor is how old the last response of an instance may be for this host to report that
	// it reaches the instance.
	reachableFor = 400 * time.Millisecond
	// positionRequestWait is how long the replicas get to report their log positions before a promotion
	// is requested: some round trips across data centres.
	positionRequestWait = 30 * time.Millisecond
	// positionRequestRetry is after how long the request is repeated if no replica has answered.
	positionRequestRetry = 400 * time.Millisecond
)

// IsCoordinator reports whether this host is the failover coordinator, which requests promotions.
func (r *Relay) IsCoordinator() bool { return r.duty.active }

// SetCoordinator sets whether this host is the failover coordinator.
func (r *Relay) SetCoordinator(active bool) {
	if active == r.duty.active {
		return
	}
	if active {
		// Before the role begins, so that what other hosts have suspected for long stays so.
		r.wakeAll()
	}
	for _, g := range r.groups {
		g.promotionPendingUntil, g.holds, g.ownRequest = time.Time{}, holds{}, leader.PromotionRequest{}
		if active && g.service.SyncReplicas > 0 {
			g.holds.checkAfter = r.now()
		}
	}
	r.duty.active = active
	choice := "stop coordinating failovers"
	if active {
		choice = "coordinate failovers"
	}
	r.logEvent(Event{Kind: EventLeader, Choice: choice, Reason: "holder of the coordinator key in the store"})
}

// Unreachable returns the instances that this host suspects, each with the time since its last response.
func (r *Relay) Unreachable() map[fleet.Instance]time.Duration {
	now := r.now()
	out := map[fleet.Instance]time.Duration{}
	for g := range r.active {
		for _, i := range g.instances {
			if i.suspected(now) && !i.removed {
				out[i.info.Name] = now.Sub(i.lastHeard)
			}
		}
	}
	return out
}

// Reachable returns the instances that another host reports as unreachable and that have responded
// to this host within reachableFor, on its own connections.
func (r *Relay) Reachable() []fleet.Instance {
	now := r.now()
	var out []fleet.Instance
	for n := range r.duty.reports.Suspected(now) {
		if i := r.instances[n]; i != nil && now.Sub(i.lastHeard) < reachableFor {
			out = append(out, n)
		}
	}
	return out
}

// AddReachability handles a report of another host: the instances that it can't reach, and those that
// it can although others can't. If this host is one of those that check a suspicion, it probes the
// unreachable ones itself.
func (r *Relay) AddReachability(from fleet.Host, unreachable, reachable []fleet.Instance) {
	now := r.now()
	r.duty.reports.Add(now, from, unreachable, reachable)
	for _, n := range unreachable {
		i := r.instances[n]
		if i == nil || i.removed {
			continue
		}
		if r.duty.active {
			i.g.wake()
		}
		if now.Sub(i.lastHeard) <= probeAfter || now.Sub(i.askedAt) <= probeAfter {
			continue
		}
		if r.isProber(i) && !i.leavesProbeToHolder(now) {
			i.g.probe(now, i)
		}
	}
}

// suspected reports whether connections to the instance have failed and it has been silent for more
// than suspectAfter.
func (i *instance) suspected(now time.Time) bool {
	return i.failures > 0 && now.Sub(i.lastHeard) > suspectAfter && now.Sub(i.failingSince) > suspectAfter/4
}

// RecordRevision returns the revision of the newest promotion record that the host knows, 0 if none.
func (r *Relay) RecordRevision() uint64 { return r.recordRevision }

// decidePromotion requests a promotion if the group needs one and this host is the coordinator.
//
// The replicas are asked for their log positions first: commits that the promoted replica lacks are
// lost, and the last known positions may be outdated.
func (g *group) decidePromotion(now time.Time) {
	if !g.r.duty.active || !g.r.lease.RecordsCurrent(now) || now.Before(g.promotionPendingUntil) ||
		now.Before(g.nextPromotionAt) {
		g.stopDeciding()
		return
	}
	if i := g.instances[g.primaryState.DesignatedPrimary()]; i != nil && i.leads {
		if o, ok := g.primaryState.ConfirmingRequest(i.info.Name, i.term, g.promotionAcceptedAt, now); ok {
			g.requestPromotion(now, o)
			return
		}
	}
	g.r.counters.PromotionChecks++
	if !g.primaryState.NeedsPromotion(g.groupStatus(now)) {
		g.stopDeciding()
		g.holds.withheld = ""
		return
	}
	if g.positionsAskedAt.IsZero() ||
		now.Sub(g.positionsAskedAt) > max(positionRequestRetry, 2*g.holds.statusInterval(now)) {
		g.positionsAskedAt = now
		g.recordCatchUpPosition(now)
	}
	for _, i := range g.instances {
		if g.positionNeeded(now, i) {
			g.requestStatus(now, i)
		}
	}
	if now.Sub(g.positionsAskedAt) < positionRequestWait {
		return
	}
	d := g.primaryState.Decide(g.groupStatus(now))
	if !d.Ready {
		g.awaitSafety(now, d)
		return
	}
	// The request is logged with what was heard for this decision.
	g.requestPromotion(now, d.Request)
	g.stopDeciding()
}

// positionNeeded reports whether the position of an instance is to be requested for a decision on a promotion. Where
// replicas confirm commits, the logs of instances that can't be promoted matter too, and a candidate may still be
// receiving what another one has.
func (g *group) positionNeeded(now time.Time, i *instance) bool {
	if g.service.SyncReplicas > 0 {
		return !i.removed && now.Sub(times.Later(i.statusAt, i.askedAt)) >= g.holds.statusInterval(now)
	}
	return i.usable() && i.statusAt.Before(g.positionsAskedAt) && now.Sub(i.askedAt) >= statusRequestInterval
}

// requestPromotion passes a promotion request on and defers the next one.
func (g *group) requestPromotion(now time.Time, o leader.PromotionRequest) {
	g.promotionAcceptedAt, g.promotionPendingUntil = time.Time{}, now.Add(promotionOutcomeTimeout)
	if o.Reason == leader.ReasonEjected {
		g.outliers.promotedAt = now
	}
	o.Service, o.Waiting = g.name, len(g.waiting)
	o.MissedBy, _ = g.r.duty.reports.Count(now, o.Former)
	g.r.logEvent(Event{
		Kind: EventLeader, Service: g.name, Instance: o.Primary, Term: o.Term,
		Choice: "request a promotion", Reason: string(o.Reason), RequiredPosition: g.instances[o.Primary].received,
		Considered: g.primaryState.Considered(g.groupStatus(now), o.Reason),
	})
	g.ownRequest = o
	g.r.cfg.RequestPromotion(o)
}

// requestedLast reports whether this host has requested the promotion of the last record, as the coordinator that it
// still is.
func (g *group) requestedLast() bool {
	last := g.primaryState.Record()
	return last.By == g.r.cfg.Host && last.Primary == g.ownRequest.Primary && last.Term == g.ownRequest.Term
}

// promotionOutcomeTimeout is how long the outcome of a promotion request is waited for: the time in which a
// platform that takes some dozens a second takes those of hundreds of groups.
const promotionOutcomeTimeout = 10 * time.Second

// promotionRequestPause is the time between a promotion request that failed and the next one of the group.
const promotionRequestPause = time.Second

// groupStatus returns the input of a decision on a promotion. It also updates suspectedSince of each instance.
func (g *group) groupStatus(now time.Time) leader.GroupStatus {
	s := leader.GroupStatus{
		Now: now, Since: g.unconfirmedSince, EjectionsNeeded: g.ejectionsNeeded(now),
		SyncReplicas: g.service.SyncReplicas, Departed: g.departedInfos(), HeldFor: g.heldFor(now),
		OwnRequest: g.requestedLast(),
	}
	if g.primaryState.Record().Revision != 0 {
		// The platform may have got the request long after its record was written.
		s.Since = times.Later(s.Since, times.Later(g.promotionKnownAt, g.promotionAcceptedAt))
	}
	for _, i := range g.instances {
		m := leader.InstanceInfo{
			Name: i.info.Name, Leaving: i.info.Leaving || i.evacuated(), Gone: i.removed,
			Cold: i.isCold(now), OutsideRegion: g.outsideRegion(i),
			Reachable: g.answered(i), Received: i.received, Held: i.heldBack(), Unholdable: i.unholdable,
			IsPrimary: i.leads, Term: i.term, UnreachableFor: now.Sub(i.suspectedSince),
			EjectedFrom: g.ejectedFrom(now, i), Behind: g.behind(i),
		}
		switch {
		case i.suspected(now):
			m.UnreachableFrom++
		case now.Sub(i.lastHeard) < reachableFor:
			m.ReachableFrom++
		}
		unreachable, reachable := g.r.duty.reports.Count(now, i.info.Name)
		m.UnreachableFrom, m.ReachableFrom = m.UnreachableFrom+unreachable, m.ReachableFrom+reachable
		if m.UnreachableFrom == 0 {
			i.suspectedSince = now
			m.UnreachableFor = 0
		}
		s.Instances = append(s.Instances, m)
	}
	return s
}

// PromotionFinished handles the outcome of a promotion request: accepted, or refused because the
// instance isn't running. Neither is set if the outcome is another failure.
func (r *Relay) PromotionFinished(o leader.PromotionRequest, accepted, refused bool) {
	g := r.group(o.Service)
	g.wake()
	g.promotionPendingUntil = time.Time{}
	g.nextPromotionAt = r.now().Add(promotionRequestPause)
	if accepted {
		g.promotionAcceptedAt = r.now()
	}
	if i := g.instances[o.Primary]; refused && i != nil {
		i.addFailure(r.now(), "the platform reports that it isn't running")
	}
	if refused {
		g.nextPromotionAt = time.Time{}
		g.promotionKnownAt = time.Time{}
		g.unconfirmedSince = time.Time{}
	}
}

// RequestStepDown has the former primary step down shortly before the promotion takes effect. Writes
// that it still accepted would be lost, as the new primary has no time to receive them.
func (r *Relay) RequestStepDown(o leader.PromotionRequest) {
	g := r.group(o.Service)
	i := g.instances[o.Former]
	if i == nil || g.primaryState.Record().Primary != o.Primary {
		return
	}
	g.r.logEvent(Event{
		Kind: EventLeader, Service: g.name, Instance: o.Former, Term: o.Term,
		Choice: "step down", Reason: "its successor is about to lead",
	})
	a, ok := g.anyAccount()
	if p, forwarded := r.holder(i); forwarded && ok && p.Send != nil {
		i.connVia(p, a).control(statement.KindStepDown, o.Term, nil)
		return
	}
	g.requestForPeer(o.Former, statement.KindStepDown, o.Term, func(statement.Answer) {})
}
