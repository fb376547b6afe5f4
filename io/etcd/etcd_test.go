package etcd_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"skylarkdeal/io/etcd"
	"skylarkdeal/standin/store"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// clock is a clock that a test moves.
type clock struct {
	mu sync.Mutex
	at time.Time
}

func newClock() *clock {
	return &clock{at: time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)}
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

func (c *clock) move(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = c.at.Add(d)
}

func start(c *qt.C, cfg store.Config) *store.Server {
	s, err := store.Start(cfg)
	c.Assert(err, qt.IsNil)
	c.Cleanup(s.Close)
	return s
}

func dial(c *qt.C, cfg etcd.Config) *etcd.Store {
	if cfg.Rate == 0 {
		cfg.Rate, cfg.Burst = 10000, 10000
	}
	s := etcd.Dial(cfg)
	c.Cleanup(s.Close)
	return s
}

func open(c *qt.C) (*store.Server, *etcd.Store) {
	s := start(c, store.Config{})
	return s, dial(c, etcd.Config{Endpoints: []string{s.Addr()}, Patient: true})
}

// eventually waits until the condition holds, with a generous bound.
func eventually(c *qt.C, what string, ok func() bool) {
	c.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); {
		if time.Now().After(end) {
			c.Fatalf("still not so after 20 s: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func TestEntries(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	_, s := open(c)
	e, err := s.Get(ctx, "/a/1")
	c.Assert(err, qt.IsNil)
	c.Assert(e.Revision, qt.Equals, etcd.Revision(0))
	c.Assert(s.Put(ctx, "/a/1", []byte("x"), 0), qt.IsNil)
	for n := range 250 {
		c.Assert(s.Put(ctx, fmt.Sprintf("/b/%03d", n), []byte("y"), 0), qt.IsNil)
	}
	e, err = s.Get(ctx, "/a/1")
	c.Assert(err, qt.IsNil)
	c.Assert(e, qt.DeepEquals, etcd.Entry{Key: "/a/1", Value: []byte("x"), Revision: 2})

	l, at, err := s.List(ctx, "/b/")
	c.Assert(err, qt.IsNil)
	c.Assert(at, qt.Equals, etcd.Revision(252))
	c.Assert(l, qt.HasLen, 250)
	c.Assert(l[249].Key, qt.Equals, "/b/249")
	newest, at, err := s.Newest(ctx, "/a/")
	c.Assert(err, qt.IsNil)
	c.Assert([]etcd.Revision{newest, at}, qt.DeepEquals, []etcd.Revision{2, 252})
	c.Assert(s.Delete(ctx, "/a/1"), qt.IsNil)
	e, err = s.Get(ctx, "/a/1")
	c.Assert(err, qt.IsNil)
	c.Assert(e.Revision, qt.Equals, etcd.Revision(0))
}

func TestSwapTellsWhoWon(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	_, s := open(c)
	r, err := s.Swap(ctx, etcd.Swap{
		Key: "/k", Value: []byte("a"), Also: []etcd.Pair{{Key: "/h", Value: []byte("a")}},
	})
	c.Assert(err, qt.IsNil)
	_, err = s.Swap(ctx, etcd.Swap{
		Key: "/k", Value: []byte("b"), Expect: r + 1, Also: []etcd.Pair{{Key: "/h", Value: []byte("b")}},
	})
	var conflict *etcd.Conflict
	c.Assert(err, qt.ErrorAs, &conflict)
	c.Assert(conflict.Current, qt.DeepEquals, etcd.Entry{Key: "/k", Value: []byte("a"), Revision: r})
	h, err := s.Get(ctx, "/h")
	c.Assert(err, qt.IsNil)
	c.Assert(string(h.Value), qt.Equals, "a")
}

// An operator's put is answered with an error although the store has taken it.
// The error must not read as "nothing was written": it is Unknown.
func TestSwapWithLostAnswerIsUnknown(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server, s := open(c)
	server.Set(func(f *store.Faults) { f.LoseAnswers = 1 })
	_, err := s.Swap(ctx, etcd.Swap{Key: "/k", Value: []byte("a")})
	var unknown *etcd.Unknown
	c.Assert(err, qt.ErrorAs, &unknown)
	e, err := s.Get(ctx, "/k")
	c.Assert(err, qt.IsNil)
	c.Assert(string(e.Value), qt.Equals, "a")
}

func TestLeaseEndsItsKeys(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	k := newClock()
	server := start(c, store.Config{Now: k.now})
	s := dial(c, etcd.Config{Endpoints: []string{server.Addr()}})
	id, err := s.Grant(ctx, 10*time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Put(ctx, "/hosts/a", []byte("x"), id), qt.IsNil)
	k.move(9 * time.Second)
	ttl, err := s.KeepAlive(ctx, id)
	c.Assert(err, qt.IsNil)
	c.Assert(ttl, qt.Equals, 10*time.Second)
	k.move(9 * time.Second)
	e, err := s.Get(ctx, "/hosts/a")
	c.Assert(err, qt.IsNil)
	c.Assert(e.Lease, qt.Equals, id)
	k.move(2 * time.Second)
	e, err = s.Get(ctx, "/hosts/a")
	c.Assert(err, qt.IsNil)
	c.Assert(e.Revision, qt.Equals, etcd.Revision(0))
	_, err = s.KeepAlive(ctx, id)
	c.Assert(err, qt.ErrorIs, etcd.ErrNoLease)
	c.Assert(s.Put(ctx, "/hosts/a", nil, id), qt.ErrorIs, etcd.ErrNoLease)
	c.Assert(s.Revoke(ctx, id), qt.ErrorIs, etcd.ErrNoLease)
	c.Assert(server.Calls()[store.KindLeaseKeepAlive], qt.Equals, 2)
}

func TestNextEndpointTakesOver(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	a, b := start(c, store.Config{}), start(c, store.Config{})
	s := dial(c, etcd.Config{Endpoints: []string{a.Addr(), b.Addr()}, Patient: true})
	a.Set(func(f *store.Faults) { f.Down = true })
	c.Assert(s.Put(ctx, "/k", nil, 0), qt.IsNotNil)
	c.Assert(s.Put(ctx, "/k", nil, 0), qt.IsNil)
	c.Assert(s.State().Endpoint, qt.Equals, b.Addr())
}

func TestCallsAreBoundedInTime(t *testing.T) {
	c := qt.New(t)
	server := start(c, store.Config{})
	s := dial(c, etcd.Config{Endpoints: []string{server.Addr()}, Timeout: 20 * time.Millisecond})
	server.Set(func(f *store.Faults) { f.Pause = true })
	_, err := s.Get(context.Background(), "/k")
	c.Assert(err, qt.ErrorMatches, `.*get with store 127.*deadline_exceeded.*`)
}

func TestCancelledCallsDontHoldOthersBack(t *testing.T) {
	c := qt.New(t)
	server := start(c, store.Config{})
	s := dial(c, etcd.Config{Endpoints: []string{server.Addr()}})
	server.Set(func(f *store.Faults) { f.Pause = true })
	ctx, cancel := context.WithCancel(context.Background())
	var duty sync.WaitGroup
	duty.Go(func() { _, _ = s.Get(ctx, "/k") })
	eventually(c, "the call waits", func() bool { return server.Calls()[store.KindRange] == 1 })
	cancel()
	duty.Wait()
	server.Set(func(f *store.Faults) { f.Pause = false })
	_, err := s.Get(context.Background(), "/k")
	c.Assert(err, qt.IsNil)
}

// The store is down for a while and hundreds of hosts have calls to make. If all
// were sent, and sent again at its return, they would end it once more. So while
// it is down a host makes one try for each back-off interval, and the calls that
// it saved up meanwhile don't come as a burst.
func TestCallsAreHeldBackWhileDown(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	k := newClock()
	server := start(c, store.Config{})
	s := dial(c, etcd.Config{
		Endpoints: []string{server.Addr()}, Now: k.now, Rate: 2, Burst: 20, Jitter: func() float64 { return 0.5 },
	})
	server.Set(func(f *store.Faults) { f.Down = true })
	bounded, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	for range 600 {
		_, _ = s.Get(bounded, "/k")
		k.move(100 * time.Millisecond)
	}
	// Intervals of 0.2, 0.4, ... 6.4 and then 10 s fit nine times into a minute.
	c.Assert(server.Calls()[store.KindRange], qt.Equals, 11)
	c.Assert(s.State().Down, qt.IsTrue)

	server.Set(func(f *store.Faults) { f.Down = false })
	k.move(10 * time.Second)
	_, err := s.Get(ctx, "/k")
	c.Assert(err, qt.IsNil)
	c.Assert(s.State().Down, qt.IsFalse)
	_, err = s.Get(ctx, "/k")
	c.Assert(err, qt.IsNil)
	short, stop := context.WithTimeout(ctx, 50*time.Millisecond)
	defer stop()
	_, err = s.Get(short, "/k")
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	c.Assert(server.Calls()[store.KindRange], qt.Equals, 13)
}

// Guards against hosts of a small fleet that learn of the store's return up to 15 s late, and can't claim the
// shards of a host that has gone meanwhile; and against tries that grow with the fleet.
func TestReturnOfTheStoreIsNoticedInTime(t *testing.T) {
	const pollEvery = 100 * time.Millisecond
	for _, x := range []struct {
		hosts  int
		latest time.Duration
		tries  int
	}{
		{4, 1600 * time.Millisecond, 130},
		{920, 15100 * time.Millisecond, 12},
	} {
		t.Run(fmt.Sprintf("%d hosts", x.hosts), func(t *testing.T) {
			c := qt.New(t)
			k := newClock()
			server := start(c, store.Config{})
			s := dial(c, etcd.Config{
				Endpoints: []string{server.Addr()}, Now: k.now, Hosts: func() int { return x.hosts },
				Jitter: rand.New(rand.NewPCG(1, 2)).Float64, //nolint:gosec // the same numbers in each run
			})
			server.Set(func(f *store.Faults) { f.Down = true })
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			for range 2 * time.Minute / pollEvery {
				_, _ = s.Get(ctx, "/k")
				k.move(pollEvery)
			}
			tries := server.Calls()[store.KindRange]
			server.Set(func(f *store.Faults) { f.Down = false })
			late := time.Duration(0)
			for ; s.State().Down && late < time.Minute; late += pollEvery {
				_, _ = s.Get(ctx, "/k")
				k.move(pollEvery)
			}
			c.Assert(late <= x.latest, qt.IsTrue, qt.Commentf("%v", late))
			c.Assert(tries >= x.tries/2 && tries <= 2*x.tries, qt.IsTrue, qt.Commentf("%d tries", tries))
		})
	}
}
