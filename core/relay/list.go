package relay

import "time"

// listHistory is for how long the list of a group's instances has been followed. The zero listHistory has
// no reading.
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
	return g.r.lease.RecordsCurrent(now) || g.knowsAllInstances()
}

// knowsAllInstances reports whether the list has been followed for so long that no instance can have been
// missing from all readings.
//
// Guards against a host that starts while a registration has lapsed, because the instance or the store
// was cut off for a while, and then loses the store itself. It would take the instances that it knows for
// all there are, and what they report for a proof that nobody else leads. A host that knows an instance
// keeps asking it when it is unlisted.
func (g *group) knowsAllInstances() bool { return g.lists.followed >= ignoreUnlistedAfter }
