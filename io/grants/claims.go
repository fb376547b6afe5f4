package grants

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/journal"
	"skylarkdeal/core/quota"
	"skylarkdeal/core/roster"
	"skylarkdeal/io/host/hostpb"
)

// ownershipTable is the stored record of the ownership of a data centre's shards. All
// shards are in one record, so that a host that starts or leaves acquires or
// releases all of its shards with one read and one swap, whatever their number; 32
// swaps would use up the calls that a host may make in ten seconds. When several
// hosts change the record at the same time, one succeeds and the others try again
// in their next round.
type ownershipTable map[string]storedOwnership

// storedOwnership is the ownership of one shard as stored.
type storedOwnership struct {
	quota.OwnershipRecord
	// Left holds the tokens in the homes when the last owner released the shard.
	Left []remainingTokens `json:"left,omitempty"`
}

// remainingTokens is the number of tokens left in the home of one account.
type remainingTokens struct {
	Service fleet.Service `json:"service"`
	Account fleet.Account `json:"account"`
	Tokens  float64       `json:"tokens"`
}

// recordUpdate is an update of the ownership record that is being prepared.
type recordUpdate struct {
	table ownershipTable
	// oldRevision is the revision of the record that was read.
	oldRevision uint64
	lease       uint64
	// acquired holds the shards that the update acquires, with the tokens left in each.
	acquired map[roster.Shard][]remainingTokens
	released []roster.Shard
	// dirty is set when there is something to write, pending when a claim continues
	// without a write.
	dirty, pending bool
	// validLeases caches whether the leases of other owners are valid.
	validLeases map[quota.OwnershipRecord]bool
	// withdraw holds the shards whose consent is to be withdrawn, by witness.
	withdraw map[quota.Process][]roster.Shard
	// moves holds the shards to ask other hosts for, by owner.
	moves map[fleet.Host][]roster.Shard
}

// updateRecord claims and releases shards with one read and one swap, and reports
// whether any claim or release is in progress, so that the next round follows
// without delay.
//
// One update is made at a time. If the answer to one were processed after a later
// one has released the shard, its homes would start again with the same tokens.
func (r *Runtime) updateRecord(ctx context.Context, claims []roster.Shard) (moving bool, err error) {
	r.updateMu.Lock()
	defer r.updateMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c, err := r.readSeats(ctx)
	if err != nil {
		return false, failure.At(err, "read seats", "store")
	}
	r.planReleases(c)
	if _, until := r.cfg.Store.Lease(); r.clock.suspendAware().Before(until) {
		for _, h := range claims {
			if err := r.planClaim(ctx, c, h); err != nil {
				return false, err
			}
		}
	}
	for w, shards := range c.withdraw {
		r.withdraw(ctx, w, shards, c)
	}
	for owner, shards := range c.moves {
		r.requestMoves(ctx, owner, shards, c)
	}
	if !c.dirty {
		return c.pending, nil
	}
	return true, failure.At(r.write(ctx, c), "swap seats", "store")
}

func (r *Runtime) seatsKey() string {
	return SeatPrefix + string(r.cfg.DataCentre)
}

func shardKey(h roster.Shard) string {
	return strconv.Itoa(int(h))
}

func (r *Runtime) readSeats(ctx context.Context) (*recordUpdate, error) {
	lease, _ := r.cfg.Store.Lease()
	c := &recordUpdate{
		table: ownershipTable{}, lease: lease, acquired: map[roster.Shard][]remainingTokens{},
		validLeases: map[quota.OwnershipRecord]bool{}, withdraw: map[quota.Process][]roster.Shard{},
		moves: map[fleet.Host][]roster.Shard{},
	}
	list, err := r.cfg.Store.List(ctx, r.seatsKey())
	if err != nil {
		return nil, err
	}
	for _, e := range list {
		if e.Key == r.seatsKey() {
			c.oldRevision = e.Revision
			return c, json.Unmarshal(e.Value, &c.table)
		}
	}
	return c, nil
}

// planReleases adds the shards that this host has released to the update, until the
// record no longer names this host. If a swap by this host has succeeded since, the
// record is of a later tenure; nothing has been granted in that one.
func (r *Runtime) planReleases(c *recordUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for h, g := range r.released {
		now := c.table[shardKey(h)]
		if now.Owner != r.process() {
			delete(r.released, h)
			continue
		}
		if !r.leaving && r.clock.monotonic().Before(g.writeAfter) {
			continue
		}
		if now.Tenure != g.tenure {
			g.left = nil
		}
		c.table[shardKey(h)] = storedOwnership{quota.OwnershipRecord{Tenure: now.Tenure + 1}, g.left}
		c.released = append(c.released, h)
		c.dirty = true
	}
}

// planClaim takes the next step of the claim of a shard.
func (r *Runtime) planClaim(ctx context.Context, c *recordUpdate, h roster.Shard) error {
	read := c.table[shardKey(h)]
	valid, err := r.leaseValid(ctx, read.OwnershipRecord, c.validLeases)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.seat(h)
	if s.ownership.Held() && !s.notPreferredSince.IsZero() && read.Owner != r.process() {
		r.handleLost(h, s)
		return nil
	}
	switch s.claim.Next(r.clock.monotonic(), r.process(), c.lease, read.OwnershipRecord, valid) {
	case quota.StepAdopt:
		if !r.witnessUsable(read.Witness) {
			r.planSwap(c, h, read, nil)
			return nil
		}
		r.handleAcquired(h, read.OwnershipRecord, c.lease, nil)
	case quota.StepSwap:
		r.planSwap(c, h, read, read.Left)
	case quota.StepWithdraw:
		c.withdraw[read.Witness] = append(c.withdraw[read.Witness], h)
		c.pending = true
	case quota.StepIdle:
		r.handleLost(h, s)
		c.moves[read.Owner.Host] = append(c.moves[read.Owner.Host], h)
	case quota.StepWait:
		c.pending = true
	}
	return nil
}

