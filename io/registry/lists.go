package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/follow"
	"skylarkdeal/core/times"
	"skylarkdeal/internal/sleep"
)

// instanceList is the list of instances. Its version is the digest of the instances, zero if there are
// none.
type instanceList struct {
	part
	// instances are those of the part's entries. confirmedAt is when the list was last known to be the
	// store's, by a reading of this host or of another. Both are guarded by the part's lock.
	instances   []catalog.Instance
	confirmedAt time.Time
	// parsed has the instance of each entry that can be parsed. The digests are the sums of theirs, so that a
	// change of one instance takes the parsing of one entry. members is the digest of which instances these are.
	parsed          map[string]parsedInstance
	digest, members uint64
	// unusable are the entries that name no instance.
	unusable unusableEntries
}

// parsedInstance is the instance of an entry, with its parts of the digests.
type parsedInstance struct {
	instance        catalog.Instance
	digest, members uint64
}

// MembersDigest returns the digest of which instances the list in use on this host names: their names,
// addresses and starts, not their roles or states. It is zero if there are none.
func (r *Registry) MembersDigest() uint64 {
	r.instanceList.mu.Lock()
	defer r.instanceList.mu.Unlock()
	return r.instanceList.members
}

// InstancesDigest returns the digest of the list of instances in use on this host, and when this
// host itself read it.
//
// Readings reported by other hosts are not reported again. The delay of a report isn't known and
// would be left out at every hop. A reading passed from host to host would then stay recent for
// ever, no host would read again, and a leaving instance would be used until it ended.
func (r *Registry) InstancesDigest() (uint64, time.Time) {
	r.instanceList.mu.Lock()
	defer r.instanceList.mu.Unlock()
	return uint64(r.instanceList.version), r.instanceList.readAt
}

// instancesConfirmed returns the digest of the list in use, and when it was last known to be the
// store's.
func (r *Registry) instancesConfirmed() (uint64, time.Time) {
	r.instanceList.mu.Lock()
	defer r.instanceList.mu.Unlock()
	return uint64(r.instanceList.version), r.instanceList.confirmedAt
}

// InstancesConfirmed records that a list with the digest was the store's at the given time, and
// reports whether it is the list in use on this host. A different list that is newer is read at
// once.
func (r *Registry) InstancesConfirmed(digest uint64, at time.Time) bool {
	r.instanceList.mu.Lock()
	defer r.instanceList.mu.Unlock()
	same := digest == uint64(r.instanceList.version)
	switch {
	case !at.After(r.instanceList.confirmedAt):
	case same:
		r.instanceList.confirmedAt = at
	case digest != 0:
		sleep.Signal(r.instancesRefresh)
	}
	return same && digest != 0
}

// startupReadDelay is how long a starting host that finds the list empty waits before it reads it
// again. By then it knows which hosts read before it. Without the delay, all hosts of a fleet
// that starts at once rank themselves first, and four readings a second by each are more than the
// store can take from a large fleet.
const startupReadDelay = 800 * time.Millisecond

// pollInstances reads the list of instances when no host has read it for instancesMaxAge. The list
// isn't watched: each instance writes every second, and a watch would make a call for each of these
// writes.
func (r *Registry) pollInstances(ctx context.Context) {
	starting := true
	for ctx.Err() == nil {
		if err := r.readInstances(ctx); err != nil {
			r.storeHealth.backOff(ctx)
			continue
		}
		if digest, _ := r.instancesConfirmed(); starting && digest == 0 {
			_ = sleep.OrSignal(ctx, startupReadDelay, r.instancesRefresh)
		}
		starting = false
		r.awaitInstancesDue(ctx)
	}
}

// awaitInstancesDue waits until the list of instances is to be read again.
func (r *Registry) awaitInstancesDue(ctx context.Context) {
	if r.rank() >= rankedHosts {
		// The instances of a starting service register one after the other, and each registration
		// makes all hosts read the list again.
		sleep.For(ctx, rankDelay)
	}
	sleep.For(ctx, minInstancesInterval)
	for ctx.Err() == nil {
		digest, at := r.instancesConfirmed()
		every := instancesMaxAge
		if digest == 0 && r.rank() < rankedHosts {
			// No instance has registered yet.
			every = minInstancesInterval
		}
		wait := at.Add(every + r.readDelay()).Sub(r.cfg.Now())
		if wait <= 0 || sleep.OrSignal(ctx, wait, r.instancesRefresh) {
			return
		}
	}
}

