package admit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/admit"
	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
)

func alwaysFits(admit.Item) bool { return true }

// fill adds n writes of one account and class, with increasing keys from first on.
func fill(q *admit.Queue, first uint64, n int, a fleet.Account, p fleet.Priority) {
	for k := range n {
		q.Enqueue(epoch, admit.Item{Key: first + uint64(k), Account: a, Weight: 1, Priority: p})
	}
}

// The queue holds a backlog of reports when payments come. Guards against payments that wait behind them.
func TestMostUrgentClassStartsFirst(t *testing.T) {
	c := qt.New(t)
	var q admit.Queue
	fill(&q, 1, 5, "hotel", 2)
	fill(&q, 100, 5, "hotel", 0)
	for range 5 {
		i, ok := q.Next(epoch, alwaysFits)
		c.Assert(ok, qt.IsTrue)
		c.Assert(i.Priority, qt.Equals, fleet.Priority(0))
		q.Finished(epoch, i.Key, time.Millisecond)
	}
	i, _ := q.Next(epoch, alwaysFits)
	c.Assert(i.Priority, qt.Equals, fleet.Priority(2))
}

// Urgent work alone takes all slots. Guards against less urgent classes that never start: each gets about a
// tenth of the slot time, and not much more, whatever its items take.
func TestWaitingClassKeepsItsShare(t *testing.T) {
	for _, slotTime := range []time.Duration{time.Millisecond, 15 * time.Millisecond, 60 * time.Millisecond} {
		c := qt.New(t)
		var q admit.Queue
		key := uint64(0)
		took := map[fleet.Priority]time.Duration{}
		total := time.Duration(0)
		for range 5000 {
			for _, p := range []fleet.Priority{0, 1, 2} {
				key++
				fill(&q, key, 1, "hotel", p)
			}
			i, _ := q.Next(epoch, alwaysFits)
			d := 3 * time.Millisecond
			if i.Priority == 2 {
				d = slotTime
			}
			q.Finished(epoch, i.Key, d)
			took[i.Priority] += d
			total += d
		}
		for _, p := range []fleet.Priority{1, 2} {
			share := float64(took[p]) / float64(total)
			c.Check(share > 0.08 && share < 0.12, qt.IsTrue, qt.Commentf("%v: class %d got %.3f", slotTime, p, share))
		}
	}
}

// The less urgent class could start nothing for long, as in a failover of what it needs. Guards against a
// saved-up credit with which it would hold up urgent work when it can start again.
func TestShareIsNotSavedUp(t *testing.T) {
	c := qt.New(t)
	var q admit.Queue
	fill(&q, 1, 200, "reports", 2)
	urgentOnly := func(i admit.Item) bool { return i.Priority == 0 }
	for k := range uint64(3000) {
		fill(&q, 1000+k, 1, "payments", 0)
		i, _ := q.Next(epoch, urgentOnly)
		q.Finished(epoch, i.Key, time.Millisecond)
	}
	outOfTurn := 0
	for k := range uint64(200) {
		fill(&q, 10000+k, 1, "payments", 0)
		if i, _ := q.Next(epoch, alwaysFits); i.Priority == 2 {
			outOfTurn++
		}
	}
	c.Check(outOfTurn <= 20+20, qt.IsTrue, qt.Commentf("%d of 200", outOfTurn))
}

// An account's later request has the earlier deadline. Guards against its expiry behind one that has time.
func TestEarliestDeadlineOfAnAccountGoesFirst(t *testing.T) {
	c := qt.New(t)
	var q admit.Queue
	for k, d := range []time.Duration{0, 900, 300, 600, 300} {
		i := admit.Item{Key: uint64(k), Account: "hotel", Weight: 1}
		if d > 0 {
			i.Deadline = epoch.Add(d * time.Millisecond)
		}
		q.Enqueue(epoch, i)
	}
	var order []uint64
	for range 5 {
		i, _ := q.Next(epoch, alwaysFits)
		order = append(order, i.Key)
	}
	c.Assert(order, qt.DeepEquals, []uint64{2, 4, 3, 1, 0})
}

// The first item of a lane has just passed its deadline and is not refused yet. Guards against a slot that
// stays idle while the next item could run.
func TestExpiredItemHoldsUpNoOther(t *testing.T) {
	c := qt.New(t)
	var q admit.Queue
	q.Enqueue(epoch, admit.Item{Key: 1, Account: "hotel", Weight: 1, Deadline: epoch.Add(100 * time.Millisecond)})
	q.Enqueue(epoch, admit.Item{Key: 2, Account: "hotel", Weight: 1, Deadline: epoch.Add(time.Second)})
	i, ok := q.Next(epoch.Add(150*time.Millisecond), alwaysFits)
	c.Assert(ok, qt.IsTrue)
	c.Assert(i.Key, qt.Equals, uint64(2))
	expired := q.Expire(epoch.Add(150 * time.Millisecond))
	c.Assert(expired, qt.HasLen, 1)
	c.Assert(expired[0].Item.Key, qt.Equals, uint64(1))
}

