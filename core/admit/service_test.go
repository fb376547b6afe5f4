package admit_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"skylarkdeal/core/admit"
	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/internal/eventqueue"
)

// load is what the callers of one account send.
type load struct {
	account fleet.Account
	weight  float64
	// perSecond is the mean of a Poisson process; burst exchanges come at once
	// at from.
	perSecond float64
	burst     int
	from      time.Duration
	// slotTime is the slot time of a statement at an instance of usual speed.
	slotTime time.Duration
	intent   exchange.Intent
	priority fleet.Priority
	// target is how long its callers wait; the service's timeout if it is zero.
	target time.Duration
	// name is that of its outcome, the account if it is empty.
	name string
}

// outcome is what the callers of one load received.
type outcome struct {
	sent, served, refused, late int
	waits                       []time.Duration
	// refusedAtOnce counts the refusals that came within atOnce.
	refusedAtOnce int
	// refusedAfter is the longest time from a request to its refusal.
	refusedAfter      time.Duration
	withoutRetryAfter int
}

func (g *outcome) servedFraction() float64 { return float64(g.served) / float64(g.sent) }

func (g *outcome) p99() time.Duration {
	if len(g.waits) == 0 {
		return 0
	}
	w := slices.Sorted(slices.Values(g.waits))
	return w[len(w)*99/100]
}

// instance is a database instance with slots; slowdown multiplies its slot
// times.
type instance struct {
	slots, busy int
	slowdown    float64
}

// service is a group behind one queue: instance 0 is the primary, which takes
// the writes, the others the reads.
type service struct {
	q         admit.Queue
	now       time.Duration
	random    *rand.Rand
	instances []instance
	timeout   time.Duration
	// anyReads is set if reads may go to the primary too.
	anyReads bool
	events   eventqueue.Queue
	seq      uint64
	waiting  map[uint64]request
	outcomes map[fleet.Account]*outcome
	busy     time.Duration
}

type request struct {
	load *load
	at   time.Duration
}

var epoch = time.Unix(1_700_000_000, 0)

// newService returns a group of three instances with two slots each.
func newService() *service {
	return &service{
		random:    rand.New(rand.NewPCG(3, 4)),
		instances: []instance{{slots: 2, slowdown: 1}, {slots: 2, slowdown: 1}, {slots: 2, slowdown: 1}},
		timeout:   300 * time.Millisecond,
		waiting:   map[uint64]request{}, outcomes: map[fleet.Account]*outcome{},
	}
}

func (s *service) after(d time.Duration, f func()) {
	s.events.Add(s.now+d, f)
}

func (s *service) clock() time.Time { return epoch.Add(s.now) }

// run plays the loads for d, then runs what is left.
func (s *service) run(d time.Duration, loads ...load) {
	for i := range loads {
		l := &loads[i]
		if l.name == "" {
			l.name = string(l.account)
		}
		if l.target == 0 {
			l.target = s.timeout
		}
		if s.outcomes[fleet.Account(l.name)] == nil {
			s.outcomes[fleet.Account(l.name)] = &outcome{}
		}
		for range l.burst {
			s.after(l.from, func() { s.arrive(l) })
		}
		if l.perSecond > 0 {
			s.repeat(l, d)
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

func (s *service) repeat(l *load, d time.Duration) {
	pause := time.Duration(s.random.ExpFloat64() / l.perSecond * float64(time.Second))
	s.after(pause, func() {
		if s.now < d {
			s.arrive(l)
			s.repeat(l, d)
		}
	})
}

func (s *service) arrive(l *load) {
	s.seq++
	key := s.seq
	g := s.outcomeOf(l)
	g.sent++
	s.waiting[key] = request{l, s.now}
	v := s.q.Enqueue(s.clock(), admit.Item{
		Key: key, Account: l.account, Weight: l.weight, Intent: l.intent, Priority: l.priority,
		Deadline: s.clock().Add(l.target),
	})
	for _, d := range v.Displaced {
		s.refuse(d.Item.Key, d.Refusal)
	}
	if v.Refusal != nil {
		s.refuse(key, v.Refusal)
	}
	s.next()
}

// outcomeOf returns the outcome of a load.
func (s *service) outcomeOf(l *load) *outcome { return s.outcomes[fleet.Account(l.name)] }

// atOnce is within how long a request that can't be served is to be refused.
const atOnce = 10 * time.Millisecond

func (s *service) refuse(key uint64, f *failure.Refusal) {
	r := s.waiting[key]
	delete(s.waiting, key)
	g := s.outcomeOf(r.load)
	g.refused++
	if s.now-r.at <= atOnce {
		g.refusedAtOnce++
	}
	g.refusedAfter = max(g.refusedAfter, s.now-r.at)
	if f.RetryAfter <= 0 || f.Code != failure.CodeOverloaded {
		g.withoutRetryAfter++
	}
}

func (s *service) next() {
	for _, r := range s.q.Expire(s.clock()) {
		s.refuse(r.Item.Key, r.Refusal)
	}
	for {
		i, ok := s.q.Next(s.clock(), func(i admit.Item) bool { return s.slot(i) != nil })
		if !ok {
			return
		}
		s.start(i, s.slot(i))
	}
}

// slot returns the instance with a free slot for i; long work leaves one free.
func (s *service) slot(i admit.Item) *instance {
	may := s.instances[:1]
	if i.Intent == exchange.IntentRead {
		may = s.instances[1:]
		if s.anyReads {
			may = s.instances
		}
	}
	for n := range may {
		if may[n].room(i) {
			return &may[n]
		}
	}
	return nil
}

func (e *instance) room(i admit.Item) bool {
	left := e.slots - e.busy
	return left > 1 || left == 1 && !i.Long
}

func (s *service) start(i admit.Item, e *instance) {
	r := s.waiting[i.Key]
	delete(s.waiting, i.Key)
	g := s.outcomeOf(r.load)
	g.waits = append(g.waits, s.now-r.at)
	took := time.Duration(float64(r.load.slotTime) * e.slowdown * (0.5 + s.random.Float64()))
	e.busy++
	s.busy += took
	s.after(took, func() {
		e.busy--
		s.q.Finished(s.clock(), i.Key, took)
		if s.now-r.at > r.load.target {
			g.late++
		} else {
			g.served++
		}
		s.next()
	})
}
