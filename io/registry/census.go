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

// countKey holds the number of hosts, and readersKey those that were registered last, for hosts that
// start when no other runs. One list has both and the registrations.
func (r *Registry) countKey() string { return r.cfg.Prefix + "hosts-count" }

func (r *Registry) readersKey() string { return r.cfg.Prefix + "hosts-readers" }

// censusPrefix starts the registrations, countKey and readersKey.
func (r *Registry) censusPrefix() string { return r.cfg.Prefix + "hosts" }

// censusSpread spreads the second look of hosts of the same capacity, by about as long as it takes
// to register.
const censusSpread = 200 * time.Millisecond

// census finds out with which role the host begins.
//
// The load it is made for: hundreds of hosts that start at once, as after a loss of power, each with
// a dozen calls to a store that it shares with all others. A small fleet, where each reads for
// itself, must not wait for that; so the number of hosts stands in the store.
//
// If all hosts of a data centre were lost, those that read the store before do so again at once, and
// the others follow them. Should these be gone for good, the others find out by their silence.
func (r *Registry) census(ctx context.Context) follow.Role {
	for n := range 2 {
		if n > 0 {
			sleep.For(ctx, follow.RegistrationDelay(r.cfg.Self.Capacity)+rand.N(censusSpread))
		}
		x, err := r.countHosts(ctx)
		if err != nil {
			r.up.failed(err)
			return follow.RoleReader
		}
		here := func(h Host) bool { return h.DataCentre == r.cfg.Self.DataCentre }
		switch {
		case x.count > 0 && !mesh.UsesRelays(x.count):
			return follow.RoleReader
		case slices.ContainsFunc(x.registered, r.isSelf):
			// The registration of the process before hasn't ended yet: those beside it may be as old, and
			// then all would follow each other.
			return r.roleAmong(firstReaders(x.registered))
		case slices.ContainsFunc(x.registered, here):
			return follow.RoleFollower
		case slices.ContainsFunc(x.readers, here):
			return r.roleAmong(x.readers)
		}
	}
	return follow.RoleReader
}

func (r *Registry) isSelf(h Host) bool { return h.Name == r.cfg.Self.Name }

// roleAmong returns the host's role where some are to read, whom it follows if it isn't among them.
func (r *Registry) roleAmong(readers []Host) follow.Role {
	if slices.ContainsFunc(readers, r.isSelf) {
		return follow.RoleReader
	}
	r.cfg.Post(func() { r.cfg.Hosts(readers) })
	return follow.RoleFollower
}

// firstReaders returns the hosts that go before all others of their data centres in reading: more may be
// registered after some trouble with the store.
func firstReaders(hs []Host) []Host {
	by := map[fleet.DataCentre][]follow.Candidate{}
	for _, h := range hs {
		by[h.DataCentre] = append(by[h.DataCentre], follow.Candidate{Host: h.Name, Capacity: h.Capacity})
	}
	first := fleet.NewSet[fleet.Host]()
	for _, cs := range by {
		for _, c := range follow.StrongestCandidates(cs) {
			first.Add(c.Host)
		}
	}
	return slices.DeleteFunc(slices.Clone(hs), func(h Host) bool { return !first.Has(h.Name) })
}

// fleetAtStart is what a host that starts finds in the store.
type fleetAtStart struct {
	// registered are the hosts that are registered now, readers those that were last.
	registered, readers []Host
	// count is the number of hosts, zero if it isn't known.
	count int
}

func (r *Registry) countHosts(ctx context.Context) (fleetAtStart, error) {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	es, _, err := r.cfg.Store.List(c, r.censusPrefix())
	if err != nil {
		return fleetAtStart{}, err
	}
	var x fleetAtStart
	for _, e := range es {
		switch e.Key {
		case r.countKey():
			if x.count, err = strconv.Atoi(string(e.Value)); err != nil {
				r.cfg.Logger.Error("unreadable number of hosts", zap.Error(err))
			}
		case r.readersKey():
			if err := json.Unmarshal(e.Value, &x.readers); err != nil {
				r.cfg.Logger.Error("unreadable list of readers", zap.Error(err))
			}
		}
	}
	es = slices.DeleteFunc(es, func(e Entry) bool { return !strings.HasPrefix(e.Key, r.hostsPrefix()) })
	x.registered = r.ParseHosts(es)
	r.counted = true
	r.told.Store(int64(x.count))
	r.readersTold.Store(namesOf(x.readers))
	r.takeReaders(x.readers)
	known := x.registered
	if mesh.UsesRelays(x.count) {
		known = firstReaders(known)
	}
	r.cfg.Post(func() {
		r.cfg.Hosts(known)
		r.cfg.HostCount(x.count)
	})
	return x, nil
}

// namesOf returns the names of hosts in order, as one text.
func namesOf(hs []Host) string {
	out := fleet.NewSet[fleet.Host]()
	for _, h := range hs {
		out.Add(h.Name)
	}
	return fmt.Sprint(out.Sorted())
}

// SetHostCount tells how many hosts there are.
func (r *Registry) SetHostCount(n int) { r.size.Store(int64(n)) }

const (
	// sizeAfter is how long after its start a host takes the number of hosts that it knows for
	// all, sizeEvery how often it is looked at.
	sizeAfter = 8 * time.Second
	sizeEvery = 2 * time.Second
)

// keepSize keeps the number of hosts in the store, as far as it tells a large fleet from a small
// one, and in a large one which hosts are registered. The holder of the duty does so.
func (r *Registry) keepSize(ctx context.Context) {
	if !r.cfg.ElectReaders {
		return
	}
	sleep.Every(ctx, sizeEvery, func() {
		n := int(r.size.Load())
		if n == 0 || r.fence.Load() == 0 || time.Since(r.began) < sizeAfter {
			return
		}
		puts, done := r.newsForStarts(n)
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

// takeReaders takes in the hosts that are registered now. Those of a data centre that has none are
// kept as they were: it may be cut off, and its hosts are to find their readers when they start.
func (r *Registry) takeReaders(hs []Host) {
	out := firstReaders(hs)
	for _, old := range r.lastReaders() {
		if !slices.ContainsFunc(hs, func(h Host) bool { return h.DataCentre == old.DataCentre }) {
			out = append(out, old)
		}
	}
	r.readers.Store(out)
}

// lastReaders returns the hosts of each data centre that were registered last.
func (r *Registry) lastReaders() []Host {
	hs, _ := r.readers.Load().([]Host)
	return hs
}

// newsForStarts returns what has to be written for hosts that start, and what to note once it is.
func (r *Registry) newsForStarts(n int) (puts []Put, done func()) {
	told := int(r.told.Load())
	stands := told > 0 && mesh.UsesRelays(told) == mesh.UsesRelays(n)
	if !stands {
		puts = append(puts, Put{Key: r.countKey(), Value: []byte(strconv.Itoa(n))})
	}
	names := ""
	if hs := r.lastReaders(); len(hs) > 0 && mesh.UsesRelays(n) {
		names = namesOf(hs)
		b, err := json.Marshal(hs)
		if err != nil {
			r.cfg.Logger.Error("readers not written", zap.Error(err))
		} else if r.readersTold.Load() != names {
			puts = append(puts, Put{Key: r.readersKey(), Value: b})
		}
	}
	return puts, func() {
		r.told.Store(int64(n))
		if names != "" {
			r.readersTold.Store(names)
		}
	}
}
