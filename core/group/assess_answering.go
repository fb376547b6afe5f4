package group

import (
	"fmt"
	"time"

	"skylarkdeal/core/fleet"
)

// assessAnswering finds a primary that answers but has to be replaced. What it goes by
// are documents and logs, which look the same to every host.
func (p Policy) assessAnswering(now time.Time, s Snapshot, primary Observation) Assessment {
	if primary.Instance.Leaving {
		return p.assessLeaving(now, s, primary)
	}
	if !p.KeepStalled {
		return p.assessStalled(now, s, primary)
	}
	return Assessment{}
}

// CanHandOver reports whether the primary can be replaced by an instance that
// isn't leaving: those have to be a majority that answers.
func (s Snapshot) CanHandOver(now time.Time) bool {
	return s.majorityAnswers(now, func(o Observation) bool { return !o.Instance.Leaving })
}

// HasQuorum reports whether a majority of the instances answers this host. With
// fewer no write could be confirmed and no promotion could succeed.
func (s Snapshot) HasQuorum(now time.Time) bool {
	return s.majorityAnswers(now, func(Observation) bool { return true })
}

// maxUnanswered is how long an instance may owe an answer and still count as
// answering.
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

// assessLeaving decides when a primary that is marked as assessLeaving hands over: once a
// replica has all it has and its log stands still, so that transactions end in
// peace, or when LeaveAfter is over. A busy transaction then fails as not run,
// rather than that all others wait for it.
func (p Policy) assessLeaving(now time.Time, s Snapshot, primary Observation) Assessment {
	if !s.CanHandOver(now) {
		return Assessment{Reason: "the primary leaves, but too few others answer"}
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
		return Assessment{Reason: "the primary leaves; its transactions end first"}
	}
	return Assessment{Cause: CauseLeaving, Reason: "the document marks the primary as leaving", Excluded: excluded}
}

// assessStalled finds a primary that has been ahead of its replicas for a while
// without any of them copying anything: it answers the hosts but is cut off
// from its replicas, shows as writes that all end as unknown, and would stay so
// for as long as the cut lasts. Its replicas are a majority of their own.
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
// stallFactor times what copying usually takes it, and for minStall: shorter
// stalls are those of a busy disk or a full link, and end by themselves sooner
// than a promotion's effects do.
const (
	stallFactor = 4
	minStall    = 2 * time.Second
)

// stallAfter returns how long a replica may miss entries and copy none. One whose
// usual lag isn't known yet gets the most there is, since it may be a replica that
// is always far behind.
func (p Policy) stallAfter(o Observation) time.Duration {
	maxStall := orDefault(p.StallAfter, DefaultStallAfter)
	if o.UsualLag == 0 {
		return maxStall
	}
	return min(maxStall, max(minStall, stallFactor*o.UsualLag))
}
