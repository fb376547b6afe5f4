package grants

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/quota"
	"skylarkdeal/core/roster"
	"skylarkdeal/internal/sleep"
)

// Entry is one key of the store as it was read.
type Entry struct {
	Key   string
	Value []byte
	// Revision is that of the key's last change; zero when it isn't there.
	Revision uint64
}

// Store is what the seats need of the platform's store and of this host's
// record there. All calls may fail while the store is down.
type Store struct {
	// List returns the keys that begin with prefix.
	List func(ctx context.Context, prefix string) ([]Entry, error)
	// Swap writes value if the key's revision is still old, zero if it isn't
	// there, and reports the revision and whether it was.
	Swap func(ctx context.Context, key string, old uint64, value []byte) (revision uint64, swapped bool, err error)
	// Standing reports whether the store holds the record that a host wrote
	// under the lease of that name.
	Standing func(ctx context.Context, h fleet.Host, lease uint64) (bool, error)
	// Lease returns the name of this host's lease and the time by its own clock
	// until which it stands; a zero time when it doesn't.
	Lease func() (lease uint64, until time.Time)
	// Epoch returns the process epoch of another host.
	Epoch func(fleet.Host) uint64
}

// SeatPrefix is where the seats are kept in the store, a key for each data centre.
const SeatPrefix = "/skylarkdeal/homes/"

func ownershipID(d fleet.DataCentre, h roster.Shard) quota.OwnershipID {
	return quota.OwnershipID(fmt.Sprintf("%s/%02d", d, h))
}

// shardState is this host's view of one shardState of its data centre.
type shardState struct {
	ownership quota.Ownership
	claim     quota.Claim
	// notPreferredSince is when this host, the holder, first saw another one win the duty.
	notPreferredSince time.Time
}

const (
	// idleCheckInterval is how often a host looks whether seats that another one holds
	// have been given up: few of the calls that it may make of the store.
	idleCheckInterval = 2 * time.Second
	// checkInterval is how often seats are looked after: half the least time in
	// which a lost host is noticed, so that it adds little to it.
	checkInterval = 500 * time.Millisecond
	// storeTimeout bounds a call of the store: twice its slowest answers.
	storeTimeout = 4 * time.Second
	// consentLeadTime is how long before its lease ends a holder asks for consent:
	// two rounds of looking after the seats and a failed call in between.
	consentLeadTime = 1500 * time.Millisecond
	// releaseDelay is how long another host has to win the duty of a holder before
	// that gives its seat up, so that a roster in motion moves nothing.
	releaseDelay = 3 * time.Second
)

// maintainOwnership is the duty of taking, keeping and giving up seats.
func (r *Runtime) maintainOwnership(ctx context.Context) {
	for {
		r.checkOwnership(ctx)
		if !sleep.For(ctx, checkInterval+rand.N(checkInterval/4)) {
			return
		}
	}
}

func (r *Runtime) checkOwnership(ctx context.Context) {
	if r.cfg.Store.List == nil {
		r.acquireUnfenced()
		return
	}
	here := roster.InDataCentre(r.cfg.Members(), r.cfg.DataCentre)
	var claims []roster.Shard
	for h := roster.Shard(0); h < roster.Shards; h++ {
		w, ok := roster.DutyHolder(here, roster.Home(r.cfg.DataCentre, h))
		mine := ok && w.Host == r.cfg.Host && !w.Leaving
		renewed := r.syncLease(h)
		r.releaseIfNotPreferred(h, mine)
		if mine && !renewed && !r.isLeaving() {
			claims = append(claims, h)
		}
	}
	r.updateRecordIfDue(ctx, claims)
	r.claiming.Store(len(claims) > 0 && !r.isLeaving())
	r.askConsent(ctx)
}

// Claiming reports whether seats fall to this host that it doesn't hold yet: the
// accounts whose home they make it have to borrow tokens elsewhere until then.
func (r *Runtime) Claiming() bool {
	return r.claiming.Load()
}

// updateRecordIfDue changes the record of the seats where there is something to do. A
// host whose claims rest, because another one still holds the seats, looks only
// every restEvery.
func (r *Runtime) updateRecordIfDue(ctx context.Context, claims []roster.Shard) {
	r.mu.Lock()
	giving := len(r.released) > 0
	r.mu.Unlock()
	now := r.clock.monotonic()
	if !giving && (len(claims) == 0 || now.Before(r.nextCheck)) {
		return
	}
	moving, err := r.updateRecord(ctx, claims)
	if err != nil {
		r.cfg.Logger.Warn("seats not changed", zap.Error(err))
	}
	if !moving {
		r.nextCheck = now.Add(idleCheckInterval)
	}
}

