package relay

import (
	"slices"
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/statement"
)

const (
	// dialPatience is how long a connection may take: five times what it does on a
	// busy instance. To one that is silent otherwise too it may take quietFor.
	dialPatience = 400 * time.Millisecond
	// settleEvery is how often an instance is asked whether it leads, while nobody does.
	settleEvery = 50 * time.Millisecond
	// sampleAge is the age from which on the newest point of the primary is asked for
	// anew while reads come: the strictest callers accept 1.5 s.
	sampleAge = 700 * time.Millisecond
	// sampleFor is how long after the last read that goes on.
	sampleFor = 2 * time.Second
	// quietFor is how long a question that takes no slot may go unanswered before the
	// connection counts as dead.
	quietFor = 200 * time.Millisecond
)

// tick looks at all that depends on the time.
func (g *group) tick(now time.Time) {
	if _, _, ok := g.belief.Primary(); ok {
		g.unsettled = now
	}
	g.expire(now)
	for _, c := range g.proofs.Expire(now) {
		g.unproved(c, "no proof in time that the primary has not been replaced")
	}
	if !now.Before(g.r.pauseGraceUntil) {
		g.overdue(now)
		g.watch(now)
	}
	g.decide(now)
	for _, i := range g.instances {
		i.closeIdleConns(now)
	}
	g.askFor(now)
	g.answerInquiries(now)
	g.settle(now)
	g.sample(now)
	g.affirm(now)
	g.follow(now)
	if len(g.waiting) > 0 {
		g.dispatch()
	}
}

// expire refuses what waits and can't be served in time any more.
func (g *group) expire(now time.Time) {
	for _, x := range g.queue.Expire(now) {
		o := g.waiting[x.Item.Key]
		delete(g.waiting, x.Item.Key)
		if o != nil {
			o.refuse(statement.CodeBusy, x.Refusal.Message, x.Refusal.RetryAfter)
		}
	}
	if g.able(now) == "" {
		g.ableAt = now
		return
	}
	for _, o := range g.waitingInOrder() {
		if why, after := g.hopeless(now, o); why != "" && g.queue.Remove(o.key) {
			delete(g.waiting, o.key)
			o.refuse(statement.CodeBusy, why, after)
		}
	}
}

func (g *group) waitingInOrder() []*operation {
	out := make([]*operation, 0, len(g.waiting))
	for _, o := range g.waiting {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b *operation) int { return a.startedAt.Compare(b.startedAt) })
	return out
}

// overdue closes connections that took too long to make, or whose statement has reached
// its time limit, or that owe an answer which takes the instance no time.
func (g *group) overdue(now time.Time) {
	for _, i := range g.instances {
		for _, c := range slices.Clone(i.conns) {
			switch {
			case c.state == connDialling && now.Sub(c.stateSince) > i.dialPatience(now):
				i.failed(now, "no answer to a new connection")
				c.handleClose("no answer to a new connection")
			case c.state == connBusy && len(c.pending) > 0 && quick(c.pending[0].kind) && now.Sub(c.pending[0].sentAt) > quietFor:
				i.failed(now, "no answer to a question")
				c.handleClose("no answer to a question")
			}
		}
	}
	for _, o := range g.running {
		if o.sent && now.After(o.deadline) {
			o.late()
		}
	}
}

const (
	// wonderAfter is how long an instance may be silent, with work on it, before it is
	// asked whether it is there: most statements take less.
	wonderAfter = 120 * time.Millisecond
	// silentFor is how long an instance that was asked may stay silent before all its
	// connections count as dead. A round trip takes 2 ms, and a question no slot.
	silentFor = 400 * time.Millisecond
)

// watch looks after instances that have work and stay silent: one that has lost power,
// or its network, resets no connection.
func (g *group) watch(now time.Time) {
	for _, i := range g.instances {
		if i.failures > 0 && !i.gone && !now.Before(i.next) {
			g.probe(now, i)
		}
		if i.busy() == i.lent {
			continue
		}
		quiet := now.Sub(i.lastHeard)
		if quiet > wonderAfter && now.Sub(i.askedAt) > wonderAfter && i.working(now) > wonderAfter {
			g.probe(now, i)
		}
		if i.failures > 0 && quiet > silentFor {
			for _, c := range slices.Clone(i.conns) {
				c.handleClose("the instance is silent")
			}
		}
	}
}

