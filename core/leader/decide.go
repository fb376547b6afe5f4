package leader

import (
	"time"

	"skylarkdeal/core/fleet"
)

// InstanceInfo is what the host that gives orders knows of one instance of a group.
type InstanceInfo struct {
	Name fleet.Instance
	// Leaving is set when the instance is to end soon or to be left alone, Gone when it has ended.
	Leaving, Gone bool
	// Cold is set while it is slow after its start, OutsideRegion where it may not serve all databases of
	// the service.
	Cold, OutsideRegion bool
	// Reachable is set when it has answered this host's last question.
	Reachable bool
	// Leads is set when it has said lately that it is a primary, in Term.
	Leads bool
	Term  fleet.Term
	// UnreachableFrom is how many hosts can't reach it, this one included, and ReachableFrom how many
	// have heard it although others can't. UnreachableFor is for how long any host has failed to reach it.
	UnreachableFrom, ReachableFrom int
	UnreachableFor                 time.Duration
	// Received is the end of its log, as it was last heard.
	Received fleet.LogPosition
}

// GroupStatus is what a decision on a group's primary goes by.
type GroupStatus struct {
	Now       time.Time
	Instances []InstanceInfo
	// Since is when the last order became known or, without one, since when no primary
	// is settled.
	Since time.Time
}

// Reason says why a primary is to be replaced.
type Reason string

// The reasons for an order.
const (
	ReasonLeaving     Reason = "the primary is leaving"
	ReasonGone        Reason = "the primary has gone"
	ReasonUnreachable Reason = "too few hosts can reach the primary"
	ReasonNoPrimary   Reason = "no instance leads"
	// ReasonAlreadyPrimary changes the record only: the platform is given no order.
	ReasonAlreadyPrimary Reason = "the instance led already"
)

// PromotionRequest is a change of primary that is to be made.
type PromotionRequest struct {
	Service fleet.Service
	Primary fleet.Instance
	Former  fleet.Instance
	// Term is the lowest that the order can lead to.
	Term   fleet.Term
	Reason Reason
	// BaseRevision is the revision of the record that the decision went by: if it has changed,
	// another host has decided meanwhile.
	BaseRevision uint64
}

const (
	// orderPatience is how long an order may take to show effect before another is
	// given: twice what the platform takes. Two orders on their way at once make two
	// primaries one after the other.
	orderPatience = 2500 * time.Millisecond
	// vouchTime is how long hosts that hear of a doubt get to see for themselves: a new
	// connection and a report.
	vouchTime = 150 * time.Millisecond
	// affirmAfter is how long after an order its instance has to be in its old term to
	// have been the platform's primary all along: more than the platform takes.
	affirmAfter = 1600 * time.Millisecond
	// headlessPatience is how long a group may be without a settled primary, with no
	// order given: at the start the instances are being found.
	headlessPatience = 3 * time.Second
)

// Decide returns the order that a group needs now, if any.
//
// It is made for a primary that has died or is cut off, which nobody announces, and for
// one that leaves. The harm of waiting is a group without writes; the harm of a hasty
// order is a change that costs callers a tenth of a second and, with replicas behind,
// the last writes. So at least half of the hosts that know have to agree that it can't be
// reached, and all get the time to see for themselves: one bad link replaces no primary.
func (b *PrimaryState) Decide(s GroupStatus) (PromotionRequest, bool) {
	reason, ok := b.reason(s)
	if !ok {
		return PromotionRequest{}, false
	}
	o := PromotionRequest{Former: b.primary, Reason: reason, Term: b.LastTerm() + 1, BaseRevision: b.record.Revision}
	if !b.settled && b.former != "" {
		o.Former = b.former
	}
	best, ok := b.candidate(s)
	if !ok {
		return PromotionRequest{}, false
	}
	o.Primary = best.Name
	for _, m := range s.Instances {
		o.Term = max(o.Term, m.Term+1)
	}
	return o, true
}

// NeedsPromotion reports whether the group needs another primary, whichever.
func (b *PrimaryState) NeedsPromotion(s GroupStatus) bool {
	_, ok := b.reason(s)
	return ok
}

func (b *PrimaryState) reason(s GroupStatus) (Reason, bool) {
	if !b.settled {
		patience := headlessPatience
		if b.record.Revision != 0 {
			patience = orderPatience
		}
		return ReasonNoPrimary, s.Now.Sub(s.Since) > patience
	}
	for _, m := range s.Instances {
		if m.Name != b.primary {
			continue
		}
		switch {
		case m.Gone:
			return ReasonGone, true
		case m.Leaving:
			return ReasonLeaving, true
		case m.lost():
			return ReasonUnreachable, true
		}
		return "", false
	}
	return ReasonGone, true
}

// lost reports whether half of the hosts that know can't reach the instance.
func (m InstanceInfo) lost() bool {
	return m.UnreachableFrom > 0 && m.UnreachableFrom >= m.ReachableFrom && m.UnreachableFor > vouchTime
}

// candidate returns the instance to be promoted: the one whose log reaches farthest, as
// what it lacks is lost.
//
// An instance that leads an earlier term than one that was settled has been replaced and
// doesn't know it: its log has gone another way, and promoting it would undo what its
// successor has acknowledged. One that leads where nothing was settled is the last
// choice: the order for another may be late and still take effect.
func (b *PrimaryState) candidate(s GroupStatus) (InstanceInfo, bool) {
	var best InstanceInfo
	for _, m := range s.Instances {
		replaced := m.Leads && m.Term < b.term
		if m.Gone || m.Leaving || !m.Reachable || m.lost() || replaced || b.settled && m.Name == b.primary {
			continue
		}
		if best.Name == "" || m.before(best) {
			best = m
		}
	}
	return best, best.Name != ""
}

// ConfirmingRequest returns the record by which a group goes on under a primary that an order has
// named although it led already: the platform then changes nothing, and the term that
// the order was to lead to never comes. given is when the order was answered with
// success, now a moment at which the instance still leads in term t.
func (b *PrimaryState) ConfirmingRequest(i fleet.Instance, t fleet.Term,
	given, now time.Time) (PromotionRequest, bool) {
	if b.settled || i != b.primary || t >= b.record.Term || given.IsZero() || now.Sub(given) < affirmAfter {
		return PromotionRequest{}, false
	}
	return PromotionRequest{
		Primary: i, Former: i, Term: t, Reason: ReasonAlreadyPrimary, BaseRevision: b.record.Revision,
	}, true
}

func (m InstanceInfo) before(o InstanceInfo) bool {
	if m.Leads != o.Leads {
		return o.Leads
	}
	if c := m.Received.Compare(o.Received); c != 0 {
		return c > 0
	}
	if m.OutsideRegion != o.OutsideRegion {
		return o.OutsideRegion
	}
	if m.Cold != o.Cold {
		return o.Cold
	}
	return m.Name < o.Name
}
