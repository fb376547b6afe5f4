package groupmonitor

import (
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
	"skylarkdeal/core/times"
)

// waiter is a request that waits until the statuses of the instances prove what
// it needs.
type waiter struct {
	since    time.Time
	deadline time.Time
	// pollSince is the time after which the instances have to have been polled:
	// first since, then moved forward while the statuses don't suffice.
	pollSince time.Time

	// confirm is the callback of a committed write, nil for a read.
	confirm  func(error)
	position fleet.LogPosition
	rule     document.Acknowledge

	// fresh is the callback of a read, nil for a write.
	fresh func(group.Proof, error)
}

// Confirm calls done with nil once it is proven that the write which the
// primary of the term of point committed at point may be acknowledged. If there
// is no proof by the deadline, or the primary was replaced, done gets a
// *failure.Refusal of an unknown outcome. One status request to each instance
// serves all waiting writes. Confirm has to be called after the response to the
// commit was received. done runs on the goroutine of Run, or on the caller's if
// the Monitor has stopped or too many requests wait; it must not block.
func (s *Monitor) Confirm(point fleet.LogPosition, rule document.Acknowledge, deadline time.Time, done func(error)) {
	now := s.cfg.Now()
	s.enqueue(&waiter{
		since: now, pollSince: now, deadline: deadline, confirm: done, position: point, rule: rule,
	})
}

// FreshPosition calls done with a proof that was made after the call. A log that
// covers the position of the proof has every write that was acknowledged before
// the call. So does the response of the primary of its term to a read that was
// sent after the call. The error is a *failure.Refusal; the read was not run.
// done runs on the same goroutine as that of Confirm and must not block.
func (s *Monitor) FreshPosition(deadline time.Time, done func(group.Proof, error)) {
	now := s.cfg.Now()
	s.enqueue(&waiter{since: now, pollSince: now, deadline: deadline, fresh: done})
}

func (s *Monitor) enqueue(w *waiter) {
	select {
	case <-s.stopped:
		w.fail("the host no longer holds the group")
		return
	default:
	}
	if !s.events.TryPut(event{wait: w}) {
		w.fail("too many requests wait for a proof")
	}
}

func (w *waiter) fail(reason string) {
	if w.confirm != nil {
		w.confirm(&failure.Refusal{
			Code: failure.CodeUnknownOutcome, Step: "confirm",
			Message: "the write was sent but its outcome is unknown: " + reason,
		})
		return
	}
	w.fresh(group.Proof{}, &failure.Refusal{
		Code: failure.CodeNotReady, Step: "prove", RetryAfter: retryHint,
		Message: "not run: " + reason,
	})
}

// retryHint is about the length of a failover.
const retryHint = time.Second

// noQuorumTimeout is how long a read waits for a majority that doesn't answer.
// A failover takes less time; in a data centre that is cut off, a caller should
// soon learn that its read was not run. A write waits until its deadline: it
// was sent, and its proof may still come.
const noQuorumTimeout = 3 * time.Second

// maxConfirmAge is how old the status requests that confirm a write with
// acknowledge = primary may be when it is acknowledged. It is shorter than the
// minimum silence before a promotion: if this host was paused in between, a
// promotion may have happened, and the new primary need not have the write.
const maxConfirmAge = group.DefaultRefusedAfter * 4 / 5

func (s *Monitor) completeWaiters(now time.Time, t group.Snapshot) {
	proof, proven := t.Prove()
	remaining := s.waiting[:0]
	for _, w := range s.waiting {
		if !s.completeWaiter(now, t, w, proof, proven) {
			remaining = append(remaining, w)
		}
	}
	clear(s.waiting[len(remaining):])
	s.waiting = remaining
	if len(remaining) > 0 {
		s.lastWaitingAt = now
	}
}

func (s *Monitor) completeWaiter(now time.Time, t group.Snapshot, w *waiter, proof group.Proof, proven bool) bool {
	if w.fresh != nil && proven && !proof.AsOf.Before(w.since) {
		w.fresh(proof, nil)
		return true
	}
	if w.confirm != nil && s.completeWrite(now, t, w) {
		return true
	}
	if w.fresh != nil && now.Sub(s.lastQuorumAt) > noQuorumTimeout {
		w.fail("no majority of the instances answers")
		return true
	}
	if now.Before(w.deadline) {
		return false
	}
	w.fail("no proof by the deadline")
	return true
}

func (s *Monitor) completeWrite(now time.Time, t group.Snapshot, w *waiter) bool {
	since := w.since
	if w.rule == document.AcknowledgePrimary {
		// now may be long past, since the process can be paused at any point.
		since = times.Later(since, s.cfg.Now().Add(-maxConfirmAge))
	}
	switch t.Acknowledge(w.rule, w.position, since) {
	case group.VerdictAcknowledge:
		s.metrics.confirmSeconds.Observe(now.Sub(w.since).Seconds())
		w.confirm(nil)
	case group.VerdictReplaced:
		w.fail("the primary was replaced")
	case group.VerdictWait:
		return false
	}
	return true
}

// The interval after which the instances are polled again for a request that
// their statuses didn't satisfy: an eighth of its wait so far. A replica that
// lags by two seconds is thus polled a few dozen times, and polling adds at
// most an eighth to the wait.
const (
	retryDivisor     = 8
	minRetryInterval = time.Millisecond
	maxRetryInterval = 50 * time.Millisecond
)

// needsStatus reports whether a waiting request needs a new status of the
// instance.
func (s *Monitor) needsStatus(now time.Time, l *link, i group.Observation) bool {
	for _, w := range s.waiting {
		if now.Sub(w.pollSince) > w.retryInterval(now) {
			w.pollSince = now
		}
		if l.lastPolledAt.Before(w.pollSince) && !w.satisfiedBy(i) {
			return true
		}
	}
	return false
}

func (w *waiter) retryInterval(now time.Time) time.Duration {
	return min(max(now.Sub(w.since)/retryDivisor, minRetryInterval), maxRetryInterval)
}

// satisfiedBy reports whether the instance's status has all that w needs from
// this instance.
func (w *waiter) satisfiedBy(i group.Observation) bool {
	if w.confirm == nil {
		return !i.Sent.Before(w.since)
	}
	ok := group.Unfenced(i, w.position.Term, w.since)
	return ok && (w.rule == document.AcknowledgePrimary || group.HasEntry(i, w.position))
}

func (s *Monitor) drainWaiters() {
	for {
		e, ok := s.events.TryTake()
		if !ok {
			break
		}
		if e.wait != nil {
			s.waiting = append(s.waiting, e.wait)
		}
	}
	for _, w := range s.waiting {
		w.fail("the host no longer holds the group")
	}
	s.waiting = nil
}
