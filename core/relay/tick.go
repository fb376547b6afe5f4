package relay

import (
	"slices"
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/statement"
)

const (
	// dialTimeout is how long a connection may take: five times what it does on a
	// busy instance. To one that is silent otherwise too it may take quietFor.
	dialTimeout = 400 * time.Millisecond
	// primaryRequestInterval is how often an instance is asked whether it leads, while nobody does.
	primaryRequestInterval = 50 * time.Millisecond
	// sampleMaxAge is the age from which on the newest point of the primary is asked for
	// anew while reads come: the strictest callers accept 1.5 s.
	sampleMaxAge = 700 * time.Millisecond
	// sampleAfterRead is how long after the last read that goes on.
	sampleAfterRead = 2 * time.Second
	// statusRequestTimeout is how long a question that takes no slot may go unanswered before the
	// connection counts as dead.
	statusRequestTimeout = 200 * time.Millisecond
)

// tick looks at all that depends on the time.
func (g *group) tick(now time.Time) {
	if _, _, ok := g.primaryState.Primary(); ok {
		g.unconfirmedSince = now
	}
	g.expireWaiting(now)
	for _, c := range g.pendingAnswers.Expire(now) {
		g.answerUnverified(c, "no proof in time that the primary has not been replaced")
	}
	if !now.Before(g.r.awake) {
		g.closeOverdue(now)
		g.probeSilent(now)
	}
	g.decidePromotion(now)
	for _, i := range g.instances {
		i.sweep(now)
	}
	g.requestAwaited(now)
	g.sendPeerRequests(now)
	g.checkDesignatedPrimary(now)
	g.refreshSample(now)
	g.verifySample(now)
	g.requestReplicaTerms(now)
	if len(g.waiting) > 0 {
		g.pump()
	}
}

// expireWaiting refuses what waits and can't be served in time any more.
func (g *group) expireWaiting(now time.Time) {
	for _, x := range g.queue.Expire(now) {
		o := g.waiting[x.Item.Key]
		delete(g.waiting, x.Item.Key)
		if o != nil {
			o.refuse(statement.CodeBusy, x.Refusal.Message, x.Refusal.RetryAfter)
		}
	}
	if g.unavailableReason(now) == "" {
		g.primaryAvailableAt = now
		return
	}
	for _, o := range g.waitingInOrder() {
		if reason, retryAfter := g.refusalReason(now, o); reason != "" && g.queue.Remove(o.key) {
			delete(g.waiting, o.key)
			o.refuse(statement.CodeBusy, reason, retryAfter)
		}
	}
}

func (g *group) waitingInOrder() []*operation {
	out := make([]*operation, 0, len(g.waiting))
	for _, o := range g.waiting {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b *operation) int { return a.asked.Compare(b.asked) })
	return out
}

// closeOverdue closes connections that took too long to make, or whose statement has reached
// its time limit, or that owe an answer which takes the instance no time.
func (g *group) closeOverdue(now time.Time) {
	for _, i := range g.instances {
		for _, c := range slices.Clone(i.conns) {
			switch {
			case c.state == connDialling && now.Sub(c.since) > i.dialTimeout(now):
				i.addFailure(now, "no answer to a new connection")
				c.lost("no answer to a new connection")
			case c.state == connBusy && len(c.owed) > 0 && takesNoSlot(c.owed[0].kind) && now.Sub(c.owed[0].asked) > statusRequestTimeout:
				i.addFailure(now, "no answer to a question")
				c.lost("no answer to a question")
			}
		}
	}
	for _, o := range g.running {
		if o.sent && now.After(o.deadline) {
			o.timeOut()
		}
	}
}

const (
	// probeAfter is how long an instance may be silent, with work on it, before it is
	// asked whether it is there: most statements take less.
	probeAfter = 120 * time.Millisecond
	// closeSilentAfter is how long an instance that was asked may stay silent before all its
	// connections count as dead. A round trip takes 2 ms, and a question no slot.
	closeSilentAfter = 400 * time.Millisecond
)

// probeSilent looks after instances that have work and stay silent: one that has lost power,
// or its network, resets no connection.
func (g *group) probeSilent(now time.Time) {
	for _, i := range g.instances {
		if i.failures > 0 && !i.removed && !now.Before(i.nextDial) {
			g.probe(now, i)
		}
		if i.busyConns() == i.forwardedCount {
			continue
		}
		quiet := now.Sub(i.lastHeard)
		if quiet > probeAfter && now.Sub(i.askedAt) > probeAfter && i.oldestStatementAge(now) > probeAfter {
			g.probe(now, i)
		}
		if i.failures > 0 && quiet > closeSilentAfter {
			for _, c := range slices.Clone(i.conns) {
				c.lost("the instance is silent")
			}
		}
	}
}

