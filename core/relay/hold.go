package relay

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/statement"
)

// holds is a group's state of holding instances back before a promotion. An instance that is held back receives
// nothing from a primary, and so confirms no further commits.
type holds struct {
	// since is when the first instance was to be held back for the promotion that is being decided, zero if none was;
	// candidate is the instance to be promoted.
	since     time.Time
	candidate fleet.Instance
	// checkAfter is set on a new failover coordinator until it has the status of all instances since then: its
	// predecessor may have left some held back.
	checkAfter time.Time
	// withheld is what the last promotion that had to wait was waiting for, withheldSince since when, and
	// withheldLoggedAt when that was last logged.
	withheld                        string
	withheldSince, withheldLoggedAt time.Time
}

const (
	// holdTimeout is how long instances are held back for a promotion that isn't ready yet: several round trips
	// and the usual lag of a replica. Meanwhile commits may wait for the candidate alone.
	holdTimeout = 600 * time.Millisecond
	// catchUpTimeout is how long the candidate may receive what those that are held back have, before another one is
	// chosen.
	catchUpTimeout = 200 * time.Millisecond
	// holdResponseTimeout is how long the response to a request to hold back may take. It may have to wait for a slot.
	holdResponseTimeout = 800 * time.Millisecond
	// holdCheckTimeout bounds the search of a new coordinator for instances that are held back.
	holdCheckTimeout = 10 * time.Second
	// abandonedHoldAfter is how long an instance may be held back beside a confirmed primary before a host that
	// isn't the coordinator ends that: longer than any promotion takes.
	abandonedHoldAfter = 2 * promotionOutcomeTimeout
	// holdReleaseInterval is the interval at which the end of a hold is requested until the instance has confirmed it.
	holdReleaseInterval = 400 * time.Millisecond
	// withheldStatusInterval is the greatest interval at which the instances are asked while a promotion is withheld.
	// It is a quarter of the time for which it has been, as there may be hundreds of such groups for minutes.
	withheldStatusInterval = time.Second
	withheldAgeDivisor     = 4
	// withheldLogInterval is the interval at which a promotion that still has to wait is logged.
	withheldLogInterval = 5 * time.Second
)

// heldBack reports whether the instance is held back, by its last status.
func (i *instance) heldBack() bool { return i.held > i.term }

// awaitSafety prepares a promotion that may not be requested yet: it has instances held back, or logs which ones have
// to report their logs first.
func (g *group) awaitSafety(now time.Time, d leader.Decision) {
	if !g.holds.since.IsZero() && now.Sub(g.holds.since) > holdTimeout {
		g.stopDeciding()
		g.nextPromotionAt = now.Add(promotionRequestPause)
		return
	}
	if len(d.Missing) > 0 {
		g.logWithheld(now, d)
		return
	}
	for _, n := range d.Hold {
		i := g.instances[n]
		if i == nil || now.Sub(i.holdAskedAt) < primaryRequestInterval {
			continue
		}
		if g.holds.since.IsZero() {
			g.holds.since, g.holds.candidate = now, d.Request.Primary
		}
		if g.control(now, i, statement.KindPause, d.Request.Term) {
			i.holdAskedAt = now
			g.r.counters.Holds++
			g.r.logEvent(Event{
				Kind: EventLeader, Service: g.name, Instance: n, Term: d.Request.Term, Received: i.received,
				Choice: "hold back", Reason: "it must not confirm commits that " + string(d.Request.Primary) + " lacks",
			})
		}
	}
}

// stopDeciding ends the decision in progress, so that the next one begins with the instances' positions.
func (g *group) stopDeciding() { g.positionsAskedAt, g.holds.since = time.Time{}, time.Time{} }

// heldFor returns the instance for which others are being held back, while it may still be receiving what they have.
func (g *group) heldFor(now time.Time) fleet.Instance {
	if now.Sub(g.holds.since) > catchUpTimeout {
		return ""
	}
	return g.holds.candidate
}

// statusInterval returns the interval at which the positions of the instances are asked for, for a decision on a
// promotion.
func (h *holds) statusInterval(now time.Time) time.Duration {
	if h.withheld == "" {
		return primaryRequestInterval
	}
	return min(max(primaryRequestInterval, now.Sub(h.withheldSince)/withheldAgeDivisor), withheldStatusInterval)
}

// logWithheld logs and counts that a promotion has to wait, and for which instances.
func (g *group) logWithheld(now time.Time, d leader.Decision) {
	var waiting []string
	for _, n := range slices.Sorted(maps.Keys(d.Missing)) {
		waiting = append(waiting, fmt.Sprintf("%s %s", n, d.Missing[n]))
	}
	what := strings.Join(waiting, ", ")
	h := &g.holds
	if h.withheld == what && now.Sub(h.withheldLoggedAt) < withheldLogInterval {
		return
	}
	if h.withheld == "" {
		h.withheldSince = now
		g.r.counters.PromotionsWithheld++
	}
	h.withheld, h.withheldLoggedAt = what, now
	g.r.logEvent(Event{
		Kind: EventLeader, Service: g.name, Choice: "withhold the promotion",
		Reason:     "they may have acknowledged commits that no candidate has: " + what,
		Considered: g.primaryState.Considered(g.groupStatus(now), ""), Age: now.Sub(h.withheldSince),
	})
}

// releaseHeld has instances receive again that were held back for a promotion which has taken effect or was given up.
// It doesn't while the promotion may still take effect, as what they confirm then may be lost.
func (g *group) releaseHeld(now time.Time) {
	_, _, confirmed := g.primaryState.Primary()
	if !confirmed || !g.holds.since.IsZero() || now.Before(g.promotionPendingUntil) {
		return
	}
	for _, i := range g.instances {
		if i.removed || !i.heldBack() || now.Sub(i.holdAskedAt) < holdReleaseInterval ||
			!g.r.duty.active && now.Sub(i.heldSince) < abandonedHoldAfter {
			continue
		}
		if g.control(now, i, statement.KindResume, 0) {
			i.holdAskedAt = now
			g.r.counters.HoldReleases++
			g.r.logEvent(Event{
				Kind: EventLeader, Service: g.name, Instance: i.info.Name, Term: i.held, Received: i.received,
				Choice: "end holding back", Reason: "the primary is confirmed", Age: now.Sub(i.heldSince),
			})
		}
	}
}

// checkHolds requests the status of all instances that a new coordinator has none of.
func (g *group) checkHolds(now time.Time) {
	h := &g.holds
	if h.checkAfter.IsZero() {
		return
	}
	all := true
	for _, i := range g.instances {
		if i.removed || !i.statusAt.Before(h.checkAfter) {
			continue
		}
		all = false
		if now.Sub(i.askedAt) >= primaryRequestInterval {
			g.requestStatus(now, i)
		}
	}
	if all || now.Sub(h.checkAfter) > holdCheckTimeout {
		h.checkAfter = time.Time{}
	}
}

// hasHeld reports whether an instance is held back.
func (g *group) hasHeld() bool {
	for _, i := range g.instances {
		if !i.removed && i.heldBack() {
			return true
		}
	}
	return false
}
