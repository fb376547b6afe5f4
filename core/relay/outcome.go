package relay

import (
	"time"

	"skylarkdeal/core/statement"
)

// handleAnswer handles the instance's answer to the operation.
func (o *operation) handleAnswer(a statement.Answer) {
	c := o.conn
	if c.op != o {
		return
	}
	now := o.g.r.now()
	took := now.Sub(o.sentAt)
	if c.via == "" {
		c.inst.adjustLimit(now, o, a.Code, took)
	}
	o.recordAnswer(now, took, a)
	o.releaseSlot(now, took)
	c.op = nil
	if a.Code == statement.CodeNone {
		c.inst.addLatency(now, took)
		c.inst.lagCount = 0
		o.g.pacer.Completed(now)
		o.handleSuccess(a)
		return
	}
	o.g.handleRefusal(c, a.Code, o)
	o.recordBusy(a)
	// The instance refused the prepare that was sent ahead of the statement.
	c.dirty = c.dirty || a.Code == statement.CodeNotPrepared
	if o.beginsTx && c.via != "" && a.Code.NotRun() {
		// The other host has not begun the transaction, or has rolled it back.
		o.s.tx.conn, c.session = nil, nil
		c.retire()
		o.retry(a.Code)
		return
	}
	if o.s.tx.open {
		o.failTransaction(a)
		return
	}
	c.releaseOutsideTx(a)
	if o.s.boundInstance != "" {
		o.finish(a)
		return
	}
	if a.Code.NotRun() || !o.writes && (a.Code == statement.CodeFailed || a.Code == statement.CodeTimeout) {
		o.retry(a.Code)
		return
	}
	o.finish(a)
}

// releaseOutsideTx frees a connection after a statement outside a transaction, or closes it if it is
// still in one.
func (c *Conn) releaseOutsideTx(a statement.Answer) {
	c.freeIf(a.State == statement.TxNone)
}

// handleSuccess releases the connection if no transaction stays open on it, and verifies the answer.
func (o *operation) handleSuccess(a statement.Answer) {
	c := o.conn
	commit := o.q.Kind == statement.KindCommit
	switch {
	case !o.s.tx.open:
		c.releaseOutsideTx(a)
	case commit:
		o.s.tx.conn = nil
		c.session = nil
		c.releaseOutsideTx(a)
	}
	o.g.verifyAnswer(o, c, a)
}

// failTransaction rolls back the operation's transaction and answers with the failure.
func (o *operation) failTransaction(a statement.Answer) {
	o.s.failTransaction()
	o.finish(a)
}

// retry queues an operation again that was not run, or refuses it if there is no time or instance left.
//
// An operation of a transaction that had begun isn't retried, such as one whose SET was refused or whose
// connection broke before it was sent. On another connection it would run and commit on its own, while
// the rest of its transaction is rolled back.
func (o *operation) retry(code statement.Code) {
	now := o.g.r.now()
	o.releaseSlot(now, 0)
	if o.finished {
		return
	}
	if o.txBegun() {
		o.failTransaction(statement.Answer{
			Code: statement.CodeAborted, Detail: "rolled back: its connection could not be made ready",
			RetryAfter: o.g.r.shortRetry(),
		})
		return
	}
	if o.s.boundInstance != "" && code == statement.CodeFailed {
		o.answerCaller(statement.Answer{Code: code, Detail: "the connection to the instance was lost"})
		return
	}
	if o.attempts >= maxAttempts || !now.Before(o.deadline) {
		o.refuse(code, "no instance could run it", o.retryTime(shortRetryAfter))
		return
	}
	if reason := o.noRetryReason(code); reason != "" {
		o.refuse(code, reason, o.retryTime(shortRetryAfter))
		return
	}
	o.logEvent(EventRetry, "retry the statement", "it was not run", code)
	o.requeue(code)
}

// requeue queues an operation again that has failed with code, for another instance unless the same one may run
// it next time.
func (o *operation) requeue(code statement.Code) {
	retryHere := code == statement.CodeReadOnly || code == statement.CodeNotPrepared || code == statement.CodeUnreachable
	if o.conn != nil && o.s.boundInstance == "" && !retryHere {
		o.excluded.Add(o.conn.Instance)
	}
	o.g.r.counters.Retried++
	o.enqueue()
}

// shortRetryAfter is the delay after which a caller may retry when a failure is short, such as a
// promotion that is about to finish.
const shortRetryAfter = 100 * time.Millisecond

// connLost handles the loss of the connection that ran the operation.
//
// A statement that was not sent was not run. A transaction whose commit was not sent is rolled back
// with its connection. Only a write, or the commit of writes, that was sent may have been run or not:
// it is never sent again, and its caller is told at once that it is in doubt.
func (o *operation) connLost(reason string) {
	if o.finished {
		return
	}
	o.releaseSlot(o.g.r.now(), 0)
	commit := o.q.Kind == statement.KindCommit
	switch {
	case !o.sent:
		o.retry(statement.CodeBusy)
	case o.s.tx.open && (!commit || !o.s.tx.mayHaveWritten):
		o.s.tx.failed = true
		o.answerCaller(statement.Answer{
			Code: statement.CodeAborted, Detail: "rolled back: " + reason, RetryAfter: o.g.r.shortRetry(),
		})
	case commit || o.writes:
		o.answerInDoubt(reason)
	default:
		o.retry(statement.CodeFailed)
	}
}

