package limiter_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/limiter"
	"skylarkdeal/internal/eventqueue"
)

var epoch = time.Unix(1_700_000_000, 0)

// route is what callers of one priority send to each host, as a Poisson process.
type route struct {
	priority  fleet.Priority
	perSecond float64
	work      time.Duration
	target    time.Duration
}

// statement is one statement of a route.
type statement struct {
	route  *route
	host   *host
	at     time.Duration
	sentAt time.Duration
}

// host has a queue ordered by priority, and connections to the instance.
type host struct {
	limiter *limiter.Limiter
	bounds  limiter.Bounds
	queue   []statement
	running int
}

// site is some hosts in front of one instance, which runs statements in their order of arrival.
type site struct {
	now      time.Duration
	random   *rand.Rand
	events   eventqueue.Queue
	slots    int
	busy     int
	queue    []statement
	inTime   map[fleet.Priority]int
	sent     map[fleet.Priority]int
	usedTime time.Duration
	peak     int
	// work returns the execution time of a statement from its average.
	work func(average time.Duration) time.Duration
}

func newSite(slots int) *site {
	s := &site{
		random: rand.New(rand.NewPCG(5, 6)), slots: slots, inTime: map[fleet.Priority]int{}, sent: map[fleet.Priority]int{},
	}
	s.work = func(d time.Duration) time.Duration { return time.Duration(float64(d) * (0.5 + s.random.Float64())) }
	return s
}

func (s *site) run(d time.Duration, hosts []*host, routes []route) {
	for _, h := range hosts {
		for n := range routes {
			s.repeat(d, h, &routes[n])
		}
	}
	for {
		at, do, ok := s.events.Next(math.MaxInt64)
		if !ok {
			return
		}
		s.now = at
		do()
	}
}

func (s *site) repeat(d time.Duration, h *host, r *route) {
	pause := time.Duration(s.random.ExpFloat64() / r.perSecond * float64(time.Second))
	s.events.Add(s.now+pause, func() {
		if s.now >= d {
			return
		}
		s.sent[r.priority]++
		h.queue = append(h.queue, statement{route: r, host: h, at: s.now})
		slices.SortStableFunc(h.queue, func(a, b statement) int { return cmp.Compare(a.route.priority, b.route.priority) })
		s.send(h)
		s.repeat(d, h, r)
	})
}

// send sends what the host's connections and its limit allow. What is late already is refused.
func (s *site) send(h *host) {
	h.queue = slices.DeleteFunc(h.queue, func(q statement) bool { return s.now-q.at > q.route.target })
	for len(h.queue) > 0 && h.running < h.bounds.Max {
		if h.limiter != nil && !h.limiter.Allows(h.running, h.bounds) {
			return
		}
		q := h.queue[0]
		h.queue = h.queue[1:]
		h.running++
		s.peak = max(s.peak, h.running)
		q.sentAt = s.now
		s.queue = append(s.queue, q)
		s.start()
	}
}

func (s *site) start() {
	for s.busy < s.slots && len(s.queue) > 0 {
		q := s.queue[0]
		s.queue = s.queue[1:]
		s.busy++
		took := s.work(q.route.work)
		s.usedTime += took
		s.events.Add(s.now+took, func() { s.finish(q) })
	}
}

func (s *site) finish(q statement) {
	s.busy--
	s.start()
	if s.now-q.at <= q.route.target {
		s.inTime[q.route.priority]++
	}
	h := q.host
	if h.limiter != nil {
		k := limiter.Kind{Priority: q.route.priority}
		h.limiter.Answered(epoch.Add(s.now), k, s.now-q.sentAt, h.running, h.bounds)
	}
	h.running--
	s.send(h)
}

func (s *site) share(p fleet.Priority) float64 { return float64(s.inTime[p]) / float64(s.sent[p]) }

// used returns the share of the slot time that was used.
func (s *site) used(d time.Duration) float64 {
	return s.usedTime.Seconds() / d.Seconds() / float64(s.slots)
}

// gradient is the alternative to AIMD: the limit is scaled by how much responses exceed the usual time, and
// grows by a headroom.
func gradient(headroom float64) func(limit, ratio float64, full bool) float64 {
	return func(limit, ratio float64, full bool) float64 {
		if !full {
			return limit
		}
		next := limit*min(1, max(0.5, 1.5/ratio)) + headroom
		return 0.8*limit + 0.2*next
	}
}

// rules are the ways to adjust the limit that are compared.
var rules = []struct {
	name   string
	adjust func(limit, ratio float64, full bool) float64
}{{"aimd", nil}, {"gradient, headroom 0.5", gradient(0.5)}, {"gradient, headroom 1", gradient(1)}}