func (i *instance) dialPatience(now time.Time) time.Duration {
	if now.Sub(i.lastHeard) > wonderAfter+quietFor {
		return quietFor
	}
	return dialPatience
}

// quick reports whether an instance answers a statement without working for it.
func quick(k statement.Kind) bool {
	switch k {
	case statement.KindRead, statement.KindWrite, statement.KindCommit, statement.KindExecute, statement.KindStatus:
		return false
	default:
		return true
	}
}

// askFor asks the instances whose word is missing for a proof.
func (g *group) askFor(now time.Time) {
	for n, after := range g.proofs.Awaited() {
		i := g.instances[n]
		if i == nil || !i.askedAt.Before(after) {
			continue
		}
		g.question(now, i)
	}
}

// question asks an instance what it is: over its holder, a connection that rests, or a
// new one.
func (g *group) question(now time.Time, i *instance) {
	if p, ok := g.r.holder(i); ok {
		if a, ok := g.anyAccount(); ok && p.Send != nil && now.Sub(i.askedAt) > askAgain {
			i.askedAt = now
			i.connVia(p, a).requestStatus()
		}
		return
	}
	g.probe(now, i)
}

// probe asks an instance by a connection of this host's own, whoever holds it else: to
// learn whether this host can reach it.
func (g *group) probe(now time.Time, i *instance) {
	if c := i.longestIdle(); c != nil {
		i.askedAt = now
		c.requestStatus()
		return
	}
	g.reach(now, i)
}

// askAgain spaces the questions over another host.
const askAgain = 20 * time.Millisecond

// reach makes a connection to an instance, if none is being made and there is room.
func (g *group) reach(now time.Time, i *instance) {
	if now.Before(i.next) || slices.ContainsFunc(i.conns, func(c *Conn) bool { return c.state == connDialling }) {
		return
	}
	if a, ok := g.anyAccount(); ok && len(i.conns) < i.maxConns(now) {
		i.dial(a)
	}
}

// inquiry is another host's question that waits for a connection.
type inquiry struct {
	i     *instance
	term  fleet.Term
	until time.Time
	reply func(a statement.Answer)
}

// inquiryPatience bounds that wait; whoever asks needs the answer within a proof's time.
const inquiryPatience = 150 * time.Millisecond

// inquire asks an instance for another host, or has it step down below a term.
func (g *group) inquire(n fleet.Instance, t fleet.Term, reply func(a statement.Answer)) {
	now := g.r.now()
	i := g.instances[n]
	if i == nil && g.r.meeting(now) {
		reply(statement.Answer{Code: statement.CodeBusy, Detail: "this host has just started", State: statement.TxNone})
		return
	}
	if i == nil || i.gone || i.doubtful(now) {
		reply(unasked("this host can't reach the instance"))
		return
	}
	g.inquiries = append(g.inquiries, inquiry{i: i, term: t, until: now.Add(inquiryPatience), reply: reply})
	g.answerInquiries(now)
	g.r.requestTick()
}

func unasked(why string) statement.Answer {
	return statement.Answer{Code: statement.CodeUnreachable, Detail: why, State: statement.TxNone}
}

// answerInquiries puts the questions that wait to instances with a connection at rest.
func (g *group) answerInquiries(now time.Time) {
	g.inquiries = slices.DeleteFunc(g.inquiries, func(q inquiry) bool {
		if c := q.i.longestIdle(); c != nil {
			c.stepDown(q.term, q.reply)
			return true
		}
		if now.After(q.until) {
			q.reply(unasked("no connection was free in time"))
			return true
		}
		g.reach(now, q.i)
		return false
	})
}

// settle asks the instance that is to lead whether it does.
func (g *group) settle(now time.Time) {
	if _, _, ok := g.belief.Primary(); ok || now.Sub(g.verifiedAt) < settleEvery {
		return
	}
	i := g.instances[g.belief.DesignatedPrimary()]
	if i == nil {
		return
	}
	g.verifiedAt = now
	g.question(now, i)
}

// sample asks the primary for its point while reads come and nothing else tells it.
func (g *group) sample(now time.Time) {
	if now.Sub(g.readAt) > sampleFor {
		return
	}
	if s, ok := g.samples.Newest(); ok && now.Sub(s.AskedAt) < sampleAge {
		return
	}
	n, _, ok := g.belief.Primary()
	if i := g.instances[n]; ok && i != nil && now.Sub(i.askedAt) > settleEvery {
		g.question(now, i)
	}
}
