// Package grants enforces the rate of each account. A host admits an exchange
// when it can spend a token for it: it spends the tokens that it has, requests
// more from the homes on other hosts, and is itself the home of some accounts.
//
// One goroutine serves the waiting exchanges, one maintains the ownership of
// shards, and a few send requests; they are connected by rings. An exchange whose
// token is available is admitted without any of them.
package grants

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"skylarkdeal/core/document"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/journal"
	"skylarkdeal/core/quota"
	"skylarkdeal/core/ring"
	"skylarkdeal/core/roster"
	"skylarkdeal/io/host/hostpb"
)

// Config holds the settings of a Runtime and its connections to the rest of the host.
type Config struct {
	Host       fleet.Host
	DataCentre fleet.DataCentre
	// Epoch identifies the process; it is drawn when the process starts.
	Epoch uint64
	// Documents returns the document in effect for a service.
	Documents func(fleet.Service) (*document.Document, bool)
	// Members returns the live and the leaving hosts, including this one.
	Members func() []fleet.Member
	// Call sends a request to another host.
	Call func(ctx context.Context, to fleet.Member, q *hostpb.GrantRequest) (*hostpb.GrantResponse, error)
	// Store holds the ownership records. Without it a host acts as the home of every
	// shard that its own roster assigns to it, which is safe only for a single host.
	Store Store
	// Now returns the time with both its wall and its monotonic reading; nil means time.Now.
	Now        func() time.Time
	Logger     *zap.Logger
	Registerer prometheus.Registerer
	Journal    *journal.Journal
	// AdmissionTimeout is the longest that an exchange waits for its tokens; zero
	// means DefaultAdmissionTimeout.
	AdmissionTimeout time.Duration
}

const (
	// DefaultAdmissionTimeout covers a short burst and the loss of a home: no token
	// arrives until a request to that home has timed out and the home in another data
	// centre has answered. A caller above its rate is refused earlier, as soon as it
	// is known that its token can't arrive within that time.
	DefaultAdmissionTimeout = 250 * time.Millisecond
	// serveInterval is how often the waiting exchanges and the token stocks are checked.
	serveInterval = 5 * time.Millisecond
	// maxArrivals bounds the exchanges that are queued for the serving goroutine. One
	// serveInterval of any host's load is far below it.
	maxArrivals = 8192
	// senders is the number of requests to other hosts in flight at a time.
	senders = 8
)

// Runtime is the part of a host that enforces the accounts' rates.
type Runtime struct {
	cfg     Config
	clock   clock
	metrics metrics

	entries       entries
	arrivals      ring.Ring[arrival]
	jobs          ring.Ring[requestBatch]
	results       ring.Ring[result]
	leaveRequests ring.Ring[chan struct{}]
	// stopped is set when no goroutine serves the arrivals any more.
	stopped atomic.Bool
	// updateMu is held while the ownership record is read and swapped.
	updateMu sync.Mutex
	// nextCheck belongs to the goroutine that maintains the ownership of shards.
	nextCheck time.Time
	// out and ungranted belong to the serving goroutine.
	out       outbox
	ungranted logLimit

	// mu guards the fields below. It is held for map look-ups and sums only.
	mu    sync.Mutex
	homes map[accountID]*quota.Home
	// hadHome holds the accounts that have had a home in this process.
	hadHome     map[accountID]bool
	shardStates map[quota.OwnershipID]*shardState
	released    map[roster.Shard]releasedShard
	witness     quota.Witness
	lastID      quota.GrantID
	leaving     bool
	// claiming is the result of AcquiringOwnership.
	claiming atomic.Bool
}

