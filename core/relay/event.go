package relay

import (
	"time"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/statement"
)

// EventKind is the type of an event.
type EventKind string

// The kinds of events.
const (
	// EventSession is a session that is accepted, rejected or ended.
	EventSession EventKind = "session"
	// EventRefuse is an operation that was not run.
	EventRefuse EventKind = "refuse"
	// EventPlace is the choice of the instance that runs a statement.
	EventPlace EventKind = "place"
	// EventRetry is a statement that is retried.
	EventRetry EventKind = "retry"
	// EventAnswer is the outcome of a statement.
	EventAnswer EventKind = "answer"
	// EventInstance is a change in what the host knows of an instance.
	EventInstance EventKind = "instance"
	// EventLeader is a change in what the host knows of a primary, or a step of a failover.
	EventLeader EventKind = "leader"
	// EventOutlier is a decision on an instance that responds but fails.
	EventOutlier EventKind = "outlier"
)

// Event is one decision and its inputs, for the log. Fields that don't apply are zero.
type Event struct {
	Kind     EventKind
	ID       statement.ID
	Database catalog.Database
	Service  fleet.Service
	Account  fleet.Account
	Instance fleet.Instance
	// Host is the other host that forwarded the statement to the instance, empty for this one.
	Host fleet.Host
	// DataCentre is set if the decision applies to a whole data centre.
	DataCentre fleet.DataCentre
	Choice     string
	Reason     string
	Code       statement.Code
	Term       fleet.Term
	// Consistency is that of the route.
	Consistency catalog.Consistency
	// RequiredPosition is the log position that a read had to cover; for a promotion request, the last received
	// position of the instance to be promoted. InstancePosition is the last known position of the instance's log,
	// Received the end of what the instance had received, by its own status.
	RequiredPosition, InstancePosition, Received fleet.LogPosition
	// Considered describes the instances that a promotion was decided by.
	Considered string
	// RetryAfter is the retry time of a refusal.
	RetryAfter time.Duration
	// Age is how old the input of the decision was.
	Age time.Duration
	// FailureRate is the share of failures for which an instance is ejected.
	FailureRate float64
	// Took is the time from the caller's statement to this event.
	Took time.Duration
}

// logEvent passes an event to Config.LogEvent, if that is set.
func (r *Relay) logEvent(e Event) {
	if r.cfg.LogEvent != nil {
		r.cfg.LogEvent(e)
	}
}
