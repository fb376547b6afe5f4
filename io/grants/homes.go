package grants

import (
	"context"
	"slices"
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/quota"
	"skylarkdeal/core/roster"
	"skylarkdeal/io/host/hostpb"
)

// HandleGrant answers the requests of another host, as a home, as a witness and as an owner of shards.
func (r *Runtime) HandleGrant(_ context.Context, q *hostpb.GrantRequest) *hostpb.GrantResponse {
	out := &hostpb.GrantResponse{Hello: r.hello()}
	from := fleet.Host(q.GetHello().GetHost())
	for _, a := range q.GetAsks() {
		n := accountID{fleet.Service(a.GetService()), fleet.Account(a.GetAccount())}
		g, home := r.grant(n, askOf(from, a))
		out.Answers = append(out.Answers, answerOf(g, home))
	}
	for _, s := range q.GetSeats() {
		out.Seats = append(out.Seats, r.handleWitnessRequest(s))
	}
	for _, m := range q.GetMoves() {
		out.Moves = append(out.Moves, r.handleMove(from, m))
	}
	return out
}

func (r *Runtime) hello() *hostpb.Hello {
	return &hostpb.Hello{Version: 1, Host: string(r.cfg.Host), Epoch: r.cfg.Epoch}
}

// homeStatus tells whether this host is the home, and if not, which host may be.
type homeStatus struct {
	here bool
	hint fleet.Host
}

// grant answers the request of one account if this host is its home.
//
// The right to grant is checked for each request with the suspend-aware time, before
// the grant is made. The spender counts a grant's lifetime from before it sent the
// request, so if the home is paused after the check, its grant has already expired
// when it arrives.
func (r *Runtime) grant(n accountID, a quota.Ask) (quota.Grant, homeStatus) {
	shard := roster.ShardOf(n.service, n.account)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.shardStates[ownershipID(r.cfg.DataCentre, shard)]
	h := r.homes[n]
	if s == nil || h == nil || !s.ownership.CanGrant(r.clock.suspendAware()) {
		return quota.Grant{}, homeStatus{hint: r.preferredHome(shard)}
	}
	g := h.Ask(r.clock.monotonic(), a)
	r.metrics.granted.Add(float64(g.Tokens))
	return g, homeStatus{here: true}
}

// preferredHome returns the host that the roster assigns the shard to, or "" if that is this host.
func (r *Runtime) preferredHome(h roster.Shard) fleet.Host {
	here := roster.InDataCentre(r.cfg.Members(), r.cfg.DataCentre)
	w, ok := roster.DutyHolder(here, roster.Home(r.cfg.DataCentre, h))
	if !ok || w.Host == r.cfg.Host {
		return ""
	}
	return w.Host
}

// handleWitnessRequest answers a SeatAsk, which asks for consent or withdraws it.
func (r *Runtime) handleWitnessRequest(q *hostpb.SeatAsk) *hostpb.SeatAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := quota.OwnershipID(q.GetSeat())
	now := r.clock.monotonic()
	if !q.GetWithdraw() {
		return &hostpb.SeatAnswer{Consented: r.witness.Consent(now, n, q.GetTenure())}
	}
	d := r.witness.Withdraw(now, n, q.GetTenure())
	return &hostpb.SeatAnswer{RemainsUs: micros(d)}
}

// changeHomes applies d to the homes on this host, and starts those of new
// accounts.
func (r *Runtime) changeHomes(d, old *document.Document) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.monotonic()
	sameList := old == nil || slices.Equal(old.DataCentres, d.DataCentres)
	for n := range r.homes {
		if _, ok := d.Account(n.account); n.service == d.Service && !ok {
			delete(r.homes, n)
		}
	}
	for _, a := range d.Accounts {
		n := accountID{d.Service, a.Name}
		if h := r.homes[n]; h != nil {
			h.SetShare(now, d.Version, r.share(d, a), sameList)
			continue
		}
		s := r.shardStates[ownershipID(r.cfg.DataCentre, roster.ShardOf(d.Service, a.Name))]
		if s != nil && s.ownership.Held() {
			r.startHome(now, n, d, a, 0)
		}
	}
}

// startHomes starts the homes of all accounts of a shard with the tokens left in
// each. It doesn't wait for a first request, since a home accrues tokens only once it is started.
func (r *Runtime) startHomes(h roster.Shard, left []remainingTokens) {
	now := r.clock.monotonic()
	tokens := make(map[accountID]float64, len(left))
	for _, l := range left {
		tokens[accountID{l.Service, l.Account}] = l.Tokens
	}
	r.entries.each(func(e *entry) {
		d := e.document.Load()
		if a, ok := d.Account(e.account); ok && e.shard == h {
			r.startHome(now, e.accountID, d, a, tokens[e.accountID])
		}
	})
}

// idsPerHome is the number of grant ids reserved for one tenure of a home.
const idsPerHome = 1 << 20

// startHome starts one home. In the first tenure of a shard's ownership, the first
// home of an account starts full: no host can have granted from it before.
func (r *Runtime) startHome(now time.Time, n accountID, d *document.Document, a document.Account, left float64) {
	shard := roster.ShardOf(n.service, n.account)
	share := r.share(d, a)
	if r.seat(shard).ownership.Record().Tenure == firstTenure && !r.hadHome[n] {
		left = share.Burst
	}
	r.hadHome[n] = true
	r.lastID += idsPerHome
	h := &quota.Home{}
	h.Start(now, d.Version, share, r.lastID, left)
	r.homes[n] = h
}

// firstTenure is the tenure of the first record of a shard's ownership.
const firstTenure = 1

// leftovers returns the tokens left in the homes of a shard.
func (r *Runtime) leftovers(h roster.Shard) []remainingTokens {
	var out []remainingTokens
	for n, e := range r.homes {
		if l := e.State().Level; roster.ShardOf(n.service, n.account) == h && l >= 1 {
			out = append(out, remainingTokens{n.service, n.account, l})
		}
	}
	return out
}

func (r *Runtime) dropHomes(h roster.Shard) {
	for n := range r.homes {
		if roster.ShardOf(n.service, n.account) == h {
			delete(r.homes, n)
		}
	}
}

func (r *Runtime) share(d *document.Document, a document.Account) quota.Share {
	return quota.ShareOf(a.Rate, a.Burst, d.Service, a.Name, r.cfg.DataCentre, d.DataCentres)
}

func micros(d time.Duration) uint64 {
	return uint64(max(0, d.Microseconds()))
}
