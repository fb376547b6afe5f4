package pathcost_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"skylarkdeal/core/pathcost"
)

// span is a stretch of a play.
type span struct{ from, to time.Duration }

func (s span) has(t time.Duration) bool { return t >= s.from && t < s.to }

// instance is one instance of a play.
type instance struct {
	centre string
	slots  int
	work   time.Duration
	// leads is set for the primary.
	leads bool
	// slow is when its statements take ten times as long.
	slow span

	busy  int
	queue []*read
}

// entry is the hosts of one data centre, who know of the instances what they have seen themselves.
type entry struct {
	centre string
	// rate is the reads a second, surge what it is times as much during a stretch.
	rate float64
	// orders go to the primary only.
	orders float64
	surge  float64
	when   span

	took  []time.Duration
	at    []time.Duration
	ahead []int
}

// read is one read on its way.
type read struct {
	from  *entry
	to    int
	asked time.Duration
	order bool
}

// play is a fleet with its load.
type play struct {
	target    time.Duration
	entries   []*entry
	instances []*instance

	now   time.Duration
	next  agenda
	rand  *rand.Rand
	reads []outcome
}

// outcome is how one read went.
type outcome struct {
	centre string
	asked  time.Duration
	took   time.Duration
	far    bool
	order  bool
}

const (
	// crossing is a round trip to another data centre.
	crossing = 2 * time.Millisecond
	// known is how long a measured time counts.
	known = 2 * time.Second
)

// run plays for some time.
func (p *play) run(length time.Duration) {
	p.rand = rand.New(rand.NewPCG(1, 2)) //nolint:gosec // a fixed seed
	for _, e := range p.entries {
		n := len(p.instances)
		e.took, e.at, e.ahead = make([]time.Duration, n), make([]time.Duration, n), make([]int, n)
		p.arrive(e)
		p.order(e)
	}
	for len(p.next) > 0 && p.next[0].at < length {
		e, _ := heap.Pop(&p.next).(event)
		p.now = e.at
		e.do()
	}
}

func (p *play) after(d time.Duration, do func()) { heap.Push(&p.next, event{p.now + d, do}) }

func (p *play) arrive(e *entry) {
	rate := e.rate
	if e.when.has(p.now) {
		rate *= e.surge
	}
	p.after(time.Duration(p.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		p.place(e)
		p.arrive(e)
	})
}

// order sends an order to the primary, which is the first instance.
func (p *play) order(e *entry) {
	if e.orders == 0 {
		return
	}
	p.after(time.Duration(p.rand.ExpFloat64()/e.orders*float64(time.Second)), func() {
		r := &read{from: e, asked: p.now, order: true}
		e.ahead[0]++
		p.after(p.way(r)/2, func() { p.begin(r) })
		p.order(e)
	})
}

// place sends a read the cheapest way.
func (p *play) place(e *entry) {
	best, least := 0, time.Duration(-1)
	for n, i := range p.instances {
		w := pathcost.Path{
			Latency: e.took[n], Running: e.ahead[n], Slots: i.slots, Remote: i.centre != e.centre, PrimaryRead: i.leads,
		}
		if p.now-e.at[n] > known {
			w.Latency = 0
		}
		if c := w.Cost(p.target); least < 0 || c < least {
			best, least = n, c
		}
	}
	r := &read{from: e, to: best, asked: p.now}
	e.ahead[best]++
	p.after(p.way(r)/2, func() { p.begin(r) })
}

func (p *play) way(r *read) time.Duration {
	if p.instances[r.to].centre != r.from.centre {
		return crossing
	}
	return 0
}

func (p *play) begin(r *read) {
	i := p.instances[r.to]
	if i.busy >= i.slots {
		i.queue = append(i.queue, r)
		return
	}
	i.busy++
	work := time.Duration((0.3 + 1.4*p.rand.Float64()) * float64(i.work))
	if i.slow.has(p.now) {
		work *= 10
	}
	p.after(work, func() {
		i.busy--
		p.after(p.way(r)/2, func() { p.end(r) })
		if len(i.queue) > 0 {
			next := i.queue[0]
			i.queue = i.queue[1:]
			p.begin(next)
		}
	})
}

func (p *play) end(r *read) {
	e, took := r.from, p.now-r.asked
	e.ahead[r.to]--
	if e.took[r.to] == 0 {
		e.took[r.to] = took
	}
	e.took[r.to] += (took - e.took[r.to]) / 8
	e.at[r.to] = p.now
	p.reads = append(p.reads, outcome{e.centre, r.asked, took, p.instances[r.to].centre != e.centre, r.order})
}

// share returns the part of the reads chosen by one that another holds for.
func (p *play) share(of, holds func(o outcome) bool) float64 {
	all, some := 0, 0
	for _, o := range p.reads {
		if of(o) {
			all++
			if holds(o) {
				some++
			}
		}
	}
	return float64(some) / float64(max(all, 1))
}

type event struct {
	at time.Duration
	do func()
}

// agenda is a heap of events.
type agenda []event

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }

// Push is heap.Interface's.
func (a *agenda) Push(x any) {
	e, _ := x.(event)
	*a = append(*a, e)
}

// Pop is heap.Interface's.
func (a *agenda) Pop() any {
	last := len(*a) - 1
	e := (*a)[last]
	*a = (*a)[:last]
	return e
}
