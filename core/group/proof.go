package group

import (
	"slices"
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
)

// Verdict is what the statuses say of a write that the primary has committed.
type Verdict string

// The verdicts. VerdictReplaced is final: the write can't be acknowledged any
// more, and may or may not be part of the group's history.
const (
	VerdictWait        Verdict = "wait"
	VerdictAcknowledge Verdict = "acknowledge"
	VerdictReplaced    Verdict = "replaced"
)

// Acknowledge is the rule by which a write that was committed at w may be
// acknowledged. since is a moment after the commit's answer came in.
//
// It guards against acknowledging for a primary that has been replaced, which
// shows as an order that the caller holds confirmed and no one finds. A
// promotion fences a majority first, so a majority that is still at the write's
// term after the commit shares an instance with any later promotion, and that
// instance brings the write along. See docs/design/failover.md.
func (s Snapshot) Acknowledge(rule document.Acknowledge, write fleet.LogPosition, since time.Time) Verdict {
	need := s.Rules.majority(len(s.Observations))
	var confirmed, replaced int
	for _, o := range s.Observations {
		if o.Known() && o.Status.Promised > write.Term {
			replaced++
		}
		if s.Rules.unfenced(o, write.Term, since) && (rule == document.AcknowledgePrimary || s.Rules.hasEntry(o, write)) {
			confirmed++
		}
	}
	if confirmed >= need {
		return VerdictAcknowledge
	}
	if replaced >= need {
		return VerdictReplaced
	}
	return VerdictWait
}

// Proof says that a log which covers Position has every write that was
// acknowledged before AsOf.
type Proof struct {
	Position fleet.LogPosition `json:"point"`
	AsOf     time.Time         `json:"as-of"`
}

// Prove returns what the statuses prove: the last entry of the primary, as of
// the earliest of the questions that show it to be the primary and a majority
// to be at its term. It reports false when no primary has such a majority.
//
// It counts from when the questions were sent. Counting from the answers would
// call data fresh that is as old as the answer took to arrive.
func (s Snapshot) Prove() (Proof, bool) {
	primary, ok := s.Find(s.Primary)
	if !ok {
		return Proof{}, false
	}
	asOf, ok := s.FencedSince(s.Term)
	if !ok {
		return Proof{}, false
	}
	if primary.Sent.Before(asOf) {
		asOf = primary.Sent
	}
	return Proof{Position: primary.Status.Last, AsOf: asOf}, true
}

// FencedSince returns the latest moment up to which the statuses show that no
// primary of a term after n was promoted, and false when they show none: the
// earliest question of the latest majority that was at n.
func (s Snapshot) FencedSince(term fleet.Term) (time.Time, bool) {
	var sent []time.Time
	for _, o := range s.Observations {
		if s.Rules.unfenced(o, term, time.Time{}) {
			sent = append(sent, o.Sent)
		}
	}
	need := s.Rules.majority(len(s.Observations))
	if len(sent) < need {
		return time.Time{}, false
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	return sent[need-1], true
}

// primaryIndex returns the index of the instance that serves as the primary in the
// highest term, unless a majority is known to have gone on to a later term.
func primaryIndex(observations []Observation) (int, bool) {
	best := -1
	for i, o := range observations {
		if o.IsUnfencedPrimary() && (best < 0 || observations[best].Status.Last.Term < o.Status.Last.Term) {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	var later int
	for _, o := range observations {
		if o.Known() && o.Status.Promised > observations[best].Status.Last.Term {
			later++
		}
	}
	return best, later < Majority(len(observations))
}
