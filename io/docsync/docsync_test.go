package docsync_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/docsync"
	"skylarkdeal/io/etcd"
	"skylarkdeal/io/host/hostpb"
	"skylarkdeal/standin/store"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// quick makes repairs come soon, so that tests are short.
var quick = options{
	dataCentres: 3, storeRate: 1000, digestEvery: 20 * time.Millisecond, checkEvery: 20 * time.Millisecond,
}

func with(o options, change func(o *options)) options {
	change(&o)
	return o
}

func TestChangeIsInEffectEverywhere(t *testing.T) {
	for name, o := range map[string]options{
		"both":    quick,
		"pushes":  with(quick, func(o *options) { o.noDigest = true }),
		"digests": with(quick, func(o *options) { o.noPush = true }),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, s, hosts := start(t, 30, o)
			inEffect(c, hosts, "a", put(c, s, "a", 1))
			inEffect(c, hosts, "a", put(c, s, "a", 2))
			eventually(c, "all three watch", func() bool { return s.Calls()[store.KindWatch] >= 3 })
			c.Assert(s.Calls()[store.KindWatch], qt.Equals, 3)
		})
	}
}

// A data centre is cut from the store, but not from the others. Its hosts learn
// of a revoked key from their peers, and a host that starts there meanwhile
// gets all documents although it never reaches the store.
func TestDataCentreCutFromTheStoreLearnsFromPeers(t *testing.T) {
	for name, o := range map[string]options{
		"both":    quick,
		"digests": with(quick, func(o *options) { o.noPush = true }),
	} {
		t.Run(name, func(t *testing.T) { learnFromPeers(t, o) })
	}
}

func learnFromPeers(t *testing.T, o options) {
	c := qt.New(t)
	n, s, hosts := start(t, 6, o)
	inEffect(c, hosts, "a", put(c, s, "a", 1))
	lonely, err := store.Start(store.Config{})
	c.Assert(err, qt.IsNil)
	c.Cleanup(lonely.Close)
	lonely.Set(func(f *store.Faults) { f.Down = true })
	var cut []*host
	for _, h := range hosts {
		if h.self.DataCentre == "dc0" {
			h.stop()
		}
	}
	for _, p := range []int{0, 3} {
		cut = append(cut, n.add(t, lonely, p, o))
	}
	inEffect(c, cut, "a", 2)
	inEffect(c, cut, "a", put(c, s, "a", 3))
	eventually(c, "the trouble is reported", func() bool { return cut[0].State().StoreProblem != "" })
	for _, h := range cut {
		eventually(c, "confirmed over peers", func() bool { return !h.State().Confirmed.IsZero() })
		c.Assert(string(h.State().Documents[0].From), qt.Matches, "host h.*")
	}
}

// In the same case the change doesn't wait for a digest: a watcher elsewhere
// pushes it to one host, and that one to the others of the data centre.
func TestDataCentreCutFromTheStoreIsPushedTo(t *testing.T) {
	c := qt.New(t)
	o := with(quick, func(o *options) { o.noDigest = true })
	n, s, _ := start(t, 0, o)
	lonely, err := store.Start(store.Config{})
	c.Assert(err, qt.IsNil)
	c.Cleanup(lonely.Close)
	lonely.Set(func(f *store.Faults) { f.Down = true })
	var hosts []*host
	for p := range 12 {
		from := s
		if p%3 == 0 {
			from = lonely
		}
		hosts = append(hosts, n.add(t, from, p, o))
	}
	inEffect(c, hosts, "a", put(c, s, "a", 1))
}

// The owners of a service revoke a key while one host is cut from everything.
// They chose cut-off = stop with a minute, so the host stops serving them then,
// and takes up again with the new version once it is reached.
func TestCutOffHostStops(t *testing.T) {
	c := qt.New(t)
	var mu sync.Mutex
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	move := func(d time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		now = now.Add(d)
	}
	o := with(quick, func(o *options) {
		o.now = func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			return now
		}
	})
	n, s, hosts := start(t, 4, o)
	v := put(c, s, "a", 1)
	inEffect(c, hosts, "a", v)
	last := hosts[3]
	eventually(c, "confirmed", func() bool { return !last.Stopped("a") })
	n.setCut(func(from, to fleet.Member) bool { return (from.Host == "h3") != (to.Host == "h3") })
	move(59 * time.Second)
	c.Assert(last.Stopped("a"), qt.IsFalse)
	v = put(c, s, "a", 2)
	inEffect(c, hosts[:3], "a", v)
	move(2 * time.Second)
	c.Assert(last.Stopped("a"), qt.IsTrue)
	c.Assert(last.State().Documents[0].Stopped, qt.IsTrue)
	eventually(c, "the others go on", func() bool { return !hosts[0].Stopped("a") && !hosts[1].Stopped("a") })
	n.setCut(nil)
	eventually(c, "it serves again", func() bool { return !last.Stopped("a") })
	c.Assert(last.version("a"), qt.Equals, v)
}

