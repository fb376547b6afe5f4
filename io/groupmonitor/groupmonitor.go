// Package groupmonitor runs one database group on one of its holders: it asks the
// instances for their status, proves to waiting requests what they need proven,
// and changes the primary when it fails. core/group decides all of that.
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

// Config is what a Steward needs. Service, Host, Document and Dial are
// required.
type Config struct {
	Service    fleet.Service
	Host       fleet.Host
	DataCentre fleet.DataCentre
	// Epoch tells this process from others that had the same host name.
	Epoch uint64
	// Document returns the service's document in effect; nil while there is none.
	Document func() *document.Document
	// Dial returns the way to an instance. The Steward closes it.
	Dial func(i document.Instance) control.Client
	// Holders returns the hosts that hold the group's connections, this one
	// among them, the preferred one first.
	Holders func() []fleet.Member
	// AskView asks another holder how it sees the group.
	AskView func(ctx context.Context, m fleet.Member) (*hostpb.ViewResponse, error)
	// Policy bounds when the primary counts as failed.
	Policy group.Policy
	// Now returns the time with its monotonic part; time.Now if nil.
	Now        func() time.Time
	Logger     *zap.Logger
	Registerer prometheus.Registerer
	Journal    *journal.Journal
	// Seed makes the back-off differ between hosts.
	Seed uint64
}

// Steward runs one group on one holder. New makes one, Run runs it.
type Steward struct {
	cfg     Config
	log     *zap.Logger
	metrics metrics
	events  ring.Ring[event]
	table   atomic.Pointer[group.Snapshot]
	state   atomic.Pointer[State]
	watched atomic.Pointer[func()]
	// alert is until when, in Unix nanoseconds, another host's suspicion has
	// this one ask quickly.
	alert atomic.Int64
	once  sync.Once
	ended chan struct{}

	loop
}

// loop is the part of a Steward that its one goroutine owns.
type loop struct {
	ctx     context.Context
	duties  sync.WaitGroup
	rand    *rand.Rand
	doc     *document.Document
	group   group.Group
	links   map[fleet.Instance]*link
	waiting []*waiter
	views   map[fleet.Host]group.View
	viewing fleet.Set[fleet.Host]
	change  change
	busy    time.Time
	// policy is the Config's, as the document has it.
	policy group.Policy
	// quorate is when a majority of the instances last answered.
	quorate time.Time
	// members are the group's holders as of membersAt.
	members   []fleet.Member
	membersAt time.Time
	// needed is when this host last was a holder or had requests waiting.
	needed time.Time
}

// eventRoom is how many events may wait for the loop. Writes that wait for a
// proof are the most of them, and a holder has far fewer connections than this.
const eventRoom = 4096

// New returns a Steward that is not yet running.
func New(cfg Config) *Steward {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	s := &Steward{
		cfg:     cfg,
		log:     cfg.Logger.With(zap.String("service", string(cfg.Service))),
		metrics: newMetrics(cfg.Registerer),
		events:  ring.New[event](eventRoom),
		ended:   make(chan struct{}),
	}
	s.policy = cfg.Policy
	s.rand = rand.New(rand.NewPCG(cfg.Seed, cfg.Epoch))
	s.links = make(map[fleet.Instance]*link)
	s.views = make(map[fleet.Host]group.View)
	s.viewing = fleet.NewSet[fleet.Host]()
	s.table.Store(&group.Snapshot{})
	s.state.Store(&State{Service: cfg.Service})
	return s
}

// Snapshot returns what is known of the group. It doesn't wait.
func (s *Steward) Snapshot() group.Snapshot {
	return *s.table.Load()
}

// OnChange has f called, on the Steward's own goroutine, whenever the primary,
// the term or the end of an instance's log has changed. f must not block.
func (s *Steward) OnChange(f func()) {
	s.watched.Store(&f)
}

// event is something that the loop has to take up; the field that is set says
// what.
type event struct {
	answer *answer
	done   *done
	wait   *waiter
	view   *viewed
}

// Run runs the group until ctx ends. It returns when all its goroutines have
// ended and all that waited has been answered.
func (s *Steward) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.ctx = ctx
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case e := <-s.events.Out():
			s.take(e)
		case <-timer.C:
		case <-ctx.Done():
		}
		s.drain()
		timer.Reset(s.step(s.cfg.Now()))
	}
	cancel()
	s.finish()
}

// drainLimit bounds how many events are taken up between two steps, so that
// deadlines are looked at even while events pour in.
const drainLimit = 256

func (s *Steward) drain() {
	for range drainLimit {
		e, ok := s.events.TryTake()
		if !ok {
			return
		}
		s.take(e)
	}
}

func (s *Steward) take(e event) {
	switch {
	case e.answer != nil:
		s.takeAnswer(*e.answer)
	case e.done != nil:
		s.takeDone(*e.done)
	case e.wait != nil:
		s.waiting = append(s.waiting, e.wait)
	case e.view != nil:
		s.takeView(*e.view)
	}
}

// step does what is due at now and returns the time until the next step.
func (s *Steward) step(now time.Time) time.Duration {
	if s.group.Tick(now) {
		s.note(now, "wait", "this host was paused; the instances' silence counts anew")
	}
	s.recall(now)
	if s.resting(now) {
		s.rest(now)
	} else {
		s.adopt(now)
	}
	t := s.publish(now)
	if t.HasQuorum(now) || s.quorate.IsZero() {
		s.quorate = now
	}
	s.settle(now, t)
	s.failOver(now, t)
	s.ask(now, t)
	return s.next(now)
}

// next returns the time until the next step.
func (s *Steward) next(now time.Time) time.Duration {
	d := tick
	for _, w := range s.waiting {
		d = min(d, w.pause(now), w.deadline.Sub(now))
	}
	return max(d, againLeast/2)
}

// tick is the longest time between two steps. It bounds how late a deadline or
// a suspicion is noticed, and costs some 100 steps a second for a host with
// three groups.
const tick = 25 * time.Millisecond

func (s *Steward) publish(now time.Time) group.Snapshot {
	t := s.group.Snapshot(now)
	changed := differs(*s.table.Load(), t)
	s.table.Store(&t)
	s.state.Store(s.snapshot(t))
	if f := s.watched.Load(); changed && f != nil {
		(*f)()
	}
	return t
}

func differs(a, b group.Snapshot) bool {
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

func (s *Steward) finish() {
	s.once.Do(func() { close(s.ended) })
	for _, l := range s.links {
		l.close()
	}
	s.duties.Wait()
	s.drainWaiters()
}

func (s *Steward) note(now time.Time, choice, reason string) {
	s.cfg.Journal.Add(journal.Decision{
		At: now, Kind: journal.KindFailover, Subject: "service=" + string(s.cfg.Service),
		Choice: choice, Reason: reason,
	})
	s.log.Info("decide", zap.String("choice", choice), zap.String("reason", reason))
}
