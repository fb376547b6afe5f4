package relay

import (
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/statement"
)

// coordination is this host's part in changes of primary.
type coordination struct {
	// active is set while this host is the one that gives orders.
	active bool
	// reports are what the other hosts can't reach, with when they said so.
	reports map[fleet.Host]reachabilityReport
}

// reachabilityReport is what another host has told last. since is when it began to be heard: what it
// told after a silence is old.
type reachabilityReport struct {
	receivedAt, continuousSince time.Time
	// unreachable are those that it can't reach, reachable those that it can although another
	// host can't.
	unreachable, reachable fleet.Set[fleet.Instance]
}

// recent reports whether the host has recent its doubts lately.
func (d reachabilityReport) recent(now time.Time) bool { return now.Sub(d.receivedAt) < reportValidity }

// trusted reports whether the host's word is to be heard on who can be reached. One that
// was cut off finds its way back to the instances only after it is heard again, and its
// doubts would replace a primary that all others reach.
func (d reachabilityReport) trusted(now time.Time) bool {
	return d.recent(now) && now.Sub(d.continuousSince) >= reportValidity
}

const (
	// suspectAfter is how long an instance has to be silent, with a failed try to reach it,
	// before this host counts as unable to reach it.
	suspectAfter = 300 * time.Millisecond
	// reachableFor is how old the last word of an instance may be for this host to say that it
	// reaches it.
	reachableFor = 400 * time.Millisecond
	// reportValidity is how long what a host has told of its doubts counts.
	reportValidity = time.Second
	// positionRequestWait is how long the replicas get to tell their positions before an order: some
	// round trips across data centres.
	positionRequestWait = 30 * time.Millisecond
	// positionRequestRetry is when the question is put again, if none has answered.
	positionRequestRetry = 400 * time.Millisecond
)

// IsCoordinator reports whether this host is the one that gives orders.
func (r *Relay) IsCoordinator() bool { return r.duty.active }

// SetCoordinator tells whether this host is the one that gives orders.
func (r *Relay) SetCoordinator(active bool) {
	if active == r.duty.active {
		return
	}
	r.duty.active = active
	choice := "give up the duty"
	if active {
		choice = "take the duty"
	}
	r.logEvent(Event{Kind: EventLeader, Choice: choice, Reason: "the store's key for changes of primary"})
}

// Unreachable returns the instances that this host can't reach now, with for how long.
func (r *Relay) Unreachable() map[fleet.Instance]time.Duration {
	now := r.now()
	out := map[fleet.Instance]time.Duration{}
	for _, g := range r.groups {
		for _, i := range g.instances {
			if i.suspected(now) && !i.removed {
				out[i.info.Name] = now.Sub(i.lastHeard)
			}
		}
	}
	return out
}

// Reachable returns the instances that another host doubts and this one has heard lately, by
// connections of its own.
func (r *Relay) Reachable() []fleet.Instance {
	now := r.now()
	var out []fleet.Instance
	for _, g := range r.groups {
		for _, i := range g.instances {
			if now.Sub(i.lastHeard) < reachableFor && r.suspectedByOther(now, i.info.Name) {
				out = append(out, i.info.Name)
			}
		}
	}
	return out
}

func (r *Relay) suspectedByOther(now time.Time, n fleet.Instance) bool {
	for _, d := range r.duty.reports {
		if d.recent(now) && d.unreachable.Has(n) {
			return true
		}
	}
	return false
}

// AddReachability takes in what another host can't reach, and what it can although others can't.
// Who hears of a doubt and is a witness looks for itself.
func (r *Relay) AddReachability(from fleet.Host, unreachable, reachable []fleet.Instance) {
	now := r.now()
	if r.duty.reports == nil {
		r.duty.reports = map[fleet.Host]reachabilityReport{}
	}
	d := r.duty.reports[from]
	if !d.recent(now) {
		d.continuousSince = now
	}
	d.receivedAt, d.unreachable, d.reachable = now, setOf(unreachable), setOf(reachable)
	r.duty.reports[from] = d
	for _, n := range unreachable {
		for _, g := range r.groups {
			i := g.instances[n]
			if i == nil || i.removed || now.Sub(i.lastHeard) <= probeAfter || now.Sub(i.askedAt) <= probeAfter {
				continue
			}
			if r.witness(i) && !i.spared(now) {
				g.probe(now, i)
			}
		}
	}
}

// setOf returns a set, nil for none: hundreds of reports a second have nothing to doubt.
func setOf(instances []fleet.Instance) fleet.Set[fleet.Instance] {
	if len(instances) == 0 {
		return nil
	}
	return fleet.NewSet(instances...)
}

func (i *instance) suspected(now time.Time) bool {
	return i.failures > 0 && now.Sub(i.lastHeard) > suspectAfter && now.Sub(i.failingSince) > suspectAfter/4
}

