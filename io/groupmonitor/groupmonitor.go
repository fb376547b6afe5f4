// Package groupmonitor runs one database group on one of its holders: it polls
// the instances for their status, gives waiting requests the proof they need,
// and changes the primary when it fails. core/group makes these decisions.
package groupmonitor

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
	"skylarkdeal/core/journal"
	"skylarkdeal/core/ring"
	"skylarkdeal/io/control"
	"skylarkdeal/io/host/hostpb"
)

// Config configures a Monitor. Service, Host, Document and Dial are required.
type Config struct {
	Service    fleet.Service
	Host       fleet.Host
	DataCentre fleet.DataCentre
	// Epoch distinguishes this process from earlier ones with the same host
	// name.
	Epoch uint64
	// Document returns the service's document in effect; nil while there is none.
	Document func() *document.Document
	// Dial returns a client for an instance. The Monitor closes it.
	Dial func(i document.Instance) control.Client
	// Holders returns the hosts that hold the group's connections, this one
	// among them, the preferred one first.
	Holders func() []fleet.Member
	// RequestView requests another holder's view of the group. If nil, no views are
	// requested.
	RequestView func(ctx context.Context, m fleet.Member) (*hostpb.ViewResponse, error)
	// Policy decides when the primary counts as failed.
	Policy group.Policy
	// Now returns the time with its monotonic part; time.Now if nil.
	Now        func() time.Time
	Logger     *zap.Logger
	Registerer prometheus.Registerer
	Journal    *journal.Journal
	// Seed makes the random part of the back-off differ between hosts.
	Seed uint64
}

// Monitor runs one group on one holder. New creates it, Run runs it.
type Monitor struct {
	cfg      Config
	log      *zap.Logger
	metrics  metrics
	events   ring.Ring[event]
	snapshot atomic.Pointer[group.Snapshot]
	state    atomic.Pointer[State]
	onChange atomic.Pointer[func()]
	// fastPollUntil is the time, in Unix nanoseconds, until which this host
	// polls quickly because another host requested its view.
	fastPollUntil atomic.Int64
	once          sync.Once
	stopped       chan struct{}

	loop
}

// loop is the part of a Monitor that only the goroutine of Run accesses.
type loop struct {
	ctx           context.Context
	goroutines    sync.WaitGroup
	rand          *rand.Rand
	doc           *document.Document
	group         group.Group
	links         map[fleet.Instance]*link
	waiting       []*waiter
	views         map[fleet.Host]group.View
	viewsPending  fleet.Set[fleet.Host]
	change        change
	lastWaitingAt time.Time
	// policy is Config.Policy with the settings of the document applied.
	policy group.Policy
	// lastQuorumAt is when a majority of the instances last answered.
	lastQuorumAt time.Time
	// members are the group's holders as read at membersAt.
	members   []fleet.Member
	membersAt time.Time
	// lastNeededAt is when this host last was a holder, had requests waiting or
	// ran a promotion.
	lastNeededAt time.Time
}

// maxQueuedEvents is how many events may wait for the loop. Most of them are
// writes that wait for a proof, and a holder has far fewer connections than
// this.
const maxQueuedEvents = 4096

// New returns a Monitor that is not yet running.
func New(cfg Config) *Monitor {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	s := &Monitor{
		cfg:     cfg,
		log:     cfg.Logger.With(zap.String("service", string(cfg.Service))),
		metrics: newMetrics(cfg.Registerer),
		events:  ring.New[event](maxQueuedEvents),
		stopped: make(chan struct{}),
	}
	s.policy = cfg.Policy
	s.rand = rand.New(rand.NewPCG(cfg.Seed, cfg.Epoch))
	s.links = make(map[fleet.Instance]*link)
	s.views = make(map[fleet.Host]group.View)
	s.viewsPending = fleet.NewSet[fleet.Host]()
	s.snapshot.Store(&group.Snapshot{})
	s.state.Store(&State{Service: cfg.Service})
	return s
}

// Snapshot returns the state of the group as of the last step. It doesn't
// block.
func (s *Monitor) Snapshot() group.Snapshot {
	return *s.snapshot.Load()
}

