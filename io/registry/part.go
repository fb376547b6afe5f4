package registry

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"skylarkdeal/core/follow"
	"skylarkdeal/core/times"
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
	// version identifies the entries. It is lastChange unless noteChange sets another one.
	version follow.Version
	// inspect is called with each entry that is to be stored and returns it as it is stored and passed on, with what
	// identifies its content; noteRemoval is called with the key of each one that is removed. Both are called with the
	// lock held. They may be nil.
	inspect     func(e Entry) Entry
	noteRemoval func(key string)
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
	p.readAt = times.Later(p.readAt, read)
	if newest, changed := p.merge(es, at, read, now); changed {
		p.changedBy(newest)
	}
}

// applyCopy applies a copy that another host has passed on, and reports whether this host lacks no change
// as of the time of the copy. changedAt is the revision of the change that the copy brings, if any. A copy
// without its body is the last one that had a body, and complete to a higher revision.
func (p *part) applyCopy(c follow.PartCopy[[]Entry], changedAt Revision, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.applyLocked(c, changedAt, now)
}

// applyUnordered applies a copy of a host of an earlier build, which doesn't tell to which revision it is
// complete. Such a copy goes by its time.
func (p *part) applyUnordered(c follow.PartCopy[[]Entry], now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.ReadAt.Before(p.asOf) || !c.HasBody && !p.wasPassed(c.Version) {
		return false
	}
	c.CompleteTo = p.completeTo
	for _, e := range c.Body {
		c.CompleteTo = max(c.CompleteTo, e.Revision)
	}
	return p.applyLocked(c, c.CompleteTo, now)
}

func (p *part) applyLocked(c follow.PartCopy[[]Entry], changedAt Revision, now time.Time) bool {
	switch {
	case c.HasBody:
		p.passed = c
	case c.CompleteTo <= p.completeTo:
		p.asOf = times.Later(p.asOf, c.ReadAt)
		return true
	case !p.wasPassed(c.Version):
		return false
	}
	if _, changed := p.merge(p.passed.Body, c.CompleteTo, c.ReadAt, now); changed {
		p.changedBy(changedAt)
	}
	return true
}

// wasPassed reports whether the last body that another host has passed on is of the version.
func (p *part) wasPassed(v follow.Version) bool { return p.passed.HasBody && p.passed.Version == v }

// merge applies all entries as of a revision and a time. It returns whether anything has changed, and the
// newest revision of a change. Entries up to the given revision that aren't among es have been removed.
func (p *part) merge(es []Entry, at Revision, read, now time.Time) (newest Revision, changed bool) {
	// What the store held at that time, this host's entries lack nothing of if they are complete to a
	// higher revision.
	p.asOf = times.Later(p.asOf, read)
	if at < p.completeTo {
		return 0, false
	}
	listed := make(map[string]struct{}, len(es))
	for _, e := range es {
		listed[e.Key] = struct{}{}
		if p.put(e) {
			newest, changed = max(newest, e.Revision), true
		}
	}
	for key, e := range p.entries {
		if _, ok := listed[key]; !ok && e.Revision <= at {
			// The revision of the removal isn't known, but the entry isn't one of a later revision
			// than that of the list.
			p.remove(key, at, now)
			newest, changed = max(newest, at), true
		}
	}
	maps.DeleteFunc(p.removed, func(_ string, r removal) bool { return r.noticedAt.Before(read) })
	p.completeTo = at
	return newest, changed
}

// applyEvents applies changes, and records that there are no others up to a revision.
func (p *part) applyEvents(es []Entry, at Revision, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest, changed := Revision(0), false
	for _, e := range es {
		at = max(at, e.Revision)
		if e.Revision > p.completeTo && p.applyEvent(e, now) {
			newest, changed = max(newest, e.Revision), true
		}
	}
	p.completeTo = max(p.completeTo, at)
	if changed {
		p.changedBy(newest)
	}
}

// applyEvent applies one change and reports whether it changed anything.
func (p *part) applyEvent(e Entry, now time.Time) bool {
	if !e.Deleted {
		return p.put(e)
	}
	known, ok := p.entries[e.Key]
	if ok && known.Revision > e.Revision {
		// The key was written again since.
		return false
	}
	p.remove(e.Key, e.Revision, now)
	return ok
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
	if p.inspect != nil {
		e = p.inspect(e)
	}
	p.entries[e.Key] = e
	return true
}

func (p *part) remove(key string, at Revision, now time.Time) {
	if p.removed == nil {
		p.removed = map[string]removal{}
	}
	delete(p.entries, key)
	if p.noteRemoval != nil {
		p.noteRemoval(key)
	}
	p.removed[key] = removal{at, now}
}

// changedBy advances lastChange after a change whose newest revision is given. Each change has another
// lastChange, also one that becomes known after a later one.
func (p *part) changedBy(newest Revision) {
	p.lastChange = max(newest, p.lastChange+1)
	p.version, p.ordered = follow.Version(p.lastChange), nil
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
		Version: p.version, CompleteTo: p.completeTo, ReadAt: p.asOf,
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