// The routes of a small deployment, whose sum is more than two slots can do.
var smallRoutes = []route{
	{priority: 0, perSecond: 12, work: 3 * time.Millisecond, target: 100 * time.Millisecond},
	{priority: 1, perSecond: 14, work: 9 * time.Millisecond, target: 200 * time.Millisecond},
	{priority: 2, perSecond: 12, work: 15 * time.Millisecond, target: 600 * time.Millisecond},
}

const duration = 60 * time.Second

// runSmall runs eight hosts with three connections each before two slots. If they are warm they have had a
// tenth of the load before.
func runSmall(warm bool, newLimiter func() *limiter.Limiter) *site {
	s := newSite(2)
	var hosts []*host
	for range 8 {
		hosts = append(hosts, &host{limiter: newLimiter(), bounds: limiter.Bounds{Min: 1, Max: 3}})
	}
	if warm {
		light := slices.Clone(smallRoutes)
		for n := range light {
			light[n].perSecond /= 10
		}
		s.run(duration, hosts, light)
		clear(s.sent)
		clear(s.inTime)
		s.usedTime = 0
	}
	s.run(s.now+duration, hosts, smallRoutes)
	return s
}

// Eight hosts with three connections each send more than an instance with two slots can run. Guards
// against urgent statements that wait in the instance behind all others, where no host can order them.
func TestUrgentStatementsDontWaitInTheInstance(t *testing.T) {
	c := qt.New(t)
	off := runSmall(true, func() *limiter.Limiter { return nil })
	show := func(name string, s *site) {
		t.Logf("%s: in time by priority %.3f %.3f %.3f, slots used %.3f",
			name, s.share(0), s.share(1), s.share(2), s.used(duration))
	}
	show("off", off)
	c.Check(off.share(0) < 0.9, qt.IsTrue, qt.Commentf("%.3f", off.share(0)))
	for _, r := range rules {
		s := runSmall(true, func() *limiter.Limiter { return &limiter.Limiter{Adjust: r.adjust} })
		show(r.name, s)
		if r.adjust == nil {
			c.Check(s.share(0) >= 0.95, qt.IsTrue, qt.Commentf("%.3f", s.share(0)))
			c.Check(s.used(duration) >= off.used(duration)-0.02, qt.IsTrue, qt.Commentf("%.3f", s.used(duration)))
		}
	}
}

// All hosts start in an overload, so that none knows how long statements take without a wait. Guards against
// a limit that then serves less than none.
func TestStartInAnOverloadServesNoLessThanWithoutALimit(t *testing.T) {
	c := qt.New(t)
	off := runSmall(false, func() *limiter.Limiter { return nil })
	on := runSmall(false, func() *limiter.Limiter { return &limiter.Limiter{} })
	for p := range fleet.Priority(3) {
		t.Logf("priority %d: %.3f, without a limit %.3f", p, on.share(p), off.share(p))
		c.Check(on.share(p) >= off.share(p)-0.02, qt.IsTrue)
	}
}

// One host holds all connections to an instance with four slots. Guards against a limit that leaves slots
// idle when no other host sends anything.
func TestSoleSenderKeepsAllSlotsBusy(t *testing.T) {
	c := qt.New(t)
	for _, r := range []struct {
		name     string
		b        limiter.Bounds
		variable bool
	}{
		{name: "holder", b: limiter.Bounds{Min: 4, Max: 48}},
		{name: "one of eight hosts", b: limiter.Bounds{Min: 1, Max: 8}},
		{name: "one of eight hosts, variable work", b: limiter.Bounds{Min: 1, Max: 8}, variable: true},
	} {
		for _, rule := range rules {
			s := newSite(4)
			if r.variable {
				s.work = func(d time.Duration) time.Duration { return time.Duration(s.random.ExpFloat64() * float64(d)) }
			}
			h := &host{limiter: &limiter.Limiter{Adjust: rule.adjust}, bounds: r.b}
			s.run(duration, []*host{h}, []route{
				{priority: 1, perSecond: 500, work: 9 * time.Millisecond, target: 200 * time.Millisecond},
			})
			t.Logf("%s, %s: limit %d at the end, slots used %.3f", r.name, rule.name, h.limiter.Limit(r.b), s.used(duration))
			if rule.adjust == nil {
				c.Check(s.peak >= 4, qt.IsTrue)
				c.Check(s.used(duration) >= 0.97, qt.IsTrue, qt.Commentf("%s: %.3f", r.name, s.used(duration)))
			}
		}
	}
}
