package group

import (
	"fmt"
	"slices"
	"time"

	"skylarkdeal/core/fleet"
)

// Policy sets when a primary counts as failed. A zero duration stands for its
// default.
type Policy struct {
	// SuspectAfter is how long a primary may leave a status request unanswered before
	// it is suspected. It has to exceed the stalls of a healthy primary: 600 ms
	// tolerates a long garbage collection or a slow disk. Of the goal of one second
	// it leaves a third of a second for the rest of the failover.
	SuspectAfter time.Duration
	// RefusedAfter replaces SuspectAfter while the primary's address refuses
	// connections, which that of a slow primary doesn't. It tolerates a quick restart.
	RefusedAfter time.Duration
	// SoleObserverAfter is how long the primary has to be silent before it is replaced
	// if no second host or data centre can be asked. It is long enough for a short
	// network partition to end first.
	SoleObserverAfter time.Duration
	// OutvoteAfter is how long the primary has to be silent to most of the group's
	// hosts before it is replaced although another host reaches it.
	OutvoteAfter time.Duration
	// AbandonedAfter is how long another host's promotion may take before it counts
	// as abandoned.
	AbandonedAfter time.Duration
	// StallAfter is the maximum time for which the replicas may copy nothing while the
	// primary is ahead of them, before the primary counts as cut off from them. It
	// exceeds any lag at which writes could still be acknowledged. A shorter limit
	// applies to replicas whose usual lag is known.
	StallAfter time.Duration
	// KeepStalled leaves a primary in place that is cut off from its replicas. It is
	// set for acknowledge = primary, where a promotion would lose writes that this
	// primary has acknowledged.
	KeepStalled bool
	// LeaveAfter is how long a leaving primary is kept for its transactions to end.
	// LeaveQuiet is how long its log has to be unchanged for them to count as ended.
	LeaveAfter time.Duration
	LeaveQuiet time.Duration
}

// The defaults of Policy.
const (
	DefaultSuspectAfter      = 600 * time.Millisecond
	DefaultRefusedAfter      = 300 * time.Millisecond
	DefaultSoleObserverAfter = 5 * time.Second
	DefaultOutvoteAfter      = 2 * time.Second
	DefaultAbandonedAfter    = 500 * time.Millisecond
	DefaultStallAfter        = 10 * time.Second
	DefaultLeaveAfter        = 1500 * time.Millisecond
	DefaultLeaveQuiet        = 300 * time.Millisecond
)

// slowLatencyFactor is how many times its average latency a primary may leave a request
// unanswered, so that a primary that has been slow for a while isn't suspected.
const slowLatencyFactor = 4

// maxSlowAllowance limits the time that slowLatencyFactor gives a slow primary.
const maxSlowAllowance = 1500 * time.Millisecond

func orDefault(d, def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return d
}

// SilenceLimit returns how long o may leave a request unanswered before it is suspected.
func (p Policy) SilenceLimit(o Observation) time.Duration {
	limit := orDefault(p.SuspectAfter, DefaultSuspectAfter)
	if o.Refusing {
		return min(limit, orDefault(p.RefusedAfter, DefaultRefusedAfter))
	}
	return max(limit, min(slowLatencyFactor*o.Latency, maxSlowAllowance))
}

// Suspects reports whether o has been silent for its SilenceLimit.
func (p Policy) Suspects(o Observation, now time.Time) bool {
	return o.Silent(now) >= p.SilenceLimit(o)
}

// ShouldAskPeers reports whether o has been silent for long enough to ask the other
// hosts for their views: a quarter of SilenceLimit. Another host polls an idle group
// only once a second until it is asked. It has then found o silent for RefusedAfter by
// the time this host suspects o.
func (p Policy) ShouldAskPeers(o Observation, now time.Time) bool {
	return o.Silent(now) >= p.SilenceLimit(o)/4
}

// Cause is why a promotion is due.
type Cause string

// The causes of a promotion.
const (
	CauseNone         Cause = ""
	CauseSilent       Cause = "silent"
	CauseOutvoted     Cause = "silent to most hosts"
	CauseSoleObserver Cause = "silent, no second view to be had"
	CauseAbandoned    Cause = "promotion abandoned"
	CauseStalled      Cause = "cut off from its replicas"
	CauseLeaving      Cause = "leaving"
)

// Assessment says whether a promotion is due, and why or why not.
type Assessment struct {
	// Cause is CauseNone if no promotion is due.
	Cause  Cause
	Reason string
	// Rank is the place of this host among those that answer; rank zero proposes first.
	Rank int
	// Excluded are the instances not to be promoted.
	Excluded fleet.Set[fleet.Instance]
}

// Observer is a host that reports whether it reaches a primary.
type Observer struct {
	Host       fleet.Host
	DataCentre fleet.DataCentre
}

