package ratelimit

import (
	"math"
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/mesh"
)

// host is what is known of another host.
type host struct {
	epoch uint64
	seq   uint64
	heard time.Time
	usage map[fleet.Account]told
}

// told is what a host has told of an account, and when that was heard.
type told struct {
	Usage
	at time.Time
}

// demand returns what was asked for of an account when the host was last heard. What it
// hasn't told again has not been asked for since.
func (h *host) demand(n fleet.Account) float64 {
	t := h.usage[n]
	if t.Demand == 0 {
		return 0
	}
	return t.Demand * math.Exp(-h.heard.Sub(t.at).Seconds()/demandOver.Seconds())
}

// SetPeers tells which other hosts there are.
func (f *Limiter) SetPeers(now time.Time, hs []fleet.Host) {
	f.start(now)
	f.members = fleet.NewSet(hs...)
	for n, h := range f.hosts {
		if !f.members.Has(n) && now.Sub(h.heard) > rememberFor {
			delete(f.hosts, n)
		}
	}
}

// AddReport takes in another host's report. Reports of one process that are late or doubled
// change nothing.
func (f *Limiter) AddReport(now time.Time, from fleet.Host, epoch, seq uint64, us []Usage) {
	f.start(now)
	h := f.hosts[from]
	known := h != nil
	if known && h.epoch == epoch && seq <= h.seq {
		return
	}
	if !known || h.epoch != epoch {
		h = &host{epoch: epoch, usage: map[fleet.Account]told{}}
		f.hosts[from] = h
	}
	// What hosts have admitted before this process began is none of its matter.
	baseline := !known && now.Sub(f.began) < demandOver
	late := now.Sub(h.heard) > f.fresh()
	h.seq, h.heard = seq, now
	for _, u := range us {
		before, met := h.usage[u.Account]
		h.usage[u.Account] = told{u, now}
		a := f.accounts[u.Account]
		if a == nil || baseline {
			continue
		}
		news := float64(u.Admitted) - float64(before.Admitted)
		if !met {
			// The first word of a process may count from long ago: no more than the last of
			// it is still to be made up for.
			news = min(news, u.Demand*demandOver.Seconds())
		}
		a.told(news, late)
	}
}

// untold guesses what the other hosts have admitted since their last reports: the same part
// as this one of what is asked of them. Without it each host gives away, in a sudden flood,
// what all believe to be left.
func (f *Limiter) untold(now time.Time, a *account, n fleet.Account) float64 {
	sum := 0.0
	for name, h := range f.hosts {
		if silent := now.Sub(h.heard); f.members.Has(name) && silent <= f.fresh() {
			sum += min(h.demand(n)*a.part, a.rate) * silent.Seconds()
		}
	}
	return sum
}

// whole reports whether all other hosts have told lately what they admit.
func (f *Limiter) whole(now time.Time) bool {
	if f.members == nil {
		return false
	}
	for n := range f.members {
		if h := f.hosts[n]; h == nil || now.Sub(h.heard) > f.fresh() {
			return false
		}
	}
	return true
}

// side returns the part of the rate that the hosts which are heard may admit: what was asked
// of them, of all that was asked for.
//
// While a host isn't heard that part doesn't grow: the other side of a cut sees its own
// demand grow as well, and both would add up to twice the rate.
func (f *Limiter) side(now time.Time, a *account, n fleet.Account) float64 {
	if f.members == nil {
		return 1.0 / unknownHosts
	}
	if f.whole(now) {
		a.kept, a.spilled = 1, 0
		return 1
	}
	floor := a.rate * floorPart / float64(1+len(f.members))
	heard, all := a.demand+floor, a.demand+floor
	for name := range f.members {
		h := f.hosts[name]
		if h == nil {
			all += a.demand + floor
			continue
		}
		d := h.demand(n) + floor
		all += d
		if now.Sub(h.heard) <= f.fresh() {
			heard += d
		}
	}
	s := heard / all
	if a.kept == 0 || a.kept == 1 {
		a.kept = s
	}
	return min(s, a.kept)
}

// counts reports whether a host has a share of the rates: it is on the list, or was heard
// lately.
func (f *Limiter) counts(now time.Time, n fleet.Host, h *host) bool {
	return f.members.Has(n) || now.Sub(h.heard) <= forgetAfter
}

// fresh is how old the report of a host may be for the picture to count as whole.
func (f *Limiter) fresh() time.Duration { return mesh.IntervalsFor(1 + len(f.members)).HeardWithin }
