package registry

import (
	"maps"
	"slices"
	"strings"
	"sync"
)

// operatorEntries holds the entries that operators have written to the store, as far as this host
// knows them. The zero operatorEntries is empty.
//
// Responses of the store may arrive out of order. Without the revisions, a list that was read before
// an evacuation and arrives after it would undo the evacuation.
type operatorEntries struct {
	mu      sync.Mutex
	entries map[string]Entry
	// completeTo is the revision up to which no change is missing, lastChange the revision of the
	// last change.
	completeTo, lastChange Revision
}

// snapshot is a copy of all operators' entries, ordered by key.
type snapshot struct {
	entries    []Entry
	lastChange Revision
}

// index returns the index of the entry with a key, -1 if there is none.
func (s snapshot) index(key string) int {
	return slices.IndexFunc(s.entries, func(e Entry) bool { return e.Key == key })
}

// applyList replaces the entries by a list read at a revision, and reports whether anything has
// changed. Entries that aren't in the list have been removed.
func (w *operatorEntries) applyList(es []Entry, at Revision) (snapshot, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range es {
		// An entry on a later page of the list may be newer than the revision of the first page.
		at = max(at, e.Revision)
	}
	if at < w.completeTo {
		return w.snapshot(), false
	}
	fresh := make(map[string]Entry, len(es))
	changed := Revision(0)
	same := len(es) == len(w.entries)
	for _, e := range es {
		fresh[e.Key] = e
		changed = max(changed, e.Revision)
		same = same && w.entries[e.Key].Revision == e.Revision
	}
	w.entries, w.completeTo = fresh, at
	if same {
		return w.snapshot(), false
	}
	if changed <= w.lastChange {
		// An entry was removed, or a watch missed a change. The revision of that change isn't
		// known, but it isn't later than that of the list.
		changed = max(at, w.lastChange+1)
	}
	w.lastChange = changed
	return w.snapshot(), true
}

// applyEvents applies changes, and records that there are no others up to a revision. It reports
// whether any of them is new.
func (w *operatorEntries) applyEvents(es []Entry, at Revision) (snapshot, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := false
	if w.entries == nil {
		w.entries = map[string]Entry{}
	}
	for _, e := range es {
		if e.Revision <= w.completeTo {
			continue
		}
		changed = true
		w.lastChange = max(w.lastChange, e.Revision)
		if e.Deleted {
			delete(w.entries, e.Key)
			continue
		}
		w.entries[e.Key] = e
	}
	w.completeTo = max(w.completeTo, w.lastChange, at)
	return w.snapshot(), changed
}

func (w *operatorEntries) snapshot() snapshot {
	return snapshot{
		entries:    slices.SortedFunc(maps.Values(w.entries), func(a, b Entry) int { return strings.Compare(a.Key, b.Key) }),
		lastChange: w.lastChange,
	}
}

// completeRevision returns the revision up to which no change is missing.
func (w *operatorEntries) completeRevision() Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.completeTo
}