// answerInDoubt answers that the write may have been run or not.
func (o *operation) answerInDoubt(reason string) {
	o.g.r.counters.InDoubt++
	o.answerCaller(statement.Answer{Code: statement.CodeInDoubt, Detail: "sent, but not known to be kept: " + reason})
}

// timeOut closes the connection of a statement for which there is no time left at the instance, and answers.
func (o *operation) timeOut(reason string) {
	c := o.conn
	c.op = nil
	o.logEvent(EventAnswer, "time out", reason, statement.CodeTimeout)
	c.handleClose(reason)
	if o.s.tx.conn == c {
		o.s.tx.conn = nil
	}
	if o.sent && !o.writes && !o.s.tx.open {
		o.releaseSlot(o.g.r.now(), 0)
		o.answerCaller(statement.Answer{Code: statement.CodeTimeout, Detail: reason})
		return
	}
	o.connLost(reason)
}

// isWaiting reports whether the operation waits in the group's queue.
func (o *operation) isWaiting() bool { return o.g.waiting[o.key] == o }

// stop answers an operation for which there is no time left, with what is known of it.
func (o *operation) stop(reason string) {
	o.deadline = o.g.r.now()
	switch {
	case o.isWaiting():
		o.g.queue.Remove(o.key)
		delete(o.g.waiting, o.key)
		o.refuse(statement.CodeBusy, reason, o.g.r.shortRetry())
	case o.unverifiedAnswer != nil:
		delete(o.g.pendingVerification, o.key)
		o.g.finishUnverified(o, reason)
	case o.conn != nil && o.conn.op == o:
		o.timeOut(reason)
	}
}

// refuse answers that nothing was run, and refunds the admission if no instance was sent any of it.
func (o *operation) refuse(code statement.Code, reason string, retryAfter time.Duration) {
	if !o.everSent && (!o.s.tx.open || !o.s.tx.mayHaveRun) && o.g.r.cfg.Refund != nil && o.s.boundInstance == "" {
		o.g.r.cfg.Refund(o.s.account)
	}
	if o.s.tx.open {
		// The transaction never began on an instance, or was rolled back.
		o.s.failTransaction()
	}
	if code == statement.CodeFailed || code == statement.CodeTimeout || code == statement.CodeNotPrepared {
		// Nothing was run, or only a read, which has no effect: the caller may retry.
		code = statement.CodeBusy
	}
	o.g.r.counters.Refused++
	o.g.r.counters.RefusedByPriority[o.route.Priority.Clamp()]++
	o.s.lastRefused = true
	o.logRefusal(reason, code, retryAfter)
	o.answerCaller(statement.Answer{Code: code, Detail: reason, RetryAfter: retryAfter})
}

// finish answers the caller with the instance's answer.
func (o *operation) finish(a statement.Answer) {
	if a.Code == statement.CodeNone {
		o.g.r.counters.Answered++
	}
	o.answerCaller(a)
}

// releaseSlot releases the slot that the operation took in the group's queue. latency is how long it
// held the slot, zero if that must not count in the queue's history.
func (o *operation) releaseSlot(now time.Time, latency time.Duration) {
	delete(o.g.running, o.key)
	if c := o.conn; c != nil && c.inst.trialRead == o {
		c.inst.trialRead = nil
	}
	o.abortProbe()
	o.g.queue.Finished(now, o.key, latency)
}

// answerCaller ends the operation with an answer to its caller. A commit ends its transaction whatever
// its outcome.
func (o *operation) answerCaller(a statement.Answer) {
	if o.finished {
		return
	}
	o.finished = true
	s := o.s
	s.op = nil
	if o.q.Kind == statement.KindCommit {
		s.tx = transaction{}
	}
	if s.disconnected {
		return
	}
	s.tx.idleSince = o.g.r.now()
	a.State = s.state()
	took := s.tx.idleSince.Sub(o.startedAt)
	if o.g.r.cfg.ObserveLatency != nil && s.boundInstance == "" {
		o.g.r.cfg.ObserveLatency(o.route.Consistency, a.Code, took)
	}
	if a.Code != statement.CodeNone || took > o.route.Target && o.route.Target > 0 {
		o.logEvent(EventAnswer, "answer", a.Detail, a.Code)
	}
	s.answer(a)
	s.EndIfSettled()
}

// abandon ends the operation of a caller that has disconnected.
func (o *operation) abandon() {
	if o.finished {
		return
	}
	o.finished = true
	if _, ok := o.g.waiting[o.key]; ok {
		o.g.queue.Remove(o.key)
		delete(o.g.waiting, o.key)
		return
	}
	o.releaseSlot(o.g.r.now(), 0)
	if c := o.conn; c != nil && c.op == o {
		c.op, c.session = nil, nil
		if o.s.tx.conn == c {
			o.s.tx.conn = nil
		}
		c.handleClose("the caller has gone")
	}
}
