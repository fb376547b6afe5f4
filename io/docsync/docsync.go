// Package docsync keeps the documents in effect on one host: it asks peers at the
// start, follows the store where this host is its data centre's watcher, hands
// changes on to other hosts, and compares with random peers to repair what was
// lost on the way.
package docsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/journal"
	"skylarkdeal/core/ring"
	"skylarkdeal/internal/sleep"
	"skylarkdeal/io/etcd"
	"skylarkdeal/io/host/hostpb"
)

// Config is what a Spread works with.
type Config struct {
	Self  fleet.Member
	Hello *hostpb.Hello
	Store *etcd.Store
	// Prefix starts the keys of the documents; the rest of a key is the service.
	Prefix string
	// Seeds are inner addresses of hosts to ask at the start, while Members is
	// still empty.
	Seeds []string
	// IsWatcher reports whether this host follows the store for its data centre.
	// Two watchers cost calls, none costs time; nil means always.
	IsWatcher func() bool
	// Members returns the hosts that are thought to live, in any order, with or
	// without this one.
	Members func() []fleet.Member
	// MembersOut returns the records of members to pass on with a message, and
	// MembersIn takes those that have come with one.
	MembersOut func() []*hostpb.Member
	MembersIn  func(m []*hostpb.Member)
	// Digest and Push call the host at an inner address.
	Digest func(ctx context.Context, peer string, r *hostpb.DigestRequest) (*hostpb.DigestResponse, error)
	Push   func(ctx context.Context, peer string, r *hostpb.PushRequest) error
	// OnChange takes each document that comes into effect, in order. It must
	// return at once and not call back.
	OnChange func(d *document.Document)

	// DigestEvery is the mean time between two comparisons with a peer, CheckEvery
	// that between two checks of the watch.
	DigestEvery time.Duration
	CheckEvery  time.Duration
	// AskAtStart is how many peers a new host asks before it is ready, if so many
	// can be reached.
	AskAtStart int
	Now        func() time.Time
	Log        *zap.Logger
	Metrics    prometheus.Registerer
	Journal    *journal.Journal
}

// The defaults and limits of spreading.
//
// DefaultDigestEvery repairs a lost push in a second or two whatever the size of
// the fleet: each host asks one random peer a second, and is asked by one on
// average. Two that agree exchange under 200 bytes.
const (
	DefaultDigestEvery = time.Second
	DefaultAskAtStart  = 3

	callTimeout = time.Second
	// watcherPoll is how soon a host notices that it has become the watcher.
	watcherPoll = 200 * time.Millisecond
	// otherCentres is the share of digests that go to another data centre.
	otherCentres = 0.25
)

// Spread is the runtime. Run makes it work; all other methods are safe for
// concurrent use at any time.
type Spread struct {
	cfg      Config
	log      *zap.Logger
	metrics  metrics
	pushes   ring.Ring[job]
	inEffect atomic.Pointer[map[fleet.Service]*document.Document]
	// confirmed is when what is held was last known to be the newest. A pointer to
	// time.Time keeps the monotonic clock: a step of the wall clock stops nothing.
	confirmed atomic.Pointer[time.Time]
	ready     atomic.Bool
	watching  atomic.Bool

	mu       sync.Mutex
	table    document.Documents
	sum      uint64
	problem  string
	conflict map[fleet.Service]bool
}

var errNoTransport = errors.New("no way to other hosts is set")

