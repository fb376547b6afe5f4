package load

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/ring"
	"skylarkdeal/internal/load/check"
	"skylarkdeal/internal/sleep"
)

// Config says what to run.
type Config struct {
	// Hosts are the IP addresses and ports that sessions go to.
	Hosts    []string
	Profile  Profile
	Duration time.Duration
	Seed     uint64
	// Timeout bounds one operation, connecting included.
	Timeout time.Duration
	// Records are the URLs of the groups' records; a service without one is not
	// checked for lost and doubled writes.
	Records map[fleet.Service]string
	Plan    []Fault
	// Progress is called every second when it is set.
	Progress func(p Progress)
	Log      *zap.Logger
}

// DefaultTimeout is the Timeout of a zero Config.
const DefaultTimeout = 15 * time.Second

// The sessions of an account: enough for its arrivals at a mean latency of
// sessionLatency, within bounds.
const (
	leastSessions  = 3
	mostSessions   = 48
	sessionLatency = 0.15
	// connectAtATime bounds the connections opened at a time before the start,
	// since each costs a host the work of a SCRAM exchange.
	connectAtATime = 16
	// backlog is how many arrivals wait for a free session. More are counted as
	// not sent.
	backlog = 8192
)

// Progress is the state of a run.
type Progress struct {
	At      time.Duration
	OK      int64
	Refused int64
	Unknown int64
	Waiting int
}

// runner is one run.
type runner struct {
	cfg   Config
	log   *zap.Logger
	name  string
	start time.Time

	mu       sync.Mutex
	ops      []check.Op
	progress Progress
	queues   []ring.Ring[time.Duration]
}

// Run runs the load and returns its report. It ends early, without an error,
// when ctx does.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if len(cfg.Hosts) == 0 || len(cfg.Profile.Services) == 0 {
		return nil, errors.New("load: no hosts or no services")
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	r := &runner{cfg: cfg, log: cfg.Log, name: fmt.Sprintf("%x", rand.Uint64())}
	if r.log == nil {
		r.log = zap.NewNop()
	}
	sessions := r.sessions()
	defer func() {
		for _, s := range sessions {
			s.close()
		}
	}()
	if err := r.connect(ctx, sessions); err != nil {
		return nil, err
	}
	faults := r.drive(ctx, sessions)
	r.leftOver()
	record := check.Record{Ops: r.ops, Limits: cfg.Profile.Limits()}
	var err error
	record.Applied, err = applied(ctx, cfg.Records)
	return newReport(cfg, time.Since(r.start), record, faults), err
}

// sessions lays out the sessions of all accounts.
func (r *runner) sessions() []*session {
	var all []*session
	for _, s := range r.cfg.Profile.Services {
		for _, a := range s.Accounts {
			q := ring.New[time.Duration](backlog)
			r.queues = append(r.queues, q)
			peak := max(a.arrivals(0), a.arrivals(a.SurgeEvery-1))
			n := min(mostSessions, max(leastSessions, int(math.Ceil(peak*sessionLatency))))
			for range n {
				all = append(all, newSession(r, s, a, q, check.Session(len(all)+1)))
			}
		}
	}
	return all
}

// connect opens the sessions' first connections before the clock starts.
func (r *runner) connect(ctx context.Context, sessions []*session) error {
	r.start = time.Now()
	var g errgroup.Group
	g.SetLimit(connectAtATime)
	for _, s := range sessions {
		g.Go(func() error { return s.warm(ctx) })
	}
	if err := g.Wait(); err != nil {
		return fmt.Errorf("load: %w", err)
	}
	return nil
}

// drive runs arrivals, sessions and faults, and returns when all have ended.
func (r *runner) drive(ctx context.Context, sessions []*session) []FaultResult {
	r.start = time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Duration)
	defer cancel()
	var tasks sync.WaitGroup
	for _, s := range sessions {
		tasks.Go(func() { s.serve(ctx) })
	}
	n := 0
	for _, s := range r.cfg.Profile.Services {
		for _, a := range s.Accounts {
			q, seed := r.queues[n], uint64(n)
			n++
			tasks.Go(func() { r.arrive(ctx, s, a, q, rand.New(rand.NewPCG(r.cfg.Seed, seed))) })
		}
	}
	if r.cfg.Progress != nil {
		tasks.Go(func() { r.report(ctx) })
	}
	var faults []FaultResult
	tasks.Go(func() { faults = r.inject(ctx) })
	tasks.Wait()
	return faults
}

// arrive makes arrivals of a Poisson process, whatever becomes of the earlier
// ones: latencies count from the time at which an arrival was due, so that a
// stall shows in all operations that it held up.
func (r *runner) arrive(ctx context.Context, s Service, a Account, q ring.Ring[time.Duration], rng *rand.Rand) {
	t := time.NewTimer(0)
	defer t.Stop()
	for at := time.Duration(0); at < r.cfg.Duration; {
		at += time.Duration(rng.ExpFloat64() / a.arrivals(at) * float64(time.Second))
		t.Reset(at - r.since())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if !q.TryPut(at) {
			r.unsent(s, a, at)
		}
	}
}

// unsent records an arrival for which no session was free.
func (r *runner) unsent(s Service, a Account, due time.Duration) {
	now := r.since()
	r.add(check.Op{Service: s.Name, Account: a.Name, Intended: due, Sent: now, Answered: now,
		Outcome: check.OutcomeUnsent, Code: "backlog",
		Statements: []check.Statement{{Sent: due, Answered: now, Unsent: true}}})
}

// leftOver records the arrivals that no session got to: left out, the worst of
// the demand would count as never made.
func (r *runner) leftOver() {
	n := 0
	for _, s := range r.cfg.Profile.Services {
		for _, a := range s.Accounts {
			for q := r.queues[n]; q.Len() > 0; {
				r.unsent(s, a, <-q.Out())
			}
			n++
		}
	}
}

func (r *runner) since() time.Duration {
	return time.Since(r.start)
}

func (r *runner) add(o check.Op) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, o)
	switch o.Outcome {
	case check.OutcomeOK:
		r.progress.OK++
	case check.OutcomeUnknown:
		r.progress.Unknown++
	default:
		r.progress.Refused++
	}
}

// progressEvery is how often Progress is called.
const progressEvery = time.Second

func (r *runner) report(ctx context.Context) {
	sleep.Every(ctx, progressEvery, func() {
		r.mu.Lock()
		p := r.progress
		r.mu.Unlock()
		p.At = r.since()
		for _, q := range r.queues {
			p.Waiting += q.Len()
		}
		r.cfg.Progress(p)
	})
}
