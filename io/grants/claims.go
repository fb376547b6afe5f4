package grants

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/allot"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/journal"
	"skylarkdeal/core/roster"
	"skylarkdeal/io/host/hostpb"
)

// storedSeat is a seat as the store has it.
type storedSeat struct {
	allot.SeatRecord
	// Left is what the homes had when the last holder gave the seat up.
	Left []leftover `json:"left,omitempty"`
}

// leftover is the tokens of one account that a home had left.
type leftover struct {
	Service fleet.Service `json:"service"`
	Account fleet.Account `json:"account"`
	Tokens  float64       `json:"tokens"`
}

// claimAll tries to take the seats of the given shards, with one read for all.
func (r *Runtime) claimAll(ctx context.Context, shards []roster.Shard) {
	lease, until := r.cfg.Store.Lease()
	if !r.clock.late().Before(until) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, err := r.cfg.Store.List(ctx, SeatPrefix+string(r.cfg.DataCentre)+"/")
	if err != nil {
		r.cfg.Logger.Warn("seats not read", zap.Error(failure.At(err, "list seats", "store")))
		return
	}
	read := map[string]Entry{}
	for _, e := range list {
		read[strings.TrimPrefix(e.Key, SeatPrefix)] = e
	}
	standing := map[allot.SeatRecord]bool{}
	for _, h := range shards {
		e := read[string(seatName(r.cfg.DataCentre, h))]
		if err := r.claim(ctx, h, e, lease, standing); err != nil {
			r.cfg.Logger.Warn("seat not taken", zap.Int("shard", int(h)), zap.Error(err))
		}
	}
}

// claim takes one step towards a seat.
func (r *Runtime) claim(
	ctx context.Context, h roster.Shard, e Entry, lease uint64, standing map[allot.SeatRecord]bool,
) error {
	var read storedSeat
	if len(e.Value) > 0 {
		if err := json.Unmarshal(e.Value, &read); err != nil {
			return failure.At(err, "read seat", "store")
		}
	}
	rec := read.SeatRecord
	stands, err := r.stands(ctx, rec, standing)
	if err != nil {
		return err
	}
	r.mu.Lock()
	s := r.seat(h)
	step := s.claim.Next(r.clock.early(), r.process(), lease, rec, stands)
	if step == allot.StepRest && s.tenure.Held() {
		r.lose(h, s)
	}
	r.mu.Unlock()
	switch step {
	case allot.StepAdopt:
		if !r.witnessServes(rec.Witness) {
			return r.take(ctx, h, e.Revision, allot.Taken(rec, r.process(), lease, r.pickWitness()), nil)
		}
		r.won(h, rec, e.Revision, lease, nil)
	case allot.StepSwap:
		return r.take(ctx, h, e.Revision, allot.Taken(rec, r.process(), lease, r.pickWitness()), read.Left)
	case allot.StepWithdraw:
		return r.withdraw(ctx, h, rec)
	case allot.StepRest, allot.StepWait:
	}
	return nil
}

// stands reports whether the lease of a record's holder stands, asking the store
// once for all seats of one holder.
func (r *Runtime) stands(ctx context.Context, rec allot.SeatRecord, known map[allot.SeatRecord]bool) (bool, error) {
	if rec.Holder == (allot.Process{}) || rec.Holder == r.process() {
		return false, nil
	}
	k := allot.SeatRecord{Holder: rec.Holder, Lease: rec.Lease}
	if v, ok := known[k]; ok {
		return v, nil
	}
	v, err := r.cfg.Store.Standing(ctx, rec.Holder.Host, rec.Lease)
	if err != nil {
		return false, failure.At(err, "read lease", "store")
	}
	known[k] = v
	return v, nil
}

// take swaps the record. After a lost answer the next round reads what has become
// of it; until then a holder counts on its lease alone (see Seat.Swapping).
//
// The tokens that a predecessor left are used by the one whose swap of that very
// record is known to have gone through, and the swap removes them: so never twice.
func (r *Runtime) take(
	ctx context.Context, h roster.Shard, old uint64, rec allot.SeatRecord, left []leftover,
) error {
	r.mu.Lock()
	s := r.seat(h)
	s.tenure.Swapping()
	s.claim.Tried(allot.SeatRecord{Tenure: rec.Tenure - 1})
	r.mu.Unlock()
	rev, ok, err := r.swap(ctx, h, old, storedSeat{SeatRecord: rec})
	if err != nil {
		return failure.At(err, "swap seat", "store")
	}
	if ok {
		r.won(h, rec, rev, rec.Lease, left)
	}
	return nil
}

func (r *Runtime) swap(ctx context.Context, h roster.Shard, old uint64, rec storedSeat) (uint64, bool, error) {
	v, err := json.Marshal(rec)
	if err != nil {
		return 0, false, err
	}
	return r.cfg.Store.Swap(ctx, SeatPrefix+string(seatName(r.cfg.DataCentre, h)), old, v)
}

func (r *Runtime) won(h roster.Shard, rec allot.SeatRecord, rev, lease uint64, left []leftover) {
	l, until := r.cfg.Store.Lease()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.seat(h)
	s.revision, s.claim, s.yield = rev, allot.Claim{}, time.Time{}
	kept := s.tenure.Won(rec)
	if l == lease {
		s.tenure.Leased(lease, until)
	}
	if !kept {
		r.dropHomes(h)
		r.startHomes(h, left)
	}
	r.note(h, "take", fmt.Sprintf("tenure %d, witness %s", rec.Tenure, rec.Witness.Host))
}

// note records a decision on a seat in the journal and the log.
func (r *Runtime) note(h roster.Shard, choice, reason string) {
	n := string(seatName(r.cfg.DataCentre, h))
	r.cfg.Journal.Add(journal.Decision{
		At: r.cfg.Now(), Kind: journal.KindAllot, Subject: "seat=" + n, Choice: choice, Reason: reason,
	})
	r.cfg.Logger.Info("seat", zap.String("seat", n), zap.String("choice", choice), zap.String("reason", reason))
}

// pickWitness returns a live host, rather of the own data centre, so that a data
// centre cut off from all else can go on.
func (r *Runtime) pickWitness() allot.Process {
	m := r.cfg.Members()
	for _, e := range append(roster.In(m, r.cfg.DataCentre), m...) {
		if e.Host == r.cfg.Host || e.Leaving {
			continue
		}
		if epoch := r.cfg.Store.Epoch(e.Host); epoch != 0 {
			return allot.Process{Host: e.Host, Epoch: epoch}
		}
	}
	return allot.Process{}
}

var errNoWitness = errors.New("the witness is not among the members")

// withdraw asks the witness of rec to consent no more.
func (r *Runtime) withdraw(ctx context.Context, h roster.Shard, rec allot.SeatRecord) error {
	n := seatName(r.cfg.DataCentre, h)
	q := &hostpb.SeatAsk{Seat: string(n), Tenure: rec.Tenure, Withdraw: true}
	a, err := r.askWitness(ctx, rec.Witness, []*hostpb.SeatAsk{q})
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	remains := time.Duration(a.GetSeats()[0].GetRemainsUs()) * time.Microsecond
	r.seat(h).claim.Withdrawn(r.clock.early(), rec, remains)
	return nil
}
