package relay

import (
	"slices"
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/statement"
)

const (
	// dialTimeout is how long a connection may take: five times as long as on a busy instance. If the
	// instance is silent on other connections too, statusRequestTimeout applies.
	dialTimeout = 400 * time.Millisecond
	// primaryRequestInterval is the interval at which the designated primary is asked for its status while no
	// primary is confirmed, and the least interval of other status requests.
	primaryRequestInterval = 50 * time.Millisecond
	// sampleMaxAge is the age at which the newest sample of the primary is refreshed while there are reads
	// that a replica may serve. The strictest callers accept data that is 1.5 s old.
	sampleMaxAge = 700 * time.Millisecond
	// sampleAfterRead is how long after the last such read samples are still refreshed.
	sampleAfterRead = 2 * time.Second
	// statusRequestTimeout is how long a status request, or another statement that takes no slot, may go
	// unanswered before the connection counts as dead.
	statusRequestTimeout = 200 * time.Millisecond
)

// tick runs everything in the group that depends on the time.
func (g *group) tick(now time.Time) {
	if _, _, ok := g.primaryState.Primary(); ok || !g.confirmsPrimary(now) {
		g.unconfirmedSince = now
	}
	if len(g.waiting) > 0 {
		g.setQueueSlots(now)
	}
	g.expireWaiting(now)
	for _, c := range g.pendingAnswers.Expire(now) {
		g.answerUnverified(c, "no proof in time that the primary has not been replaced")
	}
	if !now.Before(g.r.pauseGraceUntil) {
		g.closeOverdue(now)
		g.probeSilent(now)
	}
	g.evaluateOutliers(now)
	g.decidePromotion(now)
	g.checkHolds(now)
	g.releaseHeld(now)
	g.settleDeparted(now)
	for _, i := range g.instances {
		i.closeIdleConns(now)
	}
	g.requestAwaited(now)
	g.sendPeerRequests(now)
	g.checkDesignatedPrimary(now)
	g.refreshSample(now)
	g.verifySample(now)
	g.requestReplicaTerms(now)
	if len(g.waiting) > 0 {
		g.dispatch()
	}
	if !g.needsTick(now) {
		g.active = false
		delete(g.r.active, g)
	}
}

// expireWaiting refuses waiting operations that can no longer be served in time.
func (g *group) expireWaiting(now time.Time) {
	g.refuseRemoved(g.queue.Expire(now))
	if g.unavailableReason(now) == "" {
		g.primaryAvailableAt = now
		return
	}
	for _, o := range g.waitingInOrder() {
		if reason, retryAfter := g.refusalReason(now, o); reason != "" && g.queue.Remove(o.key) {
			delete(g.waiting, o.key)
			o.refuse(statement.CodeBusy, reason, o.retryTime(retryAfter))
		}
	}
}

// waitingInOrder returns the waiting operations, the oldest first.
func (g *group) waitingInOrder() []*operation {
	out := make([]*operation, 0, len(g.waiting))
	for _, o := range g.waiting {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b *operation) int { return a.startedAt.Compare(b.startedAt) })
	return out
}

// closeOverdue closes connections that take longer than dialTimeout to open, that have owed the answer to
// a statement which takes no slot for longer than statusRequestTimeout, or whose operation has reached
// its deadline.
func (g *group) closeOverdue(now time.Time) {
	for _, i := range g.instances {
		for _, c := range slices.Clone(i.conns) {
			switch {
			case c.state == connDialling && now.Sub(c.stateSince) > i.dialTimeout(now):
				i.addFailure(now, "no answer to a new connection")
				c.handleClose("no answer to a new connection")
			case c.state == connBusy && len(c.pending) > 0 && takesNoSlot(c.pending[0].kind) &&
				now.Sub(c.pending[0].sentAt) > statusRequestTimeout:
				i.addFailure(now, "no answer to a statement that takes no slot")
				c.handleClose("no answer to a question")
			case c.state == connBusy && len(c.pending) > 0 && c.op == nil && isHoldRequest(c.pending[0].kind) &&
				now.Sub(c.pending[0].sentAt) > holdResponseTimeout:
				c.handleClose("no answer to a request to hold back")
			}
		}
	}
	for _, o := range g.running {
		o.checkResponse(now)
		if o.sent && now.After(o.deadline) {
			o.timeOut("the statement has reached its time limit")
		}
	}
}

