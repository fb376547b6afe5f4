package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/follow"
	"skylarkdeal/core/mesh"
	"skylarkdeal/internal/sleep"
)

// hostCountKey holds the number of hosts, and readersKey the hosts that were registered last. Both
// are for hosts that start when no other host runs. One list of fleetPrefix returns them and the
// registrations.
func (r *Registry) hostCountKey() string { return r.cfg.Prefix + "hosts-count" }

func (r *Registry) readersKey() string { return r.cfg.Prefix + "hosts-readers" }

// fleetPrefix is the common prefix of the registrations, hostCountKey and readersKey.
func (r *Registry) fleetPrefix() string { return r.cfg.Prefix + "hosts" }

// secondCheckJitter spreads the second check of hosts of the same capacity. It is about as long as
// it takes to register.
const secondCheckJitter = 200 * time.Millisecond

// initialRole chooses the role with which the host starts.
//
// Designed for hundreds of hosts that start at once, as after a power failure, each with a dozen
// calls to a store that all hosts share. In a small fleet, where each host reads the store itself,
// hosts must not wait for others to register. The store therefore holds the number of hosts.
//
// If all hosts of a data centre failed, its former readers read the store again at once, and the
// other hosts follow them. If those readers don't return, the other hosts detect it by the missing
// reports.
func (r *Registry) initialRole(ctx context.Context) follow.Role {
	for attempt := range 2 {
		if attempt > 0 {
			sleep.For(ctx, follow.RegistrationDelay(r.cfg.Self.Capacity)+rand.N(secondCheckJitter))
		}
		stored, err := r.readStoredFleet(ctx)
		if err != nil {
			r.storeHealth.recordFailure(err)
			return follow.RoleReader
		}
		sameDataCentre := func(h Host) bool { return h.DataCentre == r.cfg.Self.DataCentre }
		switch {
		case stored.hostCount > 0 && !mesh.UsesRelays(stored.hostCount):
			return follow.RoleReader
		case slices.ContainsFunc(stored.registered, r.isSelf):
			// The registration of this host's previous process hasn't ended yet. The other
			// registrations may be stale as well. If every host then became a follower, none would
			// read the store.
			return r.roleWithReaders(preferredReaders(stored.registered))
		case slices.ContainsFunc(stored.registered, sameDataCentre):
			return follow.RoleFollower
		case slices.ContainsFunc(stored.readers, sameDataCentre):
			return r.roleWithReaders(stored.readers)
		}
	}
	return follow.RoleReader
}

func (r *Registry) isSelf(h Host) bool { return h.Name == r.cfg.Self.Name }

// roleWithReaders returns the host's role when the given hosts are the readers: a reader if it is
// one of them, otherwise a follower. A follower reports them as the hosts that it may follow.
func (r *Registry) roleWithReaders(readers []Host) follow.Role {
	if slices.ContainsFunc(readers, r.isSelf) {
		return follow.RoleReader
	}
	r.cfg.Post(func() { r.cfg.Hosts(readers) })
	return follow.RoleFollower
}

// preferredReaders returns the hosts that are preferred as readers of their data centres. More
// hosts may be registered after a problem with the store.
func preferredReaders(hosts []Host) []Host {
	byDataCentre := map[fleet.DataCentre][]follow.Candidate{}
	for _, h := range hosts {
		byDataCentre[h.DataCentre] = append(byDataCentre[h.DataCentre], follow.Candidate{Host: h.Name, Capacity: h.Capacity})
	}
	preferred := fleet.NewSet[fleet.Host]()
	for _, cs := range byDataCentre {
		for _, c := range follow.StrongestCandidates(cs) {
			preferred.Add(c.Host)
		}
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return !preferred.Has(h.Name) })
}

// storedFleet is what a starting host finds in the store about the fleet.
type storedFleet struct {
	// registered are the hosts that are registered now, readers those that were registered last.
	registered, readers []Host
	// hostCount is the number of hosts, zero if it isn't known.
	hostCount int
}

