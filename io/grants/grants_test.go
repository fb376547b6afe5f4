package grants_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/document"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/roster"
	"skylarkdeal/io/grants"
)

// All callers of an account connect to one of three hosts, as when a load balancer
// sends a large customer to one host. They must get the account's whole burst, out of
// the shares of the other data centres too, and no more than it.
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

// The platform's store is down for minutes and every lease has expired. Callers
// within their rate must not be affected: the homes continue with the consent of
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

// A host leaves in a rolling restart. The next host acquires its shards without
// waiting for the lease to expire, and starts with the tokens that were left instead
// of none. In all, the account gets its burst and no more.
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

// An account is removed from the document and added again. Its burst may have been
// granted before the removal, so the new home must not start full.
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

// Exchanges that wait or arrive when the process stops are answered.
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

// The witness of all shards of a data centre is lost. The owner must name another
// one in the record while the store can be reached, before the witness is needed.
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

// The first host of a data centre started alone, with a witness in another one. Once
// a second host joins, that one must become the witness, since both may be cut off together.
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
