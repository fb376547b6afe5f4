package registry

import (
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/follow"
)

// Role returns the role that the host has.
func (r *Registry) Role() follow.Role {
	if x, ok := r.role.Load().(follow.Role); ok {
		return x
	}
	return follow.RoleReader
}

// SetRole has the host take a role.
func (r *Registry) SetRole(x follow.Role) {
	if r.role.Swap(x) != x {
		r.cfg.Logger.Info("role", zap.String("role", string(x)))
	}
	signal(r.changed)
}

// ApplyPart takes in a part of the store that another host has read, under a moment of this host's
// clock that isn't after its reading.
func (r *Registry) ApplyPart(p follow.Part, c follow.PartCopy[[]Entry]) {
	switch p {
	case follow.PartCatalog:
		if c.HasBody {
			r.takeCatalog(snapshot{entries: c.Body, changed: Revision(c.Version)})
		}
		r.CatalogConfirmed(c.ReadAt)
	case follow.PartInstances:
		if c.HasBody {
			r.takeInstances(c.Body, c.ReadAt)
		}
	case follow.PartRecords:
		if c.HasBody {
			for _, rec := range r.parseRecords(c.Body) {
				r.cfg.Record(rec)
			}
		}
	case follow.PartHosts:
		// They are no part of what the store tells: see ParseHosts.
	}
}

// copied hands on a part of the store for the hosts that follow this one.
func (r *Registry) copied(p follow.Part, v follow.Version, read time.Time, es []Entry) {
	if r.cfg.PartRead == nil || r.Role() != follow.RoleReader {
		return
	}
	c := follow.PartCopy[[]Entry]{Version: v, ReadAt: read, HasBody: true, Body: es}
	r.cfg.Post(func() { r.cfg.PartRead(p, c) })
}
