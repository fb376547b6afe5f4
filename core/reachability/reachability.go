// Package reachability keeps the hosts' reports of the instances that they can and can't reach.
//
// Designed for hundreds of hosts that report several times a second before thousands of instances. Most reports
// name no instance, so what was reported is kept by instance: a question about one costs as much as there are
// hosts that named it, whatever the number of hosts that report.
package reachability

import (
	"iter"
	"time"

	"skylarkdeal/core/fleet"
)

// Validity is how long a report counts.
const Validity = time.Second

// Reports are the last reports of the other hosts. The zero Reports has none.
type Reports struct {
	hosts map[fleet.Host]*report
	// instances has each instance that a report names.
	instances map[fleet.Instance]*reporters
}

// report is the last report of a host.
type report struct {
	// receivedAt is when the report was received, continuousSince when the first one was received
	// after the last gap. Reports that follow a gap may be outdated.
	receivedAt, continuousSince time.Time
	unreachable, reachable      []fleet.Instance
}

// recent reports whether the report was received less than Validity ago.
func (r *report) recent(now time.Time) bool { return r != nil && now.Sub(r.receivedAt) < Validity }

// trusted reports whether the report counts in a decision on a promotion. A host that was cut off
// reconnects to the instances only after its reports arrive again, and its suspicions would replace
// a primary that all other hosts reach.
func (r *report) trusted(now time.Time) bool {
	return r.recent(now) && now.Sub(r.continuousSince) >= Validity
}

// reporters are the hosts whose last report names an instance.
type reporters struct {
	unreachable, reachable fleet.Set[fleet.Host]
}

// Add replaces the report of a host by a new one: the instances that it can't reach, and those that it can
// although others can't.
func (r *Reports) Add(now time.Time, from fleet.Host, unreachable, reachable []fleet.Instance) {
	if r.hosts == nil {
		r.hosts, r.instances = map[fleet.Host]*report{}, map[fleet.Instance]*reporters{}
	}
	last := r.hosts[from]
	if last == nil {
		last = &report{}
		r.hosts[from] = last
	}
	if !last.recent(now) {
		last.continuousSince = now
	}
	r.withdraw(from, last)
	last.receivedAt, last.unreachable, last.reachable = now, unreachable, reachable
	for _, i := range unreachable {
		r.reporters(i).unreachable.Add(from)
	}
	for _, i := range reachable {
		r.reporters(i).reachable.Add(from)
	}
}

// withdraw removes a host's last report from the instances that it names.
func (r *Reports) withdraw(from fleet.Host, last *report) {
	for _, i := range last.unreachable {
		r.drop(i, from)
	}
	for _, i := range last.reachable {
		r.drop(i, from)
	}
}

func (r *Reports) drop(i fleet.Instance, from fleet.Host) {
	n := r.instances[i]
	if n == nil {
		return
	}
	delete(n.unreachable, from)
	delete(n.reachable, from)
	if len(n.unreachable)+len(n.reachable) == 0 {
		delete(r.instances, i)
	}
}

func (r *Reports) reporters(i fleet.Instance) *reporters {
	n := r.instances[i]
	if n == nil {
		n = &reporters{unreachable: fleet.NewSet[fleet.Host](), reachable: fleet.NewSet[fleet.Host]()}
		r.instances[i] = n
	}
	return n
}

// Count returns how many hosts can't reach an instance and how many can although others can't, by reports
// that count in a decision on a promotion. A host that reports both counts as one that can't.
func (r *Reports) Count(now time.Time, i fleet.Instance) (unreachable, reachable int) {
	n := r.instances[i]
	if n == nil {
		return 0, 0
	}
	for h := range n.unreachable {
		if r.hosts[h].trusted(now) {
			unreachable++
		}
	}
	for h := range n.reachable {
		if !n.unreachable.Has(h) && r.hosts[h].trusted(now) {
			reachable++
		}
	}
	return unreachable, reachable
}

// Unreachable reports whether a recent report of the host says that it can't reach the instance.
func (r *Reports) Unreachable(now time.Time, from fleet.Host, i fleet.Instance) bool {
	n := r.instances[i]
	return n != nil && n.unreachable.Has(from) && r.hosts[from].recent(now)
}

// Reachable reports whether a recent report of the host says that it can reach the instance although others can't.
func (r *Reports) Reachable(now time.Time, from fleet.Host, i fleet.Instance) bool {
	n := r.instances[i]
	return n != nil && n.reachable.Has(from) && r.hosts[from].recent(now)
}

// IsSuspected reports whether some host can't reach the instance by a recent report.
func (r *Reports) IsSuspected(now time.Time, i fleet.Instance) bool {
	n := r.instances[i]
	return n != nil && r.anyRecent(now, n.unreachable)
}

// Suspected returns the instances that some host can't reach by a recent report.
func (r *Reports) Suspected(now time.Time) iter.Seq[fleet.Instance] {
	return func(yield func(fleet.Instance) bool) {
		for i, n := range r.instances {
			if r.anyRecent(now, n.unreachable) && !yield(i) {
				return
			}
		}
	}
}

func (r *Reports) anyRecent(now time.Time, hosts fleet.Set[fleet.Host]) bool {
	for h := range hosts {
		if r.hosts[h].recent(now) {
			return true
		}
	}
	return false
}
