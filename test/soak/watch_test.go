package soak_test

import (
	"fmt"
	"strings"
	"time"
)

const (
	// A window is judged at the end of each of its slices.
	windowSlices = 4
	sliceTime    = 500 * time.Millisecond
	// minAsked is how many statements of a route in a window, and how many refusals in a soak, are enough
	// for their share to tell more than chance.
	minAsked = 30
	// maxPriorityGap is by how much less of the most urgent route may be served than of the least urgent.
	maxPriorityGap = 0.1
	// minReads is how much of the reads is served at least while an instance is healthy. The rest is left
	// to the second that hosts have to notice which are not.
	minReads = 0.75
	// promptWithin is how soon nine of ten refusals for lack of capacity come.
	promptWithin  = 50 * time.Millisecond
	latePerPrompt = 0.1
	// quietFor is how long the effects of a fault may last beyond it, a promotion included.
	quietFor = 3 * time.Second
)

// overRate is in the refusals of an account that is over its rate, which say nothing of the load.
const overRate = "over its rate"

// allServices names the disturbances that concern all groups.
const allServices = ""

// loadOf names what asks for more of a group than it can do.
func loadOf(service string) string { return service + " load" }

// disturbance is the faults that keep a group or an instance from its work.
type disturbance struct {
	// active counts those that haven't ended.
	active int
	// until is when the last one ended.
	until time.Time
}

// share is how much of what was asked for was served.
type share struct{ asked, served int }

func (s share) part() float64 { return float64(s.served) / float64(s.asked) }

func (s share) String() string { return fmt.Sprintf("%d of %d", s.served, s.asked) }

// slice is a part of a window, with what was answered in it of each database.
type slice struct {
	began  time.Time
	shares map[string]share
}

// loadWatch watches how callers are served under load, where nothing else keeps them from it.
type loadWatch struct {
	// disturbances are those of groups, loads and instances by their names.
	disturbances map[string]*disturbance
	// slices are the last ones, the oldest first and the current one last.
	slices []slice
	// refusals are those for lack of capacity.
	refusals, lateRefusals int
}

// undisturbed reports whether there was none of the disturbances from a moment on, nor effects of earlier ones.
func (w *loadWatch) undisturbed(since time.Time, names ...string) bool {
	for _, n := range names {
		d := w.disturbances[n]
		if d != nil && (d.active > 0 || d.until.Add(quietFor).After(since)) {
			return false
		}
	}
	return true
}

// disturb records a disturbance that lasts until the returned function is called.
func (j *judge) disturb(names ...string) (ends func()) {
	add := func(n int) {
		j.mu.Lock()
		defer j.mu.Unlock()
		for _, name := range names {
			d := j.load.disturbances[name]
			if d == nil {
				d = &disturbance{}
				j.load.disturbances[name] = d
			}
			d.active += n
			d.until = time.Now()
		}
	}
	add(1)
	return func() { add(-1) }
}

// watch records the answer to a statement.
func (j *judge) watch(q *sent, a reply) {
	j.closeSlices()
	unrelated := a.code == "NOAUTH" || a.code == "NODB" || strings.Contains(a.text, overRate)
	if q.attempt.rests || !forwarded(q.text) || unrelated {
		return
	}
	w, d := &j.load, q.attempt.session.database
	now := w.slices[len(w.slices)-1]
	s := now.shares[d.name]
	s.asked++
	if a.digest != "" {
		s.served++
	}
	now.shares[d.name] = s
	disturbable := append([]string{d.service, allServices}, j.instances(d.service)...)
	if a.code != "BUSY" || !w.undisturbed(q.at, disturbable...) {
		return
	}
	w.refusals++
	if took := time.Since(q.at); took > promptWithin {
		w.lateRefusals++
		j.note("%s was refused after %v: %s", q.attempt.session, took, a.text)
	}
}

// lateRefusalReport tells how many refusals came late, empty if few did.
func (w *loadWatch) lateRefusalReport() string {
	if w.refusals < minAsked || float64(w.lateRefusals) <= latePerPrompt*float64(w.refusals) {
		return ""
	}
	return fmt.Sprintf("%d of %d refusals for lack of capacity came after %v", w.lateRefusals, w.refusals, promptWithin)
}

// closeSlices starts the current slice and judges the windows that have ended before.
func (j *judge) closeSlices() {
	w, now := &j.load, time.Now()
	if len(w.slices) == 0 {
		w.slices = []slice{{began: now, shares: map[string]share{}}}
	}
	for {
		ends := w.slices[len(w.slices)-1].began.Add(sliceTime)
		if now.Before(ends) {
			return
		}
		if len(w.slices) == windowSlices {
			for _, s := range services {
				j.judgeWindow(s)
			}
			w.slices = w.slices[1:]
		}
		w.slices = append(w.slices, slice{began: ends, shares: map[string]share{}})
	}
}

// shareOf returns what was served of a database in the window.
func (w *loadWatch) shareOf(database string) share {
	var out share
	for _, s := range w.slices {
		out.asked += s.shares[database].asked
		out.served += s.shares[database].served
	}
	return out
}

// judgeWindow checks how the routes of a group were served in the window.
func (j *judge) judgeWindow(service string) {
	w := &j.load
	from := w.slices[0].began
	if !w.undisturbed(from, service, allServices) {
		return
	}
	var healthy []string
	is := j.instances(service)
	for _, i := range is {
		if w.undisturbed(from, i) {
			healthy = append(healthy, i)
		}
	}
	mostUrgent, leastUrgent := w.shareOf(mostUrgentOf(service)), w.shareOf(leastUrgentOf(service))
	if leastUrgent.asked < minAsked {
		return
	}
	j.note("window of %s from %s: most urgent %v, least urgent %v, healthy %v, load: %t", service,
		from.Format("15:04:05.000000"), mostUrgent, leastUrgent, healthy, !w.undisturbed(from, loadOf(service)))
	if len(healthy) == len(is) && mostUrgent.asked >= minAsked {
		j.counts["windows of priority"]++
		if leastUrgent.part()-mostUrgent.part() > maxPriorityGap {
			j.breach(promisePriority, "from %s on, %s was served of %s, and %s of %s",
				from.Format("15:04:05.000000"), mostUrgent, mostUrgentOf(service), leastUrgent, leastUrgentOf(service))
		}
	}
	if len(healthy) > 0 && w.undisturbed(from, loadOf(service)) {
		j.counts["windows of reads"]++
		if leastUrgent.part() < minReads {
			j.breach(promiseReads, "from %s on, %s was served of %s, with %v healthy",
				from.Format("15:04:05.000000"), leastUrgent, leastUrgentOf(service), healthy)
		}
	}
}
