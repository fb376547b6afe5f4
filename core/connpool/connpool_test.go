package connpool_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"skylarkdeal/core/connpool"
	"skylarkdeal/core/fleet"
)

var t0 = time.Unix(1000, 0)

// wantEvery records that an account is wanted at an interval for ten seconds before t0.
func wantEvery(p *connpool.Pool, a fleet.Account, interval time.Duration, pr fleet.Priority) {
	for at := t0.Add(-10 * time.Second); at.Before(t0); at = at.Add(interval) {
		p.Want(at, a, pr)
	}
}

// choose offers one connection of each account, all idle for as long, and returns the owner of the one to
// close.
func choose(
	p *connpool.Pool, requester fleet.Account, idleSlot bool, idle time.Duration, as ...fleet.Account,
) fleet.Account {
	e := p.Evict(t0, requester, idleSlot)
	for n, a := range as {
		e.Offer(n, p.Account(a), t0.Add(-idle))
	}
	if n, ok := e.Choice(); ok {
		return as[n]
	}
	return ""
}

// Guards against two accounts that take the only connection from each other in turn.
func TestAccountsOfEqualDemandKeepTheirConnections(t *testing.T) {
	c := qt.New(t)
	var p connpool.Pool
	wantEvery(&p, "a", 100*time.Millisecond, 1)
	wantEvery(&p, "b", 100*time.Millisecond, 1)
	wantEvery(&p, "large", 40*time.Millisecond, 1)
	p.Opened("a")
	c.Assert(choose(&p, "b", false, 20*time.Millisecond, "a"), qt.Equals, fleet.Account(""))
	c.Assert(choose(&p, "b", false, 200*time.Millisecond, "a"), qt.Equals, fleet.Account("a"))
	c.Assert(choose(&p, "b", true, 20*time.Millisecond, "a"), qt.Equals, fleet.Account("a"))
	c.Assert(choose(&p, "large", false, 20*time.Millisecond, "a"), qt.Equals, fleet.Account("a"))
}

// Guards against a connection that is closed while an operation of its account waits for one, and is opened
// again at once.
func TestConnectionThatIsWaitedForIsKept(t *testing.T) {
	c := qt.New(t)
	var p connpool.Pool
	p.Opened("a")
	p.Opened("a")
	p.Account("a").SetWaiting(t0)
	c.Assert(choose(&p, "b", true, time.Minute, "a"), qt.Equals, fleet.Account(""))
	p.Account("a").SetWaiting(t0.Add(-time.Millisecond))
	c.Assert(choose(&p, "b", true, time.Minute, "a"), qt.Equals, fleet.Account("a"))
}

// Guards against a large account that loses the connections which it needs since it has the most.
func TestLeastDemandForEachConnectionGoesFirst(t *testing.T) {
	c := qt.New(t)
	var p connpool.Pool
	wantEvery(&p, "large", 10*time.Millisecond, 1)
	wantEvery(&p, "small", time.Second, 1)
	p.Opened("small")
	for range 4 {
		p.Opened("large")
	}
	c.Assert(choose(&p, "other", true, time.Second, "large", "small"), qt.Equals, fleet.Account("small"))
	for range 400 {
		p.Opened("large")
	}
	c.Assert(choose(&p, "other", true, time.Second, "large", "small"), qt.Equals, fleet.Account("large"))
}

// Guards against payments that wait for a connection while reports keep theirs: of two accounts that are
// wanted as often, the one with the less urgent route is evicted.
func TestUrgentDemandCountsMore(t *testing.T) {
	c := qt.New(t)
	var p connpool.Pool
	wantEvery(&p, "payments", 100*time.Millisecond, 0)
	wantEvery(&p, "reports", 100*time.Millisecond, 2)
	p.Opened("payments")
	p.Opened("reports")
	c.Assert(choose(&p, "other", true, time.Second, "payments", "reports"), qt.Equals, fleet.Account("reports"))
	ratio := p.Demand(t0, "payments") / p.Demand(t0, "reports")
	c.Assert(ratio > 3.99 && ratio < 4.01, qt.IsTrue)
	before := p.Demand(t0, "reports")
	p.Want(t0, "reports", 99)
	c.Assert(p.Demand(t0, "reports")-before < 0.001, qt.IsTrue)
}

// Guards against a table that grows with each account that was ever wanted, and against weights that exceed
// the range of a float in a process that runs for months.
func TestDemandIsForgotten(t *testing.T) {
	c := qt.New(t)
	var p connpool.Pool
	for n := range 1000 {
		p.Want(t0, fleet.Account(fmt.Sprint(n)), 1)
	}
	now := t0
	for range 1000 {
		now = now.Add(time.Hour)
		p.Want(now, "a", 1)
		p.Want(now.Add(time.Second), "b", 1)
	}
	c.Assert(p.Demand(now, "a") > 0.04, qt.IsTrue)
	c.Assert(p.Demand(now.Add(time.Second), "b") > p.Demand(now.Add(time.Second), "a"), qt.IsTrue)
	c.Assert(p.Len() <= 2, qt.IsTrue)
}

// Guards against the cost of the choice on hosts with a fifth of a core.
func TestChoiceAllocatesNothing(t *testing.T) {
	c := qt.New(t)
	var p connpool.Pool
	as := make([]fleet.Account, 70)
	for n := range as {
		as[n] = fleet.Account(fmt.Sprint(n))
		p.Opened(as[n])
	}
	p.Account("requester")
	c.Assert(testing.AllocsPerRun(100, func() { choose(&p, "requester", false, time.Second, as...) }), qt.Equals, 0.0)
}

// A choice is always one of the offered connections, never one of the account that wants it or that is waited
// for, and there is one whenever an account has two connections that nobody waits for.
func TestChoiceIsAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p connpool.Pool
		names := []fleet.Account{"a", "b", "c", "d"}
		now := t0.Add(-time.Minute)
		for range rapid.IntRange(0, 40).Draw(t, "wants") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "gap")) * time.Millisecond)
			p.Want(now, rapid.SampledFrom(names).Draw(t, "account"), fleet.Priority(rapid.IntRange(-1, 12).Draw(t, "priority")))
		}
		var conns []fleet.Account
		count := map[fleet.Account]int{}
		waits := map[fleet.Account]bool{}
		for range rapid.IntRange(0, 10).Draw(t, "connections") {
			a := rapid.SampledFrom(names).Draw(t, "owner")
			p.Opened(a)
			conns = append(conns, a)
			count[a]++
		}
		for _, a := range names {
			if waits[a] = rapid.Bool().Draw(t, "waits"); waits[a] {
				p.Account(a).SetWaiting(t0)
			}
		}
		got := choose(&p, "a", rapid.Bool().Draw(t, "idleSlot"), 0, conns...)
		if got == "a" || waits[got] {
			t.Fatalf("evicted a connection of %q", got)
		}
		for a, n := range count {
			if n > 1 && a != "a" && !waits[a] && got == "" {
				t.Fatalf("no connection was chosen although %q has %d", a, n)
			}
		}
	})
}
