// Package slots holds slots of accounts for this host in the platform's store, so that no two hosts of a data centre
// are homes of the same account.
//
// A slot is a key under a lease of its holder. No other host can create the key before the lease has ended, and the
// holder counts on it for less than that. The lease is long, so that homes go on through an outage of the store. A host
// that is lost for good keeps its slots for as long, and the accounts do with the shares of the other data centres; one
// that starts again ends the lease of its former process.
package slots

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/ratelimit"
	"skylarkdeal/internal/sleep"
	"skylarkdeal/io/registry"
)

const (
	// leaseTTL is how long a lease lasts, the longest that the platform grants.
	leaseTTL = 10 * time.Minute
	// validity is how long after it sent a renewal the holder counts on its lease. It leaves a quarter for clocks
	// that run apart.
	validity = leaseTTL * 3 / 4
	// renewInterval is how often the lease is renewed: often enough that an outage of the store finds most of it
	// left.
	renewInterval = 30 * time.Second
	// checkInterval is how often it is checked whether slots are to be taken, and a failed call is repeated.
	checkInterval = 500 * time.Millisecond
	// reclaimInterval is how soon slots of a former process are tried again.
	reclaimInterval = 100 * time.Millisecond
	// takenInterval is how long slots that another host holds aren't tried again.
	takenInterval = 5 * time.Second
	// callTimeout bounds one call. A slow store answers within 0.3 s.
	callTimeout = 1500 * time.Millisecond
)

// Config configures a Keeper.
type Config struct {
	Store registry.Store
	Self  fleet.Host
	// Prefix is the prefix of the keys of this host's data centre.
	Prefix string
	// Now returns a time that includes suspension.
	Now func() time.Time
	// Wanted returns the slots that this host should take, as no host is known to hold them.
	Wanted func() ratelimit.SlotSet
	// Held is called with the slots that this host holds, until when it may count on them, and the tokens that the
	// former holders of new ones have left.
	Held func(held ratelimit.SlotSet, until time.Time, left ratelimit.Leftovers)
	// Stop stops the homes of all slots and returns the tokens that are left in them. It reports whether they
	// have stopped.
	Stop   func() (left map[ratelimit.Slot]ratelimit.Leftovers, stopped bool)
	Logger *zap.Logger
}

// Keeper takes slots for this host and keeps them.
type Keeper struct {
	cfg     Config
	leaving atomic.Bool
	// check is signalled when it is to be checked at once which slots are wanted.
	check chan struct{}

	lease registry.LeaseID
	held  ratelimit.SlotSet
	// revisions are those of the keys of the held slots.
	revisions [ratelimit.Slots]registry.Revision
	renewedAt time.Time
	// takenAt is when wanted slots were last found taken.
	takenAt time.Time
	// failing is set while calls to take slots fail.
	failing bool
}

// New returns a Keeper that makes no calls before Run.
func New(cfg Config) *Keeper {
	return &Keeper{cfg: cfg, check: make(chan struct{}, 1)}
}

// Leave has the Keeper give its slots up now, and take none any more. Without it they are given up as Run ends.
func (k *Keeper) Leave() {
	k.leaving.Store(true)
	sleep.Signal(k.check)
}

// Check has the Keeper look at once whether slots are wanted.
func (k *Keeper) Check() { sleep.Signal(k.check) }

// Run takes and keeps slots until ctx ends, and gives them up then. The slots that a former process of this host held
// are taken first, without waiting for other hosts: after the loss of all hosts at once, accounts have no home until
// then.
func (k *Keeper) Run(ctx context.Context) {
	for !k.claim(ctx, 0) {
		if !sleep.For(ctx, reclaimInterval) {
			return
		}
	}
	for k.wait(ctx) {
		if k.leaving.Load() {
			if k.storeAnswers(ctx) {
				k.release()
			}
			continue
		}
		k.renew(ctx)
		k.take(ctx)
	}
	k.release()
}

// wait waits for the next check, and reports whether ctx still goes on.
func (k *Keeper) wait(ctx context.Context) bool {
	_ = sleep.OrSignal(ctx, checkInterval, k.check)
	return ctx.Err() == nil
}

