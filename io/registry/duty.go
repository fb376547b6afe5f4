package registry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/internal/sleep"
)

// Promotion is an order to the platform.
type Promotion struct {
	Service  fleet.Service
	Instance fleet.Instance
	// Holder is the host that gives it, Fence the number under which it holds the duty:
	// that grows with each holder, and never repeats.
	Holder fleet.Host
	Fence  uint64
}

// ErrNotRunning tells that the platform refuses to promote an instance.
var ErrNotRunning = errors.New("the instance isn't running")

const (
	// maxOrders bounds the orders that wait.
	maxOrders = 16
	// certainFor is how long after sending a renewal a host still acts on its duty: half
	// of the time after which another may take it over.
	certainFor = registrationTTL / 2
	// endTimeout bounds the ending of the other hosts' registrations before an order.
	endTimeout = time.Second
	// orderTimeout bounds one order to the platform, orderTries how often it is given
	// until it is answered. It names the same instance each time, which changes nothing
	// once that leads.
	orderTimeout = 600 * time.Millisecond
	orderTries   = 3
	// stepDownBefore is how long before an order takes effect the former primary is
	// stopped: what it has accepted by then still reaches its successor.
	stepDownBefore = 120 * time.Millisecond
	// maxEnding bounds the registrations that are ended at a time.
	maxEnding = 8
)

func (r *Registry) dutyKey() string { return r.cfg.Prefix + "duty" }

// holdDuty takes the duty when nobody has it, and tells when this host gains or loses
// it. The key stands under the lease of the registration, so it ends with that.
func (r *Registry) holdDuty(ctx context.Context) {
	var after Revision
	for ctx.Err() == nil {
		l := LeaseID(r.lease.Load())
		if l == 0 {
			sleep.For(ctx, pauseAfterError)
			continue
		}
		var err error
		if after == 0 {
			after, err = r.takeDuty(ctx, l)
		} else {
			after, err = r.waitForDuty(ctx, after)
		}
		if err != nil && ctx.Err() == nil {
			after = 0
			r.up.wait(ctx)
		}
	}
}

// takeDuty reads who has the duty, and takes it if nobody has. A host that has just started
// leaves it to the others for a while.
//
// The load it is made for: a data centre that is cut off, with a primary and the holder of the duty,
// while hosts are restarted in turn. One that has just come back has never met that primary,
// and takes the group for one whose primary is still to be found, seconds longer than the
// others know that it is lost.
func (r *Registry) takeDuty(ctx context.Context, l LeaseID) (Revision, error) {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	es, at, err := r.cfg.Store.List(c, r.dutyKey())
	if err != nil {
		return 0, err
	}
	if len(es) > 0 {
		r.ownDuty(es[0])
		return at, nil
	}
	r.ownDuty(Entry{})
	if young := r.cfg.CoordinatorDelay - time.Since(r.began); young > 0 {
		sleep.For(ctx, young)
		return 0, nil
	}
	b, err := json.Marshal(r.cfg.Self.Name)
	if err != nil {
		return 0, err
	}
	_, err = r.cfg.Store.Commit(c, Txn{
		If:    []Condition{{Key: r.dutyKey()}},
		Put:   []Put{{Key: r.dutyKey(), Value: b}},
		Lease: l,
	})
	if errors.Is(err, ErrConflict) {
		err = nil
	}
	// Whether it worked is read in the next round, also when the answer was lost.
	return at, err
}

// ownDuty notes whether e is this host's hold on the duty. The entry may be that of a
// former process of this host: only one under the lease of this process counts.
func (r *Registry) ownDuty(e Entry) {
	r.owning.Lock()
	defer r.owning.Unlock()
	var holder fleet.Host
	if len(e.Value) > 0 {
		if err := json.Unmarshal(e.Value, &holder); err != nil {
			r.cfg.Logger.Error("unreadable holder of the duty", zap.Error(err))
		}
	}
	var fence uint64
	if l := LeaseID(r.lease.Load()); l != 0 && holder == r.cfg.Self.Name && e.Lease == l {
		fence = uint64(e.Created)
	}
	if r.fence.Swap(fence) != fence {
		r.cfg.Post(func() { r.cfg.CoordinatorChanged(fence != 0) })
	}
}

