package relay

import (
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/staleness"
	"skylarkdeal/core/statement"
	"skylarkdeal/core/times"
)

// addPosition handles the log position that comes with an answer of an instance. If the instance is the
// confirmed primary, it makes a sample of it.
func (g *group) addPosition(c *Conn, askedAt time.Time, a statement.Answer) {
	p, ok := a.Position.Get()
	if !ok {
		return
	}
	now := g.r.now()
	c.inst.position = p
	g.primaryState.AddLogTerm(c.Instance, p.Term)
	n, t, ok := g.primaryState.Primary()
	if !ok || n != c.Instance {
		return
	}
	// A request that was sent before the primary was confirmed may have been answered while it was still a
	// replica, whose log was shorter than at its promotion. Answers on two connections have no order.
	if askedAt.Before(g.primaryConfirmedAt) || !c.answersAsPrimary(a) {
		return
	}
	s := staleness.Sample{Position: p, AskedAt: askedAt, PrimaryTerm: t}
	switch {
	case g.r.lease.RecordsCurrent(now):
		g.addSample(c.Instance, s)
	case g.unverifiedSample.AskedAt.IsZero():
		g.unverifiedSample = s
	}
}

// unverifiedSampleTimeout is how long a sample is pending verification that the primary was still the
// primary when it was asked: some round trips.
const unverifiedSampleTimeout = 400 * time.Millisecond

// verifySample adds the sample that is pending verification, once the primary is known to have been the
// only one up to the time at which it was asked. Until then it has the other instances asked for their terms.
//
// Designed for reads with a maximum age while the store is unavailable. Without it, the next network
// partition would leave them without a recent enough sample, although replicas have all that they need.
func (g *group) verifySample(now time.Time) {
	s := g.unverifiedSample
	if s.AskedAt.IsZero() {
		return
	}
	p, t, ok := g.primaryState.Primary()
	switch {
	case !ok || t != s.PrimaryTerm || now.Sub(s.AskedAt) > unverifiedSampleTimeout:
		g.unverifiedSample = staleness.Sample{}
	case !g.solePrimaryUntil().Before(s.AskedAt):
		g.unverifiedSample = staleness.Sample{}
		g.addSample(p, s)
	default:
		g.solePrimaryWanted = times.Later(g.solePrimaryWanted, s.AskedAt)
		g.requestOtherTerms(now)
	}
}

// addSample adds a verified sample of the primary.
func (g *group) addSample(i fleet.Instance, s staleness.Sample) {
	g.samples.Add(s)
	if g.promotionRecent(g.r.now()) && g.sampledAt.Before(g.promotionKnownAt) {
		g.r.logEvent(Event{
			Kind: EventLeader, Service: g.name, Instance: i, InstancePosition: s.Position, Term: s.PrimaryTerm,
			Choice: "use its log position for reads", Reason: "first sample since the promotion",
			Age: g.r.now().Sub(s.AskedAt),
		})
	}
	g.sampledAt = g.r.now()
}

// promotionLogDuration is how long after a promotion each read on a replica and each change of an
// instance's term is logged. They are needed to trace a stale read, and too many at other times.
const promotionLogDuration = 3 * time.Second

// promotionRecent reports whether a promotion became known within promotionLogDuration.
func (g *group) promotionRecent(now time.Time) bool {
	return now.Sub(g.promotionKnownAt) < promotionLogDuration
}

// handleStatus handles the status of an instance, requested at askedAt.
func (g *group) handleStatus(c *Conn, askedAt time.Time, a statement.Answer) {
	s, ok := g.r.cfg.ParseStatus(a)
	if !ok || g.instances[c.Instance] != c.inst {
		// The connection is to an earlier process or address of the instance.
		return
	}
	// A status that was requested before the last one may arrive after it, over another connection. It
	// would restore the outdated state, and the current primary would no longer be confirmed.
	if !askedAt.Before(c.inst.termAskedAt) {
		g.setStatus(c.inst, askedAt, s)
	}
	verified, refuted := g.pendingAnswers.AddStatus(c.Instance, askedAt, s.Term)
	for _, cl := range verified {
		g.answerVerified(cl)
	}
	for _, cl := range refuted {
		g.answerUnverified(cl, "another instance leads a later term")
	}
}

// setStatus stores the newest status of an instance, and uses it as the primary if that confirms it.
func (g *group) setStatus(i *instance, askedAt time.Time, s statement.Status) {
	now := g.r.now()
	if i.term != s.Term && g.promotionRecent(now) {
		g.r.logEvent(Event{
			Kind: EventInstance, Service: g.name, Instance: i.info.Name, Term: s.Term, Received: s.Received,
			InstancePosition: i.position, Choice: "in a new term", Reason: "it reports that it is a " + string(s.Role),
		})
	}
	i.received, i.leads, i.term = s.Received, s.Role == fleet.RolePrimary, s.Term
	i.statusAt, i.termAskedAt = now, askedAt
	if i.held = s.Held; !i.heldBack() {
		i.heldSince = time.Time{}
	} else if i.heldSince.IsZero() {
		i.heldSince = now
	}
	if !i.leads {
		g.refuseReadsOnReplica(i)
	}
	if p, t, ok := g.primaryState.Primary(); ok && i.info.Name != p && s.Term > t {
		// The record of the promotion to this term has yet to be read.
		g.r.cfg.RefreshRecords()
	}
	if !g.primaryState.AddStatus(i.info.Name, s) {
		return
	}
	g.primaryConfirmedAt = now
	g.r.logEvent(Event{
		Kind: EventLeader, Service: g.name, Instance: i.info.Name, Term: s.Term,
		InstancePosition: i.position, Received: s.Received,
		Choice: "use as the primary", Reason: "it reports that it is the primary", Age: now.Sub(g.promotionKnownAt),
	})
}

