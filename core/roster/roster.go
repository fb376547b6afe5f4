package roster

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"skylarkdeal/core/fleet"
)

// Record is a host's description of itself, as it is written to the store and gossiped between
// hosts.
type Record struct {
	Member fleet.Member `json:"member"`
	// Epoch is the start time of the host's process in nanoseconds, so that a later process on the
	// same host has a higher epoch.
	Epoch uint64 `json:"epoch"`
	// Heartbeat is a counter that only the host itself raises. A rise proves that the host was
	// alive, however many hosts the record passed through.
	Heartbeat uint64 `json:"beat"`
	// Lease is the store registration that the record is stored under. It is zero in a record from
	// a peer.
	Lease uint64 `json:"lease,omitempty"`
}

// newerThan reports whether r is from a later process, or has a higher heartbeat, than other.
func (r Record) newerThan(other Record) bool {
	return cmp.Or(cmp.Compare(r.Epoch, other.Epoch), cmp.Compare(r.Heartbeat, other.Heartbeat)) > 0
}

// PlatformMember is a host on the platform's own list, which lags behind.
type PlatformMember struct {
	Member fleet.Member
}

const (
	// suspectAfter is how long a host may be silent in the smallest fleet: three rounds of digests,
	// one a second, so that the loss of two digests has no effect.
	suspectAfter = 3 * time.Second
	// suspectPerDoubling is added for each doubling of the fleet, as a heartbeat needs one more
	// round then to reach all hosts.
	suspectPerDoubling = time.Second
	// storeListMaxAge is how long a list read from the store proves that a host is live.
	storeListMaxAge = 10 * time.Second
	// forgetAfter is how long a silent host is kept. It bounds the memory taken by replaced hosts.
	forgetAfter = 10 * time.Minute
)

// hostEntry is what a roster keeps about one host.
type hostEntry struct {
	record Record
	// heartbeatAt is when the heartbeat last rose, storedAt when the store last listed the host.
	heartbeatAt, storedAt time.Time
	// leavingByPlatform is set when the platform's list marks the host as leaving.
	leavingByPlatform bool
	// leavingByRecord is set once the host's own record has marked it as leaving.
	leavingByRecord bool
}

// Roster merges what the store, the peers and the platform report about the hosts. The zero Roster
// with Self set is ready to use. It is not safe for concurrent use.
//
// A host is a member while its heartbeat rises or the store lists it. So an outage of the store
// removes no member, and neither does a network partition between two hosts as long as a third one
// hears both. A host that died is removed once its lease in the store has ended and its heartbeat
// has stopped. A host that is leaving stays a member and is marked as leaving.
type Roster struct {
	Self fleet.Host

	hosts map[fleet.Host]*hostEntry
	// usedAt is when the Roster was last used.
	usedAt time.Time
}

// pausedAfter is how long a Roster isn't used before this host counts as paused: twice the interval at
// which a host raises its own heartbeat.
const pausedAfter = 2 * time.Second

// notePause measures the silence of the others anew after a pause of this host, which can't have heard
// them. Without it a host that wakes takes all others for gone, and asks none of them any more.
func (r *Roster) notePause(now time.Time) {
	d := now.Sub(r.usedAt)
	if !r.usedAt.IsZero() && d > pausedAfter {
		for _, entry := range r.hosts {
			if !entry.heartbeatAt.IsZero() {
				entry.heartbeatAt = entry.heartbeatAt.Add(d)
			}
		}
	}
	if d > 0 {
		r.usedAt = now
	}
}

// Merge adds records from peers, and reports whether any of them showed a new process or a changed
// member.
func (r *Roster) Merge(now time.Time, records []Record) bool {
	r.notePause(now)
	changed := false
	for _, rec := range records {
		entry := r.hosts[rec.Member.Host]
		if entry != nil && !rec.newerThan(entry.record) {
			continue
		}
		entry = r.entry(rec.Member.Host)
		changed = changed || entry.record.Epoch != rec.Epoch || entry.record.Member != rec.Member
		entry.replace(rec)
		entry.heartbeatAt = now
	}
	return changed
}

// replace takes in a newer record. What marked the former process of the host as leaving says nothing
// about the present one.
func (e *hostEntry) replace(rec Record) {
	lease := e.record.Lease
	if e.record.Epoch != rec.Epoch {
		lease, e.leavingByRecord, e.leavingByPlatform = 0, false, false
	}
	e.leavingByRecord = e.leavingByRecord || rec.Member.Leaving
	e.record = rec
	e.record.Lease = lease
}

