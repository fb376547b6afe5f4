package admit_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"skylarkdeal/core/admit"
	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
)

// TestMain fixes the seed, so that each run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func ExampleQueue() {
	var q admit.Queue
	now := time.Unix(0, 0)
	for key := range uint64(3) {
		q.Enqueue(now, admit.Item{Key: key, Account: "hotel", Intent: exchange.IntentWrite})
	}
	q.Enqueue(now, admit.Item{Key: 9, Account: "bakery", Intent: exchange.IntentWrite})
	alwaysFits := func(admit.Item) bool { return true }
	for range 4 {
		i, _ := q.Next(now, alwaysFits)
		fmt.Println(i.Account, i.Key)
	}
	// Output:
	// bakery 9
	// hotel 0
	// hotel 1
	// hotel 2
}

const second = time.Second

// loadsWithFlood returns the loads of seven accounts at their rate and of an
// eighth at floodFactor times its rate: 1, without a flood, or 10. With writes of
// 4 ms on two slots, 500 a second can be served.
func loadsWithFlood(floodFactor float64) []load {
	var out []load
	for i := range 7 {
		out = append(out, load{
			account: fleet.Account(fmt.Sprintf("a%d", i)), weight: 50, perSecond: 50,
			slotTime: 4 * time.Millisecond, intent: exchange.IntentWrite,
		})
	}
	return append(out, load{
		account: "flood", weight: 50, perSecond: 50 * floodFactor,
		slotTime: 4 * time.Millisecond, intent: exchange.IntentWrite,
	})
}

// One account sends ten times its rate. The others, all within their rate, must
// be served as without the flood. Only the flood is refused, at once and with a
// time to retry.
func TestFloodTakesNothingFromOthers(t *testing.T) {
	c := qt.New(t)
	without, with := newService(), newService()
	without.run(30*second, loadsWithFlood(1)...)
	with.run(30*second, loadsWithFlood(10)...)
	worst := 1.0
	slowest := time.Duration(0)
	for _, l := range loadsWithFlood(1)[:7] {
		worst = min(worst, with.outcomes[l.account].servedFraction()/without.outcomes[l.account].servedFraction())
		slowest = max(slowest, with.outcomes[l.account].p99())
		t.Logf("%s p99 wait %v, with the flood %v",
			l.account, without.outcomes[l.account].p99(), with.outcomes[l.account].p99())
	}
	c.Check(slowest < 100*time.Millisecond, qt.IsTrue,
		qt.Commentf("p99 wait %v isn't below a third of the timeout", slowest))
	f := with.outcomes["flood"]
	t.Logf("worst-served account with the flood / without: %.4f; flood served %.3f of what it sent",
		worst, f.servedFraction())
	c.Check(worst >= 0.95, qt.IsTrue, qt.Commentf("%.3f", worst))
	c.Check(f.served >= without.outcomes["flood"].served, qt.IsTrue,
		qt.Commentf("the flood gets the slot time that the others leave"))
	c.Check(f.withoutRetryAfter, qt.Equals, 0)
}

// One account sends as many statements as the others, but they take ten times
// the slot time: the fair order goes by slot time, not by number.
func TestHeavyStatementsAreChargedForTheirTime(t *testing.T) {
	c := qt.New(t)
	loads := loadsWithFlood(1)
	loads[7].slotTime = 40 * time.Millisecond
	s := newService()
	s.run(30*second, loads...)
	for _, l := range loads[:7] {
		c.Check(s.outcomes[l.account].servedFraction() >= 0.95, qt.IsTrue,
			qt.Commentf("%s %.3f", l.account, s.outcomes[l.account].servedFraction()))
	}
}

