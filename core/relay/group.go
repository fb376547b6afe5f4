package relay

import (
	"slices"
	"time"

	"skylarkdeal/core/admit"
	"skylarkdeal/core/backpressure"
	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/pacing"
	"skylarkdeal/core/retrybudget"
	"skylarkdeal/core/staleness"
	"skylarkdeal/core/statement"
)

// group holds the instances of one service, and the operations that wait for them or run on them.
type group struct {
	r       *Relay
	name    fleet.Service
	service catalog.Service
	// regionLimits are the allowed regions of those databases of the service that are restricted to some.
	regionLimits   []catalog.AllowedRegions
	instances      map[fleet.Instance]*instance
	primaryState   leader.PrimaryState
	pendingAnswers leader.PendingAnswers
	samples        staleness.Samples

	queue   admit.Queue
	waiting map[uint64]*operation
	running map[uint64]*operation
	// pacer chooses the retry times of refusals for lack of capacity.
	pacer pacing.Pacer
	// retryBudget bounds the retries of reads that may have run.
	retryBudget retrybudget.Budget
	// load is the load of the queue as of loadAt.
	load   backpressure.Load
	loadAt time.Time
	// pendingVerification holds the operations whose answers are pending verification.
	pendingVerification map[uint64]*operation
	// peerRequests are status requests of other hosts that wait for a connection.
	peerRequests []peerStatusRequest
	// dispatching prevents recursive dispatch.
	dispatching bool
	// promotionKnownAt is when the last promotion record became known.
	promotionKnownAt time.Time
	// primaryConfirmedAt is when the primary was last confirmed.
	primaryConfirmedAt time.Time
	// promotionNotBefore is the earliest time at which the last promotion can have taken effect, as far
	// as the lease told when its record became known.
	promotionNotBefore time.Time
	// solePrimaryWanted is the latest time up to which an operation requires a sole primary and which
	// solePrimaryUntil hasn't reached yet, zero if none does.
	solePrimaryWanted time.Time
	// sampledAt is when the last sample was added.
	sampledAt time.Time
	// unverifiedSample is a sample of the primary that is pending verification by the other instances, as
	// the lease doesn't verify it.
	unverifiedSample staleness.Sample
	// primaryAskedAt is when the designated primary was last asked whether it is the primary.
	primaryAskedAt time.Time
	// primaryAvailableAt is when the primary was last available.
	primaryAvailableAt time.Time
	// unconfirmedSince is since when no primary is confirmed.
	unconfirmedSince time.Time
	// positionsAskedAt is when the replicas were asked for their log positions, nextPromotionAt the
	// earliest time of the next promotion request.
	positionsAskedAt, nextPromotionAt time.Time
	// promotionPendingUntil is until when the outcome of a promotion request of this host is waited for, zero if
	// there is none.
	promotionPendingUntil time.Time
	// ownRequest is the last promotion that this host has requested since it is the coordinator, zero if there is none.
	ownRequest leader.PromotionRequest
	// promotionAcceptedAt is when the last promotion request of this host was accepted.
	promotionAcceptedAt time.Time
	// active is set while the group is ticked, usedAt is when an operation or a session last used it.
	active bool
	usedAt time.Time
	// lastList is the group's part of the last list of instances. listed is set once it had one, followedBefore is
	// for how long the list had been followed then.
	lastList       []catalog.Instance
	listed         bool
	followedBefore time.Duration
	// replicaReadAt is when a replica was last sought for a read.
	replicaReadAt time.Time
	outliers      outliers
	// holds is the state of holding instances back before a promotion, departed are former instances whose logs may
	// still matter for one.
	holds    holds
	departed []departed
}

func newGroup(r *Relay, s fleet.Service) *group {
	return &group{
		r: r, name: s, pacer: newPacer(r.cfg.Host), instances: map[fleet.Instance]*instance{},
		queue:   admit.Queue{Limits: queueLimits},
		waiting: map[uint64]*operation{}, running: map[uint64]*operation{},
		pendingVerification: map[uint64]*operation{}, unconfirmedSince: r.now(),
	}
}

// removeAfter is how long an instance may be missing from the list before it counts as removed. The
// store drops instances that couldn't reach it for a while, and they return within 2 s.
const removeAfter = 2500 * time.Millisecond

// setInstances updates the instances of the group from a list that lacks no change as of readAt.
func (g *group) setInstances(listed []catalog.Instance, readAt time.Time) {
	if g.isUnchanged(listed) {
		return
	}
	now := g.r.now()
	g.lastList = listed
	if !g.listed && len(listed) > 0 {
		g.listed, g.followedBefore = true, g.r.lists.followed
	}
	g.r.servedStale = true
	if g.r.duty.active {
		g.wake()
	}
	g.forgetRemoved(now)
	for _, in := range listed {
		i := g.instances[in.Name]
		if i == nil || i.info.Address != in.Address || i.info.Started != in.Started {
			if i != nil {
				g.removeInstance(i, "its address has changed or it has restarted")
				// Its last status precedes the change.
				g.primaryState.AddRefusal(in.Name)
			}
			next := &instance{g: g, info: in, lastHeard: now, suspectedSince: now}
			if i != nil {
				next.outlier = i.outlier.Restarted()
			}
			i = next
			g.instances[in.Name] = i
			g.r.instances[in.Name] = i
			g.logInstance(i, "use", "it is listed")
		}
		if i.removed && !i.addressReused {
			g.returned(in.Name)
		}
		if in.Leaving && !i.info.Leaving {
			g.logInstance(i, "no new work", "it is leaving")
		}
		i.info, i.unlistedSince, i.removed = in, time.Time{}, i.addressReused
		i.coldUntil = time.Time{}
		if in.Cold > 0 {
			i.coldUntil = readAt.Add(in.Cold)
		}
	}
	for _, i := range g.instances {
		if slices.ContainsFunc(listed, func(in catalog.Instance) bool { return in.Name == i.info.Name }) {
			continue
		}
		if i.unlistedSince.IsZero() {
			i.unlistedSince = now
		}
		if now.Sub(i.unlistedSince) >= removeAfter {
			g.removeInstance(i, "it is no longer listed")
		}
	}
	g.setQueueSlots(now)
	g.primaryState.SetInstances(listed)
	g.dispatch()
}

