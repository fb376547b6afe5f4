package group

import (
	"fmt"
	"time"

	"skylarkdeal/core/fleet"
)

// highestPromised returns the highest term that is promised, and since when.
func (s Snapshot) highestPromised() (fleet.Term, time.Time) {
	highest := nextTerm(s) - 1
	var since time.Time
	for _, o := range s.Observations {
		if o.Status.Promised == highest && o.TermRaisedAt.After(since) {
			since = o.TermRaisedAt
		}
	}
	return highest, since
}

// NoPrimary reports whether no primary is known that serves in the highest term
// that is promised.
func (s Snapshot) NoPrimary() bool {
	highest, _ := s.highestPromised()
	return s.Primary == "" || s.Term < highest
}

// NeedsFastPolling reports whether the instances have to be asked quickly and the other
// hosts for their views.
func (p Policy) NeedsFastPolling(s Snapshot, now time.Time) bool {
	primary, ok := s.Find(s.Primary)
	return !ok || s.NoPrimary() || p.ShouldAskPeers(primary, now)
}

// assessWithoutPrimary decides about a group without a known primary: what a proposer leaves
// that was paused or died, or what a host sees that doesn't reach the primary.
//
// If every instance has answered since the term was promised, none is its
// primary, whoever asks. If one hasn't, it may be the primary: one that refuses
// connections for having too many is waited for, and for one that is silent the
// other hosts are heard as if it were the primary. A host that had just started
// and found the primary full would otherwise replace it.
func (p Policy) assessWithoutPrimary(
	now time.Time, s Snapshot, self Observer, views []View, preference []fleet.Host,
) Assessment {
	term, since := s.highestPromised()
	silentFor := now.Sub(since)
	if silentFor < orDefault(p.AbandonedAfter, DefaultAbandonedAfter) {
		return Assessment{Reason: "another promotion is under way"}
	}
	var silent int
	for _, o := range s.Observations {
		if o.Known() && o.Sent.After(since) {
			continue
		}
		if !p.Suspects(o, now) {
			return Assessment{Reason: fmt.Sprintf("instance %s may be the primary and has yet to tell", o.Instance.Name)}
		}
		silent++
	}
	if silent == 0 {
		return Assessment{
			Cause: CauseAbandoned, Rank: rankAmongAnswering(self.Host, preference, views),
			Reason: fmt.Sprintf("term %d is promised and has no primary", term),
		}
	}
	v := votes{unreachableFrom: []Observer{self}}
	for _, view := range views {
		if p.reachability(view, s) == reachabilityNewerTerm {
			return Assessment{Reason: fmt.Sprintf("host %s knows the primary", view.Host)}
		}
		if view.reachesMajority() {
			v.unreachableFrom = append(v.unreachableFrom, Observer{Host: view.Host, DataCentre: view.DataCentre})
		}
	}
	a := p.assessSilent(silentFor, v, s, len(preference))
	a.Rank = rankAmongAnswering(self.Host, preference, views)
	return a
}

// reachesMajority reports whether the host reaches a majority of the instances, so that
// its not knowing of a primary tells something.
func (v View) reachesMajority() bool {
	var n int
	for _, i := range v.Instances {
		if i.Reachable {
			n++
		}
	}
	return n >= Majority(len(v.Instances))
}
