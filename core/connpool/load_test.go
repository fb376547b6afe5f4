package connpool_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/connpool"
	"skylarkdeal/core/fleet"
)

const (
	accounts    = 84
	connections = 42
	slots       = 4
	connectTime = 12 * time.Millisecond
	target      = 200 * time.Millisecond
	switchDelay = 5 * time.Millisecond
	tick        = 5 * time.Millisecond
)

// rule chooses the idle connection to evict for an account, -1 for none.
type rule func(l *load, now time.Time, a fleet.Account) int

type conn struct {
	account            fleet.Account
	demand             *connpool.Account
	open, busy, closed bool
	since              time.Time
}

type request struct {
	account  fleet.Account
	at       time.Time
	work     time.Duration
	dialling *conn
}

// job is work that takes a slot of the instance.
type job struct {
	took time.Duration
	done func(now time.Time)
}

type event struct {
	at time.Time
	f  func(now time.Time)
}

// load is one instance with its connections and the requests that wait for one.
type load struct {
	rule    rule
	pool    connpool.Pool
	conns   []*conn
	waiting []*request
	jobs    []job
	free    int
	// events are those that follow from arrivals.
	events []event
	// requests that arrive between from and until count.
	from, until time.Time
	opened      int
	arrived     map[fleet.Account]int
	served      map[fleet.Account]int
	took        []time.Duration
	slotTime    time.Duration
}

func (l *load) at(t time.Time, f func(time.Time)) {
	n, _ := slices.BinarySearchFunc(l.events, t, func(e event, t time.Time) int {
		if e.at.After(t) {
			return 1
		}
		return -1
	})
	l.events = slices.Insert(l.events, n, event{t, f})
}

func (l *load) work(now time.Time, j job) {
	l.jobs = append(l.jobs, j)
	l.startJobs(now)
}

func (l *load) startJobs(now time.Time) {
	for l.free > 0 && len(l.jobs) > 0 {
		j := l.jobs[0]
		l.jobs = l.jobs[1:]
		l.free--
		l.slotTime += j.took
		l.at(now.Add(j.took), func(now time.Time) {
			l.free++
			j.done(now)
			l.startJobs(now)
		})
	}
}

func (l *load) arrive(now time.Time, r *request) {
	if l.counts(r) {
		l.arrived[r.account]++
	}
	l.pool.Want(now, r.account, fleet.DefaultPriority)
	l.waiting = append(l.waiting, r)
	l.dispatch(now)
}

func (l *load) counts(r *request) bool { return !r.at.Before(l.from) && r.at.Before(l.until) }

func (l *load) dispatch(now time.Time) {
	for n := 0; n < len(l.waiting); {
		r := l.waiting[n]
		if now.Sub(r.at) > target {
			l.waiting = slices.Delete(l.waiting, n, n+1)
			continue
		}
		if l.start(now, r) {
			l.waiting = slices.Delete(l.waiting, n, n+1)
			continue
		}
		n++
	}
}

// start runs a request on an idle connection of its account, or asks for one.
func (l *load) start(now time.Time, r *request) bool {
	for _, c := range l.conns {
		if c.open && !c.busy && c.account == r.account {
			l.run(now, r, c)
			return true
		}
	}
	if r.dialling == nil || r.dialling.closed {
		r.dialling = l.connect(now, r)
	}
	return false
}

func (l *load) run(now time.Time, r *request, c *conn) {
	c.busy, c.since = true, now
	l.work(now, job{r.work, func(now time.Time) {
		c.busy, c.since = false, now
		if took := now.Sub(r.at); took <= target && l.counts(r) {
			l.served[r.account]++
			l.took = append(l.took, took)
		}
		l.dispatch(now)
	}})
}

// connect follows the relay's rules on when a connection is made.
func (l *load) connect(now time.Time, r *request) *conn {
	running, own := 0, false
	for _, c := range l.conns {
		if c.busy {
			running++
			own = own || c.account == r.account
		}
	}
	if own && running >= slots {
		return nil
	}
	if len(l.conns) < connections {
		return l.dial(now, r.account)
	}
	for _, o := range l.waiting {
		l.pool.Account(o.account).SetWaiting(now)
	}
	n := l.rule(l, now, r.account)
	if n < 0 {
		return nil
	}
	c := l.conns[n]
	if now.Sub(c.since) < switchDelay && now.Sub(r.at) < 2*switchDelay {
		return nil
	}
	c.closed = true
	c.demand.Closed()
	l.conns = slices.Delete(l.conns, n, n+1)
	return l.dial(now, r.account)
}

