package place_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
	"skylarkdeal/core/place"
	"skylarkdeal/core/session"
)

// workload is a mix of requests for one holder of a group.
type workload struct {
	// rate is in requests a second.
	rate float64
	// write is the weight of writes in the mix. The others are those of reads: token
	// with the token of the latest write, aged with an accepted age, blind with
	// neither.
	write, token, aged, blind float64
	// long is the fraction of the reads that take longWorkTime.
	long float64
	// age is the accepted age of aged reads.
	age time.Duration
}

const longWorkTime = 200 * time.Millisecond

// sim runs a workload against three instances in virtual time. All requests wait
// in one queue until Choose returns ActionRun.
type sim struct {
	workload      workload
	lag           time.Duration
	statementTime map[fleet.Instance]time.Duration
	slots         int
	leaving       map[fleet.Instance]bool

	rand      *rand.Rand
	now       time.Time
	group     group.Group
	log       []time.Time
	busy      map[fleet.Instance]int
	latencies map[fleet.Instance]place.LatencyAverage
	queue     []*request
	running   []*request
	ended     []*request
}

type request struct {
	info     place.RequestInfo
	arrived  time.Time
	started  time.Time
	ends     time.Time
	choice   place.Choice
	position fleet.LogPosition
	class    string
}

func newSim(l workload) *sim {
	s := &sim{
		workload: l, lag: time.Millisecond, slots: 2,
		statementTime: make(map[fleet.Instance]time.Duration),
		leaving:       make(map[fleet.Instance]bool),
		rand:          rand.New(rand.NewPCG(1, 2)),
		now:           time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC),
		busy:          make(map[fleet.Instance]int),
		latencies:     make(map[fleet.Instance]place.LatencyAverage),
	}
	for _, n := range instanceNames {
		s.statementTime[n] = 2 * time.Millisecond
	}
	s.log = append(s.log, s.now.Add(-time.Minute))
	return s
}

var instanceNames = []fleet.Instance{"a", "b", "c"}

func (s *sim) configure() {
	var d []document.Instance
	for _, n := range instanceNames {
		d = append(d, document.Instance{Name: n, Slots: s.slots, Leaving: s.leaving[n]})
	}
	s.group.Configure(s.now, d)
}

// last returns the last log position of an instance. Instance a is the primary.
func (s *sim) last(n fleet.Instance) fleet.LogPosition {
	p := len(s.log)
	if n != "a" {
		p, _ = slices.BinarySearchFunc(s.log, s.now.Add(-s.lag), time.Time.Compare)
	}
	return fleet.LogPosition{Term: 1, Index: fleet.LogIndex(p)}
}

const tick = 500 * time.Microsecond

func (s *sim) run(d time.Duration) {
	s.configure()
	next := s.now
	for n, end := 0, s.now.Add(d); s.now.Before(end); n++ {
		if n%4 == 0 {
			s.updateStatuses()
		}
		for !next.After(s.now) {
			s.arrive()
			next = next.Add(time.Duration(s.rand.ExpFloat64() / s.workload.rate * float64(time.Second)))
		}
		s.finish()
		s.start()
		s.now = s.now.Add(tick)
	}
}

func (s *sim) updateStatuses() {
	for _, n := range instanceNames {
		st := fleet.Status{Instance: n, Promised: 1, Role: fleet.RoleReplica, Last: s.last(n), Follows: "a"}
		if n == "a" {
			st.Role, st.Follows = fleet.RolePrimary, ""
		}
		s.group.StatusRequested(n, s.now)
		s.group.StatusReceived(n, s.now, s.now, st)
	}
}

func (s *sim) arrive() {
	r := &request{arrived: s.now, class: "write"}
	q := &exchange.Request{Intent: exchange.IntentRead}
	switch p := s.rand.Float64() * (s.workload.write + s.workload.token + s.workload.aged + s.workload.blind); {
	case p < s.workload.write:
		q.Intent = exchange.IntentWrite
	case p < s.workload.write+s.workload.token:
		r.class = "token"
		q.After = fleet.Some(s.last("a"))
	case p < s.workload.write+s.workload.token+s.workload.aged:
		r.class = "aged"
		q.MaxAge = s.workload.age
	default:
		r.class = "blind"
	}
	r.info = place.RequestInfo{Intent: q.Intent, Need: session.NeedOf(q, s.now)}
	if q.Intent == exchange.IntentRead && s.rand.Float64() < s.workload.long {
		r.info.Long, r.class = true, "long"
	}
	s.queue = append(s.queue, r)
}

func (s *sim) finish() {
	var left []*request
	for _, r := range s.running {
		if r.ends.After(s.now) {
			left = append(left, r)
			continue
		}
		n := r.choice.Instance
		s.busy[n]--
		s.latencies[n] = s.latencies[n].Observe(s.now, s.now.Sub(r.started))
		if r.info.Intent == exchange.IntentWrite {
			s.log = append(s.log, s.now)
		}
		s.ended = append(s.ended, r)
	}
	s.running = left
}

func (s *sim) loads() place.Loads {
	l := place.Loads{Instances: make(map[fleet.Instance]place.Load), Waiting: len(s.queue)}
	for _, n := range instanceNames {
		l.Instances[n] = place.Load{Busy: s.busy[n], Slots: s.slots, Latency: s.latencies[n]}
	}
	return l
}

func (s *sim) start() {
	t := s.group.Snapshot(s.now)
	proof, _ := t.Prove()
	var left []*request
	for _, r := range s.queue {
		r.info.Need = r.info.Need.Resolve(proof)
		r.choice = place.Choose(s.now, r.info, t, s.loads())
		if r.choice.Action != place.ActionRun {
			left = append(left, r)
			continue
		}
		n := r.choice.Instance
		work := s.statementTime[n]
		if r.info.Long {
			work = longWorkTime
		}
		r.started, r.ends, r.position = s.now, s.now.Add(work), s.last(n)
		s.busy[n]++
		s.running = append(s.running, r)
	}
	s.queue = left
}

// outcome summarises the answers to one class of requests.
type outcome struct {
	ended    int
	replicas float64
	p50, p99 time.Duration
}

func (s *sim) outcome(class string) outcome {
	var o outcome
	var took []time.Duration
	for _, r := range s.ended {
		if class != "" && r.class != class {
			continue
		}
		took = append(took, r.ends.Sub(r.arrived))
		if r.choice.Role == fleet.RoleReplica {
			o.replicas++
		}
	}
	if o.ended = len(took); o.ended == 0 {
		return o
	}
	slices.Sort(took)
	o.replicas /= float64(len(took))
	o.p50, o.p99 = took[len(took)/2], took[len(took)*99/100]
	return o
}