// isUnchanged reports whether a list changes nothing: it is the last one, which lacks no instance of the group and
// has none that is cold for some time from its reading.
func (g *group) isUnchanged(listed []catalog.Instance) bool {
	return len(listed) == len(g.instances) && slices.Equal(listed, g.lastList) &&
		!slices.ContainsFunc(listed, func(i catalog.Instance) bool { return i.Cold > 0 })
}

// setQueueSlots bases the queue's expected waits on how many statements of this host the instances run at a time.
// Writes and the operations of other hosts run on one of them, reads on the primary and on the replicas that
// don't lag.
func (g *group) setQueueSlots(now time.Time) {
	l := queueLimits
	for _, i := range g.instances {
		if i.removed {
			continue
		}
		n := i.runsAtATime(now)
		if g.isPrimary(i.info.Name) || i.lagCount < transientLags {
			l.Slots += n
		}
		if l.WriteSlots == 0 || g.isPrimary(i.info.Name) {
			l.WriteSlots = n
		}
	}
	g.queue.Limits = l
}

// logInstance logs a decision on an instance.
func (g *group) logInstance(i *instance, choice, reason string) {
	g.r.logEvent(Event{
		Kind: EventInstance, Service: g.name, Instance: i.info.Name, Choice: choice, Reason: reason,
	})
}

// removeInstance marks an instance as removed. Operations that run on it may finish.
func (g *group) removeInstance(i *instance, reason string) {
	if i.removed {
		return
	}
	i.removed = true
	g.r.servedStale = true
	g.depart(i)
	g.logInstance(i, "stop using", reason)
}

// forgetRemoved deletes instances that have been missing from the list for longer than keepRemoved.
func (g *group) forgetRemoved(now time.Time) {
	for n, i := range g.instances {
		if i.removed && len(i.conns) == 0 && !i.unlistedSince.IsZero() && now.Sub(i.unlistedSince) > keepRemoved {
			delete(g.instances, n)
			if g.r.instances[n] == i {
				delete(g.r.instances, n)
			}
		}
	}
}

// hasInstances reports whether any instance is neither removed nor leaving. Evacuated instances count:
// an evacuation applies to all hosts, so that callers gain nothing on another one.
func (g *group) hasInstances() bool {
	for _, i := range g.instances {
		if !i.removed && !i.info.Leaving {
			return true
		}
	}
	return false
}

// isPrimary reports whether an instance is the confirmed primary, or the former one while it may still lead.
func (g *group) isPrimary(n fleet.Instance) bool {
	if p, _, ok := g.primaryState.Primary(); ok && p == n {
		return true
	}
	f, _, ok := g.primaryState.FormerPrimary()
	return ok && f == n
}

// primary returns the instance that takes writes now, nil if there is none. While a promotion is in
// progress this is the former primary, until it no longer leads.
func (g *group) primary() *instance {
	if p, _, ok := g.primaryState.Primary(); ok {
		return g.instances[p]
	}
	if f, _, ok := g.primaryState.FormerPrimary(); ok {
		return g.instances[f]
	}
	return nil
}

// primaryTerm returns the term of the instance that primary returns.
func (g *group) primaryTerm() fleet.Term {
	if _, t, ok := g.primaryState.Primary(); ok {
		return t
	}
	_, t, _ := g.primaryState.FormerPrimary()
	return t
}

// handleRefusal updates the state of an instance after it refused an operation.
func (g *group) handleRefusal(c *Conn, code statement.Code, o *operation) {
	switch code {
	case statement.CodeUnreachable:
		if c.via != "" {
			c.inst.blockHost(c.via)
		}
	case statement.CodeLagging:
		c.inst.addLag(g.r.now())
	case statement.CodeReadOnly:
		if g.isPrimary(c.Instance) {
			g.r.logEvent(Event{
				Kind: EventLeader, Service: g.name, Instance: c.Instance, ID: o.q.ID,
				Choice: "no longer the primary", Reason: "it refused a write", Code: code,
			})
		}
		g.primaryState.AddRefusal(c.Instance)
		g.r.cfg.RefreshRecords()
	default:
	}
}

// anyAccount returns an account for a connection of the host's own: that of a waiting operation, else the
// first of the catalog.
func (g *group) anyAccount() (fleet.Account, bool) {
	for _, o := range g.waiting {
		return o.s.account, true
	}
	return g.r.ownAccount, g.r.ownAccount != ""
}
