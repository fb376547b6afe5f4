package quota

import (
	"math"
	"time"
)

// demand is a moving average of how many tokens are taken a second.
type demand struct {
	perSecond   float64
	takenBefore int64
	updatedAt   time.Time
	lastTakenAt time.Time
}

// demandWindow is the time constant of the moving average.
const demandWindow = 200 * time.Millisecond

func (d *demand) update(now time.Time, taken int64) {
	if d.updatedAt.IsZero() {
		d.updatedAt, d.lastTakenAt = now, now
	}
	dt := now.Sub(d.updatedAt)
	if dt < demandWindow/20 {
		return
	}
	n := float64(taken - d.takenBefore)
	if n > 0 {
		d.lastTakenAt = now
	}
	decay := math.Exp(-dt.Seconds() / demandWindow.Seconds())
	d.perSecond = d.perSecond*decay + n/dt.Seconds()*(1-decay)
	d.takenBefore, d.updatedAt = taken, now
}

// idle reports whether no update found any tokens taken for a demandWindow.
func (d *demand) idle(now time.Time) bool {
	return now.Sub(d.lastTakenAt) > demandWindow
}
