package relay

import (
	"time"

	"skylarkdeal/core/fleet"
)

const (
	// ejectedPromotionInterval is the least time between any promotion of a group and one because hosts
	// eject the primary. All hosts know the last promotion, so that a change of coordinator or a restart
	// doesn't shorten it.
	ejectedPromotionInterval = 10 * time.Second
	// ejectedByHosts is how many hosts have to eject a primary, where the fleet has more than one.
	ejectedByHosts = 2
)

// ejectionsNeeded returns how many hosts have to eject the primary for a promotion, zero while none may be
// requested for that.
func (g *group) ejectionsNeeded(now time.Time) int {
	last := g.outliers.promotedAt
	if g.promotionKnownAt.After(last) {
		last = g.promotionKnownAt
	}
	if !g.r.cfg.DetectOutliers || !last.IsZero() && now.Sub(last) < ejectedPromotionInterval {
		return 0
	}
	return min(ejectedByHosts, g.r.hostCount)
}

// ejectedFrom returns how many hosts eject an instance: this one, and those that report it as the primary. One
// that this host avoids by other reports counts as ejected by one.
func (g *group) ejectedFrom(now time.Time, i *instance) int {
	n := g.r.ejections.Hosts(now, i.info.Name)
	if i.outlier.Ejected() {
		n++
	}
	if i.outlier.Avoided() {
		n = max(n, 1)
	}
	return n
}

// recordCatchUpPosition records the primary's log position before the replicas are asked for theirs. It must be
// recent: a replica that lags by seconds covers an old one.
func (g *group) recordCatchUpPosition(now time.Time) {
	g.outliers.catchUpPosition = fleet.Option[fleet.LogPosition]{}
	if p := g.primary(); p != nil && now.Sub(p.statusAt) <= positionRequestRetry+positionRequestWait {
		g.outliers.catchUpPosition = fleet.Some(p.received)
	}
}

// behind reports whether an instance isn't known to have received what the primary had when the instances
// were asked for their log positions.
func (g *group) behind(i *instance) bool {
	p, ok := g.outliers.catchUpPosition.Get()
	return !ok || !i.received.Covers(p)
}