func (l *load) dial(now time.Time, a fleet.Account) *conn {
	l.opened++
	c := &conn{account: a, demand: l.pool.Opened(a), since: now}
	l.conns = append(l.conns, c)
	l.work(now, job{connectTime, func(now time.Time) {
		c.open, c.since = true, now
		l.dispatch(now)
	}})
	return c
}

func idle(c *conn) bool { return c.open && !c.busy }

// mostConnections evicts the connection that has been idle longest of the account with the most.
func mostConnections(l *load, _ time.Time, a fleet.Account) int {
	counts := map[fleet.Account]int{}
	for _, c := range l.conns {
		counts[c.account]++
	}
	best := -1
	for n, c := range l.conns {
		if !idle(c) || c.account == a {
			continue
		}
		if best < 0 || counts[c.account] > counts[l.conns[best].account] ||
			counts[c.account] == counts[l.conns[best].account] && c.since.Before(l.conns[best].since) {
			best = n
		}
	}
	return best
}

func longestIdle(l *load, _ time.Time, a fleet.Account) int {
	best := -1
	for n, c := range l.conns {
		if idle(c) && c.account != a && (best < 0 || c.since.Before(l.conns[best].since)) {
			best = n
		}
	}
	return best
}

// byDemand evicts by the package's rule.
func byDemand(l *load, now time.Time, a fleet.Account) int {
	return l.evict(l.pool.Evict(now, a, l.inUse() < slots))
}

// byDemandFreely is byDemand without hysteresis.
func byDemandFreely(l *load, now time.Time, a fleet.Account) int {
	return l.evict(l.pool.Evict(now, a, true))
}

// inUse counts the connections that take a slot.
func (l *load) inUse() int {
	n := 0
	for _, c := range l.conns {
		if !idle(c) {
			n++
		}
	}
	return n
}

// byDemandStrictly is byDemand without regard to idle slots.
func byDemandStrictly(l *load, now time.Time, a fleet.Account) int {
	return l.evict(l.pool.Evict(now, a, false))
}

func (l *load) evict(e connpool.Eviction) int {
	for n, c := range l.conns {
		if idle(c) {
			e.Offer(n, c.demand, c.since)
		}
	}
	if n, ok := e.Choice(); ok {
		return n
	}
	return -1
}

type result struct {
	served, worst float64
	p50, p99      time.Duration
	opened        int
	slots         float64
}

func (r result) String() string {
	return fmt.Sprintf("served in time %.4f, worst account %.3f, p50 %.1f ms, p99 %.1f ms, %d connections, slots %.2f",
		r.served, r.worst, r.p50.Seconds()*1e3, r.p99.Seconds()*1e3, r.opened, r.slots)
}

const (
	warmUp   = 10 * time.Second
	loadTime = 20 * time.Second
)

// replay plays arrivals at the given rate; rank r has a weight of 1/r^skew. Statements take 3 to 15 ms. What
// arrives during the warm-up doesn't count.
func replay(rl rule, rate, skew float64, seed uint64) result {
	start := time.Unix(1000, 0)
	l := &load{
		rule: rl, free: slots, from: start.Add(warmUp), until: start.Add(loadTime - 2*target),
		arrived: map[fleet.Account]int{}, served: map[fleet.Account]int{},
	}
	end := start.Add(loadTime)
	outside := l.arrivals(start, end, rate, skew, rand.New(rand.NewPCG(seed, 1)))
	for t := start; t.Before(end); t = t.Add(tick) {
		outside = append(outside, event{t, l.dispatch})
	}
	outside = append(outside, event{l.from, func(time.Time) { l.opened, l.slotTime = 0, 0 }})
	slices.SortStableFunc(outside, func(a, b event) int { return a.at.Compare(b.at) })
	for _, x := range outside {
		for len(l.events) > 0 && !l.events[0].at.After(x.at) {
			e := l.events[0]
			l.events = l.events[1:]
			e.f(e.at)
		}
		x.f(x.at)
	}
	return l.result()
}

