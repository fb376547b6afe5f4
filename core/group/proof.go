package group

import (
	"slices"
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
)

// Verdict says whether a write that the primary has committed may be acknowledged.
type Verdict string

// The verdicts. VerdictReplaced is final: the write can't be acknowledged any
// more, and it is unknown whether a later primary has it.
const (
	VerdictWait        Verdict = "wait"
	VerdictAcknowledge Verdict = "acknowledge"
	VerdictReplaced    Verdict = "replaced"
)

// Acknowledge decides whether a write that was committed at the position write may
// be acknowledged. since is a time after the answer to the commit arrived.
//
// Guards against acknowledging a write of a primary that has been replaced: the
// caller would hold as confirmed a write that the new primary lacks. A promotion
// first fences a majority. A majority that is still at the write's term after the
// commit therefore shares an instance with any later promotion, and the log of
// that instance has the write. See docs/design/failover.md.
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

// Proof states that a log that covers Position has every write acknowledged before
// AsOf.
type Proof struct {
	Position fleet.LogPosition `json:"point"`
	AsOf     time.Time         `json:"as-of"`
}

// Prove returns the proof that the latest statuses give: the position of the
// primary's last entry, as of the earliest of the status requests whose answers
// show the primary and a majority at its term. It returns false if no primary has
// such a majority.
//
// Proofs are dated by the time at which a request was sent. Dated by the arrival of
// the answer, data would seem younger than it is by the time the answer took.
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

// FencedSince returns the latest time up to which the statuses show that no primary
// of a term after the given one was promoted, and false if they show none. It is the
// time of the earliest status request among the majority that was at the given term
// most recently.
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

// primaryIndex returns the index of the unfenced primary of the highest term, and
// false if there is none or a majority has promised a later term.
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
