package group

import (
	"fmt"
	"slices"
	"time"

	"skylarkdeal/core/fleet"
)

// Policy bounds when a primary counts as failed. The zero Policy has the
// defaults.
type Policy struct {
	// SuspectAfter is how long a primary may owe an answer. It has to exceed
	// the stalls of a healthy one: 600 ms bears a long garbage collection or a
	// slow disk, and leaves a third of a second of the goal of one second for
	// the rest of the failover.
	SuspectAfter time.Duration
	// RefusedAfter applies when the primary's address refuses connections,
	// which a slow primary doesn't. It bears a quick restart.
	RefusedAfter time.Duration
	// SoleObserverAfter is how long the primary has to be silent when no second host
	// or data centre can be asked: long enough for a short cut to heal first.
	SoleObserverAfter time.Duration
	// OutvoteAfter is how long the primary has to be silent to most of the
	// group's hosts to be replaced although another host reaches it.
	OutvoteAfter time.Duration
	// AbandonedAfter is how long another host has to end the promotion that it
	// has begun.
	AbandonedAfter time.Duration
	// StallAfter is how long no replica may have copied anything, while the
	// primary is ahead of them all, before the primary counts as cut off from
	// them. It exceeds any lag at which writes could still be acknowledged.
	StallAfter time.Duration
	// KeepStalled leaves such a primary in place. It is for acknowledge =
	// primary, where a promotion would lose what it has acknowledged.
	KeepStalled bool
	// LeaveAfter is how long a leaving primary's transactions have to end
	// before it is replaced nevertheless; LeaveQuiet is how long its log has to
	// stand still for them to count as ended.
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

// slowLatencyFactor is how many times its usual latency a primary may owe an answer:
// one that has been slow for a while is slow, not dead.
const slowLatencyFactor = 4

// maxSlowAllowance caps the allowance for a slow primary.
const maxSlowAllowance = 1500 * time.Millisecond

func orDefault(d, def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return d
}

// SilenceLimit returns how long s may owe an answer before it is suspected.
func (p Policy) SilenceLimit(o Observation) time.Duration {
	limit := orDefault(p.SuspectAfter, DefaultSuspectAfter)
	if o.Refusing {
		return min(limit, orDefault(p.RefusedAfter, DefaultRefusedAfter))
	}
	return max(limit, min(slowLatencyFactor*o.Latency, maxSlowAllowance))
}

// Suspects reports whether s has owed an answer for longer than it may.
func (p Policy) Suspects(o Observation, now time.Time) bool {
	return o.Silent(now) >= p.SilenceLimit(o)
}

// ShouldAskPeers reports whether s has been silent for long enough to ask the other
// hosts: a quarter of the time after which it is suspected, so that a host which
// asks an idle group once a second has missed it for RefusedAfter by then.
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

// Assessment is whether a promotion is due, and why or why not.
type Assessment struct {
	Cause  Cause
	Reason string
	// Rank is the place of this host among those that answer; zero goes first.
	Rank int
	// Excluded are the instances not to be promoted.
	Excluded fleet.Set[fleet.Instance]
}

// Observer is one host's word on a primary.
type Observer struct {
	Host       fleet.Host
	DataCentre fleet.DataCentre
}

// AssessPrimary decides whether the primary that t names, or the lack of one, calls for
// a promotion. me is this host, views are the other hosts' latest, and order
// ranks the hosts of the group, the preferred one first.
//
// It guards against promoting because of one bad link, one paused host or one
// data centre's cut: such a fault shows as a primary that is silent to one host
// or data centre only. Two hosts have to miss it, in two data centres where the
// instances have several, and any host that reaches it stops the promotion,
// unless most of the group's hosts miss it for OutvoteAfter: a cut may leave the
// primary with one host that reaches all others, and its word would keep the
// group without a primary. When no other can be asked, SoleObserverAfter has to pass.
//
// A host that doesn't reach a majority of the instances proposes nothing. It
// would fence the few that it reaches again and again; once the cut heals, they
// would refuse the primary that the others have, and force it out.
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
		// No view is asked for while the primary answers.
		a.Rank = max(0, slices.Index(preference, self.Host))
		return a
	}
	v, newer := p.countVotes(self, views, s)
	if newer != "" {
		return Assessment{Reason: fmt.Sprintf("host %s knows a later term", newer)}
	}
	a := p.assessSilent(primary.Silent(now), v, s, len(preference))
	a.Rank = rankAmongAnswering(self.Host, preference, views)
	return a
}

// votes are the hosts that miss the primary and those that reach it.
type votes struct {
	unreachableFrom []Observer
	reachableFrom   []fleet.Host
}

// countVotes sorts the views, and returns the host that knows a later primary.
//
// The word of a host that reaches the primary but no majority counts for neither
// side: it can confirm nothing of that primary, and were it heard, half a cut, with
// the primary and one host on one side and the majority on the other, would stop all
// writes for as long as it lasts.
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

// assessSilent decides about a primary that is assessSilent to this host, of so many that
// hold the group.
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

// rankAmongAnswering counts the hosts ahead of me in order that have given a view. Whether
// they agree yet doesn't matter: they will a moment later, and two hosts that
// both took themselves for the first would fence each other out.
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
