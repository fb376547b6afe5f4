package registry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/internal/sleep"
)

const (
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
	// recordsPerTxn is how many records are written at once: the platform's store takes 32 conditions and writes.
	recordsPerTxn = 16
)

// promotionQueue has the promotion requests that wait, one for each service at most. The zero promotionQueue is
// empty.
type promotionQueue struct {
	mu      sync.Mutex
	waiting map[fleet.Service]leader.PromotionRequest
}

// put adds a request in place of an earlier one of its service.
func (q *promotionQueue) put(o leader.PromotionRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting == nil {
		q.waiting = map[fleet.Service]leader.PromotionRequest{}
	}
	q.waiting[o.Service] = o
}

// take removes all requests and returns them in the order in which they are to be carried out: those for which
// most callers wait first.
func (q *promotionQueue) take() []leader.PromotionRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make([]leader.PromotionRequest, 0, len(q.waiting))
	for _, o := range q.waiting {
		out = append(out, o)
	}
	clear(q.waiting)
	slices.SortFunc(out, func(a, b leader.PromotionRequest) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.MissedBy, a.MissedBy),
			cmp.Compare(a.Service, b.Service))
	})
	return out
}

// recordedPromotion is a promotion request whose record is written.
type recordedPromotion struct {
	leader.PromotionRequest
	record leader.Record
	// entry is the record as it is stored.
	entry Entry
	// began is when it was begun to be carried out.
	began time.Time
	// knownRevision is the revision of the latest record that this host knew of when the store refused the write.
	knownRevision Revision
}

// RequestPromotion queues a promotion request, in place of one of the same service that still waits.
func (r *Registry) RequestPromotion(o leader.PromotionRequest) {
	r.promotionRequests.put(o)
	sleep.Signal(r.promotionsAdded)
}

// runPromotions carries out the promotion requests, all that wait together.
//
// Designed for the loss of a data centre that leads a third of a thousand groups. A record, a list of the
// registrations and their end for each group ended the proofs of all other groups hundreds of times.
func (r *Registry) runPromotions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.promotionsAdded:
			r.executePromotions(ctx, r.promotionRequests.take())
		}
	}
}

// executePromotions writes the records, revokes the other hosts' registrations, and only then has the
// platform promote the instances, no faster than it takes promotions.
//
// Guards against a host that relies on an outdated primary. A host whose registration was renewed
// after the records were written learns at its next renewal that the registration has ended. So no
// host can assume for longer than a renewal is valid that no promotion was requested: whatever the time
// between the revocation and a promotion, who has a registration has the records. The platform
// takes longer than that to carry out a promotion; where it may be quicker, the remaining time is
// waited here.
func (r *Registry) executePromotions(ctx context.Context, os []leader.PromotionRequest) {
	fence := r.fencingToken.Load()
	if fence == 0 {
		for _, o := range os {
			r.promotionFinished(recordedPromotion{PromotionRequest: o, began: time.Now()},
				failure.At(errNotCoordinator, "order a change of primary", "duty"))
		}
		return
	}
	var recorded []recordedPromotion
	for _, p := range r.writeRecords(ctx, os) {
		if p.Reason == leader.ReasonAlreadyPrimary {
			r.promotionFinished(p, nil)
			continue
		}
		recorded = append(recorded, p)
	}
	if len(recorded) == 0 {
		return
	}
	err := r.revokeOtherHosts(ctx)
	if d := leader.LeaseValidity - r.cfg.MinPromotionTime; err == nil && d > 0 && !sleep.For(ctx, d) {
		err = ctx.Err()
	}
	for _, p := range recorded {
		if err != nil {
			r.promotionFinished(p, err)
			continue
		}
		at := r.reservePromotion(time.Now())
		// Each on its own goroutine: a call without a response must not delay those for other groups.
		r.tasks.Go(func() {
			sleep.For(ctx, time.Until(at))
			r.promotionFinished(p, r.promote(ctx, p, fence))
		})
	}
}

// reservePromotion returns when the next promotion may be requested from the platform.
func (r *Registry) reservePromotion(now time.Time) time.Time {
	at := now
	if r.nextPromotionAt.After(now) {
		at = r.nextPromotionAt
	}
	if r.cfg.PromotionRate > 0 {
		r.nextPromotionAt = at.Add(time.Duration(float64(time.Second) / r.cfg.PromotionRate))
	}
	return at
}