// AssessPrimary decides whether the primary of s, or the lack of one, calls for a
// promotion. self is this host, views are the latest views of the other hosts, and
// preference lists the hosts of the group, the preferred proposer first.
//
// Guards against a promotion because of one bad link, one paused host or one data
// centre that is cut off: the primary is then silent to one host or data centre only.
// The primary has to be silent to two hosts, and to two data centres if the instances
// are in several. Any host that reaches it stops the promotion, unless the primary is
// silent to most of the group's hosts for OutvoteAfter: a network partition may leave
// the primary with one host that reaches all others, and the view of that host would
// keep the group without a primary. If no other host or data centre can be asked,
// SoleObserverAfter has to pass.
//
// A host that doesn't reach a majority of the instances proposes nothing. It would
// fence the few that it reaches again and again. Once the partition ends, these would
// refuse the primary that the others follow, and so force its replacement.
func AssessPrimary(
	now time.Time, p Policy, s Snapshot, self Observer, views []View, preference []fleet.Host,
) Assessment {
	if !s.HasQuorum(now) {
		return Assessment{Reason: "a majority of the instances is silent"}
	}
	if s.NoPrimary() {
		return p.assessWithoutPrimary(now, s, self, views, preference)
	}
	primary, _ := s.Find(s.Primary)
	if !p.Suspects(primary, now) {
		a := p.assessAnswering(now, s, primary)
		// The other hosts aren't asked for views while the primary answers.
		a.Rank = max(0, slices.Index(preference, self.Host))
		return a
	}
	v, newer := p.countVotes(self, views, s)
	if newer != "" {
		return Assessment{Reason: fmt.Sprintf("host %s reaches a primary of a later term", newer)}
	}
	a := p.assessSilent(primary.Silent(now), v, s, len(preference))
	a.Rank = rankAmongAnswering(self.Host, preference, views)
	return a
}

// votes are the hosts that can't reach the primary and those that can.
type votes struct {
	unreachableFrom []Observer
	reachableFrom   []fleet.Host
}

// countVotes counts the views by whether their host reaches the primary. If a host
// reaches a primary of a later term, it returns that host.
//
// A host that reaches the primary but no majority of the instances isn't counted. It
// can't confirm a write of that primary. If it counted, a partition with the primary
// and one host on one side and the majority on the other would stop all writes for as
// long as it lasts.
func (p Policy) countVotes(self Observer, views []View, s Snapshot) (votes, fleet.Host) {
	v := votes{unreachableFrom: []Observer{self}}
	for _, view := range views {
		switch p.reachability(view, s) {
		case reachabilityReachable:
			if view.reachesMajority() {
				v.reachableFrom = append(v.reachableFrom, view.Host)
			}
		case reachabilityNewerTerm:
			return v, view.Host
		case reachabilityUnreachable:
			v.unreachableFrom = append(v.unreachableFrom, Observer{Host: view.Host, DataCentre: view.DataCentre})
		case reachabilityUnknown:
		}
	}
	return v, ""
}

// assessSilent decides about a primary that is silent to this host. hosts is the number
// of hosts in the group.
func (p Policy) assessSilent(silentFor time.Duration, v votes, s Snapshot, hosts int) Assessment {
	enoughObservers := len(v.unreachableFrom) > 1 && (dataCentreCount(v.unreachableFrom) > 1 || !spansDataCentres(s))
	a := Assessment{Reason: fmt.Sprintf("silent for %v, to %d of %d hosts",
		silentFor.Round(time.Millisecond), len(v.unreachableFrom), hosts)}
	switch {
	case enoughObservers && len(v.reachableFrom) == 0:
		a.Cause = CauseSilent
	case len(v.reachableFrom) > 0 && enoughObservers && 2*len(v.unreachableFrom) > hosts &&
		silentFor >= orDefault(p.OutvoteAfter, DefaultOutvoteAfter):
		a.Cause = CauseOutvoted
	case len(v.reachableFrom) > 0:
		a.Reason = fmt.Sprintf("host %s reaches the primary", v.reachableFrom[0])
	case silentFor >= orDefault(p.SoleObserverAfter, DefaultSoleObserverAfter):
		a.Cause = CauseSoleObserver
	}
	return a
}

type reachability string

const (
	reachabilityUnknown     reachability = "none"
	reachabilityReachable   reachability = "reaches"
	reachabilityUnreachable reachability = "misses"
	reachabilityNewerTerm   reachability = "newer"
)

func (p Policy) reachability(v View, s Snapshot) reachability {
	out := reachabilityUnknown
	for _, i := range v.Instances {
		if i.Term > s.Term && i.Role == fleet.RolePrimary && i.Last.Term == i.Term && i.Reachable {
			return reachabilityNewerTerm
		}
		if i.Instance != s.Primary {
			continue
		}
		if i.Reachable {
			out = reachabilityReachable
		} else if i.Silent >= orDefault(p.RefusedAfter, DefaultRefusedAfter) {
			out = reachabilityUnreachable
		}
	}
	return out
}

func dataCentreCount(observers []Observer) int {
	centres := fleet.NewSet[fleet.DataCentre]()
	for _, o := range observers {
		centres.Add(o.DataCentre)
	}
	return len(centres)
}

func spansDataCentres(s Snapshot) bool {
	centres := fleet.NewSet[fleet.DataCentre]()
	for _, o := range s.Observations {
		centres.Add(o.Instance.DataCentre)
	}
	return len(centres) > 1
}

// rankAmongAnswering returns the number of hosts before self in preference that have
// given a view. A host counts even if its view doesn't call for a promotion yet, since
// it soon will: two hosts that both ranked first would fence each other's promotions.
func rankAmongAnswering(self fleet.Host, preference []fleet.Host, views []View) int {
	var n int
	for _, h := range preference {
		if h == self {
			break
		}
		if slices.ContainsFunc(views, func(v View) bool { return v.Host == h }) {
			n++
		}
	}
	return n
}
