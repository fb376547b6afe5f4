package registry

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/follow"
	"skylarkdeal/internal/sleep"
)

// watchCatalog lists the catalog and then watches it for changes. It lists it again after an error.
func (r *Registry) watchCatalog(ctx context.Context) {
	var after Revision
	for ctx.Err() == nil {
		var err error
		if after == 0 {
			after, err = r.readCatalog(ctx)
		} else {
			after, err = r.waitForCatalog(ctx, after)
		}
		if err != nil && ctx.Err() == nil {
			r.storeHealth.recordFailure(err)
			after = 0
			r.storeHealth.backOff(ctx)
		}
	}
}

func (r *Registry) readCatalog(ctx context.Context) (Revision, error) {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := r.cfg.Now()
	es, at, err := r.cfg.Store.List(c, r.cfg.CatalogPrefix)
	if err != nil {
		return 0, err
	}
	r.storeHealth.recordSuccess()
	r.operatorEntries.applyList(es, at, sent, r.cfg.Now())
	r.catalogUpdated()
	r.CatalogConfirmed(sent)
	return at, nil
}

// waitForCatalog watches the catalog after a revision and returns the revision after which to go on, zero
// if the catalog is to be listed again.
func (r *Registry) waitForCatalog(ctx context.Context, after Revision) (Revision, error) {
	c, cancel := context.WithTimeout(ctx, watchDuration+callTimeout)
	defer cancel()
	reload := make(chan bool, 1)
	go func() {
		select {
		case <-r.catalogRefresh:
			cancel()
			reload <- true
		case <-c.Done():
			reload <- false
		}
	}()
	es, at, err := r.cfg.Store.Watch(c, r.cfg.CatalogPrefix, after, watchDuration)
	cancel()
	requested := <-reload
	if err != nil {
		if requested {
			// The watch was ended here, the store didn't fail.
			return 0, nil
		}
		return 0, err
	}
	at = max(at, after)
	// As of when the response is complete isn't known here, so that the time of the last list goes on to
	// stand for it.
	r.operatorEntries.applyEvents(es, at, r.cfg.Now())
	r.catalogUpdated()
	if requested {
		return 0, nil
	}
	return at, nil
}

// ReloadCatalog requests that the catalog is read again, by a reader or a follower. It doesn't wait for
// that.
func (r *Registry) ReloadCatalog() { sleep.Signal(r.catalogRefresh) }

// followerReadInterval is the least time between two readings of the catalog by a follower: hundreds of
// hosts may learn of a newer catalog at once, and the store is shared by all.
const followerReadInterval = 2 * time.Second

// readOnRequest reads the catalog whenever ReloadCatalog is called. A follower does so that knows of a
// newer catalog, which no reader passes on.
func (r *Registry) readOnRequest(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-r.catalogRefresh:
		}
		// What a reader can't reach, a follower may, and the other way round: a failure here tells
		// nothing of the store.
		if _, err := r.readCatalog(ctx); err != nil && ctx.Err() == nil {
			r.cfg.Logger.Warn("catalog not read", zap.Error(err))
		}
		sleep.For(ctx, followerReadInterval)
	}
}

// CatalogConfirmed records that the catalog in force on this host was the store's at the given
// time. Other hosts' reports of their readings call it too.
func (r *Registry) CatalogConfirmed(at time.Time) { storeLatest(&r.lastCatalogConfirm, at) }

// CatalogReadAt returns when this host itself last read the catalog. Readings reported by other
// hosts are not included, for the reason given at InstancesDigest.
func (r *Registry) CatalogReadAt() time.Time {
	_, at := r.operatorEntries.times()
	return at
}

// CatalogAsOf returns the latest time as of which the catalog known here is known to be the store's, by
// a reading of this host or by a copy that another host passed on. Reports of other hosts don't count:
// their delay isn't known.
func (r *Registry) CatalogAsOf() time.Time {
	at, _ := r.operatorEntries.times()
	return at
}

// catalogConfirmedAt returns when the catalog in force on this host was last known to be the
// store's, by a reading of this host or of another.
func (r *Registry) catalogConfirmedAt() time.Time {
	at, _ := r.lastCatalogConfirm.Load().(time.Time)
	return at
}

// confirmCatalog reads the catalog when no host has read it for catalogMaxAge. The first host to do
// so reports it to the others, so that the number of calls doesn't grow with the fleet.
func (r *Registry) confirmCatalog(ctx context.Context) {
	// The watch begins with a list.
	sleep.For(ctx, catalogMaxAge)
	for ctx.Err() == nil {
		due := r.catalogConfirmedAt().Add(catalogMaxAge + r.readDelay())
		if wait := due.Sub(r.cfg.Now()); wait > 0 {
			sleep.For(ctx, wait)
			continue
		}
		if _, err := r.readCatalog(ctx); err != nil {
			r.storeHealth.backOff(ctx)
		}
	}
}

// CatalogRevision returns the revision of the store up to which this host knows all entries written
// by operators, by its own readings or by copies that other hosts passed on.
func (r *Registry) CatalogRevision() Revision { return r.operatorEntries.completeRevision() }

// catalogUpdated passes the operators' entries on to followers, and puts their changes in force.
//
// The changes are parsed one at a time, in the order in which they were applied. Otherwise a catalog that
// takes long to parse would come into force after a newer one, or a valid configuration would be skipped
// for an older one because the next one can't be parsed.
func (r *Registry) catalogUpdated() {
	r.passOnCatalog()
	r.parsing <- struct{}{}
	defer func() { <-r.parsing }()
	for _, current := range r.takeUnparsed() {
		r.applyCatalog(current)
	}
}

// takeUnparsed returns the operators' entries after each change that wasn't parsed yet.
func (r *Registry) takeUnparsed() []snapshot {
	r.operatorEntries.mu.Lock()
	defer r.operatorEntries.mu.Unlock()
	out := r.unparsed
	r.unparsed = nil
	return out
}

// passOnCatalog passes on the operators' entries that this host knows at the moment of passing on. A
// reading that was captured earlier may be older by then than what is in force here.
func (r *Registry) passOnCatalog() {
	r.passOn(follow.PartCatalog, r.operatorEntries.copy)
}

// applyCatalog parses the operators' entries and puts the resulting catalog in force.
//
// If the configuration can't be parsed, the last valid one stays in force, and the other entries
// are applied with it: an invalid configuration must not delay an evacuation. The slot of parsing is held.
func (r *Registry) applyCatalog(current snapshot) {
	at := current.index(r.cfg.CatalogKey)
	if at < 0 {
		return
	}
	c, err := r.cfg.ParseCatalog(current.entries)
	if err != nil {
		r.cfg.Logger.Error("catalog refused", zap.Uint64("revision", uint64(current.entries[at].Revision)), zap.Error(err))
		last := r.lastValid
		if last.entries == nil {
			return
		}
		current.entries = slices.Clone(current.entries)
		current.entries[at] = last.entries[last.index(r.cfg.CatalogKey)]
		if slices.EqualFunc(current.entries, last.entries, sameEntry) {
			return
		}
		if c, err = r.cfg.ParseCatalog(current.entries); err != nil {
			return
		}
	}
	r.lastValid = current
	c.Revision = catalog.Revision(current.lastChange)
	// The change may be one that another task has applied and not passed on yet.
	r.passOnCatalog()
	r.cfg.Post(func() { r.cfg.Catalog(c) })
}

func sameEntry(a, b Entry) bool { return a.Key == b.Key && a.Revision == b.Revision }
