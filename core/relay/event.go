package relay

import (
	"time"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/statement"
)

// EventKind is the matter that an event belongs to.
type EventKind string

// The kinds of events.
const (
	// EventSession is about who is let in and who is sent away.
	EventSession EventKind = "session"
	// EventRefuse is an operation that was not run.
	EventRefuse EventKind = "refuse"
	// EventPlace is where a statement runs.
	EventPlace EventKind = "place"
	// EventRetry is a statement that is run again elsewhere.
	EventRetry EventKind = "retry"
	// EventAnswer is how a statement has ended.
	EventAnswer EventKind = "answer"
	// EventInstance is what the host believes of an instance.
	EventInstance EventKind = "instance"
	// EventLeader is what the host believes of a primary.
	EventLeader EventKind = "leader"
)

// Event is one decision with what decided it. Fields that don't apply are zero.
type Event struct {
	Kind     EventKind
	ID       statement.ID
	Database catalog.Database
	Service  fleet.Service
	Account  fleet.Account
	Instance fleet.Instance
	// Host is the other host over which it ran.
	Host fleet.Host
	// DataCentre is the one that a decision is about.
	DataCentre fleet.DataCentre
	Choice     string
	Reason     string
	Code       statement.Code
	Term       fleet.Term
	// Consistency is that of the route.
	Consistency catalog.Consistency
	// RequiredPoint is the point that a read had to cover, InstancePoint where the instance's log stood, Received
	// the end of what the instance had received, as it said itself.
	RequiredPoint, InstancePoint, Received fleet.LogPosition
	// Age is that of what decided.
	Age time.Duration
	// Took is the time from the caller's statement to this event.
	Took time.Duration
	// AlwaysLog marks an event that explains a failed or late statement: it is never left
	// out of the log.
	AlwaysLog bool
}

func (r *Relay) logEvent(e Event) {
	if r.cfg.LogEvent != nil {
		r.cfg.LogEvent(e)
	}
}
