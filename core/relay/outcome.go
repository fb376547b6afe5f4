package relay

import (
	"time"

	"skylarkdeal/core/statement"
)

// answered takes the instance's answer.
func (o *operation) answered(a statement.Answer) {
	c := o.conn
	if c.op != o {
		return
	}
	now := o.g.r.now()
	took := now.Sub(o.sentAt)
	o.leave(now, took)
	c.op = nil
	if a.Code == statement.CodeNone {
		c.inst.worked(now, took)
		c.inst.lags = 0
		o.succeeded(a)
		return
	}
	o.g.refusedBy(c, a.Code, o)
	// What was to be prepared ahead of it was turned away.
	c.dirty = c.dirty || a.Code == statement.CodeNotPrepared
	if o.beginsTx && c.via != "" && a.Code.NotRun() {
		// The other host has not begun the transaction, or has rolled it back.
		o.s.tx.conn, c.session = nil, nil
		c.retire()
		o.again(a.Code)
		return
	}
	if o.s.tx.open {
		o.failedInTx(a)
		return
	}
	c.settle(a)
	if o.s.boundInstance != "" {
		o.finish(a)
		return
	}
	if a.Code.NotRun() || !o.writes && (a.Code == statement.CodeFailed || a.Code == statement.CodeTimeout) {
		o.again(a.Code)
		return
	}
	o.finish(a)
}

// settle frees a connection after a statement outside a transaction, or closes one that
// is in a state which it should not be in.
func (c *Conn) settle(a statement.Answer) {
	c.freeIf(a.State == statement.TxNone)
}

func (o *operation) succeeded(a statement.Answer) {
	c := o.conn
	commit := o.q.Kind == statement.KindCommit
	switch {
	case !o.s.tx.open:
		c.settle(a)
	case commit:
		o.s.tx.conn = nil
		c.session = nil
		c.settle(a)
	}
	o.g.judge(o, c, a)
}

// failedInTx answers a failure in a transaction, which is rolled back.
func (o *operation) failedInTx(a statement.Answer) {
	o.s.failTransaction()
	o.finish(a)
}

// again sends the operation off once more, as nothing of it was run, or tells the
// caller so.
//
// The guard is for an operation of a transaction that had begun, whose value was refused or
// whose connection broke before it was sent: elsewhere it would run by itself, and be kept
// while the rest of its transaction is not.
func (o *operation) again(code statement.Code) {
	now := o.g.r.now()
	o.leave(now, 0)
	if o.finished {
		return
	}
	if o.txBegun() {
		o.failedInTx(statement.Answer{
			Code: statement.CodeAborted, Detail: "rolled back: its connection could not be made ready", RetryAfter: retrySoon,
		})
		return
	}
	if o.s.boundInstance != "" && code == statement.CodeFailed {
		o.give(statement.Answer{Code: code, Detail: "the connection to the instance was lost"})
		return
	}
	stays := code == statement.CodeReadOnly || code == statement.CodeNotPrepared || code == statement.CodeUnreachable
	if o.conn != nil && o.s.boundInstance == "" && !stays {
		o.excluded.Add(o.conn.Instance)
	}
	if o.attempts >= maxAttempts || !now.Before(o.deadline) {
		o.refuse(code, "no instance could run it", retrySoon)
		return
	}
	o.g.r.counters.Retried++
	o.logEvent(EventRetry, "run it elsewhere", "it was not run", code)
	o.enqueue()
}

// retrySoon is when to come back after a trouble that passes by itself, such as a change
// of primary that is about to end.
const retrySoon = 100 * time.Millisecond

// cut handles the loss of the connection that ran the operation.
//
// What was not sent was not run. A transaction that was not told to commit is rolled
// back with its connection. Only a write or a commit of writes that was sent may have
// been run or not: it is never sent again, and its caller is told so at once.
func (o *operation) cut(why string) {
	if o.finished {
		return
	}
	o.leave(o.g.r.now(), 0)
	commit := o.q.Kind == statement.KindCommit
	switch {
	case !o.sent:
		o.again(statement.CodeBusy)
	case o.s.tx.open && (!commit || !o.s.tx.mayHaveWritten):
		o.s.tx.failed = true
		o.give(statement.Answer{Code: statement.CodeAborted, Detail: "rolled back: " + why, RetryAfter: retrySoon})
	case commit || o.writes:
		o.inDoubt(why)
	default:
		o.again(statement.CodeFailed)
	}
}

// inDoubt tells the caller that its write may have been run or not.
func (o *operation) inDoubt(why string) {
	o.g.r.counters.InDoubt++
	o.give(statement.Answer{Code: statement.CodeInDoubt, Detail: "sent, but not known to be kept: " + why})
}

// late gives up a statement that has reached its deadline at the instance.
func (o *operation) late() {
	c := o.conn
	c.op = nil
	o.logEvent(EventAnswer, "give up", "the statement has reached its time limit", statement.CodeTimeout)
	c.handleClose("a statement reached its time limit")
	if o.s.tx.conn == c {
		o.s.tx.conn = nil
	}
	if o.sent && !o.writes && !o.s.tx.open {
		o.leave(o.g.r.now(), 0)
		o.give(statement.Answer{Code: statement.CodeTimeout, Detail: "the statement has reached its time limit"})
		return
	}
	o.cut("the statement has reached its time limit")
}

// refuse answers that nothing was run.
func (o *operation) refuse(code statement.Code, why string, after time.Duration) {
	if !o.everSent && (!o.s.tx.open || !o.s.tx.mayHaveRun) && o.g.r.cfg.Refund != nil && o.s.boundInstance == "" {
		o.g.r.cfg.Refund(o.s.account)
	}
	if o.s.tx.open {
		// The transaction never began on an instance, or was rolled back.
		o.s.failTransaction()
	}
	if code == statement.CodeFailed || code == statement.CodeTimeout || code == statement.CodeNotPrepared {
		// Of a read nothing is kept, so that the caller may be told to come again.
		code = statement.CodeBusy
	}
	o.g.r.counters.Refused++
	o.s.lastRefused = true
	o.logEvent(EventRefuse, "refuse", why, code)
	o.give(statement.Answer{Code: code, Detail: why, RetryAfter: after})
}

// finish gives the instance's answer.
func (o *operation) finish(a statement.Answer) {
	if a.Code == statement.CodeNone {
		o.g.r.counters.Answered++
	}
	o.give(a)
}

// leave gives back the operation's place at an instance, which it held for took; zero
// tells that nothing is to be learnt from it.
func (o *operation) leave(now time.Time, took time.Duration) {
	delete(o.g.running, o.key)
	if c := o.conn; c != nil && c.inst.trial == o {
		c.inst.trial = nil
	}
	o.g.queue.Finished(now, o.key, took)
}

// give ends the operation with an answer to its caller. A commit ends its transaction,
// however it went.
func (o *operation) give(a statement.Answer) {
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
	s.caller.Answer(a)
	s.closeIfIdle()
}

// abandon ends the operation of a caller that has gone.
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
	o.leave(o.g.r.now(), 0)
	if c := o.conn; c != nil && c.op == o {
		c.op, c.session = nil, nil
		if o.s.tx.conn == c {
			o.s.tx.conn = nil
		}
		c.handleClose("the caller has gone")
	}
}
