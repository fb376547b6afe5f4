// Package session decides what a read has to reflect so that its session sees
// its own work, and whether an answer reflects it.
package session

import (
	"time"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
)

// Token is what a caller's session carries from host to host: the point that
// its reads have to cover. It holds all there is to know, so that no host keeps
// state for a session that has roamed away.
type Token = fleet.LogPosition

// Merge returns the token of a session that had a and has learnt b.
func Merge(a, b Token) Token {
	if b.Compare(a) > 0 {
		return b
	}
	return a
}

// Answer is what an instance's answer to a read reflects.
type Answer struct {
	Position fleet.LogPosition
	// Role is what the instance was when it answered.
	Role fleet.Role
}

// Need is what a read's answer has to reflect. All that is set has to hold.
type Need struct {
	// After is the point to cover: the session's token, or a fresh point that
	// was obtained in its stead.
	After fleet.Option[fleet.LogPosition]
	// MaxAge is the oldest data that will do; zero when the caller states none.
	MaxAge time.Duration
	// Arrived is when the read came in. It counts when neither of the others is
	// set: the read then has to reflect all that was acknowledged until then.
	Arrived time.Time
	// resolvedTerm is set by Resolve: the term whose primary satisfies the read too,
	// whatever its point.
	resolvedTerm fleet.Option[fleet.Term]
}

// Needs returns what the answer to q, which arrived at the given time, has to
// reflect. A caller that shows no token may have written on any other host
// before, so that all acknowledged writes may be its own.
func Needs(q *exchange.Request, arrived time.Time) Need {
	return Need{After: q.After, MaxAge: q.MaxAge, Arrived: arrived}
}

// Latest reports whether the read needs a proof that is made after its arrival.
func (n Need) Latest() bool {
	return !n.After.IsSet() && n.MaxAge == 0
}

// Resolve returns the need of a Latest read for which a proof was made after
// its arrival: what the proof covers.
func (n Need) Resolve(p group.Proof) Need {
	if !n.Latest() || p.AsOf.Before(n.Arrived) {
		return n
	}
	n.After = fleet.Some(p.Position)
	n.resolvedTerm = fleet.Some(p.Position.Term)
	return n
}

// Satisfied reports whether an answer that came in at the given time reflects
// what the read needs, by what t proves.
//
// It guards against a session that misses its own work, because a replica lags
// or because a replaced primary on the far side of a cut still answers. The
// point comes with the answer itself, so that a status of the instance that was
// read earlier, later or on another connection can't vouch for it.
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

// fromResolvedPrimary reports whether the primary gave the answer to a read that Resolve
// has turned to a fresh point. The point was read after the read's arrival, but
// maybe after the read's start at the primary too, and may lie beyond it.
func (n Need) fromResolvedPrimary(a Answer) bool {
	term, ok := n.resolvedTerm.Get()
	return ok && a.Role == fleet.RolePrimary && a.Position.Term == term
}

// includesWritesBefore reports whether the answer has every write acknowledged before since:
// it covers the point of a proof made since, or it is that of a primary which a
// majority has been at the term of since.
//
// A primary's answer is only known to be younger than its read. One that came
// in late is older than the latest proof, which so can't vouch for it.
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
