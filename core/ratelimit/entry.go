package ratelimit

import (
	"slices"
	"time"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/quota"
)

// entry is the state of one account for which this host spends tokens.
type entry struct {
	account catalog.Account
	spender quota.Spender
	// waiters are the operations that wait for tokens, the most urgent first.
	waiters []waiter
	usedAt  time.Time
	// admitted and refused count operations, failures requests that no home answered.
	admitted, refused, failures uint64
}

// waiter is an operation that waits for a token.
type waiter struct {
	priority fleet.Priority
	since    time.Time
	patience time.Duration
	// askedOf are the data centres whose homes were asked for its token.
	askedOf []fleet.DataCentre
	// limit is how long it waits for its token, zero before the homes have told of a shortage.
	limit time.Duration
	done  func(retryAfter time.Duration, admitted bool)
}

// precedes reports whether an operation waits that goes before w.
func (e *entry) precedes(w waiter) bool {
	return len(e.waiters) > 0 && e.waiters[0].priority <= w.priority
}

// enqueue adds an operation behind those that are as urgent.
func (e *entry) enqueue(w waiter) {
	i, _ := slices.BinarySearchFunc(e.waiters, w, func(other, w waiter) int {
		if other.priority <= w.priority {
			return -1
		}
		return 1
	})
	e.waiters = slices.Insert(e.waiters, i, w)
}

// wanted returns how many tokens the waiting operations need.
func (e *entry) wanted() quota.ByPriority {
	if len(e.waiters) == 0 {
		return nil
	}
	out := make(quota.ByPriority, e.waiters[len(e.waiters)-1].priority+1)
	for _, w := range e.waiters {
		out[w.priority]++
	}
	return out
}

// noteAsked notes that a home is asked for the tokens of all waiting operations, and returns for how many of them that
// home has not been asked before.
func (e *entry) noteAsked(d fleet.DataCentre) quota.Tokens {
	var fresh quota.Tokens
	for i := range e.waiters {
		w := &e.waiters[i]
		if !slices.Contains(w.askedOf, d) {
			w.askedOf = append(w.askedOf, d)
			fresh++
		}
	}
	return fresh
}

func (e *entry) admit(w waiter) {
	e.admitted++
	w.done(0, true)
}

func (e *entry) refuse(w waiter, retryAfter time.Duration) {
	e.refused++
	w.done(retryAfter, false)
}

// granted handles the answer of a home to the request r, which was sent at sent, and admits the operations for which
// the home has granted the tokens.
func (e *entry) granted(now, sent time.Time, r quota.HomeRequest, g quota.Grant) {
	e.spender.Granted(now, sent, r.DataCentre, r.Ask, g)
	for p, n := range g.Urgent {
		for ; n > 0; n-- {
			i := slices.IndexFunc(e.waiters, func(w waiter) bool { return int(w.priority) == p })
			if i < 0 || !e.spender.TakeAny(now, 1) {
				break
			}
			e.admitWaiter(i)
		}
	}
}

// admitWaiters admits as many operations as there are tokens.
func (e *entry) admitWaiters(now time.Time) {
	for len(e.waiters) > 0 && e.spender.TakeAny(now, 1) {
		e.admitWaiter(0)
	}
}

// admitWaiter admits the waiting operation at i, which has its token.
func (e *entry) admitWaiter(i int) {
	w := e.waiters[i]
	e.waiters = slices.Delete(e.waiters, i, i+1)
	e.admit(w)
}

// refuseWaiters refuses the operations that get no token in time, and returns their number.
func (e *entry) refuseWaiters(now time.Time, all []fleet.DataCentre, homeKnown bool) int {
	type refusal struct {
		waiter
		retryAfter time.Duration
	}
	var kept []waiter
	var refused []refusal
	unasked := 0
	for _, w := range e.waiters {
		behind := time.Duration(float64(unasked) / e.account.Rate * float64(time.Second))
		if retryAfter, late := e.late(now, &w, behind, all, homeKnown); late {
			refused = append(refused, refusal{w, retryAfter})
			continue
		}
		if len(w.askedOf) == 0 {
			unasked++
		}
		kept = append(kept, w)
	}
	e.waiters = kept
	for _, r := range refused {
		e.refuse(r.waiter, r.retryAfter)
	}
	return len(refused)
}

// late reports whether an operation gets no token in time, and after which time its caller should retry. behind is how
// long the tokens take of those before it that no home knows of.
//
// Once the homes have told of a shortage, it waits if its token comes within its patience. In a shortage that has only
// begun, as after a burst or while homes have just started, it waits for longer: the backlog passes, and callers that
// retry would only meet those that come meanwhile. While no home answers, it waits as it may be within the rate.
func (e *entry) late(
	now time.Time, w *waiter, behind time.Duration, all []fleet.DataCentre, homeKnown bool,
) (time.Duration, bool) {
	short, known := e.spender.Shortage(now, w.priority, all)
	if len(w.askedOf) == 0 {
		short.Wait += behind
	}
	retryAfter := min(max(short.Wait, minRetryAfter), maxRetryAfter)
	if known && w.limit == 0 {
		if len(w.askedOf) == 0 {
			e.spender.Declined(w.priority)
		}
		w.limit = w.patience
		if short.For < briefShortage {
			w.limit = max(w.patience, maxBriefWait)
		}
		if short.Wait > w.limit {
			return retryAfter, true
		}
	}
	limit := w.limit
	if limit == 0 {
		limit = e.waitLimit(now, *w, homeKnown)
	}
	if !homeKnown {
		retryAfter = noHomeRetryAfter
	}
	return retryAfter, now.Sub(w.since) >= limit
}

// waitLimit returns how long an operation waits while no home answers.
func (e *entry) waitLimit(now time.Time, w waiter, homeKnown bool) time.Duration {
	if homeKnown && e.spender.Unanswered(now) < isolatedAfter {
		return maxWait
	}
	return max(w.patience, minIsolatedWait)
}

const (
	// minRetryAfter keeps a refused caller from retrying at once, maxRetryAfter from staying away after the load has
	// fallen. While no home answers, the retry may be at a host that reaches one.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
	// noHomeRetryAfter is when a caller should retry while no home is known, as after the loss of all hosts: by then
	// they have their slots again.
	noHomeRetryAfter = 250 * time.Millisecond
)

const (
	// briefShortage is how long a shortage may last for its operations to wait for up to maxBriefWait.
	briefShortage = time.Second
	maxBriefWait  = 500 * time.Millisecond
	// isolatedAfter is how long no home may have answered before operations wait no longer than their patience:
	// several requests to each home were lost.
	isolatedAfter = 500 * time.Millisecond
	// minIsolatedWait leaves the time to ask a home, so that a host notices that it reaches one again.
	minIsolatedWait = 20 * time.Millisecond
)
