package ratelimit

import (
	"math"
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/mesh"
)

// host holds the reports of another host.
type host struct {
	epoch      uint64
	seq        uint64
	lastReport time.Time
	usage      map[fleet.Account]reportedUsage
}

// reportedUsage is a host's last report on an account, with the time at which it came.
type reportedUsage struct {
	Usage
	reportedAt time.Time
}

// demand returns the demand for an account as of the host's last report. An account that later
// reports leave out has not been requested since.
func (h *host) demand(n fleet.Account) float64 {
	t := h.usage[n]
	if t.Demand == 0 {
		return 0
	}
	return t.Demand * math.Exp(-h.lastReport.Sub(t.reportedAt).Seconds()/demandWindow.Seconds())
}

// SetPeers sets the list of the other hosts. The counts of a host that isn't on it are dropped
// countsKeptFor after its last report.
func (f *Limiter) SetPeers(now time.Time, hs []fleet.Host) {
	f.initialise(now)
	f.peers = fleet.NewSet(hs...)
	for n, h := range f.hosts {
		if !f.peers.Has(n) && now.Sub(h.lastReport) > countsKeptFor {
			delete(f.hosts, n)
		}
	}
}

// AddReport handles another host's report. Late and duplicate reports of one process are ignored.
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
	// What hosts admitted before this process started isn't subtracted here.
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
			// The first report on an account may count operations from long ago: only those of the
			// last demandWindow still have to be made up for.
			admitted = min(admitted, u.Demand*demandWindow.Seconds())
		}
		a.addRemote(admitted, late)
	}
}

// unreported estimates what the other hosts have admitted since their last reports, from the
// fraction that this host admits. Without it, each host would admit all that is left of its
// estimate in a sudden flood.
func (f *Limiter) unreported(now time.Time, a *account, n fleet.Account) float64 {
	sum := 0.0
	for name, h := range f.hosts {
		if sinceReport := now.Sub(h.lastReport); f.peers.Has(name) && sinceReport <= f.maxReportAge() {
			sum += min(h.demand(n)*a.admittedFraction, a.rate) * sinceReport.Seconds()
		}
	}
	return sum
}

// allHeard reports whether the list of the other hosts is known and all of them have reported
// lately.
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

// reachableFraction returns the fraction of the rate that the hosts that report may admit: their
// part of the demand on all hosts.
//
// While a host doesn't report, that fraction doesn't grow: the other side of a partition sees its
// own demand grow as well, and both fractions would add up to twice the rate.
func (f *Limiter) reachableFraction(now time.Time, a *account, n fleet.Account) float64 {
	if f.peers == nil {
		return 1.0 / assumedHosts
	}
	if f.allHeard(now) {
		a.partitionFraction, a.discarded = 1, 0
		return 1
	}
	minDemand := a.rate * demandFloor / float64(1+len(f.peers))
	reported, all := a.demand+minDemand, a.demand+minDemand
	for name := range f.peers {
		h := f.hosts[name]
		if h == nil {
			all += a.demand + minDemand
			continue
		}
		d := h.demand(n) + minDemand
		all += d
		if now.Sub(h.lastReport) <= f.maxReportAge() {
			reported += d
		}
	}
	fraction := reported / all
	if a.partitionFraction == 0 || a.partitionFraction == 1 {
		a.partitionFraction = fraction
	}
	return min(fraction, a.partitionFraction)
}

// counted reports whether a host's demand counts: it is on the list, or has reported lately.
func (f *Limiter) counted(now time.Time, n fleet.Host, h *host) bool {
	return f.peers.Has(n) || now.Sub(h.lastReport) <= unlistedHostExpiry
}

// maxReportAge is the age up to which a host's last report counts as current.
func (f *Limiter) maxReportAge() time.Duration {
	return mesh.IntervalsFor(1 + len(f.peers)).HeardWithin
}

// reportInterval returns the interval at which the hosts report.
func (f *Limiter) reportInterval() time.Duration { return mesh.IntervalsFor(1 + len(f.peers)).Report }
