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

// link is the way to one instance: two duties that ask for its status, so that
// one late answer doesn't hold up the next question, and one that has it take
// the steps of a change of primary.
type link struct {
	name    fleet.Instance
	address string
	client  control.Client
	cancel  context.CancelFunc
	asks    ring.Ring[struct{}]
	orders  ring.Ring[group.Command]

	// out is how many questions are under way, asked when the last was sent.
	out   int
	asked time.Time
}

const (
	askers    = 2
	orderRoom = 4
	// askTimeout ends a question. It outlasts the slowest answer that a primary
	// may give without being suspected.
	askTimeout = 2 * time.Second
	// orderTimeout ends a step of a change of primary.
	orderTimeout = time.Second
)

// answer is an instance's answer to a question, or the lack of one.
type answer struct {
	link   *link
	sent   time.Time
	at     time.Time
	status fleet.Status
	err    error
}

// done is an instance's answer to an order.
type done struct {
	order  group.Command
	sent   time.Time
	at     time.Time
	status fleet.Status
	err    error
}

func (s *Steward) connect(i document.Instance) *link {
	ctx, cancel := context.WithCancel(s.ctx)
	l := &link{
		name:    i.Name,
		address: i.Address,
		client:  s.cfg.Dial(i),
		cancel:  cancel,
		asks:    ring.New[struct{}](askers),
		orders:  ring.New[group.Command](orderRoom),
	}
	for range askers {
		s.duties.Go(func() { s.runAsker(ctx, l) })
	}
	s.duties.Go(func() { s.runOrders(ctx, l) })
	return l
}

func (l *link) close() {
	l.cancel()
	if l.client.Close != nil {
		l.client.Close()
	}
}

func (s *Steward) runAsker(ctx context.Context, l *link) {
	l.asks.Each(ctx, func(struct{}) {
		a := s.askOnce(ctx, l)
		_ = s.events.Put(ctx, event{answer: &a}) // fails only once ctx has ended, as this duty then does
	})
}

func (s *Steward) askOnce(ctx context.Context, l *link) answer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a := answer{link: l, sent: s.cfg.Now()}
	a.status, a.err = l.client.Status(ctx)
	a.at = s.cfg.Now()
	return a
}

func (s *Steward) runOrders(ctx context.Context, l *link) {
	l.orders.Each(ctx, func(o group.Command) {
		d := s.carryOut(ctx, l, o)
		_ = s.events.Put(ctx, event{done: &d}) // as above
	})
}

func (s *Steward) carryOut(ctx context.Context, l *link, o group.Command) done {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	d := done{order: o, sent: s.cfg.Now()}
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

func (s *Steward) takeAnswer(a answer) {
	if s.links[a.link.name] != a.link {
		return // the instance has been taken out or has moved
	}
	a.link.out--
	switch {
	case a.err == nil:
		s.group.StatusReceived(a.link.name, a.sent, a.at, a.status)
	case full(a.err):
		s.group.TooManyConnections(a.link.name, a.at)
	default:
		s.group.StatusFailed(a.link.name, errors.Is(a.err, syscall.ECONNREFUSED))
	}
}

// full reports whether an instance refused the connection because it has too
// many. It is then overloaded, not dead, and a promotion would add to its load.
func full(err error) bool {
	var p *pgconn.PgError
	if errors.As(err, &p) {
		return p.Code == string(failure.CodeTooManySessions)
	}
	var r *failure.Refusal
	return errors.As(err, &r) && r.Code == failure.CodeTooManySessions
}

// The pace of questions that nobody waits for. A status costs some 400 bytes
// with its headers, and a host of the target size holds about three groups of
// three instances: the lead asks the primary every quarter of a second and all
// else is asked once a second, 5 questions a second for each group.
const (
	paceBusy  = 50 * time.Millisecond
	paceLead  = 250 * time.Millisecond
	paceIdle  = time.Second
	busyAfter = 2 * time.Second
)

// leads is how many of the holders watch an idle primary closely: two, since a
// promotion takes two.
const leads = 2

func (s *Steward) ask(now time.Time, t group.Snapshot) {
	pace, rest := s.pace(now, t)
	for _, i := range t.Observations {
		l := s.links[i.Instance.Name]
		every := rest
		if i.Instance.Name == t.Primary || t.Primary == "" {
			every = pace
		}
		if now.Sub(l.asked) < every && !s.demands(now, l, i) {
			continue
		}
		if l.out >= askers || !l.asks.TryPut(struct{}{}) {
			continue
		}
		l.out++
		l.asked = now
		s.metrics.questions.Inc()
		s.group.StatusRequested(l.name, now)
	}
}

// pace returns how often to ask the primary and the others.
func (s *Steward) pace(now time.Time, t group.Snapshot) (time.Duration, time.Duration) {
	troubled := s.policy.NeedsFastPolling(t, now) || s.change.promotion != nil
	if troubled || now.UnixNano() < s.alert.Load() || now.Sub(s.busy) < busyAfter {
		return paceBusy, paceBusy
	}
	if s.rank() < leads {
		return paceLead, paceIdle
	}
	return paceIdle, paceIdle
}