// All accounts together send three times what the group can serve. Each gets
// its share by weight, the slots stay busy, few answers come too late to be of
// use, and callers are refused long before the deadline.
func TestSaturationSharesByWeight(t *testing.T) {
	c := qt.New(t)
	s := newService()
	loads := []load{
		{account: "large", weight: 300, perSecond: 750}, {account: "small", weight: 100, perSecond: 750},
	}
	for i := range loads {
		loads[i].slotTime, loads[i].intent = 4*time.Millisecond, exchange.IntentWrite
	}
	s.run(30*second, loads...)
	large, small := s.outcomes["large"], s.outcomes["small"]
	ratio := float64(large.served) / float64(small.served)
	c.Check(ratio > 2.8 && ratio < 3.2, qt.IsTrue, qt.Commentf("ratio %.2f", ratio))
	c.Check(s.busy >= 57*second, qt.IsTrue, qt.Commentf("busy %v of 60 s", s.busy))
	for _, g := range s.outcomes {
		c.Check(float64(g.late) <= 0.02*float64(g.served), qt.IsTrue, qt.Commentf("%d of %d late", g.late, g.served))
		c.Check(g.withoutRetryAfter, qt.Equals, 0)
	}
	t.Logf("large/small %.2f, busy %v, late %d+%d, p99 wait %v and %v, slowest refusal %v and %v", ratio, s.busy,
		large.late, small.late, large.p99(), small.p99(), large.refusedAfter, small.refusedAfter)
}

// The primary is fifty times slower than usual, so the writes pile up. The
// reads, which the replicas serve, must not wait behind them.
func TestSlowInstanceHoldsUpNoOther(t *testing.T) {
	c := qt.New(t)
	loads := []load{
		{account: "orders", weight: 100, perSecond: 100, slotTime: 4 * time.Millisecond, intent: exchange.IntentWrite},
		{account: "portal", weight: 100, perSecond: 600, slotTime: 4 * time.Millisecond, intent: exchange.IntentRead},
	}
	s := newService()
	s.instances[0].slowdown = 50
	s.run(30*second, loads...)
	portal := s.outcomes["portal"]
	t.Logf("portal served %.4f, p99 wait %v; orders served %.3f",
		portal.servedFraction(), portal.p99(), s.outcomes["orders"].servedFraction())
	c.Check(portal.servedFraction() >= 0.95, qt.IsTrue)
	// Two slots at 200 ms serve a tenth of the writes; most answers must come in time.
	c.Check(s.outcomes["orders"].servedFraction() >= 0.08, qt.IsTrue,
		qt.Commentf("%.3f", s.outcomes["orders"].servedFraction()))
	c.Check(s.outcomes["orders"].withoutRetryAfter, qt.Equals, 0)
}

// The primary is so slow that every write takes longer than callers wait, and
// then recovers. The queue has to detect that instead of refusing on.
func TestQueueDetectsRecovery(t *testing.T) {
	c := qt.New(t)
	s := newService()
	s.instances[0].slowdown = 200
	s.after(10*second, func() { s.instances[0].slowdown = 1 })
	s.run(30*second, load{
		account: "orders", weight: 100, perSecond: 100, slotTime: 4 * time.Millisecond, intent: exchange.IntentWrite,
	})
	c.Check(s.outcomes["orders"].served >= 1900, qt.IsTrue, qt.Commentf("%d of 2000", s.outcomes["orders"].served))
}

// Reports of 300 ms come among orders of 2 ms, at the one primary with its two
// slots. If reports took both slots, each order would wait for one of them to
// end.
func TestLongWorkLeavesASlot(t *testing.T) {
	c := qt.New(t)
	loads := []load{
		{account: "reports", weight: 100, perSecond: 5, slotTime: 300 * time.Millisecond, intent: exchange.IntentWrite},
		{account: "orders", weight: 100, perSecond: 200, slotTime: 2 * time.Millisecond, intent: exchange.IntentWrite},
	}
	s := newService()
	s.timeout = 2 * second
	s.run(60*second, loads...)
	orders := s.outcomes["orders"]
	t.Logf("orders served %.4f, p99 wait %v; reports served %.3f",
		orders.servedFraction(), orders.p99(), s.outcomes["reports"].servedFraction())
	c.Check(orders.servedFraction() >= 0.99, qt.IsTrue)
	c.Check(orders.p99() < 30*time.Millisecond, qt.IsTrue)
	c.Check(s.outcomes["reports"].servedFraction() > 0.5, qt.IsTrue)
}

