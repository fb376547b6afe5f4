package group

import (
	"fmt"
	"time"

	"skylarkdeal/core/fleet"
)

// highestPromised returns the highest term that any instance has promised, and
// the latest time at which an instance was seen to promise it.
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

// NoPrimary reports whether no primary is known in the highest promised term.
func (s Snapshot) NoPrimary() bool {
	highest, _ := s.highestPromised()
	return s.Primary == "" || s.Term < highest
}

// NeedsFastPolling reports whether the instances have to be polled at short
// intervals and the other hosts asked for their views: while there is no primary,
// or while the primary has been silent for long enough.
func (p Policy) NeedsFastPolling(s Snapshot, now time.Time) bool {
	primary, ok := s.Find(s.Primary)
	return !ok || s.NoPrimary() || p.ShouldAskPeers(primary, now)
}

// assessWithoutPrimary decides about a group without a known primary. A proposer
// that was paused or died leaves a group in that state; a host that can't reach
// the primary sees it too.
//
// If every instance has answered since the highest term was promised, that term
// has no primary, and every host finds the same. An instance that hasn't answered
// since then may be the primary. If it isn't suspected, such as one that refuses
// connections because it has too many, the host waits for it. If it is suspected,
// the views of the other hosts decide, as for a known primary. Without this rule
// a recently started host would replace a primary that has no connection left.
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
			return Assessment{Reason: fmt.Sprintf("instance %s may be the primary and hasn't answered yet", o.Instance.Name)}
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
			return Assessment{Reason: fmt.Sprintf("no primary is known here, but host %s reaches one", view.Host)}
		}
		if view.reachesMajority() {
			v.unreachableFrom = append(v.unreachableFrom, Observer{Host: view.Host, DataCentre: view.DataCentre})
		}
	}
	a := p.assessSilent(silentFor, v, s, len(preference))
	a.Rank = rankAmongAnswering(self.Host, preference, views)
	return a
}

// reachesMajority reports whether the host reaches a majority of the instances.
// Its report that it reaches a primary, or that it knows of none, counts only then.
func (v View) reachesMajority() bool {
	var n int
	for _, i := range v.Instances {
		if i.Reachable {
			n++
		}
	}
	return n >= Majority(len(v.Instances))
}
