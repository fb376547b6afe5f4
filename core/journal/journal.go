// Package journal keeps a host's recent decisions with their reasons for the state
// dump: why a request was refused, which instance was promoted and why.
package journal

import (
	"time"

	"skylarkdeal/core/ring"
)

// Kind is the category of a decision.
type Kind string

// The kinds of decisions.
const (
	// KindAdmit is about whether an operation is admitted or refused.
	KindAdmit Kind = "admit"
	// KindOwnership is about which host owns a shard of the client accounts.
	KindOwnership Kind = "allot"
	// KindDocument is about which version of a document is in effect.
	KindDocument Kind = "document"
	// KindFailover is about the primary of a group.
	KindFailover Kind = "failover"
	// KindMember is about which hosts belong to the fleet.
	KindMember Kind = "member"
	// KindPlace is about which instance runs an operation.
	KindPlace Kind = "place"
	// KindSession is about the end or the rejection of a caller's session.
	KindSession Kind = "session"
)

// Decision is one decision of a host.
type Decision struct {
	At time.Time `json:"at"`
	// Kind is the category of the decision.
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