// An invalid document gets past the commands into the store. Callers notice
// nothing; each host reports it, goes on with the last good one, and takes the
// next valid one. A host that starts in between gets the last good one too.
func TestInvalidDocumentChangesNothing(t *testing.T) {
	c := qt.New(t)
	n, s, hosts := start(t, 6, quick)
	good := put(c, s, "a", 1)
	inEffect(c, hosts, "a", good)
	bad := put(c, s, "a", 0)
	for _, h := range hosts {
		eventually(c, "reported", func() bool {
			l := h.State().Invalid
			return len(l) == 1 && l[0].Version == bad && l[0].Error != ""
		})
		c.Assert(h.version("a"), qt.Equals, good)
	}
	late := n.add(t, s, 9, quick)
	inEffect(c, []*host{late}, "a", good)
	eventually(c, "reported by the new host", func() bool { return len(late.State().Invalid) == 1 })
	hosts = append(hosts, late)
	inEffect(c, hosts, "a", put(c, s, "a", 2))
	for _, h := range hosts {
		c.Assert(h.State().Invalid, qt.HasLen, 0)
	}
}

// The store is restored from a backup, and its revisions begin again below those
// in effect. No host goes back; an edit above the version in effect is taken.
func TestResetStoreRevertsNothing(t *testing.T) {
	c := qt.New(t)
	_, s, hosts := start(t, 4, quick)
	put(c, s, "a", 1)
	put(c, s, "a", 2)
	v := put(c, s, "a", 3)
	inEffect(c, hosts, "a", v)
	s.Rewind(2)
	put(c, s, "a", 9)
	eventually(c, "the reset is reported", func() bool { return hosts[0].State().StoreProblem != "" })
	for _, h := range hosts {
		c.Assert(h.version("a"), qt.Equals, v)
	}
	sealed := document.AddStamp(document.Stamp{Base: uint64(v)}, text("a", 7))
	putText(c, s, "a", sealed)
	inEffect(c, hosts, "a", document.VersionAt(sealed, uint64(s.Revision())))
	d, _ := hosts[3].Get("a")
	c.Assert(d.Holders, qt.Equals, 7)
}

// Somebody deletes a key in the store by mistake. The service goes on.
func TestDeletedDocumentStaysInEffect(t *testing.T) {
	c := qt.New(t)
	_, s, hosts := start(t, 4, quick)
	v := put(c, s, "a", 1)
	inEffect(c, hosts, "a", v)
	p := etcd.Dial(etcd.Config{Endpoints: []string{s.Addr()}, Patient: true})
	defer p.Close()
	c.Assert(p.Delete(context.Background(), document.StoreKey(root, "a")), qt.IsNil)
	inEffect(c, hosts, "b", put(c, s, "b", 1))
	for _, h := range hosts {
		c.Assert(h.version("a"), qt.Equals, v)
		c.Assert(h.State().Invalid, qt.HasLen, 0)
	}
}

// A peer that was paused for an hour wakes up and pushes what it had. Nobody
// goes back, and it is told what it lacks.
func TestStalePushChangesNothing(t *testing.T) {
	c := qt.New(t)
	_, s, hosts := start(t, 3, quick)
	old := put(c, s, "a", 1)
	v := put(c, s, "a", 2)
	inEffect(c, hosts, "a", v)
	hosts[1].HandlePush(&hostpb.PushRequest{Documents: []*hostpb.Document{
		{Service: "a", Version: uint64(old), Text: text("a", 1)},
		{Service: "a", Version: uint64(v), Text: text("a", 5)},
	}})
	d, _ := hosts[1].Get("a")
	c.Assert(d.Version, qt.Equals, v)
	c.Assert(d.Holders, qt.Equals, 2)
}

// The hosts that hold the watches die, and others become watchers; the change
// made in between isn't lost.
func TestWatcherDies(t *testing.T) {
	c := qt.New(t)
	n, s, hosts := start(t, 6, quick)
	inEffect(c, hosts, "a", put(c, s, "a", 1))
	for _, h := range hosts[:3] {
		h.stop()
	}
	v := put(c, s, "a", 2)
	next := n.add(t, s, 0, quick)
	inEffect(c, append(hosts[3:], next), "a", v)
}

