package groupmonitor

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
	"skylarkdeal/io/host/hostpb"
)

// change is the state of the change of primary that is due or under way.
type change struct {
	promotion *group.Promotion
	attempts  uint64
	failed    int
	// cause and due are of the judgement that asks for a promotion.
	cause group.Cause
	due   time.Time
	// after is the end of the back-off.
	after time.Time
	asked time.Time
	fixed time.Time
	why   string
}

const (
	// rankDelay is the head start of each host over the next in rank: enough for
	// a promotion at 1 ms links to be seen by the others.
	rankDelay = 100 * time.Millisecond
	// The back-off after a failed promotion, doubled each time, of which a
	// random part is waited, so that two proposers don't fence each other out
	// again and again.
	backOffLeast = 100 * time.Millisecond
	backOffMost  = 2 * time.Second
	// viewPace is how often other holders are asked while the primary is silent,
	// viewLife how long what they said counts.
	viewPace = 100 * time.Millisecond
	viewLife = 350 * time.Millisecond
	// repairPace is how often a replica that follows the wrong primary is told.
	repairPace = 250 * time.Millisecond
	// alertLife is how long a host asks quickly once another was suspicious.
	alertLife = 3 * time.Second
)

type viewed struct {
	member fleet.Member
	view   group.View
	err    error
}

func (s *Steward) failOver(now time.Time, t group.Snapshot) {
	if len(t.Observations) == 0 {
		return
	}
	c := &s.change
	if c.promotion != nil {
		s.dispatch(c.promotion.Tick(now))
		s.conclude(now)
		return
	}
	s.askViews(now, t)
	s.repair(now, t)
	j := group.AssessPrimary(now, s.policy, t, s.witness(), s.freshViews(now), s.order())
	c.why = j.Reason
	if j.Cause != c.cause {
		c.cause = j.Cause
		wait := time.Duration(j.Rank)*rankDelay + s.jitter(rankDelay/4)*time.Duration(min(1, j.Rank))
		c.due = now.Add(wait)
	}
	if j.Cause == group.CauseNone || now.Before(c.due) || now.Before(c.after) {
		return
	}
	s.promote(now, t, j)
}

func (s *Steward) jitter(d time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(d) + 1))
}

func (s *Steward) promote(now time.Time, t group.Snapshot, j group.Assessment) {
	c := &s.change
	c.attempts++
	proposer := group.Proposer(s.cfg.Host, s.cfg.Epoch, c.attempts)
	p, orders := group.Promote(now, t, proposer, j.Excluded)
	c.promotion = p
	s.note(now, fmt.Sprintf("promote in term %d", p.Term), string(j.Cause)+": "+j.Reason)
	s.dispatch(orders)
}

func (s *Steward) dispatch(orders []group.Command) {
	for _, o := range orders {
		l := s.links[o.Instance]
		if l != nil {
			l.orders.TryPut(o)
		}
	}
}

func (s *Steward) takeDone(d done) {
	now := s.cfg.Now()
	if d.err == nil {
		s.group.CommandAnswered(d.order.Instance, d.sent, d.at, d.status)
	} else {
		s.log.Warn("order failed", zap.String("act", string(d.order.Act)),
			zap.String("instance", string(d.order.Instance)), zap.Error(d.err))
	}
	p := s.change.promotion
	if p == nil {
		return
	}
	s.dispatch(p.HandleAnswer(now, d.order, d.status, d.err))
	s.conclude(now)
}

func (s *Steward) conclude(now time.Time) {
	c := &s.change
	p := c.promotion
	if !p.Ended() {
		return
	}
	c.promotion, c.cause = nil, group.CauseNone
	s.metrics.promotions.WithLabelValues(string(p.Phase)).Inc()
	if p.Phase == group.PhaseDone {
		c.failed = 0
		c.fixed = time.Time{}
		c.after = now.Add(backOffLeast)
		s.note(now, "promoted "+string(p.Target), fmt.Sprintf("term %d", p.Term))
		return
	}
	bound := min(backOffMost, backOffLeast<<min(c.failed, 8))
	c.failed++
	c.after = now.Add(s.jitter(bound))
	s.note(now, fmt.Sprintf("give up term %d", p.Term), p.Reason)
}

// repair has the replicas follow the primary. The preferred holder does it at
// once and the others later, since one suffices and the order is idempotent.
func (s *Steward) repair(now time.Time, t group.Snapshot) {
	c := &s.change
	orders := slices.DeleteFunc(group.Repair(t), func(o group.Command) bool {
		i, _ := t.Find(o.Instance)
		return s.policy.ShouldAskPeers(i, now)
	})
	if len(orders) == 0 {
		c.fixed = time.Time{}
		return
	}
	if c.fixed.IsZero() {
		c.fixed = now.Add(time.Duration(s.rank()) * repairPace)
	}
	if now.Before(c.fixed) {
		return
	}
	c.fixed = now.Add(repairPace)
	s.dispatch(orders)
}

func (s *Steward) witness() group.Observer {
	return group.Observer{Host: s.cfg.Host, DataCentre: s.cfg.DataCentre}
}

func (s *Steward) order() []fleet.Host {
	var out []fleet.Host
	for _, m := range s.members {
		out = append(out, m.Host)
	}
	return out
}

func (s *Steward) rank() int {
	return max(0, slices.Index(s.order(), s.cfg.Host))
}

// askViews asks the other holders while the primary is silent.
func (s *Steward) askViews(now time.Time, t group.Snapshot) {
	if s.cfg.AskView == nil || !s.policy.NeedsFastPolling(t, now) || now.Sub(s.change.asked) < viewPace {
		return
	}
	s.change.asked = now
	for _, m := range s.members {
		if m.Host == s.cfg.Host || s.viewing.Has(m.Host) {
			continue
		}
		s.viewing.Add(m.Host)
		s.duties.Go(func() { s.askView(m) })
	}
}

func (s *Steward) askView(m fleet.Member) {
	ctx, cancel := context.WithTimeout(s.ctx, viewLife)
	defer cancel()
	at := s.cfg.Now()
	r, err := s.cfg.AskView(ctx, m)
	v := viewed{member: m, err: err}
	if err == nil {
		v.view = fromProto(m.Host, at, r)
	}
	_ = s.events.Put(s.ctx, event{view: &v})
}

func (s *Steward) takeView(v viewed) {
	delete(s.viewing, v.member.Host)
	if v.err == nil {
		s.views[v.member.Host] = v.view
	}
}

func (s *Steward) freshViews(now time.Time) []group.View {
	var out []group.View
	for h, v := range s.views {
		if now.Sub(v.At) > viewLife {
			delete(s.views, h)
			continue
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b group.View) int { return compare(a.Host, b.Host) })
	return out
}

func compare(a, b fleet.Host) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// HandleView answers another holder that asks how this one sees the group, and
// has this one ask the instances quickly for a while.
func (s *Steward) HandleView() *hostpb.ViewResponse {
	now := s.cfg.Now()
	s.alert.Store(now.Add(alertLife).UnixNano())
	return toProto(s.cfg.DataCentre, s.cfg.Policy.Views(s.Snapshot(), now))
}