// MergeStore replaces the list read from the store. A record in it proves that a host is live only
// while its lease is valid, so it doesn't count as a heartbeat.
func (r *Roster) MergeStore(now time.Time, records []Record) {
	r.notePause(now)
	for _, entry := range r.hosts {
		entry.storedAt = time.Time{}
	}
	for _, rec := range records {
		entry := r.entry(rec.Member.Host)
		if rec.Epoch < entry.record.Epoch {
			continue
		}
		if rec.newerThan(entry.record) {
			entry.replace(rec)
		}
		entry.record.Lease = rec.Lease
		entry.storedAt = now
	}
}

// MergePlatform adds the platform's list. As the list lags behind, it can mark a host as leaving,
// and name hosts to contact at the start, but can't make a host live.
func (r *Roster) MergePlatform(listed []PlatformMember) {
	for _, m := range listed {
		if entry := r.hosts[m.Member.Host]; entry != nil {
			entry.leavingByPlatform = m.Member.Leaving
			continue
		}
		r.entry(m.Member.Host).record.Member = m.Member
	}
}

func (r *Roster) entry(h fleet.Host) *hostEntry {
	if r.hosts == nil {
		r.hosts = map[fleet.Host]*hostEntry{}
	}
	entry := r.hosts[h]
	if entry == nil {
		entry = &hostEntry{}
		r.hosts[h] = entry
	}
	return entry
}

// Members returns the hosts that count as live or leaving, sorted by name. A host that has been
// silent for longer than a heartbeat takes to reach all hosts, and that the store doesn't list, is
// not among them, whether it died or is cut off: as far as this host can tell, it has no duty.
func (r *Roster) Members(now time.Time) []fleet.Member {
	r.notePause(now)
	limit := r.silenceLimit()
	var out []fleet.Member
	for h, entry := range r.hosts {
		if h != r.Self && !entry.live(now, limit) {
			continue
		}
		m := entry.record.Member
		m.Leaving = m.Leaving || entry.leavingByPlatform || entry.leavingByRecord
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b fleet.Member) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

func (e *hostEntry) live(now time.Time, limit time.Duration) bool {
	heard := !e.heartbeatAt.IsZero() && now.Sub(e.heartbeatAt) < limit
	stored := !e.storedAt.IsZero() && now.Sub(e.storedAt) < storeListMaxAge
	return heard || stored
}

// silenceLimit returns how long a host's heartbeat may fail to rise.
func (r *Roster) silenceLimit() time.Duration {
	return suspectAfter + suspectPerDoubling*time.Duration(bits.Len(uint(len(r.hosts))))
}

// Silent returns the known hosts that are not members, sorted by name. They are the peers to try
// when no member can be reached.
func (r *Roster) Silent(now time.Time) []fleet.Member {
	r.notePause(now)
	var out []fleet.Member
	for h, entry := range r.hosts {
		if h != r.Self && !entry.live(now, r.silenceLimit()) {
			out = append(out, entry.record.Member)
		}
	}
	slices.SortFunc(out, func(a, b fleet.Member) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// Forget drops the hosts that are not live and whose heartbeat last rose longer than forgetAfter
// ago.
func (r *Roster) Forget(now time.Time) {
	r.notePause(now)
	for h, entry := range r.hosts {
		if h != r.Self && now.Sub(entry.heartbeatAt) > forgetAfter && !entry.live(now, r.silenceLimit()) &&
			!entry.heartbeatAt.IsZero() {
			delete(r.hosts, h)
		}
	}
}

// Records returns the records of this host and of all live hosts, sorted by name, for the digests
// that this host sends.
func (r *Roster) Records(now time.Time) []Record {
	r.notePause(now)
	var out []Record
	for h, entry := range r.hosts {
		if h == r.Self || entry.live(now, r.silenceLimit()) {
			out = append(out, entry.record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Member.Host, b.Member.Host) })
	return out
}

// Record returns the last record of a host.
func (r *Roster) Record(h fleet.Host) (Record, bool) {
	entry := r.hosts[h]
	if entry == nil {
		return Record{}, false
	}
	return entry.record, true
}
