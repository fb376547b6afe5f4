package relay

import (
	"slices"
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
)

// departed is an instance that is no longer listed, or has started anew, and whose log may be the only one besides
// the primary's with an acknowledged commit.
//
// Guards against a promotion that loses such a commit once the instance has gone from the list: that it is gone
// doesn't show that another one has its log.
type departed struct {
	name    fleet.Instance
	address string
	// term and received are what it last reported.
	term     fleet.Term
	received fleet.LogPosition
	at       time.Time
	// caughtUpAt is a position of the primary since then. Replicas that have it have all that was acknowledged
	// before.
	caughtUpAt fleet.Option[fleet.LogPosition]
}

const (
	// departedStatusInterval is the least interval at which the positions of the other instances are asked for. It
	// grows with the time since the departure, as every host asks.
	departedStatusInterval = 400 * time.Millisecond
	departedAgeDivisor     = 4
	// maxDeparted bounds the departed instances of a group: more than any group replaces while its primary or a
	// replica can't be reached.
	maxDeparted = 32
)

// depart records that an instance has gone, in a group whose replicas confirm commits.
func (g *group) depart(i *instance) {
	if g.service.SyncReplicas == 0 {
		return
	}
	g.departed = slices.DeleteFunc(g.departed, func(d departed) bool { return d.name == i.info.Name })
	if len(g.departed) >= maxDeparted {
		g.logInstance(i, "forget a departed instance", "too many have gone since the replicas had the primary's log")
		g.r.counters.DepartedForgotten++
		g.departed = g.departed[1:]
	}
	g.departed = append(g.departed, departed{
		name: i.info.Name, address: i.info.Address, term: i.term, received: i.received, at: g.r.now(),
	})
	g.wake()
}

// returned records that an instance is listed again.
func (g *group) returned(name fleet.Instance) {
	g.departed = slices.DeleteFunc(g.departed, func(d departed) bool { return d.name == name })
}

// settleDeparted forgets the departed instances whose acknowledged commits all listed replicas have, and asks for the
// positions that show it.
func (g *group) settleDeparted(now time.Time) {
	if len(g.departed) == 0 {
		return
	}
	if g.service.SyncReplicas == 0 {
		g.departed = nil
		return
	}
	p := g.instances[g.primaryState.DesignatedPrimary()]
	if p == nil || p.removed {
		return
	}
	_, t, confirmed := g.primaryState.Primary()
	if !confirmed {
		g.requestPosition(now, p)
		return
	}
	for n := range g.departed {
		if d := &g.departed[n]; !d.caughtUpAt.IsSet() && p.leads && p.term == t && p.termAskedAt.After(d.at) {
			d.caughtUpAt = fleet.Some(p.received)
		}
	}
	g.departed = slices.DeleteFunc(g.departed, func(d departed) bool { return g.replicasCover(p, d) })
	if len(g.departed) > 0 {
		g.requestPositions(now, p)
	}
}

// replicasCover reports whether all listed replicas have what the primary p had after an instance had gone.
func (g *group) replicasCover(p *instance, d departed) bool {
	replicas := 0
	for _, i := range g.instances {
		if i == p || i.removed {
			continue
		}
		if replicas++; !i.has(d.caughtUpAt, p.term) {
			return false
		}
	}
	return replicas > 0
}

// has reports whether the instance was in a term, and its log had reached a position, by its last status.
func (i *instance) has(position fleet.Option[fleet.LogPosition], t fleet.Term) bool {
	p, ok := position.Get()
	return ok && i.term == t && i.received.Covers(p)
}

// requestPositions requests the status of the primary and of the replicas while instances that have gone may have had
// commits that the replicas lack.
func (g *group) requestPositions(now time.Time, p *instance) {
	last := g.departed[len(g.departed)-1]
	for _, i := range g.instances {
		if i == p && !last.caughtUpAt.IsSet() || i != p && !i.removed && !i.has(last.caughtUpAt, p.term) {
			g.requestPosition(now, i)
		}
	}
}

// requestPosition requests the status of one instance, the more seldom the longer ago the last departure was.
func (g *group) requestPosition(now time.Time, i *instance) {
	age := now.Sub(g.departed[len(g.departed)-1].at)
	if now.Sub(i.askedAt) >= max(departedStatusInterval, age/departedAgeDivisor) {
		g.requestStatus(now, i)
	}
}

// departedInfos returns the departed instances for a decision on a promotion. An instance at the address of one, or of
// its name, whose log reaches as far stands for it: the log of a drained instance goes to the next one at its address,
// and a crashed instance returns with its log.
func (g *group) departedInfos() []leader.InstanceInfo {
	out := make([]leader.InstanceInfo, 0, len(g.departed))
	for _, d := range g.departed {
		m := leader.InstanceInfo{Name: d.name, Term: d.term, Received: d.received}
		for _, i := range g.instances {
			same := i.info.Address == d.address || i.info.Name == d.name
			if same && !i.removed && g.answered(i) && i.received.Covers(d.received) {
				m.Reachable, m.Held, m.Unholdable = true, i.heldBack(), i.unholdable
				m.IsPrimary, m.Term, m.Received = i.leads, i.term, i.received
			}
		}
		out = append(out, m)
	}
	return out
}

// answered reports whether an instance has reported its position for the decision in progress.
func (g *group) answered(i *instance) bool {
	return i.failures == 0 && !i.statusAt.Before(g.positionsAskedAt)
}