// storeAnswers reports whether the store answers: otherwise no host could take the slots.
func (k *Keeper) storeAnswers(ctx context.Context) bool {
	if k.lease == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return k.cfg.Store.Renew(ctx, k.lease) == nil
}

// release stops the homes, leaves their tokens to the next holders and ends the lease, so that other hosts can take the
// slots at once.
func (k *Keeper) release() {
	if k.lease == 0 {
		return
	}
	held := k.held
	left, stopped := k.lost("given up")
	if !stopped {
		// A home may still grant: the lease ends by itself.
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for _, some := range chunks(held) {
		if err := k.leave(ctx, some, left); err != nil {
			k.cfg.Logger.Warn("tokens not left to the next holder", zap.Error(err))
		}
	}
	if err := k.cfg.Store.Revoke(ctx, k.lease); err != nil {
		k.cfg.Logger.Warn("lease of slots not ended", zap.Error(err))
	}
	k.lease = 0
}

// slotsPerCall is how many slots one call changes: with two conditions and two writes for each, as many entries as the
// platform takes.
const slotsPerCall = 8

// chunks divides slots among calls.
func chunks(all ratelimit.SlotSet) []ratelimit.SlotSet {
	var out []ratelimit.SlotSet
	for s := range ratelimit.Slot(ratelimit.Slots) {
		if !all.Has(s) {
			continue
		}
		if len(out) == 0 || out[len(out)-1].Len() == slotsPerCall {
			out = append(out, 0)
		}
		out[len(out)-1] = out[len(out)-1].With(s)
	}
	return out
}

// lost stops the homes, as this host holds no slots any more.
func (k *Keeper) lost(reason string) (left map[ratelimit.Slot]ratelimit.Leftovers, stopped bool) {
	if k.held != 0 {
		k.cfg.Logger.Info("slots", zap.String("choice", "lose"), zap.String("reason", reason),
			zap.Int("count", k.held.Len()))
	}
	k.held = 0
	return k.cfg.Stop()
}

func (k *Keeper) renew(ctx context.Context) {
	now := k.cfg.Now()
	if k.lease == 0 || now.Sub(k.renewedAt) < renewInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := k.cfg.Store.Renew(ctx, k.lease)
	switch {
	case err == nil:
		k.renewedAt = now
		k.tell(nil)
	case errors.Is(err, registry.ErrNotFound):
		k.lost("the lease has ended")
		k.lease = 0
	default:
		k.cfg.Logger.Debug("lease of slots not renewed", zap.Error(err))
	}
}

// tell tells which slots are held, and what was left to new ones.
func (k *Keeper) tell(left ratelimit.Leftovers) { k.cfg.Held(k.held, k.renewedAt.Add(validity), left) }

// take takes the wanted slots that are free.
func (k *Keeper) take(ctx context.Context) {
	wanted := k.cfg.Wanted() &^ k.held
	if wanted == 0 || k.cfg.Now().Sub(k.takenAt) < takenInterval && !k.takenAt.IsZero() {
		return
	}
	k.claim(ctx, wanted)
}

// claim takes those of the wanted slots that are free, and those of a former process of this host. It reports whether
// the store has answered.
func (k *Keeper) claim(ctx context.Context, wanted ratelimit.SlotSet) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := k.read(ctx, wanted)
	for _, some := range chunks(r.free) {
		if err == nil {
			err = k.create(ctx, some, r.left)
		}
	}
	if err != nil && !k.failing {
		k.cfg.Logger.Warn("slots not taken", zap.Error(err))
	}
	k.failing = err != nil
	return err == nil
}

// reading is what the store holds: the free slots among the wanted, and the tokens left in slots.
type reading struct {
	free ratelimit.SlotSet
	left map[ratelimit.Slot]registry.Entry
}

