package registry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"skylarkdeal/io/registry"
)

// fleetModel is a store and hosts that read it or follow one that does. Lists and watches are answered late
// and in any order, a catalog takes long to parse, and copies are late on their way.
type fleetModel struct {
	mu  sync.Mutex
	rng *rand.Rand
	// log are all changes, the revision of which is their index plus firstRevision; times are when they
	// were made.
	log     []registry.Entry
	times   []time.Time
	changed chan struct{}
	// pages makes lists of two pages, the first of which ends before the keys with a slash.
	pages bool
	// faults is set while calls fail.
	faults    bool
	hosts     []*modelHost
	violation string
}

const firstRevision = 100

func (m *fleetModel) fail(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// delay pauses for up to limit. A short pause is as likely as a long one.
func (m *fleetModel) delay(limit time.Duration) {
	m.mu.Lock()
	if m.rng.IntN(2) == 0 {
		limit /= 20
	}
	d := time.Duration(m.rng.Int64N(int64(limit)))
	m.mu.Unlock()
	time.Sleep(d)
}

func (m *fleetModel) write(e registry.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e.Revision = registry.Revision(firstRevision + len(m.log))
	m.log, m.times = append(m.log, e), append(m.times, time.Now())
	close(m.changed)
	m.changed = make(chan struct{})
}

// entriesOf returns the current entries with a prefix for which has is true, and the store's revision.
func (m *fleetModel) entriesOf(prefix string, has func(key string) bool) ([]registry.Entry, registry.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	latest := map[string]registry.Entry{}
	for _, e := range m.log {
		latest[e.Key] = e
	}
	var out []registry.Entry
	for k, e := range latest {
		if strings.HasPrefix(k, prefix) && has(k) && !e.Deleted {
			out = append(out, e)
		}
	}
	return out, registry.Revision(firstRevision + len(m.log) - 1)
}

func (m *fleetModel) failing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults && m.rng.IntN(10) == 0
}

func (m *fleetModel) list(_ context.Context, prefix string) ([]registry.Entry, registry.Revision, error) {
	m.delay(200 * time.Millisecond)
	if m.failing() {
		return nil, 0, errDown
	}
	first := func(key string) bool { return !m.pages || !strings.Contains(key, "/") }
	es, at := m.entriesOf(prefix, first)
	if m.pages {
		m.delay(200 * time.Millisecond)
		rest, _ := m.entriesOf(prefix, func(key string) bool { return !first(key) })
		es = append(es, rest...)
	}
	m.delay(400 * time.Millisecond)
	return es, at, nil
}

func (m *fleetModel) watch(
	ctx context.Context, prefix string, after registry.Revision, wait time.Duration,
) ([]registry.Entry, registry.Revision, error) {
	end := time.After(wait)
	for {
		m.mu.Lock()
		var out []registry.Entry
		for _, e := range m.log {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				out = append(out, e)
			}
		}
		at, changed := registry.Revision(firstRevision+len(m.log)-1), m.changed
		m.mu.Unlock()
		if len(out) > 0 {
			m.delay(400 * time.Millisecond)
			if m.failing() {
				return nil, 0, registry.ErrCompacted
			}
			return out, at, nil
		}
		select {
		case <-changed:
		case <-end:
			return nil, at, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (m *fleetModel) store() registry.Store {
	return registry.Store{
		List: m.list, Watch: m.watch,
		Commit: func(context.Context, registry.Txn) (registry.Revision, error) { return 1, nil },
		Grant:  func(context.Context, time.Duration) (registry.LeaseID, error) { return 1, nil },
		Renew:  func(context.Context, registry.LeaseID) error { return nil },
		Revoke: func(context.Context, registry.LeaseID) error { return nil },
	}
}
