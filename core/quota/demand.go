package quota

import (
	"math"
	"time"
)

// demand follows how many tokens a second are taken.
type demand struct {
	perSecond float64
	seen      int64
	at        time.Time
	last      time.Time
}

// demandWindow is the time constant of the moving average.
const demandWindow = 200 * time.Millisecond

func (d *demand) update(now time.Time, taken int64) {
	if d.at.IsZero() {
		d.at, d.last = now, now
	}
	dt := now.Sub(d.at)
	if dt < demandWindow/20 {
		return
	}
	n := float64(taken - d.seen)
	if n > 0 {
		d.last = now
	}
	keep := math.Exp(-dt.Seconds() / demandWindow.Seconds())
	d.perSecond = d.perSecond*keep + n/dt.Seconds()*(1-keep)
	d.seen, d.at = taken, now
}

// idle reports whether nothing was taken for a while.
func (d *demand) idle(now time.Time) bool {
	return now.Sub(d.last) > demandWindow
}
