package relay

import (
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/staleness"
	"skylarkdeal/core/statement"
)

// evidence takes in what every answer tells: where the instance's log stands.
func (g *group) evidence(c *Conn, asked time.Time, a statement.Answer) {
	p, ok := a.Position.Get()
	if !ok {
		return
	}
	now := g.r.now()
	c.inst.point = p
	g.belief.AddLogTerm(c.Instance, p.Term)
	n, t, ok := g.belief.Primary()
	if !ok || n != c.Instance {
		return
	}
	g.aliveAt = now
	// What it was asked before it said that it leads, it may have answered as a replica: its log
	// was then shorter than what it has led with. Answers of two connections have no order.
	if asked.Before(g.settledAt) {
		return
	}
	s := staleness.Sample{Position: p, AskedAt: asked, PrimaryTerm: t}
	switch {
	case g.r.lease.RecordsCurrent(now):
		g.sampled(c.Instance, s)
	case g.unsure.AskedAt.IsZero():
		g.unsure = s
	}
}

// unsureFor is how long a point waits until the primary is known to have led when it was asked for:
// some round trips.
const unsureFor = 400 * time.Millisecond

// affirm takes in the point that waits, once the primary is known to have led alone up to the moment
// at which it was asked for, and has the other instances asked for that.
//
// The load it is made for: reads of an age while the store is away. The next cut would leave them
// without a point that is young enough, although replicas have all that they need.
func (g *group) affirm(now time.Time) {
	s := g.unsure
	if s.AskedAt.IsZero() {
		return
	}
	p, t, ok := g.belief.Primary()
	switch {
	case !ok || t != s.PrimaryTerm || now.Sub(s.AskedAt) > unsureFor:
		g.unsure = staleness.Sample{}
	case !g.sole().Before(s.AskedAt):
		g.unsure = staleness.Sample{}
		g.sampled(p, s)
	default:
		g.doubt = later(g.doubt, s.AskedAt)
		g.vouch(now)
	}
}

// sampled takes in a point of the primary.
func (g *group) sampled(i fleet.Instance, s staleness.Sample) {
	g.samples.Add(s)
	if g.changing(g.r.now()) && g.sampledAt.Before(g.changedAt) {
		g.r.note(Event{
			Kind: EventLeader, Service: g.name, Instance: i, InstancePoint: s.Position, Term: s.PrimaryTerm,
			Choice: "let reads go by its point", Reason: "the first since the order", Age: g.r.now().Sub(s.AskedAt),
		})
	}
	g.sampledAt = g.r.now()
}

// changeShown is how long after an order the log tells of each read that a replica gets, and of
// each instance's term: they are what a stale read is traced by, and too many at other times.
const changeShown = 3 * time.Second

// changing reports whether an order became known a moment ago.
func (g *group) changing(now time.Time) bool { return now.Sub(g.changedAt) < changeShown }

// told takes in what an instance, asked at some moment, has said of itself.
func (g *group) told(c *Conn, asked time.Time, a statement.Answer) {
	s, ok := g.r.cfg.ParseStatus(a)
	if !ok {
		return
	}
	// A word that was asked for before the last one may come after it, over another connection:
	// it would make the instance again what it was, and unsettle a primary that leads.
	if !asked.Before(c.inst.termAt) {
		g.believe(c.inst, asked, s)
	}
	proved, refuted := g.proofs.AddStatus(c.Instance, asked, s.Term)
	for _, cl := range proved {
		g.proved(cl)
	}
	for _, cl := range refuted {
		g.unproved(cl, "another instance leads a later term")
	}
}

// believe takes in an instance's last word on itself.
func (g *group) believe(i *instance, asked time.Time, s statement.Status) {
	now := g.r.now()
	if i.term != s.Term && g.changing(now) {
		g.r.note(Event{
			Kind: EventInstance, Service: g.name, Instance: i.info.Name, Term: s.Term, Received: s.Received,
			InstancePoint: i.point, Choice: "in a new term", Reason: "it says that it is a " + string(s.Role),
		})
	}
	i.received, i.leads, i.term = s.Received, s.Role == fleet.RolePrimary, s.Term
	i.toldAt, i.termAt = now, asked
	if p, t, ok := g.belief.Primary(); ok && i.info.Name != p && s.Term > t {
		// The record of the order that it follows is still to be read.
		g.r.cfg.RefreshRecords()
	}
	if !g.belief.AddStatus(i.info.Name, s) {
		return
	}
	g.aliveAt, g.settledAt = now, now
	g.r.note(Event{
		Kind: EventLeader, Service: g.name, Instance: i.info.Name, Term: s.Term, InstancePoint: i.point, Received: s.Received,
		Choice: "use as the primary", Reason: "it says that it leads", Age: now.Sub(g.changedAt),
	})
}

