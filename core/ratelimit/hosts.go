package ratelimit

import (
	"math"
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/mesh"
)

// host is what is known of another host.
type host struct {
	epoch      uint64
	seq        uint64
	lastReport time.Time
	usage      map[fleet.Account]reportedUsage
}

// reportedUsage is what a host has reportedUsage of an account, and when that was heard.
type reportedUsage struct {
	Usage
	reportedAt time.Time
}

// demand returns what was asked for of an account when the host was last heard. What it
// hasn't told again has not been asked for since.
func (h *host) demand(n fleet.Account) float64 {
	t := h.usage[n]
	if t.Demand == 0 {
		return 0
	}
	return t.Demand * math.Exp(-h.lastReport.Sub(t.reportedAt).Seconds()/demandWindow.Seconds())
}

// SetPeers tells which other hosts there are.
func (f *Limiter) SetPeers(now time.Time, hs []fleet.Host) {
	f.initialise(now)
	f.peers = fleet.NewSet(hs...)
	for n, h := range f.hosts {
		if !f.peers.Has(n) && now.Sub(h.lastReport) > countsKeptFor {
			delete(f.hosts, n)
		}
	}
}

// AddReport takes in another host's report. Reports of one process that are late or doubled
// change nothing.
func (f *Limiter) AddReport(now time.Time, from fleet.Host, epoch, seq uint64, usages []Usage) {
	f.initialise(now)
	h := f.hosts[from]
	known := h != nil
	if known && h.epoch == epoch && seq <= h.seq {
		return
	}
	if !known || h.epoch != epoch {
		h = &host{epoch: epoch, usage: map[fleet.Account]reportedUsage{}}
		f.hosts[from] = h
	}
	// What hosts have admitted before this process began is none of its matter.
	baseline := !known && now.Sub(f.startedAt) < demandWindow
	late := now.Sub(h.lastReport) > f.maxReportAge()
	h.seq, h.lastReport = seq, now
	for _, u := range usages {
		before, reported := h.usage[u.Account]
		h.usage[u.Account] = reportedUsage{u, now}
		a := f.accounts[u.Account]
		if a == nil || baseline {
			continue
		}
		admitted := float64(u.Admitted) - float64(before.Admitted)
		if !reported {
			// The first word of a process may count from long ago: no more than the last of
			// it is still to be made up for.
			admitted = min(admitted, u.Demand*demandWindow.Seconds())
		}
		a.addRemote(admitted, late)
	}
}

// unreported guesses what the other hosts have admitted since their last reports: the same part
// as this one of what is asked of them. Without it each host gives away, in a sudden flood,
// what all believe to be left.
func (f *Limiter) unreported(now time.Time, a *account, n fleet.Account) float64 {
	sum := 0.0
	for name, h := range f.hosts {
		if silent := now.Sub(h.lastReport); f.peers.Has(name) && silent <= f.maxReportAge() {
			sum += min(h.demand(n)*a.admittedFraction, a.rate) * silent.Seconds()
		}
	}
	return sum
}

// allHeard reports whether all other hosts have told lately what they admit.
func (f *Limiter) allHeard(now time.Time) bool {
	if f.peers == nil {
		return false
	}
	for n := range f.peers {
		if h := f.hosts[n]; h == nil || now.Sub(h.lastReport) > f.maxReportAge() {
			return false
		}
	}
	return true
}

// reachableFraction returns the part of the rate that the hosts which are heard may admit: what was asked
// of them, of all that was asked for.
//
// While a host isn't heard that part doesn't grow: the other reachableFraction of a cut sees its own
// demand grow as well, and both would add up to twice the rate.
func (f *Limiter) reachableFraction(now time.Time, a *account, n fleet.Account) float64 {
	if f.peers == nil {
		return 1.0 / assumedHosts
	}
	if f.allHeard(now) {
		a.partitionFraction, a.discarded = 1, 0
		return 1
	}
	minDemand := a.rate * demandFloor / float64(1+len(f.peers))
	heard, all := a.demand+minDemand, a.demand+minDemand
	for name := range f.peers {
		h := f.hosts[name]
		if h == nil {
			all += a.demand + minDemand
			continue
		}
		d := h.demand(n) + minDemand
		all += d
		if now.Sub(h.lastReport) <= f.maxReportAge() {
			heard += d
		}
	}
	fraction := heard / all
	if a.partitionFraction == 0 || a.partitionFraction == 1 {
		a.partitionFraction = fraction
	}
	return min(fraction, a.partitionFraction)
}

// counted reports whether a host has a share of the rates: it is on the list, or was heard
// lately.
func (f *Limiter) counted(now time.Time, n fleet.Host, h *host) bool {
	return f.peers.Has(n) || now.Sub(h.lastReport) <= unlistedHostExpiry
}

// maxReportAge is how old the report of a host may be for the picture to count as whole.
func (f *Limiter) maxReportAge() time.Duration {
	return mesh.IntervalsFor(1 + len(f.peers)).HeardWithin
}
