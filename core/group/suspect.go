package group

import (
	"fmt"
	"time"

	"skylarkdeal/core/fleet"
)

// View is how a host sees the instances of a group.
type View struct {
	Host       fleet.Host       `json:"host"`
	DataCentre fleet.DataCentre `json:"data-centre"`
	// At is when the host was asked.
	At        time.Time      `json:"at"`
	Instances []InstanceView `json:"instances"`
}

// InstanceView is how a host sees one instance.
type InstanceView struct {
	Instance fleet.Instance `json:"instance"`
	// Reachable is set when the instance owes no answer for long.
	Reachable bool `json:"reachable"`
	// Silent is how long it has owed an answer.
	Silent time.Duration `json:"silent"`
	Term   fleet.Term    `json:"term"`
	Last   fleet.Point   `json:"last"`
	Role   fleet.Role    `json:"role"`
}

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
	// AloneAfter is how long the primary has to be silent when no second host
	// or data centre can be asked: long enough for a short cut to heal first.
	AloneAfter time.Duration
	// StrandedAfter is how long another host has to end the promotion that it
	// has begun.
	StrandedAfter time.Duration
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
	DefaultSuspectAfter  = 600 * time.Millisecond
	DefaultRefusedAfter  = 300 * time.Millisecond
	DefaultAloneAfter    = 5 * time.Second
	DefaultStrandedAfter = 500 * time.Millisecond
	DefaultStallAfter    = 10 * time.Second
	DefaultLeaveAfter    = 1500 * time.Millisecond
	DefaultLeaveQuiet    = 300 * time.Millisecond
)

// slowFactor is how many times its usual latency a primary may owe an answer:
// one that has been slow for a while is slow, not dead.
const slowFactor = 4

// slowLimit caps the allowance for a slow primary.
const slowLimit = 1500 * time.Millisecond

func orDefault(d, def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return d
}

// Patience returns how long s may owe an answer before it is suspected.
func (p Policy) Patience(s Seen) time.Duration {
	d := orDefault(p.SuspectAfter, DefaultSuspectAfter)
	if s.Refusing {
		return min(d, orDefault(p.RefusedAfter, DefaultRefusedAfter))
	}
	return max(d, min(slowFactor*s.Latency, slowLimit))
}

// Suspects reports whether s has owed an answer for longer than it may.
func (p Policy) Suspects(s Seen, now time.Time) bool {
	return s.Silent(now) >= p.Patience(s)
}

// Alarmed reports whether s has been silent for long enough to ask the other
// hosts: a quarter of the time after which it is suspected, so that a host which
// asks an idle group once a second has missed it for RefusedAfter by then.
func (p Policy) Alarmed(s Seen, now time.Time) bool {
	return s.Silent(now) >= p.Patience(s)/4
}

// Cause is why a promotion is due.
type Cause string

// The causes of a promotion.
const (
	CauseNone     Cause = ""
	CauseSilent   Cause = "silent"
	CauseAlone    Cause = "silent, no second view to be had"
	CauseStranded Cause = "promotion abandoned"
	CauseStalled  Cause = "cut off from its replicas"
	CauseLeaving  Cause = "leaving"
)

// Judgement is whether a promotion is due, and why or why not.
type Judgement struct {
	Cause  Cause
	Reason string
	// Rank is the place of this host among those that agree; zero goes first.
	Rank int
	// Excluded are the instances not to be promoted.
	Excluded fleet.Set[fleet.Instance]
}

// Witness is one host's word on a primary.
type Witness struct {
	Host       fleet.Host
	DataCentre fleet.DataCentre
}