func (r *Registry) waitForDuty(ctx context.Context, after Revision) (Revision, error) {
	c, cancel := context.WithTimeout(ctx, watchFor+callTimeout)
	defer cancel()
	es, at, err := r.cfg.Store.Watch(c, r.dutyKey(), after, watchFor)
	if err != nil {
		return 0, err
	}
	for _, e := range es {
		if e.Deleted {
			r.ownDuty(Entry{})
			return 0, nil
		}
		r.ownDuty(e)
	}
	return max(at, after), nil
}

// RequestPromotion has a change of primary made.
func (r *Registry) RequestPromotion(o leader.PromotionRequest) {
	if !r.orders.TryPut(o) {
		r.cfg.Logger.Error("order dropped: too many wait", zap.String("service", string(o.Service)))
	}
}

// giveOrders carries orders out, each on a goroutine: one for a group whose instances
// can't be reached must not hold up another group's.
func (r *Registry) giveOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-r.orders.Out():
			r.wait.Go(func() { r.give(ctx, o) })
		}
	}
}

func (r *Registry) give(ctx context.Context, o leader.PromotionRequest) {
	at := time.Now()
	err := r.order(ctx, o)
	refused := errors.Is(err, ErrNotRunning)
	f := []zap.Field{
		zap.String("service", string(o.Service)), zap.String("instance", string(o.Primary)),
		zap.Uint64("term", uint64(o.Term)), zap.String("reason", string(o.Reason)),
		zap.Duration("took", time.Since(at)),
	}
	if err != nil {
		r.cfg.Logger.Warn("order not carried out", append(f, zap.Error(err))...)
	} else {
		r.cfg.Logger.Info("order given", f...)
	}
	r.cfg.Post(func() { r.cfg.PromotionFinished(o, err == nil, refused) })
}

// order writes the record, ends the other hosts' registrations and only then gives the
// order.
//
// The order of the steps is the guard: every host whose registration was renewed after
// the record was written learns of the end of it at its next renewal, and none can
// believe for longer than a renewal is valid that no order was given. The platform
// takes longer than that to carry the order out; where it may not, the rest is waited.
func (r *Registry) order(ctx context.Context, o leader.PromotionRequest) error {
	fence := r.fence.Load()
	if fence == 0 {
		return failure.At(ErrConflict, "order a change of primary", "duty")
	}
	rec := leader.Record{
		Service: o.Service, Term: o.Term, Primary: o.Primary, Former: o.Former, By: r.cfg.Self.Name,
	}
	rev, err := r.writeRecord(ctx, rec, Revision(o.BaseRevision))
	if err != nil {
		return err
	}
	rec.Revision = uint64(rev)
	r.cfg.Post(func() { r.cfg.Record(rec) })
	r.copyRecord(rec, rev)
	if o.Reason == leader.ReasonAlreadyPrimary {
		return nil
	}
	if err := r.endOthers(ctx); err != nil {
		return err
	}
	if d := leader.LeaseValidity - r.cfg.PromotionLeast; d > 0 && !sleep.For(ctx, d) {
		return ctx.Err()
	}
	return r.promote(ctx, o, rec, fence)
}

func (r *Registry) writeRecord(ctx context.Context, rec leader.Record, based Revision) (Revision, error) {
	b, err := json.Marshal(rec)
	if err != nil {
		return 0, err
	}
	key := r.recordsPrefix() + string(rec.Service)
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rev, err := r.cfg.Store.Commit(c, Txn{
		If: []Condition{{Key: key, Revision: based}}, Put: []Put{{Key: key, Value: b}},
	})
	if err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrNotDone) {
		return rev, err
	}
	// The answer was lost: whether the record was written has to be read back.
	return r.readBack(ctx, key, b, err)
}

