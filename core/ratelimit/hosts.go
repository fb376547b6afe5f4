package ratelimit

import (
	"iter"
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
	// listed is set while the host is on the list of the other hosts.
	listed bool
	usage  map[fleet.Account]reportedUsage
}

// reportedUsage is a host's last report on an account, with the time at which it came.
type reportedUsage struct {
	Usage
	reportedAt time.Time
}

// negligibleDemand is the demand, in operations a second, below which a host counts as one that has none.
const negligibleDemand = 0.001

// demand returns the demand for an account as of the host's last report. An account that later
// reports leave out has not been requested since.
func (h *host) demand(n fleet.Account) float64 {
	t := h.usage[n]
	if t.Demand == 0 {
		return 0
	}
	return t.Demand * math.Exp(-h.lastReport.Sub(t.reportedAt).Seconds()/demandWindow.Seconds())
}

// demands returns the hosts that have a demand for an account, with that demand. Those that have none any more are
// forgotten.
func (f *Limiter) demands(n fleet.Account) iter.Seq2[*host, float64] {
	return func(yield func(*host, float64) bool) {
		for h := range f.demanding[n] {
			f.demandsRead++
			d := h.demand(n)
			if d < negligibleDemand {
				f.removeDemand(n, h)
				continue
			}
			if !yield(h, d) {
				return
			}
		}
	}
}

func (f *Limiter) addDemand(n fleet.Account, h *host) {
	if f.demanding[n] == nil {
		f.demanding[n] = map[*host]struct{}{}
	}
	f.demanding[n][h] = struct{}{}
}

func (f *Limiter) removeDemand(n fleet.Account, h *host) {
	delete(f.demanding[n], h)
	if len(f.demanding[n]) == 0 {
		delete(f.demanding, n)
	}
}

// removeHost forgets the demands of a host's process.
func (f *Limiter) removeHost(h *host) {
	for n := range h.usage {
		f.removeDemand(n, h)
	}
}

// SetPeers sets the list of the other hosts. The counts of a host that isn't on it are dropped
// countsKeptFor after its last report.
func (f *Limiter) SetPeers(now time.Time, hs []fleet.Host) {
	f.initialise(now)
	f.peers = fleet.NewSet(hs...)
	f.heard = heardPeers{}
	for n, h := range f.hosts {
		h.listed = f.peers.Has(n)
		if !h.listed && now.Sub(h.lastReport) > countsKeptFor {
			f.removeHost(h)
			delete(f.hosts, n)
		}
	}
	for n := range f.peers {
		if f.hosts[n] == nil {
			f.heard.never++
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
		if known {
			f.removeHost(h)
		} else if f.peers.Has(from) {
			f.heard.never--
		}
		h = &host{epoch: epoch, listed: f.peers.Has(from), usage: map[fleet.Account]reportedUsage{}}
		f.hosts[from] = h
	}
	// What hosts admitted before this process started isn't subtracted here.
	baseline := !known && now.Sub(f.startedAt) < demandWindow
	late := now.Sub(h.lastReport) > f.maxReportAge()
	h.seq, h.lastReport = seq, now
	for _, u := range usages {
		before, reported := h.usage[u.Account]
		h.usage[u.Account] = reportedUsage{u, now}
		if u.Demand >= negligibleDemand {
			f.addDemand(u.Account, h)
		}
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
	sum, maxAge := 0.0, f.maxReportAge()
	for h, d := range f.demands(n) {
		if sinceReport := now.Sub(h.lastReport); h.listed && sinceReport <= maxAge {
			sum += min(d*a.admittedFraction, a.rate) * sinceReport.Seconds()
		}
	}
	return sum
}

// heardPeers is how many of the listed hosts have reported. It is kept until a time at which it may change.
type heardPeers struct {
	// never counts those that have never reported, missing those that haven't lately.
	never, missing int
	// until is when missing has to be counted again.
	until time.Time
}

// recountMissing is how soon missing hosts are counted again, of which a report may have come.
const recountMissing = 20 * time.Millisecond

// countMissing counts the listed hosts that haven't reported lately, unless that can't have changed: as long as
// none is missing, the next one can be only once the oldest report is too old.
func (f *Limiter) countMissing(now time.Time) int {
	if now.Before(f.heard.until) {
		return f.heard.missing
	}
	maxAge := f.maxReportAge()
	f.heard.missing, f.heard.until = 0, now.Add(maxAge)
	for n := range f.peers {
		h := f.hosts[n]
		if h == nil || now.Sub(h.lastReport) > maxAge {
			f.heard.missing++
			continue
		}
		if at := h.lastReport.Add(maxAge); at.Before(f.heard.until) {
			f.heard.until = at
		}
	}
	if f.heard.missing > 0 {
		f.heard.until = now.Add(recountMissing)
	}
	return f.heard.missing
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
	missing := f.countMissing(now)
	if missing == 0 {
		a.partitionFraction, a.discarded = 1, 0
		return 1
	}
	maxAge := f.maxReportAge()
	minDemand := a.rate * demandFloor / float64(1+len(f.peers))
	reported := a.demand + minDemand*float64(1+len(f.peers)-missing)
	all := a.demand*float64(1+f.heard.never) + minDemand*float64(1+len(f.peers))
	for h, d := range f.demands(n) {
		if !h.listed {
			continue
		}
		all += d
		if now.Sub(h.lastReport) <= maxAge {
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
func (f *Limiter) counted(now time.Time, h *host) bool {
	return h.listed || now.Sub(h.lastReport) <= unlistedHostExpiry
}

// maxReportAge is the age up to which a host's last report counts as current.
func (f *Limiter) maxReportAge() time.Duration {
	return mesh.IntervalsFor(1 + len(f.peers)).HeardWithin
}

// reportInterval returns the interval at which the hosts report.
func (f *Limiter) reportInterval() time.Duration { return mesh.IntervalsFor(1 + len(f.peers)).Report }
