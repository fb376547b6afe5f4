package relay

import (
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/staleness"
	"skylarkdeal/core/statement"
)

// addPosition takes in what every answer tells: where the instance's log stands.
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
	g.primaryHeardAt = now
	// What it was asked before it said that it leads, it may have answered as a replica: its log
	// was then shorter than what it has led with. Answers of two connections have no order.
	if askedAt.Before(g.primaryConfirmedAt) {
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

// unverifiedSampleTimeout is how long a point waits until the primary is known to have led when it was asked for:
// some round trips.
const unverifiedSampleTimeout = 400 * time.Millisecond

// verifySample takes in the point that waits, once the primary is known to have led alone up to the moment
// at which it was asked for, and has the other instances asked for that.
//
// The load it is made for: reads of an age while the store is away. The next cut would leave them
// without a point that is young enough, although replicas have all that they need.
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
		g.solePrimaryWanted = later(g.solePrimaryWanted, s.AskedAt)
		g.requestOtherTerms(now)
	}
}

// addSample takes in a point of the primary.
func (g *group) addSample(i fleet.Instance, s staleness.Sample) {
	g.samples.Add(s)
	if g.promotionRecent(g.r.now()) && g.sampledAt.Before(g.promotionKnownAt) {
		g.r.logEvent(Event{
			Kind: EventLeader, Service: g.name, Instance: i, InstancePoint: s.Position, Term: s.PrimaryTerm,
			Choice: "let reads go by its point", Reason: "the first since the order", Age: g.r.now().Sub(s.AskedAt),
		})
	}
	g.sampledAt = g.r.now()
}

// promotionLogDuration is how long after an order the log tells of each read that a replica gets, and of
// each instance's term: they are what a stale read is traced by, and too many at other times.
const promotionLogDuration = 3 * time.Second

// promotionRecent reports whether an order became known a moment ago.
func (g *group) promotionRecent(now time.Time) bool {
	return now.Sub(g.promotionKnownAt) < promotionLogDuration
}

// handleStatus takes in what an instance, asked at some moment, has said of itself.
func (g *group) handleStatus(c *Conn, askedAt time.Time, a statement.Answer) {
	s, ok := g.r.cfg.ParseStatus(a)
	if !ok {
		return
	}
	// A word that was asked for before the last one may come after it, over another connection:
	// it would make the instance again what it was, and unsettle a primary that leads.
	if !askedAt.Before(c.inst.termAskedAt) {
		g.setStatus(c.inst, askedAt, s)
	}
	proved, refuted := g.pendingAnswers.AddStatus(c.Instance, askedAt, s.Term)
	for _, cl := range proved {
		g.answerVerified(cl)
	}
	for _, cl := range refuted {
		g.answerUnverified(cl, "another instance leads a later term")
	}
}

// setStatus takes in an instance's last word on itself.
func (g *group) setStatus(i *instance, askedAt time.Time, s statement.Status) {
	now := g.r.now()
	if i.term != s.Term && g.promotionRecent(now) {
		g.r.logEvent(Event{
			Kind: EventInstance, Service: g.name, Instance: i.info.Name, Term: s.Term, Received: s.Received,
			InstancePoint: i.position, Choice: "in a new term", Reason: "it says that it is a " + string(s.Role),
		})
	}
	i.received, i.leads, i.term = s.Received, s.Role == fleet.RolePrimary, s.Term
	i.statusAt, i.termAskedAt = now, askedAt
	if p, t, ok := g.primaryState.Primary(); ok && i.info.Name != p && s.Term > t {
		// The record of the order that it follows is still to be read.
		g.r.cfg.RefreshRecords()
	}
	if !g.primaryState.AddStatus(i.info.Name, s) {
		return
	}
	g.primaryHeardAt, g.primaryConfirmedAt = now, now
	g.r.logEvent(Event{
		Kind: EventLeader, Service: g.name, Instance: i.info.Name, Term: s.Term, InstancePoint: i.position, Received: s.Received,
		Choice: "use as the primary", Reason: "it says that it leads", Age: now.Sub(g.promotionKnownAt),
	})
}

