package relay

import (
	"time"

	"skylarkdeal/core/staleness"
)

// able says why the group's primary can't answer now; nothing if it can. An answer that
// can't be proved is of no use to a caller: a write would be left in doubt, where one that
// isn't sent can be refused truly and run elsewhere.
func (g *group) able(now time.Time) string {
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
	}
	for _, n := range g.others(p.info.Name) {
		if i := g.instances[n]; i != nil && !g.r.canReach(now, i) {
			return "neither the store nor all instances can be asked whether the primary still leads"
		}
	}
	return ""
}

// superseded reports whether an instance has said that it is in a later term than the primary
// that is used: what is sent there would be in doubt.
func (g *group) superseded() bool {
	_, t, ok := g.belief.Primary()
	if !ok {
		return false
	}
	for _, i := range g.instances {
		if i.term > t && !i.gone {
			return true
		}
	}
	return false
}

// hopeless says why an operation can't be served in time, and when to come back. Whoever
// is told at once can come back in time, or to a host that can.
func (g *group) hopeless(now time.Time, o *operation) (string, time.Duration) {
	if n := o.s.boundInstance; n != "" {
		i := g.instances[n]
		switch {
		case i == nil && g.r.meeting(now):
			return "", 0
		case i == nil || i.gone || i.doubtful(now):
			return "this host can't reach the instance", retrySoon
		case !i.acceptsNew(now):
			return "the instance's data centre is evacuated", retrySoon
		}
		return "", 0
	}
	if !g.hasAllowedInstance(o) {
		return "no instance that could run it stands in a region that it may enter", abroadRetry
	}
	if g.exhausted(o) {
		return "every instance that could run it has turned it away", retrySoon
	}
	why := g.able(now)
	if why == "" {
		return "", 0
	}
	if !o.needsPrimary {
		if s, ok := g.requiredSample(o); ok && g.readable(now, o, s) {
			return "", 0
		}
		if g.recent(now, o) {
			return "", 0
		}
	}
	wait := g.untilPrimary(now)
	if wait <= worthWaiting && now.Add(wait).Before(o.deadline) {
		return "", 0
	}
	return why, wait
}

// exhausted reports whether an operation has been turned away by all that can run it. To
// wait would then be in vain: it is tried on each only once.
func (g *group) exhausted(o *operation) bool {
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

// readable reports whether any instance but the primary can be reached for a read that needs s.
func (g *group) readable(now time.Time, o *operation, s staleness.Sample) bool {
	for _, i := range g.instances {
		if i.usable() && i.joined(s) && !g.leads(i.info.Name) && g.r.canReach(now, i) && !o.excluded.Has(i.info.Name) {
			return true
		}
	}
	return false
}

// meeting reports whether the host has just started and may not have read which instances there are,
// although others know. What they send it is worth a moment's wait: told that this host can't reach
// the instance, they would turn to one another.
func (r *Relay) meeting(now time.Time) bool { return now.Sub(r.startedAt) < discoveryPeriod }

// recent reports whether the primary can be reached and is known to have led up to the moment whose
// commits a read has to show.
func (g *group) recent(now time.Time, o *operation) bool {
	p := g.primary()
	return p != nil && g.r.canReach(now, p) && p.acceptsNew(now) && !o.excluded.Has(p.info.Name) && !g.superseded() &&
		!g.sole().Before(o.asOf)
}

const (
	// worthWaiting is how long a caller is held for a primary that is to come; beyond it
	// the caller is told when to come back.
	worthWaiting = 400 * time.Millisecond
	// changeTime is what the platform takes to carry out an order, with the questions
	// that settle it, and noticeTime what the hosts take to see that one is needed.
	changeTime = 1100 * time.Millisecond
	noticeTime = 400 * time.Millisecond
)

// abroadRetry is when to come back to a service that has no instance in a region which is allowed: it
// takes a change by operators, or of the primary.
const abroadRetry = 2 * time.Second

// untilPrimary guesses when the group will have a primary that can answer.
func (g *group) untilPrimary(now time.Time) time.Duration {
	if _, _, settled := g.belief.Primary(); settled {
		return noticeTime + changeTime
	}
	if left := changeTime - now.Sub(g.changedAt); left > 0 {
		return left
	}
	return retrySoon
}
