package registry

import (
	"time"

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
		if c.HasBody {
			r.applyCatalog(snapshot{entries: c.Body, lastChange: Revision(c.Version)})
		}
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

// passOn passes a part of the store on to the hosts that follow this one.
func (r *Registry) passOn(p follow.Part, v follow.Version, read time.Time, es []Entry) {
	if r.cfg.PartRead == nil || r.Role() != follow.RoleReader {
		return
	}
	c := follow.PartCopy[[]Entry]{Version: v, ReadAt: read, HasBody: true, Body: es}
	r.cfg.Post(func() { r.cfg.PartRead(p, c) })
}
