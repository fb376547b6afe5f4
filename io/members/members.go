// Package members keeps this host's record in the platform's store under a
// lease, and the roster of the fleet from what the store, the platform and the
// peers say.
package members

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/journal"
	"skylarkdeal/core/roster"
	"skylarkdeal/internal/sleep"
	"skylarkdeal/io/host/hostpb"
)

// ErrLeaseGone is what Renew returns when the store no longer has the lease.
var ErrLeaseGone = errors.New("the lease is gone")

// LeaseID names a lease in the store.
type LeaseID int64

// Store is what the members need of the platform's store. All calls may fail.
type Store struct {
	// Register grants a lease of that time to live and puts value at key under
	// it, in place of any former value.
	Register func(ctx context.Context, key string, value []byte, ttl time.Duration) (LeaseID, error)
	// Put changes the value at key under a lease that stands.
	Put func(ctx context.Context, key string, value []byte, id LeaseID) error
	// Renew renews a lease; ErrLeaseGone means that it has ended.
	Renew func(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and removes what was put under it.
	Revoke func(ctx context.Context, id LeaseID) error
	// List returns the values whose keys begin with prefix.
	List func(ctx context.Context, prefix string) ([][]byte, error)
}

// Prefix is where the hosts' records are kept in the store, each registration
// under a key of its own. Had a host but one key, a put whose answer was lost
// could come into effect after the next registration and replace it, and others
// would take the host's lease for gone.
const Prefix = "/skylarkdeal/hosts/"

// Config is what a Runtime needs of the rest of the host.
type Config struct {
	Self fleet.Member
	// Epoch is the start time of the process in nanoseconds.
	Epoch uint64
	// Store may be left empty for a fleet of fixed members.
	Store Store
	// Fixed are members that are known from the settings.
	Fixed []fleet.Member
	// Platform reads the platform's list of hosts; nil when there is none.
	Platform   func(ctx context.Context) ([]fleet.Member, error)
	Now        func() time.Time
	Logger     *zap.Logger
	Registerer prometheus.Registerer
	Journal    *journal.Journal
}

const (
	// storeTimeout bounds a call of the store: twice its slowest answers.
	storeTimeout = 4 * time.Second
	// beatEvery is how often the own beat rises: once per round of digests.
	beatEvery = time.Second
	// listEvery is how often a host that is no watcher reads the whole list, in
	// case the digests have left something out.
	listEvery = 30 * time.Second
	// watcherListEvery is the same for the watcher of a data centre; the others
	// hear from it by digests.
	watcherListEvery = 2 * time.Second
	platformEvery    = 5 * time.Second
)

// Runtime keeps the roster.
type Runtime struct {
	cfg   Config
	view  atomic.Pointer[[]fleet.Member]
	calls *prometheus.CounterVec

	mu       sync.Mutex
	roster   roster.Roster
	beat     uint64
	leaving  bool
	lease    roster.Lease
	id       LeaseID
	closed   bool
	onChange []func([]fleet.Member)
}

// New returns a Runtime whose roster holds this host and the fixed ones.
func New(cfg Config) *Runtime {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	r := &Runtime{cfg: cfg, roster: roster.Roster{Self: cfg.Self.Host}}
	r.lease.Reregister(rand.Uint64())
	r.calls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "skylarkdeal", Subsystem: "members", Name: "store_calls_total",
		Help: "Calls of the platform's store for membership.",
	}, []string{"call"})
	if cfg.Registerer != nil {
		cfg.Registerer.MustRegister(r.calls)
	}
	r.tick()
	return r
}

// Run works until ctx ends.
func (r *Runtime) Run(ctx context.Context) error {
	if r.cfg.Store.Register == nil {
		r.every(ctx, beatEvery, func(context.Context) error { r.tick(); return nil })
		return nil
	}
	var g sync.WaitGroup
	g.Go(func() { r.every(ctx, beatEvery, func(context.Context) error { r.tick(); return nil }) })
	g.Go(func() { r.every(ctx, roster.RenewInterval, r.Renew) })
	g.Go(func() { r.every(ctx, watcherListEvery, r.list()) })
	if r.cfg.Platform != nil {
		g.Go(func() { r.every(ctx, platformEvery, r.readPlatform) })
	}
	g.Wait()
	return nil
}

