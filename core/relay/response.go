package relay

import (
	"time"

	"skylarkdeal/core/outlier"
	"skylarkdeal/core/statement"
)

// checkResponse handles an operation that has got no response in the expected time: it records that, and
// runs a read again on another path.
//
// Designed for a host or an instance that stops answering. The caller of a pending read would be refused at its
// deadline, although another instance could have run the read meanwhile.
func (o *operation) checkResponse(now time.Time) {
	c := o.conn
	if !o.g.r.cfg.DetectOutliers || c == nil || c.op != o || !o.sent {
		return
	}
	timeout := outlier.ResponseTimeout(max(o.route.Target, o.g.smallestTarget(c.inst)), c.inst.avgLatency)
	if timeout == 0 || now.Sub(o.sentAt) < timeout {
		return
	}
	if !o.overdue {
		o.overdue = true
		if o.respondedSince(c) {
			o.recordOutcome(now, outlier.Outcome{Kind: outlier.TimedOut, Took: timeout})
		}
	}
	if o.mayRunAgain(now) {
		o.runAgain(now)
	}
}

// respondedSince reports whether the instance, or the host that the operation was forwarded to, has answered
// anything since the operation was sent. Otherwise the link to it may be cut, which is no fault of the
// instance.
func (o *operation) respondedSince(c *Conn) bool {
	if c.via != "" {
		return o.g.r.forwarding.answeredAt[c.via].After(o.sentAt)
	}
	return c.inst.lastHeard.After(o.sentAt)
}

// mayRunAgain reports whether another path can run the operation within the time left, and the operation and its
// route allow that.
func (o *operation) mayRunAgain(now time.Time) bool {
	if !o.isRepeatable() || o.attempts >= maxAttempts || o.isLastRun() || !now.Before(o.deadline) {
		return false
	}
	i := o.conn.inst
	return o.g.runsElsewhere(now, i, o) || o.reachedWithoutHolder(now, i)
}

// reachedWithoutHolder reports whether the host that the operation was forwarded to is silent, and another
// one, or this host, can run it on the same instance.
func (o *operation) reachedWithoutHolder(now time.Time, i *instance) bool {
	via := o.conn.via
	if via == "" || o.respondedSince(o.conn) {
		return false
	}
	p, held := o.g.r.holderExcept(i, via)
	if held {
		return p.Send != nil
	}
	return !i.suspected(now)
}

// runAgain abandons the attempt that has got no response and queues the read again, if the retry budget has
// room. The connection of the attempt is closed, so that a late response reaches nobody.
func (o *operation) runAgain(now time.Time) {
	if !o.g.retryBudget.Take() {
		return
	}
	c, code := o.conn, statement.CodeTimeout
	if c.via != "" && !o.respondedSince(c) {
		// Another host can run the read on the same instance.
		c.inst.setBlocked(c.via, now.Add(blockedHostFor))
		code = statement.CodeUnreachable
	}
	o.g.r.counters.AbandonedReads++
	o.logEvent(EventRetry, "run the read on another path", "no response in the expected time", statement.CodeTimeout)
	c.op = nil
	c.handleClose("no response in the expected time")
	o.runAgainAt = now
	o.releaseSlot(now, 0)
	o.runs++
	o.requeue(code)
}
