package relay

import (
	"strconv"
	"time"

	"skylarkdeal/core/admit"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/statement"
)

// RefusedByPriority counts refused operations; the index is the priority.
type RefusedByPriority [fleet.MaxPriority + 1]uint64

// refuseRemoved answers the operations that the queue has removed: they can't be finished in time, or more
// urgent ones took their places.
func (g *group) refuseRemoved(removed []admit.Expired) {
	for _, x := range removed {
		o := g.waiting[x.Item.Key]
		delete(g.waiting, x.Item.Key)
		if o != nil {
			o.refuseBusy(x.Refusal)
		}
	}
}

// refuseBusy refuses an operation for which the queue has no room or no time.
func (o *operation) refuseBusy(f *failure.Refusal) {
	o.refuse(statement.CodeBusy, f.Message, o.g.retryAfterOverload(o.g.r.now(), f.RetryAfter))
}

// priorityLogInterval bounds the log of forwarded priorities that are out of range: a host of another build
// may send one with each statement.
const priorityLogInterval = time.Second

// forwardedPriority returns the priority of another host's request. One out of range counts as the least
// urgent.
func (r *Relay) forwardedPriority(f Forward) fleet.Priority {
	if f.Priority.Valid() {
		return f.Priority
	}
	now := r.now()
	if now.Sub(r.forwarding.priorityLoggedAt) < priorityLogInterval {
		return fleet.MaxPriority
	}
	r.forwarding.priorityLoggedAt = now
	r.logEvent(Event{
		Kind: EventSession, Service: f.Service, Account: f.Account, Instance: f.Instance,
		Choice: "use the least urgent priority",
		Reason: "a forwarded request has priority " + strconv.Itoa(int(f.Priority)) + ", above " +
			strconv.Itoa(int(fleet.MaxPriority)),
	})
	return fleet.MaxPriority
}
