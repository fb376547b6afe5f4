package registry

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"

	"go.uber.org/zap"

	"skylarkdeal/core/follow"
	"skylarkdeal/core/leader"
	"skylarkdeal/internal/sleep"
)

func (r *Registry) listRecords(ctx context.Context) ([]leader.Record, error) {
	es, _, err := r.cfg.Store.List(ctx, r.recordsPrefix())
	if err != nil {
		return nil, err
	}
	r.keep(es)
	return r.parseRecords(es), nil
}

func (r *Registry) parseRecords(es []Entry) []leader.Record {
	out := make([]leader.Record, 0, len(es))
	for _, e := range es {
		rec, err := parseRecord(e)
		if err != nil {
			r.cfg.Logger.Error("unreadable record of a change of primary", zap.String("key", e.Key), zap.Error(err))
			continue
		}
		out = append(out, rec)
	}
	return out
}

func parseRecord(e Entry) (leader.Record, error) {
	var rec leader.Record
	err := json.Unmarshal(e.Value, &rec)
	rec.Revision = uint64(e.Revision)
	return rec, err
}

// readRecords reads the records whenever that is asked for.
func (r *Registry) readRecords(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.relist:
		}
		c, cancel := context.WithTimeout(ctx, callTimeout)
		records, err := r.listRecords(c)
		cancel()
		if err != nil {
			r.up.failed(err)
			sleep.For(ctx, pauseAfterError)
			continue
		}
		r.cfg.Post(func() {
			for _, rec := range records {
				r.cfg.Record(rec)
			}
		})
		r.copyRecords()
		sleep.For(ctx, pauseAfterError)
	}
}

// keep takes in the entries of records.
func (r *Registry) keep(es []Entry) {
	r.kept.Lock()
	defer r.kept.Unlock()
	for _, e := range es {
		if e.Revision > r.records[e.Key].Revision {
			r.records[e.Key] = e
			r.changes++
		}
	}
}

// copyRecord hands on a record that this host has written.
func (r *Registry) copyRecord(rec leader.Record, rev Revision) {
	b, err := json.Marshal(rec)
	if err != nil {
		r.cfg.Logger.Error("record not handed on", zap.Error(err))
		return
	}
	r.keep([]Entry{{Key: r.recordsPrefix() + string(rec.Service), Value: b, Revision: rev}})
	r.copyRecords()
}

// copyRecords hands on all records. They only come to be more, so that the later of two copies has
// all that the earlier one has, whichever reading it came by.
func (r *Registry) copyRecords() {
	r.kept.Lock()
	es := slices.SortedFunc(maps.Values(r.records), func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	// A record may become known after another of a later revision, so that revisions tell no versions.
	v, at := follow.Version(1+r.changes), r.cfg.Now()
	r.kept.Unlock()
	r.copied(follow.PartRecords, v, at, es)
}
