package grants

import (
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/fleet"
)

// maxUngrantedLogs bounds the lines a second on accounts without grants: all accounts lose them at once when a
// host is cut off.
const maxUngrantedLogs = 5

// logLimit counts the lines of one second.
type logLimit struct {
	second time.Time
	lines  int
}

func (l *logLimit) allow(now time.Time) bool {
	if now.Sub(l.second) >= time.Second {
		*l = logLimit{second: now}
	}
	l.lines++
	return l.lines <= maxUngrantedLogs
}

// noteFailure notes why a data centre granted nothing. Once all of them have failed it logs why, as the
// account's work is then refused although it may be within its rate.
func (r *Runtime) noteFailure(now time.Time, e *entry, d fleet.DataCentre, why string) {
	if e.failed == nil {
		e.failed = map[fleet.DataCentre]string{}
	}
	e.failed[d] = why
	if !e.ungrantedSince.IsZero() {
		return
	}
	for _, d := range e.dataCentres() {
		if e.failed[d] == "" {
			return
		}
	}
	e.ungrantedSince = now
	if !r.ungranted.allow(now) {
		return
	}
	fs := []zap.Field{zap.String("service", string(e.service)), zap.String("account", string(e.account))}
	for d, why := range e.failed {
		fs = append(fs, zap.String("in-"+string(d), why))
	}
	_, until := r.cfg.Store.Lease()
	fs = append(fs, zap.Bool("lease-valid", r.clock.suspendAware().Before(until)),
		zap.Int("members", len(r.cfg.Members())), zap.Bool("claiming", r.AcquiringOwnership()))
	r.cfg.Logger.Warn("no grants", fs...)
}

// noteGrant notes that a data centre has granted.
func (r *Runtime) noteGrant(now time.Time, e *entry, d fleet.DataCentre) {
	delete(e.failed, d)
	if e.ungrantedSince.IsZero() {
		return
	}
	if r.ungranted.allow(now) {
		r.cfg.Logger.Warn("grants again", zap.String("service", string(e.service)),
			zap.String("account", string(e.account)), zap.String("from", string(d)),
			zap.Duration("after", now.Sub(e.ungrantedSince)))
	}
	e.ungrantedSince = time.Time{}
}