// Two watchers push one change by two trees, which part the hosts differently. A
// host that knows the change from the first tree still hands it on to those whom
// the second one leaves to it; the first may have left them to a host that knew.
func TestKnownChangeIsHandedOn(t *testing.T) {
	c := qt.New(t)
	pushed := make(chan string, 4)
	s := docsync.New(docsync.Config{
		Push: func(_ context.Context, peer string, r *hostpb.PushRequest) error {
			pushed <- fmt.Sprintf("%d document to %s", len(r.GetDocuments()), peer)
			return nil
		},
		IsWatcher: func() bool { return false },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var duty sync.WaitGroup
	duty.Go(func() { s.Run(ctx) })
	r := &hostpb.PushRequest{Documents: []*hostpb.Document{{Service: "a", Version: 3, Text: text("a", 1)}}}
	s.HandlePush(r)
	r.Relay = []string{"10.0.0.2:1"}
	s.HandlePush(r)
	c.Assert(<-pushed, qt.Equals, "1 document to 10.0.0.2:1")
	// What is older than the document in effect isn't handed on.
	r.Documents[0].Version = 2
	r.Relay = []string{"10.0.0.3:1"}
	s.HandlePush(r)
	c.Assert(s.State().PushesQueued, qt.Equals, 0)
	cancel()
	duty.Wait()
	c.Assert(pushed, qt.HasLen, 0)
}

// Half of a data centre's hosts die with the same rack, and the list of hosts
// doesn't know yet. The hosts that a push would have reached over the dead ones
// still get it at once, not only by the next digest.
func TestPushPassesDeadHosts(t *testing.T) {
	c := qt.New(t)
	o := with(quick, func(o *options) { o.noDigest, o.dataCentres = true, 1 })
	n, s, hosts := start(t, 40, o)
	inEffect(c, hosts, "a", put(c, s, "a", 1))
	dead := fleet.NewSet[fleet.Host]()
	var living []*host
	for p, h := range hosts {
		if p%2 == 1 {
			dead.Add(h.self.Host)
			continue
		}
		living = append(living, h)
	}
	n.setCut(func(from, to fleet.Member) bool { return dead.Has(from.Host) || dead.Has(to.Host) })
	inEffect(c, living, "a", put(c, s, "a", 2))
}

// A host is paused in the middle of a question to a peer and wakes a minute
// later with the answer in its buffer. The peer's confirmation is a minute old
// by then; taken for fresh it would keep a revoked key alive.
func TestConfirmationCountsFromTheQuestion(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	age := uint64(time.Second / time.Microsecond)
	asked := make(chan time.Time, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	s := docsync.New(docsync.Config{
		Seeds: []string{"10.0.0.1:1"}, Now: func() time.Time { return now },
		IsWatcher: func() bool { return false }, DigestEvery: time.Hour,
		Digest: func(context.Context, string, *hostpb.DigestRequest) (*hostpb.DigestResponse, error) {
			asked <- now
			now = now.Add(time.Minute)
			cancel()
			return &hostpb.DigestResponse{ConfirmedAgeUs: &age}, nil
		},
	})
	s.Run(ctx)
	c.Assert(asked, qt.HasLen, 1)
	c.Assert(s.State().Confirmed, qt.Equals, (<-asked).Add(-time.Second))
}

// A new host starts while the store is down. It has all documents from its
// peers, however many messages that takes, and costs the store no call.
func TestNewHostAsksPeersFirst(t *testing.T) {
	c := qt.New(t)
	n, s, hosts := start(t, 3, quick)
	for i := range 5 {
		big := append(text(fleet.Service(fmt.Sprintf("s%d", i)), 1), bytes.Repeat([]byte("# filled up\n"), 40000)...)
		putText(c, s, fleet.Service(fmt.Sprintf("s%d", i)), big)
	}
	for i := range 5 {
		inEffect(c, hosts, fleet.Service(fmt.Sprintf("s%d", i)), 1)
	}
	s.Set(func(f *store.Faults) { f.Down = true })
	late := n.add(t, s, 5, quick)
	eventually(c, "all five are in effect", func() bool { return len(late.All()) == 5 })
	eventually(c, "it is ready", late.Ready)
	c.Assert(late.store.State().Calls, qt.HasLen, 0)
	c.Assert(n.largest.Load() < 3<<19, qt.IsTrue, qt.Commentf("a message of %d bytes", n.largest.Load()))
}
