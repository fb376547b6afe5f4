package registry

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/follow"
	"skylarkdeal/core/mesh"
	"skylarkdeal/internal/pause"
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

// Take takes in a part of the store that another host has read, under a moment of this host's
// clock that isn't after its reading.
func (r *Registry) Take(p follow.Part, c follow.Copy[[]Entry]) {
	switch p {
	case follow.PartCatalog:
		if c.Whole {
			r.takeCatalog(snapshot{entries: c.Body, changed: Revision(c.Version)})
		}
		r.CatalogConfirmed(c.Read)
	case follow.PartInstances:
		if c.Whole {
			r.takeInstances(c.Body, c.Read)
		}
	case follow.PartRecords:
		if c.Whole {
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
	if r.cfg.Copied == nil || r.Role() != follow.RoleReader {
		return
	}
	c := follow.Copy[[]Entry]{Version: v, Read: read, Whole: true, Body: es}
	r.cfg.Post(func() { r.cfg.Copied(p, c) })
}

// countKey holds the number of hosts, for hosts that start when no other runs. One list has it and
// the registrations.
func (r *Registry) countKey() string { return r.cfg.Prefix + "hosts-count" }

// censusPrefix starts the registrations and countKey.
func (r *Registry) censusPrefix() string { return r.cfg.Prefix + "hosts" }

// censusSpread spreads the second look of hosts of the same capacity, by about as long as it takes
// to register.
const censusSpread = 200 * time.Millisecond

// census finds out with which role the host begins.
//
// The load it is made for: hundreds of hosts that start at once, as after a loss of power, each with
// a dozen calls to a store that it shares with all others. A small fleet, where each reads for
// itself, must not wait for that; so the number of hosts stands in the store.
func (r *Registry) census(ctx context.Context) follow.Role {
	for n := range 2 {
		if n > 0 {
			pause.For(ctx, follow.FirstWait(r.cfg.Self.Capacity)+rand.N(censusSpread))
		}
		hs, count, err := r.countHosts(ctx)
		switch {
		case err != nil:
			r.up.failed(err)
			return follow.RoleReader
		case count > 0 && !mesh.Large(count):
			return follow.RoleReader
		case slices.ContainsFunc(hs, func(h Host) bool {
			return h.DataCentre == r.cfg.Self.DataCentre && h.Name != r.cfg.Self.Name
		}):
			return follow.RoleFollower
		}
	}
	return follow.RoleReader
}

func (r *Registry) countHosts(ctx context.Context) ([]Host, int, error) {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	es, _, err := r.cfg.Store.List(c, r.censusPrefix())
	if err != nil {
		return nil, 0, err
	}
	count := 0
	for _, e := range es {
		if e.Key == r.countKey() {
			if count, err = strconv.Atoi(string(e.Value)); err != nil {
				r.cfg.Logger.Error("unreadable number of hosts", zap.Error(err))
			}
		}
	}
	es = slices.DeleteFunc(es, func(e Entry) bool { return !strings.HasPrefix(e.Key, r.hostsPrefix()) })
	hs := r.ParseHosts(es)
	r.counted = true
	r.told.Store(int64(count))
	r.cfg.Post(func() {
		r.cfg.Hosts(hs)
		r.cfg.Count(count)
	})
	return hs, count, nil
}

// SetSize tells how many hosts there are.
func (r *Registry) SetSize(n int) { r.size.Store(int64(n)) }

const (
	// sizeAfter is how long after its start a host takes the number of hosts that it knows for
	// all, sizeEvery how often it is looked at.
	sizeAfter = 8 * time.Second
	sizeEvery = 2 * time.Second
)

// keepSize keeps the number of hosts in the store, as far as it tells a large fleet from a small
// one. The holder of the duty does so.
func (r *Registry) keepSize(ctx context.Context) {
	if !r.cfg.Census {
		return
	}
	pause.Every(ctx, sizeEvery, func() {
		n, told := int(r.size.Load()), int(r.told.Load())
		stands := told > 0 && mesh.Large(told) == mesh.Large(n)
		if n == 0 || stands || r.fence.Load() == 0 || time.Since(r.began) < sizeAfter {
			return
		}
		c, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		put := Put{Key: r.countKey(), Value: []byte(strconv.Itoa(n))}
		if _, err := r.cfg.Store.Commit(c, Txn{Put: []Put{put}}); err != nil {
			r.cfg.Logger.Warn("number of hosts not written", zap.Error(failure.At(err, "write the number of hosts", "store")))
			return
		}
		r.told.Store(int64(n))
	})
}
