package relay

import "time"

// usedFor is how long after its last use on this host a group counts as used here: longer than most sessions
// rest between two operations.
const usedFor = 30 * time.Second

// wake has the group ticked from now on, until nothing in it depends on the time.
//
// Designed for a thousand groups, of which the callers of one host use some dozens. Ticks of all groups, up to a
// hundred times a second, took more than the processor of a small host.
func (g *group) wake() {
	if g.active {
		return
	}
	now := g.r.now()
	g.active = true
	g.r.active[g] = struct{}{}
	// Nothing was missed while nothing was checked.
	g.unconfirmedSince, g.primaryAvailableAt = now, now
	if !g.r.duty.active {
		return
	}
	for _, i := range g.instances {
		i.suspectedSince = now
	}
}

// use records that an operation or a session uses the group, and has its primary confirmed.
func (g *group) use() {
	g.usedAt = g.r.now()
	g.wake()
	g.checkDesignatedPrimary(g.usedAt)
}

// isUsed reports whether an operation or a session has used the group lately.
func (g *group) isUsed(now time.Time) bool { return !g.usedAt.IsZero() && now.Sub(g.usedAt) < usedFor }

// confirmsPrimary reports whether this host is to know the group's primary: it uses the group, or has to notice
// that the primary is lost.
//
// Designed for hundreds of hosts before a thousand groups. When each host confirmed each primary for itself, the
// start of all and each promotion cost a status request for each host every 50 ms.
func (g *group) confirmsPrimary(now time.Time) bool { return g.r.duty.active || g.isUsed(now) }

// needsTick reports whether anything in the group depends on the time.
func (g *group) needsTick(now time.Time) bool {
	switch {
	case g.isUsed(now), len(g.waiting)+len(g.running)+len(g.peerRequests)+g.pendingAnswers.Len() > 0,
		!g.unverifiedSample.AskedAt.IsZero(), g.outliers.changed, len(g.departed) > 0, !g.holds.checkAfter.IsZero(),
		g.hasHeld():
		return true
	case g.r.duty.active && g.mayNeedPromotion(now):
		return true
	}
	for _, i := range g.instances {
		if len(i.conns)+i.forwardedCount > 0 || i.failures > 0 && !i.removed || i.outlier.Ejected() || i.outlier.Avoided() {
			return true
		}
	}
	return false
}

// mayNeedPromotion reports whether the failover coordinator has anything to look at in the group: its primary isn't
// confirmed or is about to go, or a host can't reach one of its instances.
func (g *group) mayNeedPromotion(now time.Time) bool {
	n, _, confirmed := g.primaryState.Primary()
	if p := g.instances[n]; !confirmed || p == nil || p.removed || !p.usable() {
		return true
	}
	for name := range g.instances {
		if g.r.duty.reports.IsSuspected(now, name) {
			return true
		}
	}
	return false
}

// wakeAll has all groups ticked at least once.
func (r *Relay) wakeAll() {
	for _, g := range r.groups {
		g.wake()
	}
}