// RecordRevision returns the revision of the newest record of an order that the host knows of.
func (r *Relay) RecordRevision() uint64 {
	var last uint64
	for _, g := range r.groups {
		last = max(last, g.primaryState.Record().Revision)
	}
	return last
}

// decidePromotion gives an order for the group if it needs one and this host has the duty.
//
// The replicas are asked for their positions first: what the chosen one lacks is lost,
// and what was heard of them last may be old.
func (g *group) decidePromotion(now time.Time) {
	if !g.r.duty.active || !g.r.lease.RecordsCurrent(now) || now.Before(g.nextPromotionAt) {
		g.positionsAskedAt = time.Time{}
		return
	}
	if i := g.instances[g.primaryState.DesignatedPrimary()]; i != nil && i.leads {
		if o, ok := g.primaryState.ConfirmingRequest(i.info.Name, i.term, g.promotionAcceptedAt, now); ok {
			g.requestPromotion(now, o)
			return
		}
	}
	if !g.primaryState.NeedsPromotion(g.groupStatus(now)) {
		g.positionsAskedAt = time.Time{}
		return
	}
	if g.positionsAskedAt.IsZero() || now.Sub(g.positionsAskedAt) > positionRequestRetry {
		g.positionsAskedAt = now
	}
	for _, i := range g.instances {
		if i.usable() && i.statusAt.Before(g.positionsAskedAt) && now.Sub(i.askedAt) >= statusRequestInterval {
			g.requestStatus(now, i)
		}
	}
	if now.Sub(g.positionsAskedAt) < positionRequestWait {
		return
	}
	o, ok := g.primaryState.Decide(g.groupStatus(now))
	if !ok {
		return
	}
	g.positionsAskedAt = time.Time{}
	g.requestPromotion(now, o)
}

func (g *group) requestPromotion(now time.Time, o leader.PromotionRequest) {
	g.promotionAcceptedAt = time.Time{}
	g.nextPromotionAt = now.Add(promotionRequestPause)
	o.Service = g.name
	g.r.logEvent(Event{
		Kind: EventLeader, Service: g.name, Instance: o.Primary, Term: o.Term,
		Choice: "order a change of primary", Reason: string(o.Reason), RequiredPoint: g.instances[o.Primary].received,
	})
	g.r.cfg.RequestPromotion(o)
}

// promotionRequestPause keeps a host from giving a second order before the first one's record, or
// its failure, has come back.
const promotionRequestPause = time.Second

func (g *group) groupStatus(now time.Time) leader.GroupStatus {
	s := leader.GroupStatus{Now: now, Since: g.unconfirmedSince}
	if g.primaryState.Record().Revision != 0 && g.promotionKnownAt.After(s.Since) {
		s.Since = g.promotionKnownAt
	}
	for _, i := range g.instances {
		m := leader.InstanceInfo{
			Name: i.info.Name, Leaving: i.info.Leaving || i.evacuated(), Gone: i.removed,
			Cold: i.isCold(now), OutsideRegion: g.abroad(i),
			Reachable: i.failures == 0 && !i.statusAt.Before(g.positionsAskedAt), Received: i.received,
			Leads: i.leads, Term: i.term, UnreachableFor: now.Sub(i.suspectedSince),
		}
		switch {
		case i.suspected(now):
			m.UnreachableFrom++
		case now.Sub(i.lastHeard) < reachableFor:
			m.ReachableFrom++
		}
		for _, d := range g.r.duty.reports {
			if d.trusted(now) && d.unreachable.Has(i.info.Name) {
				m.UnreachableFrom++
			} else if d.trusted(now) && d.reachable.Has(i.info.Name) {
				m.ReachableFrom++
			}
		}
		if m.UnreachableFrom == 0 {
			i.suspectedSince = now
			m.UnreachableFor = 0
		}
		s.Instances = append(s.Instances, m)
	}
	return s
}

// PromotionFinished takes in how an order has gone: given with success, or refused because the
// instance isn't running.
func (r *Relay) PromotionFinished(o leader.PromotionRequest, accepted, refused bool) {
	g := r.group(o.Service)
	if accepted {
		g.promotionAcceptedAt = r.now()
	}
	if i := g.instances[o.Primary]; refused && i != nil {
		i.addFailure(r.now(), "the platform says that it isn't running")
	}
	if refused {
		g.nextPromotionAt = time.Time{}
		g.promotionKnownAt = time.Time{}
		g.unconfirmedSince = time.Time{}
	}
}

// RequestStepDown has the former primary of an order stop, shortly before the new one leads:
// what it would still accept would be lost, as the new one has no time to receive it.
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
		i.over(p, a).stepDown(o.Term, nil)
		return
	}
	g.requestForPeer(o.Former, o.Term, func(statement.Answer) {})
}
