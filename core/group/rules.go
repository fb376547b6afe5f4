package group

import (
	"fmt"
	"time"

	"skylarkdeal/core/fleet"
)

// Rules are the guards on which the safety of a group rests, each of which a
// test can take out to show that it is needed. The zero Rules are the ones to
// use.
type Rules struct {
	// Majority returns how many of n instances are a majority.
	Majority func(n int) int
	// Unfenced is described at the function Unfenced, and so are the others.
	Unfenced     func(s Observation, t fleet.Term, since time.Time) bool
	HasEntry     func(s Observation, w fleet.LogPosition) bool
	Fenced       func(st fleet.Status, err error, t fleet.Term) bool
	MostAdvanced func(fenced map[fleet.Instance]fleet.Status, members []fleet.Instance) fleet.Instance
}

// Majority returns how many of n instances are a majority. Any two majorities
// share an instance.
func Majority(n int) int {
	return n/2 + 1
}

// Unfenced reports whether the instance was asked at or after since and had
// then promised no term but t.
func Unfenced(o Observation, term fleet.Term, since time.Time) bool {
	return o.Known() && !o.Sent.Before(since) && o.Status.Promised == term
}

// HasEntry reports whether the instance's log has the entry at w. An entry of a
// later term in a log doesn't tell that the log has w: it has to be counted for
// an instance that was Unfenced at w's term in the same status.
func HasEntry(o Observation, write fleet.LogPosition) bool {
	return o.Status.Last.Covers(write)
}

// Fenced reports whether an instance that answered a fence with st or err has
// promised t to the asker, so that its log can't grow by an entry of an earlier
// term and no one else can promote in t.
func Fenced(st fleet.Status, err error, term fleet.Term) bool {
	return err == nil && st.Promised == term
}

// Proposer names one promotion of one process of a host. An instance promises
// a term to one proposer. A host that restarted under the bare name of its
// former self would share that promise, and could promote a second instance in
// the same term, while the former self's order to promote is still on its way.
func Proposer(h fleet.Host, epoch, attempt uint64) fleet.Host {
	return fleet.Host(fmt.Sprintf("%s/%x/%d", h, epoch, attempt))
}

// MostAdvanced returns the instance whose last entry is the highest of those fenced,
// which has every write that a majority had. The earlier in members wins a tie.
func MostAdvanced(fenced map[fleet.Instance]fleet.Status, members []fleet.Instance) fleet.Instance {
	var best fleet.Instance
	for _, m := range members {
		st, ok := fenced[m]
		if ok && (best == "" || st.Last.Compare(fenced[best].Last) > 0) {
			best = m
		}
	}
	return best
}

func (r Rules) majority(n int) int {
	if r.Majority != nil {
		return r.Majority(n)
	}
	return Majority(n)
}

func (r Rules) unfenced(o Observation, term fleet.Term, since time.Time) bool {
	if r.Unfenced != nil {
		return r.Unfenced(o, term, since)
	}
	return Unfenced(o, term, since)
}

func (r Rules) hasEntry(o Observation, write fleet.LogPosition) bool {
	if r.HasEntry != nil {
		return r.HasEntry(o, write)
	}
	return HasEntry(o, write)
}

func (r Rules) fenced(st fleet.Status, err error, term fleet.Term) bool {
	if r.Fenced != nil {
		return r.Fenced(st, err, term)
	}
	return Fenced(st, err, term)
}

func (r Rules) mostAdvanced(fenced map[fleet.Instance]fleet.Status, members []fleet.Instance) fleet.Instance {
	if r.MostAdvanced != nil {
		return r.MostAdvanced(fenced, members)
	}
	return MostAdvanced(fenced, members)
}
