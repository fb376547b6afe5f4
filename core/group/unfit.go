package group

import (
	"fmt"
	"slices"
	"time"

	"skylarkdeal/core/fleet"
)

// stranded finds what an abandoned promotion leaves: no primary that serves in
// the highest term that is promised, although a majority can be reached. Terms
// are facts whoever reads them, so that no second host has to agree.
//
// It guards against replacing a primary that this host has not met: one that has
// just started, and that an instance refuses for want of connections, knows the
// others' term and no primary of it. Another host that reaches that primary
// stops the promotion; with none to be asked, AloneAfter has to pass.
func (p Policy) stranded(now time.Time, t Table, views []View) Judgement {
	top := nextTerm(t) - 1
	var since time.Time
	for _, s := range t.Seen {
		if s.Status.Promised == top && s.Raised.After(since) {
			since = s.Raised
		}
	}
	if !t.Quorate(now) || t.Primary != "" && t.Term == top {
		return Judgement{}
	}
	for _, v := range views {
		if v.serves(top) {
			return Judgement{Reason: fmt.Sprintf("host %s reaches the primary of term %d", v.Host, top)}
		}
	}
	after := orDefault(p.StrandedAfter, DefaultStrandedAfter)
	if slices.ContainsFunc(t.Seen, func(s Seen) bool { return !s.Known() }) {
		after = max(after, orDefault(p.AloneAfter, DefaultAloneAfter))
	}
	if now.Sub(since) < after {
		return Judgement{Reason: "another promotion is under way"}
	}
	return Judgement{Cause: CauseStranded, Reason: fmt.Sprintf("term %d is promised and has no primary", top)}
}

// serves reports whether the host reaches a primary of term least or later.
func (v View) serves(least fleet.Term) bool {
	return slices.ContainsFunc(v.Instances, func(i InstanceView) bool {
		return i.Reachable && i.Role == fleet.RolePrimary && i.Term >= least && i.Last.Term == i.Term
	})
}

// unfit finds a primary that answers but has to be replaced. What it goes by
// are documents and logs, which look the same to every host.
func (p Policy) unfit(now time.Time, t Table, s Seen) Judgement {
	if s.Instance.Leaving {
		return p.leaving(now, t, s)
	}
	if !p.KeepStalled {
		return p.stalled(now, t, s)
	}
	return Judgement{}
}

// CanHandOver reports whether the primary can be replaced by an instance that
// isn't leaving: those have to be a majority that answers.
func (t Table) CanHandOver(now time.Time) bool {
	return t.answering(now, func(s Seen) bool { return !s.Instance.Leaving })
}

// Quorate reports whether a majority of the instances answers this host. With
// fewer no write could be confirmed and no promotion could succeed.
func (t Table) Quorate(now time.Time) bool {
	return t.answering(now, func(Seen) bool { return true })
}

// answerLimit is how long an instance may owe an answer and still count as
// answering.
const answerLimit = DefaultRefusedAfter

func (t Table) answering(now time.Time, counts func(s Seen) bool) bool {
	var n int
	for _, s := range t.Seen {
		if s.Known() && counts(s) && s.Silent(now) < answerLimit {
			n++
		}
	}
	return n >= t.Rules.majority(len(t.Seen))
}

// leaving decides when a primary that is marked as leaving hands over: once a
// replica has all it has and its log stands still, so that transactions end in
// peace, or when LeaveAfter is over. A busy transaction then fails as not run,
// rather than that all others wait for it.
func (p Policy) leaving(now time.Time, t Table, s Seen) Judgement {
	if !t.CanHandOver(now) {
		return Judgement{Reason: "the primary leaves, but too few others answer"}
	}
	excluded := fleet.NewSet[fleet.Instance]()
	var copied bool
	for _, o := range t.Seen {
		if o.Instance.Leaving {
			excluded.Add(o.Instance.Name)
			continue
		}
		copied = copied || o.Known() && o.Status.Last.Covers(s.Status.Last)
	}
	quiet := now.Sub(s.Moved) >= orDefault(p.LeaveQuiet, DefaultLeaveQuiet)
	over := now.Sub(s.LeavingSince) >= orDefault(p.LeaveAfter, DefaultLeaveAfter)
	if !copied || !quiet && !over {
		return Judgement{Reason: "the primary leaves; its transactions end first"}
	}
	return Judgement{Cause: CauseLeaving, Reason: "the document marks the primary as leaving", Excluded: excluded}
}

// stalled finds a primary that has been ahead of its replicas for StallAfter
// without any of them copying anything: it answers the hosts but is cut off
// from its replicas, shows as writes that all end as unknown, and would stay so
// for as long as the cut lasts. Its replicas are a majority of their own.
func (p Policy) stalled(now time.Time, t Table, s Seen) Judgement {
	after := orDefault(p.StallAfter, DefaultStallAfter)
	var idle int
	for _, o := range t.Seen {
		if o.Instance.Name == s.Instance.Name {
			continue
		}
		asOf, missing := t.History.Missing(o.Status.Last)
		if !o.Known() || p.Suspects(o, now) || !missing || now.Sub(asOf) < after || now.Sub(o.Moved) < after {
			continue
		}
		idle++
	}
	if idle < t.Rules.majority(len(t.Seen)) {
		return Judgement{}
	}
	return Judgement{
		Cause:    CauseStalled,
		Reason:   fmt.Sprintf("%d replicas have copied nothing for %v", idle, after),
		Excluded: fleet.NewSet(s.Instance.Name),
	}
}