// One account sends two hundred exchanges at once. Those that other accounts
// send at the same time must not queue up behind them.
func TestBurstDelaysNoOther(t *testing.T) {
	c := qt.New(t)
	loads := loadsWithFlood(1)
	loads[7] = load{
		account: "burst", weight: 50, burst: 200, from: 5 * second,
		slotTime: 4 * time.Millisecond, intent: exchange.IntentWrite,
	}
	s := newService()
	s.timeout = 3 * second
	s.run(10*second, loads...)
	for _, l := range loads[:7] {
		c.Check(s.outcomes[l.account].servedFraction(), qt.Equals, 1.0)
		c.Check(s.outcomes[l.account].p99() < 50*time.Millisecond, qt.IsTrue)
	}
	c.Check(s.outcomes["burst"].served, qt.Equals, 200)
}

// An open transaction holds a connection, and its next statement comes while
// the queue is full of new requests. It goes first: the others wait for the
// connection that it holds.
func TestOpenTransactionGoesFirst(t *testing.T) {
	c := qt.New(t)
	q := admit.Queue{Limits: admit.Limits{PerAccount: 100, Total: 100}}
	for k := range uint64(150) {
		q.Enqueue(epoch, admit.Item{Key: k, Account: "hotel", Weight: 1})
	}
	v := q.Enqueue(epoch, admit.Item{Key: 1000, Account: "hotel", Weight: 1, Pinned: true})
	c.Assert(v.Refusal == nil, qt.IsTrue, qt.Commentf("accepted although the queue is full"))
	i, ok := q.Next(epoch, func(admit.Item) bool { return true })
	c.Assert(ok, qt.IsTrue)
	c.Assert(i.Key, qt.Equals, uint64(1000))
}

// An account's first statement was expected to be short and held its slot for a
// hundred times as long. The account has used its share, so the others go
// first.
func TestUnexpectedlyLongStatementIsCharged(t *testing.T) {
	c := qt.New(t)
	var q admit.Queue
	alwaysFits := func(admit.Item) bool { return true }
	for k := range uint64(2) {
		q.Enqueue(epoch, admit.Item{Key: k, Account: "a", Weight: 1})
	}
	for k := range uint64(20) {
		q.Enqueue(epoch, admit.Item{Key: 100 + k, Account: "b", Weight: 1})
	}
	i, _ := q.Next(epoch, alwaysFits)
	c.Assert(i.Account, qt.Equals, fleet.Account("a"))
	q.Finished(epoch, i.Key, 100*time.Millisecond)
	for range 20 {
		i, _ = q.Next(epoch, alwaysFits)
		c.Assert(i.Account, qt.Equals, fleet.Account("b"))
	}
}

// A group has lost its primary, and no statement can start. Once exchanges have
// waited for most of their timeout, new ones are refused at once.
func TestStalledQueueRefusesEarly(t *testing.T) {
	c := qt.New(t)
	var q admit.Queue
	offer := func(key uint64, at time.Duration) bool {
		now := epoch.Add(at)
		return q.Enqueue(now, admit.Item{Key: key, Account: "a", Deadline: now.Add(second)}).Refusal == nil
	}
	c.Assert(offer(1, 0), qt.IsTrue)
	c.Assert(offer(2, second/2), qt.IsTrue)
	c.Assert(offer(3, second*9/10), qt.IsFalse)
	q.Next(epoch.Add(second*9/10), func(admit.Item) bool { return true })
	c.Assert(offer(4, second*9/10), qt.IsTrue, qt.Commentf("an item has started"))
}

