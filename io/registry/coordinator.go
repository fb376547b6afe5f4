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

// Promotion is a call to the platform to promote an instance.
type Promotion struct {
	Service  fleet.Service
	Instance fleet.Instance
	// Holder is the failover coordinator that makes the call. Fence is its fencing token: it grows
	// with each new coordinator and is never reused.
	Holder fleet.Host
	Fence  uint64
}

// ErrNotRunning is returned by Config.Promote if the platform refuses to promote an instance that
// isn't running.
var ErrNotRunning = errors.New("the instance isn't running")

const (
	// maxQueuedPromotions bounds the promotion requests that wait.
	maxQueuedPromotions = 16
	// coordinatorValidity is how long after sending a renewal a host still acts as the failover
	// coordinator: half of the time after which another host may become it.
	coordinatorValidity = registrationTTL / 2
	// revokeTimeout bounds the revocation of the other hosts' registrations before a promotion.
	revokeTimeout = time.Second
	// promotionTimeout bounds one promotion call to the platform, promotionAttempts the calls that
	// are made until one is answered. Each call names the same instance, so that a repeated one
	// changes nothing once that instance is the primary.
	promotionTimeout  = 600 * time.Millisecond
	promotionAttempts = 3
	// stepDownLead is how long before a promotion takes effect the former primary steps down. What
	// it has accepted by then still reaches its successor.
	stepDownLead = 120 * time.Millisecond
	// maxConcurrentRevokes bounds the registrations that are revoked at a time.
	maxConcurrentRevokes = 8
)

func (r *Registry) coordinatorKey() string { return r.cfg.Prefix + "duty" }

// maintainCoordinator makes this host the failover coordinator when there is none, and reports when
// it becomes the coordinator or is no longer. The coordinator key is attached to the lease of the
// host's registration and ends with it.
func (r *Registry) maintainCoordinator(ctx context.Context) {
	var after Revision
	for ctx.Err() == nil {
		l := LeaseID(r.lease.Load())
		if l == 0 {
			sleep.For(ctx, pauseAfterError)
			continue
		}
		var err error
		if after == 0 {
			after, err = r.acquireCoordinator(ctx, l)
		} else {
			after, err = r.watchCoordinator(ctx, after)
		}
		if err != nil && ctx.Err() == nil {
			after = 0
			r.storeHealth.backOff(ctx)
		}
	}
}

// acquireCoordinator reads which host is the failover coordinator, and writes the key for this host
// if there is none. A recently started host leaves that to the others for CoordinatorDelay.
//
// Designed for a data centre that is cut off together with a primary and the coordinator, while
// hosts are restarted one after the other. A host that has just restarted has never connected to
// that primary. It takes the group for one whose primary is still to be found, seconds longer than
// the other hosts, which know that the primary is lost.
func (r *Registry) acquireCoordinator(ctx context.Context, l LeaseID) (Revision, error) {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	es, at, err := r.cfg.Store.List(c, r.coordinatorKey())
	if err != nil {
		return 0, err
	}
	if len(es) > 0 {
		r.updateCoordinator(es[0])
		return at, nil
	}
	r.updateCoordinator(Entry{})
	if remaining := r.cfg.CoordinatorDelay - time.Since(r.createdAt); remaining > 0 {
		sleep.For(ctx, remaining)
		return 0, nil
	}
	b, err := json.Marshal(r.cfg.Self.Name)
	if err != nil {
		return 0, err
	}
	_, err = r.cfg.Store.Commit(c, Txn{
		If:    []Condition{{Key: r.coordinatorKey()}},
		Put:   []Put{{Key: r.coordinatorKey(), Value: b}},
		Lease: l,
	})
	if errors.Is(err, ErrConflict) {
		err = nil
	}
	// The next round reads whether the write succeeded, also when the response was lost.
	return at, err
}

// updateCoordinator sets this host's fencing token by e, the entry of the coordinator key. The
// entry may have been written by a previous process of this host: only an entry under the current
// lease counts.
func (r *Registry) updateCoordinator(e Entry) {
	r.coordinatorMu.Lock()
	defer r.coordinatorMu.Unlock()
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
	if r.fencingToken.Swap(fence) != fence {
		r.cfg.Post(func() { r.cfg.CoordinatorChanged(fence != 0) })
	}
}

func (r *Registry) watchCoordinator(ctx context.Context, after Revision) (Revision, error) {
	c, cancel := context.WithTimeout(ctx, watchDuration+callTimeout)
	defer cancel()
	es, at, err := r.cfg.Store.Watch(c, r.coordinatorKey(), after, watchDuration)
	if err != nil {
		return 0, err
	}
	for _, e := range es {
		if e.Deleted {
			r.updateCoordinator(Entry{})
			return 0, nil
		}
		r.updateCoordinator(e)
	}
	return max(at, after), nil
}

// RequestPromotion queues a promotion request. It is dropped and logged if too many wait.
func (r *Registry) RequestPromotion(o leader.PromotionRequest) {
	if !r.promotionRequests.TryPut(o) {
		r.cfg.Logger.Error("order dropped: too many wait", zap.String("service", string(o.Service)))
	}
}

// runPromotions carries out the promotion requests, each on its own goroutine: a request for a
// group whose instances can't be reached must not delay that of another group.
func (r *Registry) runPromotions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-r.promotionRequests.Out():
			r.tasks.Go(func() { r.handlePromotion(ctx, o) })
		}
	}
}

