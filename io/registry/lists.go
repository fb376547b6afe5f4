package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/follow"
	"skylarkdeal/internal/sleep"
)

// listing is a reading of the list of instances: what tells it from others, when this host
// read it, and when it was last known to be the store's, by this host or another.
type listing struct {
	mu              sync.Mutex
	digest          uint64
	read, confirmed time.Time
}

// InstancesDigest returns the digest of the list of instances that is in use here, and when this host
// read it.
//
// What other hosts have told of their readings is not told on. The time that a report takes on
// its way isn't known, and would be left out at each step: a reading told from host to host
// stayed young for ever, nobody read again, and an instance that was leaving was used until it
// ended.
func (r *Registry) InstancesDigest() (uint64, time.Time) {
	r.listing.mu.Lock()
	defer r.listing.mu.Unlock()
	return r.listing.digest, r.listing.read
}

// listed returns the digest of the list in use, and when it was last known to be the store's.
func (r *Registry) listed() (uint64, time.Time) {
	r.listing.mu.Lock()
	defer r.listing.mu.Unlock()
	return r.listing.digest, r.listing.confirmed
}

// InstancesConfirmed takes in that a list with the digest was the store's at a moment, and reports
// whether it is the one in use here. One that is newer than this host's has it read anew at once.
func (r *Registry) InstancesConfirmed(digest uint64, at time.Time) bool {
	r.listing.mu.Lock()
	defer r.listing.mu.Unlock()
	same := digest == r.listing.digest
	switch {
	case !at.After(r.listing.confirmed):
	case same:
		r.listing.confirmed = at
	case digest != 0:
		signal(r.relisting)
	}
	return same && digest != 0
}

// acquaintance is how long a host that starts and finds the list empty waits before it reads it
// again: it hears by then which hosts go before it. All hosts start at once, and each takes itself for the
// first; four readings a second by each are more than the store takes from a large fleet.
const acquaintance = 800 * time.Millisecond

// listInstances reads the list of instances when no host has found it unchanged for a
// while. It isn't watched: each instance writes every second, and each of these writes
// would be a call.
func (r *Registry) listInstances(ctx context.Context) {
	young := true
	for ctx.Err() == nil {
		if err := r.readInstances(ctx); err != nil {
			r.up.wait(ctx)
			continue
		}
		if digest, _ := r.listed(); young && digest == 0 {
			_ = await(ctx, acquaintance, r.relisting)
		}
		young = false
		r.awaitListing(ctx)
	}
}

// awaitListing waits until the list of instances is to be read again.
func (r *Registry) awaitListing(ctx context.Context) {
	if r.rank() >= turns {
		// The instances of a service that starts announce themselves one after the other, and
		// each has the list read anew by all hosts.
		sleep.For(ctx, turnStep)
	}
	sleep.For(ctx, listingPause)
	for ctx.Err() == nil {
		digest, at := r.listed()
		every := instancesEvery
		if digest == 0 && r.rank() < turns {
			// The instances are still to come.
			every = listingPause
		}
		wait := at.Add(every + r.turn()).Sub(r.cfg.Now())
		if wait <= 0 || await(ctx, wait, r.relisting) {
			return
		}
	}
}

func (r *Registry) readInstances(ctx context.Context) error {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := r.cfg.Now()
	es, _, err := r.cfg.Store.List(c, r.cfg.InstancePrefix)
	if err != nil {
		return err
	}
	digest := r.takeInstances(es, sent)
	r.listing.mu.Lock()
	defer r.listing.mu.Unlock()
	r.listing.digest, r.listing.read, r.listing.confirmed = digest, sent, sent
	r.copied(follow.PartInstances, follow.Version(digest), sent, es)
	return nil
}

// coldStep is by how much the time that an instance stays cold has to change to be told to those who
// follow.
const coldStep = 2 * time.Second

// takeInstances hands on the instances of a reading and returns what tells it from others; zero
// if there are none.
func (r *Registry) takeInstances(es []Entry, sent time.Time) uint64 {
	is := make([]catalog.Instance, 0, len(es))
	digest := xxhash.New()
	for _, e := range es {
		if i, ok := r.cfg.ParseInstance(e); ok {
			is = append(is, i)
			// How long it stays cold changes with each beat.
			i.Cold = (i.Cold + coldStep - 1).Truncate(coldStep)
			fmt.Fprintf(digest, "%+v\n", i)
		}
	}
	r.cfg.Post(func() { r.cfg.Instances(is, sent) })
	if len(is) == 0 {
		return 0
	}
	return digest.Sum64()
}

// listHosts reads the registered hosts time and again.
func (r *Registry) listHosts(ctx context.Context) {
	wait := time.Duration(0)
	if r.counted {
		wait = 5 * pauseAfterError
	}
	for ctx.Err() == nil {
		_ = await(ctx, wait, r.rehost)
		c, cancel := context.WithTimeout(ctx, callTimeout)
		hs, err := r.hosts(c)
		cancel()
		if err != nil {
			r.up.wait(ctx)
			wait = 0
			continue
		}
		r.takeReaders(hs)
		r.cfg.Post(func() { r.cfg.Hosts(hs) })
		wait = hostsEvery + time.Duration(r.rank())*hostsStep
		if len(hs) < 2 {
			// All hosts start at once, and the others are about to register.
			wait = 5 * pauseAfterError
		}
	}
}

func (r *Registry) hosts(ctx context.Context) ([]Host, error) {
	es, _, err := r.cfg.Store.List(ctx, r.hostsPrefix())
	if err != nil {
		return nil, err
	}
	return r.ParseHosts(es), nil
}

// ParseHosts reads registrations; those that can't be read are left out.
func (r *Registry) ParseHosts(es []Entry) []Host {
	out := make([]Host, 0, len(es))
	for _, e := range es {
		var h Host
		if err := json.Unmarshal(e.Value, &h); err != nil {
			r.cfg.Logger.Error("unreadable registration", zap.String("key", e.Key), zap.Error(err))
			continue
		}
		out = append(out, h)
	}
	return out
}
