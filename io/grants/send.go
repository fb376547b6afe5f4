package grants

import (
	"context"
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/quota"
	"skylarkdeal/core/roster"
	"skylarkdeal/io/host/hostpb"
)

// tokenRequest is the request of one account to a home, with the answer once it is known.
type tokenRequest struct {
	entry   *entry
	request quota.HomeRequest
	sent    time.Time
	grant   quota.Grant
	home    homeStatus
	failed  bool
}

// requestBatch holds the requests that are sent to one host together.
type requestBatch struct {
	to   fleet.Member
	asks []tokenRequest
}

// result is a batch with its answers.
type result = requestBatch

// outbox collects the requests of one round of the serving goroutine by host, and
// records which host last answered as a home.
type outbox struct {
	jobs map[fleet.Host]*requestBatch
	// rankOffset is the rank in the roster of the host to ask for a shard.
	rankOffset map[quota.OwnershipID]int
	// lastHome is the host that last granted for a shard, or that a hint named.
	lastHome map[quota.OwnershipID]fleet.Host
}

// queue adds a request to the batch for its host, or answers it at once when this
// host is the home.
func (r *Runtime) queue(e *entry, w quota.HomeRequest, now time.Time) {
	a := tokenRequest{entry: e, request: w, sent: now}
	to, ok := r.target(w.DataCentre, e.shard)
	if !ok {
		r.noteFailure(now, e, w.DataCentre, "no host is a member")
		e.spender.Failed(now, w.DataCentre)
		return
	}
	if to.Host == r.cfg.Host {
		a.grant, a.home = r.grant(e.accountID, w.Ask)
		r.handleAnswer(now, a, to.Host)
		return
	}
	if r.out.jobs == nil {
		r.out.jobs = map[fleet.Host]*requestBatch{}
	}
	j := r.out.jobs[to.Host]
	if j == nil {
		j = &requestBatch{to: to}
		r.out.jobs[to.Host] = j
	}
	j.asks = append(j.asks, a)
}

// target returns the host to ask for a shard of data centre d.
func (r *Runtime) target(d fleet.DataCentre, h roster.Shard) (fleet.Member, bool) {
	n := ownershipID(d, h)
	there := roster.InDataCentre(r.cfg.Members(), d)
	if len(there) == 0 {
		return fleet.Member{}, false
	}
	for _, m := range there {
		if m.Host == r.out.lastHome[n] {
			return m, true
		}
	}
	ranked := roster.RankForDuty(there, roster.Home(d, h))
	return ranked[r.out.rankOffset[n]%len(ranked)], true
}

// flush sends the batches that the round has collected. A host with slow answers
// fills the ring of batches; requests to it then fail at once, and other homes are
// asked.
func (r *Runtime) flush() {
	for h, j := range r.out.jobs {
		delete(r.out.jobs, h)
		if !r.jobs.TryPut(*j) {
			r.failBatch(*j)
		}
	}
}

// send makes the calls to other hosts until ctx ends.
func (r *Runtime) send(ctx context.Context) {
	r.jobs.Each(ctx, func(j requestBatch) {
		r.call(ctx, j)
		_ = r.results.Put(ctx, j) // fails only when ctx has ended; send then returns too
	})
}

// call sends the batch and stores the answers in its requests.
func (r *Runtime) call(ctx context.Context, j requestBatch) {
	ctx, cancel := context.WithTimeout(ctx, quota.AskTimeout)
	defer cancel()
	q := &hostpb.GrantRequest{Hello: r.hello(), Asks: make([]*hostpb.GrantAsk, len(j.asks))}
	for i, a := range j.asks {
		q.Asks[i] = askMessage(a.entry.accountID, a.request.Ask)
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

// handleResults passes the answers to the spenders and serves the waiting exchanges
// of their entries.
func (r *Runtime) handleResults(busy active, res result) {
	now := r.clock.suspendAware()
	for _, a := range res.asks {
		busy[a.entry] = struct{}{}
		r.handleAnswer(now, a, res.to.Host)
		r.step(a.entry, now)
	}
}

// failBatch fails the requests of a batch that was not sent.
func (r *Runtime) failBatch(j requestBatch) {
	now := r.clock.suspendAware()
	for _, a := range j.asks {
		a.failed = true
		r.handleAnswer(now, a, j.to.Host)
	}
}

// handleAnswer processes one answer. If the host isn't the home or doesn't answer,
// the next request goes to the host that the hint names or to the next in rank.
func (r *Runtime) handleAnswer(now time.Time, a tokenRequest, from fleet.Host) {
	n := ownershipID(a.request.DataCentre, a.entry.shard)
	if a.home.here && !a.failed {
		r.noteGrant(now, a.entry, a.request.DataCentre)
		r.out.setHome(n, from)
		a.entry.spender.Granted(now, a.sent, a.request.DataCentre, a.request.Ask, a.grant)
		return
	}
	why := "host " + string(from) + " isn't the home, it names \"" + string(a.home.hint) + "\""
	if a.failed {
		why = "host " + string(from) + " doesn't answer"
	}
	r.noteFailure(now, a.entry, a.request.DataCentre, why)
	r.out.nextHome(n, a.home.hint, from)
	a.entry.spender.Failed(now, a.request.DataCentre)
}

func (o *outbox) setHome(n quota.OwnershipID, h fleet.Host) {
	if o.lastHome == nil {
		o.lastHome, o.rankOffset = map[quota.OwnershipID]fleet.Host{}, map[quota.OwnershipID]int{}
	}
	o.lastHome[n], o.rankOffset[n] = h, 0
}

func (o *outbox) nextHome(n quota.OwnershipID, hint, from fleet.Host) {
	if hint != "" && hint != from && o.lastHome[n] != hint {
		at := o.rankOffset[n]
		o.setHome(n, hint)
		o.rankOffset[n] = at
		return
	}
	if o.lastHome == nil {
		o.setHome(n, "")
	}
	delete(o.lastHome, n)
	o.rankOffset[n]++
}

func askMessage(n accountID, a quota.Ask) *hostpb.GrantAsk {
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

func answerOf(g quota.Grant, h homeStatus) *hostpb.GrantAnswer {
	return &hostpb.GrantAnswer{
		Grant: uint64(g.ID), Tokens: uint64(max(0, g.Tokens)), RetryAfterUs: micros(g.RetryAfter),
		NotHome: !h.here, Home: string(h.hint),
	}
}

func grantOf(a *hostpb.GrantAnswer) (quota.Grant, homeStatus) {
	g := quota.Grant{
		ID: quota.GrantID(a.GetGrant()), Tokens: quota.Tokens(a.GetTokens()),
		RetryAfter: time.Duration(a.GetRetryAfterUs()) * time.Microsecond,
	}
	return g, homeStatus{here: !a.GetNotHome(), hint: fleet.Host(a.GetHome())}
}