// OnChange registers f, which the goroutine of Run calls whenever the primary,
// the term, the number of instances or the status of an instance has changed. f
// must not block. Only the last f registered is called.
func (s *Monitor) OnChange(f func()) {
	s.onChange.Store(&f)
}

// event is an input of the loop; exactly one field is set.
type event struct {
	answer *statusResult
	done   *commandResult
	wait   *waiter
	view   *viewResult
}

// Run runs the group until ctx ends. It returns when all its goroutines have
// ended and all waiting requests have been answered.
func (s *Monitor) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.ctx = ctx
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case e := <-s.events.Out():
			s.handleEvent(e)
		case <-timer.C:
		case <-ctx.Done():
		}
		s.drain()
		timer.Reset(s.step(s.cfg.Now()))
	}
	cancel()
	s.shutDown()
}

// maxEventsPerStep bounds how many events are handled between two steps, so
// that deadlines are checked even while many events arrive.
const maxEventsPerStep = 256

func (s *Monitor) drain() {
	for range maxEventsPerStep {
		e, ok := s.events.TryTake()
		if !ok {
			return
		}
		s.handleEvent(e)
	}
}

func (s *Monitor) handleEvent(e event) {
	switch {
	case e.answer != nil:
		s.handleStatus(*e.answer)
	case e.done != nil:
		s.handleCommandResult(*e.done)
	case e.wait != nil:
		s.waiting = append(s.waiting, e.wait)
	case e.view != nil:
		s.handlePeerView(*e.view)
	}
}

// step does all work due at now and returns the time until the next step.
func (s *Monitor) step(now time.Time) time.Duration {
	if s.group.Tick(now) {
		s.recordDecision(now, "wait", "this host was paused; the silence of the instances is measured anew")
	}
	s.refreshMembers(now)
	if s.isIdle(now) {
		s.disconnect(now)
	} else {
		s.applyDocument(now)
	}
	t := s.publish(now)
	if t.HasQuorum(now) || s.lastQuorumAt.IsZero() {
		s.lastQuorumAt = now
	}
	s.completeWaiters(now, t)
	s.failOver(now, t)
	s.pollInstances(now, t)
	return s.nextStepIn(now)
}

// nextStepIn returns the time until the next step.
func (s *Monitor) nextStepIn(now time.Time) time.Duration {
	d := maxStepInterval
	for _, w := range s.waiting {
		d = min(d, w.retryInterval(now), w.deadline.Sub(now))
	}
	return max(d, minRetryInterval/2)
}

// maxStepInterval is the longest time between two steps. It bounds how late a
// deadline or a suspicion is noticed. A host with three groups runs some 100
// steps a second.
const maxStepInterval = 25 * time.Millisecond

func (s *Monitor) publish(now time.Time) group.Snapshot {
	t := s.group.Snapshot(now)
	changed := snapshotChanged(*s.snapshot.Load(), t)
	s.snapshot.Store(&t)
	s.state.Store(s.newState(t))
	if f := s.onChange.Load(); changed && f != nil {
		(*f)()
	}
	return t
}

func snapshotChanged(a, b group.Snapshot) bool {
	if a.Primary != b.Primary || a.Term != b.Term || len(a.Observations) != len(b.Observations) {
		return true
	}
	for i := range a.Observations {
		if a.Observations[i].Status != b.Observations[i].Status {
			return true
		}
	}
	return false
}

func (s *Monitor) shutDown() {
	s.once.Do(func() { close(s.stopped) })
	for _, l := range s.links {
		l.close()
	}
	s.goroutines.Wait()
	s.drainWaiters()
}

func (s *Monitor) recordDecision(now time.Time, choice, reason string) {
	s.cfg.Journal.Add(journal.Decision{
		At: now, Kind: journal.KindFailover, Subject: "service=" + string(s.cfg.Service),
		Choice: choice, Reason: reason,
	})
	s.log.Info("decide", zap.String("choice", choice), zap.String("reason", reason))
}