const (
	// probeAfter is how long an instance with pending statements may be silent before it is probed. Most
	// statements take less.
	probeAfter = 120 * time.Millisecond
	// closeSilentAfter is how long an instance that has failed a probe may be silent before all its
	// connections count as dead. A round trip takes 2 ms, and a status request takes no slot.
	closeSilentAfter = 400 * time.Millisecond
)

// probeSilent probes instances that are silent with statements pending, and closes the connections of
// those that stay silent. An instance that has lost power or its network resets no connection.
func (g *group) probeSilent(now time.Time) {
	for _, i := range g.instances {
		if i.failures > 0 && !i.removed && !now.Before(i.nextDial) {
			g.probe(now, i)
		}
		if i.ownRunning() == 0 {
			continue
		}
		quiet := now.Sub(i.lastHeard)
		if quiet > probeAfter && now.Sub(i.askedAt) > probeAfter && i.oldestStatementAge(now) > probeAfter {
			g.probe(now, i)
		}
		if i.failures > 0 && quiet > closeSilentAfter {
			for _, c := range slices.Clone(i.conns) {
				c.handleClose("the instance is silent")
			}
		}
	}
}

// dialTimeout returns how long a new connection to the instance may take.
func (i *instance) dialTimeout(now time.Time) time.Duration {
	if now.Sub(i.lastHeard) > probeAfter+statusRequestTimeout {
		return statusRequestTimeout
	}
	return dialTimeout
}

// takesNoSlot reports whether an instance answers a statement without a slot, that is at once.
func takesNoSlot(k statement.Kind) bool {
	switch k {
	case statement.KindRead, statement.KindWrite, statement.KindCommit, statement.KindExecute, statement.KindStatus,
		statement.KindPause, statement.KindResume:
		return false
	default:
		return true
	}
}

// isHoldRequest reports whether a statement holds an instance back or ends that. It may have to wait for a slot.
func isHoldRequest(k statement.Kind) bool {
	return k == statement.KindPause || k == statement.KindResume
}

// requestAwaited requests the status of the instances that a pending verification awaits.
func (g *group) requestAwaited(now time.Time) {
	for n, after := range g.pendingAnswers.Awaited() {
		i := g.instances[n]
		if i == nil || !i.askedAt.Before(after) && now.Sub(i.askedAt) < primaryRequestInterval {
			continue
		}
		g.requestStatus(now, i)
	}
}

// requestStatus requests an instance's status over its holder, an idle connection or a new one.
func (g *group) requestStatus(now time.Time, i *instance) {
	if p, ok := g.r.holder(i); ok && now.Sub(i.askedAt) <= statusRequestInterval {
		g.r.requestLink(p)
		return
	}
	if g.control(now, i, statement.KindStepDown, 0) {
		i.askedAt = now
	}
}

// control sends an instance a statement that it answers with its status, over its holder or on an idle connection,
// and reports whether it could. Otherwise a connection is being made.
func (g *group) control(now time.Time, i *instance, k statement.Kind, t fleet.Term) bool {
	p, ok := g.r.holder(i)
	if !ok {
		return g.controlDirectly(now, i, k, t)
	}
	g.r.requestLink(p)
	a, ok := g.anyAccount()
	if !ok || p.Send == nil {
		return false
	}
	i.connVia(p, a).control(k, t, nil)
	return true
}

// controlDirectly is control on a connection of this host's own.
func (g *group) controlDirectly(now time.Time, i *instance, k statement.Kind, t fleet.Term) bool {
	c := i.longestIdle()
	if c == nil {
		g.dialForRequest(now, i)
		return false
	}
	c.control(k, t, nil)
	return true
}

