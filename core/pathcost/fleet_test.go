package pathcost_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"skylarkdeal/core/pathcost"
)

// interval is a part of the simulated time, without its end.
type interval struct{ from, to time.Duration }

func (i interval) contains(t time.Duration) bool { return t >= i.from && t < i.to }

// instance is a simulated database instance.
type instance struct {
	centre        string
	slots         int
	statementTime time.Duration
	primary       bool
	// slow is when the instance's statements take ten times as long.
	slow interval

	busy  int
	queue []*request
}

// entryHosts simulates the hosts of one data centre, with the latencies that they have measured themselves.
type entryHosts struct {
	centre string
	// rate is in reads a second; during surgeTime it is multiplied by surgeFactor.
	rate float64
	// writes is in writes a second. They go to the primary only.
	writes      float64
	surgeFactor float64
	surgeTime   interval

	latency    []time.Duration
	measuredAt []time.Duration
	running    []int
}

// request is a simulated read or write in progress.
type request struct {
	from   *entryHosts
	to     int
	sentAt time.Duration
	write  bool
}

// simulation runs a fleet and its load in virtual time.
type simulation struct {
	target    time.Duration
	entries   []*entryHosts
	instances []*instance

	now      time.Duration
	events   eventQueue
	rand     *rand.Rand
	outcomes []outcome
}

// outcome records one answered request.
type outcome struct {
	centre string
	sentAt time.Duration
	took   time.Duration
	remote bool
	write  bool
}

const (
	// remoteRoundTrip is the round trip to another data centre.
	remoteRoundTrip = 2 * time.Millisecond
	// latencyLifetime is how long a measured latency is used.
	latencyLifetime = 2 * time.Second
)

// run simulates the given time.
func (s *simulation) run(length time.Duration) {
	s.rand = rand.New(rand.NewPCG(1, 2)) //nolint:gosec // a fixed seed
	for _, e := range s.entries {
		n := len(s.instances)
		e.latency, e.measuredAt, e.running = make([]time.Duration, n), make([]time.Duration, n), make([]int, n)
		s.arrive(e)
		s.sendWrite(e)
	}
	for len(s.events) > 0 && s.events[0].at < length {
		e, _ := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

func (s *simulation) schedule(d time.Duration, do func()) { heap.Push(&s.events, event{s.now + d, do}) }

func (s *simulation) arrive(e *entryHosts) {
	rate := e.rate
	if e.surgeTime.contains(s.now) {
		rate *= e.surgeFactor
	}
	s.schedule(time.Duration(s.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		s.sendRead(e)
		s.arrive(e)
	})
}

// sendWrite sends writes to the primary, which is the first instance.
func (s *simulation) sendWrite(e *entryHosts) {
	if e.writes == 0 {
		return
	}
	s.schedule(time.Duration(s.rand.ExpFloat64()/e.writes*float64(time.Second)), func() {
		r := &request{from: e, sentAt: s.now, write: true}
		e.running[0]++
		s.schedule(s.roundTrip(r)/2, func() { s.start(r) })
		s.sendWrite(e)
	})
}

// sendRead sends a read to the instance with the lowest cost.
func (s *simulation) sendRead(e *entryHosts) {
	best, lowest := 0, time.Duration(-1)
	for n, i := range s.instances {
		path := pathcost.Path{
			Latency: e.latency[n], Running: e.running[n], Slots: i.slots, Remote: i.centre != e.centre, PrimaryRead: i.primary,
		}
		if s.now-e.measuredAt[n] > latencyLifetime {
			path.Latency = 0
		}
		if c := path.Cost(s.target); lowest < 0 || c < lowest {
			best, lowest = n, c
		}
	}
	r := &request{from: e, to: best, sentAt: s.now}
	e.running[best]++
	s.schedule(s.roundTrip(r)/2, func() { s.start(r) })
}

func (s *simulation) roundTrip(r *request) time.Duration {
	if s.instances[r.to].centre != r.from.centre {
		return remoteRoundTrip
	}
	return 0
}

func (s *simulation) start(r *request) {
	i := s.instances[r.to]
	if i.busy >= i.slots {
		i.queue = append(i.queue, r)
		return
	}
	i.busy++
	work := time.Duration((0.3 + 1.4*s.rand.Float64()) * float64(i.statementTime))
	if i.slow.contains(s.now) {
		work *= 10
	}
	s.schedule(work, func() {
		i.busy--
		s.schedule(s.roundTrip(r)/2, func() { s.finish(r) })
		if len(i.queue) > 0 {
			next := i.queue[0]
			i.queue = i.queue[1:]
			s.start(next)
		}
	})
}

func (s *simulation) finish(r *request) {
	e, took := r.from, s.now-r.sentAt
	e.running[r.to]--
	if e.latency[r.to] == 0 {
		e.latency[r.to] = took
	}
	e.latency[r.to] += (took - e.latency[r.to]) / 8
	e.measuredAt[r.to] = s.now
	s.outcomes = append(s.outcomes, outcome{e.centre, r.sentAt, took, s.instances[r.to].centre != e.centre, r.write})
}

// share returns which fraction of the outcomes chosen by selected satisfies holds.
func (s *simulation) share(selected, holds func(o outcome) bool) float64 {
	total, matching := 0, 0
	for _, o := range s.outcomes {
		if selected(o) {
			total++
			if holds(o) {
				matching++
			}
		}
	}
	return float64(matching) / float64(max(total, 1))
}

type event struct {
	at time.Duration
	do func()
}

// eventQueue is a heap of events.
type eventQueue []event

func (a eventQueue) Len() int           { return len(a) }
func (a eventQueue) Less(i, j int) bool { return a[i].at < a[j].at }
func (a eventQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *eventQueue) Push(x any) {
	e, _ := x.(event)
	*a = append(*a, e)
}

// Pop implements heap.Interface.
func (a *eventQueue) Pop() any {
	last := len(*a) - 1
	e := (*a)[last]
	*a = (*a)[:last]
	return e
}