// every calls f at an interval, and after an error at a growing one with jitter,
// so that a fleet doesn't rush at a store that has just come back.
func (r *Runtime) every(ctx context.Context, d time.Duration, f func(context.Context) error) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = d/4, 2*d
	for {
		wait := d - d/10 + rand.N(d/5)
		c, cancel := context.WithTimeout(ctx, storeTimeout)
		if err := f(c); err != nil {
			wait = b.NextBackOff()
			r.cfg.Logger.Warn("membership call failed", zap.Error(err))
		} else {
			b.Reset()
		}
		cancel()
		if !sleep.For(ctx, wait) {
			return
		}
	}
}

// tick raises the own beat and publishes the roster.
func (r *Runtime) tick() {
	r.mu.Lock()
	r.beat++
	now := r.cfg.Now()
	own := []roster.Record{r.record()}
	for _, m := range r.cfg.Fixed {
		own = append(own, roster.Record{Member: m, Epoch: 1, Heartbeat: r.beat})
	}
	r.roster.Merge(now, own)
	r.roster.Forget(now)
	r.mu.Unlock()
	r.publish()
}

// record returns the own record; r.mu is held.
func (r *Runtime) record() roster.Record {
	m := r.cfg.Self
	m.Leaving = m.Leaving || r.leaving
	return roster.Record{Member: m, Epoch: r.cfg.Epoch, Heartbeat: r.beat}
}

// publish replaces the snapshot if it has changed and tells those who listen.
func (r *Runtime) publish() {
	r.mu.Lock()
	m := r.roster.Members(r.cfg.Now())
	old := r.view.Load()
	if old != nil && slices.Equal(*old, m) {
		r.mu.Unlock()
		return
	}
	r.view.Store(&m)
	listeners := slices.Clone(r.onChange)
	r.mu.Unlock()
	if old != nil {
		r.cfg.Journal.Add(journal.Decision{
			At: r.cfg.Now(), Kind: journal.KindMember, Subject: "roster",
			Choice: "change", Reason: describe(*old, m),
		})
	}
	for _, f := range listeners {
		f(m)
	}
}

// list returns the duty of reading the store's list: often at the watcher of
// the data centre, seldom elsewhere.
func (r *Runtime) list() func(context.Context) error {
	var last time.Time
	return func(ctx context.Context) error {
		now := r.cfg.Now()
		if !last.IsZero() && !r.IsWatcher() && now.Sub(last) < listEvery {
			return nil
		}
		records, err := r.read(ctx, Prefix)
		if err != nil {
			return err
		}
		last = now
		r.mu.Lock()
		r.roster.MergeStore(now, records)
		r.mu.Unlock()
		r.publish()
		return nil
	}
}

func (r *Runtime) read(ctx context.Context, prefix string) ([]roster.Record, error) {
	r.calls.WithLabelValues("list").Inc()
	values, err := r.cfg.Store.List(ctx, prefix)
	if err != nil {
		return nil, failure.At(err, "list hosts", "store")
	}
	out := make([]roster.Record, 0, len(values))
	for _, v := range values {
		var e roster.Record
		if err := json.Unmarshal(v, &e); err != nil {
			return nil, failure.At(err, "read host", "store")
		}
		out = append(out, e)
	}
	return out, nil
}

func (r *Runtime) readPlatform(ctx context.Context) error {
	m, err := r.cfg.Platform(ctx)
	if err != nil {
		return failure.At(err, "list hosts", "platform")
	}
	listed := make([]roster.PlatformMember, len(m))
	for i, e := range m {
		listed[i] = roster.PlatformMember{Member: e}
	}
	r.mu.Lock()
	r.roster.MergePlatform(listed)
	r.mu.Unlock()
	r.publish()
	return nil
}

// Merge takes in what a digest or a push brought.
func (r *Runtime) Merge(members []*hostpb.Member) {
	records := make([]roster.Record, len(members))
	for i, m := range members {
		records[i] = recordOf(m)
	}
	r.mu.Lock()
	changed := r.roster.Merge(r.cfg.Now(), records)
	r.mu.Unlock()
	if changed {
		r.publish()
	}
}
