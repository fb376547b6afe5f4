package docsync_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/document"
	"skylarkdeal/io/docsync"
	"skylarkdeal/io/host/hostpb"
)

// peers answers the digests of a starting host; a stale one has version 1 of the
// document, the others version 2.
func peers(stale map[string]bool) (map[string]*docsync.Spread, []string) {
	m := map[string]*docsync.Spread{}
	var seeds []string
	for n := range 32 {
		a := fmt.Sprintf("10.0.0.%d:1", n+1)
		v := uint64(2)
		if stale[a] {
			v = 1
		}
		m[a] = docsync.New(docsync.Config{Hello: &hostpb.Hello{Host: a}})
		m[a].HandlePush(&hostpb.PushRequest{Documents: []*hostpb.Document{
			{Service: "a", Version: v, Text: text("a", int(v))},
		}})
		seeds = append(seeds, a)
	}
	return m, seeds
}

// startOne starts a host and returns the version that it has in effect when it
// becomes ready.
func startOne(seeds []string, ask int, answer func(peer string) *docsync.Spread) document.Version {
	ctx, cancel := context.WithCancel(context.Background())
	var s *docsync.Spread
	asked := 0
	atReady := document.Version(0)
	look := func() {
		if d, ok := s.Get("a"); ok && s.Ready() && atReady == 0 {
			atReady = d.Version
		}
	}
	s = docsync.New(docsync.Config{
		Seeds: seeds, AskAtStart: ask,
		Digest: func(_ context.Context, peer string, r *hostpb.DigestRequest) (*hostpb.DigestResponse, error) {
			asked++
			look()
			return answer(peer).HandleDigest(r), nil
		},
		IsWatcher: func() bool {
			look()
			cancel()
			return false
		},
	})
	s.Run(ctx)
	return atReady
}

// A key is revoked, and one host was cut off at the time. A host that starts
// and happens to ask that one first must not be ready with what it heard there:
// the revoked key would open it.
func TestReadyOnlyAfterSeveralPeers(t *testing.T) {
	c := qt.New(t)
	m, seeds := peers(map[string]bool{"10.0.0.1:1": true})
	for range 50 {
		c.Assert(startOne(seeds[:3], 0, func(p string) *docsync.Spread { return m[p] }), qt.Equals, document.Version(2))
	}
}

// BenchmarkStartAmongStalePeers counts the hosts in a thousand that are ready
// with an old version when one peer in eight has it, by how many peers they ask.
//
//	go test -run '^$' -bench StartAmongStalePeers -benchtime 2000x ./io/docsync
func BenchmarkStartAmongStalePeers(b *testing.B) {
	stale := map[string]bool{}
	for n := range 4 {
		stale[fmt.Sprintf("10.0.0.%d:1", 8*n+1)] = true
	}
	m, seeds := peers(stale)
	for _, ask := range []int{1, 2, 3, 4} {
		b.Run(fmt.Sprintf("ask=%d", ask), func(b *testing.B) {
			old := 0
			for range b.N {
				if startOne(seeds, ask, func(p string) *docsync.Spread { return m[p] }) == 1 {
					old++
				}
			}
			b.ReportMetric(1000*float64(old)/float64(b.N), "stale/1000")
		})
	}
}
