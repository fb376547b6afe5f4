package roster

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"skylarkdeal/core/fleet"
)

// Record is what a host says of itself, as it is written to the store and passed
// on from host to host.
type Record struct {
	Member fleet.Member `json:"member"`
	// Epoch is the start time of the host's process in nanoseconds, so that a
	// later process of one host has the higher epoch.
	Epoch uint64 `json:"epoch"`
	// Heartbeat is raised by the host itself and only by it: a beat that rises proves
	// that the host was alive, over however many hosts the news came.
	Heartbeat uint64 `json:"beat"`
	// Lease names the registration in the store under which the record stands;
	// zero in a record that came from a peer.
	Lease uint64 `json:"lease,omitempty"`
}

// newer reports whether r is of a later process, or a later beat, than o.
func (r Record) newer(o Record) bool {
	return cmp.Or(cmp.Compare(r.Epoch, o.Epoch), cmp.Compare(r.Heartbeat, o.Heartbeat)) > 0
}

// PlatformMember is a host on the platform's own list, which lags behind.
type PlatformMember struct {
	Member fleet.Member
}

const (
	// suspectAfter is how long a host may be silent in the smallest fleet. It is
	// three rounds of digests of a second each, so that two lost ones do nothing.
	suspectAfter = 3 * time.Second
	// perDoubling is added for each doubling of the fleet, as that is how many
	// more rounds a beat needs to reach everyone.
	perDoubling = time.Second
	// storeFresh is how long a list of the store proves that a host is live.
	storeFresh = 10 * time.Second
	// forgetAfter bounds the memory of hosts that were replaced.
	forgetAfter = 10 * time.Minute
)

// known is what a roster keeps of one host.
type known struct {
	record Record
	// heard is when the beat last rose, stored when the store last listed it.
	heard, stored time.Time
	// listed is set when the platform's list has the host as leaving.
	leaving bool
	// bye is set once the host's own record said that it leaves.
	bye bool
}

// Roster merges what the store, the peers and the platform say of the hosts. The
// zero Roster with Self set works. It is not safe for concurrent use.
//
// A host is a member while its beat rises or the store lists it. So an outage of
// the store throws no one out, a cut between two hosts throws no one out as long
// as a third hears both, and a host that died is out once the store's lease has
// ended and its beat has stopped. A host that leaves stays a member, marked so.
type Roster struct {
	Self fleet.Host

	hosts map[fleet.Host]*known
}

// Merge takes in records that peers passed on, and reports whether any told
// something new.
func (r *Roster) Merge(now time.Time, records []Record) bool {
	changed := false
	for _, e := range records {
		k := r.hosts[e.Member.Host]
		if k != nil && !e.newer(k.record) {
			continue
		}
		k = r.known(e.Member.Host)
		changed = changed || k.record.Epoch != e.Epoch || k.record.Member != e.Member
		lease := k.record.Lease
		if k.record.Epoch != e.Epoch {
			lease, k.bye, k.leaving = 0, false, false
		}
		k.bye = k.bye || e.Member.Leaving
		k.record, k.heard = e, now
		k.record.Lease = lease
	}
	return changed
}

// MergeStore takes in the whole list of the store. A record there proves a host live
// only while its lease stands, so it doesn't count as a beat.
func (r *Roster) MergeStore(now time.Time, records []Record) {
	for _, k := range r.hosts {
		k.stored = time.Time{}
	}
	for _, e := range records {
		k := r.known(e.Member.Host)
		if e.Epoch < k.record.Epoch {
			continue
		}
		if e.newer(k.record) {
			k.record = e
		}
		k.record.Lease = e.Lease
		k.stored = now
	}
}

// MergePlatform takes in the platform's list. Because it lags, it can mark a host as
// leaving and name hosts to ask at the start, but can't make one live.
func (r *Roster) MergePlatform(listed []PlatformMember) {
	for _, l := range listed {
		if k := r.hosts[l.Member.Host]; k != nil {
			k.leaving = l.Member.Leaving
			continue
		}
		r.known(l.Member.Host).record.Member = l.Member
	}
}

func (r *Roster) known(h fleet.Host) *known {
	if r.hosts == nil {
		r.hosts = map[fleet.Host]*known{}
	}
	k := r.hosts[h]
	if k == nil {
		k = &known{}
		r.hosts[h] = k
	}
	return k
}

// Members returns the hosts that count as live or leaving, by name. A member
// that has been silent for longer than news takes to come round, and that the
// store doesn't list, is not among them, whether it died or is cut off: as far
// as this host can tell, it does no duty.
func (r *Roster) Members(now time.Time) []fleet.Member {
	silent := r.patience()
	var out []fleet.Member
	for h, k := range r.hosts {
		if h != r.Self && !k.live(now, silent) {
			continue
		}
		m := k.record.Member
		m.Leaving = m.Leaving || k.leaving || k.bye
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b fleet.Member) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

func (k *known) live(now time.Time, silent time.Duration) bool {
	heard := !k.heard.IsZero() && now.Sub(k.heard) < silent
	stored := !k.stored.IsZero() && now.Sub(k.stored) < storeFresh
	return heard || stored
}

// patience is how long a host may be silent.
func (r *Roster) patience() time.Duration {
	return suspectAfter + perDoubling*time.Duration(bits.Len(uint(len(r.hosts))))
}

// Silent returns the known hosts that are no members, by name: peers to try when
// all others are gone.
func (r *Roster) Silent(now time.Time) []fleet.Member {
	var out []fleet.Member
	for h, k := range r.hosts {
		if h != r.Self && !k.live(now, r.patience()) {
			out = append(out, k.record.Member)
		}
	}
	slices.SortFunc(out, func(a, b fleet.Member) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// Forget drops the hosts that nothing was heard of for long.
func (r *Roster) Forget(now time.Time) {
	for h, k := range r.hosts {
		if h != r.Self && now.Sub(k.heard) > forgetAfter && !k.live(now, r.patience()) && !k.heard.IsZero() {
			delete(r.hosts, h)
		}
	}
}

// Records returns what this host knows, for the digests it sends, by name.
func (r *Roster) Records(now time.Time) []Record {
	var out []Record
	for h, k := range r.hosts {
		if h == r.Self || k.live(now, r.patience()) {
			out = append(out, k.record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Member.Host, b.Member.Host) })
	return out
}

// Record returns what is known of a host.
func (r *Roster) Record(h fleet.Host) (Record, bool) {
	k := r.hosts[h]
	if k == nil {
		return Record{}, false
	}
	return k.record, true
}
