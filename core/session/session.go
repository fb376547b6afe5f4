// Package session decides which writes a read has to reflect, so that a session
// reads its own writes, and whether an answer reflects them.
package session

import (
	"time"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
)

// Token is the log position that a session's reads have to cover. The caller passes
// it from host to host. It is the whole state of the session's consistency, so that
// no host keeps state for a session that has gone on to another host.
type Token = fleet.LogPosition

// Merge returns the token that covers both a and b.
func Merge(a, b Token) Token {
	if b.Compare(a) > 0 {
		return b
	}
	return a
}

// Answer describes an instance's answer to a read.
type Answer struct {
	// Position is the position of the last log entry that the answer reflects.
	Position fleet.LogPosition
	// Role is the role of the instance at the time of the answer.
	Role fleet.Role
}

// Need states what the answer to a read has to reflect. If After and MaxAge are both
// set, both have to hold.
type Need struct {
	// After is the log position to cover: the session's token, or the position of
	// the proof that Resolve took in its place.
	After fleet.Option[fleet.LogPosition]
	// MaxAge is the maximum age of the data; zero if the caller states none.
	MaxAge time.Duration
	// Arrived is when the read arrived. If neither After nor MaxAge is set, the answer
	// has to reflect all writes acknowledged before.
	Arrived time.Time
	// resolvedTerm is set by Resolve. An answer of the primary of this term satisfies
	// After at any log position.
	resolvedTerm fleet.Option[fleet.Term]
}

// NeedOf returns the Need of the read q, which arrived at the given time. A caller
// that shows no token may have written through any other host before, so any
// acknowledged write may be its own.
func NeedOf(q *exchange.Request, arrived time.Time) Need {
	return Need{After: q.After, MaxAge: q.MaxAge, Arrived: arrived}
}

// Latest reports whether the read states neither a token nor a maximum age. It then
// needs a group.Proof as of a time no earlier than its arrival.
func (n Need) Latest() bool {
	return !n.After.IsSet() && n.MaxAge == 0
}

// Resolve turns the need of a read without a token or a maximum age into a required log
// position: it returns n with After set to p.Position. It returns n unchanged if n has a
// token or a maximum age, or if p.AsOf is before the read's arrival.
func (n Need) Resolve(p group.Proof) Need {
	if !n.Latest() || p.AsOf.Before(n.Arrived) {
		return n
	}
	n.After = fleet.Some(p.Position)
	n.resolvedTerm = fleet.Some(p.Position.Term)
	return n
}

// Satisfied reports whether an answer that arrived at the given time reflects what the
// read needs, by the proofs of s.
//
// Guards against a session that doesn't read its own writes, because a replica lags or
// because a replaced primary that is partitioned from the others still answers. The
// position is part of the answer itself: a status of the instance that was read
// earlier, later or on another connection doesn't show what the answer reflects.
func (n Need) Satisfied(a Answer, at time.Time, s group.Snapshot) bool {
	if after, ok := n.After.Get(); ok && !a.Position.Covers(after) && !n.fromResolvedPrimary(a) {
		return false
	}
	if n.MaxAge > 0 && !n.includesWritesBefore(a, at.Add(-n.MaxAge), s) {
		return false
	}
	if n.Latest() {
		return n.includesWritesBefore(a, n.Arrived, s)
	}
	return true
}

// fromResolvedPrimary reports whether the answer to a resolved read is that of the
// primary of resolvedTerm. Such an answer is recent enough although the position of the
// proof may lie beyond it: that position was read after the read's arrival at the host,
// but possibly also after the read had started at the primary.
func (n Need) fromResolvedPrimary(a Answer) bool {
	term, ok := n.resolvedTerm.Get()
	return ok && a.Role == fleet.RolePrimary && a.Position.Term == term
}

// includesWritesBefore reports whether the answer has every write acknowledged before
// since. It has them if it covers the position of a proof as of since or later, or if
// it is that of a primary whose term a majority was still at, as of since or later.
//
// The second rule applies only to a read that arrived at or after since. An answer of
// the primary is only known to be younger than its read. If it arrives late, it may be
// older than the latest proof, which then doesn't show what the answer reflects.
func (n Need) includesWritesBefore(a Answer, since time.Time, s group.Snapshot) bool {
	if asOf, ok := s.History.CompleteUntil(a.Position); ok && !asOf.Before(since) {
		return true
	}
	if a.Role != fleet.RolePrimary || n.Arrived.Before(since) {
		return false
	}
	asOf, ok := s.FencedSince(a.Position.Term)
	return ok && !asOf.Before(since)
}