// read reads who holds the slots. Those of a former process of this host are free, as it ends that one's lease. A write
// whose answer was lost is found here, as its keys are under this host's lease.
func (k *Keeper) read(ctx context.Context, wanted ratelimit.SlotSet) (reading, error) {
	es, _, err := k.cfg.Store.List(ctx, k.cfg.Prefix)
	if err != nil {
		return reading{}, failure.At(err, "list slots", "store")
	}
	var own ratelimit.SlotSet
	former := fleet.Set[registry.LeaseID]{}
	left := map[ratelimit.Slot]registry.Entry{}
	for _, e := range es {
		if s, ok := slotOf(e.Key, k.cfg.Prefix+leftPart); ok {
			// Under a lease it is what was left of tokens that the holder of that lease has taken.
			if e.Lease == 0 {
				left[s] = e
			}
			continue
		}
		s, ok := slotOf(e.Key, k.cfg.Prefix)
		switch {
		case !ok:
		case k.lease != 0 && e.Lease == k.lease:
			own = own.With(s)
			k.revisions[s] = e.Revision
			wanted = wanted.Without(s)
		case k.isOwn(e):
			former.Add(e.Lease)
			wanted = wanted.With(s)
		case wanted.Has(s):
			wanted = wanted.Without(s)
			k.takenAt = k.cfg.Now()
		}
	}
	k.add(own, nil)
	for _, l := range former.Sorted() {
		if err := k.cfg.Store.Revoke(ctx, l); err != nil {
			return reading{}, failure.At(err, "end the lease of the former process", "store")
		}
	}
	return reading{wanted, left}, nil
}

// ensureLease makes sure that this host has a lease. It is counted on from before it was asked for.
func (k *Keeper) ensureLease(ctx context.Context) error {
	if k.lease != 0 {
		return nil
	}
	asked := k.cfg.Now()
	l, err := k.cfg.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return failure.At(err, "grant the lease of slots", "store")
	}
	k.lease, k.renewedAt = l, asked
	return nil
}

// create creates the keys of free slots, and takes the tokens left in them in the same call, so that they are used
// once. If another host takes one of them first, none is created.
func (k *Keeper) create(ctx context.Context, free ratelimit.SlotSet, left map[ratelimit.Slot]registry.Entry) error {
	if err := k.ensureLease(ctx); err != nil {
		return err
	}
	b, err := json.Marshal(k.cfg.Self)
	if err != nil {
		return err
	}
	t := registry.Txn{Lease: k.lease}
	tokens := ratelimit.Leftovers{}
	for s := range ratelimit.Slot(ratelimit.Slots) {
		if !free.Has(s) {
			continue
		}
		t.If = append(t.If, registry.Condition{Key: k.key(s)})
		t.Put = append(t.Put, registry.Put{Key: k.key(s), Value: b})
		if e, ok := left[s]; ok {
			t.If = append(t.If, registry.Condition{Key: e.Key, Revision: e.Revision})
			t.Put = append(t.Put, registry.Put{Key: e.Key, Value: []byte("{}")})
			k.addLeft(tokens, e)
		}
	}
	revision, err := k.cfg.Store.Commit(ctx, t)
	if errors.Is(err, registry.ErrConflict) {
		return nil
	}
	if err != nil {
		return failure.At(err, "take slots", "store")
	}
	for s := range ratelimit.Slot(ratelimit.Slots) {
		if free.Has(s) {
			k.revisions[s] = revision
		}
	}
	k.add(free, tokens)
	return nil
}

func (k *Keeper) add(taken ratelimit.SlotSet, left ratelimit.Leftovers) {
	taken &^= k.held
	if taken == 0 {
		return
	}
	k.held |= taken
	k.cfg.Logger.Info("slots", zap.String("choice", "take"), zap.Int("count", taken.Len()), zap.Int("held", k.held.Len()),
		zap.Int("accounts-with-tokens", len(left)))
	k.tell(left)
}

func (k *Keeper) key(s ratelimit.Slot) string { return k.cfg.Prefix + strconv.Itoa(int(s)) }

func slotOf(key, prefix string) (ratelimit.Slot, bool) {
	n, ok := strings.CutPrefix(key, prefix)
	s, err := strconv.Atoi(n)
	return ratelimit.Slot(s), ok && err == nil && s >= 0 && s < ratelimit.Slots
}

// isOwn reports whether a key was written by this host. One that can't be read is another's.
func (k *Keeper) isOwn(e registry.Entry) bool {
	var h fleet.Host
	if err := json.Unmarshal(e.Value, &h); err != nil {
		k.cfg.Logger.Warn("slot with an unreadable holder", zap.String("key", e.Key), zap.Error(err))
		return false
	}
	return h == k.cfg.Self
}
