package relay

import (
	"strconv"
	"time"

	"skylarkdeal/core/limiter"
	"skylarkdeal/core/statement"
)

// limitBounds returns the bounds of the concurrency limit toward the instance. A host that holds the
// connections for all, or is the only one, has to keep all slots busy.
func (i *instance) limitBounds(now time.Time) limiter.Bounds {
	if !i.direct(now) {
		return limiter.Bounds{Min: i.info.Slots, Max: i.connLimit()}
	}
	b := limiter.Bounds{Min: 1, Max: max(minConnections, i.connShare())}
	if i.g.r.hostCount == 1 {
		b.Min = i.info.Slots
	}
	return b
}

// runsAtATime returns how many statements of this host the instance runs at a time: what the concurrency limit
// allows, else its slots. Several hosts that use their own connections share the slots, and none gets all of them.
func (i *instance) runsAtATime(now time.Time) int {
	if _, held := i.g.r.holder(i); held || !i.g.r.cfg.ConcurrencyLimit {
		return i.info.Slots
	}
	return i.limiter.Limit(i.limitBounds(now))
}

// limited reports whether the instance has as many of this host's statements as the concurrency limit
// allows.
//
// Guards against statements that wait in the instance, where no host can order them by urgency.
func (i *instance) limited(now time.Time) bool {
	return i.g.r.cfg.ConcurrencyLimit && !i.limiter.Allows(i.ownRunning(), i.limitBounds(now))
}

// ownRunning returns how many statements of this host's own connections the instance runs.
func (i *instance) ownRunning() int { return i.busyConns() - i.forwardedCount }

// limitWait returns how long a new operation waits in this host's queue for the limited instance. Its statements
// take at least as long as the oldest one has taken already: an instance that hangs has a short average.
func (g *group) limitWait(now time.Time, i *instance) time.Duration {
	return limiter.Wait(max(i.avgLatency, i.oldestStatementAge(now)), g.queue.Len(), i.ownRunning())
}

// adjustLimit adjusts the instance's concurrency limit by a response to o, while o still counts as running.
// Statements of transactions don't count: a commit takes longer than the others of its route.
func (i *instance) adjustLimit(now time.Time, o *operation, code statement.Code, took time.Duration) {
	if !i.g.r.cfg.ConcurrencyLimit || o.s.tx.open {
		return
	}
	b := i.limitBounds(now)
	before, changed := i.limiter.Limit(b), false
	switch code {
	case statement.CodeNone:
		k := limiter.Kind{Priority: o.route.Priority, Primary: o.needsPrimary}
		changed = i.limiter.Answered(now, k, took, i.ownRunning(), b)
	case statement.CodeBusy, statement.CodeTimeout:
		changed = i.limiter.Shed(now, b)
	default:
	}
	if changed {
		i.logLimit(now, before, i.limiter.Limit(b))
	}
}

// limitLogInterval is the least time between two log lines on the limit of one instance.
const limitLogInterval = time.Second

// logLimit counts and logs a change of the limit.
func (i *instance) logLimit(now time.Time, before, after int) {
	reason := "statements don't wait in the instance"
	if after < before {
		i.g.r.counters.LimitDecreases++
		reason = "statements wait in the instance, or it refuses them"
	}
	if now.Sub(i.limitLoggedAt) < limitLogInterval {
		return
	}
	i.limitLoggedAt = now
	i.g.logInstance(i, "allow "+strconv.Itoa(after)+" statements at a time", reason)
}

// stateLimit returns the limit for the state dump.
func (i *instance) stateLimit(now time.Time) int {
	if !i.g.r.cfg.ConcurrencyLimit {
		return 0
	}
	return i.limiter.Limit(i.limitBounds(now))
}
