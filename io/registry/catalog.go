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

// watchCatalog reads the catalog and then watches it.
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
			r.up.failed(err)
			after = 0
			r.up.wait(ctx)
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
	r.up.answered()
	now, news := r.written.list(es, at)
	r.handOn(now, news, sent)
	latest(&r.read, sent)
	r.CatalogConfirmed(sent)
	return at, nil
}

func (r *Registry) waitForCatalog(ctx context.Context, after Revision) (Revision, error) {
	c, cancel := context.WithTimeout(ctx, watchFor+callTimeout)
	defer cancel()
	go func() {
		select {
		case <-r.reload:
			cancel()
		case <-c.Done():
		}
	}()
	es, at, err := r.cfg.Store.Watch(c, r.cfg.CatalogPrefix, after, watchFor)
	if err != nil {
		return 0, err
	}
	now, news := r.written.events(es, max(at, after))
	// A watch tells of the moment at which it answers, which isn't known here.
	r.handOn(now, news, r.CatalogReadAt())
	return max(at, after), nil
}

// CatalogConfirmed takes in that the catalog in force here was the store's at a moment.
func (r *Registry) CatalogConfirmed(at time.Time) { latest(&r.confirmed, at) }

// CatalogReadAt returns when this host last read the catalog. As with the list of instances, what
// others have told of their readings is not told on.
func (r *Registry) CatalogReadAt() time.Time {
	at, _ := r.read.Load().(time.Time)
	return at
}

// knownSince returns when the catalog in force here was last known to be the store's.
func (r *Registry) knownSince() time.Time {
	at, _ := r.confirmed.Load().(time.Time)
	return at
}

// confirmCatalog reads the catalog when no host has done so for a while. Whoever is first
// tells the others, so that the calls don't grow with the fleet.
func (r *Registry) confirmCatalog(ctx context.Context) {
	// The watch begins with a reading of its own.
	sleep.For(ctx, confirmEvery)
	for ctx.Err() == nil {
		due := r.knownSince().Add(confirmEvery + r.turn())
		if wait := due.Sub(r.cfg.Now()); wait > 0 {
			sleep.For(ctx, wait)
			continue
		}
		if _, err := r.readCatalog(ctx); err != nil {
			r.up.wait(ctx)
		}
	}
}

// CatalogRevision returns the revision of the store up to which all that operators have written is
// known here.
func (r *Registry) CatalogRevision() Revision { return r.written.upTo() }

// handOn puts what operators have written in force, if it is news, and passes it on.
func (r *Registry) handOn(now snapshot, news bool, read time.Time) {
	if news {
		r.takeCatalog(now)
	}
	if now.changed != 0 {
		r.copied(follow.PartCatalog, follow.Version(now.changed), read, now.entries)
	}
}

// takeCatalog puts what operators have written in force.
//
// A configuration that can't be read leaves the last one in force that could, and holds up no
// evacuation.
func (r *Registry) takeCatalog(now snapshot) {
	at := now.find(r.cfg.CatalogKey)
	if at < 0 {
		return
	}
	c, err := r.cfg.ParseCatalog(now.entries)
	if err != nil {
		r.cfg.Logger.Error("catalog refused", zap.Uint64("revision", uint64(now.entries[at].Revision)), zap.Error(err))
		last, ok := r.readable.Load().(snapshot)
		if !ok {
			return
		}
		now.entries = slices.Clone(now.entries)
		now.entries[at] = last.entries[last.find(r.cfg.CatalogKey)]
		if slices.EqualFunc(now.entries, last.entries, sameEntry) {
			return
		}
		if c, err = r.cfg.ParseCatalog(now.entries); err != nil {
			return
		}
	}
	r.readable.Store(now)
	c.Revision = catalog.Revision(now.changed)
	r.cfg.Post(func() { r.cfg.Catalog(c) })
}

func sameEntry(a, b Entry) bool { return a.Key == b.Key && a.Revision == b.Revision }
