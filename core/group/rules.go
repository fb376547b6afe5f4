package group

import (
	"fmt"
	"time"

	"skylarkdeal/core/fleet"
)

// Rules are the decisions on which the safety of a group depends. A test can replace
// each of them to show that it is needed. The zero value applies the functions of this
// package.
type Rules struct {
	// Majority returns how many of n instances are a majority.
	Majority func(n int) int
	// Unfenced replaces the function Unfenced, and each of the others the function
	// of its name.
	Unfenced     func(o Observation, term fleet.Term, since time.Time) bool
	HasEntry     func(o Observation, write fleet.LogPosition) bool
	Fenced       func(st fleet.Status, err error, term fleet.Term) bool
	MostAdvanced func(fenced map[fleet.Instance]fleet.Status, members []fleet.Instance) fleet.Instance
}

// Majority returns how many of n instances are a majority. Any two majorities
// share an instance.
func Majority(n int) int {
	return n/2 + 1
}

// Unfenced reports whether the latest status of the instance was requested at or after
// since and shows term as the highest term that it has promised.
func Unfenced(o Observation, term fleet.Term, since time.Time) bool {
	return o.Known() && !o.Sent.Before(since) && o.Status.Promised == term
}

// HasEntry reports whether the instance's log has the entry at the position write. The
// result is valid only if the same status shows the instance as Unfenced at the term of
// write: a log whose last entry is of a later term need not have the entry at write.
func HasEntry(o Observation, write fleet.LogPosition) bool {
	return o.Status.Last.Covers(write)
}

// Fenced reports whether an instance that answered ActFence with st or err has
// promised the term to the proposer. Its log then takes no more entries of an earlier
// term, and no other proposer can promote it in this term.
func Fenced(st fleet.Status, err error, term fleet.Term) bool {
	return err == nil && st.Promised == term
}

// Proposer returns a name for one promotion by one process of a host. An instance
// promises a term to one proposer. If a host proposed under its host name alone, it
// would share that promise after a restart, and could promote a second instance in
// the same term while a promote command of the former process is still in flight.
func Proposer(h fleet.Host, epoch, attempt uint64) fleet.Host {
	return fleet.Host(fmt.Sprintf("%s/%x/%d", h, epoch, attempt))
}

// MostAdvanced returns the fenced instance with the highest last entry. Its log has
// every write that a majority had. In a tie the first in the order of members wins.
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
