package rates

import (
	"slices"
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/quota"
	"skylarkdeal/core/roster"
)

// waiter is an exchange that waits for a token.
type waiter struct {
	limit time.Time
	done  func(bool)
}

// Host is one host of the fleet; its process changes when it restarts.
type Host struct {
	w    *World
	name fleet.Host
	dc   fleet.DataCentre
	// Drift is how much faster than the true clock the host's clocks run, as a part of 1.
	Drift float64
	// lag is how far the monotonic clock is behind the wall clock.
	lag    time.Duration
	paused time.Duration
	dead   time.Duration

	process quota.Process
	doc     *document.Document
	spender quota.Spender
	home    quota.Home
	seat    quota.Ownership
	claim   quota.Claim
	witness quota.Witness
	lease   roster.Lease
	target  map[fleet.DataCentre]int
	waiters []waiter
	// round counts the rounds of seats. One ends with its last answer or after
	// the store's timeout; answers that come later are nobody's.
	round     int
	roundEnds time.Duration
	// ticking is set while steps follow one another because exchanges wait.
	ticking bool
}

// DataCentre returns where the host is.
func (h *Host) DataCentre() fleet.DataCentre { return h.dc }

// Pause stops the host's process for d at least; its clocks go on.
func (h *Host) Pause(d time.Duration) {
	h.paused = max(h.paused, h.w.now+d)
}

// Suspend is Pause with a monotonic clock that stands still.
func (h *Host) Suspend(d time.Duration) {
	h.Pause(d)
	h.lag += d
}

// Restart ends the host's process, and starts a new one after d.
func (h *Host) Restart(d time.Duration) {
	h.dead = h.w.now
	h.w.After(d, func() {
		if h.dead > 0 {
			h.boot()
		}
	})
}

// boot starts a new process on the host, which has forgotten everything.
func (h *Host) boot() {
	h.process = quota.Process{Host: h.name, Epoch: h.process.Epoch + 1}
	h.doc, h.home, h.seat, h.claim = h.w.Doc, quota.Home{}, quota.Ownership{}, quota.Claim{}
	h.witness = quota.Witness{StartedAt: h.early()}
	h.spender = quota.Spender{Host: h.name, OwnDataCentre: h.dc}
	h.lease, h.waiters, h.dead = roster.Lease{}, nil, 0
	h.target = map[fleet.DataCentre]int{}
	h.roundEnds = 0
	h.ticking = false
	h.every(25*time.Millisecond, h.step)
	h.every(500*time.Millisecond, h.keepSeat)
	h.every(roster.RenewInterval, h.renew)
}

// every repeats f for the life of the process, starting somewhere in d.
func (h *Host) every(d time.Duration, f func()) {
	var again func()
	again = func() { f(); h.later(d, again) }
	h.later(time.Duration(h.w.random.Int64N(int64(d))), again)
}

// later does f on the host after d, or once it is no longer paused. A process
// that has died by then does nothing.
func (h *Host) later(d time.Duration, f func()) {
	p := h.process
	var run func()
	run = func() {
		switch {
		case h.process != p || h.dead > 0:
		case h.paused > h.w.now:
			h.w.After(h.paused-h.w.now, run)
		default:
			f()
		}
	}
	h.w.After(d, run)
}

func (h *Host) late() time.Time {
	return Epoch.Add(time.Duration(float64(h.w.now) * (1 + h.Drift)))
}

func (h *Host) early() time.Time {
	return h.late().Add(-h.lag)
}

func (h *Host) share() quota.Share {
	a, _ := h.doc.Account(account)
	return quota.ShareOf(a.Rate, a.Burst, h.doc.Service, account, h.dc, h.doc.DataCentres)
}

// Adopt puts a newer document in effect on the host.
func (h *Host) Adopt(d *document.Document) {
	same := slices.Equal(h.doc.DataCentres, d.DataCentres)
	h.doc = d
	if h.home.Started() {
		h.home.SetShare(h.early(), d.Version, h.share(), same)
	}
}
