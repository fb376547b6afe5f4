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

// Entry is one key of the store as read, with its value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the revision of the key's last change; zero if the key doesn't exist.
	Revision uint64
}

// Store is the interface to the platform's store and to this host's record there.
// All calls may fail while the store is down.
type Store struct {
	// List returns the keys that begin with prefix.
	List func(ctx context.Context, prefix string) ([]Entry, error)
	// Swap writes value if the key's revision is still old, where zero means that the
	// key doesn't exist. It returns the new revision and whether value was written.
	Swap func(ctx context.Context, key string, old uint64, value []byte) (revision uint64, swapped bool, err error)
	// LeaseExists reports whether the store holds the record that a host wrote
	// under the given lease.
	LeaseExists func(ctx context.Context, h fleet.Host, lease uint64) (bool, error)
	// Lease returns the id of this host's lease and the time on this host's clock
	// until which it is valid; a zero time if it isn't.
	Lease func() (lease uint64, until time.Time)
	// Epoch returns the process epoch of another host; zero if it isn't known.
	Epoch func(fleet.Host) uint64
}

// SeatPrefix is the prefix of the ownership records in the store, one key for each data centre.
const SeatPrefix = "/skylarkdeal/homes/"

func ownershipID(d fleet.DataCentre, h roster.Shard) quota.OwnershipID {
	return quota.OwnershipID(fmt.Sprintf("%s/%02d", d, h))
}

// shardState is this host's view of the ownership of one shard of its data centre.
type shardState struct {
	ownership quota.Ownership
	claim     quota.Claim
	// notPreferredSince is when this host first saw the roster assign the shard to
	// another host; zero while it is assigned to this one.
	notPreferredSince time.Time
}

const (
	// idleCheckInterval is how often a host checks whether shards that another host
	// owns have been released. It uses few of the store calls that a host may make.
	idleCheckInterval = 2 * time.Second
	// checkInterval is how often ownership is checked: half the least time in which
	// the loss of a host is detected, so that it adds little to that time.
	checkInterval = 500 * time.Millisecond
	// storeTimeout bounds a call to the store: twice its slowest answers.
	storeTimeout = 4 * time.Second
	// consentLeadTime is how long before its lease ends an owner asks for consent:
	// two checks of ownership and a failed call in between.
	consentLeadTime = 1500 * time.Millisecond
)

// maintainOwnership acquires, keeps and releases the ownership of shards until ctx ends.
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
		r.notePreferred(h, mine)
		if (mine || r.holds(h)) && !renewed && !r.Leaving() {
			claims = append(claims, h)
		}
	}
	r.updateRecordIfDue(ctx, claims)
	r.claiming.Store(len(claims) > 0 && !r.Leaving())
	r.askConsent(ctx)
}

// AcquiringOwnership reports whether the roster assigns shards to this host that it doesn't
// own yet. Until it owns them, the accounts in them borrow tokens from the homes in
// other data centres.
func (r *Runtime) AcquiringOwnership() bool {
	return r.claiming.Load()
}

// updateRecordIfDue updates the ownership record if there is something to change. If
// its claims have to wait because another host still owns the shards, the host
// checks the record only every idleCheckInterval. Without a lease it can't claim any,
// and doesn't look: a host that starts would look before it is registered, and not
// again for that long.
func (r *Runtime) updateRecordIfDue(ctx context.Context, claims []roster.Shard) {
	r.mu.Lock()
	giving := len(r.released) > 0
	r.mu.Unlock()
	now := r.clock.monotonic()
	if _, until := r.cfg.Store.Lease(); !r.clock.suspendAware().Before(until) {
		claims = nil
	}
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

// acquireUnfenced acquires every shard that this host's own roster assigns to it.
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
			s.ownership.Acquired(quota.OwnershipRecord{Owner: r.process()})
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
		r.recordDecision(h, "lose", "another host owns it, or it was released")
	}
}

func (r *Runtime) process() quota.Process {
	return quota.Process{Host: r.cfg.Host, Epoch: r.cfg.Epoch}
}

func (r *Runtime) holds(h roster.Shard) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seat(h).ownership.Held()
}

// Leaving reports whether the host gives its shards up.
func (r *Runtime) Leaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

// syncLease copies the state of the host's lease to the shard's ownership, and reports
// whether the shard is owned and nothing has to be written: it is owned under that
// lease and with a usable witness, or the lease has expired.
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

// witnessUsable reports whether the witness is a live member of the epoch that the
// record names and no host in this data centre would be a better choice, or whether
// there is no witness to name. A witness in another data centre is of no use when
// this one is cut off.
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

// notePreferred notes since when the roster has assigned a shard to another host.
func (r *Runtime) notePreferred(h roster.Shard, preferred bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.seat(h)
	if preferred {
		s.notPreferredSince = time.Time{}
	} else if s.notPreferredSince.IsZero() {
		s.notPreferredSince = r.clock.monotonic()
	}
}

// releasedShard is a shard that this host has released, possibly not yet in the store.
type releasedShard struct {
	tenure uint64
	left   []remainingTokens
	// writeAfter gives the host that has asked for the shard the time to swap the record
	// itself; zero when none has.
	writeAfter time.Time
}

// release stops granting. The next update of the record writes the release to the
// store, with the tokens left in the homes, so that the successor need not wait for
// a lease to end, nor start empty. r.mu is held.
func (r *Runtime) release(h roster.Shard) {
	s := r.seat(h)
	if !s.ownership.Held() {
		return
	}
	rec := s.ownership.Record()
	r.released[h] = releasedShard{tenure: rec.Tenure, left: r.leftovers(h)}
	s.claim.SwapSent(rec)
	s.notPreferredSince = time.Time{}
	r.handleLost(h, s)
}

// ownedShards returns the shards that this host owns.
func (r *Runtime) ownedShards() []roster.Shard {
	var out []roster.Shard
	for h := roster.Shard(0); h < roster.Shards; h++ {
		if r.seat(h).ownership.Held() {
			out = append(out, h)
		}
	}
	return out
}
