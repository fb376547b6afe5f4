// Package limiter bounds how many statements a host has at an instance at a time.
//
// Designed for several hosts whose connections to an instance together exceed its slots, such as eight
// hosts with three connections each to two slots. Without a bound the statements wait in the instance in
// their order of arrival, and an urgent one waits behind all that are not.
package limiter

import (
	"time"

	"skylarkdeal/core/fleet"
)

// Bounds are the least and the greatest limit: what keeps the instance's slots busy if this host is the
// only sender, and the host's connections.
type Bounds struct {
	Min, Max int
}

// Kind distinguishes statements whose execution times differ, so that a change of the mix isn't taken
// for a wait.
type Kind struct {
	Priority fleet.Priority
	Primary  bool
}

const kinds = 2 * (int(fleet.MaxPriority) + 1)

func (k Kind) index() int {
	n := 2 * int(k.Priority.Clamp())
	if k.Primary {
		n++
	}
	return n
}

// Limiter is the limit toward one instance. The zero Limiter begins with the least limit: a host that starts
// during an overload can't tell the wait from the execution time, and would keep to a limit that causes it.
type Limiter struct {
	// Adjust returns the limit after a window in which responses took ratio times as long as without a
	// wait; full is set if the limit was reached. It is AIMD if nil.
	Adjust func(limit, ratio float64, full bool) float64

	limit     float64
	baselines [kinds]baseline
	window    window
	shedAt    time.Time
}

// window collects the responses between two adjustments.
type window struct {
	startedAt time.Time
	count     int
	ratios    float64
	full      bool
}

const (
	// windowTime and windowResponses are the least length of a window. Shorter ones follow the variance of
	// single statements.
	windowTime      = 50 * time.Millisecond
	windowResponses = 16
	// maxRatio bounds what one response adds to a window, so that one outlier doesn't decide.
	maxRatio = 10
	// congestedRatio is the ratio above which too many statements wait in the instance: at 2 there are twice as
	// many as slots.
	congestedRatio = 2
	// decrease is the factor by which a limit is lowered that is too high, increase the number of statements by
	// which one is raised that isn't and was reached.
	decrease = 0.75
	increase = 0.5
	// shedInterval is the least time between two decreases for BUSY, so that the refusals of one burst
	// count once.
	shedInterval = 50 * time.Millisecond
)

// Limit returns how many statements may be at the instance.
func (l *Limiter) Limit(b Bounds) int {
	return int(l.clamp(b))
}

func (l *Limiter) clamp(b Bounds) float64 {
	least := float64(max(b.Min, 1))
	return max(min(l.limit, float64(b.Max)), least)
}

// Allows reports whether one more statement may be sent while running are at the instance.
func (l *Limiter) Allows(running int, b Bounds) bool { return running < l.Limit(b) }

// Wait returns how long a new statement waits while the limit is reached: until as many have ended as wait, of
// which running are at the instance at a time and take latency each.
func Wait(latency time.Duration, waiting, running int) time.Duration {
	return latency * time.Duration(max(waiting, 1)) / time.Duration(max(running, 1))
}

// Answered records a response after took, while running statements were at the instance, this one
// included. It reports whether the limit has changed.
func (l *Limiter) Answered(now time.Time, k Kind, took time.Duration, running int, b Bounds) bool {
	w := &l.window
	if w.count == 0 {
		w.startedAt = now
	}
	ratio := l.baselines[k.index()].add(now, took)
	w.count++
	w.ratios += min(ratio, maxRatio)
	w.full = w.full || running >= l.Limit(b)
	if w.count < windowResponses || now.Sub(w.startedAt) < windowTime {
		return false
	}
	ratio, full := w.ratios/float64(w.count), w.full
	*w = window{}
	adjust := l.Adjust
	if adjust == nil {
		adjust = aimd
	}
	return l.set(adjust, ratio, full, b)
}

// Shed records that the instance refused a statement as it was busy. It reports whether the limit has
// changed.
func (l *Limiter) Shed(now time.Time, b Bounds) bool {
	if now.Sub(l.shedAt) < shedInterval {
		return false
	}
	l.shedAt, l.window = now, window{}
	return l.set(aimd, maxRatio, true, b)
}

func (l *Limiter) set(adjust func(limit, ratio float64, full bool) float64, ratio float64, full bool, b Bounds) bool {
	before := l.Limit(b)
	l.limit = adjust(l.clamp(b), ratio, full)
	l.limit = l.clamp(b)
	return l.Limit(b) != before
}

// aimd raises the limit by a step, and lowers it by a factor.
func aimd(limit, ratio float64, full bool) float64 {
	switch {
	case ratio > congestedRatio:
		return limit * decrease
	case full:
		return limit + increase
	default:
		return limit
	}
}