// planSwap enters this host as the owner in the record of a shard. Until the answer
// arrives, an owner relies on its lease alone (see Ownership.BeginSwap).
//
// The tokens that a predecessor left are used only by the host whose swap of that
// very record is known to have succeeded, and the swap removes them, so they are
// never used twice.
func (r *Runtime) planSwap(c *recordUpdate, h roster.Shard, read storedOwnership, left []remainingTokens) {
	s := r.seat(h)
	s.ownership.BeginSwap()
	s.claim.SwapSent(read.OwnershipRecord)
	c.table[shardKey(h)] = storedOwnership{
		OwnershipRecord: quota.ClaimedRecord(read.OwnershipRecord, r.process(), c.lease, r.pickWitness()),
	}
	c.acquired[h], c.dirty = left, true
}

// write swaps the record. If another host swapped it first, or the answer is lost,
// the next round reads the result.
func (r *Runtime) write(ctx context.Context, c *recordUpdate) error {
	v, err := json.Marshal(c.table)
	if err != nil {
		return err
	}
	_, ok, err := r.cfg.Store.Swap(ctx, r.seatsKey(), c.oldRevision, v)
	if err != nil || !ok {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range c.released {
		delete(r.released, h)
	}
	for h, left := range c.acquired {
		r.handleAcquired(h, c.table[shardKey(h)].OwnershipRecord, c.lease, left)
	}
	return nil
}

// handleAcquired handles a record that names this host as the owner; r.mu is held.
func (r *Runtime) handleAcquired(h roster.Shard, rec quota.OwnershipRecord, lease uint64, left []remainingTokens) {
	l, until := r.cfg.Store.Lease()
	s := r.seat(h)
	s.claim = quota.Claim{}
	kept := s.ownership.Acquired(rec)
	if l == lease {
		s.ownership.LeaseRenewed(lease, until)
	}
	if !kept {
		r.dropHomes(h)
		r.startHomes(h, left)
	}
	r.recordDecision(h, "take", fmt.Sprintf("tenure %d, witness %s", rec.Tenure, rec.Witness.Host))
	delete(r.released, h)
	if r.leaving {
		r.release(h)
	}
}

// leaseValid reports whether the lease of a record's owner is valid. It asks the
// store once for all shards of one owner. An owner that is a member, not leaving and of the same epoch, is assumed to
// have its lease, without a call: to wait is always safe.
func (r *Runtime) leaseValid(ctx context.Context, rec quota.OwnershipRecord,
	known map[quota.OwnershipRecord]bool) (bool, error) {
	if rec.Owner == (quota.Process{}) || rec.Owner == r.process() {
		return false, nil
	}
	if m, ok := r.member(rec.Owner.Host); ok && !m.Leaving && r.cfg.Store.Epoch(m.Host) == rec.Owner.Epoch {
		return true, nil
	}
	k := quota.OwnershipRecord{Owner: rec.Owner, Lease: rec.Lease}
	if v, ok := known[k]; ok {
		return v, nil
	}
	v, err := r.cfg.Store.LeaseExists(ctx, rec.Owner.Host, rec.Lease)
	if err != nil {
		return false, failure.At(err, "read lease", "store")
	}
	known[k] = v
	return v, nil
}

// recordDecision records a decision on a shard in the journal and the log.
func (r *Runtime) recordDecision(h roster.Shard, choice, reason string) {
	n := string(ownershipID(r.cfg.DataCentre, h))
	r.cfg.Journal.Add(journal.Decision{
		At: r.cfg.Now(), Kind: journal.KindOwnership, Subject: "seat=" + n, Choice: choice, Reason: reason,
	})
	r.cfg.Logger.Info("seat", zap.String("seat", n), zap.String("choice", choice), zap.String("reason", reason))
}

// pickWitness returns a live host, preferably in the same data centre, so that a
// data centre that is cut off from all others can go on.
func (r *Runtime) pickWitness() quota.Process {
	m := r.cfg.Members()
	for _, e := range append(roster.InDataCentre(m, r.cfg.DataCentre), m...) {
		if e.Host == r.cfg.Host || e.Leaving {
			continue
		}
		if epoch := r.cfg.Store.Epoch(e.Host); epoch != 0 {
			return quota.Process{Host: e.Host, Epoch: epoch}
		}
	}
	return quota.Process{}
}

var errNoWitness = errors.New("the witness is not among the members")

// withdraw asks a witness to withdraw its consent to the tenures of some shards.
// If the witness doesn't answer, the claims stay as they are.
func (r *Runtime) withdraw(ctx context.Context, w quota.Process, shards []roster.Shard, c *recordUpdate) {
	asks := make([]*hostpb.SeatAsk, len(shards))
	for i, h := range shards {
		asks[i] = &hostpb.SeatAsk{
			Seat: string(ownershipID(r.cfg.DataCentre, h)), Tenure: c.table[shardKey(h)].Tenure, Withdraw: true,
		}
	}
	a, err := r.askWitness(ctx, w, asks)
	if err != nil {
		r.cfg.Logger.Warn("consent not withdrawn", zap.Error(err))
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, h := range shards {
		remains := time.Duration(a.GetSeats()[i].GetRemainsUs()) * time.Microsecond
		r.seat(h).claim.Withdrawn(r.clock.monotonic(), c.table[shardKey(h)].OwnershipRecord, remains)
	}
}
