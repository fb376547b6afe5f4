package backpressure_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/backpressure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/internal/eventqueue"
)

const (
	hop      = 4 * time.Millisecond
	work     = 10 * time.Millisecond
	slots    = 2
	maxWait  = 100 * time.Millisecond
	duration = 10 * time.Second
)

// fleetSim is entry hosts in front of one holder, whose queue refuses what it can't start in time only once
// that has waited in vain.
type fleetSim struct {
	now     time.Duration
	random  *rand.Rand
	events  eventqueue.Queue
	entries []*backpressure.Reports
	on      bool

	queue []request
	busy  int

	sent, hops, served, refused, refusedSoon int
	// refusedLater counts the refusals after the load has ended.
	refusedLater int
}

type request struct {
	entry *backpressure.Reports
	at    time.Duration
}

func newFleetSim(on bool) *fleetSim {
	s := &fleetSim{random: rand.New(rand.NewPCG(7, 8)), on: on}
	for range 8 {
		s.entries = append(s.entries, &backpressure.Reports{})
	}
	return s
}

func (s *fleetSim) clock() time.Time { return epoch.Add(s.now) }

// run plays perSecond requests a second for duration, and a tenth of the capacity for a second after it.
func (s *fleetSim) run(perSecond float64) {
	s.repeat(0, duration, perSecond)
	s.repeat(duration+300*time.Millisecond, duration+time.Second, 20)
	for {
		at, do, ok := s.events.Next(math.MaxInt64)
		if !ok {
			return
		}
		s.now = at
		do()
	}
}

func (s *fleetSim) repeat(from, until time.Duration, perSecond float64) {
	at := from + time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second))
	if at >= until {
		return
	}
	s.events.Add(at, func() {
		s.arrive(request{s.entries[s.random.IntN(len(s.entries))], at})
		s.repeat(at, until, perSecond)
	})
}

func (s *fleetSim) arrive(r request) {
	s.sent++
	deadline := epoch.Add(r.at + maxWait)
	if s.on && r.entry.Overdue(s.clock(), orders, fleet.DefaultPriority, deadline) && !r.entry.Probe(orders) {
		s.refuse(r)
		return
	}
	s.hops++
	s.events.Add(s.now+hop, func() {
		s.queue = append(s.queue, r)
		s.events.Add(r.at+maxWait, s.expire)
		s.start()
	})
}

func (s *fleetSim) refuse(r request) {
	s.refused++
	if s.now-r.at <= 10*time.Millisecond {
		s.refusedSoon++
	}
	if s.now > duration+300*time.Millisecond {
		s.refusedLater++
	}
}

func (s *fleetSim) start() {
	for s.busy < slots && len(s.queue) > 0 {
		r := s.queue[0]
		s.queue = s.queue[1:]
		s.busy++
		s.events.Add(s.now+work, func() {
			s.busy--
			s.reply(r, func() { s.served++ })
			s.start()
		})
	}
}

// expire refuses the requests that have waited for too long.
func (s *fleetSim) expire() {
	for len(s.queue) > 0 && s.now-s.queue[0].at >= maxWait {
		r := s.queue[0]
		s.queue = s.queue[1:]
		s.reply(r, func() { s.refuse(r) })
	}
}

// reply sends the answer with the load that the holder has now.
func (s *fleetSim) reply(r request, do func()) {
	l := loadOf(time.Duration(len(s.queue)) * work / slots)
	s.events.Add(s.now+hop, func() {
		r.entry.Add(s.clock(), orders, l)
		do()
	})
}

// Entry hosts forward four times of what a holder can run. Guards against requests that cross a link and wait
// at the holder, only to be refused there after their time is over.
func TestOverdueRequestsAreRefusedBeforeTheHop(t *testing.T) {
	c := qt.New(t)
	off, on := newFleetSim(false), newFleetSim(true)
	off.run(800)
	on.run(800)
	for n, s := range map[string]*fleetSim{"without reports": off, "with reports": on} {
		t.Logf("%s: %d requests, %d hops, %d served, %d refused, %.3f of them within 10 ms",
			n, s.sent, s.hops, s.served, s.refused, float64(s.refusedSoon)/float64(s.refused))
	}
	c.Check(on.served*100 >= off.served*97, qt.IsTrue, qt.Commentf("%d and %d", on.served, off.served))
	c.Check(on.hops*2 < off.hops, qt.IsTrue, qt.Commentf("%d and %d", on.hops, off.hops))
	c.Check(on.refusedSoon*2 > on.refused, qt.IsTrue, qt.Commentf("%d of %d", on.refusedSoon, on.refused))
	c.Check(off.refusedSoon, qt.Equals, 0)
	c.Check(on.refusedLater, qt.Equals, 0, qt.Commentf("refused although the holder is idle again"))
}