// promotionFinished logs and reports the outcome of a promotion request.
func (r *Registry) promotionFinished(p recordedPromotion, err error) {
	refused := errors.Is(err, ErrNotRunning)
	f := []zap.Field{
		zap.String("service", string(p.Service)), zap.String("instance", string(p.Primary)),
		zap.Uint64("term", uint64(p.Term)), zap.String("reason", string(p.Reason)),
		zap.Duration("took", time.Since(p.began)),
	}
	if errors.Is(err, ErrConflict) {
		f = append(f, zap.Uint64("expected-revision", p.BaseRevision),
			zap.Uint64("known-revision", uint64(p.knownRevision)),
			zap.Uint64("stored-revision", uint64(r.knownRecord(p.Service).Revision)), zap.Int("conflicts", r.countConflict(p)))
	}
	if err != nil {
		r.cfg.Logger.Warn("order not carried out", append(f, zap.Error(err))...)
	} else {
		r.cfg.Logger.Info("order given", f...)
	}
	r.cfg.Post(func() { r.cfg.PromotionFinished(p.PromotionRequest, err == nil, refused) })
}

// writeRecords writes the records of requests and returns those that are written. The others are finished.
func (r *Registry) writeRecords(ctx context.Context, os []leader.PromotionRequest) []recordedPromotion {
	var out []recordedPromotion
	for some := range slices.Chunk(os, recordsPerTxn) {
		ps := make([]recordedPromotion, 0, len(some))
		for _, o := range some {
			p := recordedPromotion{PromotionRequest: o, began: time.Now(), record: leader.Record{
				Service: o.Service, Term: o.Term, Primary: o.Primary, Former: o.Former, By: r.cfg.Self.Name,
			}}
			b, err := json.Marshal(p.record)
			if err != nil {
				r.promotionFinished(p, err)
				continue
			}
			p.entry = Entry{Key: r.recordsPrefix() + string(o.Service), Value: b}
			ps = append(ps, p)
		}
		if len(ps) > 0 {
			out = append(out, r.writeTogether(ctx, ps)...)
		}
	}
	if len(out) > 0 {
		r.recordsWritten(out)
	}
	return out
}

// writeTogether writes the records of some requests in one transaction, or one by one if some of them were changed by
// another host since. It returns those that are written; the others are finished.
func (r *Registry) writeTogether(ctx context.Context, ps []recordedPromotion) (written []recordedPromotion) {
	var t Txn
	for _, p := range ps {
		t.If = append(t.If, Condition{Key: p.entry.Key, Revision: Revision(p.BaseRevision)})
		t.Put = append(t.Put, Put{Key: p.entry.Key, Value: p.entry.Value})
	}
	c, cancel := context.WithTimeout(ctx, callTimeout)
	rev, err := r.cfg.Store.Commit(c, t)
	cancel()
	if errors.Is(err, ErrConflict) && len(ps) > 1 {
		for n := range ps {
			written = append(written, r.writeTogether(ctx, ps[n:n+1])...)
		}
		return written
	}
	for _, p := range ps {
		at, failed := rev, err
		switch {
		case err == nil || errors.Is(err, ErrNotDone):
		case errors.Is(err, ErrConflict):
			p.knownRevision = r.knownRecord(p.Service).Revision
			at, failed = r.learnRecord(ctx, p, err)
		default:
			// The response was lost. A read tells whether the record was written.
			at, failed = r.readBack(ctx, p, err)
		}
		if failed != nil {
			r.promotionFinished(p, failed)
			continue
		}
		p.record.Revision, p.entry.Revision = uint64(at), at
		written = append(written, p)
	}
	return written
}

// recordsWritten puts records that this host has written in force, and passes them on.
func (r *Registry) recordsWritten(ps []recordedPromotion) {
	es := make([]Entry, 0, len(ps))
	records := make([]leader.Record, 0, len(ps))
	for _, p := range ps {
		es, records = append(es, p.entry), append(records, p.record)
	}
	r.postRecords(records)
	r.cacheRecords(es, 0, time.Time{})
	r.passOnRecords()
}

// readBack reads whether a record was written, after a write without a response. If another record is there, it is put
// in force. writeErr is returned if this one isn't known to have been written: it may still be written later.
func (r *Registry) readBack(ctx context.Context, p recordedPromotion, writeErr error) (Revision, error) {
	e, ok, err := r.readRecord(ctx, p.Service)
	if err != nil {
		return 0, errors.Join(writeErr, err)
	}
	if ok && string(e.Value) == string(p.entry.Value) {
		return e.Revision, nil
	}
	return 0, writeErr
}

