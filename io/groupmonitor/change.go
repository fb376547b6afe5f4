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

// change is the state of a promotion that is due or under way, and of the
// repair of replicas.
type change struct {
	promotion *group.Promotion
	attempts  uint64
	failed    int
	// cause is that of the latest assessment, due when the promotion it calls
	// for may begin on this host.
	cause group.Cause
	due   time.Time
	// retryAt is the end of the back-off.
	retryAt          time.Time
	viewsRequestedAt time.Time
	nextRepairAt     time.Time
	reason           string
}

const (
	// rankDelay is how much later each host begins a promotion than the one
	// before it in rank: enough for a promotion over links of 1 ms to be seen
	// by the others.
	rankDelay = 100 * time.Millisecond
	// Bounds of the back-off after a failed promotion. The bound doubles with
	// each failure, and the wait is a random part of it, so that two proposers
	// don't repeatedly fence each other out.
	minBackOff = 100 * time.Millisecond
	maxBackOff = 2 * time.Second
	// viewInterval is how often other holders are asked for their views while
	// the primary is silent, maxViewAge how long a view counts.
	viewInterval = 100 * time.Millisecond
	maxViewAge   = 350 * time.Millisecond
	// repairInterval is how often a replica that follows the wrong primary is
	// told to follow the right one.
	repairInterval = 250 * time.Millisecond
	// fastPollTimeout is how long a host polls quickly after another host
	// requested its view.
	fastPollTimeout = 3 * time.Second
)

type viewResult struct {
	member fleet.Member
	view   group.View
	err    error
}

func (s *Monitor) failOver(now time.Time, t group.Snapshot) {
	if len(t.Observations) == 0 {
		return
	}
	c := &s.change
	if c.promotion != nil {
		s.dispatch(c.promotion.Tick(now))
		s.finishPromotion(now)
		return
	}
	s.requestViews(now, t)
	s.repair(now, t)
	j := group.AssessPrimary(now, s.policy, t, s.observer(), s.freshViews(now), s.memberHosts())
	c.reason = j.Reason
	if j.Cause != c.cause {
		c.cause = j.Cause
		wait := time.Duration(j.Rank)*rankDelay + s.jitter(rankDelay/4)*time.Duration(min(1, j.Rank))
		c.due = now.Add(wait)
	}
	if j.Cause == group.CauseNone || now.Before(c.due) || now.Before(c.retryAt) {
		return
	}
	s.promote(now, t, j)
}

func (s *Monitor) jitter(d time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(d) + 1))
}

func (s *Monitor) promote(now time.Time, t group.Snapshot, j group.Assessment) {
	c := &s.change
	c.attempts++
	proposer := group.Proposer(s.cfg.Host, s.cfg.Epoch, c.attempts)
	p, commands := group.Promote(now, t, proposer, j.Excluded)
	c.promotion = p
	s.recordDecision(now, fmt.Sprintf("promote in term %d", p.Term), string(j.Cause)+": "+j.Reason)
	s.dispatch(commands)
}

func (s *Monitor) dispatch(commands []group.Command) {
	for _, o := range commands {
		l := s.links[o.Instance]
		if l != nil {
			l.commands.TryPut(o)
		}
	}
}

func (s *Monitor) handleCommandResult(d commandResult) {
	now := s.cfg.Now()
	if d.err == nil {
		s.group.CommandAnswered(d.command.Instance, d.sent, d.at, d.status)
	} else {
		s.log.Warn("order failed", zap.String("act", string(d.command.Act)),
			zap.String("instance", string(d.command.Instance)), zap.Error(d.err))
	}
	p := s.change.promotion
	if p == nil {
		return
	}
	s.dispatch(p.HandleAnswer(now, d.command, d.status, d.err))
	s.finishPromotion(now)
}

func (s *Monitor) finishPromotion(now time.Time) {
	c := &s.change
	p := c.promotion
	if !p.Ended() {
		return
	}
	c.promotion, c.cause = nil, group.CauseNone
	s.metrics.promotions.WithLabelValues(string(p.Phase)).Inc()
	if p.Phase == group.PhaseDone {
		c.failed = 0
		c.nextRepairAt = time.Time{}
		c.retryAt = now.Add(minBackOff)
		s.recordDecision(now, "promoted "+string(p.Target), fmt.Sprintf("term %d", p.Term))
		return
	}
	maxWait := min(maxBackOff, minBackOff<<min(c.failed, 8))
	c.failed++
	c.retryAt = now.Add(s.jitter(maxWait))
	s.recordDecision(now, fmt.Sprintf("give up term %d", p.Term), p.Reason)
}

// repair has the replicas follow the primary. The preferred holder sends the
// commands at once and the others later, since one suffices and the command is
// idempotent.
func (s *Monitor) repair(now time.Time, t group.Snapshot) {
	c := &s.change
	commands := slices.DeleteFunc(group.Repair(t), func(o group.Command) bool {
		i, _ := t.Find(o.Instance)
		return s.policy.ShouldAskPeers(i, now)
	})
	if len(commands) == 0 {
		c.nextRepairAt = time.Time{}
		return
	}
	if c.nextRepairAt.IsZero() {
		c.nextRepairAt = now.Add(time.Duration(s.rank()) * repairInterval)
	}
	if now.Before(c.nextRepairAt) {
		return
	}
	c.nextRepairAt = now.Add(repairInterval)
	s.dispatch(commands)
}

func (s *Monitor) observer() group.Observer {
	return group.Observer{Host: s.cfg.Host, DataCentre: s.cfg.DataCentre}
}

func (s *Monitor) memberHosts() []fleet.Host {
	var out []fleet.Host
	for _, m := range s.members {
		out = append(out, m.Host)
	}
	return out
}

func (s *Monitor) rank() int {
	return max(0, slices.Index(s.memberHosts(), s.cfg.Host))
}

// requestViews asks the other holders for their views while the primary is
// silent.
func (s *Monitor) requestViews(now time.Time, t group.Snapshot) {
	if s.cfg.RequestView == nil || !s.policy.NeedsFastPolling(t, now) ||
		now.Sub(s.change.viewsRequestedAt) < viewInterval {
		return
	}
	s.change.viewsRequestedAt = now
	for _, m := range s.members {
		if m.Host == s.cfg.Host || s.viewsPending.Has(m.Host) {
			continue
		}
		s.viewsPending.Add(m.Host)
		s.goroutines.Go(func() { s.requestView(m) })
	}
}

func (s *Monitor) requestView(m fleet.Member) {
	ctx, cancel := context.WithTimeout(s.ctx, maxViewAge)
	defer cancel()
	at := s.cfg.Now()
	r, err := s.cfg.RequestView(ctx, m)
	v := viewResult{member: m, err: err}
	if err == nil {
		v.view = fromProto(m.Host, at, r)
	}
	_ = s.events.Put(s.ctx, event{view: &v})
}

func (s *Monitor) handlePeerView(v viewResult) {
	delete(s.viewsPending, v.member.Host)
	if v.err == nil {
		s.views[v.member.Host] = v.view
	}
}

func (s *Monitor) freshViews(now time.Time) []group.View {
	var out []group.View
	for h, v := range s.views {
		if now.Sub(v.At) > maxViewAge {
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

// HandleView returns this host's view of the group, for another holder, and has
// this host poll the instances quickly for fastPollTimeout.
func (s *Monitor) HandleView() *hostpb.ViewResponse {
	now := s.cfg.Now()
	s.fastPollUntil.Store(now.Add(fastPollTimeout).UnixNano())
	return toProto(s.cfg.DataCentre, s.cfg.Policy.Views(s.Snapshot(), now))
}