// TestNothingIsLostOrRunTwice drives a queue at random and accounts for each
// item.
func TestNothingIsLostOrRunTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := admit.Limits{PerAccount: rapid.IntRange(1, 5).Draw(t, "per account"), Total: 8, Slots: 3, WriteSlots: 2}
		q := admit.Queue{Limits: limits}
		now := epoch
		var key uint64
		waiting := map[uint64]admit.Item{}
		running := map[uint64]bool{}
		perAccount := func(a fleet.Account) (n int) {
			for _, i := range waiting {
				if i.Account == a && !i.Pinned {
					n++
				}
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				key++
				i := admit.Item{
					Key: key, Account: rapid.SampledFrom([]fleet.Account{"a", "b", "c"}).Draw(t, "account"),
					Priority: fleet.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
					Weight:   float64(rapid.IntRange(0, 3).Draw(t, "weight")), Pinned: rapid.IntRange(0, 9).Draw(t, "pinned") == 0,
					Intent: rapid.SampledFrom([]exchange.Intent{exchange.IntentRead, exchange.IntentWrite}).Draw(t, "intent"),
				}
				if d := rapid.IntRange(0, 200).Draw(t, "deadline"); d > 0 {
					i.Deadline = now.Add(time.Duration(d) * time.Millisecond)
				}
				v := q.Enqueue(now, i)
				if v.Refusal == nil {
					waiting[key] = i
				}
				for _, r := range v.Displaced {
					if w, found := waiting[r.Item.Key]; !found || w.Priority <= i.Priority || v.Refusal != nil {
						t.Fatalf("%d displaced by %+v: %+v", r.Item.Key, i, v)
					}
					delete(waiting, r.Item.Key)
				}
			},
			"next": func(t *rapid.T) {
				i, ok := q.Next(now, func(admit.Item) bool { return rapid.Bool().Draw(t, "fits") })
				if !ok {
					return
				}
				if _, found := waiting[i.Key]; !found {
					t.Fatalf("%d started again, or after it was refused", i.Key)
				}
				delete(waiting, i.Key)
				running[i.Key] = true
			},
			"finish": func(t *rapid.T) {
				for k := range running {
					q.Finished(now, k, time.Duration(rapid.IntRange(0, 100).Draw(t, "took"))*time.Millisecond)
					delete(running, k)
					return
				}
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
				for _, r := range q.Expire(now) {
					if _, found := waiting[r.Item.Key]; !found {
						t.Fatalf("%d refused, but doesn't wait", r.Item.Key)
					}
					delete(waiting, r.Item.Key)
				}
			},
			"withdraw": func(t *rapid.T) {
				k := rapid.Uint64Range(0, key).Draw(t, "key")
				if _, found := waiting[k]; q.Remove(k) != found {
					t.Fatalf("withdraw %d, waiting %t", k, found)
				}
				delete(waiting, k)
			},
			"": func(t *rapid.T) {
				s := q.State()
				if q.Len() != len(waiting) || s.Running != len(running) {
					t.Fatalf("%d wait, %d run; want %d, %d", q.Len(), s.Running, len(waiting), len(running))
				}
				for _, a := range s.Accounts {
					if a.Waiting > limits.PerAccount || a.Waiting != perAccount(a.Account) {
						t.Fatalf("%+v, want %d", a, perAccount(a.Account))
					}
				}
				if len(waiting) == 0 && s.Backlog != 0 {
					t.Fatalf("backlog %v with nothing waiting", s.Backlog)
				}
				unpinned := s.Pinned
				for _, x := range s.Classes {
					unpinned += x.Waiting
					if x.Waiting == 0 && x.Backlog != 0 {
						t.Fatalf("%+v: backlog with nothing waiting", x)
					}
				}
				if unpinned != len(waiting) {
					t.Fatalf("%d wait by class, want %d", unpinned, len(waiting))
				}
			},
		})
	})
}
