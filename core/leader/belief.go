// Package leader decides who leads a group of instances: what a host believes, when
// a primary counts as lost, and whom to put in its place. An instance is promoted by
// an order to the platform, which carries it out some time later and can't take it
// back; the platform's store keeps a record of each order.
package leader

import (
	"slices"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/statement"
)

// Record is what the store keeps of the last order given for a group. It is written
// before the order, so that no promotion takes effect without one.
type Record struct {
	Service fleet.Service `json:"service"`
	// Term is the lowest term that the order leads to.
	Term fleet.Term `json:"term"`
	// Primary is the instance that is to lead, Former the one that led.
	Primary fleet.Instance `json:"primary"`
	Former  fleet.Instance `json:"former"`
	// By is the host that gave the order.
	By fleet.Host `json:"by"`
	// Revision is the store's of the record's last change; it orders the records.
	Revision uint64 `json:"-"`
}

// PrimaryState is what one host holds of a group's primary. The zero PrimaryState knows none.
//
// The last record names the primary; before the first one the instances' own word
// does. Either is only a name until that instance has said itself, when asked, that
// it is the primary, in a term that is not below the record's: an order may not have
// taken effect yet, or never will.
type PrimaryState struct {
	record  Record
	primary fleet.Instance
	term    fleet.Term
	// settled is set while the primary has said itself that it is one.
	settled bool
	// former is the primary before the last record, with its term, as long as it may
	// still lead.
	former     fleet.Instance
	formerTerm fleet.Term
}

// SetInstances takes in how the instances of the group announce themselves. Without a record
// it is all there is to go by; the current primary is kept while it claims to be one.
func (b *PrimaryState) SetInstances(is []catalog.Instance) {
	if b.record.Revision != 0 {
		return
	}
	claims := make([]fleet.Instance, 0, len(is))
	for _, i := range is {
		if i.Role == fleet.RolePrimary {
			claims = append(claims, i.Name)
		}
	}
	if len(claims) == 0 || slices.Contains(claims, b.primary) {
		return
	}
	slices.Sort(claims)
	b.follow(claims[0])
}

func (b *PrimaryState) follow(i fleet.Instance) {
	b.primary, b.settled = i, false
}

// AddRecord takes in a record and reports whether it is news.
func (b *PrimaryState) AddRecord(r Record) bool {
	if r.Revision <= b.record.Revision {
		return false
	}
	b.record = r
	if b.settled && b.primary == r.Primary && b.term >= r.Term {
		return true
	}
	b.former, b.formerTerm = "", 0
	// The store keeps the last record only. Where a term is left out, an order that this host
	// hasn't heard of has taken effect in between: its primary may have followed this one, whoever
	// gave the last order thought to lead.
	if b.settled && b.primary == r.Former && r.Term <= b.term+1 {
		b.former, b.formerTerm = b.primary, b.term
	}
	b.follow(r.Primary)
	return true
}

// AddStatus takes in what an instance has said of itself and reports whether it
// settles who the primary is.
func (b *PrimaryState) AddStatus(i fleet.Instance, s statement.Status) bool {
	if i == b.former && s.Role != fleet.RolePrimary {
		b.former = ""
	}
	if i != b.primary {
		return false
	}
	if s.Role != fleet.RolePrimary || s.Term < b.record.Term {
		b.settled = false
		return false
	}
	news := !b.settled || b.term != s.Term
	b.settled, b.term, b.former = true, s.Term, ""
	return news
}

// AddRefusal takes in that an instance has refused to work as the primary.
func (b *PrimaryState) AddRefusal(i fleet.Instance) {
	switch i {
	case b.primary:
		b.settled = false
	case b.former:
		b.former = ""
	}
}

// AddLogTerm takes in the term of the last entry in an instance's log. One of a later term than
// that in which a primary was settled shows that another has led since. An earlier one
// shows nothing: a promotion writes no entry.
func (b *PrimaryState) AddLogTerm(i fleet.Instance, t fleet.Term) {
	if i == b.primary && b.settled && t > b.term {
		b.settled = false
	}
	if i == b.former && t > b.formerTerm {
		b.former = ""
	}
}

// Primary returns the instance that leads and its term, once that is settled.
func (b *PrimaryState) Primary() (fleet.Instance, fleet.Term, bool) {
	return b.primary, b.term, b.settled
}

// DesignatedPrimary returns the instance that leads or is to lead, settled or not.
func (b *PrimaryState) DesignatedPrimary() fleet.Instance { return b.primary }

// FormerPrimary returns the primary that the last order replaces, while it may still lead
// because the order has not taken effect.
func (b *PrimaryState) FormerPrimary() (fleet.Instance, fleet.Term, bool) {
	return b.former, b.formerTerm, b.former != "" && !b.settled
}

// Record returns the last record, whose Revision is zero if there is none.
func (b *PrimaryState) Record() Record { return b.record }

// LastTerm returns the highest term that is known of.
func (b *PrimaryState) LastTerm() fleet.Term {
	return max(b.term, b.record.Term, b.formerTerm)
}
