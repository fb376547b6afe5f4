package relay

import (
	"time"

	"skylarkdeal/core/staleness"
)

// unavailableReason returns why the group's primary can't serve now, empty if it can. A primary whose
// answers can't be verified counts as unavailable: a write sent there would be in doubt, whereas one
// that isn't sent can be refused as not run and retried elsewhere.
func (g *group) unavailableReason(now time.Time) string {
	p := g.primary()
	switch {
	case p == nil:
		return "the group has no primary now"
	case !g.r.canReach(now, p):
		return "the primary can't be reached"
	case !p.acceptsNew(now):
		return "the primary's data centre is evacuated"
	case g.superseded():
		return "another instance says that it leads a later term"
	case g.r.lease.RecordsCurrent(now):
		return ""
	case !g.mayVerify(now):
		return "the store can't be asked whether the primary still leads, and the list of instances may lack some"
	}
	for _, n := range g.possiblePrimaries(p.info.Name) {
		if i := g.instances[n]; i != nil && !g.r.canReach(now, i) {
			return "neither the store nor all instances can be asked whether the primary still leads"
		}
	}
	return ""
}

// superseded reports whether an instance has reported a later term than that of the current primary. A
// write sent to that primary would be in doubt.
func (g *group) superseded() bool {
	_, t, ok := g.primaryState.Primary()
	if !ok {
		return false
	}
	for _, i := range g.instances {
		if i.term > t && !i.removed {
			return true
		}
	}
	return false
}

// refusalReason returns why an operation can't be served before its deadline, empty if it can, and after
// how long to retry. A caller that is refused at once has time to retry, or to use another host.
func (g *group) refusalReason(now time.Time, o *operation) (string, time.Duration) {
	if n := o.s.boundInstance; n != "" {
		i := g.instances[n]
		switch {
		case i == nil && g.r.startingUp(now):
			return "", 0
		case i == nil || i.removed || i.suspected(now):
			return "this host can't reach the instance", shortRetryAfter
		case !i.acceptsNew(now):
			return "the instance's data centre is evacuated", shortRetryAfter
		}
		return "", 0
	}
	if !g.hasAllowedInstance(o) {
		return "no instance that could run it stands in a region that it may enter", regionRetryAfter
	}
	if g.refusedByAll(o) {
		return "every instance that could run it has turned it away", shortRetryAfter
	}
	reason := g.unavailableReason(now)
	if reason == "" {
		return "", 0
	}
	if !o.needsPrimary {
		if s, ok := g.requiredSample(o); ok && g.replicaReachable(now, o, s) {
			return "", 0
		}
		if g.primaryCoversRead(now, o) {
			return "", 0
		}
	}
	wait := g.estimatePrimaryWait(now)
	if wait <= maxPrimaryWait && now.Add(wait).Before(o.deadline) {
		return "", 0
	}
	return reason, wait
}

// refusedByAll reports whether every instance that can run an operation has refused it. It is tried on
// each only once, so that it need not wait.
func (g *group) refusedByAll(o *operation) bool {
	if len(o.excluded) == 0 {
		return false
	}
	if p := g.primary(); p != nil && !o.excluded.Has(p.info.Name) {
		return false
	}
	if o.needsPrimary {
		return g.primary() != nil
	}
	for _, i := range g.instances {
		if i.usable() && !o.excluded.Has(i.info.Name) {
			return false
		}
	}
	return true
}

// replicaReachable reports whether a replica that shares the history of s can be reached for a read.
func (g *group) replicaReachable(now time.Time, o *operation, s staleness.Sample) bool {
	for _, i := range g.instances {
		if i.usable() && i.sharesHistory(s) && !g.isPrimary(i.info.Name) && g.r.canReach(now, i) &&
			!o.excluded.Has(i.info.Name) {
			return true
		}
	}
	return false
}

// startingUp reports whether the host has started so recently that it may not have read the list of
// instances yet, although other hosts have. Operations that they forward wait meanwhile: if this host
// answered that it can't reach the instance, they would try further hosts one after the other.
func (r *Relay) startingUp(now time.Time) bool { return now.Sub(r.startedAt) < discoveryPeriod }

// primaryCoversRead reports whether the primary can be reached and is known to have been the sole primary
// until o.asOf. The read has to reflect all commits before that time.
func (g *group) primaryCoversRead(now time.Time, o *operation) bool {
	p := g.primary()
	return p != nil && g.r.canReach(now, p) && p.acceptsNew(now) && !o.excluded.Has(p.info.Name) && !g.superseded() &&
		!g.solePrimaryUntil().Before(o.asOf)
}

const (
	// maxPrimaryWait is how long an operation waits for a primary to become available. If the estimate
	// is longer, the caller is told when to retry.
	maxPrimaryWait = 400 * time.Millisecond
	// promotionDuration is how long the platform takes for a promotion, with the status requests that
	// confirm the new primary, and failureDetectionTime how long the hosts take to detect that one is
	// needed.
	promotionDuration    = 1100 * time.Millisecond
	failureDetectionTime = 400 * time.Millisecond
)

// regionRetryAfter is the delay after which a caller may retry when no instance is in an allowed region:
// that changes only by an action of operators or with another primary.
const regionRetryAfter = 2 * time.Second

// estimatePrimaryWait estimates how long it takes until the group has an available primary.
func (g *group) estimatePrimaryWait(now time.Time) time.Duration {
	if !g.mayVerify(now) && g.primary() != nil && g.r.canReach(now, g.primary()) && !g.r.lease.StoreSilent(now) {
		// The registration has just ended, as that of each host does before a promotion.
		return shortRetryAfter
	}
	if _, _, confirmed := g.primaryState.Primary(); confirmed {
		return failureDetectionTime + promotionDuration
	}
	if left := promotionDuration - now.Sub(g.promotionKnownAt); left > 0 {
		return left
	}
	return shortRetryAfter
}
