package holder

import (
	"context"
	"errors"
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/session"
	"skylarkdeal/io/database"
)

// The SQLSTATEs by which an instance refuses a write for not being the primary
// any more.
const (
	codeFenced   failure.Code = "57P04"
	codeReadOnly failure.Code = "25006"
)

// rollbackTimeout bounds the end of a transaction that nobody goes on with.
const rollbackTimeout = time.Second

// serve runs w on its connection and answers. The connection and its slot are
// free before the answer is proven, so that a slow proof holds up no other work.
func (g *groupRun) serve(ctx context.Context, w *work, c *database.Conn, p *database.Pool) {
	defer g.h.wait.Done()
	k := &collector{send: w.reply.Send, prove: func() error { return g.proveEarly(w) }}
	start := g.h.c.Now()
	a := c.Exchange(ctx, w.q, k.add)
	took := g.h.c.Now().Sub(start)
	n := g.settle(w, c, p, a)
	g.events.TryPut(event{served: &served{w: w, answer: a, took: took}})
	g.events.TryPut(event{judged: w, next: g.judge(w, k, a, n)})
}

// next is what becomes of an exchange that an instance has worked on.
type next string

// nextAgain starts it once more, as nothing of it was run; nextRetry does so at
// the expense of the retry budget, as it may have been.
const (
	nextEnd   next = "end"
	nextAgain next = "again"
	nextRetry next = "retry"
)

// settle decides what becomes of the connection, and returns the transaction
// that is open on it now, if any.
func (g *groupRun) settle(w *work, c *database.Conn, p *database.Pool, a database.Answer) *pin {
	open := a.Err == nil && a.Status != exchange.TxIdle
	n := w.pin
	if open && n == nil {
		n = &pin{
			id:       g.h.nextPin(),
			conn:     c,
			pool:     p,
			instance: w.choice.Instance,
			role:     w.choice.Role,
			term:     w.term,
			account:  w.q.Account,
			busy:     true,
			opened:   g.h.c.Now(),
		}
		g.pins.add(n)
	}
	if open {
		if g.pins.put(n) {
			return n
		}
		g.giveUp(n)
		return nil
	}
	if n != nil {
		g.pins.end(n)
	}
	p.Put(c)
	return nil
}

// judge answers w unless it is to be run once more.
func (g *groupRun) judge(w *work, k *collector, a database.Answer, n *pin) next {
	if a.Err != nil {
		return g.judgeBroken(w, k, a)
	}
	if g.turnedAway(w, k) {
		w.turnedBy, w.turnedIn = w.choice.Instance, w.term
		return nextAgain
	}
	if err := g.prove(w, k, a, n); err != nil {
		return g.judgeUnproven(w, k, a, n, err)
	}
	if err := k.flush(); err != nil {
		g.callerGone(w, n)
		return nextEnd
	}
	r := exchange.Result{
		Outcome:  exchange.OutcomeDone,
		Status:   a.Status,
		Position: a.Point,
		Instance: w.choice.Instance,
		Role:     a.Role,
	}
	if n != nil {
		r.Pin, r.Holder = n.id, g.h.c.Host
	}
	g.h.metrics.answered.WithLabelValues(string(w.q.Intent), string(a.Role)).Inc()
	w.cancel()
	w.reply.Done(r)
	return nextEnd
}

// judgeBroken deals with an answer that didn't come whole.
//
// It guards against running a write twice: once the first byte has been handed
// to the connection the instance may have run it, so it is never sent again and
// its outcome is reported as unknown. What was provably not sent, and declared
// reads, are tried again within their deadline.
func (g *groupRun) judgeBroken(w *work, k *collector, a database.Answer) next {
	peer := failure.Peer("instance " + string(w.choice.Instance))
	if errors.Is(a.Err, errUnproven) {
		w.unknown("prove", peer, a.Err.Error())
		return nextEnd
	}
	if w.pin != nil {
		w.unknown("run in transaction", peer, "the connection to the instance was lost")
		return nextEnd
	}
	g.tried(w)
	if !a.Sent {
		return g.again(w, "the instance could not be reached")
	}
	if !w.read() || k.passed {
		w.unknown("run", peer, answerLost)
		return nextEnd
	}
	return nextRetry
}

// answerLost is why an exchange has an unknown outcome once it was sent.
const answerLost = "the answer of the instance was lost or may not be given"

// again reports that w is to be started once more, or refuses it.
func (g *groupRun) again(w *work, why string) next {
	if w.attempts < maxAttempts && w.ctx.Err() == nil {
		return nextAgain
	}
	w.refuse(g.refusal(failure.CodeUnreachable, why, absentRetry))
	return nextEnd
}