// learnRecord reads a group's record after the store has refused to write another one on a revision that it doesn't
// have, and puts it in force, so that the next decision is based on it. conflict is returned, unless the store has
// no record at all and takes the write on that condition.
//
// Guards against a group that stays without a primary for good: whatever made this host's record another one than the
// store's, each further write would be refused alike, and no other host has a reason to change the record.
func (r *Registry) learnRecord(ctx context.Context, p recordedPromotion, conflict error) (Revision, error) {
	_, ok, err := r.readRecord(ctx, p.Service)
	if err != nil {
		// The records are read as soon as the store serves.
		r.RefreshRecords()
		return 0, errors.Join(conflict, err)
	}
	if ok || p.BaseRevision == 0 {
		return 0, conflict
	}
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.cfg.Store.Commit(c, Txn{
		If:  []Condition{{Key: p.entry.Key}},
		Put: []Put{{Key: p.entry.Key, Value: p.entry.Value}},
	})
}

// readRecord reads the record of a group and puts it in force. It reports whether there is one.
func (r *Registry) readRecord(ctx context.Context, s fleet.Service) (Entry, bool, error) {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := r.recordsPrefix() + string(s)
	es, _, err := r.cfg.Store.List(c, key)
	if err != nil {
		return Entry{}, false, err
	}
	for _, e := range es {
		if e.Key != key {
			continue
		}
		r.cacheRecords([]Entry{e}, 0, time.Time{})
		r.postRecords(r.parseRecords([]Entry{e}))
		r.passOnRecords()
		return e, true, nil
	}
	return Entry{}, false, nil
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

// errNotCoordinator ends a promotion request of a host that may no longer be the failover coordinator.
var errNotCoordinator = errors.New("this host isn't the failover coordinator any more")

// errSuperseded ends a promotion request that is no longer the latest of its group.
var errSuperseded = errors.New("another promotion request has been recorded since")

// promote has the platform promote the instance, while this host is certain to be the failover
// coordinator.
//
// A call without a response is repeated only while its record is the latest of the group. A call
// repeated after a later promotion request would be carried out after it, and replace the primary
// that all hosts have a record of.
func (r *Registry) promote(ctx context.Context, o recordedPromotion, fence uint64) error {
	p := Promotion{Service: o.Service, Instance: o.Primary, Holder: r.cfg.Self.Name, Fence: fence}
	var err error
	mayBeAccepted := false
	for n := range promotionAttempts {
		if n > 0 {
			if stale := r.checkLatestRecord(ctx, o.record); stale != nil {
				return errors.Join(err, failure.At(stale, "order a change of primary again", "store"))
			}
		}
		if r.isSuperseded(o.record) {
			return errors.Join(err, failure.At(errSuperseded, "order a change of primary", "store"))
		}
		if !r.coordinatorConfirmed() || r.fencingToken.Load() != fence {
			return errors.Join(err, failure.At(errNotCoordinator, "order a change of primary", "duty"))
		}
		sent := time.Now()
		c, cancel := context.WithTimeout(ctx, promotionTimeout)
		last := r.cfg.Promote(c, p)
		cancel()
		if last == nil {
			r.scheduleStepDown(ctx, o.PromotionRequest, sent)
		}
		if last == nil || !mayBeAccepted && errors.Is(last, ErrNotRunning) {
			return last
		}
		// After a call without a response, ErrNotRunning doesn't mean that the promotion was refused: that
		// call may have been accepted while the instance still ran. The error is therefore not wrapped.
		mayBeAccepted = mayBeAccepted || !errors.Is(last, ErrNotDone)
		err = errors.New("promotion not known to be accepted: " + last.Error())
		sleep.For(ctx, pauseAfterError)
	}
	return err
}

// isSuperseded reports whether a later record of the group is known: a promotion may be requested seconds after its
// record was written.
func (r *Registry) isSuperseded(rec leader.Record) bool {
	return uint64(r.knownRecord(rec.Service).Revision) > rec.Revision
}

// checkLatestRecord returns an error if rec isn't the latest record of its group, or if that isn't
// known.
func (r *Registry) checkLatestRecord(ctx context.Context, rec leader.Record) error {
	e, ok, err := r.readRecord(ctx, rec.Service)
	if err != nil {
		return err
	}
	if ok && uint64(e.Revision) == rec.Revision {
		return nil
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
// promotion takes effect that the platform has accepted in answer to a request sent at the given time. Without an
// answer it goes on: the promotion may come late, or never.
func (r *Registry) scheduleStepDown(ctx context.Context, o leader.PromotionRequest, sent time.Time) {
	if o.Reason != leader.ReasonLeaving {
		return
	}
	r.tasks.Go(func() {
		if sleep.For(ctx, r.cfg.UsualPromotionTime-stepDownLead-time.Since(sent)) {
			r.cfg.Post(func() { r.cfg.StepDown(o) })
		}
	})
}
