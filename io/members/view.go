package members

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/roster"
	"skylarkdeal/io/host/hostpb"
)

// Members returns the live and leaving hosts, by name; the slice must not be
// changed.
func (r *Runtime) Members() []fleet.Member {
	return *r.view.Load()
}

// Self returns this host's own member.
func (r *Runtime) Self() fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record().Member
}

// IsWatcher reports whether this host believes that it watches the store for its
// data centre.
func (r *Runtime) IsWatcher() bool {
	d := r.cfg.Self.DataCentre
	w, ok := roster.DutyHolder(roster.InDataCentre(r.Members(), d), roster.Watcher(d))
	return ok && w.Host == r.cfg.Self.Host
}

// Home returns the host that is to be the account's home in this data centre.
func (r *Runtime) Home(s fleet.Service, a fleet.Account) (fleet.Member, bool) {
	d := r.cfg.Self.DataCentre
	return roster.DutyHolder(roster.InDataCentre(r.Members(), d), roster.Home(d, roster.ShardOf(s, a)))
}

// OnChange calls f with the members whenever they change.
func (r *Runtime) OnChange(f func([]fleet.Member)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onChange = append(r.onChange, f)
}

// Lease returns the name of this host's lease and until when it stands by the
// host's own clock, for the seats of homes.
func (r *Runtime) Lease() (uint64, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.Name, r.lease.Until()
}

// Standing reports whether the store has the record that h wrote under the lease
// of that name. It reads the store.
func (r *Runtime) Standing(ctx context.Context, h fleet.Host, lease uint64) (bool, error) {
	records, err := r.read(ctx, key(h, lease))
	if err != nil {
		return false, err
	}
	return slices.ContainsFunc(records, func(e roster.Record) bool {
		return e.Member.Host == h && e.Lease == lease
	}), nil
}

// Epoch returns the epoch of a host's process, or zero when it isn't known.
func (r *Runtime) Epoch(h fleet.Host) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, _ := r.roster.Record(h)
	return e.Epoch
}

// Records returns the members as digests carry them.
func (r *Runtime) Records() []*hostpb.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*hostpb.Member
	for _, e := range r.roster.Records(r.cfg.Now()) {
		out = append(out, &hostpb.Member{
			Host: string(e.Member.Host), DataCentre: string(e.Member.DataCentre), Peer: e.Member.Peer,
			Leaving: e.Member.Leaving, Epoch: e.Epoch, Beat: e.Heartbeat,
		})
	}
	return out
}

func recordOf(m *hostpb.Member) roster.Record {
	return roster.Record{
		Member: fleet.Member{
			Host: fleet.Host(m.GetHost()), DataCentre: fleet.DataCentre(m.GetDataCentre()),
			Peer: m.GetPeer(), Leaving: m.GetLeaving(),
		},
		Epoch: m.GetEpoch(), Heartbeat: m.GetBeat(),
	}
}

// Silent returns hosts that are known but not heard of, to be asked when no
// member answers.
func (r *Runtime) Silent() []fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roster.Silent(r.cfg.Now())
}

// Leave marks this host as leaving, here and in the store. Peers hear of it by
// the next digest. The lease stays until Close, as exchanges still run.
func (r *Runtime) Leave(ctx context.Context) {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.tick()
	r.put(ctx)
}

// Close ends the lease, so that nobody waits for it to run out. All duties must
// have been given up before.
func (r *Runtime) Close(ctx context.Context) {
	r.mu.Lock()
	id := r.id
	r.id, r.closed = 0, true
	r.mu.Unlock()
	if id == 0 || r.cfg.Store.Revoke == nil {
		return
	}
	r.calls.WithLabelValues("revoke").Inc()
	if err := r.cfg.Store.Revoke(ctx, id); err != nil {
		r.cfg.Logger.Warn("lease not revoked", zap.Error(failure.At(err, "revoke lease", "store")))
	}
}

// describe tells what changed from old to m.
func describe(old, m []fleet.Member) string {
	var s []string
	for _, e := range m {
		if !slices.Contains(old, e) {
			s = append(s, fmt.Sprintf("now %s leaving=%t", e.Host, e.Leaving))
		}
	}
	for _, e := range old {
		if !slices.ContainsFunc(m, func(o fleet.Member) bool { return o.Host == e.Host }) {
			s = append(s, fmt.Sprintf("gone %s", e.Host))
		}
	}
	return strings.Join(s, ", ")
}

// State is what a state dump shows of the membership.
type State struct {
	Self       fleet.Member   `json:"self"`
	Epoch      uint64         `json:"epoch"`
	Watcher    bool           `json:"watcher"`
	LeaseUntil time.Time      `json:"lease-until"`
	Members    []fleet.Member `json:"members"`
	Silent     []fleet.Member `json:"silent"`
}

// State returns what the runtime holds at the moment.
func (r *Runtime) State() State {
	_, until := r.Lease()
	return State{r.Self(), r.cfg.Epoch, r.IsWatcher(), until, r.Members(), r.Silent()}
}
