package rates

import (
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/quota"
	"skylarkdeal/core/roster"
)

func (h *Host) seatName() quota.OwnershipID { return quota.OwnershipID(h.dc) }

// renew keeps the lease, as io/members does.
func (h *Host) renew() {
	if !h.lease.Valid(h.late()) {
		h.register()
		return
	}
	name, sent := h.lease.Name, h.late()
	storeCall(h, func() bool {
		l := h.w.leases[h.name]
		if l.name != name || l.until < h.w.now {
			return false
		}
		h.w.leases[h.name] = lease{name, h.w.now + roster.LeaseTTL}
		return true
	}, func(ok bool) {
		if ok && h.lease.Name == name {
			h.lease.Renewed(sent)
		}
	})
}

func (h *Host) register() {
	name, sent := h.w.random.Uint64(), h.late()
	h.lease.Reregister(name)
	storeCall(h, func() bool {
		h.w.leases[h.name] = lease{name, h.w.now + roster.LeaseTTL}
		return true
	}, func(bool) {
		if h.lease.Name == name {
			h.lease.Renewed(sent)
		}
	})
}

// wants reports whether the host takes itself for the one to hold the seat.
func (h *Host) wants() bool {
	if h.w.Chaos {
		return h.w.random.IntN(3) > 0
	}
	for _, o := range h.w.Hosts {
		if o.dc == h.dc && (o.dead == 0 || h.w.now-o.dead <= 4*time.Second) {
			return o == h
		}
	}
	return false
}

// keepSeat is the round of io/grants for one seat.
func (h *Host) keepSeat() {
	now := h.late()
	if h.w.now < h.roundEnds {
		return
	}
	h.round++
	if h.seat.Held() {
		h.seat.LeaseRenewed(h.lease.Name, h.lease.Until())
		if now.After(h.seat.LeaseUntil().Add(-1500 * time.Millisecond)) {
			h.askConsent()
		}
		if h.w.Chaos && h.w.random.IntN(20) == 0 {
			h.yield()
			return
		}
		another := h.w.Chaos && h.w.random.IntN(5) == 0
		if !another && h.lease.Name == h.seat.Record().Lease || !h.lease.Valid(now) {
			return
		}
	}
	if h.lease.Valid(now) && (h.seat.Held() || h.wants()) {
		h.tryClaim()
	}
}

func (h *Host) askConsent() {
	r, sent := h.seat.Record(), h.late()
	to := h.w.find(r.Witness.Host)
	if to == nil {
		return
	}
	type answer struct {
		by quota.Process
		ok bool
	}
	call(h, to, func() answer {
		return answer{to.process, to.witness.Consent(to.early(), h.seatName(), r.Tenure)}
	}, func(a answer) {
		if a.ok {
			h.seat.Consented(sent, a.by, r.Tenure)
		}
	})
}

func (w *World) find(n fleet.Host) *Host {
	for _, h := range w.Hosts {
		if h.name == n {
			return h
		}
	}
	return nil
}

func (h *Host) tryClaim() {
	type read struct {
		r      quota.OwnershipRecord
		stands bool
		left   float64
	}
	h.roundEnds = h.w.now + 4*time.Second
	seatCall(h, func() read {
		r := h.w.seats[h.seatName()]
		l := h.w.leases[r.Owner.Host]
		return read{r, l.name == r.Lease && l.until >= h.w.now, h.w.left[h.seatName()]}
	}, func(v read) {
		l := h.lease.Name
		switch h.claim.Next(h.early(), h.process, l, v.r, v.stands) {
		case quota.StepIdle:
			h.lose()
		case quota.StepAdopt:
			if h.w.Chaos && h.w.random.IntN(2) > 0 {
				h.swap(v.r, quota.ClaimedRecord(v.r, h.process, l, h.pickWitness()), v.left)
				return
			}
			h.won(v.r, 0)
		case quota.StepSwap:
			h.swap(v.r, quota.ClaimedRecord(v.r, h.process, l, h.pickWitness()), v.left)
		case quota.StepWithdraw:
			h.withdraw(v.r)
		case quota.StepWait:
		}
	})
}

func (h *Host) pickWitness() quota.Process {
	var there []*Host
	for _, o := range h.w.Hosts {
		if o != h && o.dc == h.dc && o.dead == 0 {
			there = append(there, o)
		}
	}
	if len(there) == 0 {
		return quota.Process{}
	}
	return there[h.w.random.IntN(len(there))].process
}

func (h *Host) swap(old, next quota.OwnershipRecord, left float64) {
	h.seat.BeginSwap()
	h.claim.SwapSent(old)
	h.roundEnds = h.w.now + 4*time.Second
	seatCall(h, func() bool {
		if h.w.seats[h.seatName()] != old {
			return false
		}
		h.w.seats[h.seatName()] = next
		delete(h.w.left, h.seatName())
		return true
	}, func(ok bool) {
		if ok {
			h.won(next, left)
		}
	})
}

func (h *Host) withdraw(r quota.OwnershipRecord) {
	to := h.w.find(r.Witness.Host)
	if to == nil {
		return
	}
	call(h, to, func() time.Duration {
		return to.witness.Withdraw(to.early(), h.seatName(), r.Tenure)
	}, func(d time.Duration) { h.claim.Withdrawn(h.early(), r, d) })
}

func (h *Host) won(r quota.OwnershipRecord, left float64) {
	h.claim = quota.Claim{}
	if !h.seat.Acquired(r) {
		h.home.Start(h.early(), h.doc.Version, h.share(), quota.GrantID(h.w.random.Uint64()), h.first(r, left))
	}
	h.seat.LeaseRenewed(h.lease.Name, h.lease.Until())
}

// first returns the level that a home starts with.
func (h *Host) first(r quota.OwnershipRecord, left float64) float64 {
	if r.Tenure == 1 {
		return h.share().Burst
	}
	return left
}

// yield gives the seat up, and leaves the level to the successor.
func (h *Host) yield() {
	r := h.seat.Record()
	left := h.home.State().Level
	h.claim.SwapSent(r)
	h.lose()
	h.roundEnds = h.w.now + 4*time.Second
	seatCall(h, func() bool {
		now := h.w.seats[h.seatName()]
		if now.Owner != r.Owner || now.Tenure != r.Tenure {
			return false
		}
		h.w.seats[h.seatName()] = quota.OwnershipRecord{Tenure: r.Tenure + 1}
		h.w.left[h.seatName()] = left
		return true
	}, func(bool) {})
}

func (h *Host) lose() {
	h.seat.Lost()
	h.home = quota.Home{}
}
