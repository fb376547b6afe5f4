package registry_test

import (
	"maps"
	"strings"
	"time"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/follow"
	"skylarkdeal/io/registry"
)

// adopt takes a catalog as the relay does. The registry has to report them in order.
func (h *modelHost) adopt(c *catalog.Catalog) {
	if !c.Newer(h.inForce) {
		h.m.fail("host %d: catalog %d of %d reported after %d of %d", h.name, c.Version, c.Revision,
			h.inForce.Version, h.inForce.Revision)
		return
	}
	h.inForce = c
	h.checkStates("catalog", revisions(c))
	h.checkPassedOn()
}

// checkPassedOn checks that what the host passes on is no older than what it has in force.
func (h *modelHost) checkPassedOn() {
	if h.inForce == nil {
		return
	}
	o := h.copies.UpdatesFor(map[follow.Part]follow.Version{})[follow.PartCatalog]
	passed, err := describe(o.Body)
	if err != nil || catalog.Revision(o.Version) < h.inForce.Revision || passed.Version < h.inForce.Version {
		h.m.fail("host %d passes on %v of %d with %d of %d in force", h.name, o.Body, o.Version,
			h.inForce.Version, h.inForce.Revision)
	}
}

// checkComplete checks that a copy lacks no change up to its revision, and as of its time.
func (h *modelHost) checkComplete(p follow.Part, c follow.PartCopy[[]registry.Entry]) {
	prefix := map[follow.Part]string{follow.PartCatalog: "catalog", follow.PartInstances: "instances/"}[p]
	if prefix == "" {
		return
	}
	has := map[string]registry.Revision{}
	for _, e := range c.Body {
		has[e.Key] = e.Revision
	}
	h.m.mu.Lock()
	due, removed := map[string]registry.Entry{}, map[string]registry.Revision{}
	late := registry.Revision(0)
	for n, e := range h.m.log {
		if e.Revision > c.CompleteTo && h.m.times[n].Before(c.ReadAt) {
			late = e.Revision
		}
		if strings.HasPrefix(e.Key, prefix) && e.Revision <= c.CompleteTo {
			due[e.Key] = e
		}
		if e.Deleted {
			removed[e.Key] = e.Revision
		}
	}
	h.m.mu.Unlock()
	if late != 0 {
		h.m.fail("host %d: a copy complete to %d as of %v has no change of %d", h.name, c.CompleteTo, c.ReadAt, late)
	}
	for key, e := range due {
		rev, ok := has[key]
		if ok && (rev < e.Revision || e.Deleted && rev == e.Revision) || !ok && !e.Deleted && removed[key] < e.Revision {
			h.m.fail("host %d: a copy complete to %d has %s of %d, not of %d", h.name, c.CompleteTo, key, rev, e.Revision)
		}
	}
}

func (h *modelHost) setInstances(is []catalog.Instance, asOf time.Time) {
	if asOf.Before(h.asOf) {
		h.m.fail("host %d: list as of %v after %v", h.name, asOf, h.asOf)
	}
	h.asOf, h.present = asOf, map[string]int{}
	for _, i := range is {
		h.present[i.Address] = i.Slots
	}
	h.checkStates("instances/", h.present)
}

// checkStates checks that no entry with a prefix goes back to an earlier state that the host has had.
func (h *modelHost) checkStates(prefix string, present map[string]int) {
	for key, rev := range present {
		if last := h.states[key]; 2*rev < last {
			h.m.fail("host %d: %s of %d after %d (odd: removed)", h.name, key, 2*rev, last)
		}
		h.states[key] = 2 * rev
	}
	for key := range h.states {
		if _, ok := present[key]; !ok && strings.HasPrefix(key, prefix) {
			h.states[key] |= 1
		}
	}
}

// checkLast checks that the host has what the store has.
func (h *modelHost) checkLast() {
	got := map[string]int{}
	if h.inForce != nil {
		got = revisions(h.inForce)
	}
	maps.Copy(got, h.present)
	es, _ := h.m.entriesOf("", func(string) bool { return true })
	want := map[string]int{}
	for _, e := range es {
		want[e.Key] = int(e.Revision)
	}
	if !maps.Equal(got, want) {
		h.m.fail("host %d (reads: %t) has %v at last, the store %v", h.name, h.reads, got, want)
	}
}