// verifyAnswer gives an answer to its caller, or has it wait for the proof that it came from
// the primary. Reads on replicas were proved by the point they had to cover.
func (g *group) verifyAnswer(o *operation, c *Conn, a statement.Answer) {
	if o.s.instance != "" {
		o.finish(a)
		return
	}
	if !o.lead && !g.isPrimary(c.Instance) {
		if _, ok := o.after.Get(); ok {
			o.finish(a)
			return
		}
	}
	if g.answerCoversRead(o, c, a) {
		o.finish(a)
		return
	}
	now := g.r.now()
	v, term, ask := g.primaryState.VerifyAnswer(c.Instance, g.r.lease.RecordsCurrent(now), g.possiblePrimaries(c.Instance))
	switch {
	case v == leader.VerdictVerified || v == leader.VerdictAsk && len(ask) == 0:
		g.finishVerified(o, a)
	case v == leader.VerdictRefuted:
		o.answer = &a
		g.finishUnverified(o, "the primary has been replaced")
	default:
		o.answer = &a
		g.pendingVerification[o.key] = o
		g.pendingAnswers.Add(leader.PendingAnswer{
			Key: o.key, Instance: c.Instance, Term: term, At: now, Deadline: now.Add(verificationTimeout),
		}, ask)
		g.requestAwaited(now)
		g.r.hurry()
	}
}

// answerCoversRead reports whether the primary's answer to a read of an age answerCoversRead all that it has to, whoever
// leads by now: the instance is known to have led alone up to the moment whose commits it owes,
// and its log holds the session's own.
//
// The load it is made for: a data centre that is cut off with the store away. Its primaries can't be
// proved to lead any more, yet for as long as callers accept they know all that is owed.
func (g *group) answerCoversRead(o *operation, c *Conn, a statement.Answer) bool {
	if o.lead || g.primary() != c.inst || g.solePrimaryUntil().Before(o.age) {
		return false
	}
	p, ok := a.Position.Get()
	return ok && p.Covers(o.s.written)
}

// verificationTimeout bounds the wait for a proof. It is some round trips with a new
// connection; what is not proved by then depends on an instance that can't be reached.
const verificationTimeout = 250 * time.Millisecond

// possiblePrimaries returns the instances besides n that may lead. One that is off the list may
// still run, and be promoted by a host that finds it on the list again; this host
// leaves it out only where it has not found it there for long, and as long after it has looked as
// no order that was given since can have taken effect.
func (g *group) possiblePrimaries(n fleet.Instance) []fleet.Instance {
	now := g.r.now()
	var out []fleet.Instance
	for _, i := range g.instances {
		ignored := i.removed && now.Sub(i.unlistedSince) > ignoreUnlistedAfter && now.Sub(g.listReadAt) < leader.LeaseValidity
		if i.info.Name != n && !ignored {
			out = append(out, i.info.Name)
		}
	}
	return out
}

const (
	// ignoreUnlistedAfter is how long an instance has to be off the list to be left out of proofs,
	// keepGone how long it is remembered.
	ignoreUnlistedAfter = 10 * time.Second
	keepRemoved         = 5 * time.Minute
)

// finishVerified gives a proved answer.
func (g *group) finishVerified(o *operation, a statement.Answer) {
	if p, ok := a.Position.Get(); ok && o.writes && !o.s.written.Covers(p) {
		o.s.written = p
	}
	o.finish(a)
}

func (g *group) answerVerified(c leader.PendingAnswer) {
	o := g.pendingVerification[c.Key]
	delete(g.pendingVerification, c.Key)
	if o == nil || o.over {
		return
	}
	if p, ok := o.answer.Position.Get(); ok && !o.sentAt.Before(g.primaryConfirmedAt) {
		g.addSample(c.Instance, staleness.Sample{Position: p, AskedAt: o.sentAt, PrimaryTerm: c.Term})
	}
	g.finishVerified(o, *o.answer)
}

func (g *group) answerUnverified(c leader.PendingAnswer, reason string) {
	o := g.pendingVerification[c.Key]
	delete(g.pendingVerification, c.Key)
	if o == nil || o.over {
		return
	}
	g.finishUnverified(o, reason)
}

// finishUnverified handles an answer of what may no longer be the primary. A write may be
// lost; a read is run elsewhere, or its caller told to come back, as nothing is kept
// of it.
func (g *group) finishUnverified(o *operation, reason string) {
	commit := o.q.Kind == statement.KindCommit
	switch {
	case commit && o.s.tx.writes || o.writes && !commit && !o.s.tx.open:
		o.answerInDoubt(reason)
	case o.s.tx.open:
		o.s.fail()
		o.answerCaller(statement.Answer{Code: statement.CodeAborted, Detail: "rolled back: " + reason, RetryAfter: shortRetryAfter})
	default:
		o.retry(statement.CodeBusy)
	}
}
