package grants

import (
	"context"
	"slices"
	"time"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/quota"
)

// arrival is an exchange that is queued for the serving goroutine.
type arrival struct {
	entry  *entry
	waiter waiter
}

// active is the set of entries that are checked at each tick.
type active map[*entry]struct{}

// serve runs the one goroutine that owns the waiting exchanges.
func (r *Runtime) serve(ctx context.Context) {
	t := time.NewTicker(serveInterval)
	defer t.Stop()
	busy := active{}
	for {
		// On an idle host the ticker would cost more than all its grants.
		var due <-chan time.Time
		if len(busy) > 0 {
			due = t.C
		}
		select {
		case <-ctx.Done():
			r.refuseAll(busy)
			return
		case a := <-r.arrivals.Out():
			r.enqueue(busy, a)
		case res := <-r.results.Out():
			r.handleResults(busy, res)
		case <-due:
			r.stepActive(busy)
		case returned := <-r.leaveRequests.Out():
			r.returnTokens()
			close(returned)
		}
		r.drain(busy)
		r.flush()
	}
}

// drain handles the arrivals and results queued meanwhile, so that one request to a
// home covers many exchanges.
func (r *Runtime) drain(busy active) {
	for range maxArrivals {
		select {
		case a := <-r.arrivals.Out():
			r.enqueue(busy, a)
		case res := <-r.results.Out():
			r.handleResults(busy, res)
		default:
			return
		}
	}
}

func (r *Runtime) enqueue(busy active, a arrival) {
	busy[a.entry] = struct{}{}
	e := a.entry
	now := r.clock.suspendAware()
	if a.waiter.open {
		e.waiters = slices.Insert(e.waiters, e.open(), a.waiter)
		r.step(e, now)
		return
	}
	if e.cannotMeetDeadline(now, a.waiter) {
		e.answer(a.waiter, e.refusal(now))
		return
	}
	e.waiters = append(e.waiters, a.waiter)
	r.step(e, now)
}

// step admits the exchanges that have their tokens, refuses those that can't get
// theirs in time, and requests tokens for the others.
func (r *Runtime) step(e *entry, now time.Time) {
	for len(e.waiters) > 0 && e.spender.TakeAny(now, e.waiters[0].n) {
		w := e.waiters[0]
		e.waiters = e.waiters[1:]
		e.admitted.Add(1)
		e.answer(w, nil)
	}
	e.refuseLate(now)
	w, ok := e.spender.Next(now, e.wanted(), e.dataCentres())
	if ok {
		r.queue(e, w, now)
	}
}

// open returns how many of the waiting exchanges belong to open transactions; these
// are at the front.
func (e *entry) open() int {
	n := slices.IndexFunc(e.waiters, func(w waiter) bool { return !w.open })
	if n < 0 {
		return len(e.waiters)
	}
	return n
}

// wanted returns the number of tokens that the waiting exchanges need.
func (e *entry) wanted() quota.Tokens {
	var n quota.Tokens
	for _, w := range e.waiters {
		n += w.n
	}
	return n
}

func (e *entry) dataCentres() []fleet.DataCentre {
	return e.document.Load().DataCentres
}

func (e *entry) answer(w waiter, f *failure.Refusal) {
	e.waiting.Add(-1)
	if f != nil {
		e.refused.Add(1)
	}
	w.done(f)
}

// cannotMeetDeadline reports whether w can't get its tokens before its deadline,
// after all that wait before it. Designed for an account that sends many times its
// rate: what is above the rate is refused at once, and no more exchanges wait than
// the rate serves within their timeout, so that none waits longer than that.
func (e *entry) cannotMeetDeadline(now time.Time, w waiter) bool {
	return now.Add(e.minWait(now, e.wanted()+w.n)).After(w.deadline)
}

// minWait returns the least time until n tokens may have arrived, if no other host
// requested any.
func (e *entry) minWait(now time.Time, n quota.Tokens) time.Duration {
	a, ok := e.document.Load().Account(e.account)
	if !ok {
		return time.Second
	}
	return e.spender.MinWait(now, quota.Share{Rate: a.Rate, Burst: a.Burst}, n, e.dataCentres())
}

func (e *entry) refusal(now time.Time) *failure.Refusal {
	return overRateRefusal(e.minWait(now, e.wanted()+1))
}

// refuseLate refuses exchanges from the end that can't be served in time, as they
// are behind the others, and from the front those whose deadline has passed.
func (e *entry) refuseLate(now time.Time) {
	for n := len(e.waiters); n > 0; n = len(e.waiters) {
		w := e.waiters[n-1]
		e.waiters = e.waiters[:n-1]
		if w.open || !e.cannotMeetDeadline(now, w) {
			e.waiters = append(e.waiters, w)
			break
		}
		e.answer(w, e.refusal(now))
	}
	for len(e.waiters) > 0 && !now.Before(e.waiters[0].deadline) {
		w := e.waiters[0]
		e.waiters = e.waiters[1:]
		e.answer(w, e.refusal(now))
	}
}

const (
	// idleTimeout is how long an entry without exchanges is still checked.
	idleTimeout = time.Second
	// stockCheckInterval is how often the stock of an entry without waiting exchanges
	// is checked: a quarter of the time for which stock is requested ahead.
	stockCheckInterval = 25 * time.Millisecond
)

// stepActive steps the active entries, and removes those that have become idle.
func (r *Runtime) stepActive(busy active) {
	now := r.clock.suspendAware()
	for e := range busy {
		if len(e.waiters) == 0 && now.Sub(e.checked) < stockCheckInterval {
			continue
		}
		e.checked = now
		r.step(e, now)
		if len(e.waiters) == 0 && e.spender.Idle(now, idleTimeout) {
			delete(busy, e)
		}
	}
}

// refuseAll refuses all waiting exchanges when the host stops.
func (r *Runtime) refuseAll(busy active) {
	r.stopped.Store(true)
	r.refuseArrivals()
	for e := range busy {
		for _, w := range e.waiters {
			e.answer(w, shuttingDownRefusal())
		}
		e.waiters = nil
	}
}
