package grants_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"skylarkdeal/core/document"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/grants"
	"skylarkdeal/io/host/hostpb"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var errDown = errors.New("down")

// store is an in-memory store: keys, and the valid leases.
type store struct {
	mu     sync.Mutex
	down   bool
	keys   map[string]grants.Entry
	leases map[fleet.Host]uint64
	rev    uint64
	calls  int
}

func (s *store) list(_ context.Context, prefix string) ([]grants.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, errDown
	}
	var out []grants.Entry
	for k, e := range s.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, e)
		}
	}
	return out, nil
}

func (s *store) swap(_ context.Context, key string, old uint64, value []byte) (uint64, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return 0, false, errDown
	}
	if s.keys[key].Revision != old {
		return 0, false, nil
	}
	s.rev++
	s.keys[key] = grants.Entry{Key: key, Value: value, Revision: s.rev}
	return s.rev, true, nil
}

func (s *store) standing(_ context.Context, h fleet.Host, lease uint64) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false, errDown
	}
	return s.leases[h] == lease, nil
}

// bench runs several hosts in one process.
type bench struct {
	store   store
	doc     *document.Document
	members atomic.Pointer[[]fleet.Member]
	hosts   map[fleet.Host]*grants.Runtime
	cut     sync.Map
	// until returns when a host's lease expires; if nil, leases never expire.
	until func(fleet.Host) time.Time
	// losesAnswers has calls carried out, and their answers lost.
	losesAnswers atomic.Bool
	// logs are the lines of all hosts.
	logs *observer.ObservedLogs
	log  *zap.Logger
	// beforeRead, if set, is called before a host reads the store.
	beforeRead atomic.Pointer[func(fleet.Host)]
}

const service fleet.Service = "orders"

func newBench(hosts []fleet.Member, a document.Account) *bench {
	b := &bench{hosts: map[fleet.Host]*grants.Runtime{}}
	core, logs := observer.New(zap.InfoLevel)
	b.log, b.logs = zap.New(core), logs
	b.setMembers(hosts)
	b.store.keys, b.store.leases = map[string]grants.Entry{}, map[fleet.Host]uint64{}
	b.doc = &document.Document{Service: service, Version: 1, Accounts: []document.Account{a}}
	seen := fleet.NewSet[fleet.DataCentre]()
	for _, m := range hosts {
		seen.Add(m.DataCentre)
	}
	b.doc.DataCentres = seen.Sorted()
	for i, m := range hosts {
		b.store.leases[m.Host] = uint64(i + 1)
		b.hosts[m.Host] = b.newHost(m, uint64(i+1))
	}
	return b
}

func (b *bench) setMembers(m []fleet.Member) { b.members.Store(&m) }

func (b *bench) newHost(m fleet.Member, epoch uint64) *grants.Runtime {
	return grants.New(grants.Config{
		Host: m.Host, DataCentre: m.DataCentre, Epoch: epoch, Logger: b.log,
		Members: func() []fleet.Member { return *b.members.Load() },
		Call: func(ctx context.Context, to fleet.Member, q *hostpb.GrantRequest) (*hostpb.GrantResponse, error) {
			if _, cut := b.cut.Load(to.Host); cut {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			a := b.hosts[to.Host].HandleGrant(ctx, q)
			if b.losesAnswers.Load() {
				return nil, errDown
			}
			return a, nil
		},
		Store: grants.Store{
			List: func(ctx context.Context, prefix string) ([]grants.Entry, error) {
				if f := b.beforeRead.Load(); f != nil {
					(*f)(m.Host)
				}
				return b.store.list(ctx, prefix)
			},
			Swap: b.store.swap, LeaseExists: b.store.standing,
			Lease: func() (uint64, time.Time) {
				if b.until != nil {
					return epoch, b.until(m.Host)
				}
				return epoch, time.Now().Add(time.Minute)
			},
			Epoch: func(h fleet.Host) uint64 {
				b.store.mu.Lock()
				defer b.store.mu.Unlock()
				return b.store.leases[h]
			},
		},
	})
}

// run starts all hosts, and stops them when the test ends.
func (b *bench) run(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var g sync.WaitGroup
	for _, r := range b.hosts {
		r.DocumentChanged(b.doc)
		g.Go(func() { _ = r.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		g.Wait()
	})
}

// level returns the sum of the tokens in all homes.
func (b *bench) level() float64 {
	n := 0.0
	for _, r := range b.hosts {
		for _, h := range r.State().Homes {
			n += h.Level
		}
	}
	return n
}

// admit sends n exchanges to one host at once and returns how many were admitted.
func (b *bench) admit(h fleet.Host, n int) (admitted int, refused []*failure.Refusal) {
	answers := make(chan *failure.Refusal, n)
	for range n {
		b.hosts[h].Admit(service, "hotel", 1, time.Time{}, func(f *failure.Refusal) { answers <- f })
	}
	for range n {
		if f := <-answers; f != nil {
			refused = append(refused, f)
			continue
		}
		admitted++
	}
	return admitted, refused
}

// eventually fails the test if the condition doesn't hold within 20 s.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 2000 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("never: %s", what)
}

var threeHosts = []fleet.Member{
	{Host: "a1", DataCentre: "asahikawa"},
	{Host: "o1", DataCentre: "obihiro"},
	{Host: "s1", DataCentre: "sapporo"},
}

// ask sends an ask for no tokens to every home, so that its level is brought up to date.
func (b *bench) ask(from fleet.Host) {
	for _, r := range b.hosts {
		r.HandleGrant(context.Background(), &hostpb.GrantRequest{
			Hello: &hostpb.Hello{Host: string(from)},
			Asks:  []*hostpb.GrantAsk{{Service: string(service), Account: "hotel"}},
		})
	}
}

// homeLevel returns the tokens in a host's home of the account, or -1 if it has none.
func (b *bench) homeLevel(h fleet.Host) float64 {
	for _, e := range b.hosts[h].State().Homes {
		return e.Level
	}
	return -1
}
