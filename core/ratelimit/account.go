package ratelimit

import (
	"math"
	"time"
)

// account is what one host keeps of one account.
type account struct {
	rate, burst float64
	// pool is the picture of the fleet's bucket.
	pool float64
	at   time.Time
	// part is which part of the operations is admitted, credit what has come together of it:
	// one operation is admitted for each whole one.
	part, credit float64
	admitted     uint64
	// demand is the moving average of what is asked for, as of demandAt; changed is when
	// anything was last asked for or given back.
	demand   float64
	demandAt time.Time
	changed  time.Time
	// kept is the part of the rate that was asked of the hosts which can be heard, when all
	// could.
	kept float64
	// spilled is what has not come into the pool since then, because it was full or is for
	// the others.
	spilled float64
}

// told takes from the picture of the bucket what another host has admitted. late tells that
// the host wasn't heard for a while.
//
// The guard is for the end of a cut. The picture was refilled meanwhile as if the other side
// had stood still, and was full most of the time; to take all that the other side has
// admitted from it at once had callers within their rate refused on all hosts, for a second
// and more. What came when the picture was full was lost to it, and covers the late news.
func (a *account) told(news float64, late bool) {
	if late {
		covered := max(min(news, a.spilled), 0)
		a.spilled -= covered
		news -= covered
	}
	a.pool -= news
}

// wait says when a refused caller is to come back: when what was admitted too much is made
// up for, and by how much more is asked for than may be admitted.
func (a *account) wait(level, side float64) time.Duration {
	rate := a.rate * side
	d := max(-level, 0)/rate + minWait.Seconds()/max(a.part, minWait.Seconds())
	return min(max(time.Duration(d*float64(time.Second)), minWait), maxWait)
}

// refill adds to the picture of the bucket what has come since, for the hosts that are heard.
func (a *account) refill(now time.Time, side float64) {
	d := now.Sub(a.at).Seconds()
	a.at = now
	a.pool += a.rate * side * d
	over := max(0, a.pool-a.burst*side)
	a.pool -= over
	a.spilled += a.rate*(1-side)*d + over
}

// ask counts one operation into the demand.
func (a *account) ask(now time.Time) {
	a.decay(now)
	a.changed = now
	a.demand += 1 / demandOver.Seconds()
}

// decay lets the demand fall by the time that has passed.
func (a *account) decay(now time.Time) {
	d := now.Sub(a.demandAt).Seconds() / demandOver.Seconds()
	a.demandAt = now
	a.demand *= math.Exp(-d)
}
