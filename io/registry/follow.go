package registry

import (
	"go.uber.org/zap"

	"skylarkdeal/core/follow"
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
	signal(r.roleChanged)
}

// ApplyPart applies a part of the store that another host has read. The ReadAt of c is a time of
// this host's clock that isn't later than that reading.
func (r *Registry) ApplyPart(p follow.Part, c follow.PartCopy[[]Entry]) {
	switch p {
	case follow.PartCatalog:
		if c.CompleteTo == 0 {
			// A host of an earlier build doesn't tell it. Its copy has its last change, at least.
			c.CompleteTo = Revision(c.Version)
		}
		r.operatorEntries.applyCopy(c, r.cfg.Now())
		r.catalogUpdated()
		r.CatalogConfirmed(c.ReadAt)
	case follow.PartInstances:
		if c.HasBody {
			r.applyInstances(c.Body, c.ReadAt)
		}
	case follow.PartRecords:
		if c.HasBody {
			for _, rec := range r.parseRecords(c.Body) {
				r.cfg.Record(rec)
			}
		}
	case follow.PartHosts:
		// Hosts are not applied here: the caller parses them by ParseHosts.
	}
}

// passOn passes a part of the store on to the hosts that follow this one. The copy is made at the moment
// of passing on.
func (r *Registry) passOn(p follow.Part, makeCopy func() follow.PartCopy[[]Entry]) {
	if r.cfg.PartRead == nil || r.Role() != follow.RoleReader {
		return
	}
	r.cfg.Post(func() {
		if c := makeCopy(); c.Version != 0 || c.CompleteTo != 0 {
			r.cfg.PartRead(p, c)
		}
	})
}
