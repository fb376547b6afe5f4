package group

import (
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
)

// Observation is the state of one instance as one host observes it.
type Observation struct {
	Instance document.Instance `json:"instance"`
	// Status is the answer to the latest of the status requests that have been
	// answered.
	Status fleet.Status `json:"status"`
	// Sent is when the request that Status answers was sent; zero before the first
	// answer. Status was true at some time after Sent.
	Sent time.Time `json:"sent"`
	// Heard is when the last answer arrived.
	Heard time.Time `json:"heard"`
	// UnansweredSince is since when the instance has left a request unanswered; zero
	// while none is pending. It starts at a request, not at the last answer, so that
	// an instance that isn't polled doesn't count as failed.
	UnansweredSince time.Time `json:"waiting"`
	// Latency is the moving average of the time from request to answer.
	Latency time.Duration `json:"latency"`
	// LogMovedAt is when the last entry of the log was last observed to change, or was
	// first observed.
	LogMovedAt time.Time `json:"moved"`
	// TermRaisedAt is when the promised term was last observed to rise, or was first
	// observed.
	TermRaisedAt time.Time `json:"raised"`
	// LeavingSince is when a document first marked the instance as leaving; zero
	// while it isn't leaving.
	LeavingSince time.Time `json:"leaving-since"`
	// Lag is a moving estimate of how long an entry takes to reach this instance. It
	// rises while the instance is cut off from its primary.
	Lag time.Duration `json:"lag"`
	// UsualLag is how long recent entries took to reach this instance, updated when
	// they arrive; zero until an arrival has been observed. Unlike Lag it doesn't rise while
	// the instance is cut off from its primary.
	UsualLag time.Duration `json:"usual-lag"`
	// Refusing is set if the last request failed because the instance's address
	// refused the connection.
	Refusing bool `json:"refusing"`

	pendingRequests int
}

// Known reports whether the instance has ever answered.
func (o Observation) Known() bool {
	return !o.Sent.IsZero()
}

// Silent returns how long the instance has left a request unanswered, and zero
// while none is pending.
func (o Observation) Silent(now time.Time) time.Duration {
	if o.UnansweredSince.IsZero() {
		return 0
	}
	return max(0, now.Sub(o.UnansweredSince))
}

// IsUnfencedPrimary reports whether the status is that of a primary that no promotion
// has fenced. The last entry of a primary is of its own term, so a higher promised
// term shows a fence.
func (o Observation) IsUnfencedPrimary() bool {
	return o.Known() && o.Status.Role == fleet.RolePrimary && o.Status.Promised == o.Status.Last.Term
}

// latencyDivisor gives the latest answer a weight of one eighth in the moving average.
// The average follows a change within about eight answers, which take under a second in
// a busy group.
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
	// An answer that arrives after that of a later request is older than the status
	// that is known.
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

// lagDivisor makes the lag estimate follow a fall over about eight answers. It follows
// a rise at once.
const lagDivisor = 8

// updateUsualLag takes in how long the entries that have just arrived took. It counts
// from the time since which a log that ends at previousLast is known to lack entries.
func (o *Observation) updateUsualLag(previousLast fleet.LogPosition, h History) {
	// The time that a change of primary took is no replication lag.
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

// updateLag takes the age of the first entry that the log is known to lack as the time
// that an entry takes to arrive.
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
