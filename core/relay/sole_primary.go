package relay

import (
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/staleness"
)

// solePrimaryUntil returns the time up to which the instance that is used as the primary is known to be
// the only one. Another instance can have acknowledged commits only after it. It may be in the future.
//
// It is the later of two times. The first is the end of the lease: until then no promotion can take
// effect that was unknown when the registration was renewed. The second is the earliest time at which
// the other instances were asked for statuses that show no later term. While a promotion is in progress,
// the designated primary has to be asked even if the lease is valid, for times after promotionNotBefore.
func (g *group) solePrimaryUntil() time.Time {
	known := g.r.lease.Until()
	if p, t, ok := g.primaryState.Primary(); ok {
		return later(known, g.noLaterTermAt(g.possiblePrimaries(p), t))
	}
	f, t, ok := g.primaryState.FormerPrimary()
	if !ok {
		return time.Time{}
	}
	designated := g.primaryState.DesignatedPrimary()
	others := make([]fleet.Instance, 0, len(g.instances))
	for _, n := range g.possiblePrimaries(f) {
		if n != designated {
			others = append(others, n)
		}
	}
	known = later(known, g.noLaterTermAt(others, t))
	asked := g.noLaterTermAt([]fleet.Instance{designated}, t)
	if asked.Before(known) {
		known = asked
	}
	return later(known, g.promotionNotBefore)
}

// noLaterTermAt returns the time at which all of the instances were in no later term than t, by their own
// statuses; now if there are none, zero if one is in a later term or hasn't been asked.
func (g *group) noLaterTermAt(instances []fleet.Instance, t fleet.Term) time.Time {
	at := g.r.now()
	for _, n := range instances {
		i := g.instances[n]
		if i == nil || i.term > t || i.termAskedAt.IsZero() {
			return time.Time{}
		}
		if i.termAskedAt.Before(at) {
			at = i.termAskedAt
		}
	}
	return at
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// primaryMayRun reports whether the primary may run an operation: whether it is known to have been the
// only primary up to the time as of which the operation's reads have to show all commits. A write needs
// only the verification of its answer.
//
// Guards against a read that runs on a primary which was replaced, and lacks commits that its successor
// has acknowledged: its answer could be withheld afterwards, but it has run. The required time is fixed
// when the operation begins, so that a read which is delayed after this check, in a queue or on the
// network, still shows all that it has to.
func (g *group) primaryMayRun(o *operation) bool {
	if o.writes && !o.beginsTx || !g.solePrimaryUntil().Before(o.asOf) {
		return true
	}
	g.solePrimaryWanted = later(g.solePrimaryWanted, o.asOf)
	return false
}

// requestOtherTerms requests the status of the other instances, if operations wait for primaryMayRun or a
// sample is pending verification.
func (g *group) requestOtherTerms(now time.Time) {
	after := g.solePrimaryWanted
	g.solePrimaryWanted = time.Time{}
	p := g.primary()
	if after.IsZero() || p == nil {
		return
	}
	for _, n := range g.possiblePrimaries(p.info.Name) {
		i := g.instances[n]
		if i == nil || !i.termAskedAt.Before(after) ||
			!i.askedAt.Before(after) && now.Sub(i.askedAt) < primaryRequestInterval {
			continue
		}
		g.requestStatus(now, i)
	}
}

// sharesHistory reports whether the log of a replica is known to belong to the history of a sample. Only
// then does a log that covers the sample's position hold all entries before it.
//
// A promotion on a prepared machine writes no log entry: until its first commit, the new primary's log
// position is of the former term. A replica that still follows the former primary may cover that position
// with the former primary's entries, which may differ from those of the new primary's log. A position of
// the new term occurs in no other history. For a position of an earlier term, the replica's own status has
// to show that it is in the new term.
func (i *instance) sharesHistory(s staleness.Sample) bool {
	return s.Position.Term >= s.PrimaryTerm || i.term >= s.PrimaryTerm
}

// termRequestAgeDivisor makes the interval between two term requests to a replica a quarter of the time
// since the primary was confirmed. Most replicas enter the new term within a tenth of a second; without
// it, each host would send 20 requests a second to a replica that is cut off for long.
const termRequestAgeDivisor = 4

// requestReplicaTerms requests the status of replicas that aren't known to have entered the primary's
// term, while there are reads that need it.
func (g *group) requestReplicaTerms(now time.Time) {
	p, t, ok := g.primaryState.Primary()
	if !ok || now.Sub(g.replicaReadAt) > sampleAfterRead {
		return
	}
	age := now.Sub(g.primaryConfirmedAt)
	if s, ok := g.samples.Newest(); ok && s.Position.Term >= t && age > sampleAfterRead {
		return
	}
	pause := max(primaryRequestInterval, age/termRequestAgeDivisor)
	for _, i := range g.instances {
		if i.info.Name != p && i.usable() && i.term < t && now.Sub(i.askedAt) >= pause {
			g.requestStatus(now, i)
		}
	}
}
