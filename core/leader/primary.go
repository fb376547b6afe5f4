// Package leader decides which instance is the primary of a database group: which instance a host
// takes for it, when it counts as unreachable, and which instance to promote instead.
//
// An instance is promoted by a promotion request to the platform, which carries it out some time
// later and can't cancel it. The platform's store keeps a record of each request.
package leader

import (
	"slices"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/statement"
)

// Record is the store's record of the last promotion request for a group. It is written before the
// request is sent, so that no promotion takes effect without a record.
type Record struct {
	Service fleet.Service `json:"service"`
	// Term is the lowest term that the promotion can start.
	Term fleet.Term `json:"term"`
	// Primary is the instance to be promoted, Former the primary that it replaces.
	Primary fleet.Instance `json:"primary"`
	Former  fleet.Instance `json:"former"`
	// By is the host that sent the promotion request.
	By fleet.Host `json:"by"`
	// Revision is the store's revision of the last change of the record. It orders the records.
	Revision uint64 `json:"-"`
}

// PrimaryState is what one host knows about a group's primary. The zero PrimaryState knows of no
// primary.
//
// The last record names the designated primary. Before the first record, the instances'
// registrations do. The designated primary counts as confirmed only once it has itself reported, in
// answer to a status request, that it is the primary, in a term that is not below the record's: the
// promotion may not have taken effect yet, or may never do so.
type PrimaryState struct {
	record  Record
	primary fleet.Instance
	term    fleet.Term
	// confirmed is set while the designated primary has itself reported that it is the primary.
	confirmed bool
	// heardTerm is the latest term that an instance has reported.
	heardTerm fleet.Term
	// former is the primary before the last record and formerTerm its term. former is empty once
	// that instance can't be the primary any more.
	former     fleet.Instance
	formerTerm fleet.Term
}

// SetInstances sets the registered instances of the group. They name the primary only while there
// is no record. The current primary is kept as long as its registration has the role of a primary.
func (p *PrimaryState) SetInstances(instances []catalog.Instance) {
	if p.record.Revision != 0 {
		return
	}
	claimants := make([]fleet.Instance, 0, len(instances))
	for _, i := range instances {
		if i.Role == fleet.RolePrimary {
			claimants = append(claimants, i.Name)
		}
	}
	if len(claimants) == 0 || slices.Contains(claimants, p.primary) {
		return
	}
	slices.Sort(claimants)
	p.setPrimary(claimants[0])
}

func (p *PrimaryState) setPrimary(i fleet.Instance) {
	p.primary, p.confirmed = i, false
}

// AddRecord adds a record of the store and reports whether it is newer than the last one.
func (p *PrimaryState) AddRecord(r Record) bool {
	if r.Revision <= p.record.Revision {
		return false
	}
	repeated := p.isRepeated(r)
	p.record = r
	if repeated || p.confirmed && p.primary == r.Primary && p.term >= r.Term {
		return true
	}
	p.former, p.formerTerm = "", 0
	// The store keeps only the last record. If the record's term is more than one above this host's
	// term, a promotion that this host doesn't know of has taken effect in between. Its primary may
	// have replaced this one, whichever instance the record names as the former primary.
	if p.confirmed && p.primary == r.Former && r.Term <= p.term+1 {
		p.former, p.formerTerm = p.primary, p.term
	}
	p.setPrimary(r.Primary)
	return true
}

// isRepeated reports whether a record requests once more the promotion that is pending, in place of the same former
// primary. That one goes on as before: it may still lead.
func (p *PrimaryState) isRepeated(r Record) bool {
	return !p.confirmed && p.former != "" && r.Primary == p.primary && r.Former == p.former && r.Term <= p.formerTerm+1
}

// AddStatus adds a status report of an instance. It reports whether the report confirms the
// primary, or confirms it in another term than before.
func (p *PrimaryState) AddStatus(i fleet.Instance, s statement.Status) bool {
	p.heardTerm = max(p.heardTerm, s.Term)
	if i == p.former && s.Role != fleet.RolePrimary {
		p.former = ""
	}
	if i != p.primary {
		return false
	}
	if s.Role != fleet.RolePrimary || s.Term < p.record.Term {
		p.confirmed = false
		return false
	}
	changed := !p.confirmed || p.term != s.Term
	p.confirmed, p.term, p.former = true, s.Term, ""
	return changed
}

// AddRefusal notes that an instance has refused to act as the primary.
func (p *PrimaryState) AddRefusal(i fleet.Instance) {
	switch i {
	case p.primary:
		p.confirmed = false
	case p.former:
		p.former = ""
	}
}

// AddLogTerm adds the term of the last entry in an instance's log. A term later than the one in
// which the primary was confirmed shows that another instance has been the primary since. An
// earlier term shows nothing, because a promotion on a prepared machine writes no log entry.
func (p *PrimaryState) AddLogTerm(i fleet.Instance, t fleet.Term) {
	if i == p.primary && p.confirmed && t > p.term {
		p.confirmed = false
	}
	if i == p.former && t > p.formerTerm {
		p.former = ""
	}
}

// Primary returns the designated primary, its term, and whether it is confirmed.
func (p *PrimaryState) Primary() (fleet.Instance, fleet.Term, bool) {
	return p.primary, p.term, p.confirmed
}

// DesignatedPrimary returns the instance that is the primary or is to become it, confirmed or not.
func (p *PrimaryState) DesignatedPrimary() fleet.Instance { return p.primary }

// FormerPrimary returns the primary that the last promotion request replaces, and its term, while
// it may still be the primary because the promotion has not taken effect.
func (p *PrimaryState) FormerPrimary() (fleet.Instance, fleet.Term, bool) {
	return p.former, p.formerTerm, p.former != "" && !p.confirmed
}

// Record returns the last record. Its Revision is zero if there is none.
func (p *PrimaryState) Record() Record { return p.record }

// begunTerm returns the latest term that this host knows to have begun.
func (p *PrimaryState) begunTerm() fleet.Term { return max(p.term, p.heardTerm) }

// LastTerm returns the highest known term.
func (p *PrimaryState) LastTerm() fleet.Term {
	return max(p.term, p.record.Term, p.formerTerm)
}
