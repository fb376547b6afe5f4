package registry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/fleet"
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

// coordinatorValidity is how long after sending a renewal a host still acts as the failover
// coordinator: half of the time after which another host may become it.
const coordinatorValidity = registrationTTL / 2

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
