package grants

import (
	"context"
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/quota"
	"skylarkdeal/core/roster"
	"skylarkdeal/io/host/hostpb"
)

// ask is one account's ask on its way to a home and back.
type ask struct {
	entry  *entry
	wanted quota.HomeRequest
	sent   time.Time
	grant  quota.Grant
	home   homeOf
	failed bool
}

// job is the asks that go to one host together.
type job struct {
	to   fleet.Member
	asks []ask
}

// result is a job's asks with their answers.
type result = job

// outbox collects the asks of one round of the serving goroutine by host, and
// remembers which host was last found to be a home.
type outbox struct {
	jobs map[fleet.Host]*job
	// at is the rank, by roster, of the host that is asked for a seat.
	at map[quota.OwnershipID]int
	// known is the host that last granted for a seat, or was hinted at.
	known map[quota.OwnershipID]fleet.Host
}

// queue puts an ask with those that go to the same host, or answers it at once
// when this host is the home.
func (r *Runtime) queue(e *entry, w quota.HomeRequest, now time.Time) {
	a := ask{entry: e, wanted: w, sent: now}
	to, ok := r.target(w.DataCentre, e.shard)
	if !ok {
		e.spender.Failed(now, w.DataCentre)
		return
	}
	if to.Host == r.cfg.Host {
		a.grant, a.home = r.grant(e.name, w.Ask)
		r.settle(now, a, to.Host)
		return
	}
	if r.out.jobs == nil {
		r.out.jobs = map[fleet.Host]*job{}
	}
	j := r.out.jobs[to.Host]
	if j == nil {
		j = &job{to: to}
		r.out.jobs[to.Host] = j
	}
	j.asks = append(j.asks, a)
}

// target returns the host to ask for a shard of data centre d.
func (r *Runtime) target(d fleet.DataCentre, h roster.Shard) (fleet.Member, bool) {
	n := seatName(d, h)
	there := roster.InDataCentre(r.cfg.Members(), d)
	if len(there) == 0 {
		return fleet.Member{}, false
	}
	for _, m := range there {
		if m.Host == r.out.known[n] {
			return m, true
		}
	}
	ranked := roster.RankForDuty(there, roster.Home(d, h))
	return ranked[r.out.at[n]%len(ranked)], true
}

// flush sends what the round has collected. A host whose answers are slow fills
// the ring of jobs; its asks then fail at once and other homes are asked.
func (r *Runtime) flush() {
	for h, j := range r.out.jobs {
		delete(r.out.jobs, h)
		if !r.jobs.TryPut(*j) {
			r.failed(*j)
		}
	}
}

// send is the duty that makes the calls.
func (r *Runtime) send(ctx context.Context) {
	r.jobs.Each(ctx, func(j job) {
		r.call(ctx, j)
		_ = r.results.Put(ctx, j) // fails only once ctx has ended, as this duty then does
	})
}

// call fills in the answers of j's asks.
func (r *Runtime) call(ctx context.Context, j job) {
	ctx, cancel := context.WithTimeout(ctx, quota.AskTimeout)
	defer cancel()
	q := &hostpb.GrantRequest{Hello: r.hello(), Asks: make([]*hostpb.GrantAsk, len(j.asks))}
	for i, a := range j.asks {
		q.Asks[i] = askMessage(a.entry.name, a.wanted.Ask)
	}
	r.metrics.calls.Inc()
	p, err := r.cfg.Call(ctx, j.to, q)
	if err != nil || len(p.GetAnswers()) != len(j.asks) {
		r.metrics.failed.Inc()
		for i := range j.asks {
			j.asks[i].failed = true
		}
		return
	}
	for i, a := range p.GetAnswers() {
		j.asks[i].grant, j.asks[i].home = grantOf(a)
	}
}

// answered gives the answers to the spenders and steps their entries.
func (r *Runtime) answered(busy active, res result) {
	now := r.clock.late()
	for _, a := range res.asks {
		busy[a.entry] = struct{}{}
		r.settle(now, a, res.to.Host)
		r.step(a.entry, now)
	}
}

// failed answers asks that were not sent.
func (r *Runtime) failed(j job) {
	now := r.clock.late()
	for _, a := range j.asks {
		a.failed = true
		r.settle(now, a, j.to.Host)
	}
}

// settle takes in one answer. A host that isn't the home, or doesn't answer, is
// followed by the hint or by the next in rank.
func (r *Runtime) settle(now time.Time, a ask, from fleet.Host) {
	n := seatName(a.wanted.DataCentre, a.entry.shard)
	if a.home.here && !a.failed {
		r.out.know(n, from)
		a.entry.spender.Granted(now, a.sent, a.wanted.DataCentre, a.wanted.Ask, a.grant)
		return
	}
	r.out.next(n, a.home.hint, from)
	a.entry.spender.Failed(now, a.wanted.DataCentre)
}

func (o *outbox) know(n quota.OwnershipID, h fleet.Host) {
	if o.known == nil {
		o.known, o.at = map[quota.OwnershipID]fleet.Host{}, map[quota.OwnershipID]int{}
	}
	o.known[n], o.at[n] = h, 0
}

func (o *outbox) next(n quota.OwnershipID, hint, from fleet.Host) {
	if hint != "" && hint != from && o.known[n] != hint {
		at := o.at[n]
		o.know(n, hint)
		o.at[n] = at
		return
	}
	if o.known == nil {
		o.know(n, "")
	}
	delete(o.known, n)
	o.at[n]++
}

func askMessage(n name, a quota.Ask) *hostpb.GrantAsk {
	m := &hostpb.GrantAsk{
		Service: string(n.service), Account: string(n.account),
		Urgent: uint64(max(0, a.Urgent)), Ahead: uint64(max(0, a.Ahead)),
	}
	for _, p := range a.Reports {
		m.Reports = append(m.Reports, &hostpb.GrantReport{
			Grant: uint64(p.Grant), Left: uint64(max(0, p.Left)), Closed: p.Closed,
		})
	}
	return m
}

func askOf(from fleet.Host, m *hostpb.GrantAsk) quota.Ask {
	a := quota.Ask{Spender: from, Urgent: quota.Tokens(m.GetUrgent()), Ahead: quota.Tokens(m.GetAhead())}
	for _, p := range m.GetReports() {
		a.Reports = append(a.Reports, quota.Report{
			Grant: quota.GrantID(p.GetGrant()), Left: quota.Tokens(p.GetLeft()), Closed: p.GetClosed(),
		})
	}
	return a
}

func answerOf(g quota.Grant, h homeOf) *hostpb.GrantAnswer {
	return &hostpb.GrantAnswer{
		Grant: uint64(g.ID), Tokens: uint64(max(0, g.Tokens)), RetryAfterUs: micros(g.RetryAfter),
		NotHome: !h.here, Home: string(h.hint),
	}
}

func grantOf(a *hostpb.GrantAnswer) (quota.Grant, homeOf) {
	g := quota.Grant{
		ID: quota.GrantID(a.GetGrant()), Tokens: quota.Tokens(a.GetTokens()),
		RetryAfter: time.Duration(a.GetRetryAfterUs()) * time.Microsecond,
	}
	return g, homeOf{here: !a.GetNotHome(), hint: fleet.Host(a.GetHome())}
}