// Judge decides whether the primary that t names, or the lack of one, calls for
// a promotion. me is this host, views are the other hosts' latest, and order
// ranks the hosts of the group, the preferred one first.
//
// It guards against promoting because of one bad link, one paused host or one
// data centre's cut: such a fault shows as a primary that is silent to one host
// or data centre only. Any host that reaches the primary stops the promotion,
// and two hosts have to miss it, in two data centres where the instances have
// several. When no other can be asked, AloneAfter has to pass.
//
// A host that doesn't reach a majority of the instances proposes nothing. It
// would fence the few that it reaches again and again; once the cut heals, they
// would refuse the primary that the others have, and force it out.
func Judge(now time.Time, p Policy, t Table, me Witness, views []View, order []fleet.Host) Judgement {
	if j := p.stranded(now, t); j.Cause != CauseNone {
		j.Rank = rank(me.Host, order, nil)
		return j
	}
	s, ok := t.Find(t.Primary)
	if !ok {
		return Judgement{}
	}
	if !p.Suspects(s, now) {
		j := p.unfit(now, t, s)
		j.Rank = rank(me.Host, order, nil)
		return j
	}
	if !t.Quorate(now) {
		return Judgement{Reason: "a majority of the instances is silent"}
	}
	agree := []Witness{me}
	for _, v := range views {
		switch p.opinion(v, t) {
		case opinionReaches:
			return Judgement{Reason: fmt.Sprintf("host %s reaches the primary", v.Host)}
		case opinionNewer:
			return Judgement{Reason: fmt.Sprintf("host %s knows a later term", v.Host)}
		case opinionMisses:
			agree = append(agree, Witness{Host: v.Host, DataCentre: v.DataCentre})
		case opinionNone:
		}
	}
	j := Judgement{Rank: rank(me.Host, order, agree)}
	if len(agree) > 1 && (centres(agree) > 1 || !spread(t)) {
		j.Cause = CauseSilent
		j.Reason = fmt.Sprintf("silent for %v to %d hosts", s.Silent(now).Round(time.Millisecond), len(agree))
		return j
	}
	if s.Silent(now) >= orDefault(p.AloneAfter, DefaultAloneAfter) {
		j.Cause = CauseAlone
		j.Reason = fmt.Sprintf("silent for %v, no other view to be had", s.Silent(now).Round(time.Millisecond))
		return j
	}
	j.Reason = "waits for a second host or data centre to miss the primary"
	return j
}

type opinion string

const (
	opinionNone    opinion = "none"
	opinionReaches opinion = "reaches"
	opinionMisses  opinion = "misses"
	opinionNewer   opinion = "newer"
)

func (p Policy) opinion(v View, t Table) opinion {
	out := opinionNone
	for _, i := range v.Instances {
		if i.Term > t.Term && i.Role == fleet.RolePrimary && i.Last.Term == i.Term && i.Reachable {
			return opinionNewer
		}
		if i.Instance != t.Primary {
			continue
		}
		if i.Reachable {
			out = opinionReaches
		} else if i.Silent >= orDefault(p.RefusedAfter, DefaultRefusedAfter) {
			out = opinionMisses
		}
	}
	return out
}

func centres(w []Witness) int {
	s := fleet.NewSet[fleet.DataCentre]()
	for _, e := range w {
		s.Add(e.DataCentre)
	}
	return len(s)
}

func spread(t Table) bool {
	s := fleet.NewSet[fleet.DataCentre]()
	for _, e := range t.Seen {
		s.Add(e.Instance.DataCentre)
	}
	return len(s) > 1
}

// rank counts the hosts ahead of me in order, of those in agree if it is given.
func rank(me fleet.Host, order []fleet.Host, agree []Witness) int {
	var n int
	for _, h := range order {
		if h == me {
			return n
		}
		if agree == nil || has(agree, h) {
			n++
		}
	}
	return n
}

func has(w []Witness, h fleet.Host) bool {
	for _, e := range w {
		if e.Host == h {
			return true
		}
	}
	return false
}

// viewFresh is how old an answer may be for a host to say that it reaches an
// instance. A host that hasn't asked for longer says neither, and asks.
const viewFresh = 400 * time.Millisecond

// Views returns how this host sees the instances, for another that asks.
func (p Policy) Views(t Table, now time.Time) []InstanceView {
	out := make([]InstanceView, 0, len(t.Seen))
	for _, s := range t.Seen {
		out = append(out, InstanceView{
			Instance:  s.Instance.Name,
			Reachable: s.Known() && now.Sub(s.Sent) < viewFresh && !p.Alarmed(s, now),
			Silent:    s.Silent(now),
			Term:      s.Status.Promised,
			Last:      s.Status.Last,
			Role:      s.Status.Role,
		})
	}
	return out
}
