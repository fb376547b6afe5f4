package groupmonitor

import (
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
)

// waiter is a request that waits for the statuses to prove something.
type waiter struct {
	since    time.Time
	deadline time.Time
	// demand is since when the instances have to have been asked: at first
	// since, then pushed forward while the answers don't suffice.
	demand time.Time

	// confirm is set for a committed write.
	confirm func(error)
	point   fleet.LogPosition
	rule    document.Acknowledge

	// fresh is set for a read.
	fresh func(group.Proof, error)
}

// Confirm calls done once it is proven that the write which the primary of term
// committed at point may be acknowledged, or with a *failure.Refusal of an
// unknown outcome when the proof can't be had by the deadline. One question to
// each instance serves all the writes that wait. It has to be called after the
// commit's answer came in. done runs on the Steward's own goroutine and must
// not block.
func (s *Steward) Confirm(point fleet.LogPosition, rule document.Acknowledge, deadline time.Time, done func(error)) {
	now := s.cfg.Now()
	s.enqueue(&waiter{
		since: now, demand: now, deadline: deadline, confirm: done, point: point, rule: rule,
	})
}

// FreshPoint calls done with a proof that was made after the call: a log which
// covers its point has every write that was acknowledged before the call, and
// an answer of the primary of its term, to a read that was sent after the call,
// reflects them too. The error is a *failure.Refusal; nothing was run. done runs
// on the Steward's own goroutine and must not block.
func (s *Steward) FreshPoint(deadline time.Time, done func(group.Proof, error)) {
	now := s.cfg.Now()
	s.enqueue(&waiter{since: now, demand: now, deadline: deadline, fresh: done})
}

func (s *Steward) enqueue(w *waiter) {
	select {
	case <-s.ended:
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

// quoratePatience is how long a read waits for a majority that doesn't answer. A
// failover is over by then; in a data centre that is cut off, a caller should
// hear soon that its read was not run. A write isn't given up: it was sent, and
// its proof may still come.
const quoratePatience = 3 * time.Second

// proofLife is how old the questions that confirm a write with acknowledge =
// primary may be when it is acknowledged. It is shorter than the least silence
// before a promotion: a host that was paused in between may have slept through
// one, and the new primary need not have the write.
const proofLife = group.DefaultRefusedAfter * 4 / 5

func (s *Steward) settle(now time.Time, t group.Snapshot) {
	proof, proven := t.Prove()
	left := s.waiting[:0]
	for _, w := range s.waiting {
		if !s.settleOne(now, t, w, proof, proven) {
			left = append(left, w)
		}
	}
	clear(s.waiting[len(left):])
	s.waiting = left
	if len(left) > 0 {
		s.busy = now
	}
}

func (s *Steward) settleOne(now time.Time, t group.Snapshot, w *waiter, proof group.Proof, proven bool) bool {
	if w.fresh != nil && proven && !proof.AsOf.Before(w.since) {
		w.fresh(proof, nil)
		return true
	}
	if w.confirm != nil && s.settleWrite(now, t, w) {
		return true
	}
	if w.fresh != nil && now.Sub(s.quorate) > quoratePatience {
		w.fail("no majority of the instances answers")
		return true
	}
	if now.Before(w.deadline) {
		return false
	}
	w.fail("no proof by the deadline")
	return true
}

func (s *Steward) settleWrite(now time.Time, t group.Snapshot, w *waiter) bool {
	since := w.since
	if w.rule == document.AcknowledgePrimary {
		// The time of the step may be long past, since the host may be paused
		// anywhere.
		since = later(since, s.cfg.Now().Add(-proofLife))
	}
	switch t.Acknowledge(w.rule, w.point, since) {
	case group.VerdictAcknowledge:
		s.metrics.confirm.Observe(now.Sub(w.since).Seconds())
		w.confirm(nil)
	case group.VerdictReplaced:
		w.fail("the primary was replaced")
	case group.VerdictWait:
		return false
	}
	return true
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// The pause before the instances are asked again for a request that their
// answers didn't satisfy: an eighth of its wait so far, so that a replica that
// lags by two seconds is asked a few dozen times and adds an eighth at most.
const (
	againPart  = 8
	againLeast = time.Millisecond
	againMost  = 50 * time.Millisecond
)

// demands reports whether a waiting request needs the instance to be asked.
func (s *Steward) demands(now time.Time, l *link, i group.Observation) bool {
	for _, w := range s.waiting {
		if now.Sub(w.demand) > w.pause(now) {
			w.demand = now
		}
		if l.asked.Before(w.demand) && !w.has(i) {
			return true
		}
	}
	return false
}

func (w *waiter) pause(now time.Time) time.Duration {
	return min(max(now.Sub(w.since)/againPart, againLeast), againMost)
}

// has reports whether the instance's status tells all that w needs of it.
func (w *waiter) has(i group.Observation) bool {
	if w.confirm == nil {
		return !i.Sent.Before(w.since)
	}
	ok := group.Unfenced(i, w.point.Term, w.since)
	return ok && (w.rule == document.AcknowledgePrimary || group.HasEntry(i, w.point))
}

func (s *Steward) drainWaiters() {
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
