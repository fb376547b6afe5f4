package registry

import (
	"go.uber.org/zap"

	"skylarkdeal/core/follow"
	"skylarkdeal/internal/sleep"
)

// Role returns the host's role. Before the first SetRole it is follow.RoleReader.
func (r *Registry) Role() follow.Role {
	if role, ok := r.role.Load().(follow.Role); ok {
		return role
	}
	return follow.RoleReader
}

// SetRole sets the host's role. Run then begins or ends the reader's tasks.
func (r *Registry) SetRole(role follow.Role) {
	if r.role.Swap(role) != role {
		r.cfg.Logger.Info("role", zap.String("role", string(role)))
	}
	sleep.Signal(r.roleChanged)
}

// ApplyPart applies a part of the store that another host has read. The ReadAt of c is a time of
// this host's clock that isn't later than that reading. A copy that is complete to a lower revision than
// what is known here changes nothing. ApplyPart reports whether what is known here lacks no change as of
// ReadAt.
//
// A copy with only the changes has to be expanded before.
func (r *Registry) ApplyPart(p follow.Part, c follow.PartCopy[[]Entry]) bool {
	switch p {
	case follow.PartCatalog:
		return r.applyCatalogCopy(c)
	case follow.PartInstances:
		return r.applyInstancesCopy(c)
	case follow.PartRecords:
		if c.HasBody {
			r.cacheRecords(c.Body, c.CompleteTo, c.ReadAt)
			for _, rec := range r.parseRecords(c.Body) {
				r.cfg.Record(rec)
			}
			r.passOnRecords()
		}
	case follow.PartHosts:
		// Hosts are not applied here: the caller parses them by ParseHosts.
	}
	return false
}

func (r *Registry) applyCatalogCopy(c follow.PartCopy[[]Entry]) bool {
	// The version of a catalog is the revision of its last change.
	changedAt := Revision(c.Version)
	if c.CompleteTo == 0 {
		// A host of an earlier build doesn't tell it.
		c.CompleteTo = changedAt
	}
	if c.CompleteTo == 0 {
		return false
	}
	current := r.operatorEntries.applyCopy(c, changedAt, r.cfg.Now())
	r.catalogUpdated()
	if current {
		r.CatalogConfirmed(c.ReadAt)
	}
	return current
}

func (r *Registry) applyInstancesCopy(c follow.PartCopy[[]Entry]) (current bool) {
	before, _ := r.InstancesDigest()
	if c.CompleteTo == 0 {
		current = r.instanceList.applyUnordered(c, r.cfg.Now())
	} else {
		current = r.instanceList.applyCopy(c, c.CompleteTo, r.cfg.Now())
	}
	if after, _ := r.InstancesDigest(); after != before || c.HasBody && current {
		r.reportInstances()
	}
	r.passOn(follow.PartInstances, r.instanceList.copy)
	return current
}

// passOn has a part of the store passed on to the hosts that follow this one, as it is known at that
// moment. A follower does so too, for those that it passes it on to once it is a reader: before its first
// list it has nothing newer than what its own reader passed on.
func (r *Registry) passOn(p follow.Part, makeCopy func() follow.PartCopy[[]Entry]) {
	if r.cfg.PartRead == nil {
		return
	}
	r.cfg.Post(func() {
		if c := makeCopy(); c.Version != 0 || c.CompleteTo != 0 {
			r.cfg.PartRead(p, c)
		}
	})
}
