// Package grants lets exchanges through by their account's rate: it spends the
// tokens that this host has, asks the homes on other hosts for more, and is
// itself the home of some accounts.
//
// One goroutine owns the waiting exchanges, one the seats, and a few send; rings
// join them. An exchange whose token is at hand passes without any of them.
package grants

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
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

// Config is what a Runtime needs of the rest of the host.
type Config struct {
	Host       fleet.Host
	DataCentre fleet.DataCentre
	// Epoch is drawn when the process starts.
	Epoch uint64
	// Documents returns the document in effect.
	Documents func(fleet.Service) (*document.Document, bool)
	// Members returns the live and leaving hosts, this one among them.
	Members func() []fleet.Member
	// Call sends a request to another host.
	Call func(ctx context.Context, to fleet.Member, q *hostpb.GrantRequest) (*hostpb.GrantResponse, error)
	// Store keeps the seats. Without it a host takes itself for the home
	// wherever it wins by its own roster, which is safe only for a host alone.
	Store Store
	// Now reads the clock, with both the wall and the monotonic time.
	Now        func() time.Time
	Logger     *zap.Logger
	Registerer prometheus.Registerer
	Journal    *journal.Journal
	// AdmissionTimeout is the longest that an exchange waits for its tokens; zero takes
	// DefaultPatience.
	AdmissionTimeout time.Duration
}

const (
	// DefaultAdmissionTimeout is made for a short burst, and for a home that is lost:
	// until an ask to it has timed out and another data centre's home has
	// answered, no token can come. A caller above its rate is refused at once,
	// as soon as it is known that its token can't come within that time.
	DefaultAdmissionTimeout = 250 * time.Millisecond
	// serveInterval is how often the waiting exchanges and the stocks are looked after.
	serveInterval = 5 * time.Millisecond
	// maxArrivals bounds the exchanges on their way to the waiting ones. More than
	// that in one tick is far above any host's share of the load.
	maxArrivals = 8192
	// senders is how many requests to other hosts are in flight at a time.
	senders = 8
)

// Runtime is the part of a host that keeps accounts to their rate.
type Runtime struct {
	cfg     Config
	clock   clock
	metrics metrics

	entries       entries
	arrivals      ring.Ring[arrival]
	jobs          ring.Ring[requestBatch]
	results       ring.Ring[result]
	leaveRequests ring.Ring[chan struct{}]
	// stopped is set when nobody serves the arrivals any more.
	stopped atomic.Bool
	// updateMu is held while the record of the seats is read and swapped.
	updateMu sync.Mutex
	// nextCheck belongs to the goroutine that keeps the seats.
	nextCheck time.Time
	// out belongs to the serving goroutine.
	out outbox

	// mu guards what follows: it is held for map look-ups and sums only.
	mu    sync.Mutex
	homes map[accountID]*quota.Home
	// hadHome holds the accounts that ever had a home in this process.
	hadHome     map[accountID]bool
	shardStates map[quota.OwnershipID]*shardState
	released    map[roster.Shard]releasedShard
	witness     quota.Witness
	lastID      quota.GrantID
	leaving     bool
	// claiming is what Claiming returns.
	claiming atomic.Bool
}

// New returns a Runtime; Run makes it work.
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
		lastID:        firstGrantID(cfg.Host, cfg.Epoch),
	}
	r.clock.start(cfg.Now)
	r.witness.Since = r.clock.suspendAware()
	r.initMetrics()
	r.claiming.Store(cfg.Store.List != nil)
	return r
}

// firstGrantID makes the ids of a process's grants differ from those that a former
// home of the same accounts gave out: a report on one of those is then ignored.
func firstGrantID(h fleet.Host, epoch uint64) quota.GrantID {
	return quota.GrantID(xxhash.Sum64String(fmt.Sprint(h, epoch)))
}

// Run works until ctx ends.
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
// reason why not; nothing has been run then. done may be called before Admit
// returns, and must not block. An exchange without a deadline passes a zero one.
func (r *Runtime) Admit(s fleet.Service, a fleet.Account, n int, deadline time.Time, done func(*failure.Refusal)) {
	r.admit(s, a, waiter{n: quota.Tokens(n), deadline: deadline, done: done}, r.cfg.AdmissionTimeout)
}

// openTransactionTimeout is how long an exchange of an open transaction waits. No more of
// an account's transactions are open than it has connections, and these go before
// its new work, so a token comes for each within a few times 1/rate.
const openTransactionTimeout = 2 * time.Second

// AdmitOpen is Admit for an exchange of an open transaction, which goes before
// the account's new work and isn't refused for want of patience.
//
// The load is an account above its rate whose transactions were refused half-way:
// they held their connections and were charged for nothing, and had to be run
// again from the start. The bound of rate and burst holds as before, since such an
// exchange waits for its token too.
func (r *Runtime) AdmitOpen(s fleet.Service, a fleet.Account, n int, deadline time.Time, done func(*failure.Refusal)) {
	r.admit(s, a, waiter{n: quota.Tokens(n), deadline: deadline, done: done, open: true}, max(openTransactionTimeout, r.cfg.AdmissionTimeout))
}

func (r *Runtime) admit(s fleet.Service, a fleet.Account, w waiter, patience time.Duration) {
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
	if late := now.Add(patience); w.deadline.IsZero() || late.Before(w.deadline) {
		w.deadline = late
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

// refuseArrivals answers what has come to a runtime that no longer serves.
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

// minRetryAfter keeps a refused caller from coming back at once.
const minRetryAfter = 10 * time.Millisecond

func overRateRefusal(after time.Duration) *failure.Refusal {
	return &failure.Refusal{
		Code:       failure.CodeOverRate,
		Message:    "not run: the account is over its rate",
		RetryAfter: max(after, minRetryAfter),
		Step:       "admit",
	}
}
