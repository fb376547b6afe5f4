package ratelimit

import (
	"math"
	"time"
)

// account is what one host keeps of one account.
type account struct {
	rate, burst float64
	// tokens is the picture of the fleet's bucket.
	tokens     float64
	refilledAt time.Time
	// admittedFraction is which admittedFraction of the operations is admitted, credit what has come together of it:
	// one operation is admitted for each whole one.
	admittedFraction, credit float64
	admitted                 uint64
	// demand is the moving average of what is asked for, as of demandAt; changed is when
	// anything was last asked for or given back.
	demand          float64
	demandUpdatedAt time.Time
	changedAt       time.Time
	// partitionFraction is the part of the rate that was asked of the hosts which can be heard, when all
	// could.
	partitionFraction float64
	// discarded is what has not come into the pool since then, because it was full or is for
	// the others.
	discarded float64
}

// addRemote takes from the picture of the bucket what another host has admitted. late tells that
// the host wasn't heard for a while.
//
// The guard is for the end of a cut. The picture was refilled meanwhile as if the other side
// had stood still, and was full most of the time; to take all that the other side has
// admitted from it at once had callers within their rate refused on all hosts, for a second
// and more. What came when the picture was full was lost to it, and covers the late news.
func (a *account) addRemote(admitted float64, late bool) {
	if late {
		covered := max(min(admitted, a.discarded), 0)
		a.discarded -= covered
		admitted -= covered
	}
	a.tokens -= admitted
}

// retryAfter says when a refused caller is to come back: when what was admitted too much is made
// up for, and by how much more is asked for than may be admitted.
func (a *account) retryAfter(level, reachable float64) time.Duration {
	rate := a.rate * reachable
	d := max(-level, 0)/rate + minRetryAfter.Seconds()/max(a.admittedFraction, minRetryAfter.Seconds())
	return min(max(time.Duration(d*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

// refill adds to the picture of the bucket what has come since, for the hosts that are heard.
func (a *account) refill(now time.Time, reachable float64) {
	d := now.Sub(a.refilledAt).Seconds()
	a.refilledAt = now
	a.tokens += a.rate * reachable * d
	overflow := max(0, a.tokens-a.burst*reachable)
	a.tokens -= overflow
	a.discarded += a.rate*(1-reachable)*d + overflow
}

// countRequest counts one operation into the demand.
func (a *account) countRequest(now time.Time) {
	a.decayDemand(now)
	a.changedAt = now
	a.demand += 1 / demandWindow.Seconds()
}

// decayDemand lets the demand fall by the time that has passed.
func (a *account) decayDemand(now time.Time) {
	d := now.Sub(a.demandUpdatedAt).Seconds() / demandWindow.Seconds()
	a.demandUpdatedAt = now
	a.demand *= math.Exp(-d)
}
