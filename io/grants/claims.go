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

// storedSeats is the record of a data centre's seats. They stand in one record,
// so that a host that starts or leaves takes or gives up all of its seats with
// one read and one swap, however many there are; 32 swaps would use up the calls
// that a host may make in ten seconds. Hosts that change the record at once lose
// a round.
type storedSeats map[string]storedSeat

// storedSeat is a seat as the store has it.
type storedSeat struct {
	quota.OwnershipRecord
	// Left is what the homes had when the last holder gave the seat up.
	Left []leftover `json:"left,omitempty"`
}

// leftover is the tokens of one account that a home had left.
type leftover struct {
	Service fleet.Service `json:"service"`
	Account fleet.Account `json:"account"`
	Tokens  float64       `json:"tokens"`
}

// change is a change of the record in the making.
type change struct {
	seats storedSeats
	// old is the revision of the record that was read.
	old   uint64
	lease uint64
	// won holds the seats that the change takes, with what is left of each.
	won   map[roster.Shard][]leftover
	given []roster.Shard
	// dirty is set when there is something to write, waits when a claim goes on
	// without it.
	dirty, waits bool
	// standing remembers which holders' leases stand.
	standing map[quota.OwnershipRecord]bool
	// withdraw holds the seats whose consent is to be withdrawn, by witness.
	withdraw map[quota.Process][]roster.Shard
}

// changeSeats claims and gives up seats with one read and one swap, and reports
// whether anything is under way, so that the next round shouldn't wait.
//
// One change is made at a time: were the answer to one taken in after a later one
// has given the seat up, its homes would start again with the same tokens.
func (r *Runtime) changeSeats(ctx context.Context, claims []roster.Shard) (moving bool, err error) {
	r.changing.Lock()
	defer r.changing.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	c, err := r.readSeats(ctx)
	if err != nil {
		return false, failure.At(err, "read seats", "store")
	}
	r.planGiveUps(c)
	if _, until := r.cfg.Store.Lease(); r.clock.late().Before(until) {
		for _, h := range claims {
			if err := r.planClaim(ctx, c, h); err != nil {
				return false, err
			}
		}
	}
	for w, shards := range c.withdraw {
		r.withdraw(ctx, w, shards, c)
	}
	if !c.dirty {
		return c.waits, nil
	}
	return true, failure.At(r.write(ctx, c), "swap seats", "store")
}

func (r *Runtime) seatsKey() string {
	return SeatPrefix + string(r.cfg.DataCentre)
}

func shardKey(h roster.Shard) string {
	return strconv.Itoa(int(h))
}

func (r *Runtime) readSeats(ctx context.Context) (*change, error) {
	lease, _ := r.cfg.Store.Lease()
	c := &change{
		seats: storedSeats{}, lease: lease, won: map[roster.Shard][]leftover{},
		standing: map[quota.OwnershipRecord]bool{}, withdraw: map[quota.Process][]roster.Shard{},
	}
	list, err := r.cfg.Store.List(ctx, r.seatsKey())
	if err != nil {
		return nil, err
	}
	for _, e := range list {
		if e.Key == r.seatsKey() {
			c.old = e.Revision
			return c, json.Unmarshal(e.Value, &c.seats)
		}
	}
	return c, nil
}

// planGiveUps puts the seats that this host has given up into the change, until
// the record no longer names this host. If a swap of its own has landed since, the
// record is of a later tenure; nobody has granted in that one.
func (r *Runtime) planGiveUps(c *change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for h, g := range r.given {
		now := c.seats[shardKey(h)]
		if now.Owner != r.process() {
			delete(r.given, h)
			continue
		}
		if now.Tenure != g.tenure {
			g.left = nil
		}
		c.seats[shardKey(h)] = storedSeat{quota.OwnershipRecord{Tenure: now.Tenure + 1}, g.left}
		c.given = append(c.given, h)
		c.dirty = true
	}
}

