package registry

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"skylarkdeal/core/follow"
)

// part is what this host knows of one part of the store: its entries, up to which revision no change is
// missing, and as of when. The zero part is empty. What this host reads goes into it, and what other
// hosts pass on, in any order: a reading or a copy that is complete to a lower revision changes nothing.
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
	// asOf is the latest time as of which no change is missing, by a reading of this host or a copy of
	// another. readAt is when this host last began to read the part.
	asOf, readAt time.Time
	// noteChange is called after each change, in the order of the changes, with the lock held. It may be nil.
	noteChange func(current snapshot)
	// ordered are the entries in the order of their keys, nil after a change.
	ordered []Entry
	// passed is the last copy that another host has passed on with its body.
	passed follow.PartCopy[[]Entry]
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

// applyList applies a list that this host began to read at read and that is complete to a revision. now
// is the current time.
func (p *part) applyList(es []Entry, at Revision, read, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readAt = later(p.readAt, read)
	p.changedBy(p.merge(es, at, read, now))
}

// applyCopy applies a copy that another host has passed on. A copy without its body is the last one that
// had a body, and complete to a higher revision.
func (p *part) applyCopy(c follow.PartCopy[[]Entry], now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := Revision(0)
	switch {
	case c.HasBody:
		p.passed = c
		newest = p.merge(c.Body, c.CompleteTo, c.ReadAt, now)
	case c.CompleteTo <= p.completeTo:
		p.asOf = later(p.asOf, c.ReadAt)
	case p.passed.HasBody && p.passed.Version == c.Version:
		newest = p.merge(p.passed.Body, c.CompleteTo, c.ReadAt, now)
	}
	if newest != 0 {
		p.changedBy(max(newest, Revision(c.Version)))
	}
}

// merge applies all entries as of a revision and a time, and returns the newest revision of a change,
// zero if nothing has changed. Entries up to that revision that aren't among them have been removed.
func (p *part) merge(es []Entry, at Revision, read, now time.Time) Revision {
	// What the store held at that time, this host's entries lack nothing of if they are complete to a
	// higher revision.
	p.asOf = later(p.asOf, read)
	if at < p.completeTo {
		return 0
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
	return newest
}

// applyEvents applies changes, and records that there are no others up to a revision.
func (p *part) applyEvents(es []Entry, at Revision, now time.Time) {
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
	if newest == 0 {
		return
	}
	p.lastChange = max(newest, p.lastChange+1)
	p.ordered = nil
	if p.noteChange != nil {
		p.noteChange(p.snapshot())
	}
}

func (p *part) snapshot() snapshot {
	if p.ordered == nil {
		p.ordered = slices.SortedFunc(maps.Values(p.entries), func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	}
	return snapshot{entries: p.ordered, lastChange: p.lastChange}
}

// copy returns what this host knows, to pass it on.
func (p *part) copy() follow.PartCopy[[]Entry] {
	p.mu.Lock()
	defer p.mu.Unlock()
	return follow.PartCopy[[]Entry]{
		Version: follow.Version(p.lastChange), CompleteTo: p.completeTo, ReadAt: p.asOf,
		HasBody: true, Body: p.snapshot().entries,
	}
}

// completeRevision returns the revision up to which no change is missing.
func (p *part) completeRevision() Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.completeTo
}

// times returns the latest time as of which no change is missing, and when this host last began to read
// the part.
func (p *part) times() (asOf, readAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asOf, p.readAt
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
