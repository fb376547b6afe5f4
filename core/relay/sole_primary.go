package relay

import (
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/staleness"
	"skylarkdeal/core/times"
)

// proofSource is what rules out another primary.
type proofSource string

const (
	proofLease    proofSource = "the registration"
	proofStatuses proofSource = "statuses of the same term"
	proofPending  proofSource = "the promotion can't have taken effect yet"
)

// soleProof is the time up to which the instance that is used as the primary is known to be the only one,
// and how that is known.
type soleProof struct {
	until  time.Time
	source proofSource
	// asked are the instances whose statuses were needed.
	asked []fleet.Instance
}

// orLater returns the proof that reaches further.
func (p soleProof) orLater(o soleProof) soleProof {
	if o.until.After(p.until) {
		return o
	}
	return p
}

// String describes the proof for the log.
func (p soleProof) String() string {
	s := string(p.source)
	for _, n := range p.asked {
		s += " " + string(n)
	}
	return s
}

// solePrimaryUntil returns the time up to which the instance that is used as the primary is known to be
// the only one. Another instance can have acknowledged commits only after it. It may be in the future.
func (g *group) solePrimaryUntil() time.Time { return g.solePrimaryProof().until }

// solePrimaryProof returns that time with its proof.
//
// It is the later of two times. The first is the end of the lease: until then no promotion can take
// effect that was unknown when the registration was renewed. The second is the earliest time at which
// the other instances were asked for statuses of the same term. While a promotion is in progress,
// the designated primary has to be asked even if the lease is valid, for times after promotionNotBefore.
func (g *group) solePrimaryProof() soleProof {
	known := soleProof{until: g.r.lease.Until(), source: proofLease}
	if p, t, ok := g.primaryState.Primary(); ok {
		return known.orLater(g.statusProof(g.possiblePrimaries(p), t))
	}
	f, t, ok := g.primaryState.FormerPrimary()
	if !ok {
		return soleProof{}
	}
	designated := g.primaryState.DesignatedPrimary()
	others := make([]fleet.Instance, 0, len(g.instances))
	for _, n := range g.possiblePrimaries(f) {
		if n != designated {
			others = append(others, n)
		}
	}
	known = known.orLater(g.statusProof(others, t))
	known.asked = append(known.asked, designated)
	if asked := g.allInTermAt([]fleet.Instance{designated}, t); asked.Before(known.until) {
		known.until = asked
	}
	return known.orLater(soleProof{until: g.promotionNotBefore, source: proofPending})
}

// statusProof returns the proof that the statuses of the other instances give, none if there may be
// instances that this host has never heard of.
func (g *group) statusProof(others []fleet.Instance, t fleet.Term) soleProof {
	if !g.knowsAllInstances(g.r.now()) {
		return soleProof{}
	}
	return soleProof{until: g.allInTermAt(others, t), source: proofStatuses, asked: others}
}

// allInTermAt returns the time at which all of the instances were in term t, by their own statuses; now if
// there are none, zero if one is in another term or hasn't been asked.
//
// An earlier term proves nothing: an instance that has led a later one, and has started anew since, knows of
// none until it has joined that of the primary which it reaches.
func (g *group) allInTermAt(instances []fleet.Instance, t fleet.Term) time.Time {
	at := g.r.now()
	for _, n := range instances {
		i := g.instances[n]
		if i == nil || i.term != t || i.termAskedAt.IsZero() {
			return time.Time{}
		}
		if i.termAskedAt.Before(at) {
			at = i.termAskedAt
		}
	}
	return at
}

// primaryMayRun reports whether the primary may run an operation: whether it is known to have been the
// only primary up to the time as of which the operation's reads have to show all commits. A write needs
// only the verification of its answer, which has to be possible.
//
// Guards against a read that runs on a primary which was replaced, and lacks commits that its successor
// has acknowledged: its answer could be withheld afterwards, but it has run. The required time is fixed
// when the operation begins, so that a read which is delayed after this check, in a queue or on the
// network, still shows all that it has to.
func (g *group) primaryMayRun(o *operation) bool {
	if o.needsPrimary && !g.mayVerify(g.r.now()) {
		return false
	}
	if o.writes && !o.beginsTx || !g.solePrimaryUntil().Before(o.asOf) {
		return true
	}
	g.solePrimaryWanted = times.Later(g.solePrimaryWanted, o.asOf)
	return false
}

// requestOtherTerms requests the status of the other instances, if operations wait for primaryMayRun or a
// sample is pending verification.
func (g *group) requestOtherTerms(now time.Time) {
	after := g.solePrimaryWanted
	g.solePrimaryWanted = time.Time{}
	p := g.primary()
	if after.IsZero() || p == nil || !g.knowsAllInstances(now) {
		return
	}
	t := g.primaryTerm()
	for _, n := range g.possiblePrimaries(p.info.Name) {
		i := g.instances[n]
		if i == nil || i.term >= t && !i.termAskedAt.Before(after) ||
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
