package main

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/settings"
	"skylarkdeal/internal/edit"
	"skylarkdeal/internal/localfleet"
	"skylarkdeal/io/docsync"
	"skylarkdeal/io/etcd"
	"skylarkdeal/standin/ledger"
	"skylarkdeal/standin/store"
)

// The times of a measurement of an idle fleet. A group counts as idle 2 s after
// its last request, and a roster that has just grown moves seats for 3 s.
const (
	settle = 8 * time.Second
	window = 6 * time.Second
	// changes is how many documents are changed one after the other.
	changes = 5
)

var centres = []fleet.DataCentre{"obihiro", "sapporo", "asahikawa"}

// idleColumns are those of measurements of idle fleets, after the size.
var idleColumns = []string{
	"cpu-ms/s/host", "B/s/host", "writes/s/host", "KB/host", "store-calls/s", "store-calls/change", "spread-ms",
}

// measureHosts measures fleets without a service, then some changes of a
// document.
func measureHosts(ctx context.Context, hosts int) (row, error) {
	return measureIdle(ctx, hosts, fleetOf(hosts, 0, 0))
}

// groupHosts is how many hosts hold the groups whose number varies, each of them
// all groups.
const groupHosts = 3

// measureGroups measures fleets of three hosts that hold every group.
func measureGroups(ctx context.Context, groups int) (row, error) {
	return measureIdle(ctx, groups, fleetOf(groupHosts, groups, groupHosts))
}

func fleetOf(hosts, groups, holders int) localfleet.Config {
	var c localfleet.Config
	for n := range hosts {
		c.Hosts = append(c.Hosts, centres[n%len(centres)])
	}
	for n := range groups {
		s := localfleet.Service{
			Name: fleet.Service(fmt.Sprintf("orders-%03d", n)), Holders: holders, DataCentres: centres,
			Accounts: []localfleet.Account{{Name: "hotel", Key: "hotel-stand-in-key", Rate: 200, Burst: 400}},
		}
		for k := range centres {
			s.Instances = append(s.Instances, ledger.InstanceConfig{
				Name: fleet.Instance(string(rune('a' + k))), Slots: 2, Connections: 16,
			})
		}
		c.Services = append(c.Services, s)
	}
	return c
}

func measureIdle(ctx context.Context, size int, c localfleet.Config) (row, error) {
	base := memory()
	f, err := localfleet.Start(ctx, c)
	if err != nil {
		return row{}, err
	}
	defer closeFleet(f)
	time.Sleep(settle)
	before, err := counters(ctx, f)
	if err != nil {
		return row{}, err
	}
	a, err := readUsage()
	if err != nil {
		return row{}, err
	}
	time.Sleep(window)
	b, err := readUsage()
	if err != nil {
		return row{}, err
	}
	after, err := counters(ctx, f)
	if err != nil {
		return row{}, err
	}
	rate := rates(before, after, window)
	used := memory() - base
	change := changed{}
	if len(c.Services) == 0 {
		if change, err = measureChanges(ctx, f); err != nil {
			return row{}, err
		}
	}
	d, n := b.at.Sub(a.at).Seconds(), float64(len(c.Hosts))
	return row{rates: rate, values: []float64{
		float64(size),
		float64(b.cpu-a.cpu) / 1e6 / d / n,
		(b.written - a.written) / d / n,
		(b.writes - a.writes) / d / n,
		used / n / 1e3,
		storeCalls(rate), change.calls, float64(change.spread.Milliseconds()),
	}}, nil
}

// closeFleet ends the hosts side by side; what was measured stands whatever
// comes of it.
func closeFleet(f *localfleet.Fleet) {
	var g sync.WaitGroup
	for n, h := range f.Hosts {
		f.Hosts[n] = nil
		g.Go(func() { _ = h.Close() })
	}
	g.Wait()
	_ = f.Close()
}

func storeCalls(rate map[string]float64) float64 {
	var sum float64
	for n, v := range rate {
		if strings.HasPrefix(n, "store ") {
			sum += v
		}
	}
	return sum
}

// changed is what a change of a document took.
type changed struct {
	// calls of the store but for the renewals of leases, which go on meanwhile.
	calls float64
	// spread is the time until the last host had the document in effect.
	spread time.Duration
}

// measureChanges puts a document a few times, of a service whose instances don't
// answer, and returns the mean of each figure.
func measureChanges(ctx context.Context, f *localfleet.Fleet) (changed, error) {
	s := etcd.Dial(etcd.Config{Endpoints: []string{f.Store.Addr()}, Patient: true})
	defer s.Close()
	e := &edit.Editor{Store: s, Root: settings.DefaultPrefix, By: "slopes"}
	var sum changed
	var v document.Version
	for range changes {
		before := f.Store.Calls()
		start := time.Now()
		done, err := e.Put(ctx, documentText(0, exampleVerifier), v)
		if err != nil {
			return sum, err
		}
		v = done.Version
		for k, n := range f.Store.Calls() {
			if k != store.KindLeaseKeepAlive {
				sum.calls += float64(n-before[k]) / changes
			}
		}
		if err := awaitVersion(ctx, f, v); err != nil {
			return sum, err
		}
		sum.spread += time.Since(start) / changes
	}
	return sum, nil
}

// awaitVersion returns once every host has that version in effect.
func awaitVersion(ctx context.Context, f *localfleet.Fleet, v document.Version) error {
	for _, h := range f.Hosts {
		for {
			var s struct{ Documents docsync.State }
			b, err := get(ctx, "http://"+h.OperatorAddr()+"/state?section=documents")
			if err == nil {
				err = json.Unmarshal(b, &s)
			}
			if err != nil {
				return err
			}
			has := func(d docsync.DocumentState) bool { return d.Version >= v && d.Service == "orders-000" }
			if slices.ContainsFunc(s.Documents.Documents, has) {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}
