package holder

import (
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/admit"
	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
	"skylarkdeal/core/session"
)

// accept takes a new exchange in, or refuses it.
func (g *groupRun) accept(w *work) {
	if len(g.works) >= maxWorks {
		w.refuse(g.overloaded("too many exchanges are under way"))
		return
	}
	if w.q.Pin == 0 && !g.holds {
		w.refuse(g.refusal(failure.CodeNotReady, "this host holds no connections to "+string(g.service), 0))
		return
	}
	if w.q.Pin != 0 {
		w.pin = g.pins.take(w.q.Pin, w.q.Account)
		if w.pin == nil {
			w.refuse(g.refusal(failure.CodeUnreachable, "the transaction is gone and was rolled back", 0))
			return
		}
	}
	g.checkPriority(w)
	g.key++
	w.key = g.key
	g.works[w.key] = w
	g.byID[w.q.ID] = w
	w.need = session.NeedOf(w.q, g.now)
	if w.read() && w.pin == nil {
		g.budget.Earn()
	}
	g.enqueue(w)
}

// priorityLogInterval bounds the log of priorities that are out of range: a host of another build may send
// one with each exchange.
const priorityLogInterval = time.Second

// checkPriority counts a priority out of range as the least urgent.
func (g *groupRun) checkPriority(w *work) {
	if w.q.Priority.Valid() {
		return
	}
	if g.now.Sub(g.priorityLogged) >= priorityLogInterval {
		g.priorityLogged = g.now
		g.h.c.Logger.Warn("an exchange's priority is out of range and counts as the least urgent",
			zap.String("service", string(g.service)), zap.String("host", string(w.q.ID.Host)),
			zap.Int("priority", int(w.q.Priority)), zap.Int("greatest", int(fleet.MaxPriority)))
	}
	w.q.Priority = fleet.MaxPriority
}

// enqueue queues w, after a proof if its read needs one.
func (g *groupRun) enqueue(w *work) {
	if g.closing {
		g.drop(w, g.refusal(failure.CodeShuttingDown, "the host shuts down", 0))
		return
	}
	if w.ctx.Err() != nil {
		g.drop(w, g.refusal(failure.CodeCancelled, "cancelled before it was run", 0))
		return
	}
	if w.pin == nil && w.read() && w.need.Latest() {
		g.monitor.FreshPosition(w.q.Deadline, func(p group.Proof, err error) {
			g.events.TryPut(event{proved: w, proof: p, err: err})
		})
		return
	}
	w.queued = g.now
	v := g.queue.Enqueue(g.now, w.item(g.weight(w.q.Account)))
	g.dropRemoved(v.Displaced)
	if v.Refusal != nil {
		g.drop(w, v.Refusal)
	}
}

// dropRemoved refuses the exchanges that the queue has removed: they can't be finished in time, or more
// urgent ones took their places.
func (g *groupRun) dropRemoved(removed []admit.Expired) {
	for _, r := range removed {
		if w := g.works[r.Item.Key]; w != nil {
			g.drop(w, r.Refusal)
		}
	}
}

func (g *groupRun) weight(a fleet.Account) float64 {
	c, _ := g.document.Load().Account(a)
	return max(c.Rate, 1)
}

// handle takes in what has happened outside.
func (g *groupRun) handle(e event) {
	switch {
	case e.served != nil:
		g.finish(e.served)
	case e.proved != nil && e.err != nil:
		g.drop(e.proved, failure.AsRefusal(e.err))
	case e.proved != nil:
		e.proved.need = e.proved.need.Resolve(e.proof)
		g.enqueue(e.proved)
	case e.next == nextAgain:
		g.enqueue(e.judged)
	case e.next == nextRetry:
		g.retry(e.judged)
	default:
		g.forget(e.judged)
	}
}

// drop refuses an exchange that was taken in, with nothing run.
func (g *groupRun) drop(w *work, f *failure.Refusal) {
	g.forget(w)
	if w.pin != nil {
		g.pins.put(w.pin)
	}
	g.h.note(g.service, w.q.Account, "refuse", f)
	if w.pin != nil {
		g.abandon(w.pin)
	}
	w.refuse(f)
}

func (g *groupRun) forget(w *work) {
	delete(g.works, w.key)
	delete(g.byID, w.q.ID)
}

// cancelled ends the exchange named id: at once when it waits, else by asking
// its instance.
func (g *groupRun) cancelled(id exchange.ID) {
	w := g.byID[id]
	if w == nil {
		return
	}
	if g.queue.Remove(w.key) {
		g.drop(w, g.refusal(failure.CodeCancelled, "cancelled before it was run", 0))
		return
	}
	w.cancel()
}

// finish takes back the slot of an exchange that its instance has answered.
func (g *groupRun) finish(s *served) {
	n := s.w.choice.Instance
	s.w.stop()
	g.queue.Finished(g.now, s.w.key, s.took)
	g.busy[n]--
	if s.answer.Err == nil {
		g.meters[n] = g.meters[n].Observe(g.now, s.took)
	}
}

func (g *groupRun) refusal(c failure.Code, why string, after time.Duration) *failure.Refusal {
	return &failure.Refusal{
		Code:       c,
		Message:    why + "; not run",
		RetryAfter: after,
		Step:       "dispatch",
		Peer:       failure.Peer("host " + string(g.h.c.Host)),
	}
}

func (g *groupRun) overloaded(why string) *failure.Refusal {
	return g.refusal(failure.CodeOverloaded, why, overloadRetry)
}

// overloadRetry is when a caller is to come back that found a group full: the
// time in which a full queue of short statements is worked off.
const overloadRetry = 500 * time.Millisecond

// absentRetry is when a caller is to come back that found no primary.
const absentRetry = time.Second
