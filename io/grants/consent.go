package grants

import (
	"context"
	"errors"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/quota"
	"skylarkdeal/io/host/hostpb"
)

// askConsent asks the witnesses for consent to the tenures of the owned shards
// whose lease ends soon, with one call to each witness. While the store answers,
// leases are renewed in time and no call is made.
func (r *Runtime) askConsent(ctx context.Context) {
	for w, names := range r.needingConsent() {
		asks := make([]*hostpb.SeatAsk, len(names))
		for i, n := range names {
			asks[i] = &hostpb.SeatAsk{Seat: string(n.name), Tenure: n.tenure}
		}
		sent := r.clock.suspendAware()
		a, err := r.askWitness(ctx, w, asks)
		if err != nil {
			continue
		}
		by := quota.Process{Host: w.Host, Epoch: a.GetHello().GetEpoch()}
		r.mu.Lock()
		for i, n := range names {
			if s := r.shardStates[n.name]; s != nil && a.GetSeats()[i].GetConsented() {
				s.ownership.Consented(sent, by, n.tenure)
			}
		}
		r.mu.Unlock()
	}
}

// shardTenure identifies a tenure of the ownership of one shard.
type shardTenure struct {
	name   quota.OwnershipID
	tenure uint64
}

// needingConsent returns the owned shards that need consent, by witness.
func (r *Runtime) needingConsent() map[quota.Process][]shardTenure {
	out := map[quota.Process][]shardTenure{}
	now := r.clock.suspendAware()
	r.mu.Lock()
	defer r.mu.Unlock()
	for n, s := range r.shardStates {
		rec := s.ownership.Record()
		if !s.ownership.Held() || rec.Witness.Host == "" || now.Before(s.ownership.LeaseUntil().Add(-consentLeadTime)) {
			continue
		}
		out[rec.Witness] = append(out[rec.Witness], shardTenure{n, rec.Tenure})
	}
	return out
}

// askWitness sends asks to the witness w and returns its answers. w may be this host.
func (r *Runtime) askWitness(
	ctx context.Context, w quota.Process, asks []*hostpb.SeatAsk,
) (*hostpb.GrantResponse, error) {
	q := &hostpb.GrantRequest{Hello: r.hello(), Seats: asks}
	if w.Host == r.cfg.Host {
		return r.HandleGrant(ctx, q), nil
	}
	m, ok := r.member(w.Host)
	if !ok {
		return nil, failure.At(errNoWitness, "ask witness", failure.Peer(w.Host))
	}
	ctx, cancel := context.WithTimeout(ctx, quota.AskTimeout)
	defer cancel()
	a, err := r.cfg.Call(ctx, m, q)
	if err == nil && len(a.GetSeats()) != len(asks) {
		err = errors.New("answers are missing")
	}
	return a, failure.At(err, "ask witness", failure.Peer(w.Host))
}

func (r *Runtime) member(h fleet.Host) (fleet.Member, bool) {
	for _, m := range r.cfg.Members() {
		if m.Host == h {
			return m, true
		}
	}
	return fleet.Member{}, false
}