func (i *instance) dialTimeout(now time.Time) time.Duration {
	if now.Sub(i.lastHeard) > probeAfter+statusRequestTimeout {
		return statusRequestTimeout
	}
	return dialTimeout
}

// takesNoSlot reports whether an instance answers a statement without working for it.
func takesNoSlot(k statement.Kind) bool {
	switch k {
	case statement.KindRead, statement.KindWrite, statement.KindCommit, statement.KindExecute, statement.KindStatus:
		return false
	default:
		return true
	}
}

// requestAwaited asks the instances whose word is missing for a proof.
func (g *group) requestAwaited(now time.Time) {
	for n, after := range g.pendingAnswers.Awaited() {
		i := g.instances[n]
		if i == nil || !i.askedAt.Before(after) {
			continue
		}
		g.requestStatus(now, i)
	}
}

// requestStatus asks an instance what it is: over its holder, a connection that rests, or a
// new one.
func (g *group) requestStatus(now time.Time, i *instance) {
	if p, ok := g.r.holder(i); ok {
		if a, ok := g.anyAccount(); ok && p.Send != nil && now.Sub(i.askedAt) > statusRequestInterval {
			i.askedAt = now
			i.over(p, a).ask()
		}
		return
	}
	g.probe(now, i)
}

// probe asks an instance by a connection of this host's own, whoever holds it else: to
// learn whether this host can reach it.
func (g *group) probe(now time.Time, i *instance) {
	if c := i.resting(); c != nil {
		i.askedAt = now
		c.ask()
		return
	}
	g.dialForRequest(now, i)
}

// statusRequestInterval spaces the questions over another host.
const statusRequestInterval = 20 * time.Millisecond

// dialForRequest makes a connection to an instance, if none is being made and there is room.
func (g *group) dialForRequest(now time.Time, i *instance) {
	if now.Before(i.nextDial) || slices.ContainsFunc(i.conns, func(c *Conn) bool { return c.state == connDialling }) {
		return
	}
	if a, ok := g.anyAccount(); ok && len(i.conns) < i.cap(now) {
		i.dial(a)
	}
}

// peerStatusRequest is another host's question that waits for a connection.
type peerStatusRequest struct {
	i     *instance
	term  fleet.Term
	until time.Time
	reply func(a statement.Answer)
}

// peerRequestTimeout bounds that wait; whoever asks needs the answer within a proof's time.
const peerRequestTimeout = 150 * time.Millisecond

// requestForPeer asks an instance for another host, or has it step down below a term.
func (g *group) requestForPeer(n fleet.Instance, t fleet.Term, reply func(a statement.Answer)) {
	now := g.r.now()
	i := g.instances[n]
	if i == nil && g.r.startingUp(now) {
		reply(statement.Answer{Code: statement.CodeBusy, Detail: "this host has just started", State: statement.TxNone})
		return
	}
	if i == nil || i.removed || i.suspected(now) {
		reply(unreachableAnswer("this host can't reach the instance"))
		return
	}
	g.peerRequests = append(g.peerRequests, peerStatusRequest{i: i, term: t, until: now.Add(peerRequestTimeout), reply: reply})
	g.sendPeerRequests(now)
	g.r.hurry()
}

func unreachableAnswer(reason string) statement.Answer {
	return statement.Answer{Code: statement.CodeUnreachable, Detail: reason, State: statement.TxNone}
}

// sendPeerRequests puts the questions that wait to instances with a connection at rest.
func (g *group) sendPeerRequests(now time.Time) {
	g.peerRequests = slices.DeleteFunc(g.peerRequests, func(q peerStatusRequest) bool {
		if c := q.i.resting(); c != nil {
			c.stepDown(q.term, q.reply)
			return true
		}
		if now.After(q.until) {
			q.reply(unreachableAnswer("no connection was free in time"))
			return true
		}
		g.dialForRequest(now, q.i)
		return false
	})
}

// checkDesignatedPrimary asks the instance that is to lead whether it does.
func (g *group) checkDesignatedPrimary(now time.Time) {
	if _, _, ok := g.primaryState.Primary(); ok || now.Sub(g.primaryAskedAt) < primaryRequestInterval {
		return
	}
	i := g.instances[g.primaryState.DesignatedPrimary()]
	if i == nil {
		return
	}
	g.primaryAskedAt = now
	g.requestStatus(now, i)
}

// refreshSample asks the primary for its point while reads come and nothing else tells it.
func (g *group) refreshSample(now time.Time) {
	if now.Sub(g.replicaReadAt) > sampleAfterRead {
		return
	}
	if s, ok := g.samples.Newest(); ok && now.Sub(s.AskedAt) < sampleMaxAge {
		return
	}
	n, _, ok := g.primaryState.Primary()
	if i := g.instances[n]; ok && i != nil && now.Sub(i.askedAt) > primaryRequestInterval {
		g.requestStatus(now, i)
	}
}