// New returns a Spread that holds nothing.
func New(cfg Config) *Spread {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.DigestEvery == 0 {
		cfg.DigestEvery = DefaultDigestEvery
	}
	if cfg.AskAtStart == 0 {
		cfg.AskAtStart = DefaultAskAtStart
	}
	if cfg.IsWatcher == nil {
		cfg.IsWatcher = func() bool { return true }
	}
	if cfg.Members == nil {
		cfg.Members = func() []fleet.Member { return nil }
	}
	if cfg.MembersOut == nil {
		cfg.MembersOut = func() []*hostpb.Member { return nil }
	}
	if cfg.MembersIn == nil {
		cfg.MembersIn = func([]*hostpb.Member) {}
	}
	if cfg.Digest == nil {
		cfg.Digest = func(context.Context, string, *hostpb.DigestRequest) (*hostpb.DigestResponse, error) {
			return nil, errNoTransport
		}
	}
	if cfg.Push == nil {
		cfg.Push = func(context.Context, string, *hostpb.PushRequest) error { return errNoTransport }
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	s := &Spread{
		cfg: cfg, log: cfg.Log, metrics: newMetrics(cfg.Metrics), pushes: ring.New[job](pushRing),
		conflict: map[fleet.Service]bool{},
	}
	s.inEffect.Store(&map[fleet.Service]*document.Document{})
	s.confirmed.Store(&time.Time{})
	s.registerAge(cfg.Metrics)
	return s
}

// Get returns the document of a service that is in effect.
func (s *Spread) Get(n fleet.Service) (*document.Document, bool) {
	d, ok := (*s.inEffect.Load())[n]
	return d, ok
}

// All returns the documents in effect, by service.
func (s *Spread) All() []*document.Document {
	m := *s.inEffect.Load()
	l := make([]*document.Document, 0, len(m))
	for _, n := range sortedKeys(m) {
		l = append(l, m[n])
	}
	return l
}

// Stopped reports whether a service is not to be served for now, because its
// document could not be confirmed for as long as it states.
func (s *Spread) Stopped(n fleet.Service) bool {
	d, ok := s.Get(n)
	if !ok || d.CutOff != document.CutOffStop {
		return false
	}
	return d.Stopped(*s.confirmed.Load(), s.cfg.Now())
}

// Ready reports whether peers or the store have told what they have since the
// start.
func (s *Spread) Ready() bool {
	return s.ready.Load()
}

// Run works until ctx ends.
func (s *Spread) Run(ctx context.Context) {
	var duties sync.WaitGroup
	for range pushWorkers {
		duties.Go(func() { s.push(ctx) })
	}
	s.askPeers(ctx)
	duties.Go(func() { s.watch(ctx) })
	duties.Go(func() { s.compare(ctx) })
	duties.Wait()
}

// offer decides on versions that have come. It returns those that were news,
// adopted or not, and all that are no older than what is known.
func (s *Spread) offer(offers []document.Offer) (news, current []document.Offer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range offers {
		v, err := s.table.Offer(o, s.cfg.Now())
		switch v {
		case document.VerdictAdopted, document.VerdictInvalid:
			news, current = append(news, o), append(current, o)
		case document.VerdictKnown:
			current = append(current, o)
		case document.VerdictStale, document.VerdictConflict:
		}
		s.tell(o, v, err)
		if v == document.VerdictAdopted {
			s.publish(o.Service)
		}
	}
	if len(news) > 0 {
		s.sum = s.table.Digest()
	}
	return news, current
}

// publish puts a document in effect for readers. The map is copied, so that they
// need no lock.
func (s *Spread) publish(n fleet.Service) {
	h, _ := s.table.Get(n)
	old := *s.inEffect.Load()
	m := make(map[fleet.Service]*document.Document, len(old)+1)
	for k, d := range old {
		m[k] = d
	}
	m[n] = h.Document
	s.inEffect.Store(&m)
	s.metrics.inEffect.Set(float64(len(m)))
	if s.cfg.OnChange != nil {
		s.cfg.OnChange(h.Document)
	}
}

// confirm records that all that is held was the newest at that time.
func (s *Spread) confirm(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Confirm(at)
	at = s.table.ConfirmedAt()
	s.confirmed.Store(&at)
}

// sleep waits from half of d to one and a half and reports whether ctx goes on.
func (s *Spread) sleep(ctx context.Context, d time.Duration) bool {
	return sleep.For(ctx, time.Duration(float64(d)*(0.5+rand.Float64())))
}

func sortedKeys(m map[fleet.Service]*document.Document) []fleet.Service {
	l := make([]fleet.Service, 0, len(m))
	for n := range m {
		l = append(l, n)
	}
	slices.Sort(l)
	return l
}
