package registry

import (
	"slices"
	"strings"

	"skylarkdeal/core/follow"
)

// changesDivisor is how much smaller than a copy its changes have to be to be sent in its place.
const changesDivisor = 2

// Diff returns the entries that differ between two copies of a part, which are ordered by key, with those that were
// removed marked as deleted. It reports whether they are much fewer than the entries of the new copy.
func Diff(from, to []Entry) (changes []Entry, smaller bool) {
	size := len(to)
	for len(from) > 0 || len(to) > 0 {
		switch {
		case len(to) == 0 || len(from) > 0 && from[0].Key < to[0].Key:
			changes = append(changes, Entry{Key: from[0].Key, Deleted: true})
			from = from[1:]
		case len(from) == 0 || to[0].Key < from[0].Key:
			changes = append(changes, to[0])
			to = to[1:]
		default:
			if !sameContent(from[0], to[0]) {
				changes = append(changes, to[0])
			}
			from, to = from[1:], to[1:]
		}
	}
	return changes, changesDivisor*len(changes) <= size
}

func sameContent(a, b Entry) bool {
	return a.Revision == b.Revision || a.Content != 0 && a.Content == b.Content
}

// apply returns the entries after changes that Diff has returned.
func apply(entries, changes []Entry) []Entry {
	out := make([]Entry, 0, len(entries)+len(changes))
	for len(changes) > 0 {
		c := changes[0]
		n, found := slices.BinarySearchFunc(entries, c.Key, func(e Entry, key string) int {
			return strings.Compare(e.Key, key)
		})
		out = append(out, entries[:n]...)
		entries = entries[n:]
		if found {
			entries = entries[1:]
		}
		if !c.Deleted {
			out = append(out, c)
		}
		changes = changes[1:]
	}
	return append(out, entries...)
}

// Expand returns the whole copy of a part that a copy with only the changes stands for. It returns false if the
// changes are from another version than the one that was last passed on to this host.
func (r *Registry) Expand(p follow.Part, c follow.PartCopy[[]Entry]) (follow.PartCopy[[]Entry], bool) {
	if !c.ChangesOnly {
		return c, true
	}
	switch p {
	case follow.PartCatalog:
		return r.operatorEntries.expand(c)
	case follow.PartInstances:
		return r.instanceList.expand(c)
	case follow.PartRecords:
		// Records are only added or replaced, so that those that are new are enough.
		return c, true
	case follow.PartHosts:
	}
	return c, false
}

func (p *part) expand(c follow.PartCopy[[]Entry]) (follow.PartCopy[[]Entry], bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.wasPassed(c.Base) {
		return c, false
	}
	c.Body, c.ChangesOnly, c.Base = apply(p.passed.Body, c.Body), false, 0
	return c, true
}
