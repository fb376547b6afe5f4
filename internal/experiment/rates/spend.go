package rates

import (
	"slices"
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/quota"
)

// answer is a home's answer to an ask.
type answer struct {
	grant quota.Grant
	here  bool
}

func (h *Host) answer(a quota.Ask) answer {
	if !h.seat.CanGrant(h.late()) {
		return answer{}
	}
	return answer{h.home.Ask(h.early(), a), true}
}

// Arrive lets an exchange come to the host. done is told whether it was admitted,
// at once or when it has waited.
func (h *Host) Arrive(done func(bool)) {
	if h.dead > 0 || h.paused > h.w.now {
		done(false)
		return
	}
	now := h.late()
	if len(h.waiters) == 0 && h.spender.Take(now, 1) {
		h.admit(done)
		return
	}
	h.waiters = append(h.waiters, waiter{now.Add(250 * time.Millisecond), done})
	h.step()
}

func (h *Host) admit(done func(bool)) {
	h.w.Admitted = append(h.w.Admitted, Epoch.Add(h.w.now))
	done(true)
}

func (h *Host) refuse(i int) {
	w := h.waiters[i]
	h.waiters = slices.Delete(h.waiters, i, i+1)
	w.done(false)
}

// step is what io/grants does for one account.
func (h *Host) step() {
	now := h.late()
	for len(h.waiters) > 0 && h.spender.TakeAny(now, 1) {
		w := h.waiters[0]
		h.waiters = h.waiters[1:]
		h.admit(w.done)
	}
	for len(h.waiters) > 0 && !now.Before(h.waiters[0].limit) {
		h.refuse(0)
	}
	for len(h.waiters) > 0 {
		n := len(h.waiters)
		if !now.Add(h.spender.MinWait(now, h.rate(), quota.Tokens(n), h.dcs())).After(h.waiters[n-1].limit) {
			break
		}
		h.refuse(n - 1)
	}
	if w, ok := h.spender.Next(now, quota.Tokens(len(h.waiters)), h.dcs()); ok {
		h.ask(w, now)
	}
	if len(h.waiters) > 0 && !h.ticking {
		h.ticking = true
		h.later(5*time.Millisecond, func() {
			h.ticking = false
			h.step()
		})
	}
}

func (h *Host) rate() quota.Share {
	a, _ := h.doc.Account(account)
	return quota.Share{Rate: a.Rate, Burst: a.Burst}
}

func (h *Host) dcs() []fleet.DataCentre {
	if !h.w.lend && slices.Contains(h.doc.DataCentres, h.dc) {
		return []fleet.DataCentre{h.dc}
	}
	return h.doc.DataCentres
}

func (h *Host) ask(w quota.HomeRequest, sent time.Time) {
	to := h.targetIn(w.DataCentre)
	settled := false
	back := func(a answer) {
		if settled {
			return
		}
		settled = true
		if !a.here {
			h.target[w.DataCentre]++
			h.spender.Failed(h.late(), w.DataCentre)
			return
		}
		h.spender.Granted(h.late(), sent, w.DataCentre, w.Ask, a.grant)
		h.step()
	}
	if to == h {
		back(h.answer(w.Ask))
		return
	}
	call(h, to, func() answer { return to.answer(w.Ask) }, back)
	if !h.w.Chaos {
		h.later(quota.AskTimeout, func() { back(answer{}) })
	}
}

func (h *Host) targetIn(d fleet.DataCentre) *Host {
	var there []*Host
	for _, o := range h.w.Hosts {
		if o.dc == d {
			there = append(there, o)
		}
	}
	return there[h.target[d]%len(there)]
}
