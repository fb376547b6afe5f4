package registry_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/follow"
	"skylarkdeal/io/registry"
)

// modelHost is one host. Its fields are used by its loop only.
type modelHost struct {
	m        *fleetModel
	name     int
	registry *registry.Registry
	posted   chan func()
	copies   follow.PartCache[[]registry.Entry]
	// reads is set while the host reads the store. session counts its subscriptions; what comes under
	// an earlier one is ignored.
	reads     bool
	session   int
	followers map[*modelHost]*modelFollower
	inForce   *catalog.Catalog
	asOf      time.Time
	// states are twice the revisions of the entries in use by key, plus one once the entry was removed.
	states map[string]int
	// present are the entries in use.
	present map[string]int
}

// modelFollower is what a reader knows of a follower. What it sends over link arrives late, in order.
type modelFollower struct {
	session int
	has     map[follow.Part]follow.Version
	link    chan func()
}

func (m *fleetModel) startHost(ctx context.Context, name int) *modelHost {
	h := &modelHost{
		m: m, name: name, reads: true, posted: make(chan func(), 10000),
		followers: map[*modelHost]*modelFollower{}, states: map[string]int{},
	}
	cfg := config(newMemStore(), &callbackLog{}, 0, time.Second, 0)
	cfg.Store, cfg.Post = m.store(), func(f func()) { h.posted <- f }
	cfg.ParseCatalog = func(es []registry.Entry) (*catalog.Catalog, error) {
		m.delay(100 * time.Millisecond)
		return describe(es)
	}
	cfg.ParseInstance = func(e registry.Entry) (catalog.Instance, error) {
		return catalog.Instance{Address: e.Key, Slots: int(e.Revision)}, nil
	}
	cfg.Catalog, cfg.Instances = h.adopt, h.setInstances
	cfg.Hosts = func([]registry.Host) {}
	cfg.PartRead = func(p follow.Part, c follow.PartCopy[[]registry.Entry]) {
		h.checkComplete(p, c)
		h.copies.Put(p, c)
		h.tellAll()
	}
	cfg.RegistrationRenewed, cfg.RegistrationLost = func(time.Time) { h.tellAll() }, func() {}
	cfg.CoordinatorChanged = func(bool) {}
	h.registry = registry.New(cfg)
	go run(ctx, h.posted)
	return h
}

// run calls the functions sent to a loop.
func run(ctx context.Context, loop <-chan func()) {
	for {
		select {
		case f := <-loop:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// describe returns a catalog that names the revision of each entry.
func describe(es []registry.Entry) (*catalog.Catalog, error) {
	c := &catalog.Catalog{Evacuated: fleet.NewSet[fleet.DataCentre]()}
	for _, e := range es {
		c.Evacuated.Add(fleet.DataCentre(fmt.Sprintf("%s %d", e.Key, e.Revision)))
		if e.Key == "catalog" {
			if _, err := fmt.Sscan(string(e.Value), &c.Version); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

// revisions returns the revisions that describe has noted, by key.
func revisions(c *catalog.Catalog) map[string]int {
	out := map[string]int{}
	for dc := range c.Evacuated {
		key, rev, _ := strings.Cut(string(dc), " ")
		out[key], _ = strconv.Atoi(rev)
	}
	return out
}

func (h *modelHost) tellAll() {
	if !h.reads {
		return
	}
	h.checkPassedOn()
	for to, f := range h.followers {
		h.tell(to, f)
	}
}

func (h *modelHost) tell(to *modelHost, f *modelFollower) {
	parts, session := h.copies.UpdatesFor(f.has), f.session
	f.link <- func() {
		to.posted <- func() {
			if to.session != session || to.reads {
				return
			}
			for p, c := range parts {
				to.registry.ApplyPart(p, c)
			}
		}
	}
}

// follow has the host follow a reader. It is called on the host's loop.
func (h *modelHost) follow(ctx context.Context, reader *modelHost) {
	h.session++
	session := h.session
	go func() {
		h.m.delay(100 * time.Millisecond)
		reader.posted <- func() {
			f := reader.followers[h]
			if f == nil {
				f = &modelFollower{link: make(chan func(), 10000)}
				reader.followers[h] = f
				go run(ctx, delayed(ctx, h.m, f.link))
			}
			if f.session > session {
				// A link keeps requests in order.
				return
			}
			f.session, f.has = session, map[follow.Part]follow.Version{}
			if reader.reads {
				reader.tell(h, f)
			}
		}
	}()
}

// delayed returns a channel on which what is sent to link comes late, in order.
func delayed(ctx context.Context, m *fleetModel, link <-chan func()) <-chan func() {
	out := make(chan func())
	go func() {
		for {
			select {
			case f := <-link:
				m.delay(300 * time.Millisecond)
				select {
				case out <- f:
				case <-ctx.Done():
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}

// setReads sets the host's role. It is called on the host's loop.
func (h *modelHost) setReads(reads bool) {
	h.reads = reads
	if reads {
		h.session++
		h.registry.SetRole(follow.RoleReader)
		return
	}
	clear(h.followers)
	h.registry.SetRole(follow.RoleFollower)
}