func (r *Registry) readInstances(ctx context.Context) error {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := r.cfg.Now()
	es, at, err := r.cfg.Store.List(c, r.cfg.InstancePrefix)
	if err != nil {
		return err
	}
	r.instanceList.applyList(es, at, sent, r.cfg.Now())
	r.instanceList.confirm(sent)
	r.passOn(follow.PartInstances, r.instanceList.copy)
	r.reportInstances()
	return nil
}

// confirm records that the list was the store's at the given time.
func (l *instanceList) confirm(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmedAt = times.Later(l.confirmedAt, at)
}

// reportInstances reports the instances that are known at the moment of reporting, and as of when: a list
// that was captured earlier may be older by then than one that was reported.
func (r *Registry) reportInstances() {
	r.cfg.Post(func() { r.cfg.Instances(r.instanceList.current()) })
}

func (l *instanceList) current() ([]catalog.Instance, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.instances, l.asOf
}

// coldGranularity is the precision to which the time that an instance stays cold counts for the
// digest. A smaller change isn't passed on to followers.
const coldGranularity = 2 * time.Second

// inspectInstance parses an entry that is to be stored. The lock is held.
//
// An entry that names no instance keeps its place in the list, but not its value: a few long ones of another writer
// would fill the links over which the list is passed on.
func (r *Registry) inspectInstance(e Entry) Entry {
	l := &r.instanceList
	l.dropInstance(e.Key)
	i, err := r.cfg.ParseInstance(e)
	if err != nil {
		l.unusable.add(r.cfg.Now(), r.cfg.Logger, e.Key, err)
		e.Value, e.Content = nil, noInstance
		return e
	}
	p := parsedInstance{instance: i}
	// The time that an instance stays cold changes with each heartbeat.
	i.Cold = (i.Cold + coldGranularity - 1).Truncate(coldGranularity)
	p.digest = xxhash.Sum64String(fmt.Sprintf("%+v", i))
	p.members = xxhash.Sum64String(fmt.Sprintln(i.Name, i.Service, i.Address, i.Started))
	l.parsed[e.Key] = p
	l.digest, l.members = l.digest+p.digest, l.members+p.members
	e.Content = p.digest
	if i.Cold > 0 {
		e.Content = 0
	}
	return e
}

// dropInstance forgets the instance of an entry. The lock is held.
func (l *instanceList) dropInstance(key string) {
	if l.parsed == nil {
		l.parsed = map[string]parsedInstance{}
	}
	delete(l.unusable.reasons, key)
	p := l.parsed[key]
	l.digest, l.members = l.digest-p.digest, l.members-p.members
	delete(l.parsed, key)
}

// listInstances sets the instances and their version after a change of the entries. The lock is held.
func (l *instanceList) listInstances(current snapshot) {
	l.instances = make([]catalog.Instance, 0, len(l.parsed))
	for _, e := range current.entries {
		if p, ok := l.parsed[e.Key]; ok {
			l.instances = append(l.instances, p.instance)
		}
	}
	l.version = follow.Version(l.digest)
}

// pollHosts lists the registered hosts repeatedly, and at once when ListHosts is called.
func (r *Registry) pollHosts(ctx context.Context) {
	wait := time.Duration(0)
	if r.hostsListed {
		wait = 5 * pauseAfterError
	}
	for ctx.Err() == nil {
		_ = sleep.OrSignal(ctx, wait, r.hostsRefresh)
		c, cancel := context.WithTimeout(ctx, callTimeout)
		hs, err := r.readHosts(c)
		cancel()
		if err != nil {
			r.storeHealth.backOff(ctx)
			wait = 0
			continue
		}
		r.updateReaders(hs)
		r.cfg.Post(func() { r.cfg.Hosts(hs) })
		wait = hostsInterval + time.Duration(r.rank())*hostsIntervalStep
		if len(hs) < 2 {
			// When all hosts start at once, the others are about to register.
			wait = 5 * pauseAfterError
		}
	}
}

func (r *Registry) readHosts(ctx context.Context) ([]Host, error) {
	es, _, err := r.cfg.Store.List(ctx, r.hostsPrefix())
	if err != nil {
		return nil, err
	}
	return r.ParseHosts(es), nil
}

// ParseHosts parses registrations. Those that can't be parsed are logged and left out.
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
