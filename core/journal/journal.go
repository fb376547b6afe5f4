// Package journal keeps the recent decisions of a host with their reasons, for
// the state dump: why a request was refused, who was promoted and why.
package journal

import (
	"time"

	"skylarkdeal/core/ring"
)

// Kind is the matter that a decision belongs to.
type Kind string

// The kinds of decisions.
const (
	KindAdmit    Kind = "admit"
	KindAllot    Kind = "allot"
	KindDocument Kind = "document"
	KindFailover Kind = "failover"
	KindMember   Kind = "member"
	KindPlace    Kind = "place"
	KindSession  Kind = "session"
)

// Decision is one thing that a host decided.
type Decision struct {
	At time.Time `json:"at"`
	// Kind is the matter that the decision belongs to.
	Kind Kind `json:"kind"`
	// Subject is what was decided on, such as "service=orders account=hotel".
	Subject string `json:"subject"`
	// Choice is what was decided, such as "refuse" or "promote b".
	Choice string `json:"choice"`
	// Reason says why, in words for an operator.
	Reason string `json:"reason"`
}

// Journal is a bounded record of decisions, safe for concurrent use. The zero
// Journal works.
type Journal struct {
	recent ring.Recent[Decision]
}

// Add records d in place of the oldest decision once the journal is full. A nil
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