func (r *Registry) handlePromotion(ctx context.Context, o leader.PromotionRequest) {
	at := time.Now()
	err := r.executePromotion(ctx, o)
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

// executePromotion writes the record, revokes the other hosts' registrations, and only then has the
// platform promote the instance.
//
// Guards against a host that relies on an outdated primary. A host whose registration was renewed
// after the record was written learns at its next renewal that the registration has ended. So no
// host can assume for longer than a renewal is valid that no promotion was requested. The platform
// takes longer than that to carry out a promotion; where it may be quicker, the remaining time is
// waited here.
func (r *Registry) executePromotion(ctx context.Context, o leader.PromotionRequest) error {
	fence := r.fencingToken.Load()
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
	r.passOnRecord(rec, rev)
	if o.Reason == leader.ReasonAlreadyPrimary {
		return nil
	}
	if err := r.revokeOtherHosts(ctx); err != nil {
		return err
	}
	if d := leader.LeaseValidity - r.cfg.MinPromotionTime; d > 0 && !sleep.For(ctx, d) {
		return ctx.Err()
	}
	return r.promote(ctx, o, rec, fence)
}

func (r *Registry) writeRecord(ctx context.Context, rec leader.Record, baseRevision Revision) (Revision, error) {
	b, err := json.Marshal(rec)
	if err != nil {
		return 0, err
	}
	key := r.recordsPrefix() + string(rec.Service)
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rev, err := r.cfg.Store.Commit(c, Txn{
		If: []Condition{{Key: key, Revision: baseRevision}}, Put: []Put{{Key: key, Value: b}},
	})
	if err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrNotDone) {
		return rev, err
	}
	// The response was lost. A read tells whether the record was written.
	return r.readBack(ctx, key, b, err)
}

func (r *Registry) readBack(ctx context.Context, key string, want []byte, writeErr error) (Revision, error) {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	es, _, err := r.cfg.Store.List(c, key)
	if err != nil {
		return 0, errors.Join(writeErr, err)
	}
	for _, e := range es {
		if e.Key == key && string(e.Value) == string(want) {
			return e.Revision, nil
		}
	}
	return 0, writeErr
}

// revokeOtherHosts revokes the registrations of all other hosts.
func (r *Registry) revokeOtherHosts(ctx context.Context) error {
	c, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	hs, err := r.readHosts(c)
	if err != nil {
		return err
	}
	slots := make(chan struct{}, maxConcurrentRevokes)
	errs := make(chan error, len(hs))
	for _, h := range hs {
		if h.Name == r.cfg.Self.Name {
			errs <- nil
			continue
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			errs <- r.revokeHost(c, h)
		}()
	}
	for range hs {
		err = errors.Join(err, <-errs)
	}
	return err
}

func (r *Registry) revokeHost(ctx context.Context, h Host) error {
	for {
		err := r.cfg.Store.Revoke(ctx, h.Lease)
		if err == nil || ctx.Err() != nil {
			return failure.At(err, "end a registration", failure.Peer("host "+string(h.Name)))
		}
		sleep.For(ctx, pauseAfterError/4)
	}
}

// errSuperseded ends a promotion request that is no longer the latest of its group.
var errSuperseded = errors.New("another promotion request has been recorded since")

// promote has the platform promote the instance, while this host is certain to be the failover
// coordinator.
//
// A call without a response is repeated only while its record is the latest of the group. A call
// repeated after a later promotion request would be carried out after it, and replace the primary
// that all hosts have a record of.
func (r *Registry) promote(ctx context.Context, o leader.PromotionRequest, rec leader.Record, fence uint64) error {
	p := Promotion{Service: o.Service, Instance: o.Primary, Holder: r.cfg.Self.Name, Fence: fence}
	var err error
	for n := range promotionAttempts {
		if n > 0 {
			if stale := r.checkLatestRecord(ctx, rec); stale != nil {
				return errors.Join(err, failure.At(stale, "order a change of primary again", "store"))
			}
		}
		if !r.coordinatorConfirmed() || r.fencingToken.Load() != fence {
			return errors.Join(err, failure.At(ErrConflict, "order a change of primary", "duty"))
		}
		r.scheduleStepDown(ctx, o)
		c, cancel := context.WithTimeout(ctx, promotionTimeout)
		last := r.cfg.Promote(c, p)
		cancel()
		if last == nil || n == 0 && errors.Is(last, ErrNotRunning) {
			return last
		}
		// After the first call, ErrNotRunning doesn't mean that the promotion was refused: an
		// earlier call may have been accepted while the instance still ran. The error is therefore
		// not wrapped.
		err = errors.New("promotion not known to be accepted: " + last.Error())
		sleep.For(ctx, pauseAfterError)
	}
	return err
}

// checkLatestRecord returns an error if rec isn't the latest record of its group, or if that isn't
// known.
func (r *Registry) checkLatestRecord(ctx context.Context, rec leader.Record) error {
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

// coordinatorConfirmed reports whether the last renewal is recent enough that no other host can be
// the failover coordinator yet.
func (r *Registry) coordinatorConfirmed() bool {
	at, ok := r.lastRenewal.Load().(time.Time)
	return ok && r.cfg.Now().Sub(at) < coordinatorValidity
}

// scheduleStepDown has a leaving primary, which still serves, step down stepDownLead before the
// promotion takes effect.
func (r *Registry) scheduleStepDown(ctx context.Context, o leader.PromotionRequest) {
	if o.Reason != leader.ReasonLeaving {
		return
	}
	r.tasks.Go(func() {
		if sleep.For(ctx, r.cfg.UsualPromotionTime-stepDownLead) {
			r.cfg.Post(func() { r.cfg.StepDown(o) })
		}
	})
}
