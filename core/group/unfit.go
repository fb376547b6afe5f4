package group

import (
	"fmt"
	"time"

	"skylarkdeal/core/fleet"
)

// unfit finds a primary that answers but has to be replaced. What it goes by
// are documents and logs, which look the same to every host.
func (p Policy) unfit(now time.Time, t Snapshot, s Observation) Assessment {
	if s.Instance.Leaving {
		return p.leaving(now, t, s)
	}
	if !p.KeepStalled {
		return p.stalled(now, t, s)
	}
	return Assessment{}
}

// CanHandOver reports whether the primary can be replaced by an instance that
// isn't leaving: those have to be a majority that answers.
func (t Snapshot) CanHandOver(now time.Time) bool {
	return t.answering(now, func(s Observation) bool { return !s.Instance.Leaving })
}

// HasQuorum reports whether a majority of the instances answers this host. With
// fewer no write could be confirmed and no promotion could succeed.
func (t Snapshot) HasQuorum(now time.Time) bool {
	return t.answering(now, func(Observation) bool { return true })
}

// answerLimit is how long an instance may owe an answer and still count as
// answering.
const answerLimit = DefaultRefusedAfter

func (t Snapshot) answering(now time.Time, counts func(s Observation) bool) bool {
	var n int
	for _, s := range t.Observations {
		if s.Known() && counts(s) && s.Silent(now) < answerLimit {
			n++
		}
	}
	return n >= t.Rules.majority(len(t.Observations))
}

// leaving decides when a primary that is marked as leaving hands over: once a
// replica has all it has and its log stands still, so that transactions end in
// peace, or when LeaveAfter is over. A busy transaction then fails as not run,
// rather than that all others wait for it.
func (p Policy) leaving(now time.Time, t Snapshot, s Observation) Assessment {
	if !t.CanHandOver(now) {
		return Assessment{Reason: "the primary leaves, but too few others answer"}
	}
	excluded := fleet.NewSet[fleet.Instance]()
	var copied bool
	for _, o := range t.Observations {
		if o.Instance.Leaving {
			excluded.Add(o.Instance.Name)
			continue
		}
		copied = copied || o.Known() && o.Status.Last.Covers(s.Status.Last)
	}
	quiet := now.Sub(s.LogMovedAt) >= orDefault(p.LeaveQuiet, DefaultLeaveQuiet)
	over := now.Sub(s.LeavingSince) >= orDefault(p.LeaveAfter, DefaultLeaveAfter)
	if !copied || !quiet && !over {
		return Assessment{Reason: "the primary leaves; its transactions end first"}
	}
	return Assessment{Cause: CauseLeaving, Reason: "the document marks the primary as leaving", Excluded: excluded}
}

// stalled finds a primary that has been ahead of its replicas for a while
// without any of them copying anything: it answers the hosts but is cut off
// from its replicas, shows as writes that all end as unknown, and would stay so
// for as long as the cut lasts. Its replicas are a majority of their own.
func (p Policy) stalled(now time.Time, t Snapshot, s Observation) Assessment {
	var idle int
	var longest time.Duration
	for _, o := range t.Observations {
		if o.Instance.Name == s.Instance.Name {
			continue
		}
		after := p.stallAfter(o)
		asOf, missing := t.History.Missing(o.Status.Last)
		if !o.Known() || p.Suspects(o, now) || !missing || now.Sub(asOf) < after || now.Sub(o.LogMovedAt) < after {
			continue
		}
		idle++
		longest = max(longest, after)
	}
	if idle < t.Rules.majority(len(t.Observations)) {
		return Assessment{}
	}
	return Assessment{
		Cause:    CauseStalled,
		Reason:   fmt.Sprintf("%d replicas have copied nothing for %v", idle, longest),
		Excluded: fleet.NewSet(s.Instance.Name),
	}
}

// A replica counts as cut off from its primary once it has copied nothing for
// stallFactor times what copying usually takes it, and for stallLeast: shorter
// stalls are those of a busy disk or a full link, and end by themselves sooner
// than a promotion's effects do.
const (
	stallFactor = 4
	stallLeast  = 2 * time.Second
)

// stallAfter returns how long a replica may miss entries and copy none. One whose
// usual lag isn't known yet gets the most there is, since it may be a replica that
// is always far behind.
func (p Policy) stallAfter(o Observation) time.Duration {
	most := orDefault(p.StallAfter, DefaultStallAfter)
	if o.UsualLag == 0 {
		return most
	}
	return min(most, max(stallLeast, stallFactor*o.UsualLag))
}
