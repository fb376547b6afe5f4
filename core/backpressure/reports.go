package backpressure

import (
	"time"

	"skylarkdeal/core/fleet"
)

// Queue identifies the queue of one holder for one service.
type Queue struct {
	Holder  fleet.Host
	Service fleet.Service
}

// report is the last load of a queue.
type report struct {
	load       Load
	receivedAt time.Time
}

// Reports are the last reports of the holders that an entry host forwards to. The zero Reports is empty.
type Reports struct {
	reports map[Queue]report
	// overdue counts, by queue, the operations that couldn't be served according to its reports.
	overdue map[Queue]uint64
}

// Add replaces the report of a queue. A zero load removes it.
func (r *Reports) Add(now time.Time, q Queue, l Load) {
	if l.IsZero() {
		delete(r.reports, q)
		return
	}
	if r.reports == nil {
		r.reports, r.overdue = map[Queue]report{}, map[Queue]uint64{}
	}
	r.reports[q] = report{l, now}
}

// Lost removes the reports of a holder whose link has ended: they tell nothing of its next process.
func (r *Reports) Lost(h fleet.Host) {
	for q := range r.reports {
		if q.Holder == h {
			delete(r.reports, q)
			delete(r.overdue, q)
		}
	}
}

// Empty reports whether no holder reports a wait.
func (r *Reports) Empty() bool { return len(r.reports) == 0 }

// Wait returns the expected wait at a queue: the reported one less the time since, zero if the report is
// outdated or there is none.
func (r *Reports) Wait(now time.Time, q Queue, p fleet.Priority) time.Duration {
	e, ok := r.reports[q]
	if !ok {
		return 0
	}
	age := max(now.Sub(e.receivedAt), 0)
	if age > MaxAge {
		delete(r.reports, q)
		return 0
	}
	return max(e.load.Wait(p)-age, 0)
}

// waitMarginDivisor adds a quarter to the reported wait, as the holder's queue does: slot times vary, and the
// queue grows while the operation is on its way.
const waitMarginDivisor = 4

// Overdue reports whether an operation that has to start by a deadline can't, according to the report.
func (r *Reports) Overdue(now time.Time, q Queue, p fleet.Priority, deadline time.Time) bool {
	wait := r.Wait(now, q, p)
	return wait > 0 && now.Add(wait+wait/waitMarginDivisor).After(deadline)
}

// Probe reports whether an operation is to be forwarded although it can't be served according to the report.
func (r *Reports) Probe(q Queue) bool {
	if r.overdue == nil {
		return true
	}
	r.overdue[q]++
	return r.overdue[q]%probeInterval == 0
}
