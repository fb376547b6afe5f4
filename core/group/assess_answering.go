package group

import (
	"fmt"
	"time"

	"skylarkdeal/core/fleet"
)

// assessAnswering decides about a primary that answers. It depends on documents and
// logs only, which are the same for every host, and so needs no views.
func (p Policy) assessAnswering(now time.Time, s Snapshot, primary Observation) Assessment {
	if primary.Instance.Leaving {
		return p.assessLeaving(now, s, primary)
	}
	if !p.KeepStalled {
		return p.assessStalled(now, s, primary)
	}
	return Assessment{}
}

// CanHandOver reports whether the primary can be replaced by an instance that isn't
// leaving: such instances that answer have to be a majority of all.
func (s Snapshot) CanHandOver(now time.Time) bool {
	return s.majorityAnswers(now, func(o Observation) bool { return !o.Instance.Leaving })
}

// HasQuorum reports whether a majority of the instances answers this host. Without
// one no write can be confirmed and no promotion can succeed.
func (s Snapshot) HasQuorum(now time.Time) bool {
	return s.majorityAnswers(now, func(Observation) bool { return true })
}

// maxUnanswered is how long an instance may leave a request unanswered and still count
// as answering.
const maxUnanswered = DefaultRefusedAfter

func (s Snapshot) majorityAnswers(now time.Time, matches func(o Observation) bool) bool {
	var n int
	for _, o := range s.Observations {
		if o.Known() && matches(o) && o.Silent(now) < maxUnanswered {
			n++
		}
	}
	return n >= s.Rules.majority(len(s.Observations))
}

// assessLeaving decides when a primary that is marked as leaving hands over. A replica
// has to have all of the primary's log. The log also has to be unchanged for
// LeaveQuiet, so that transactions can end, or LeaveAfter has to be over. A transaction
// that is still running then fails as not run, so that no others wait for it.
func (p Policy) assessLeaving(now time.Time, s Snapshot, primary Observation) Assessment {
	if !s.CanHandOver(now) {
		return Assessment{Reason: "the primary is leaving, but too few other instances answer"}
	}
	excluded := fleet.NewSet[fleet.Instance]()
	var copied bool
	for _, o := range s.Observations {
		if o.Instance.Leaving {
			excluded.Add(o.Instance.Name)
			continue
		}
		copied = copied || o.Known() && o.Status.Last.Covers(primary.Status.Last)
	}
	logQuiet := now.Sub(primary.LogMovedAt) >= orDefault(p.LeaveQuiet, DefaultLeaveQuiet)
	timedOut := now.Sub(primary.LeavingSince) >= orDefault(p.LeaveAfter, DefaultLeaveAfter)
	if !copied || !logQuiet && !timedOut {
		return Assessment{Reason: "the primary is leaving, its transactions have to end first"}
	}
	return Assessment{Cause: CauseLeaving, Reason: "the document marks the primary as leaving", Excluded: excluded}
}

// assessStalled decides about a primary that is ahead of its replicas while they copy
// nothing. Such a primary answers the hosts but is cut off from its replicas: all
// writes end as unknown for as long as the cut lasts. It is replaced if the stalled
// replicas are a majority without it.
func (p Policy) assessStalled(now time.Time, s Snapshot, primary Observation) Assessment {
	var stalled int
	var longest time.Duration
	for _, o := range s.Observations {
		if o.Instance.Name == primary.Instance.Name {
			continue
		}
		limit := p.stallAfter(o)
		asOf, missing := s.History.MissingSince(o.Status.Last)
		if !o.Known() || p.Suspects(o, now) || !missing || now.Sub(asOf) < limit || now.Sub(o.LogMovedAt) < limit {
			continue
		}
		stalled++
		longest = max(longest, limit)
	}
	if stalled < s.Rules.majority(len(s.Observations)) {
		return Assessment{}
	}
	return Assessment{
		Cause:    CauseStalled,
		Reason:   fmt.Sprintf("%d replicas have copied nothing for %v", stalled, longest),
		Excluded: fleet.NewSet(primary.Instance.Name),
	}
}

// A replica counts as cut off from its primary once it has copied nothing for
// stallFactor times its usual lag and at least for minStall. Shorter stalls come from a
// busy disk or a full link, and end sooner than the effects of a promotion.
const (
	stallFactor = 4
	minStall    = 2 * time.Second
)

// stallAfter returns how long a replica may lack entries and copy none. A replica whose
// usual lag isn't known yet gets the maximum, since it may always be far behind.
func (p Policy) stallAfter(o Observation) time.Duration {
	maxStall := orDefault(p.StallAfter, DefaultStallAfter)
	if o.UsualLag == 0 {
		return maxStall
	}
	return min(maxStall, max(minStall, stallFactor*o.UsualLag))
}
