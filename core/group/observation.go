package group

import (
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
)

// Observation is what one host knows of one instance.
type Observation struct {
	Instance document.Instance `json:"instance"`
	// Status is the answer to the question that was sent last, of those that
	// have been answered.
	Status fleet.Status `json:"status"`
	// Sent is when the question behind Status was sent; zero before the first
	// answer. What Status tells was true at some time after Sent.
	Sent time.Time `json:"sent"`
	// Heard is when the last answer came in.
	Heard time.Time `json:"heard"`
	// UnansweredSince is since when the instance has owed an answer; zero while it owes
	// none. It counts from a question, not from the last answer, so that an
	// instance that nobody asks isn't taken for dead.
	UnansweredSince time.Time `json:"waiting"`
	// Latency is the moving average of the time from question to answer.
	Latency time.Duration `json:"latency"`
	// LogMovedAt is when the last entry of the log was last seen to change.
	LogMovedAt time.Time `json:"moved"`
	// TermRaisedAt is when the promised term was last seen to rise.
	TermRaisedAt time.Time `json:"raised"`
	// LeavingSince is when the document was first seen to mark it as leaving.
	LeavingSince time.Time `json:"leaving-since"`
	// Lag is a moving estimate of how long an entry takes to get here.
	Lag time.Duration `json:"lag"`
	// UsualLag is what entries took to get here of late, taken when they had; zero
	// while none has been seen to. A cut doesn't raise it, as it does Lag.
	UsualLag time.Duration `json:"usual-lag"`
	// Refusing is set while the instance's address refuses connections.
	Refusing bool `json:"refusing"`

	pendingRequests int
}

// Known reports whether the instance has ever answered.
func (o Observation) Known() bool {
	return !o.Sent.IsZero()
}

// Silent returns how long the instance has owed an answer.
func (o Observation) Silent(now time.Time) time.Duration {
	if o.UnansweredSince.IsZero() {
		return 0
	}
	return max(0, now.Sub(o.UnansweredSince))
}

// IsUnfencedPrimary reports whether the status is that of a primary that no promotion has
// fenced: the last entry of a primary is of its own term.
func (o Observation) IsUnfencedPrimary() bool {
	return o.Known() && o.Status.Role == fleet.RolePrimary && o.Status.Promised == o.Status.Last.Term
}

// latencyDivisor is the part of the latest answer in the moving average: about
// eight answers decide it, under a second at the pace of a busy group.
const latencyDivisor = 8

func (o *Observation) requestSent(now time.Time) {
	o.pendingRequests++
	if o.UnansweredSince.IsZero() {
		o.UnansweredSince = now
	}
}

func (o *Observation) answerReceived(now time.Time) {
	o.pendingRequests = max(0, o.pendingRequests-1)
	o.Heard = now
	o.Refusing = false
	o.UnansweredSince = time.Time{}
	if o.pendingRequests > 0 {
		o.UnansweredSince = now
	}
}

func (o *Observation) statusReceived(sent, now time.Time, st fleet.Status) {
	o.answerReceived(now)
	took := now.Sub(sent)
	if o.Latency == 0 {
		o.Latency = took
	}
	o.Latency += (took - o.Latency) / latencyDivisor
	o.updateStatus(sent, now, st)
}

func (o *Observation) updateStatus(sent, now time.Time, st fleet.Status) {
	// An answer that comes in after that of a later question tells less than
	// what is known already.
	if sent.Before(o.Sent) {
		return
	}
	if st.Last != o.Status.Last || o.LogMovedAt.IsZero() {
		o.LogMovedAt = now
	}
	if st.Promised != o.Status.Promised || o.TermRaisedAt.IsZero() {
		o.TermRaisedAt = now
	}
	o.Status, o.Sent = st, sent
}

func (o *Observation) requestFailed(refused bool) {
	o.pendingRequests = max(0, o.pendingRequests-1)
	o.Refusing = refused
}

// lagDivisor makes the estimate of the lag follow a fall over some eight answers;
// it follows a rise at once.
const lagDivisor = 8

// updateUsualLag takes what the entries that have just got here took: a log that ended at
// last was known to miss something since then.
func (o *Observation) updateUsualLag(previousLast fleet.LogPosition, h History) {
	// What a change of primary took is no lag of the replica.
	if o.Status.Last == previousLast || o.Status.Last.Term != previousLast.Term {
		return
	}
	asOf, ok := h.MissingSince(previousLast)
	if !ok {
		return
	}
	took := max(minProofGap, o.Heard.Sub(asOf))
	if took > o.UsualLag {
		o.UsualLag = took
		return
	}
	o.UsualLag -= (o.UsualLag - took) / lagDivisor
}

// updateLag takes the age of the first thing that the log is known to miss for the
// time that an entry takes to get there.
func (o *Observation) updateLag(h History) {
	var lag time.Duration
	if asOf, ok := h.MissingSince(o.Status.Last); ok {
		lag = max(0, o.Sent.Sub(asOf))
	}
	if lag > o.Lag {
		o.Lag = lag
		return
	}
	o.Lag -= (o.Lag - lag) / lagDivisor
}
