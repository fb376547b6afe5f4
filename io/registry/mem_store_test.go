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

// memStore is a store in memory, with faults that a test sets.
type memStore struct {
	mu        sync.Mutex
	revision  registry.Revision
	entries   map[string]registry.Entry
	leases    map[registry.LeaseID]time.Time
	lastLease registry.LeaseID
	calls     map[string]int
	// watches counts the watches by prefix.
	watches map[string]int
	changed chan struct{}
	// down makes all calls fail; missChanges keeps all changes from watches.
	down, missChanges bool
	// loseCommitAnswers is the number of next commits that are carried out and answered with an
	// error.
	loseCommitAnswers int
	// afterList and afterWatch are called with each response before it is returned, to hold it back.
	// betweenPages is called once, between the first page of a list that has keys of both, those before
	// secondPage and those from it, and the second page. They are called without the lock.
	afterList                func(prefix string)
	afterWatch, betweenPages func()
	secondPage               string
}

var errDown = errors.New("no answer")

func newMemStore() *memStore {
	return &memStore{
		revision: 10, entries: map[string]registry.Entry{}, leases: map[registry.LeaseID]time.Time{},
		calls: map[string]int{}, watches: map[string]int{}, changed: make(chan struct{}),
	}
}

func (s *memStore) countCall(name string) error {
	s.calls[name]++
	for l, end := range s.leases {
		if time.Now().After(end) {
			s.expireLease(l)
		}
	}
	if s.down {
		return errDown
	}
	return nil
}

func (s *memStore) expireLease(l registry.LeaseID) {
	delete(s.leases, l)
	for k, e := range s.entries {
		if e.Lease == l {
			delete(s.entries, k)
			s.advanceRevision()
		}
	}
}

func (s *memStore) advanceRevision() {
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memStore) list(_ context.Context, prefix string) ([]registry.Entry, registry.Revision, error) {
	out, at, err := s.page(prefix, func(key string) bool { return s.secondPage == "" || key < s.secondPage })
	if err != nil {
		return nil, 0, err
	}
	if strings.HasPrefix(s.secondPage, prefix) {
		s.mu.Lock()
		between := s.betweenPages
		s.betweenPages = nil
		s.mu.Unlock()
		if between != nil {
			between()
		}
		rest, _, err := s.page(prefix, func(key string) bool { return key >= s.secondPage })
		if err != nil {
			return nil, 0, err
		}
		out = append(out, rest...)
	}
	s.mu.Lock()
	after := s.afterList
	s.mu.Unlock()
	if after != nil {
		after(prefix)
	}
	return out, at, nil
}

// page returns the entries under a prefix whose keys are on one page, and the store's revision.
func (s *memStore) page(prefix string, has func(key string) bool) ([]registry.Entry, registry.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.countCall("list " + prefix); err != nil {
		return nil, 0, err
	}
	var out []registry.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) && has(k) && !e.Deleted {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b registry.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out, s.revision, nil
}

func (s *memStore) watch(
	ctx context.Context, prefix string, from registry.Revision, wait time.Duration,
) ([]registry.Entry, registry.Revision, error) {
	end := time.After(wait)
	s.locked(func() { s.watches[prefix]++ })
	for {
		s.mu.Lock()
		if err := s.countCall("watch"); err != nil {
			s.mu.Unlock()
			return nil, 0, err
		}
		var out []registry.Entry
		for k, e := range s.entries {
			if strings.HasPrefix(k, prefix) && e.Revision > from && !s.missChanges {
				out = append(out, e)
			}
		}
		changed, at, after := s.changed, s.revision, s.afterWatch
		s.mu.Unlock()
		if len(out) > 0 {
			if after != nil {
				after()
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

func (s *memStore) commit(_ context.Context, t registry.Txn) (registry.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.countCall("commit"); err != nil {
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
	s.advanceRevision()
	for _, p := range t.Put {
		created := s.entries[p.Key].Created
		if created == 0 {
			created = s.revision
		}
		s.entries[p.Key] = registry.Entry{Key: p.Key, Value: p.Value, Revision: s.revision, Created: created, Lease: t.Lease}
	}
	if s.loseCommitAnswers > 0 {
		s.loseCommitAnswers--
		return 0, errDown
	}
	return s.revision, nil
}

func (s *memStore) grant(_ context.Context, ttl time.Duration) (registry.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.countCall("grant"); err != nil {
		return 0, err
	}
	s.lastLease++
	s.leases[s.lastLease] = time.Now().Add(ttl)
	return s.lastLease, nil
}

func (s *memStore) renew(_ context.Context, l registry.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.countCall("renew"); err != nil {
		return err
	}
	if _, ok := s.leases[l]; !ok {
		return registry.ErrNotFound
	}
	s.leases[l] = time.Now().Add(time.Second)
	return nil
}

func (s *memStore) revoke(_ context.Context, l registry.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.countCall("end"); err != nil {
		return err
	}
	s.expireLease(l)
	return nil
}

func (s *memStore) store() registry.Store {
	return registry.Store{
		List: s.list, Watch: s.watch, Commit: s.commit, Grant: s.grant, Renew: s.renew, Revoke: s.revoke,
	}
}

func (s *memStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceRevision()
	s.entries[key] = registry.Entry{Key: key, Value: []byte(value), Revision: s.revision, Created: s.revision}
}

func (s *memStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceRevision()
	s.entries[key] = registry.Entry{Key: key, Revision: s.revision, Deleted: true}
}

func (s *memStore) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}
