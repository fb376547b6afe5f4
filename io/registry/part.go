package registry

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// part is what this host knows of one part of the store. The zero part is empty.
//
// Responses of the store may arrive out of order, and the pages of a list are no snapshot: it is
// complete only to the revision of its first page, and later pages may be newer. Each entry therefore
// goes by its own revision. Without the revisions, a list that was read before an evacuation and arrives
// after it would undo the evacuation.
type part struct {
	mu      sync.Mutex
	entries map[string]Entry
	// removed are entries that have been removed, as far as a response on its way may still have them.
	removed map[string]removal
	// completeTo is the revision up to which no change is missing, lastChange that of the last change.
	completeTo, lastChange Revision
}

// removal is the removal of an entry: an entry of this revision or an earlier one doesn't come back.
type removal struct {
	revision Revision
	// noticedAt is when the removal became known. A list that was begun later can't have the entry.
	noticedAt time.Time
}

// snapshot is a copy of all entries, ordered by key. It isn't changed any more.
type snapshot struct {
	entries    []Entry
	lastChange Revision
}

// index returns the index of the entry with a key, -1 if there is none.
func (s snapshot) index(key string) int {
	return slices.IndexFunc(s.entries, func(e Entry) bool { return e.Key == key })
}

// applyList applies a list that was begun at read and is complete to a revision, and reports whether
// anything has changed. Entries up to that revision that aren't in the list have been removed. now is
// the current time.
func (p *part) applyList(es []Entry, at Revision, read, now time.Time) (snapshot, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at < p.completeTo {
		return p.snapshot(), false
	}
	newest := Revision(0)
	listed := make(map[string]struct{}, len(es))
	for _, e := range es {
		listed[e.Key] = struct{}{}
		if p.put(e) {
			newest = max(newest, e.Revision)
		}
	}
	for key, e := range p.entries {
		if _, ok := listed[key]; !ok && e.Revision <= at {
			// The revision of the removal isn't known, but the entry isn't one of a later revision
			// than that of the list.
			p.remove(key, at, now)
			newest = max(newest, at)
		}
	}
	maps.DeleteFunc(p.removed, func(_ string, r removal) bool { return r.noticedAt.Before(read) })
	p.completeTo = at
	p.changedBy(newest)
	return p.snapshot(), newest != 0
}

// applyEvents applies changes, and records that there are no others up to a revision. It reports
// whether any of them is new.
func (p *part) applyEvents(es []Entry, at Revision, now time.Time) (snapshot, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := Revision(0)
	for _, e := range es {
		at = max(at, e.Revision)
		known, ok := p.entries[e.Key]
		switch {
		case e.Revision <= p.completeTo:
		case !e.Deleted:
			if p.put(e) {
				newest = max(newest, e.Revision)
			}
		case !ok || known.Revision < e.Revision:
			p.remove(e.Key, e.Revision, now)
			if ok {
				newest = max(newest, e.Revision)
			}
		}
	}
	p.completeTo = max(p.completeTo, at)
	p.changedBy(newest)
	return p.snapshot(), newest != 0
}

// put stores an entry unless a newer state of its key is known, and reports whether it did.
func (p *part) put(e Entry) bool {
	if known, ok := p.entries[e.Key]; ok && e.Revision <= known.Revision {
		return false
	}
	if r, ok := p.removed[e.Key]; ok && e.Revision <= r.revision {
		return false
	}
	if p.entries == nil {
		p.entries = map[string]Entry{}
	}
	p.entries[e.Key] = e
	return true
}

func (p *part) remove(key string, at Revision, now time.Time) {
	if p.removed == nil {
		p.removed = map[string]removal{}
	}
	delete(p.entries, key)
	p.removed[key] = removal{at, now}
}

// changedBy advances lastChange after a change whose newest revision is given, zero for no change. Each
// change has another lastChange, also one that becomes known after a later one.
func (p *part) changedBy(newest Revision) {
	if newest != 0 {
		p.lastChange = max(newest, p.lastChange+1)
	}
}

func (p *part) snapshot() snapshot {
	return snapshot{
		entries:    slices.SortedFunc(maps.Values(p.entries), func(a, b Entry) int { return strings.Compare(a.Key, b.Key) }),
		lastChange: p.lastChange,
	}
}

// completeRevision returns the revision up to which no change is missing.
func (p *part) completeRevision() Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.completeTo
}