func (r *Registry) readBack(ctx context.Context, key string, want []byte, lost error) (Revision, error) {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	es, _, err := r.cfg.Store.List(c, key)
	if err != nil {
		return 0, errors.Join(lost, err)
	}
	for _, e := range es {
		if e.Key == key && string(e.Value) == string(want) {
			return e.Revision, nil
		}
	}
	return 0, lost
}

// endOthers ends the registrations of all other hosts.
func (r *Registry) endOthers(ctx context.Context) error {
	c, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	hs, err := r.hosts(c)
	if err != nil {
		return err
	}
	slots := make(chan struct{}, maxEnding)
	errs := make(chan error, len(hs))
	for _, h := range hs {
		if h.Name == r.cfg.Self.Name {
			errs <- nil
			continue
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			errs <- r.endOther(c, h)
		}()
	}
	for range hs {
		err = errors.Join(err, <-errs)
	}
	return err
}

func (r *Registry) endOther(ctx context.Context, h Host) error {
	for {
		err := r.cfg.Store.Revoke(ctx, h.Lease)
		if err == nil || ctx.Err() != nil {
			return failure.At(err, "end a registration", failure.Peer("host "+string(h.Name)))
		}
		sleep.For(ctx, pauseAfterError/4)
	}
}

// errSuperseded ends an order that isn't the last of its group any more.
var errSuperseded = errors.New("another order has been recorded since")

// promote gives the order to the platform, while the hold on the duty is certain.
//
// An order without an answer is given again only while its record is the group's last: one that
// came after a later order would be carried out after it, and put another primary in the place
// of the one that all hosts know.
func (r *Registry) promote(ctx context.Context, o leader.PromotionRequest, rec leader.Record, fence uint64) error {
	p := Promotion{Service: o.Service, Instance: o.Primary, Holder: r.cfg.Self.Name, Fence: fence}
	var err error
	for n := range orderTries {
		if n > 0 {
			if lost := r.lastRecord(ctx, rec); lost != nil {
				return errors.Join(err, failure.At(lost, "order a change of primary again", "store"))
			}
		}
		if !r.certain() || r.fence.Load() != fence {
			return errors.Join(err, failure.At(ErrConflict, "order a change of primary", "duty"))
		}
		r.planStepDown(ctx, o)
		c, cancel := context.WithTimeout(ctx, orderTimeout)
		last := r.cfg.Promote(c, p)
		cancel()
		if last == nil || n == 0 && errors.Is(last, ErrNotRunning) {
			return last
		}
		// That the instance isn't running any more refuses no order that it may have had before, so
		// that the error doesn't stand for ErrNotRunning.
		err = errors.New("not known to be taken: " + last.Error())
		sleep.For(ctx, pauseAfterError)
	}
	return err
}

// lastRecord reports by an error that rec isn't its group's last record, or isn't known to be.
func (r *Registry) lastRecord(ctx context.Context, rec leader.Record) error {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := r.recordsPrefix() + string(rec.Service)
	es, _, err := r.cfg.Store.List(c, key)
	if err != nil {
		return err
	}
	for _, e := range es {
		if e.Key == key && uint64(e.Revision) == rec.Revision {
			return nil
		}
	}
	return errSuperseded
}

// certain reports whether the duty can't be another host's yet.
func (r *Registry) certain() bool {
	at, ok := r.renewed.Load().(time.Time)
	return ok && r.cfg.Now().Sub(at) < certainFor
}

// planStepDown has a former primary that still works step down in time.
func (r *Registry) planStepDown(ctx context.Context, o leader.PromotionRequest) {
	if o.Reason != leader.ReasonLeaving {
		return
	}
	r.wait.Go(func() {
		if sleep.For(ctx, r.cfg.PromotionDelay-stepDownBefore) {
			r.cfg.Post(func() { r.cfg.StepDown(o) })
		}
	})
}
