package relay

import (
	"time"

	"skylarkdeal/core/staleness"
)

// unavailableReason says why the group's primary can't answer now; nothing if it can. An answer that
// can't be proved is of no use to a caller: a write would be left in doubt, where one that
// isn't sent can be refused truly and run elsewhere.
func (g *group) unavailableReason(now time.Time) string {
	p := g.primary()
	switch {
	case p == nil:
		return "the group has no primary now"
	case !g.r.reaches(now, p):
		return "the primary can't be reached"
	case !p.open(now):
		return "the primary's data centre is evacuated"
	case g.superseded():
		return "another instance says that it leads a later term"
	case g.r.lease.RecordsCurrent(now):
		return ""
	}
	for _, n := range g.possiblePrimaries(p.info.Name) {
		if i := g.instances[n]; i != nil && !g.r.reaches(now, i) {
			return "neither the store nor all instances can be asked whether the primary still leads"
		}
	}
	return ""
}

// superseded reports whether an instance has said that it is in a later term than the primary
// that is used: what is sent there would be in doubt.
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

// refusalReason says why an operation can't be served in time, and when to come back. Whoever
// is told at once can come back in time, or to a host that can.
func (g *group) refusalReason(now time.Time, o *operation) (string, time.Duration) {
	if n := o.s.instance; n != "" {
		i := g.instances[n]
		switch {
		case i == nil && g.r.startingUp(now):
			return "", 0
		case i == nil || i.removed || i.suspected(now):
			return "this host can't reach the instance", shortRetryAfter
		case !i.open(now):
			return "the instance's data centre is evacuated", shortRetryAfter
		}
		return "", 0
	}
	if !g.atHome(o) {
		return "no instance that could run it stands in a region that it may enter", regionRetryAfter
	}
	if g.refusedByAll(o) {
		return "every instance that could run it has turned it away", shortRetryAfter
	}
	reason := g.unavailableReason(now)
	if reason == "" {
		return "", 0
	}
	if !o.lead {
		if s, ok := g.needs(o); ok && g.replicaReachable(now, o, s) {
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

// refusedByAll reports whether an operation has been turned away by all that can run it. To
// wait would then be in vain: it is tried on each only once.
func (g *group) refusedByAll(o *operation) bool {
	if len(o.avoid) == 0 {
		return false
	}
	if p := g.primary(); p != nil && !o.avoid.Has(p.info.Name) {
		return false
	}
	if o.lead {
		return g.primary() != nil
	}
	for _, i := range g.instances {
		if i.usable() && !o.avoid.Has(i.info.Name) {
			return false
		}
	}
	return true
}

// replicaReachable reports whether any instance but the primary can be reached for a read that needs s.
func (g *group) replicaReachable(now time.Time, o *operation, s staleness.Sample) bool {
	for _, i := range g.instances {
		if i.usable() && i.sharesHistory(s) && !g.isPrimary(i.info.Name) && g.r.reaches(now, i) && !o.avoid.Has(i.info.Name) {
			return true
		}
	}
	return false
}

// startingUp reports whether the host has just started and may not have read which instances there are,
// although others know. What they send it is worth a moment's wait: told that this host can't reach
// the instance, they would turn to one another.
func (r *Relay) startingUp(now time.Time) bool { return now.Sub(r.began) < acquaintance }

// primaryCoversRead reports whether the primary can be reached and is known to have led up to the moment whose
// commits a read has to show.
func (g *group) primaryCoversRead(now time.Time, o *operation) bool {
	p := g.primary()
	return p != nil && g.r.reaches(now, p) && p.open(now) && !o.avoid.Has(p.info.Name) && !g.superseded() &&
		!g.solePrimaryUntil().Before(o.age)
}

const (
	// maxPrimaryWait is how long a caller is held for a primary that is to come; beyond it
	// the caller is told when to come back.
	maxPrimaryWait = 400 * time.Millisecond
	// promotionDuration is what the platform takes to carry out an order, with the questions
	// that settle it, and noticeTime what the hosts take to see that one is needed.
	promotionDuration    = 1100 * time.Millisecond
	failureDetectionTime = 400 * time.Millisecond
)

// regionRetryAfter is when to come back to a service that has no instance in a region which is allowed: it
// takes a change by operators, or of the primary.
const regionRetryAfter = 2 * time.Second

// estimatePrimaryWait guesses when the group will have a primary that can answer.
func (g *group) estimatePrimaryWait(now time.Time) time.Duration {
	if _, _, settled := g.primaryState.Primary(); settled {
		return failureDetectionTime + promotionDuration
	}
	if left := promotionDuration - now.Sub(g.promotionKnownAt); left > 0 {
		return left
	}
	return shortRetryAfter
}