// acquireUnfenced holds every seat that falls to this host by its own roster.
func (r *Runtime) acquireUnfenced() {
	forever := r.clock.suspendAware().Add(time.Hour)
	here := roster.InDataCentre(r.cfg.Members(), r.cfg.DataCentre)
	for h := roster.Shard(0); h < roster.Shards; h++ {
		w, ok := roster.DutyHolder(here, roster.Home(r.cfg.DataCentre, h))
		r.mu.Lock()
		s := r.seat(h)
		switch {
		case !ok || w.Host != r.cfg.Host || r.leaving:
			r.handleLost(h, s)
		case s.ownership.Held():
			s.ownership.LeaseRenewed(0, forever)
		default:
			s.ownership.Acquired(quota.OwnershipRecord{Holder: r.process()})
			s.ownership.LeaseRenewed(0, forever)
			r.startHomes(h, nil)
		}
		r.mu.Unlock()
	}
}

func (r *Runtime) seat(h roster.Shard) *shardState {
	n := ownershipID(r.cfg.DataCentre, h)
	s := r.shardStates[n]
	if s == nil {
		s = &shardState{}
		r.shardStates[n] = s
	}
	return s
}

func (r *Runtime) handleLost(h roster.Shard, s *shardState) {
	if s.ownership.Held() {
		s.ownership.Lost()
		r.dropHomes(h)
		r.recordDecision(h, "lose", "another host holds it, or it was given up")
	}
}

func (r *Runtime) process() quota.Process {
	return quota.Process{Host: r.cfg.Host, Epoch: r.cfg.Epoch}
}

func (r *Runtime) isLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

// syncLease takes over the state of the host's lease, and reports whether the seat
// is held under that lease and with a live witness, so that nothing has to be
// written.
func (r *Runtime) syncLease(h roster.Shard) bool {
	lease, until := r.cfg.Store.Lease()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.seat(h)
	if !s.ownership.Held() {
		return false
	}
	if lease != s.ownership.Record().Lease && !until.IsZero() {
		return false
	}
	s.ownership.LeaseRenewed(lease, until)
	return !r.clock.suspendAware().Before(until) || r.witnessUsable(s.ownership.Record().Witness)
}

// witnessUsable reports whether the witness is a live member of the epoch that
// the record names, and as near as any, or there is none to be had. A witness in
// another data centre is of no use when this one is cut off.
func (r *Runtime) witnessUsable(p quota.Process) bool {
	if p == (quota.Process{}) {
		return r.pickWitness() == p
	}
	m, ok := r.member(p.Host)
	if !ok || m.Leaving || r.cfg.Store.Epoch(p.Host) != p.Epoch {
		return false
	}
	best, _ := r.member(r.pickWitness().Host)
	return m.DataCentre == r.cfg.DataCentre || best.DataCentre != r.cfg.DataCentre
}

// releaseIfNotPreferred gives the seat to the host that wins its duty, once that has lasted.
func (r *Runtime) releaseIfNotPreferred(h roster.Shard, mine bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.seat(h)
	now := r.clock.monotonic()
	if mine {
		s.notPreferredSince = time.Time{}
	} else if s.notPreferredSince.IsZero() {
		s.notPreferredSince = now
	}
	if !mine && s.ownership.Held() && now.Sub(s.notPreferredSince) >= releaseDelay {
		r.release(h)
	}
}

// releasedShard is a seat that this host has releasedShard up, while the store may not know it.
type releasedShard struct {
	tenure uint64
	left   []remainingTokens
}

// release stops granting; the next change of the record says so in the store, with
// what the homes have left: the successor need not wait for a lease to end, nor
// start empty. r.mu is held.
func (r *Runtime) release(h roster.Shard) {
	s := r.seat(h)
	if !s.ownership.Held() {
		return
	}
	rec := s.ownership.Record()
	r.released[h] = releasedShard{rec.Tenure, r.leftovers(h)}
	s.claim.Tried(rec)
	s.notPreferredSince = time.Time{}
	r.handleLost(h, s)
}

// ownedShards returns the shards whose seats this host holds.
func (r *Runtime) ownedShards() []roster.Shard {
	var out []roster.Shard
	for h := roster.Shard(0); h < roster.Shards; h++ {
		if r.seat(h).ownership.Held() {
			out = append(out, h)
		}
	}
	return out
}