// retry starts a declared read once more, or ends it when its attempts, its
// time or the budget are used up. The dispatcher calls it.
func (g *groupRun) retry(w *work) {
	if w.attempts < maxAttempts && w.ctx.Err() == nil && g.budget.Take() {
		g.enqueue(w)
		return
	}
	g.forget(w)
	w.unknown("run", failure.Peer("instance "+string(w.choice.Instance)), answerLost)
}

func (g *groupRun) tried(w *work) {
	if w.tried == nil {
		w.tried = fleet.NewSet[fleet.Instance]()
	}
	w.tried.Add(w.choice.Instance)
}

// turnedAway reports whether the instance refused a write because it isn't the
// primary, and nothing of it was run. A batch of the extended protocol is one
// transaction unless a COMMIT stands in it: what was completed before the refusal,
// which may come with the commit at Sync, has been rolled back. The statements of a
// simple query may each have been committed.
func (g *groupRun) turnedAway(w *work, k *collector) bool {
	if w.read() || w.pin != nil || k.passed {
		return false
	}
	simple := len(w.q.Payload) > 0 && w.q.Payload[0] == msgQuery
	if k.committed || simple && k.completed {
		return false
	}
	return k.code == codeFenced || k.code == codeReadOnly
}

// prove waits until the answer may be given.
//
// An exchange that only prepared or described has neither read nor written: a driver
// that prepares while replicas lag need not wait, nor use up the retry budget.
//
// It guards against two things that a caller would see as lost or missing work:
// a write acknowledged by a replaced primary, and a read that reflects less than
// the session's token. See core/group and core/session for why the proofs hold.
func (g *groupRun) prove(w *work, k *collector, a database.Answer, n *pin) error {
	if !k.executed() {
		return nil
	}
	if a.Role == fleet.RoleReplica || w.read() {
		at := session.Answer{Position: a.Point, Role: a.Role}
		if w.need.Satisfied(at, g.h.c.Now(), g.monitor.Snapshot()) {
			return nil
		}
	}
	if a.Role == fleet.RoleReplica {
		return errBehind
	}
	// What a transaction has not committed yet needs no proof; what it has read
	// does, or it would act on the data of a replaced primary.
	if n != nil && !k.rows {
		return nil
	}
	rule := document.AcknowledgePrimary
	if !w.read() && n == nil && (k.code == "" || k.completed) {
		rule = g.document.Load().Acknowledge
	}
	return g.confirm(a.Point, rule, w.q.Deadline)
}

var (
	errBehind   = errors.New("the instance is behind what the session has seen")
	errUnproven = errors.New("the primary may have been replaced")
)

func (g *groupRun) confirm(p fleet.LogPosition, r document.Acknowledge, deadline time.Time) error {
	c := make(chan error, 1)
	g.monitor.Confirm(p, r, deadline, func(err error) { c <- err })
	return <-c
}

// proveEarly proves the held part of a long answer while the rest still comes.
// A replica's was proven by the choice of the instance.
func (g *groupRun) proveEarly(w *work) error {
	if w.choice.Role == fleet.RoleReplica {
		return nil
	}
	// The term is that of the start: a later one would vouch for the rows of a
	// primary that has been replaced while they came.
	if err := g.confirm(fleet.LogPosition{Term: w.term}, document.AcknowledgePrimary, w.q.Deadline); err != nil {
		return errUnproven
	}
	return nil
}

// judgeUnproven deals with a whole answer that may not be given.
func (g *groupRun) judgeUnproven(w *work, k *collector, a database.Answer, n *pin, err error) next {
	peer := failure.Peer("instance " + string(w.choice.Instance))
	if n != nil {
		g.abandon(n)
	}
	if w.pin != nil || k.passed || a.Status != exchange.TxIdle {
		w.unknown("prove in transaction", peer, failure.AsRefusal(err).Message)
		return nextEnd
	}
	if w.read() {
		g.tried(w)
		return nextRetry
	}
	w.unknown("prove", peer, failure.AsRefusal(err).Message)
	return nextEnd
}

// callerGone ends an exchange whose caller doesn't take the answer.
func (g *groupRun) callerGone(w *work, n *pin) {
	if n != nil {
		g.abandon(n)
	}
	w.unknown("answer", "caller", "the caller is gone")
}

// release gives up the open transaction p of a session that has ended.
func (g *groupRun) release(p exchange.Pin) {
	if n := g.pins.release(p); n != nil {
		g.giveUp(n)
	}
}

// abandon gives up a transaction unless its session has done so.
func (g *groupRun) abandon(n *pin) {
	g.release(n.id)
}

// giveUp rolls a transaction back and returns its connection, on a goroutine of
// its own: the caller may be an event loop.
func (g *groupRun) giveUp(n *pin) {
	g.h.wait.Add(1)
	go func() {
		defer g.h.wait.Done()
		ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
		defer cancel()
		_ = n.conn.Rollback(ctx) // a connection that fails is broken, and Put closes it
		n.pool.Put(n.conn)
	}()
}
