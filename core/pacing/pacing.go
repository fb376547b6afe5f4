// Package pacing chooses after how long refused callers are to retry.
//
// Designed for many callers that are refused at the same moment, by a burst or by the loss of a primary.
// With equal retry times they return together, and most of them are refused again.
package pacing

import (
	"math"
	"time"
)

// MaxRetryAfter bounds retry times: what is known of the load doesn't reach further ahead.
const MaxRetryAfter = 2 * time.Second

const (
	// failureJitterDivisor sets the jitter of refusals for a failure: a quarter of its expected duration.
	failureJitterDivisor = 4
	// rateWindow is the time over which completions are counted.
	rateWindow = 500 * time.Millisecond
	// minInterval and maxInterval bound the time between two reservations. A group that completes nothing
	// is tried ten times a second.
	minInterval = time.Millisecond
	maxInterval = 100 * time.Millisecond
	// goldenRatio makes consecutive jitters differ as much as possible.
	goldenRatio = 0.6180339887498949
)

// Pacer chooses the retry times of one group. The zero Pacer works.
type Pacer struct {
	// Offset, from 0 to 1, differs between hosts, so that their jitters do.
	Offset float64

	count uint64
	// next is the next time at which there is capacity that isn't reserved.
	next time.Time
	// completed counts the completions since countedFrom, perSecond is the rate before.
	completed   int
	countedFrom time.Time
	perSecond   float64
}

// Completed records that the group has completed an operation of this host.
func (p *Pacer) Completed(now time.Time) {
	since := now.Sub(p.countedFrom)
	if since >= rateWindow {
		p.perSecond = float64(p.completed) / since.Seconds()
		p.completed, p.countedFrom = 0, now
	}
	p.completed++
}

// Interval returns the expected time between two completions.
func (p *Pacer) Interval(now time.Time) time.Duration {
	rate := p.perSecond
	if since := now.Sub(p.countedFrom); since >= rateWindow {
		rate = float64(p.completed) / since.Seconds()
	}
	if rate <= 0 {
		return maxInterval
	}
	return min(max(time.Duration(float64(time.Second)/rate), minInterval), maxInterval)
}

// Capacity returns the retry time of a refusal for lack of capacity, and reserves the capacity of that time.
// wait is the expected wait of a new operation.
func (p *Pacer) Capacity(now time.Time, wait time.Duration) time.Duration {
	wait = min(max(wait, 0), MaxRetryAfter)
	if earliest := now.Add(wait); p.next.Before(earliest) {
		p.next = earliest
	}
	after := p.next.Sub(now)
	if after > MaxRetryAfter {
		// More callers than there is capacity in this time: they share it.
		return wait + time.Duration(p.jitter()*float64(MaxRetryAfter-wait))
	}
	p.next = p.next.Add(p.Interval(now))
	return after
}

// Failure returns the retry time of a refusal for a failure that is expected to last for left.
func (p *Pacer) Failure(left time.Duration) time.Duration {
	left = max(left, 0)
	return left + time.Duration(p.jitter()*float64(left/failureJitterDivisor))
}

// Reserved returns for how long capacity is reserved.
func (p *Pacer) Reserved(now time.Time) time.Duration { return max(p.next.Sub(now), 0) }

// jitter returns the next of a sequence of numbers between 0 and 1.
func (p *Pacer) jitter() float64 {
	p.count++
	_, f := math.Modf(p.Offset + float64(p.count)*goldenRatio)
	return f
}