// verifyAnswer passes an answer on to its caller, or holds it until it is verified that it came from the
// primary. A read on a replica needs no verification, as the replica checked the required position.
func (g *group) verifyAnswer(o *operation, c *Conn, a statement.Answer) {
	if o.s.boundInstance != "" {
		o.finish(a)
		return
	}
	if !o.needsPrimary && !g.isPrimary(c.Instance) {
		if _, ok := o.requiredPosition.Get(); ok {
			o.finish(a)
			return
		}
	}
	if g.answerCoversRead(o, c, a) {
		o.finish(a)
		return
	}
	now := g.r.now()
	current := g.r.lease.RecordsCurrent(now)
	v, term, ask := g.primaryState.VerifyAnswer(c.Instance, current, g.possiblePrimaries(c.Instance))
	switch {
	case v == leader.VerdictAsk && !current && !g.knowsAllInstances(now):
		o.unverifiedAnswer = &a
		g.finishUnverified(o, "not all instances are known that may lead")
	case v == leader.VerdictVerified || v == leader.VerdictAsk && len(ask) == 0:
		g.finishVerified(o, a)
	case v == leader.VerdictRefuted:
		o.unverifiedAnswer = &a
		g.finishUnverified(o, "the primary has been replaced")
	default:
		o.unverifiedAnswer = &a
		g.pendingVerification[o.key] = o
		g.pendingAnswers.Add(leader.PendingAnswer{
			Key: o.key, Instance: c.Instance, Term: term, ReceivedAt: now, Deadline: now.Add(verificationTimeout),
		}, ask)
		g.requestAwaited(now)
		g.r.requestTick()
	}
}

// answerCoversRead reports whether the primary's answer to a read with a maximum age shows all commits
// that it has to, even if another instance leads by now: the instance is known to have been the only
// primary up to the time as of which the read shows all commits, and its log holds the session's own.
//
// Designed for a data centre that is cut off while the store is unavailable. Its primaries can no longer
// be verified, but they have all required commits until the maximum age has passed.
func (g *group) answerCoversRead(o *operation, c *Conn, a statement.Answer) bool {
	if o.needsPrimary || g.primary() != c.inst || g.solePrimaryUntil().Before(o.asOf) {
		return false
	}
	p, ok := a.Position.Get()
	return ok && p.Covers(o.s.lastCommit)
}

// verificationTimeout bounds the verification of an answer. It allows for some round trips and a new
// connection. An answer still pending then depends on an instance that can't be reached.
const verificationTimeout = 250 * time.Millisecond

// possiblePrimaries returns the instances besides n that may lead. An instance that is missing from the
// list may still run, and may be promoted by a host that finds it listed again. It is left out only if it
// has been missing for longer than ignoreUnlistedAfter and the list was read less than
// leader.LeaseValidity ago, so that no promotion requested since can have taken effect.
func (g *group) possiblePrimaries(n fleet.Instance) []fleet.Instance {
	now := g.r.now()
	var out []fleet.Instance
	for _, i := range g.instances {
		ignored := i.removed && now.Sub(i.unlistedSince) > ignoreUnlistedAfter &&
			now.Sub(g.r.listReadAt) < leader.LeaseValidity
		if i.info.Name != n && !ignored {
			out = append(out, i.info.Name)
		}
	}
	return out
}

const (
	// ignoreUnlistedAfter is how long an instance has to be missing from the list to be left out of
	// verifications, keepRemoved how long its state is kept.
	ignoreUnlistedAfter = 10 * time.Second
	keepRemoved         = 5 * time.Minute
)

// finishVerified answers the caller with a verified answer, and records the position of the session's last write.
func (g *group) finishVerified(o *operation, a statement.Answer) {
	if p, ok := a.Position.Get(); ok && o.writes && !o.s.lastCommit.Covers(p) {
		o.s.lastCommit = p
	}
	o.finish(a)
}

// answerVerified handles the verification of a pending answer, whose position becomes a sample.
func (g *group) answerVerified(c leader.PendingAnswer) {
	o := g.pendingVerification[c.Key]
	delete(g.pendingVerification, c.Key)
	if o == nil || o.finished {
		return
	}
	if p, ok := o.unverifiedAnswer.Position.Get(); ok && !o.sentAt.Before(g.primaryConfirmedAt) {
		g.addSample(c.Instance, staleness.Sample{Position: p, AskedAt: o.sentAt, PrimaryTerm: c.Term})
	}
	g.finishVerified(o, *o.unverifiedAnswer)
}

// answerUnverified handles a pending answer that was refuted or not verified in time.
func (g *group) answerUnverified(c leader.PendingAnswer, reason string) {
	o := g.pendingVerification[c.Key]
	delete(g.pendingVerification, c.Key)
	if o == nil || o.finished {
		return
	}
	g.finishUnverified(o, reason)
}

// finishUnverified handles an answer of an instance that may no longer be the primary. A write is in
// doubt, as it may be lost. A read has no effect: it is retried, or its caller is told to retry.
func (g *group) finishUnverified(o *operation, reason string) {
	commit := o.q.Kind == statement.KindCommit
	switch {
	case commit && o.s.tx.mayHaveWritten || o.writes && !commit && !o.s.tx.open:
		o.answerInDoubt(reason)
	case o.s.tx.open:
		o.s.failTransaction()
		o.answerCaller(statement.Answer{
			Code: statement.CodeAborted, Detail: "rolled back: " + reason, RetryAfter: o.g.r.shortRetry(),
		})
	default:
		o.retry(statement.CodeBusy)
	}
}
