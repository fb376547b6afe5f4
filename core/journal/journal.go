// Package journal keeps a host's recent decisions with their reasons for the state
// dump: why a request was refused, which instance was promoted and why.
package journal

import (
	"time"

	"skylarkdeal/core/ring"
)

// Kind is the subject area of a decision.
type Kind string

// The kinds of decisions.
const (
	KindAdmit     Kind = "admit"
	KindOwnership Kind = "allot"
	KindDocument  Kind = "document"
	KindFailover  Kind = "failover"
	KindMember    Kind = "member"
	KindPlace     Kind = "place"
	KindSession   Kind = "session"
)

// Decision is one decision of a host.
type Decision struct {
	At time.Time `json:"at"`
	// Kind is the subject area of the decision.
	Kind Kind `json:"kind"`
	// Subject is what the decision is about, such as "service=orders account=hotel".
	Subject string `json:"subject"`
	// Choice is what was decided, such as "refuse" or "promote b".
	Choice string `json:"choice"`
	// Reason explains the decision to an operator.
	Reason string `json:"reason"`
}

// Journal is a bounded list of recent decisions, safe for concurrent use. The zero
// Journal is ready to use.
type Journal struct {
	recent ring.Recent[Decision]
}

// Add records d. Once the journal is full, d replaces the oldest decision. A nil
// Journal records nothing.
func (j *Journal) Add(d Decision) {
	if j == nil {
		return
	}
	j.recent.Add(d)
}

// All returns the recorded decisions, the oldest first.
func (j *Journal) All() []Decision {
	if j == nil {
		return nil
	}
	return j.recent.All()
}
