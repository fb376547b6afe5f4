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
func (t Snapshot) Acknowledge(rule document.Acknowledge, w fleet.LogPosition, since time.Time) Verdict {
	need := t.Rules.majority(len(t.Observations))
	var holds, replaced int
	for _, s := range t.Observations {
		if s.Known() && s.Status.Promised > w.Term {
			replaced++
		}
		if t.Rules.unfenced(s, w.Term, since) && (rule == document.AcknowledgePrimary || t.Rules.holds(s, w)) {
			holds++
		}
	}
	if holds >= need {
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
func (t Snapshot) Prove() (Proof, bool) {
	p, ok := t.Find(t.Primary)
	if !ok {
		return Proof{}, false
	}
	asOf, ok := t.FencedSince(t.Term)
	if !ok {
		return Proof{}, false
	}
	if p.Sent.Before(asOf) {
		asOf = p.Sent
	}
	return Proof{Position: p.Status.Last, AsOf: asOf}, true
}

// FencedSince returns the latest moment up to which the statuses show that no
// primary of a term after n was promoted, and false when they show none: the
// earliest question of the latest majority that was at n.
func (t Snapshot) FencedSince(n fleet.Term) (time.Time, bool) {
	var sent []time.Time
	for _, s := range t.Observations {
		if t.Rules.unfenced(s, n, time.Time{}) {
			sent = append(sent, s.Sent)
		}
	}
	need := t.Rules.majority(len(t.Observations))
	if len(sent) < need {
		return time.Time{}, false
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	return sent[need-1], true
}

// leader returns the index of the instance that serves as the primary in the
// highest term, unless a majority is known to have gone on to a later term.
func leader(seen []Observation) (int, bool) {
	best := -1
	for i, s := range seen {
		if s.Serves() && (best < 0 || seen[best].Status.Last.Term < s.Status.Last.Term) {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	var beyond int
	for _, s := range seen {
		if s.Known() && s.Status.Promised > seen[best].Status.Last.Term {
			beyond++
		}
	}
	return best, beyond < Majority(len(seen))
}
