package relay

import (
	"time"

	"skylarkdeal/core/leader"
	"skylarkdeal/core/times"
)

// listHistory is for how long the list of instances has been followed. The zero listHistory has no reading.
type listHistory struct {
	lastAt   time.Time
	followed time.Duration
}

// listPauseMax is how much of the time between two readings counts as followed: the interval at which the
// list is read, and a slow call.
const listPauseMax = 3 * time.Second

// add adds a reading that was begun at the given time.
func (h *listHistory) add(at time.Time) {
	if !at.After(h.lastAt) {
		return
	}
	if !h.lastAt.IsZero() {
		h.followed += min(at.Sub(h.lastAt), listPauseMax)
	}
	h.lastAt = at
}

// mayVerify reports whether the answers of a primary can be verified, by the registration or by what all
// other instances report.
func (g *group) mayVerify(now time.Time) bool {
	return g.r.lease.RecordsCurrent(now) || g.knowsAllInstances(now)
}

// listValidity is how long after its last reading a list counts as complete by itself.
const listValidity = 10 * time.Second

// knowsAllInstances reports whether no instance that this host doesn't know can lead: the list has been
// followed for long, and either it was complete lately, or no host can have promoted a newer instance.
//
// Guards against a host that loses the store and goes on for long by its last list: another host promotes an
// instance that has registered since, and what the known ones report would count as a proof that nobody else
// leads.
func (g *group) knowsAllInstances(now time.Time) bool {
	if !g.hasFollowedList() {
		return false
	}
	return now.Sub(g.r.lists.lastAt) <= listValidity || now.Sub(g.r.noNewerPromotionAt) <= leader.LeaseValidity
}

// hasFollowedList reports whether the list has been followed for so long that no instance can have been
// missing from all readings.
//
// Guards against a host that starts while a registration has lapsed, because the instance or the store
// was cut off for a while, and then loses the store itself. It would take the instances that it knows for
// all there are, and what they report for a proof that nobody else leads. A host that knows an instance
// keeps asking it when it is unlisted.
func (g *group) hasFollowedList() bool {
	return g.listed && g.r.lists.followed-g.followedBefore >= ignoreUnlistedAfter
}

// MembersConfirmed records that the list in use named the same instances as the store's at the given time,
// whatever else the two tell of them.
func (r *Relay) MembersConfirmed(at time.Time) { r.lists.add(at) }

// NoNewerPromotion records that hosts of all data centres were heard at the given time, and none knew of a
// promotion that this host doesn't. Only a host requests promotions, so that this holds until one can have
// taken effect.
func (r *Relay) NoNewerPromotion(at time.Time) {
	r.noNewerPromotionAt = times.Later(r.noNewerPromotionAt, at)
}
