package ratelimit

import (
	"math"
	"math/rand/v2"
	"time"

	"skylarkdeal/core/fleet"
)

// minClassShare is the part of the fraction admitted of all operations that each priority gets at least.
const minClassShare = 0.1

// mixWindow is the time constant with which requests are forgotten. A host of a large fleet sees a few
// operations a second of an account, too few to tell the parts of its priorities from one second.
const mixWindow = 5 * time.Second

// minRequests is the count below which a priority counts as not requested.
const minRequests = 0.1

// classes divides what is admitted of one account among the priorities of its operations: the more
// urgent ones come first, and each of the others keeps minClassShare of what it would get without
// priorities. Altogether no more is admitted than without them.
//
// Designed for an account that sends several times its rate over routes of different urgency. Without
// classes its payments are refused as often as its reports, although its rate would do for all payments.
type classes struct {
	// requests counts the operations requested on this host of late, by priority.
	requests [fleet.MaxPriority + 1]float64
	// credit grows by the admitted fraction with each operation of a priority, and one operation is
	// admitted for each whole credit.
	credit [fleet.MaxPriority + 1]float64
}

// newClasses returns classes with credits of random size, so that hosts on which an account is thinly
// spread don't all refuse its first operation.
func newClasses() classes {
	var c classes
	for p := range c.credit {
		c.credit[p] = rand.Float64()
	}
	return c
}

// decay forgets requests over the time d.
func (c *classes) decay(d time.Duration) {
	f := math.Exp(-d.Seconds() / mixWindow.Seconds())
	for p := range c.requests {
		c.requests[p] *= f
	}
}

// fraction returns which fraction of the operations of priority p to admit, if all is that of the
// operations of all priorities together.
func (c *classes) fraction(p fleet.Priority, all float64) float64 {
	if all >= 1 || c.requests[p] <= 0 {
		return all
	}
	left, reserved := 0.0, 0.0
	for q := range c.requests {
		left += all * c.requests[q]
		reserved += all * minClassShare * c.requests[q]
	}
	for q := range p {
		reserved -= all * minClassShare * c.requests[q]
		left -= min(c.requests[q], left-reserved)
	}
	reserved -= all * minClassShare * c.requests[p]
	return min(1, (left-reserved)/c.requests[p])
}

// reserve returns for how many seconds of the rate tokens are kept for the most urgent operations, if hosts
// report at the given interval: none if all that are requested have the same priority.
//
// The bucket that all hosts share is known only by their reports, and its level swings between two of them by
// what the rate gives in that time. Operations of a priority that fits the rate are admitted through such a swing.
// Without the reserve they would go beyond the burst, as what the others have admitted until then can't be taken
// back.
func (c *classes) reserve(interval time.Duration) float64 {
	requested := 0
	for _, n := range c.requests {
		if n >= minRequests {
			requested++
		}
	}
	if requested < 2 {
		return 0
	}
	return interval.Seconds()
}

// mostUrgent reports whether no operations more urgent than p are requested.
func (c *classes) mostUrgent(p fleet.Priority) bool {
	for q := range p {
		if c.requests[q] >= minRequests {
			return false
		}
	}
	return true
}

// take adds the admitted fraction to the credit of a priority, and takes one operation if there is one.
func (c *classes) take(p fleet.Priority, fraction float64) bool {
	c.credit[p] += fraction
	if c.credit[p] < 1 {
		return false
	}
	c.credit[p]--
	return true
}

// giveBack returns the credit of an operation that was admitted and not run.
func (c *classes) giveBack(p fleet.Priority) {
	c.credit[p] = min(c.credit[p]+1, 2)
}
