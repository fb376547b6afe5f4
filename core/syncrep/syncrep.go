// Package syncrep decides whether an instance may become the primary of a group whose commits are acknowledged
// only once other instances have received them.
//
// Designed for a primary that is lost, or is replaced while it still works, in a group with n instances and k
// synchronous replicas. Each acknowledged commit is in the logs of k of the n-1 replicas, but nobody knows of
// which. A successor has all of them if its log covers those of the other replicas but at most k-1, which alone
// can't have confirmed a commit. And it goes on to have all of them if these replicas receive nothing any more:
// a primary that is cut off from the hosts, but not from its replicas, would otherwise have commits confirmed
// that the successor lacks until the promotion takes effect.
package syncrep

import (
	"maps"
	"slices"

	"skylarkdeal/core/fleet"
)

// Member is what is known of one instance of a group.
type Member struct {
	Name fleet.Instance
	// Term and Received are the term and the end of the log that its last status gave.
	Term     fleet.Term
	Received fleet.LogPosition
	// Heard is set if that status was requested for this decision.
	Heard bool
	// Leads is set if the status is that of a primary.
	Leads bool
	// Held is set if the instance receives nothing from a primary until a promotion. Unholdable is set if it has
	// rejected the request for that.
	Held, Unholdable bool
	// Gone is set if the instance isn't listed any more, so that it can't be promoted, although its log may be the
	// only one with an acknowledged commit.
	Gone bool
}

// Group is the input of a decision.
type Group struct {
	// Required is how many replicas have to receive a commit before it is acknowledged.
	Required int
	// Primaries are the instances that may have led last: the one that is replaced, and if its own promotion isn't
	// known to have taken effect, the one before it.
	Primaries []fleet.Instance
	// Term is the latest term in which an instance is known to have led.
	Term    fleet.Term
	Members []Member
}

// Obstacle is why a member doesn't let a candidate lead.
type Obstacle string

// The obstacles.
const (
	ObstacleNotHeard Obstacle = "not heard"
	ObstacleAhead    Obstacle = "ahead"
	ObstacleNotHeld  Obstacle = "not held back"
)

// Verdict is the outcome of a decision. The zero Verdict lets the candidate lead.
type Verdict struct {
	// Hold are the members that have to be held back before the candidate may lead.
	Hold []fleet.Instance
	// Missing are the members whose logs the candidate isn't known to cover, if they are too many.
	Missing map[fleet.Instance]Obstacle
}

// Safe reports whether the candidate may lead now.
func (v Verdict) Safe() bool { return len(v.Hold) == 0 && len(v.Missing) == 0 }

// Judge returns whether a candidate has, and will have when its promotion takes effect, all acknowledged commits.
func (g Group) Judge(candidate fleet.Instance) Verdict {
	v := Verdict{Missing: map[fleet.Instance]Obstacle{}}
	n := slices.IndexFunc(g.Members, func(m Member) bool { return m.Name == candidate && !m.Gone })
	if g.Required <= 0 || n < 0 {
		return v
	}
	for _, p := range g.possiblePrimaries() {
		g.judgeAfter(p, g.Members[n], &v)
	}
	slices.Sort(v.Hold)
	v.Hold = slices.Compact(v.Hold)
	return v
}

// possiblePrimaries returns the instances whose commits may have been acknowledged last.
func (g Group) possiblePrimaries() []fleet.Instance {
	out := slices.Clone(g.Primaries)
	for _, m := range g.Members {
		// One that leads an earlier term has been replaced: its successor had all that was acknowledged.
		if m.Leads && m.Term >= g.Term && !slices.Contains(out, m.Name) {
			out = append(out, m.Name)
		}
	}
	if len(out) == 0 {
		// Any instance may have been the primary. To count all of them as replicas asks for more, not for less.
		out = append(out, "")
	}
	return out
}

// judgeAfter adds to v what keeps the candidate from leading if the last primary was p.
func (g Group) judgeAfter(p fleet.Instance, candidate Member, v *Verdict) {
	if candidate.Name == p {
		// Its own commits are in its log.
		return
	}
	var hold []fleet.Instance
	missing := map[fleet.Instance]Obstacle{}
	for _, m := range g.Members {
		covered := m.Heard && candidate.covers(m)
		switch {
		case m.Name == candidate.Name && !m.Gone:
		case m.Name == p:
			if covered && !m.Leads && !g.lostLogOf(p) {
				// It has stopped leading, and the candidate has its whole log.
				return
			}
		case !m.Heard:
			missing[m.Name] = ObstacleNotHeard
		case !covered:
			missing[m.Name] = ObstacleAhead
		case !m.Held && !m.Leads && !m.Unholdable:
			hold = append(hold, m.Name)
		}
	}
	if len(missing) >= g.Required {
		maps.Copy(v.Missing, missing)
	}
	if len(missing)+len(hold) >= g.Required {
		v.Hold = append(v.Hold, hold...)
	}
}

// lostLogOf reports whether an instance is gone, and nothing that is known has its log: one that has started anew
// under its name may have none.
func (g Group) lostLogOf(name fleet.Instance) bool {
	return slices.ContainsFunc(g.Members, func(m Member) bool { return m.Name == name && m.Gone && !m.Heard })
}

// covers reports whether the log of m has nothing that the log of c lacks. A log of an earlier term may have
// entries that a promotion has dropped, so that its position says nothing about one of a later term.
func (m Member) covers(o Member) bool {
	return m.Term >= o.Term && m.Received.Covers(o.Received)
}
