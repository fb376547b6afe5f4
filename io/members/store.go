package members

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"

	"go.uber.org/zap"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/roster"
)

// Renew keeps the record in the store; Run calls it by itself.
//
// A lease that the store has lost is not replaced before it has ended by this
// host's own clock: whoever sees the new registration takes it that the duties
// of the old one are free.
func (r *Runtime) Renew(ctx context.Context) error {
	r.mu.Lock()
	sent := r.cfg.Now()
	id, closed, stands := r.id, r.closed, r.lease.Valid(sent)
	r.mu.Unlock()
	if closed {
		return nil
	}
	if id == 0 {
		return r.register(ctx)
	}
	r.calls.WithLabelValues("renew").Inc()
	err := r.cfg.Store.Renew(ctx, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.lease.Renewed(sent)
		return nil
	}
	if errors.Is(err, ErrLeaseGone) && !stands {
		r.lease.Reregister(rand.Uint64())
		r.id = 0
	}
	return failure.At(err, "renew lease", "store")
}

func (r *Runtime) register(ctx context.Context) error {
	r.mu.Lock()
	sent := r.cfg.Now()
	// A registration whose answer was lost may stand in the store, so each try
	// has a name of its own.
	r.lease.Reregister(rand.Uint64())
	rec := r.record()
	rec.Lease = r.lease.Name
	r.mu.Unlock()
	v, err := json.Marshal(rec)
	if err != nil {
		return err
	}
	r.calls.WithLabelValues("register").Inc()
	id, err := r.cfg.Store.Register(ctx, key(r.cfg.Self.Host, rec.Lease), v, roster.LeaseTTL)
	if err != nil {
		return failure.At(err, "register", "store")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.id = id
	r.lease.Renewed(sent)
	return nil
}

// key returns the key of a host's registration.
func key(h fleet.Host, lease uint64) string {
	return Prefix + string(h) + "/" + strconv.FormatUint(lease, 16)
}

// put writes the own record under the lease that stands.
func (r *Runtime) put(ctx context.Context) {
	r.mu.Lock()
	id, rec := r.id, r.record()
	rec.Lease = r.lease.Name
	r.mu.Unlock()
	if id == 0 || r.cfg.Store.Put == nil {
		return
	}
	v, err := json.Marshal(rec)
	if err == nil {
		r.calls.WithLabelValues("put").Inc()
		err = r.cfg.Store.Put(ctx, key(r.cfg.Self.Host, rec.Lease), v, id)
	}
	if err != nil {
		r.cfg.Logger.Warn("leaving not written", zap.Error(failure.At(err, "put host", "store")))
	}
}
