package docsync_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
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

const root = "/t/"

// network joins the hosts of a test. Calls go straight to the other host, unless
// the two are cut from each other.
type network struct {
	mu    sync.Mutex
	hosts map[string]*host
	cut   func(from, to fleet.Member) bool

	calls atomic.Int64
	bytes atomic.Int64
	// largest is the size of the largest message.
	largest atomic.Int64
}

// host is one host of a test.
type host struct {
	*docsync.Spread
	self   fleet.Member
	stop   func()
	store  *etcd.Store
	mu     sync.Mutex
	starts map[document.Version]time.Time
	now    func() time.Time
}

var errCut = errors.New("cut")

func (n *network) find(from fleet.Member, to string) (*host, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts[to]
	if h == nil || n.cut != nil && n.cut(from, h.self) {
		return nil, errCut
	}
	return h, nil
}

func (n *network) setCut(cut func(from, to fleet.Member) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *network) count(m proto.Message) {
	size := int64(proto.Size(m))
	n.calls.Add(1)
	n.bytes.Add(size)
	for {
		l := n.largest.Load()
		if size <= l || n.largest.CompareAndSwap(l, size) {
			return
		}
	}
}

func (n *network) members() []fleet.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := make([]fleet.Member, 0, len(n.hosts))
	for _, h := range n.hosts {
		l = append(l, h.self)
	}
	return l
}

// options differ from test to test.
type options struct {
	dataCentres int
	storeRate   float64
	now         func() time.Time
	digestEvery time.Duration
	checkEvery  time.Duration
	// noDigest and noPush take one of the two ways out.
	noDigest, noPush bool
}

// add starts a host of the n-th place; places go round the data centres, and
// the first host of each is its watcher.
func (n *network) add(t testing.TB, s *store.Server, place int, o options) *host {
	dc := place % max(o.dataCentres, 1)
	h := &host{
		self: fleet.Member{
			Host: fleet.Host(fmt.Sprintf("h%d", place)), DataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", dc)),
			Peer: fmt.Sprintf("10.%d.0.%d:1", dc, place),
		},
		starts: map[document.Version]time.Time{}, now: time.Now,
	}
	if o.now != nil {
		h.now = o.now
	}
	h.store = etcd.Dial(etcd.Config{
		Endpoints: []string{s.Addr()}, Rate: o.storeRate, Burst: 100, Timeout: time.Second,
	})
	h.Spread = docsync.New(n.config(h, place, o))
	n.mu.Lock()
	n.hosts[h.self.Peer] = h
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var duty sync.WaitGroup
	duty.Go(func() { h.Run(ctx) })
	h.stop = sync.OnceFunc(func() {
		n.mu.Lock()
		delete(n.hosts, h.self.Peer)
		n.mu.Unlock()
		cancel()
		duty.Wait()
		h.store.Close()
	})
	t.Cleanup(h.stop)
	return h
}

func (n *network) config(h *host, place int, o options) docsync.Config {
	cfg := docsync.Config{
		Self: h.self, Hello: &hostpb.Hello{Version: 1, Host: string(h.self.Host)},
		Store: h.store, Prefix: document.StorePrefix(root), Now: h.now, Members: n.members,
		IsWatcher:   func() bool { return place < max(o.dataCentres, 1) },
		DigestEvery: o.digestEvery, CheckEvery: o.checkEvery,
		OnChange: func(d *document.Document) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.starts[d.Version] = time.Now()
		},
	}
	cfg.Digest = func(_ context.Context, peer string, r *hostpb.DigestRequest) (*hostpb.DigestResponse, error) {
		p, err := n.find(h.self, peer)
		if err != nil || o.noDigest {
			return nil, errCut
		}
		a := p.HandleDigest(r)
		n.count(r)
		n.count(a)
		return a, nil
	}
	cfg.Push = func(_ context.Context, peer string, r *hostpb.PushRequest) error {
		p, err := n.find(h.self, peer)
		if err != nil || o.noPush {
			return errCut
		}
		n.count(r)
		p.HandlePush(r)
		return nil
	}
	return cfg
}

func (h *host) startOf(v document.Version) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, ok := h.starts[v]
	return t, ok
}

func (h *host) version(s fleet.Service) document.Version {
	d, ok := h.Get(s)
	if !ok {
		return 0
	}
	return d.Version
}

// start starts a store and hosts.
func start(t testing.TB, hosts int, o options) (*network, *store.Server, []*host) {
	s, err := store.Start(store.Config{})
	qt.New(t).Assert(err, qt.IsNil)
	t.Cleanup(s.Close)
	n := &network{hosts: map[string]*host{}}
	var l []*host
	for p := range hosts {
		l = append(l, n.add(t, s, p, o))
	}
	return n, s, l
}

// text returns a document of a service; no holders make it an invalid one.
func text(s fleet.Service, holders int) []byte {
	return fmt.Appendf(nil, "[service]\nname = %s\nholders = %d\ndata-centres = x\n"+
		"cut-off = stop\ncut-off-after = 1m\n"+
		"[instance \"a\"]\naddress = 10.0.0.1:1\ndata-centre = x\n", s, holders)
}

// put writes a document as an operator's command does and returns its version.
func put(c *qt.C, s *store.Server, service fleet.Service, holders int) document.Version {
	putText(c, s, service, text(service, holders))
	return document.Version(s.Revision())
}

func eventually(c *qt.C, what string, ok func() bool) {
	c.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); {
		if time.Now().After(end) {
			c.Fatalf("still not so after 20 s: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// inEffect waits until all hosts have at least that version in effect.
func inEffect(c *qt.C, hosts []*host, s fleet.Service, v document.Version) {
	c.Helper()
	for _, h := range hosts {
		eventually(c, fmt.Sprintf("%s has version %d", h.self.Host, v), func() bool { return h.version(s) >= v })
	}
}

func putText(c *qt.C, s *store.Server, service fleet.Service, b []byte) {
	p := etcd.Dial(etcd.Config{Endpoints: []string{s.Addr()}, Patient: true})
	defer p.Close()
	c.Assert(p.Put(context.Background(), document.StoreKey(root, service), b, 0), qt.IsNil)
}
