package registry

import (
	"maps"
	"slices"
	"strings"
	"sync"
)

// written is what operators have written to the store, as far as it is known here. The zero written
// knows nothing.
//
// The guard is against readings that overtake each other: a list that was read before an
// evacuation, and comes after it, would have the data centre used again.
type written struct {
	mu      sync.Mutex
	entries map[string]Entry
	// known is the revision up to which nothing is missing, changed that of the last change.
	known, changed Revision
}

// snapshot is all that operators have written, in the order of the keys.
type snapshot struct {
	entries []Entry
	changed Revision
}

// find returns where the entry under a key stands, -1 if there is none.
func (s snapshot) find(key string) int {
	return slices.IndexFunc(s.entries, func(e Entry) bool { return e.Key == key })
}

// list takes in all entries as they stood at a revision, and reports whether there are news. What
// isn't among them has been removed.
func (w *written) list(es []Entry, at Revision) (snapshot, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range es {
		// An entry on a later page may be newer than the first one.
		at = max(at, e.Revision)
	}
	if at < w.known {
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
	w.entries, w.known = fresh, at
	if same {
		return w.snapshot(), false
	}
	if changed <= w.changed {
		// Something was removed, or a watch has passed over a change. When isn't known, but not after
		// the list was read.
		changed = max(at, w.changed+1)
	}
	w.changed = changed
	return w.snapshot(), true
}

// events takes in changes, and that nothing else has changed up to a revision.
func (w *written) events(es []Entry, at Revision) (snapshot, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	news := false
	if w.entries == nil {
		w.entries = map[string]Entry{}
	}
	for _, e := range es {
		if e.Revision <= w.known {
			continue
		}
		news = true
		w.changed = max(w.changed, e.Revision)
		if e.Deleted {
			delete(w.entries, e.Key)
			continue
		}
		w.entries[e.Key] = e
	}
	w.known = max(w.known, w.changed, at)
	return w.snapshot(), news
}

func (w *written) snapshot() snapshot {
	return snapshot{
		entries: slices.SortedFunc(maps.Values(w.entries), func(a, b Entry) int { return strings.Compare(a.Key, b.Key) }),
		changed: w.changed,
	}
}

// upTo returns the revision up to which nothing is missing.
func (w *written) upTo() Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.known
}
