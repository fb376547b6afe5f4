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

	asked int
}

// Known reports whether the instance has ever answered.
func (s Observation) Known() bool {
	return !s.Sent.IsZero()
}

// Silent returns how long the instance has owed an answer.
func (s Observation) Silent(now time.Time) time.Duration {
	if s.UnansweredSince.IsZero() {
		return 0
	}
	return max(0, now.Sub(s.UnansweredSince))
}

// Serves reports whether the status is that of a primary that no promotion has
// fenced: the last entry of a primary is of its own term.
func (s Observation) Serves() bool {
	return s.Known() && s.Status.Role == fleet.RolePrimary && s.Status.Promised == s.Status.Last.Term
}

// latencyWeight is the part of the latest answer in the moving average: about
// eight answers decide it, under a second at the pace of a busy group.
const latencyWeight = 8

func (s *Observation) ask(now time.Time) {
	s.asked++
	if s.UnansweredSince.IsZero() {
		s.UnansweredSince = now
	}
}

func (s *Observation) hear(now time.Time) {
	s.asked = max(0, s.asked-1)
	s.Heard = now
	s.Refusing = false
	s.UnansweredSince = time.Time{}
	if s.asked > 0 {
		s.UnansweredSince = now
	}
}

func (s *Observation) answer(sent, now time.Time, st fleet.Status) {
	s.hear(now)
	took := now.Sub(sent)
	if s.Latency == 0 {
		s.Latency = took
	}
	s.Latency += (took - s.Latency) / latencyWeight
	s.learn(sent, now, st)
}

func (s *Observation) learn(sent, now time.Time, st fleet.Status) {
	// An answer that comes in after that of a later question tells less than
	// what is known already.
	if sent.Before(s.Sent) {
		return
	}
	if st.Last != s.Status.Last || s.LogMovedAt.IsZero() {
		s.LogMovedAt = now
	}
	if st.Promised != s.Status.Promised || s.TermRaisedAt.IsZero() {
		s.TermRaisedAt = now
	}
	s.Status, s.Sent = st, sent
}

func (s *Observation) fail(refused bool) {
	s.asked = max(0, s.asked-1)
	s.Refusing = refused
}

// lagWeight makes the estimate of the lag follow a fall over some eight answers;
// it follows a rise at once.
const lagWeight = 8

// copied takes what the entries that have just got here took: a log that ended at
// last was known to miss something since then.
func (s *Observation) copied(last fleet.LogPosition, h History) {
	// What a change of primary took is no lag of the replica.
	if s.Status.Last == last || s.Status.Last.Term != last.Term {
		return
	}
	asOf, ok := h.Missing(last)
	if !ok {
		return
	}
	took := max(finest, s.Heard.Sub(asOf))
	if took > s.UsualLag {
		s.UsualLag = took
		return
	}
	s.UsualLag -= (s.UsualLag - took) / lagWeight
}

// lag takes the age of the first thing that the log is known to miss for the
// time that an entry takes to get there.
func (s *Observation) lag(h History) {
	var l time.Duration
	if asOf, ok := h.Missing(s.Status.Last); ok {
		l = max(0, s.Sent.Sub(asOf))
	}
	if l > s.Lag {
		s.Lag = l
		return
	}
	s.Lag -= (s.Lag - l) / lagWeight
}
