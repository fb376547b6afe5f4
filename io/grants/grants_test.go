package grants_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"skylarkdeal/core/document"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/roster"
	"skylarkdeal/io/grants"
	"skylarkdeal/io/host/hostpb"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var errDown = errors.New("down")

// store is the platform's store for the tests: keys, and the leases that stand.
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

// bench is a fleet in one process.
type bench struct {
	store   store
	doc     *document.Document
	members atomic.Pointer[[]fleet.Member]
	hosts   map[fleet.Host]*grants.Runtime
	cut     sync.Map
	// until is when the hosts' leases end; nil stands for always.
	until func(fleet.Host) time.Time
}

const service fleet.Service = "orders"

func newBench(hosts []fleet.Member, a document.Account) *bench {
	b := &bench{hosts: map[fleet.Host]*grants.Runtime{}}
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
		Host: m.Host, DataCentre: m.DataCentre, Epoch: epoch,
		Members: func() []fleet.Member { return *b.members.Load() },
		Call: func(ctx context.Context, to fleet.Member, q *hostpb.GrantRequest) (*hostpb.GrantResponse, error) {
			if _, cut := b.cut.Load(to.Host); cut {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return b.hosts[to.Host].HandleGrant(ctx, q), nil
		},
		Store: grants.Store{
			List: b.store.list, Swap: b.store.swap, Standing: b.store.standing,
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

// level returns the tokens in all homes.
func (b *bench) level() float64 {
	n := 0.0
	for _, r := range b.hosts {
		for _, h := range r.State().Homes {
			n += h.Level
		}
	}
	return n
}

// admit sends n exchanges to one host at once and returns how many ran.
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

// eventually waits for a condition.
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

// All of an account's callers come to one of three hosts, as happens when a
// balancer sends a large customer to one place. Its burst has to be there all
// the same, out of the shares of the other data centres, and no more than it.
func TestOneHostSpendsTheWholeBurst(t *testing.T) {
	c := qt.New(t)
	b := newBench(threeHosts, document.Account{Name: "hotel", Rate: 20, Burst: 30})
	b.run(t)
	eventually(t, "homes filled", func() bool {
		b.ask("o1")
		return b.level() >= 28
	})
	start := time.Now()
	n, refused := b.admit("o1", 100)
	most := 31 + 20*time.Since(start).Seconds()
	c.Assert(n >= 26, qt.IsTrue, qt.Commentf("admitted %d", n))
	c.Assert(float64(n) <= most, qt.IsTrue, qt.Commentf("admitted %d, at most %f", n, most))
	c.Assert(len(refused), qt.Equals, 100-n)
	c.Assert(refused[0].Code, qt.Equals, failure.CodeOverRate)
	c.Assert(refused[0].RetryAfter > 0, qt.IsTrue)
}

// ask makes every home count up to now, with an ask that wants nothing.
func (b *bench) ask(from fleet.Host) {
	for _, r := range b.hosts {
		r.HandleGrant(context.Background(), &hostpb.GrantRequest{
			Hello: &hostpb.Hello{Host: string(from)},
			Asks:  []*hostpb.GrantAsk{{Service: string(service), Account: "hotel"}},
		})
	}
}

// The platform's store is down for minutes and every lease has run out. Callers
// within their rate must see nothing of it: the homes go on with the consent of
// their witnesses.
func TestStoreOutageStopsNoHome(t *testing.T) {
	c := qt.New(t)
	hosts := append([]fleet.Member{{Host: "o2", DataCentre: "obihiro"}}, threeHosts...)
	b := newBench(hosts, document.Account{Name: "hotel", Rate: 500, Burst: 60})
	var frozen atomic.Pointer[time.Time]
	const leaseFor = 2 * time.Second
	b.until = func(fleet.Host) time.Time {
		if t := frozen.Load(); t != nil {
			return *t
		}
		return time.Now().Add(leaseFor)
	}
	b.run(t)
	eventually(t, "homes filled", func() bool { b.ask("o1"); return b.level() >= 55 })
	end := time.Now().Add(leaseFor)
	frozen.Store(&end)
	b.store.mu.Lock()
	b.store.down = true
	b.store.mu.Unlock()
	eventually(t, "leases ended", func() bool { return time.Now().After(end.Add(time.Second)) })
	n, refused := b.admit("o1", 20)
	c.Assert(n, qt.Equals, 20, qt.Commentf("%v", refused))
}

// A host leaves in a rolling restart. Its seats are free for the next host without
// a wait for its lease, and that one starts with what was left, not with nothing.
// What the account gets in all is its burst and no more.
func TestLeavingHostGivesBack(t *testing.T) {
	c := qt.New(t)
	hosts := append([]fleet.Member{{Host: "o2", DataCentre: "obihiro"}}, threeHosts...)
	b := newBench(hosts, document.Account{Name: "hotel", Rate: 0.01, Burst: 900})
	b.run(t)
	eventually(t, "seats taken", func() bool { return b.level() == 900 })
	n, _ := b.admit("o1", 100)
	c.Assert(n, qt.Equals, 100)
	b.store.mu.Lock()
	c.Check(b.store.calls <= 40, qt.IsTrue, qt.Commentf("%d calls of the store for 96 seats", b.store.calls))
	b.store.mu.Unlock()
	from, to := fleet.Host("o1"), fleet.Host("o2")
	if b.homeLevel(from) < 0 {
		from, to = to, from
	}
	had := b.homeLevel(from)
	c.Assert(had <= 200, qt.IsTrue, qt.Commentf("%f of 300 after 100", had))
	b.hosts[from].Leave(context.Background())
	c.Assert(b.hosts[from].State().Seats, qt.HasLen, 0)
	left := slices.Clone(hosts)
	for i := range left {
		left[i].Leaving = left[i].Host == from
	}
	b.setMembers(left)
	eventually(t, "the other host has all seats of obihiro", func() bool {
		return len(b.hosts[to].State().Seats) == int(roster.Shards)
	})
	c.Assert(b.homeLevel(to), qt.Equals, had)
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	c.Assert(string(b.store.keys[grants.SeatPrefix+"obihiro"].Value), qt.Not(qt.Contains), "left")
}

// homeLevel returns the tokens in a host's home of the account, or -1.
func (b *bench) homeLevel(h fleet.Host) float64 {
	for _, e := range b.hosts[h].State().Homes {
		return e.Level
	}
	return -1
}

// An account is taken out of the document and put back. Its burst was spent a
// moment ago, so it must not be there anew.
func TestAccountPutBackStartsEmpty(t *testing.T) {
	c := qt.New(t)
	b := newBench(threeHosts[:1], document.Account{Name: "hotel", Rate: 0.01, Burst: 30})
	b.run(t)
	eventually(t, "seats taken", func() bool { return b.level() == 30 })
	without, back := *b.doc, *b.doc
	without.Version, without.Accounts = 2, []document.Account{{Name: "other", Rate: 1, Burst: 1}}
	back.Version = 3
	b.hosts["a1"].DocumentChanged(&without)
	b.hosts["a1"].DocumentChanged(&back)
	c.Assert(b.level(), qt.Equals, 0.0)
}

// Exchanges that wait, or come, when the process ends are answered all the same.
func TestStoppedHostAnswers(t *testing.T) {
	c := qt.New(t)
	b := newBench(threeHosts[:1], document.Account{Name: "hotel", Rate: 0.01, Burst: 30})
	r := b.hosts["a1"]
	r.DocumentChanged(b.doc)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(r.Run(ctx), qt.IsNil)
	n, refused := b.admit("a1", 10)
	c.Assert(n, qt.Equals, 0)
	c.Assert(refused[0].Code, qt.Equals, failure.CodeShuttingDown)
}

// The witness of all seats of a data centre is replaced. The holder names another
// one in the record while the store can be reached, before it is needed.
func TestLostWitnessIsReplaced(t *testing.T) {
	hosts := []fleet.Member{
		{Host: "o1", DataCentre: "obihiro"}, {Host: "o2", DataCentre: "obihiro"}, {Host: "o3", DataCentre: "obihiro"},
	}
	b := newBench(hosts, document.Account{Name: "hotel", Rate: 100, Burst: 90})
	b.run(t)
	held := func(h fleet.Host) int { return len(b.hosts[h].State().Seats) }
	eventually(t, "all seats taken", func() bool { return held("o1")+held("o2")+held("o3") == int(roster.Shards) })
	b.setMembers([]fleet.Member{hosts[0], hosts[2]})
	eventually(t, "another witness", func() bool {
		for _, s := range b.hosts["o1"].State().Seats {
			if s.Witness.Host != "o3" {
				return false
			}
		}
		return true
	})
}

// A data centre's first host started alone, with a witness elsewhere. Once it has a
// neighbour, that one has to be the witness: the two may be cut off together.
func TestWitnessIsNear(t *testing.T) {
	hosts := []fleet.Member{
		{Host: "o1", DataCentre: "obihiro"}, {Host: "s1", DataCentre: "sapporo"}, {Host: "o2", DataCentre: "obihiro"},
	}
	b := newBench(hosts, document.Account{Name: "hotel", Rate: 100, Burst: 90})
	b.setMembers(hosts[:2])
	b.run(t)
	witnessed := func(by fleet.Host) func() bool {
		return func() bool {
			seats := b.hosts["o1"].State().Seats
			for _, s := range seats {
				if s.Witness.Host != by {
					return false
				}
			}
			return len(seats) > 0
		}
	}
	eventually(t, "a witness elsewhere", witnessed("s1"))
	b.setMembers(hosts)
	eventually(t, "a witness near by", witnessed("o2"))
}

func TestUnknownAccountIsRefusedAtOnce(t *testing.T) {
	b := newBench(threeHosts, document.Account{Name: "hotel", Rate: 20, Burst: 30})
	b.run(t)
	var got *failure.Refusal
	b.hosts["o1"].Admit(service, "nobody", 1, time.Time{}, func(f *failure.Refusal) { got = f })
	qt.Assert(t, got.Code, qt.Equals, failure.CodeNoService)
}
