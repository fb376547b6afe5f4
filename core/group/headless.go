package group

import (
	"fmt"
	"time"

	"skylarkdeal/core/fleet"
)

// top returns the highest term that is promised, and since when.
func (t Snapshot) top() (fleet.Term, time.Time) {
	top := nextTerm(t) - 1
	var since time.Time
	for _, s := range t.Observations {
		if s.Status.Promised == top && s.TermRaisedAt.After(since) {
			since = s.TermRaisedAt
		}
	}
	return top, since
}

// NoPrimary reports whether no primary is known that serves in the highest term
// that is promised.
func (t Snapshot) NoPrimary() bool {
	top, _ := t.top()
	return t.Primary == "" || t.Term < top
}

// NeedsFastPolling reports whether the instances have to be asked quickly and the other
// hosts for their views.
func (p Policy) NeedsFastPolling(t Snapshot, now time.Time) bool {
	s, ok := t.Find(t.Primary)
	return !ok || t.NoPrimary() || p.ShouldAskPeers(s, now)
}

// headless decides about a group without a known primary: what a proposer leaves
// that was paused or died, or what a host sees that doesn't reach the primary.
//
// If every instance has answered since the term was promised, none is its
// primary, whoever asks. If one hasn't, it may be the primary: one that refuses
// connections for having too many is waited for, and for one that is silent the
// other hosts are heard as if it were the primary. A host that had just started
// and found the primary full would otherwise replace it.
func (p Policy) headless(now time.Time, t Snapshot, me Observer, views []View, order []fleet.Host) Assessment {
	top, since := t.top()
	d := now.Sub(since)
	if d < orDefault(p.StrandedAfter, DefaultStrandedAfter) {
		return Assessment{Reason: "another promotion is under way"}
	}
	var hidden int
	for _, s := range t.Observations {
		if s.Known() && s.Sent.After(since) {
			continue
		}
		if !p.Suspects(s, now) {
			return Assessment{Reason: fmt.Sprintf("instance %s may be the primary and has yet to tell", s.Instance.Name)}
		}
		hidden++
	}
	if hidden == 0 {
		return Assessment{
			Cause: CauseStranded, Rank: rank(me.Host, order, views),
			Reason: fmt.Sprintf("term %d is promised and has no primary", top),
		}
	}
	v := votes{miss: []Observer{me}}
	for _, w := range views {
		if p.opinion(w, t) == opinionNewer {
			return Assessment{Reason: fmt.Sprintf("host %s knows the primary", w.Host)}
		}
		if w.informed() {
			v.miss = append(v.miss, Observer{Host: w.Host, DataCentre: w.DataCentre})
		}
	}
	j := p.silent(d, v, t, len(order))
	j.Rank = rank(me.Host, order, views)
	return j
}

// informed reports whether the host reaches a majority of the instances, so that
// its not knowing of a primary tells something.
func (v View) informed() bool {
	var n int
	for _, i := range v.Instances {
		if i.Reachable {
			n++
		}
	}
	return n >= Majority(len(v.Instances))
}