// New returns a Runtime that admits exchanges once Run has been called.
func New(cfg Config) *Runtime {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.AdmissionTimeout <= 0 {
		cfg.AdmissionTimeout = DefaultAdmissionTimeout
	}
	r := &Runtime{
		cfg:           cfg,
		arrivals:      ring.New[arrival](maxArrivals),
		jobs:          ring.New[requestBatch](senders * 4),
		results:       ring.New[result](senders * 8),
		leaveRequests: ring.New[chan struct{}](1),
		homes:         map[accountID]*quota.Home{},
		hadHome:       map[accountID]bool{},
		shardStates:   map[quota.OwnershipID]*shardState{},
		released:      map[roster.Shard]releasedShard{},
		lastID:        quota.FirstGrantID(quota.Process{Host: cfg.Host, Epoch: cfg.Epoch}),
	}
	r.clock.start(cfg.Now)
	r.witness.StartedAt = r.clock.suspendAware()
	r.initMetrics()
	r.claiming.Store(cfg.Store.List != nil)
	return r
}

// Run serves exchanges and maintains the ownership of shards until ctx ends.
func (r *Runtime) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { r.serve(ctx); return nil })
	g.Go(func() error { r.maintainOwnership(ctx); return nil })
	for range senders {
		g.Go(func() error { r.send(ctx); return nil })
	}
	return g.Wait()
}

// Admit calls done with nil once n tokens of the account are spent, or with the
// reason for the refusal, in which case nothing has been run. done may be called
// before Admit returns, and must not block. The zero deadline means none.
func (r *Runtime) Admit(s fleet.Service, a fleet.Account, n int, deadline time.Time, done func(*failure.Refusal)) {
	r.admit(s, a, waiter{n: quota.Tokens(n), deadline: deadline, done: done}, r.cfg.AdmissionTimeout)
}

// openTransactionTimeout is how long an exchange of an open transaction waits. An
// account has no more open transactions than connections, and these are admitted
// before its new work, so each gets a token within a few times 1/rate.
const openTransactionTimeout = 2 * time.Second

// AdmitOpen is Admit for an exchange of an open transaction. It is admitted before
// the account's new work and isn't refused because of the admission timeout.
//
// Designed for an account above its rate: transactions refused half-way held their
// connections, had spent tokens for nothing, and had to be run again from the
// start. The bound of rate and burst still holds, since such an exchange waits for
// its token too.
func (r *Runtime) AdmitOpen(s fleet.Service, a fleet.Account, n int, deadline time.Time, done func(*failure.Refusal)) {
	r.admit(s, a, waiter{n: quota.Tokens(n), deadline: deadline, done: done, open: true},
		max(openTransactionTimeout, r.cfg.AdmissionTimeout))
}

func (r *Runtime) admit(s fleet.Service, a fleet.Account, w waiter, timeout time.Duration) {
	e := r.entries.find(s, a)
	if e == nil {
		w.done(&failure.Refusal{Code: failure.CodeNoService, Message: "not run: no such service or account", Step: "admit"})
		return
	}
	now := r.clock.suspendAware()
	if e.waiting.Load() == 0 && e.spender.Take(now, w.n) {
		e.admitted.Add(1)
		w.done(nil)
		return
	}
	if latest := now.Add(timeout); w.deadline.IsZero() || latest.Before(w.deadline) {
		w.deadline = latest
	}
	e.waiting.Add(1)
	if !r.arrivals.TryPut(arrival{e, w}) {
		e.waiting.Add(-1)
		e.refused.Add(1)
		w.done(overRateRefusal(minRetryAfter))
		return
	}
	if r.stopped.Load() {
		r.refuseArrivals()
	}
}

// refuseArrivals refuses the exchanges that are queued once the Runtime no longer serves.
func (r *Runtime) refuseArrivals() {
	for {
		a, ok := r.arrivals.TryTake()
		if !ok {
			return
		}
		a.entry.answer(a.waiter, shuttingDownRefusal())
	}
}

func shuttingDownRefusal() *failure.Refusal {
	return &failure.Refusal{
		Code: failure.CodeShuttingDown, Message: "not run: the host is shutting down",
		RetryAfter: minRetryAfter, Step: "admit",
	}
}

// minRetryAfter keeps a refused caller from retrying at once.
const minRetryAfter = 10 * time.Millisecond

func overRateRefusal(after time.Duration) *failure.Refusal {
	return &failure.Refusal{
		Code:       failure.CodeOverRate,
		Message:    "not run: the account is over its rate",
		RetryAfter: max(after, minRetryAfter),
		Step:       "admit",
	}
}