func (l *load) arrivals(start, end time.Time, rate, skew float64, r *rand.Rand) []event {
	weights := make([]float64, accounts)
	sum := 0.0
	for n := range weights {
		weights[n] = math.Pow(float64(n+1), -skew)
		sum += weights[n]
	}
	var out []event
	for n, w := range weights {
		a := fleet.Account(fmt.Sprintf("account-%02d", n+1))
		for t := start; t.Before(end); {
			t = t.Add(time.Duration(r.ExpFloat64() / (rate * w / sum) * float64(time.Second)))
			work := 3*time.Millisecond + time.Duration(r.Int64N(int64(12*time.Millisecond)))
			out = append(out, event{t, func(now time.Time) { l.arrive(now, &request{account: a, at: t, work: work}) }})
		}
	}
	return out
}

func (l *load) result() result {
	out := result{opened: l.opened, slots: l.slotTime.Seconds() / (loadTime - warmUp).Seconds(), worst: 1}
	served, arrived := 0, 0
	for a, n := range l.arrived {
		served, arrived = served+l.served[a], arrived+n
		out.worst = min(out.worst, float64(l.served[a])/float64(n))
	}
	out.served = float64(served) / float64(arrived)
	slices.Sort(l.took)
	if len(l.took) == 0 {
		return out
	}
	out.p50, out.p99 = l.took[len(l.took)/2], l.took[len(l.took)*99/100]
	return out
}

// Guards against more connections than the work needs. An account's operation took the connection of the
// account that had the most, which was the one whose next statement was nearest, and its connection was opened
// again.
func TestSkewedDemandOpensFewerConnections(t *testing.T) {
	c := qt.New(t)
	for _, rate := range []float64{200, 300} {
		before, now := replay(mostConnections, rate, 1.2, 1), replay(byDemand, rate, 1.2, 1)
		oldest := replay(longestIdle, rate, 1.2, 1)
		c.Logf("%v a second\nmost connections: %v\nlongest idle: %v\nby demand: %v", rate, before, oldest, now)
		c.Assert(now.served >= before.served, qt.IsTrue)
		c.Assert(now.p99 < before.p99, qt.IsTrue)
		c.Assert(float64(now.opened) < 0.75*float64(before.opened), qt.IsTrue)
		c.Assert(now.opened < oldest.opened, qt.IsTrue)
	}
}

// Guards against an instance whose slots do nothing but open connections. With even demand for twice as many
// accounts as connections, each statement took the connection that another account needed next.
func TestEvenDemandDoesNotFillTheSlotsWithNewConnections(t *testing.T) {
	c := qt.New(t)
	before, now := replay(mostConnections, 250, 0, 1), replay(byDemand, 250, 0, 1)
	c.Logf("most connections: %v\nby demand: %v", before, now)
	c.Assert(before.served < 0.5, qt.IsTrue)
	c.Assert(now.served > 0.98, qt.IsTrue)
	c.Assert(now.worst > 0.9, qt.IsTrue)
	freely := replay(byDemandFreely, 250, 0, 1)
	c.Logf("without hysteresis: %v", freely)
	c.Assert(freely.served < now.served, qt.IsTrue)
}

// Guards against requests that are refused although the instance has idle slots: the accounts that have
// connections would keep them, and the others would get none within the time that their callers wait.
func TestIdleSlotOpensAConnection(t *testing.T) {
	c := qt.New(t)
	before, now := replay(mostConnections, 150, 0, 1), replay(byDemand, 150, 0, 1)
	strictly := replay(byDemandStrictly, 150, 0, 1)
	c.Logf("most connections: %v\nby demand: %v\nregardless of slots: %v", before, now, strictly)
	c.Assert(now.served >= before.served, qt.IsTrue)
	c.Assert(now.worst >= before.worst, qt.IsTrue)
	c.Assert(strictly.served < 0.95, qt.IsTrue)
}
