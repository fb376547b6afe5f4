package groupmonitor

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"skylarkdeal/core/document"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
	"skylarkdeal/core/ring"
	"skylarkdeal/io/control"
)

// link is the connection to one instance: two goroutines that poll its status,
// so that one late response doesn't delay the next request, and one that runs
// the commands of a promotion or a repair.
type link struct {
	name     fleet.Instance
	address  string
	client   control.Client
	cancel   context.CancelFunc
	polls    ring.Ring[struct{}]
	commands ring.Ring[group.Command]

	// inFlight is the number of status requests without a response yet,
	// lastPolledAt when the last one was queued.
	inFlight     int
	lastPolledAt time.Time
}

const (
	pollersPerInstance = 2
	maxQueuedCommands  = 4
	// statusTimeout ends a status request. It is longer than the slowest
	// response that a primary may give without being suspected.
	statusTimeout = 2 * time.Second
	// commandTimeout ends a command.
	commandTimeout = time.Second
)

// statusResult is the outcome of a status request.
type statusResult struct {
	link   *link
	sent   time.Time
	at     time.Time
	status fleet.Status
	err    error
}

// commandResult is the outcome of a command.
type commandResult struct {
	command group.Command
	sent    time.Time
	at      time.Time
	status  fleet.Status
	err     error
}

func (s *Monitor) connect(i document.Instance) *link {
	ctx, cancel := context.WithCancel(s.ctx)
	l := &link{
		name:     i.Name,
		address:  i.Address,
		client:   s.cfg.Dial(i),
		cancel:   cancel,
		polls:    ring.New[struct{}](pollersPerInstance),
		commands: ring.New[group.Command](maxQueuedCommands),
	}
	for range pollersPerInstance {
		s.goroutines.Go(func() { s.runPoller(ctx, l) })
	}
	s.goroutines.Go(func() { s.runCommands(ctx, l) })
	return l
}

func (l *link) close() {
	l.cancel()
	if l.client.Close != nil {
		l.client.Close()
	}
}

func (s *Monitor) runPoller(ctx context.Context, l *link) {
	l.polls.Each(ctx, func(struct{}) {
		a := s.requestStatus(ctx, l)
		_ = s.events.Put(ctx, event{answer: &a}) // fails only once ctx has ended, as this goroutine then does
	})
}

func (s *Monitor) requestStatus(ctx context.Context, l *link) statusResult {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	a := statusResult{link: l, sent: s.cfg.Now()}
	a.status, a.err = l.client.Status(ctx)
	a.at = s.cfg.Now()
	return a
}

func (s *Monitor) runCommands(ctx context.Context, l *link) {
	l.commands.Each(ctx, func(o group.Command) {
		d := s.execute(ctx, l, o)
		_ = s.events.Put(ctx, event{done: &d}) // as above
	})
}

func (s *Monitor) execute(ctx context.Context, l *link, o group.Command) commandResult {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	d := commandResult{command: o, sent: s.cfg.Now()}
	switch o.Act {
	case group.ActFence:
		d.status, d.err = l.client.Fence(ctx, o.Term, o.Proposer)
	case group.ActPromote:
		d.status, d.err = l.client.Promote(ctx, o.Term, o.Proposer)
	case group.ActFollow:
		d.status, d.err = l.client.Follow(ctx, o.Term, o.Primary, o.Address)
	}
	d.at = s.cfg.Now()
	return d
}

func (s *Monitor) handleStatus(a statusResult) {
	if s.links[a.link.name] != a.link {
		return // the instance was removed or has another address
	}
	a.link.inFlight--
	switch {
	case a.err == nil:
		s.group.StatusReceived(a.link.name, a.sent, a.at, a.status)
	case tooManyConnections(a.err):
		s.group.TooManyConnections(a.link.name, a.at)
	default:
		s.group.StatusFailed(a.link.name, errors.Is(a.err, syscall.ECONNREFUSED))
	}
}

// tooManyConnections reports whether an instance refused the connection because
// it has too many. It is then overloaded, not failed, and a promotion would add
// to its load.
func tooManyConnections(err error) bool {
	var p *pgconn.PgError
	if errors.As(err, &p) {
		return p.Code == string(failure.CodeTooManySessions)
	}
	var r *failure.Refusal
	return errors.As(err, &r) && r.Code == failure.CodeTooManySessions
}

// Poll intervals while no request waits for a status. A status costs some 400
// bytes with its headers, and a host of the target size holds about three
// groups of three instances: a holder among the first maxPrimaryPollers polls
// the primary every quarter of a second and the others once a second, 5
// requests a second for each group.
const (
	busyPollInterval    = 50 * time.Millisecond
	primaryPollInterval = 250 * time.Millisecond
	idlePollInterval    = time.Second
	busyTimeout         = 2 * time.Second
)

// maxPrimaryPollers is how many of the holders poll an idle primary at
// primaryPollInterval: two, since a promotion takes two.
const maxPrimaryPollers = 2

func (s *Monitor) pollInstances(now time.Time, t group.Snapshot) {
	primaryInterval, otherInterval := s.pollIntervals(now, t)
	for _, i := range t.Observations {
		l := s.links[i.Instance.Name]
		interval := otherInterval
		if i.Instance.Name == t.Primary || t.Primary == "" {
			interval = primaryInterval
		}
		if now.Sub(l.lastPolledAt) < interval && !s.needsStatus(now, l, i) {
			continue
		}
		if l.inFlight >= pollersPerInstance || !l.polls.TryPut(struct{}{}) {
			continue
		}
		l.inFlight++
		l.lastPolledAt = now
		s.metrics.statusRequests.Inc()
		s.group.StatusRequested(l.name, now)
	}
}

// pollIntervals returns the poll interval of the primary and that of the other
// instances.
func (s *Monitor) pollIntervals(now time.Time, t group.Snapshot) (time.Duration, time.Duration) {
	needsFastPolling := s.policy.NeedsFastPolling(t, now) || s.change.promotion != nil
	if needsFastPolling || now.UnixNano() < s.fastPollUntil.Load() || now.Sub(s.lastWaitingAt) < busyTimeout {
		return busyPollInterval, busyPollInterval
	}
	if s.rank() < maxPrimaryPollers {
		return primaryPollInterval, idlePollInterval
	}
	return idlePollInterval, idlePollInterval
}
