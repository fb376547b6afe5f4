package registry

import (
	"time"

	"go.uber.org/zap"
)

// noInstance is the content of an entry that names no instance: writing it again changes nothing.
const noInstance = 1

// unusableEntries are the entries under InstancePrefix that name no instance, with the reason for each. The zero value
// is empty.
type unusableEntries struct {
	reasons map[string]string
	// logged counts the lines since loggedSince, logged at all the keys that were logged with their reasons.
	logged      int
	loggedSince time.Time
	known       map[string]string
}

const (
	// maxUnusableLines bounds the log lines on unusable entries in unusableLogInterval.
	maxUnusableLines    = 20
	unusableLogInterval = time.Minute
	// maxKnownUnusable bounds the entries that are known to be logged, so that one that is written again isn't.
	maxKnownUnusable = 1000
)

// add adds an entry, and logs it unless that was done before.
func (u *unusableEntries) add(now time.Time, l *zap.Logger, key string, reason error) {
	if u.reasons == nil {
		u.reasons = map[string]string{}
	}
	u.reasons[key] = reason.Error()
	if u.known[key] == reason.Error() {
		return
	}
	if now.Sub(u.loggedSince) >= unusableLogInterval {
		u.logged, u.loggedSince = 0, now
	}
	if u.logged++; u.logged > maxUnusableLines {
		return
	}
	if len(u.known) >= maxKnownUnusable || u.known == nil {
		u.known = map[string]string{}
	}
	u.known[key] = reason.Error()
	l.Warn("entry names no instance to use", zap.String("key", key), zap.Error(reason))
}

// UnusableEntries returns how many entries in the place of the instances name none to use.
func (r *Registry) UnusableEntries() int {
	r.instanceList.mu.Lock()
	defer r.instanceList.mu.Unlock()
	return len(r.instanceList.unusable.reasons)
}