// A burst of reports has filled the queue. Guards against a payment that is refused for want of room: the
// newest report leaves instead and is refused, not run. Work of its own class displaces nothing.
func TestUrgentItemDisplacesTheNewestOfTheLeastUrgent(t *testing.T) {
	c := qt.New(t)
	q := admit.Queue{Limits: admit.Limits{PerAccount: 10, Total: 12}}
	fill(&q, 1, 8, "hotel", 2)
	fill(&q, 50, 4, "bakery", 3)
	v := q.Enqueue(epoch, admit.Item{Key: 100, Account: "hotel", Weight: 1, Priority: 0})
	c.Assert(v.Refusal == nil, qt.IsTrue)
	c.Assert(v.Displaced, qt.HasLen, 1)
	c.Assert(v.Displaced[0].Item.Key, qt.Equals, uint64(53))
	c.Assert(v.Displaced[0].Refusal.RetryAfter > 0, qt.IsTrue)
	c.Assert(q.Remove(53), qt.IsFalse)
	c.Assert(q.Len(), qt.Equals, 12)
	v = q.Enqueue(epoch, admit.Item{Key: 101, Account: "bakery", Weight: 1, Priority: 3})
	c.Assert(v.Refusal != nil, qt.IsTrue)
	c.Assert(v.Displaced, qt.HasLen, 0)
	for _, s := range q.State().Classes {
		c.Check(s.Refused, qt.Equals, map[fleet.Priority]int{3: 2}[s.Priority], qt.Commentf("class %d", s.Priority))
	}
}

// An account has filled its own part of the queue with reports. Guards against its payment that is refused
// for them, and against other accounts' items that would leave for it.
func TestFullAccountDisplacesItsOwn(t *testing.T) {
	c := qt.New(t)
	q := admit.Queue{Limits: admit.Limits{PerAccount: 5, Total: 100}}
	fill(&q, 1, 5, "hotel", 2)
	fill(&q, 50, 4, "bakery", 3)
	v := q.Enqueue(epoch, admit.Item{Key: 100, Account: "hotel", Weight: 1, Priority: 0})
	c.Assert(v.Refusal == nil, qt.IsTrue)
	c.Assert(v.Displaced, qt.HasLen, 1)
	c.Assert(v.Displaced[0].Item.Key, qt.Equals, uint64(5))
}

// Reports wait for longer than a payment may. Guards against payments that are refused for a backlog behind
// which they don't wait, and against reports that are accepted in spite of the payments ahead of them.
func TestExpectedWaitCountsWhatIsAhead(t *testing.T) {
	c := qt.New(t)
	q := admit.Queue{Limits: admit.Limits{Slots: 2, WriteSlots: 2}}
	fill(&q, 1, 200, "hotel", 2)
	c.Assert(q.ExpectedWait(epoch, 0), qt.Equals, time.Duration(0))
	fill(&q, 1000, 100, "hotel", 1)
	c.Assert(q.ExpectedWait(epoch, 0), qt.Equals, time.Duration(0))
	wait := q.ExpectedWait(epoch, 2)
	c.Assert(wait >= 5*time.Millisecond && wait <= 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", wait))
	offer := func(key uint64, p fleet.Priority) bool {
		// 300 items of 1 ms are ahead of one more report, on two slots.
		i := admit.Item{Key: key, Account: "hotel", Weight: 1, Priority: p, Deadline: epoch.Add(140 * time.Millisecond)}
		return q.Enqueue(epoch, i).Refusal == nil
	}
	c.Assert(offer(2000, 0), qt.IsTrue)
	c.Assert(offer(2001, 2), qt.IsFalse)
}

// Many accounts have one item each waiting. Guards against an estimate of no wait for one more account,
// which would find out only by waiting that it can't be served.
func TestExpectedWaitCountsOtherAccounts(t *testing.T) {
	c := qt.New(t)
	q := admit.Queue{Limits: admit.Limits{Slots: 2, WriteSlots: 2}}
	for k := range uint64(100) {
		q.Enqueue(epoch, admit.Item{Key: k, Account: fleet.Account(string(rune('A' + k))), Weight: 1})
	}
	c.Assert(q.ExpectedWait(epoch, 0), qt.Equals, 50*time.Millisecond)
}

// An earlier build or a mistake names a priority that there isn't. Guards against a panic or a lost item.
func TestPriorityOutOfRangeCountsAsTheNearest(t *testing.T) {
	c := qt.New(t)
	var q admit.Queue
	for k, p := range []fleet.Priority{99, -5} {
		c.Assert(q.Enqueue(epoch, admit.Item{Key: uint64(k), Account: "hotel", Priority: p}).Refusal == nil, qt.IsTrue)
	}
	i, _ := q.Next(epoch, alwaysFits)
	c.Assert(i.Key, qt.Equals, uint64(1))
	c.Assert(q.WaitingByPriority(), qt.DeepEquals, map[fleet.Priority]int{fleet.MaxPriority: 1})
	c.Assert(q.ExpectedWait(epoch, 99) >= 0, qt.IsTrue)
}

// benchmarkQueue runs a queue in which 100 accounts wait, with priorities from 0 to classes-1.
func benchmarkQueue(b *testing.B, classes int) {
	var q admit.Queue
	key := uint64(0)
	add := func() {
		key++
		q.Enqueue(epoch, admit.Item{
			Key: key, Account: fleet.Account(rune('A' + key%100)), Weight: 1, Intent: exchange.IntentRead,
			Priority: fleet.Priority(key % uint64(classes)), Deadline: epoch.Add(time.Hour),
		})
	}
	for range 300 {
		add()
	}
	for b.Loop() {
		add()
		i, _ := q.Next(epoch, alwaysFits)
		q.Finished(epoch, i.Key, time.Millisecond)
	}
}

func BenchmarkOneClass(b *testing.B)     { benchmarkQueue(b, 1) }
func BenchmarkThreeClasses(b *testing.B) { benchmarkQueue(b, 3) }