// probe requests an instance's status on a connection of this host's own, even if another host is its
// holder, to find out whether this host can reach it.
func (g *group) probe(now time.Time, i *instance) {
	if g.controlDirectly(now, i, statement.KindStepDown, 0) {
		i.askedAt = now
	}
}

// statusRequestInterval is the least interval of status requests to an instance over another host.
const statusRequestInterval = 20 * time.Millisecond

// dialForRequest dials an instance for a status request, unless a dial is in progress or its pause or
// connection limit forbids it.
func (g *group) dialForRequest(now time.Time, i *instance) {
	if now.Before(i.nextDial) || slices.ContainsFunc(i.conns, func(c *Conn) bool { return c.state == connDialling }) {
		return
	}
	if a, ok := g.anyAccount(); ok && len(i.conns) < i.maxConns(now) {
		i.dial(a)
	}
}

// peerStatusRequest is a status request of another host that waits for a connection.
type peerStatusRequest struct {
	i     *instance
	kind  statement.Kind
	term  fleet.Term
	until time.Time
	reply func(a statement.Answer)
}

// peerRequestTimeout bounds that wait. The requesting host needs the answer within verificationTimeout.
const peerRequestTimeout = 150 * time.Millisecond

// requestForPeer sends an instance a control statement with a term for another host.
func (g *group) requestForPeer(n fleet.Instance, k statement.Kind, t fleet.Term, reply func(a statement.Answer)) {
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
	g.wake()
	g.peerRequests = append(g.peerRequests, peerStatusRequest{
		i: i, kind: k, term: t, until: now.Add(peerRequestTimeout), reply: reply,
	})
	g.sendPeerRequests(now)
	g.r.requestTick()
}

// unreachableAnswer returns the answer to a status request that could not be sent.
func unreachableAnswer(reason string) statement.Answer {
	return statement.Answer{Code: statement.CodeUnreachable, Detail: reason, State: statement.TxNone}
}

// sendPeerRequests sends the waiting status requests on idle connections, and answers those whose wait is over.
//
// A connection that opens or breaks as something is sent comes back here through dispatch, so that the list is taken
// first and what has to wait on is added again.
func (g *group) sendPeerRequests(now time.Time) {
	waiting := g.peerRequests
	g.peerRequests = nil
	for _, q := range waiting {
		if !g.sendPeerRequest(now, q) {
			g.peerRequests = append(g.peerRequests, q)
		}
	}
}

// sendPeerRequest sends a status request, or answers it if its wait is over. It reports false if the request has to
// wait on.
func (g *group) sendPeerRequest(now time.Time, q peerStatusRequest) bool {
	if c := q.i.longestIdle(); c != nil {
		c.control(q.kind, q.term, q.reply)
		return true
	}
	if now.After(q.until) {
		q.reply(unreachableAnswer("no connection was free in time"))
		return true
	}
	g.dialForRequest(now, q.i)
	return false
}

// checkDesignatedPrimary requests the status of the designated primary until it is confirmed, on a host that is to
// know it.
func (g *group) checkDesignatedPrimary(now time.Time) {
	if _, _, ok := g.primaryState.Primary(); ok || !g.confirmsPrimary(now) ||
		now.Sub(g.primaryAskedAt) < primaryRequestInterval {
		return
	}
	i := g.instances[g.primaryState.DesignatedPrimary()]
	if i == nil {
		return
	}
	if p, held := g.r.holder(i); held && p.Send == nil {
		// It is asked as soon as the link stands.
		g.r.requestLink(p)
		return
	}
	g.primaryAskedAt = now
	g.requestStatus(now, i)
}

// askNewConn requests the status of the designated primary on a connection that was just made, if this host is to
// know the primary: it may have been made for that.
func (g *group) askNewConn(c *Conn) {
	now := g.r.now()
	_, _, confirmed := g.primaryState.Primary()
	if confirmed || !g.confirmsPrimary(now) || c.Instance != g.primaryState.DesignatedPrimary() {
		return
	}
	g.primaryAskedAt, c.inst.askedAt = now, now
	c.requestStatus()
}

// refreshSample requests the primary's status, whose answer carries its log position, while there are reads
// and the newest sample is older than sampleMaxAge.
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
