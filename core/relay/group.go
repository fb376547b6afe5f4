package relay

import (
	"slices"
	"time"

	"skylarkdeal/core/admit"
	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/staleness"
	"skylarkdeal/core/statement"
)

// group is one service's instances with what waits for them and runs on them.
type group struct {
	r       *Relay
	name    fleet.Service
	service catalog.Service
	// regionLimits are the regions of the service's databases that may not be served everywhere.
	regionLimits   []catalog.AllowedRegions
	instances      map[fleet.Instance]*instance
	primaryState   leader.PrimaryState
	pendingAnswers leader.PendingAnswers
	samples        staleness.Samples

	queue   admit.Queue
	waiting map[uint64]*operation
	running map[uint64]*operation
	// pendingVerification are the answers that wait for their proof.
	pendingVerification map[uint64]*operation
	// peerRequests are other hosts' questions that wait for a connection.
	peerRequests []peerStatusRequest
	// dispatching keeps pump from calling itself.
	dispatching bool
	// promotionKnownAt is when the last order became known, primaryHeardAt when the primary last
	// answered.
	promotionKnownAt, primaryHeardAt time.Time
	// primaryConfirmedAt is when the primary was last settled.
	primaryConfirmedAt time.Time
	// promotionNotBefore is until when the last order can't have taken effect, as far as was known when
	// it became known.
	promotionNotBefore time.Time
	// solePrimaryWanted is the latest moment up to which an operation needs the primary to have led alone,
	// that isn't known to have.
	solePrimaryWanted time.Time
	// sampledAt is when the last point of the primary was taken in.
	sampledAt time.Time
	// unverifiedSample is a point of the primary that waits to be proved, as the store can't prove it.
	unverifiedSample staleness.Sample
	// primaryAskedAt is when the primary was last asked whether it is one.
	primaryAskedAt time.Time
	// primaryAvailableAt is when the primary could last answer.
	primaryAvailableAt time.Time
	// unconfirmedSince is since when no primary is settled.
	unconfirmedSince time.Time
	// positionsAskedAt is when the replicas were asked for an order, nextPromotionAt until when another
	// one has to wait.
	positionsAskedAt, nextPromotionAt time.Time
	// promotionAcceptedAt is when the last order of this host was answered with success.
	promotionAcceptedAt time.Time
	// listReadAt is when the reading of the list of instances that is in use was begun.
	listReadAt time.Time
	// replicaReadAt is when a read was last looked for a replica.
	replicaReadAt time.Time
}

func newGroup(r *Relay, s fleet.Service) *group {
	return &group{
		r: r, name: s, instances: map[fleet.Instance]*instance{},
		queue:   admit.Queue{Limits: queueLimits},
		waiting: map[uint64]*operation{}, running: map[uint64]*operation{},
		pendingVerification: map[uint64]*operation{}, unconfirmedSince: r.now(),
	}
}

// removeAfter is how long an instance may be off the list before it counts as gone: the
// store drops those that couldn't reach it for a while, and they are back within 2 s.
const removeAfter = 2500 * time.Millisecond

// setInstances takes in the instances of the group as the list has them.
func (g *group) setInstances(listed []catalog.Instance, readAt time.Time) {
	now := g.r.now()
	g.listReadAt = readAt
	g.forgetRemoved(now)
	for _, in := range listed {
		i := g.instances[in.Name]
		if i == nil || i.info.Address != in.Address || i.info.Started != in.Started {
			if i != nil {
				g.removeInstance(i, "it has another address now, or has started anew")
				// What it has said of itself was said before that.
				g.primaryState.AddRefusal(in.Name)
			}
			i = &instance{g: g, info: in, lastHeard: now, suspectedSince: now}
			g.instances[in.Name] = i
			g.logInstance(i, "use", "it is on the list")
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
			g.removeInstance(i, "it is off the list")
		}
	}
	g.primaryState.SetInstances(listed)
	g.pump()
}

func (g *group) logInstance(i *instance, choice, reason string) {
	g.r.logEvent(Event{
		Kind: EventInstance, Service: g.name, Instance: i.info.Name, Choice: choice, Reason: reason,
	})
}

// removeInstance gives up an instance; what runs on it may end.
func (g *group) removeInstance(i *instance, reason string) {
	if i.removed {
		return
	}
	i.removed = true
	g.logInstance(i, "give up", reason)
}

// forgetRemoved drops what has been gone for long.
func (g *group) forgetRemoved(now time.Time) {
	for n, i := range g.instances {
		if i.removed && len(i.conns) == 0 && !i.unlistedSince.IsZero() && now.Sub(i.unlistedSince) > keepRemoved {
			delete(g.instances, n)
		}
	}
}

// hasInstances reports whether any instance is there. An evacuation is no reason to send callers to
// other hosts, as it holds for all.
func (g *group) hasInstances() bool {
	for _, i := range g.instances {
		if !i.removed && !i.info.Leaving {
			return true
		}
	}
	return false
}

// isPrimary reports whether the group's answers of an instance are a primary's.
func (g *group) isPrimary(n fleet.Instance) bool {
	if p, _, ok := g.primaryState.Primary(); ok && p == n {
		return true
	}
	f, _, ok := g.primaryState.FormerPrimary()
	return ok && f == n
}

// primary returns the instance that takes writes now. While an order is on its way the
// former primary goes on, as long as it does.
func (g *group) primary() *instance {
	if p, _, ok := g.primaryState.Primary(); ok {
		return g.instances[p]
	}
	if f, _, ok := g.primaryState.FormerPrimary(); ok {
		return g.instances[f]
	}
	return nil
}

// handleRefusal takes in what a refusal tells of an instance.
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
				Choice: "not the primary any more", Reason: "it refuses to write", Code: code,
			})
		}
		g.primaryState.AddRefusal(c.Instance)
		g.r.cfg.RefreshRecords()
	default:
	}
}

// anyAccount returns an account under which the host may connect.
func (g *group) anyAccount() (fleet.Account, bool) {
	for _, o := range g.waiting {
		return o.s.account, true
	}
	if g.r.catalog == nil {
		return "", false
	}
	var first fleet.Account
	for a := range g.r.catalog.Accounts {
		if first == "" || a < first {
			first = a
		}
	}
	return first, first != ""
}
