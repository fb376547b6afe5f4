package members_test

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/roster"
	"skylarkdeal/io/members"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// store is the platform's store for the tests. Its leases end when told to.
type store struct {
	mu    sync.Mutex
	keys  map[string][]byte
	lease map[members.LeaseID]string
	last  members.LeaseID
	fail  error
}

func (s *store) funcs() members.Store {
	return members.Store{
		Register: func(_ context.Context, key string, value []byte, _ time.Duration) (members.LeaseID, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.fail != nil {
				return 0, s.fail
			}
			s.last++
			s.keys[key], s.lease[s.last] = value, key
			return s.last, nil
		},
		Put: func(_ context.Context, key string, value []byte, _ members.LeaseID) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.keys[key] = value
			return s.fail
		},
		Renew: func(_ context.Context, id members.LeaseID) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			if _, ok := s.lease[id]; !ok {
				return members.ErrLeaseGone
			}
			return s.fail
		},
		Revoke: func(_ context.Context, id members.LeaseID) error {
			s.end(id)
			return nil
		},
		List: func(_ context.Context, prefix string) ([][]byte, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			var out [][]byte
			for k, v := range s.keys {
				if strings.HasPrefix(k, prefix) {
					out = append(out, v)
				}
			}
			return out, s.fail
		},
	}
}

func (s *store) end(id members.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.keys, s.lease[id])
	delete(s.lease, id)
}

func (s *store) get(h fleet.Host) (e roster.Record, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, v := range s.keys {
		if strings.HasPrefix(k, members.Prefix+string(h)+"/") {
			return e, json.Unmarshal(v, &e) == nil
		}
	}
	return e, false
}

func newStore() *store {
	return &store{keys: map[string][]byte{}, lease: map[members.LeaseID]string{}}
}

// start runs a host, and stops it when the test ends.
func start(t *testing.T, s *store, h fleet.Host, now func() time.Time) *members.Runtime {
	r := members.New(members.Config{
		Self: fleet.Member{Host: h, DataCentre: "riga-1"}, Epoch: 1, Store: s.funcs(), Now: now,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var g sync.WaitGroup
	g.Go(func() { _ = r.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		g.Wait()
	})
	return r
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 2000 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("never: %s", what)
}

func hosts(r *members.Runtime) int { return len(r.Members()) }

func TestHostsFindEachOtherByTheStore(t *testing.T) {
	c := qt.New(t)
	s := newStore()
	a, b := start(t, s, "h1", nil), start(t, s, "h2", nil)
	eventually(t, "two members", func() bool { return hosts(a) == 2 && hosts(b) == 2 })
	c.Assert(a.IsWatcher() != b.IsWatcher(), qt.IsTrue)
	b.Leave(context.Background())
	e, _ := s.get("h2")
	c.Assert(e.Member.Leaving, qt.IsTrue)
	c.Assert(b.Self().Leaving, qt.IsTrue)
	b.Close(context.Background())
	_, there := s.get("h2")
	c.Assert(there, qt.IsFalse)
}

// A digest brings a member that the store, which is down, knows nothing of.
func TestDigestsCarryMembersInAnOutage(t *testing.T) {
	c := qt.New(t)
	s := newStore()
	s.fail = errors.New("down")
	a, b := start(t, s, "h1", nil), start(t, s, "h2", nil)
	a.Merge(b.Records())
	c.Assert(hosts(a), qt.Equals, 2)
	c.Assert(a.Epoch("h2"), qt.Equals, uint64(1))
	_, until := a.Lease()
	c.Assert(until.IsZero(), qt.IsTrue, qt.Commentf("no lease without the store"))
}

// The store loses a lease early, say in a restart of its own, while the host's
// clock still says that it stands. Were the host to register anew at once, others
// would take the duties of the old registration while it still does them.
func TestNoNewRegistrationBeforeTheOldOneEnds(t *testing.T) {
	c := qt.New(t)
	s := newStore()
	var mu sync.Mutex
	now := time.Unix(1_700_000_000, 0)
	clock := func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return now
	}
	r := start(t, s, "h1", clock)
	eventually(t, "registered", func() bool { _, until := r.Lease(); return !until.IsZero() })
	name, until := r.Lease()
	s.end(1)
	c.Assert(r.Renew(context.Background()), qt.ErrorIs, members.ErrLeaseGone)
	after, _ := r.Lease()
	c.Assert(after, qt.Equals, name)
	mu.Lock()
	now = until
	mu.Unlock()
	eventually(t, "registered anew", func() bool {
		e, ok := s.get("h1")
		return ok && e.Lease != name
	})
}
