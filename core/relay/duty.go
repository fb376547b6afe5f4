package relay

import (
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/statement"
)

// duty is this host's part in changes of primary.
type duty struct {
	// holds is set while this host is the one that gives orders.
	holds bool
	// doubts are what the other hosts can't reach, with when they said so.
	doubts map[fleet.Host]doubt
}

// doubt is what another host has told last. since is when it began to be heard: what it
// told after a silence is old.
type doubt struct {
	at, since time.Time
	// instances are those that it can't reach, reached those that it can although another
	// host can't.
	instances, reached fleet.Set[fleet.Instance]
}

// told reports whether the host has told its doubts lately.
func (d doubt) told(now time.Time) bool { return now.Sub(d.at) < reportFor }

// counts reports whether the host's word is to be heard on who can be reached. One that
// was cut off finds its way back to the instances only after it is heard again, and its
// doubts would replace a primary that all others reach.
func (d doubt) counts(now time.Time) bool {
	return d.told(now) && now.Sub(d.since) >= reportFor
}

const (
	// doubtAfter is how long an instance has to be silent, with a failed try to reach it,
	// before this host counts as unable to reach it.
	doubtAfter = 300 * time.Millisecond
	// reachedFor is how old the last word of an instance may be for this host to say that it
	// reaches it.
	reachedFor = 400 * time.Millisecond
	// reportFor is how long what a host has told of its doubts counts.
	reportFor = time.Second
	// surveyFor is how long the replicas get to tell their positions before an order: some
	// round trips across data centres.
	surveyFor = 30 * time.Millisecond
	// surveyLimit is when the question is put again, if none has answered.
	surveyLimit = 400 * time.Millisecond
)

// IsCoordinator reports whether this host is the one that gives orders.
func (r *Relay) IsCoordinator() bool { return r.duty.holds }

// SetCoordinator tells whether this host is the one that gives orders.
func (r *Relay) SetCoordinator(holds bool) {
	if holds == r.duty.holds {
		return
	}
	r.duty.holds = holds
	choice := "give up the duty"
	if holds {
		choice = "take the duty"
	}
	r.note(Event{Kind: EventLeader, Choice: choice, Reason: "the store's key for changes of primary"})
}

