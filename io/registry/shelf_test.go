package registry_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"skylarkdeal/io/registry"
)

// shelf is a small store in memory, with faults that a test sets.
type shelf struct {
	mu       sync.Mutex
	revision registry.Revision
	entries  map[string]registry.Entry
	leases   map[registry.LeaseID]time.Time
	next     registry.LeaseID
	calls    map[string]int
	changed  chan struct{}
	// down refuses all calls; deaf has watches hear nothing.
	down, deaf bool
	// lose runs the next commits and answers with an error.
	lose int
}

var errDown = errors.New("no answer")

func newShelf() *shelf {
	return &shelf{
		revision: 10, entries: map[string]registry.Entry{}, leases: map[registry.LeaseID]time.Time{},
		calls: map[string]int{}, changed: make(chan struct{}),
	}
}

func (s *shelf) enter(name string) error {
	s.calls[name]++
	for l, end := range s.leases {
		if time.Now().After(end) {
			s.end(l)
		}
	}
	if s.down {
		return errDown
	}
	return nil
}

func (s *shelf) end(l registry.LeaseID) {
	delete(s.leases, l)
	for k, e := range s.entries {
		if e.Lease == l {
			delete(s.entries, k)
			s.stir()
		}
	}
}

func (s *shelf) stir() {
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *shelf) list(_ context.Context, prefix string) ([]registry.Entry, registry.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter("list " + prefix); err != nil {
		return nil, 0, err
	}
	var out []registry.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) && !e.Deleted {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b registry.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out, s.revision, nil
}

func (s *shelf) watch(
	ctx context.Context, prefix string, after registry.Revision, wait time.Duration,
) ([]registry.Entry, registry.Revision, error) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		if err := s.enter("watch"); err != nil {
			s.mu.Unlock()
			return nil, 0, err
		}
		var out []registry.Entry
		for k, e := range s.entries {
			if strings.HasPrefix(k, prefix) && e.Revision > after && !s.deaf {
				out = append(out, e)
			}
		}
		changed, at := s.changed, s.revision
		s.mu.Unlock()
		if len(out) > 0 {
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

func (s *shelf) commit(_ context.Context, t registry.Txn) (registry.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter("commit"); err != nil {
		return 0, err
	}
	for _, c := range t.If {
		if s.entries[c.Key].Revision != c.Revision {
			return 0, registry.ErrConflict
		}
	}
	if _, ok := s.leases[t.Lease]; t.Lease != 0 && !ok {
		return 0, registry.ErrNotFound
	}
	s.stir()
	for _, p := range t.Put {
		created := s.entries[p.Key].Created
		if created == 0 {
			created = s.revision
		}
		s.entries[p.Key] = registry.Entry{Key: p.Key, Value: p.Value, Revision: s.revision, Created: created, Lease: t.Lease}
	}
	if s.lose > 0 {
		s.lose--
		return 0, errDown
	}
	return s.revision, nil
}

func (s *shelf) grant(_ context.Context, ttl time.Duration) (registry.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter("grant"); err != nil {
		return 0, err
	}
	s.next++
	s.leases[s.next] = time.Now().Add(ttl)
	return s.next, nil
}

func (s *shelf) renew(_ context.Context, l registry.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter("renew"); err != nil {
		return err
	}
	if _, ok := s.leases[l]; !ok {
		return registry.ErrNotFound
	}
	s.leases[l] = time.Now().Add(time.Second)
	return nil
}

func (s *shelf) endLease(_ context.Context, l registry.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter("end"); err != nil {
		return err
	}
	s.end(l)
	return nil
}

func (s *shelf) store() registry.Store {
	return registry.Store{
		List: s.list, Watch: s.watch, Commit: s.commit, Grant: s.grant, Renew: s.renew, Revoke: s.endLease,
	}
}

func (s *shelf) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stir()
	s.entries[key] = registry.Entry{Key: key, Value: []byte(value), Revision: s.revision, Created: s.revision}
}

func (s *shelf) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stir()
	s.entries[key] = registry.Entry{Key: key, Revision: s.revision, Deleted: true}
}

func (s *shelf) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}
