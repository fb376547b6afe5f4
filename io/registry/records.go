package registry

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/follow"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/times"
	"skylarkdeal/internal/sleep"
)

func (r *Registry) listRecords(ctx context.Context) ([]leader.Record, error) {
	sent := r.cfg.Now()
	es, at, err := r.cfg.Store.List(ctx, r.recordsPrefix())
	if err != nil {
		return nil, err
	}
	r.cacheRecords(es, at, sent)
	return r.parseRecords(es), nil
}

// parseRecords parses records. One that can't be read names no primary: nobody knows which instance it was to promote,
// so that none may be taken for the primary, and its revision has to be known for another one to replace it.
func (r *Registry) parseRecords(es []Entry) []leader.Record {
	out := make([]leader.Record, 0, len(es))
	for _, e := range es {
		s := fleet.Service(strings.TrimPrefix(e.Key, r.recordsPrefix()))
		var rec leader.Record
		err := json.Unmarshal(e.Value, &rec)
		if err == nil && rec.Service != s {
			err = fmt.Errorf("it names the service %q", rec.Service)
		}
		if err != nil {
			r.cfg.Logger.Error("unreadable record of a change of primary", zap.String("key", e.Key), zap.Error(err))
			rec = leader.Record{Service: s}
		}
		rec.Revision = uint64(e.Revision)
		out = append(out, rec)
	}
	return out
}

// readRecords reads the records whenever RefreshRecords is called, until a reading succeeds.
func (r *Registry) readRecords(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.recordsRefresh:
		}
		c, cancel := context.WithTimeout(ctx, callTimeout)
		records, err := r.listRecords(c)
		cancel()
		if err != nil {
			r.storeHealth.recordFailure(err)
			r.storeHealth.backOff(ctx)
			r.RefreshRecords()
			continue
		}
		r.postRecords(records)
		r.passOnRecords()
		sleep.For(ctx, pauseAfterError)
	}
}

// postRecords passes records on to the host's decisions. The caller must not change the slice any more.
func (r *Registry) postRecords(records []leader.Record) {
	r.cfg.Post(func() {
		for _, rec := range records {
			r.cfg.Record(rec)
		}
	})
}

// cacheRecords stores the entries that are newer than the known ones. They lack no change up to a
// revision and as of a time, zero if that isn't known.
func (r *Registry) cacheRecords(es []Entry, at Revision, read time.Time) {
	r.recordsMu.Lock()
	defer r.recordsMu.Unlock()
	r.recordsCompleteTo, r.recordsAsOf = max(r.recordsCompleteTo, at), times.Later(r.recordsAsOf, read)
	for _, e := range es {
		if e.Revision > r.records[e.Key].Revision {
			r.records[e.Key] = e
			r.recordChanges++
		}
	}
}

// knownRecord returns the latest known entry of a group's record.
func (r *Registry) knownRecord(s fleet.Service) Entry {
	r.recordsMu.Lock()
	defer r.recordsMu.Unlock()
	return r.records[r.recordsPrefix()+string(s)]
}

// conflicts counts how often in a row the store has refused to write a group's record on one revision.
type conflicts struct {
	revision uint64
	count    int
}

// countConflict counts that the store has refused to write a record, and returns how often in a row it has on the
// same revision. More than a few show that the host doesn't learn of the store's record.
func (r *Registry) countConflict(p recordedPromotion) int {
	if r.cfg.RecordConflict != nil {
		r.cfg.RecordConflict()
	}
	r.recordsMu.Lock()
	defer r.recordsMu.Unlock()
	c := r.conflicts[p.Service]
	if c.revision != p.BaseRevision {
		c = conflicts{revision: p.BaseRevision}
	}
	c.count++
	r.conflicts[p.Service] = c
	return c.count
}

// passOnRecords passes on all records. Records are only added or replaced by newer ones, so that of
// two copies the later one has all that the earlier one has, whichever readings they come from.
func (r *Registry) passOnRecords() {
	r.passOn(follow.PartRecords, r.copyRecords)
}

func (r *Registry) copyRecords() follow.PartCopy[[]Entry] {
	r.recordsMu.Lock()
	defer r.recordsMu.Unlock()
	return follow.PartCopy[[]Entry]{
		// A record may become known after another one with a later revision, so the version counts
		// changes instead of being the highest revision.
		Version: follow.Version(1 + r.recordChanges), CompleteTo: r.recordsCompleteTo, ReadAt: r.recordsAsOf,
		HasBody: true,
		Body:    slices.SortedFunc(maps.Values(r.records), func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) }),
	}
}
