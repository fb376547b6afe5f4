package docsync_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/docsync"
	"skylarkdeal/io/etcd"
	"skylarkdeal/io/host/hostpb"
	"skylarkdeal/standin/store"
)

// sizes are the fleets that the slopes are taken from.
var sizes = []int{8, 16, 32, 64}

// BenchmarkPutToInEffect measures the time from the start of a put to the last
// host that has it in effect, and what that costs the store and the hosts. Hosts
// are in one process in three data centres and call each other directly, so the
// figures hold the store's and the decisions' time, not the network's.
//
//	go test -run '^$' -bench 'PutToInEffect$' -benchtime 100x ./io/docsync
func BenchmarkPutToInEffect(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) { putToInEffect(b, n, options{dataCentres: 3}) })
	}
}

// BenchmarkPutToInEffectWithoutPush measures the same with digests alone.
//
//	go test -run '^$' -bench PutToInEffectWithoutPush -benchtime 10x ./io/docsync
func BenchmarkPutToInEffectWithoutPush(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			putToInEffect(b, n, options{dataCentres: 3, noPush: true})
		})
	}
}

func putToInEffect(b *testing.B, hosts int, o options) {
	c := qt.New(b)
	net, s, l := start(b, hosts, o)
	inEffect(c, l, "a", put(c, s, "a", 1))
	p := etcd.Dial(etcd.Config{Endpoints: []string{s.Addr()}, Patient: true, Rate: 1000, Burst: 1000})
	defer p.Close()
	calls, messages, bytes := total(s), net.calls.Load(), net.bytes.Load()
	var took []time.Duration
	b.ResetTimer()
	for i := range b.N {
		sent := time.Now()
		c.Assert(p.Put(context.Background(), document.StoreKey(root, "a"), text("a", 1+i%60), 0), qt.IsNil)
		v := document.Version(s.Revision())
		inEffect(c, l, "a", v)
		last := sent
		for _, h := range l {
			if at, ok := h.startOf(v); ok && at.After(last) {
				last = at
			}
		}
		took = append(took, last.Sub(sent))
	}
	b.StopTimer()
	slices.Sort(took)
	b.ReportMetric(ms(took[len(took)/2]), "p50-ms")
	b.ReportMetric(ms(took[len(took)*99/100]), "p99-ms")
	b.ReportMetric(float64(total(s)-calls)/float64(b.N), "store-calls/change")
	b.ReportMetric(float64(net.calls.Load()-messages)/float64(b.N)/float64(hosts), "messages/change/host")
	b.ReportMetric(float64(net.bytes.Load()-bytes)/float64(b.N)/float64(hosts), "B/change/host")
}

// BenchmarkQuietFleet measures what hosts cost the store and each other when no
// document changes, over one second each round.
//
//	go test -run '^$' -bench QuietFleet -benchtime 10x ./io/docsync
func BenchmarkQuietFleet(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			c := qt.New(b)
			net, s, l := start(b, n, options{dataCentres: 3})
			inEffect(c, l, "a", put(c, s, "a", 1))
			time.Sleep(2 * time.Second)
			calls, messages, bytes := total(s), net.calls.Load(), net.bytes.Load()
			began := time.Now()
			oldest := time.Duration(0)
			for range b.N {
				time.Sleep(time.Second)
				for _, h := range l {
					oldest = max(oldest, time.Since(h.State().Confirmed))
				}
			}
			seconds := time.Since(began).Seconds()
			b.ReportMetric(float64(total(s)-calls)/seconds, "store-calls/s")
			b.ReportMetric(float64(net.calls.Load()-messages)/seconds/float64(n), "messages/s/host")
			b.ReportMetric(float64(net.bytes.Load()-bytes)/seconds/float64(n), "B/s/host")
			b.ReportMetric(oldest.Seconds(), "oldest-confirmation-s")
		})
	}
}

// BenchmarkStoreReturn measures the calls of hosts that each renew a lease every
// second: before an outage of the store, during it, and in the seconds after its
// return.
//
//	go test -run '^$' -bench StoreReturn -benchtime 1x ./io/docsync
func BenchmarkStoreReturn(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			for range b.N {
				storeReturn(b, n)
			}
		})
	}
}

const (
	normalTime = 5 * time.Second
	outageTime = 20 * time.Second
	returnTime = 12 * time.Second
)

func storeReturn(b *testing.B, hosts int) {
	_, s, l := start(b, hosts, options{dataCentres: 3})
	ctx, cancel := context.WithCancel(context.Background())
	var renewals sync.WaitGroup
	for _, h := range l {
		renewals.Go(func() { renew(ctx, h) })
	}
	time.Sleep(2 * time.Second)
	normal := rate(s, normalTime)
	s.Set(func(f *store.Faults) { f.Down = true })
	time.Sleep(outageTime / 2)
	during := rate(s, outageTime/2)
	s.Set(func(f *store.Faults) { f.Down = false })
	most := 0.0
	for range int(returnTime / time.Second) {
		most = max(most, rate(s, time.Second))
	}
	after := rate(s, normalTime)
	cancel()
	renewals.Wait()
	b.ReportMetric(normal, "normal-calls/s")
	b.ReportMetric(during, "outage-calls/s")
	b.ReportMetric(most, "return-max-calls/s")
	b.ReportMetric(after, "after-calls/s")
}

// renew keeps a lease as a host's membership does.
func renew(ctx context.Context, h *host) {
	var id etcd.LeaseID
	for ctx.Err() == nil {
		var err error
		if id == 0 {
			id, err = h.store.Grant(ctx, 30*time.Second)
		} else {
			_, err = h.store.KeepAlive(ctx, id)
		}
		if errors.Is(err, etcd.ErrNoLease) {
			id = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

func rate(s *store.Server, d time.Duration) float64 {
	before := total(s)
	time.Sleep(d)
	return float64(total(s)-before) / d.Seconds()
}

func total(s *store.Server) int {
	n := 0
	for _, k := range s.Calls() {
		n += k
	}
	return n
}

func ms(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// BenchmarkDigest measures what a host of the target size spends on answering
// one question of a peer: 960 documents of 3 KB.
//
//	go test -run '^$' -bench 'Digest$' ./io/docsync
func BenchmarkDigest(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := docsync.New(docsync.Config{Hello: &hostpb.Hello{Host: "h"}})
	known := fill(s, 960)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.Run("same", func(b *testing.B) {
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-held")
		for range b.N {
			s.HandleDigest(&hostpb.DigestRequest{})
		}
	})
	b.Run("full", func(b *testing.B) {
		b.ReportMetric(float64(proto.Size(known)), "B/list")
		for range b.N {
			s.HandleDigest(known)
		}
	})
}

// fill puts documents in effect and returns the question of a peer that has them
// too.
func fill(s *docsync.Spread, documents int) *hostpb.DigestRequest {
	all := &hostpb.PushRequest{}
	known := &hostpb.DigestRequest{Full: true}
	for n := range documents {
		service := fleet.Service(fmt.Sprintf("service-%d", n))
		filled := append(text(service, 1), bytes.Repeat([]byte("# accounts and verifiers, 40 bytes a line\n"), 70)...)
		all.Documents = append(all.Documents, &hostpb.Document{Service: string(service), Version: 9, Text: filled})
		known.Documents = append(known.Documents, &hostpb.DocumentVersion{Service: string(service), Version: 9, Seen: 9})
	}
	s.HandlePush(all)
	return known
}
