package etcd_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/io/etcd"
	"skylarkdeal/standin/store"
)

// follower runs a Follower of "/d/" and keeps what it tells.
type follower struct {
	mu        sync.Mutex
	values    map[string]string
	confirmed int
	problems  []string
}

func follow(c *qt.C, s *etcd.Store, floor etcd.Revision) *follower {
	f := &follower{values: map[string]string{}}
	ctx, cancel := context.WithCancel(context.Background())
	var duty sync.WaitGroup
	r := &etcd.Follower{
		Store: s, Prefix: "/d/", Check: 10 * time.Millisecond,
		See: func(l []etcd.Change) {
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, e := range l {
				f.values[e.Key] = string(e.Value)
			}
		},
		Confirmed: func(time.Time) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.confirmed++
		},
		Floor: func() etcd.Revision { return floor },
		Problem: func(err error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.problems = append(f.problems, fmt.Sprint(err))
		},
	}
	duty.Go(func() { r.Run(ctx) })
	c.Cleanup(func() {
		cancel()
		duty.Wait()
	})
	return f
}

func (f *follower) has(k, v string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.values[k] == v
}

func (f *follower) confirmations() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

func (f *follower) met(what string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.problems {
		if strings.Contains(p, what) {
			return true
		}
	}
	return false
}

func TestFollowerSeesAllThroughAnOutage(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server, s := open(c)
	c.Assert(s.Put(ctx, "/d/a", []byte("1"), 0), qt.IsNil)
	f := follow(c, s, 0)
	eventually(c, "the first value is seen", func() bool { return f.has("/d/a", "1") })
	c.Assert(s.Put(ctx, "/d/a", []byte("2"), 0), qt.IsNil)
	eventually(c, "the change is seen", func() bool { return f.has("/d/a", "2") })

	server.Set(func(f *store.Faults) { f.Down = true })
	eventually(c, "the outage is reported", func() bool { return f.met("unavailable") })
	server.Set(func(f *store.Faults) { f.Down = false })
	c.Assert(s.Put(ctx, "/d/a", []byte("3"), 0), qt.IsNil)
	eventually(c, "the change after the outage is seen", func() bool { return f.has("/d/a", "3") })
}

// A key is revoked and goes on working for hours in one data centre: the
// connection of its watch was cut without a word, so the watch waited on, and
// nothing distinguished it from a quiet day.
func TestFollowerFindsASilentWatch(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server, s := open(c)
	f := follow(c, s, 0)
	eventually(c, "the watch stands", func() bool { return server.Calls()[store.KindWatch] == 1 })
	server.Set(func(f *store.Faults) { f.SilentWatch = true })
	server.Set(func(f *store.Faults) { f.SilentWatch = false })
	c.Assert(s.Put(ctx, "/d/a", []byte("1"), 0), qt.IsNil)
	eventually(c, "the change is seen", func() bool { return f.has("/d/a", "1") })
	c.Assert(f.met("silent"), qt.IsTrue)
	c.Assert(server.Calls()[store.KindWatch], qt.Equals, 2)
}

// A change of many documents takes longer to arrive than two checks are apart.
// Were the watch opened anew each time, the change would never be seen.
func TestFollowerGivesASlowWatchTime(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server, s := open(c)
	slow := *s
	slow.Watch = func(ctx context.Context, prefix string, after etcd.Revision, see func(etcd.Batch)) error {
		return s.Watch(ctx, prefix, after, func(b etcd.Batch) {
			if len(b.Changes) > 0 {
				select {
				case <-time.After(200 * time.Millisecond):
				case <-ctx.Done():
					return
				}
			}
			see(b)
		})
	}
	f := follow(c, &slow, 0)
	eventually(c, "the watch stands", func() bool { return server.Calls()[store.KindWatch] == 1 })
	c.Assert(s.Put(ctx, "/d/a", []byte("1"), 0), qt.IsNil)
	eventually(c, "the change is seen", func() bool { return f.has("/d/a", "1") })
}

// The store forgets changes that a host has not yet seen, because its watch was
// silent for long. A watch can't make up for them: the entries are listed anew.
func TestFollowerListsAgainAfterCompaction(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server, s := open(c)
	f := follow(c, s, 0)
	eventually(c, "the watch stands", func() bool { return server.Calls()[store.KindWatch] == 1 })
	server.Set(func(f *store.Faults) { f.SilentWatch = true })
	for n := range 5 {
		c.Assert(s.Put(ctx, "/d/a", fmt.Appendf(nil, "%d", n), 0), qt.IsNil)
	}
	server.Compact(server.Revision())
	server.Set(func(f *store.Faults) { f.SilentWatch = false })
	eventually(c, "the last change is seen", func() bool { return f.has("/d/a", "4") })
	c.Assert(f.met("compacted"), qt.IsTrue)
}

// A lagging member of the store answers. Its documents may lack the withdrawal
// of a key, so its answers must not count as a confirmation that what a host has
// is the newest.
func TestFollowerTakesNoConfirmationFromThePast(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server, s := open(c)
	for n := range 3 {
		c.Assert(s.Put(ctx, "/d/a", fmt.Appendf(nil, "%d", n), 0), qt.IsNil)
	}
	f := follow(c, s, 0)
	eventually(c, "the state is confirmed", func() bool { return f.confirmations() > 0 })
	server.Set(func(f *store.Faults) { f.Past = 2 })
	eventually(c, "the past is reported", func() bool { return f.met("answers from the past") })
	before := f.confirmations()
	calls := server.Calls()[store.KindRange]
	eventually(c, "ten more checks", func() bool { return server.Calls()[store.KindRange] > calls+10 })
	c.Assert(f.confirmations(), qt.Equals, before)
	server.Set(func(f *store.Faults) { f.Past = 0 })
	eventually(c, "the state is confirmed again", func() bool { return f.confirmations() > before })
}

// A host knows version 9 from its peers and starts to follow a store that was
// restored from a backup. The store's word confirms nothing until it has passed
// what is known.
func TestFollowerKnowsTheFloor(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server, s := open(c)
	c.Assert(s.Put(ctx, "/d/a", []byte("old"), 0), qt.IsNil)
	f := follow(c, s, 9)
	eventually(c, "the reset is reported", func() bool { return f.met("or was reset") })
	c.Assert(s.Put(ctx, "/d/a", []byte("new"), 0), qt.IsNil)
	eventually(c, "changes are seen all the same", func() bool { return f.has("/d/a", "new") })
	calls := server.Calls()[store.KindRange]
	eventually(c, "ten more checks", func() bool { return server.Calls()[store.KindRange] > calls+10 })
	c.Assert(f.confirmations(), qt.Equals, 0)
	for range 9 {
		c.Assert(s.Put(ctx, "/d/a", []byte("newer"), 0), qt.IsNil)
	}
	eventually(c, "the state is confirmed", func() bool { return f.confirmations() > 0 })
}
