// Package grouptest models database instances in memory: the terms that they
// promise, their logs and how they copy entries. Replication happens only when a test
// calls Copy. The tests of core/group and io/groupmonitor run against it.
package grouptest

import (
	"errors"
	"slices"

	"skylarkdeal/core/fleet"
)

// Entry is one entry of an instance's log.
type Entry struct {
	Term  fleet.Term
	Value string
}

// Instance is one database instance. Its promised term and its log survive a restart
// of its process.
type Instance struct {
	Name     fleet.Instance
	Promised fleet.Term
	Proposer fleet.Host
	Role     fleet.Role
	Follows  fleet.Instance
	Log      []Entry
}

// The errors that an instance returns.
var (
	ErrTerm    = errors.New("the term is promised to another proposer or is too low")
	ErrReplica = errors.New("a replica accepts no writes")
	ErrFenced  = errors.New("the primary is fenced")
	ErrSource  = errors.New("the source isn't the primary of the followed term")
)

// New returns a group of instances, the first of them the primary in term 1.
func New(names ...fleet.Instance) []*Instance {
	out := make([]*Instance, 0, len(names))
	for _, n := range names {
		out = append(out, &Instance{
			Name: n, Promised: 1, Role: fleet.RoleReplica, Follows: names[0], Log: []Entry{{Term: 1}},
		})
	}
	out[0].Role, out[0].Follows = fleet.RolePrimary, ""
	return out
}

// Last returns the position of the last entry.
func (i *Instance) Last() fleet.LogPosition {
	n := len(i.Log)
	if n == 0 {
		return fleet.LogPosition{}
	}
	return fleet.LogPosition{Term: i.Log[n-1].Term, Index: fleet.LogIndex(n)}
}

// Status returns the status that the instance reports.
func (i *Instance) Status() fleet.Status {
	return fleet.Status{
		Instance: i.Name, Promised: i.Promised, Role: i.Role, Last: i.Last(), Follows: i.Follows,
	}
}

// Fence promises the term to a proposer. It returns ErrTerm if the term isn't higher
// than the promised one, unless it is already promised to this proposer.
func (i *Instance) Fence(term fleet.Term, proposer fleet.Host) error {
	if term == i.Promised && proposer == i.Proposer {
		return nil
	}
	if term <= i.Promised {
		return ErrTerm
	}
	i.Promised, i.Proposer = term, proposer
	return nil
}

// Promote makes the instance the primary of the term, which has to be promised to the
// proposer.
func (i *Instance) Promote(term fleet.Term, proposer fleet.Host) error {
	if term != i.Promised || proposer != i.Proposer {
		return ErrTerm
	}
	if i.Role == fleet.RolePrimary && i.Last().Term == term {
		return nil
	}
	i.Role, i.Follows = fleet.RolePrimary, ""
	i.Log = append(i.Log, Entry{Term: term})
	return nil
}

// Follow makes the instance a replica of primary in the given term.
func (i *Instance) Follow(term fleet.Term, primary fleet.Instance) error {
	if term < i.Promised {
		return ErrTerm
	}
	if i.Role == fleet.RolePrimary && i.Last().Term == term {
		return ErrTerm
	}
	if term > i.Promised {
		i.Promised, i.Proposer = term, ""
	}
	i.Role, i.Follows = fleet.RoleReplica, primary
	return nil
}

// Append adds an entry to the log of the primary and returns its position.
func (i *Instance) Append(value string) (fleet.LogPosition, error) {
	if i.Role != fleet.RolePrimary {
		return fleet.LogPosition{}, ErrReplica
	}
	term := i.Last().Term
	if i.Promised > term {
		return fleet.LogPosition{}, ErrFenced
	}
	i.Log = append(i.Log, Entry{Term: term, Value: value})
	return i.Last(), nil
}

// Copy drops the entries of a replica that its primary doesn't have and copies up to n
// entries that the replica lacks.
func (i *Instance) Copy(from *Instance, n int) error {
	if i.Role != fleet.RoleReplica || i.Follows != from.Name {
		return ErrSource
	}
	if from.Role != fleet.RolePrimary || from.Last().Term != i.Promised {
		return ErrSource
	}
	same := 0
	for same < min(len(i.Log), len(from.Log)) && i.Log[same].Term == from.Log[same].Term {
		same++
	}
	i.Log = append(slices.Clone(i.Log[:same]), from.Log[same:min(len(from.Log), same+n)]...)
	return nil
}