// planClaim takes one step towards a seat.
func (r *Runtime) planClaim(ctx context.Context, c *change, h roster.Shard) error {
	read := c.seats[shardKey(h)]
	stands, err := r.stands(ctx, read.OwnershipRecord, c.standing)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.seat(h)
	switch s.claim.Next(r.clock.early(), r.process(), c.lease, read.OwnershipRecord, stands) {
	case quota.StepAdopt:
		if !r.witnessServes(read.Witness) {
			r.planSwap(c, h, read, nil)
			return nil
		}
		r.won(h, read.OwnershipRecord, c.lease, nil)
	case quota.StepSwap:
		r.planSwap(c, h, read, read.Left)
	case quota.StepWithdraw:
		c.withdraw[read.Witness] = append(c.withdraw[read.Witness], h)
		c.waits = true
	case quota.StepIdle:
		r.lose(h, s)
	case quota.StepWait:
		c.waits = true
	}
	return nil
}

// planSwap puts this host into the record of a seat. Until the answer a holder
// counts on its lease alone (see Ownership.BeginSwap).
//
// The tokens that a predecessor left are used by the one whose swap of that very
// record is known to have gone through, and the swap removes them: so never twice.
func (r *Runtime) planSwap(c *change, h roster.Shard, read storedSeat, left []leftover) {
	s := r.seat(h)
	s.tenure.BeginSwap()
	s.claim.SwapSent(read.OwnershipRecord)
	c.seats[shardKey(h)] = storedSeat{
		OwnershipRecord: quota.ClaimedRecord(read.OwnershipRecord, r.process(), c.lease, r.pickWitness()),
	}
	c.won[h], c.dirty = left, true
}

// write swaps the record. When another host was first, or the answer is lost, the
// next round reads what has become of it.
func (r *Runtime) write(ctx context.Context, c *change) error {
	v, err := json.Marshal(c.seats)
	if err != nil {
		return err
	}
	_, ok, err := r.cfg.Store.Swap(ctx, r.seatsKey(), c.old, v)
	if err != nil || !ok {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range c.given {
		delete(r.given, h)
	}
	for h, left := range c.won {
		r.won(h, c.seats[shardKey(h)].OwnershipRecord, c.lease, left)
	}
	return nil
}

// won takes in that the record names this host; r.mu is held.
func (r *Runtime) won(h roster.Shard, rec quota.OwnershipRecord, lease uint64, left []leftover) {
	l, until := r.cfg.Store.Lease()
	s := r.seat(h)
	s.claim, s.yield = quota.Claim{}, time.Time{}
	kept := s.tenure.Acquired(rec)
	if l == lease {
		s.tenure.LeaseRenewed(lease, until)
	}
	if !kept {
		r.dropHomes(h)
		r.startHomes(h, left)
	}
	r.note(h, "take", fmt.Sprintf("tenure %d, witness %s", rec.Tenure, rec.Witness.Host))
	delete(r.given, h)
	if r.leaving {
		r.giveUp(h)
	}
}

// stands reports whether the lease of a record's holder stands, asking the store
// once for all seats of one holder. A holder that is a member is taken to have
// its lease without asking: to rest is always safe, and it costs no call.
func (r *Runtime) stands(ctx context.Context, rec quota.OwnershipRecord,
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
	v, err := r.cfg.Store.Standing(ctx, rec.Owner.Host, rec.Lease)
	if err != nil {
		return false, failure.At(err, "read lease", "store")
	}
	known[k] = v
	return v, nil
}

// note records a decision on a seat in the journal and the log.
func (r *Runtime) note(h roster.Shard, choice, reason string) {
	n := string(seatName(r.cfg.DataCentre, h))
	r.cfg.Journal.Add(journal.Decision{
		At: r.cfg.Now(), Kind: journal.KindOwnership, Subject: "seat=" + n, Choice: choice, Reason: reason,
	})
	r.cfg.Logger.Info("seat", zap.String("seat", n), zap.String("choice", choice), zap.String("reason", reason))
}

// pickWitness returns a live host, rather of the own data centre, so that a data
// centre cut off from all else can go on.
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

// withdraw asks a witness to consent no more to the tenures of some seats. While
// it doesn't answer they stay as they are.
func (r *Runtime) withdraw(ctx context.Context, w quota.Process, shards []roster.Shard, c *change) {
	asks := make([]*hostpb.SeatAsk, len(shards))
	for i, h := range shards {
		asks[i] = &hostpb.SeatAsk{
			Seat: string(seatName(r.cfg.DataCentre, h)), Tenure: c.seats[shardKey(h)].Tenure, Withdraw: true,
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
		r.seat(h).claim.Withdrawn(r.clock.early(), c.seats[shardKey(h)].OwnershipRecord, remains)
	}
}