// Unreachable returns the instances that this host can't reach now, with for how long.
func (r *Relay) Unreachable() map[fleet.Instance]time.Duration {
	now := r.now()
	out := map[fleet.Instance]time.Duration{}
	for _, g := range r.groups {
		for _, i := range g.instances {
			if i.doubtful(now) && !i.gone {
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
			if now.Sub(i.lastHeard) < reachedFor && r.doubtedElsewhere(now, i.info.Name) {
				out = append(out, i.info.Name)
			}
		}
	}
	return out
}

func (r *Relay) doubtedElsewhere(now time.Time, n fleet.Instance) bool {
	for _, d := range r.duty.doubts {
		if d.told(now) && d.instances.Has(n) {
			return true
		}
	}
	return false
}

// AddReachability takes in what another host can't reach, and what it can although others can't.
// Who hears of a doubt and is a witness looks for itself.
func (r *Relay) AddReachability(from fleet.Host, is, reached []fleet.Instance) {
	now := r.now()
	if r.duty.doubts == nil {
		r.duty.doubts = map[fleet.Host]doubt{}
	}
	d := r.duty.doubts[from]
	if !d.told(now) {
		d.since = now
	}
	d.at, d.instances, d.reached = now, setOf(is), setOf(reached)
	r.duty.doubts[from] = d
	for _, n := range is {
		for _, g := range r.groups {
			i := g.instances[n]
			if i == nil || i.gone || now.Sub(i.lastHeard) <= wonderAfter || now.Sub(i.askedAt) <= wonderAfter {
				continue
			}
			if r.isProber(i) && !i.leavesProbeToHolder(now) {
				g.probe(now, i)
			}
		}
	}
}

// setOf returns a set, nil for none: hundreds of reports a second have nothing to doubt.
func setOf(is []fleet.Instance) fleet.Set[fleet.Instance] {
	if len(is) == 0 {
		return nil
	}
	return fleet.NewSet(is...)
}

func (i *instance) doubtful(now time.Time) bool {
	return i.failures > 0 && now.Sub(i.lastHeard) > doubtAfter && now.Sub(i.failing) > doubtAfter/4
}

// RecordRevision returns the revision of the newest record of an order that the host knows of.
func (r *Relay) RecordRevision() uint64 {
	var last uint64
	for _, g := range r.groups {
		last = max(last, g.belief.Record().Revision)
	}
	return last
}

// decide gives an order for the group if it needs one and this host has the duty.
//
// The replicas are asked for their positions first: what the chosen one lacks is lost,
// and what was heard of them last may be old.
func (g *group) decide(now time.Time) {
	if !g.r.duty.holds || !g.r.lease.RecordsCurrent(now) || now.Before(g.ordering) {
		g.surveyed = time.Time{}
		return
	}
	if i := g.instances[g.belief.DesignatedPrimary()]; i != nil && i.leads {
		if o, ok := g.belief.ConfirmingRequest(i.info.Name, i.term, g.given, now); ok {
			g.order(now, o)
			return
		}
	}
	if !g.belief.NeedsPromotion(g.situation(now)) {
		g.surveyed = time.Time{}
		return
	}
	if g.surveyed.IsZero() || now.Sub(g.surveyed) > surveyLimit {
		g.surveyed = now
	}
	for _, i := range g.instances {
		if i.usable() && i.toldAt.Before(g.surveyed) && now.Sub(i.askedAt) >= askAgain {
			g.question(now, i)
		}
	}
	if now.Sub(g.surveyed) < surveyFor {
		return
	}
	o, ok := g.belief.Decide(g.situation(now))
	if !ok {
		return
	}
	g.surveyed = time.Time{}
	g.order(now, o)
}

func (g *group) order(now time.Time, o leader.PromotionRequest) {
	g.given = time.Time{}
	g.ordering = now.Add(orderPause)
	o.Service = g.name
	g.r.note(Event{
		Kind: EventLeader, Service: g.name, Instance: o.Primary, Term: o.Term,
		Choice: "order a change of primary", Reason: string(o.Reason), RequiredPoint: g.instances[o.Primary].received,
	})
	g.r.cfg.RequestPromotion(o)
}

// orderPause keeps a host from giving a second order before the first one's record, or
// its failure, has come back.
const orderPause = time.Second

func (g *group) situation(now time.Time) leader.GroupStatus {
	s := leader.GroupStatus{Now: now, Since: g.unsettled}
	if g.belief.Record().Revision != 0 && g.changedAt.After(s.Since) {
		s.Since = g.changedAt
	}
	for _, i := range g.instances {
		m := leader.InstanceInfo{
			Name: i.info.Name, Leaving: i.info.Leaving || i.evacuated(), Gone: i.gone,
			Cold: i.isCold(now), OutsideRegion: g.outsideRegion(i),
			Reachable: i.failures == 0 && !i.toldAt.Before(g.surveyed), Received: i.received,
			Leads: i.leads, Term: i.term, UnreachableFor: now.Sub(i.doubted),
		}
		switch {
		case i.doubtful(now):
			m.UnreachableFrom++
		case now.Sub(i.lastHeard) < reachedFor:
			m.ReachableFrom++
		}
		for _, d := range g.r.duty.doubts {
			if d.counts(now) && d.instances.Has(i.info.Name) {
				m.UnreachableFrom++
			} else if d.counts(now) && d.reached.Has(i.info.Name) {
				m.ReachableFrom++
			}
		}
		if m.UnreachableFrom == 0 {
			i.doubted = now
			m.UnreachableFor = 0
		}
		s.Instances = append(s.Instances, m)
	}
	return s
}

// PromotionFinished takes in how an order has gone: given with success, or refused because the
// instance isn't running.
func (r *Relay) PromotionFinished(o leader.PromotionRequest, given, refused bool) {
	g := r.group(o.Service)
	if given {
		g.given = r.now()
	}
	if i := g.instances[o.Primary]; refused && i != nil {
		i.failed(r.now(), "the platform says that it isn't running")
	}
	if refused {
		g.ordering = time.Time{}
		g.changedAt = time.Time{}
		g.unsettled = time.Time{}
	}
}

// RequestStepDown has the former primary of an order stop, shortly before the new one leads:
// what it would still accept would be lost, as the new one has no time to receive it.
func (r *Relay) RequestStepDown(o leader.PromotionRequest) {
	g := r.group(o.Service)
	i := g.instances[o.Former]
	if i == nil || g.belief.Record().Primary != o.Primary {
		return
	}
	g.r.note(Event{
		Kind: EventLeader, Service: g.name, Instance: o.Former, Term: o.Term,
		Choice: "step down", Reason: "its successor is about to lead",
	})
	a, ok := g.anyAccount()
	if p, over := r.holder(i); over && ok && p.Send != nil {
		i.connVia(p, a).stepDown(o.Term, nil)
		return
	}
	g.inquire(o.Former, o.Term, func(statement.Answer) {})
}