// judge gives an answer to its caller, or has it wait for the proof that it came from
// the primary. Reads on replicas were proved by the point they had to cover.
func (g *group) judge(o *operation, c *Conn, a statement.Answer) {
	if o.s.boundInstance != "" {
		o.finish(a)
		return
	}
	if !o.needsPrimary && !g.leads(c.Instance) {
		if _, ok := o.requiredPosition.Get(); ok {
			o.finish(a)
			return
		}
	}
	if g.shows(o, c, a) {
		o.finish(a)
		return
	}
	now := g.r.now()
	v, term, ask := g.belief.VerifyAnswer(c.Instance, g.r.lease.RecordsCurrent(now), g.others(c.Instance))
	switch {
	case v == leader.VerdictVerified || v == leader.VerdictAsk && len(ask) == 0:
		g.confirmed(o, a)
	case v == leader.VerdictRefuted:
		o.unverifiedAnswer = &a
		g.unprovedOp(o, "the primary has been replaced")
	default:
		o.unverifiedAnswer = &a
		g.unproven[o.key] = o
		g.proofs.Add(leader.PendingAnswer{
			Key: o.key, Instance: c.Instance, Term: term, At: now, Deadline: now.Add(proofPatience),
		}, ask)
		g.askFor(now)
		g.r.requestTick()
	}
}

// shows reports whether the primary's answer to a read of an age shows all that it has to, whoever
// leads by now: the instance is known to have led alone up to the moment whose commits it owes,
// and its log holds the session's own.
//
// The load it is made for: a data centre that is cut off with the store away. Its primaries can't be
// proved to lead any more, yet for as long as callers accept they know all that is owed.
func (g *group) shows(o *operation, c *Conn, a statement.Answer) bool {
	if o.needsPrimary || g.primary() != c.inst || g.sole().Before(o.asOf) {
		return false
	}
	p, ok := a.Position.Get()
	return ok && p.Covers(o.s.lastCommit)
}

// proofPatience bounds the wait for a proof. It is some round trips with a new
// connection; what is not proved by then depends on an instance that can't be reached.
const proofPatience = 250 * time.Millisecond

// others returns the instances besides n that may lead. One that is off the list may
// still run, and be promoted by a host that finds it on the list again; this host
// leaves it out only where it has not found it there for long, and as long after it has looked as
// no order that was given since can have taken effect.
func (g *group) others(n fleet.Instance) []fleet.Instance {
	now := g.r.now()
	var out []fleet.Instance
	for _, i := range g.instances {
		left := i.gone && now.Sub(i.missing) > leftAfter && now.Sub(g.listedAt) < leader.LeaseValidity
		if i.info.Name != n && !left {
			out = append(out, i.info.Name)
		}
	}
	return out
}

const (
	// leftAfter is how long an instance has to be off the list to be left out of proofs,
	// keepGone how long it is remembered.
	leftAfter = 10 * time.Second
	keepGone  = 5 * time.Minute
)

// confirmed gives a proved answer.
func (g *group) confirmed(o *operation, a statement.Answer) {
	if p, ok := a.Position.Get(); ok && o.writes && !o.s.lastCommit.Covers(p) {
		o.s.lastCommit = p
	}
	o.finish(a)
}

func (g *group) proved(c leader.PendingAnswer) {
	o := g.unproven[c.Key]
	delete(g.unproven, c.Key)
	if o == nil || o.finished {
		return
	}
	if p, ok := o.unverifiedAnswer.Position.Get(); ok && !o.sentAt.Before(g.settledAt) {
		g.sampled(c.Instance, staleness.Sample{Position: p, AskedAt: o.sentAt, PrimaryTerm: c.Term})
	}
	g.confirmed(o, *o.unverifiedAnswer)
}

func (g *group) unproved(c leader.PendingAnswer, why string) {
	o := g.unproven[c.Key]
	delete(g.unproven, c.Key)
	if o == nil || o.finished {
		return
	}
	g.unprovedOp(o, why)
}

// unprovedOp handles an answer of what may no longer be the primary. A write may be
// lost; a read is run elsewhere, or its caller told to come back, as nothing is kept
// of it.
func (g *group) unprovedOp(o *operation, why string) {
	commit := o.q.Kind == statement.KindCommit
	switch {
	case commit && o.s.tx.mayHaveWritten || o.writes && !commit && !o.s.tx.open:
		o.inDoubt(why)
	case o.s.tx.open:
		o.s.failTransaction()
		o.give(statement.Answer{Code: statement.CodeAborted, Detail: "rolled back: " + why, RetryAfter: retrySoon})
	default:
		o.again(statement.CodeBusy)
	}
}
