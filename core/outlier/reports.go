package outlier

import (
	"time"

	"skylarkdeal/core/fleet"
)

// Ejection is an ejection as a host reports it to others.
type Ejection struct {
	Instance fleet.Instance
	// Left is how long it takes until the next probe is due.
	Left time.Duration
	// RatePercent is the share of failures, Primary whether the instance was the primary of its group.
	RatePercent int
	Primary     bool
}

const (
	// MaxEjections is how many ejections a report may have.
	MaxEjections = 64
	// MaxLeft is how long an ejection in a report may last.
	MaxLeft = maxPause
	// ReportValidity is how long a report counts.
	ReportValidity = time.Second
)

// Valid reports whether the values of an ejection are in their ranges.
func (e Ejection) Valid() bool {
	return e.Instance != "" && e.Left >= 0 && e.Left <= MaxLeft && e.RatePercent >= 0 && e.RatePercent <= 100
}

// report is the last report of one host.
type report struct {
	centre    fleet.DataCentre
	at        time.Time
	ejections []Ejection
}

// Reports has what other hosts report. The zero Reports has nothing.
type Reports struct {
	byHost map[fleet.Host]report
}

// Add sets the ejections of a host as of a time, in place of its earlier ones.
func (r *Reports) Add(from fleet.Host, dc fleet.DataCentre, at time.Time, es []Ejection) {
	if len(es) == 0 {
		delete(r.byHost, from)
		return
	}
	if r.byHost == nil {
		r.byHost = map[fleet.Host]report{}
	}
	r.byHost[from] = report{dc, at, es}
}

// From returns the ejections in a host's last report.
func (r *Reports) From(h fleet.Host) []Ejection { return r.byHost[h].ejections }

// Has reports whether a host has reported ejections.
func (r *Reports) Has(from fleet.Host) bool {
	_, ok := r.byHost[from]
	return ok
}

// Expire drops the reports that no longer count, and reports whether there are any left.
func (r *Reports) Expire(now time.Time) bool {
	for h, p := range r.byHost {
		if now.Sub(p.at) >= ReportValidity {
			delete(r.byHost, h)
		}
	}
	return len(r.byHost) > 0
}

// Of returns until when reports eject an instance, and the highest rate of failures among them, zeros and false
// if they don't. One host of the own data centre is enough, or hosts of two other ones: a single link between two
// data centres that loses responses then ejects nothing in a third.
func (r *Reports) Of(now time.Time, own fleet.DataCentre, n fleet.Instance) (until time.Time, rate float64, ok bool) {
	var other fleet.DataCentre
	for _, p := range r.byHost {
		e, reported := p.of(now, n)
		if !reported {
			continue
		}
		if p.centre == own || other != "" && p.centre != other {
			ok = true
		}
		other = p.centre
		if end := p.at.Add(ReportValidity); end.After(until) {
			until = end
		}
		rate = max(rate, float64(e.RatePercent)/100)
	}
	if !ok {
		return time.Time{}, 0, false
	}
	return until, rate, true
}

// Hosts returns how many hosts eject an instance as the primary of its group.
func (r *Reports) Hosts(now time.Time, n fleet.Instance) int {
	count := 0
	for _, p := range r.byHost {
		if e, ok := p.of(now, n); ok && e.Primary {
			count++
		}
	}
	return count
}

func (p report) of(now time.Time, n fleet.Instance) (Ejection, bool) {
	if now.Sub(p.at) >= ReportValidity {
		return Ejection{}, false
	}
	for _, e := range p.ejections {
		if e.Instance == n {
			return e, true
		}
	}
	return Ejection{}, false
}

// Adopt sets until when reports of other hosts eject the instance, in place of earlier ones. The zero time is for
// no ejection.
func (i *Instance) Adopt(until time.Time, rate float64) { i.adoptedUntil, i.adoptedRate = until, rate }
