package etcd

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"skylarkdeal/internal/sleep"
)

// Follower keeps up with all entries under a prefix, whatever happens to its
// watch.
type Follower struct {
	Store  *Store
	Prefix string
	// Check is how often the watch is checked against the store; the zero value
	// takes DefaultCheck.
	Check time.Duration
	// See takes every entry at the start and every change, in order. An entry may
	// come again.
	See func([]Change)
	// Confirmed is told a time up to which See has had everything.
	Confirmed func(at time.Time)
	// Floor returns the highest revision known from elsewhere: a store whose own
	// is lower answers from the past.
	Floor func() Revision
	// Problem is told what is wrong; it isn't called again until that changes.
	Problem func(err error)
	Now     func() time.Time
	// Jitter returns a number from 0 up to 1.
	Jitter func() float64

	// seen is where the watch has got to. It goes back when the entries are
	// listed anew; known doesn't, so that a store's old answers are told from new
	// ones.
	seen  atomic.Int64
	known atomic.Int64
	// patience is how many checks in a row a change may stay unseen.
	patience atomic.Int64
	listed   bool
	problem  string
}

// DefaultCheck is how often a watch is checked. With one watch in each of ten
// data centres that is ten cheap reads a second, and a silent watch is found
// within two checks, three seconds with their jitter: a change is still in effect
// within five.
const DefaultCheck = time.Second

const (
	// retryPause is the mean wait before a broken watch is opened again.
	retryPause = 500 * time.Millisecond
	// pastChecks is how many checks in a row find the store behind what is known
	// before its entries are listed anew: one may have met a lagging member.
	pastChecks = 3
	// maxPatience bounds the checks that a slow watch is given: with those 1 s
	// apart, a minute.
	maxPatience = 64
)

var (
	errSilent = errors.New("the watch was silent about a change")
	errPast   = errors.New("the store answers from the past, or was reset")
)

// Run follows until ctx ends.
//
// A watch that broke is opened again only after all entries are listed anew. A
// store that was reset to lower revisions ends its watches too, and may have come
// back to the revision that was seen last by the time of the next look: a watch
// from there would pass over what was written in between, and nothing would show
// it. A silent watch goes on from its last revision, for the store has answered
// all along.
func (f *Follower) Run(ctx context.Context) {
	f.listed = false
	f.problem = ""
	f.patience.Store(1)
	for ctx.Err() == nil {
		err := f.once(ctx)
		if ctx.Err() != nil {
			return
		}
		f.report(err)
		f.listed = errors.Is(err, errSilent)
		f.sleep(ctx, retryPause)
	}
}

// once lists the entries if need be, and then watches until the watch breaks.
func (f *Follower) once(ctx context.Context) error {
	if !f.listed {
		if err := f.list(ctx); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	broken := make(chan error, 1)
	var duty sync.WaitGroup
	duty.Go(func() {
		broken <- f.Store.Watch(ctx, f.Prefix, Revision(f.seen.Load()), f.take)
	})
	err := f.check(ctx, broken)
	cancel()
	duty.Wait()
	return err
}

func (f *Follower) list(ctx context.Context) error {
	sent := f.now()
	l, at, err := f.Store.List(ctx, f.Prefix)
	if err != nil {
		return err
	}
	c := make([]Change, len(l))
	for n, e := range l {
		c[n] = Change{Entry: e}
	}
	f.See(c)
	f.seen.Store(int64(at))
	f.learn(at)
	f.listed = true
	f.confirm(sent, 0, at)
	return nil
}

func (f *Follower) take(b Batch) {
	if len(b.Changes) > 0 {
		f.See(b.Changes)
		f.patience.Store(1)
	}
	if int64(b.At) > f.seen.Load() {
		f.seen.Store(int64(b.At))
	}
	f.learn(b.At)
}

func (f *Follower) learn(r Revision) {
	for {
		k := f.known.Load()
		if int64(r) <= k || f.known.CompareAndSwap(k, int64(r)) {
			return
		}
	}
}

// check compares what the watch has told with the store until the watch breaks
// or is found silent.
//
// A connection cut without a word, or a store that forgets its watches, shows as
// a watch that says nothing, which is what a quiet day looks like too. A read of
// the newest revision doesn't depend on the watch; when one check's revision is
// still unseen at the next, the watch is opened anew. A watch that is merely slow
// would be cut off again and again before it has told anything, so each time
// that happens the next is given twice as long.
func (f *Follower) check(ctx context.Context, broken <-chan error) error {
	var s suspicion
	past := 0
	for {
		t := time.NewTimer(f.spread(f.interval()))
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case err := <-broken:
			t.Stop()
			if err == nil {
				err = unexpected("the end of the watch")
			}
			return err
		case <-t.C:
		}
		sent := f.now()
		newest, at, err := f.Store.Newest(ctx, f.Prefix)
		if err != nil {
			f.report(err)
			continue
		}
		switch {
		case f.silent(newest, &s):
			return fmt.Errorf("%w: revision %d", errSilent, s.unseen)
		case s.unseen > 0:
		case f.confirm(sent, newest, at):
			past = 0
		default:
			if past++; past == pastChecks {
				return errPast
			}
		}
	}
}

// suspicion is a revision that the watch hasn't told of, for so many checks.
type suspicion struct {
	unseen Revision
	checks int64
}

// silent reports whether the watch is to be given up.
func (f *Follower) silent(newest Revision, s *suspicion) bool {
	seen := Revision(f.seen.Load())
	if s.unseen > seen {
		s.checks++
		if s.checks < f.patience.Load() {
			return false
		}
		f.patience.Store(min(2*s.checks, maxPatience))
		return true
	}
	*s = suspicion{}
	if newest > seen {
		s.unseen = newest
	}
	return false
}

// confirm reports a time of confirmation, unless the store is behind what is
// known: an old answer proves nothing about now.
func (f *Follower) confirm(sent time.Time, newest, at Revision) bool {
	known := max(Revision(f.known.Load()), newest)
	if f.Floor != nil {
		known = max(known, f.Floor())
	}
	if at < known {
		f.report(fmt.Errorf("%w: its revision is %d, known is %d", errPast, at, known))
		return false
	}
	f.report(nil)
	if f.Confirmed != nil {
		f.Confirmed(sent)
	}
	return true
}

func (f *Follower) report(err error) {
	s := ""
	if err != nil {
		s = err.Error()
	}
	if s == f.problem {
		return
	}
	f.problem = s
	if f.Problem != nil {
		f.Problem(err)
	}
}

func (f *Follower) now() time.Time {
	if f.Now == nil {
		return time.Now()
	}
	return f.Now()
}

func (f *Follower) interval() time.Duration {
	if f.Check == 0 {
		return DefaultCheck
	}
	return f.Check
}

// spread returns a time from half of d to one and a half.
func (f *Follower) spread(d time.Duration) time.Duration {
	j := rand.Float64
	if f.Jitter != nil {
		j = f.Jitter
	}
	return time.Duration(float64(d) * (0.5 + j()))
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	_ = sleep.For(ctx, f.spread(d)) // whoever calls looks at ctx
}