func (r *Registry) readStoredFleet(ctx context.Context) (storedFleet, error) {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	es, _, err := r.cfg.Store.List(c, r.fleetPrefix())
	if err != nil {
		return storedFleet{}, err
	}
	var stored storedFleet
	for _, e := range es {
		switch e.Key {
		case r.hostCountKey():
			if stored.hostCount, err = strconv.Atoi(string(e.Value)); err != nil {
				r.cfg.Logger.Error("unreadable number of hosts", zap.Error(err))
			}
		case r.readersKey():
			if err := json.Unmarshal(e.Value, &stored.readers); err != nil {
				r.cfg.Logger.Error("unreadable list of readers", zap.Error(err))
			}
		}
	}
	es = slices.DeleteFunc(es, func(e Entry) bool { return !strings.HasPrefix(e.Key, r.hostsPrefix()) })
	stored.registered = r.ParseHosts(es)
	r.hostsListed = true
	r.storedHostCount.Store(int64(stored.hostCount))
	r.storedReaderNames.Store(sortedNames(stored.readers))
	r.updateReaders(stored.readers)
	known := stored.registered
	if mesh.UsesRelays(stored.hostCount) {
		known = preferredReaders(known)
	}
	r.cfg.Post(func() {
		r.cfg.Hosts(known)
		r.cfg.HostCount(stored.hostCount)
	})
	return stored, nil
}

// sortedNames returns the sorted names of hosts as one string.
func sortedNames(hs []Host) string {
	names := fleet.NewSet[fleet.Host]()
	for _, h := range hs {
		names.Add(h.Name)
	}
	return fmt.Sprint(names.Sorted())
}

// SetHostCount sets the number of hosts in the fleet as this host knows it. The failover
// coordinator writes it to the store.
func (r *Registry) SetHostCount(n int) { r.hostCount.Store(int64(n)) }

const (
	// hostCountSettleTime is how long after its start a host regards its number of hosts as
	// complete. hostCountInterval is how often the number is checked.
	hostCountSettleTime = 8 * time.Second
	hostCountInterval   = 2 * time.Second
)

// maintainHostCount updates the number of hosts in the store when the fleet has become large or
// small, and in a large fleet the list of the registered hosts. Only the failover coordinator
// writes them.
func (r *Registry) maintainHostCount(ctx context.Context) {
	if !r.cfg.ElectReaders {
		return
	}
	sleep.Every(ctx, hostCountInterval, func() {
		n := int(r.hostCount.Load())
		if n == 0 || r.fencingToken.Load() == 0 || time.Since(r.createdAt) < hostCountSettleTime {
			return
		}
		puts, done := r.startupPuts(n)
		if len(puts) == 0 {
			return
		}
		c, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if _, err := r.cfg.Store.Commit(c, Txn{Put: puts}); err != nil {
			r.cfg.Logger.Warn("number of hosts not written", zap.Error(failure.At(err, "write the number of hosts", "store")))
			return
		}
		done()
	})
}

// updateReaders replaces the latest readers by the hosts that are registered now. The readers of a
// data centre without any registered host are kept: it may be cut off, and its hosts have to find
// their readers when they start.
func (r *Registry) updateReaders(hs []Host) {
	out := preferredReaders(hs)
	for _, old := range r.lastReaders() {
		if !slices.ContainsFunc(hs, func(h Host) bool { return h.DataCentre == old.DataCentre }) {
			out = append(out, old)
		}
	}
	r.latestReaders.Store(out)
}

// lastReaders returns the hosts of each data centre that were registered last.
func (r *Registry) lastReaders() []Host {
	hs, _ := r.latestReaders.Load().([]Host)
	return hs
}

// startupPuts returns the entries to write for starting hosts, and a function to call once they are
// written.
func (r *Registry) startupPuts(n int) (puts []Put, done func()) {
	storedCount := int(r.storedHostCount.Load())
	current := storedCount > 0 && mesh.UsesRelays(storedCount) == mesh.UsesRelays(n)
	if !current {
		puts = append(puts, Put{Key: r.hostCountKey(), Value: []byte(strconv.Itoa(n))})
	}
	names := ""
	if hs := r.lastReaders(); len(hs) > 0 && mesh.UsesRelays(n) {
		names = sortedNames(hs)
		b, err := json.Marshal(hs)
		if err != nil {
			r.cfg.Logger.Error("readers not written", zap.Error(err))
		} else if r.storedReaderNames.Load() != names {
			puts = append(puts, Put{Key: r.readersKey(), Value: b})
		}
	}
	return puts, func() {
		r.storedHostCount.Store(int64(n))
		if names != "" {
			r.storedReaderNames.Store(names)
		}
	}
}
