package relay_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
)

var (
	modelSeeds = flag.Uint64("model-seeds", 60, "how many seeds of the model of reads are played")
	modelFirst = flag.Uint64("model-first", 1, "the first seed of the model of reads")
	modelTrace = flag.Bool("model-trace", false, "print what happened in each seed that fails")
)

const (
	// modelDuration is the time that one seed simulates, modelWarmUp the part at its start that is
	// without faults.
	modelDuration = 20 * time.Second
	modelWarmUp   = time.Second
	// renewalInterval is the interval at which the host renews its registration, registrationLifetime
	// how long a registration lasts without a renewal.
	renewalInterval      = 300 * time.Millisecond
	registrationLifetime = time.Second
	// promotionDelay is the time that the platform takes to carry out a promotion request.
	promotionDelay = time.Second
)

// modelSession is a caller with one session at a time on the host under test. It runs one operation
// after the other.
type modelSession struct {
	m        *model
	n        int
	database catalog.Database
	s        *relay.Session
	// generation counts its sessions, so that answers to a closed session don't affect the next.
	generation int
	busy       bool
	remaining  []statement.Kind
	startedAt  time.Time
	count      int
	open       bool
	lastID     statement.ID
	kind       statement.Kind
}

func newModel(seed uint64) *model {
	m := &model{
		r: rand.New(rand.NewPCG(seed, 15)), now: time.Unix(2000, 0), began: time.Unix(2000, 0),
		servers: map[fleet.Instance]*server{}, primary: "a",
		operations: map[statement.ID]*modelOperation{}, commitByID: map[statement.ID]*commit{},
	}
	lags := []time.Duration{0, 10 * time.Millisecond, 400 * time.Millisecond, 2500 * time.Millisecond}
	for _, n := range modelServers {
		m.servers[n] = &server{name: n, role: fleet.RoleReplica, term: 1, lag: lags[m.r.IntN(len(lags))]}
	}
	m.servers["a"].role, m.term = fleet.RolePrimary, 1
	m.catalog = (&world{}).catalog(1)
	m.catalog.Services[service] = catalog.Service{Name: service, Connections: 16, ColdRate: 100}
	m.hostCount = []int{1, 8}[m.r.IntN(2)]
	m.startHost()
	m.startStoreView()
	return m
}

// every runs f repeatedly, at random intervals from least to most milliseconds.
func (m *model) every(least, most int, f func()) {
	m.after(m.randomMillis(least, most), func() {
		f()
		m.every(least, most, f)
	})
}

// run simulates one seed to its end.
func (m *model) run() {
	m.every(10, 10, func() {
		m.relay.Tick()
		m.holder.Tick()
	})
	m.every(1800, 2200, m.listInstances)
	m.every(3, 60, m.otherWrite)
	for n := range 12 {
		c := &modelSession{m: m, n: n + 1}
		m.sessions = append(m.sessions, c)
		c.database = []catalog.Database{"rush", "stock", "standing"}[n%3]
		m.every(5, 80, c.begin)
	}
	m.after(modelWarmUp, func() {
		m.every(500, 3500, m.requestPromotion)
		m.every(500, 4000, m.partition)
		m.playFaults()
	})
	for {
		at, do, ok := m.queue.Next(modelDuration)
		if !ok {
			return
		}
		m.now = m.began.Add(at)
		do()
	}
}

// otherWrite makes another host write. The write is acknowledged if its primary hasn't been replaced
// by then.
func (m *model) otherWrite() {
	p := m.primary
	if m.servers[p].role != fleet.RolePrimary {
		return
	}
	started := m.servers[p].started
	c := m.write(m.servers[p], 0)
	m.after(m.randomMillis(1, 15), func() {
		if m.primary == p && !c.rolledBack && m.servers[p].started == started {
			c.acknowledged = m.now
		}
	})
}

// partition cuts a server off from the others, with the host on either side of the partition, or
// cuts only the host off from the store.
func (m *model) partition() {
	var heal []func()
	set := func(b *bool) {
		if !*b {
			*b = true
			heal = append(heal, func() { *b = false })
		}
	}
	kind := m.r.IntN(4)
	s := m.servers[modelServers[m.r.IntN(3)]]
	if m.r.IntN(2) == 0 {
		s = m.servers[m.primary]
	}
	switch kind {
	case 0:
		set(&m.store.cutOff)
	case 1:
		set(&s.cutFromInstances)
		set(&s.cutFromHost)
	default:
		set(&s.cutFromInstances)
		set(&m.store.cutOff)
		for _, n := range modelServers {
			if n != s.name {
				set(&m.servers[n].cutFromHost)
			}
		}
	}
	m.tracef("partition %d around %s", kind, s.name)
	m.after(m.randomMillis(300, 4000), func() {
		m.tracef("partition %d around %s heals", kind, s.name)
		for _, f := range heal {
			f()
		}
	})
}

// begin starts the session's next operation, unless one is running.
func (c *modelSession) begin() {
	if c.busy {
		return
	}
	if c.s == nil {
		c.connect()
	}
	c.busy, c.startedAt = true, c.m.now
	switch d := c.m.r.IntN(10); {
	case c.database != "stock" && d < 3:
		c.remaining = []statement.Kind{statement.KindWrite}
	case d < 5:
		c.remaining = []statement.Kind{
			statement.KindBeginRead, statement.KindRead, statement.KindRead, statement.KindCommit,
		}
	case d < 6:
		c.remaining = []statement.Kind{statement.KindPrepare, statement.KindExecute}
	case c.database != "stock" && d < 7:
		c.remaining = []statement.Kind{
			statement.KindBegin, statement.KindRead, statement.KindWrite, statement.KindRead, statement.KindCommit,
		}
	default:
		c.remaining = []statement.Kind{statement.KindRead}
	}
	c.step()
}

func (c *modelSession) connect() {
	c.generation++
	generation := c.generation
	c.s = c.m.relay.OpenSession(relay.CallerConn{
		Accept: func() {},
		Answer: func(a statement.Answer) {
			if c.generation == generation {
				c.answered(generation, a)
			}
		},
		Reject: func(statement.Code, string) { c.lost(generation) }, Close: func() { c.lost(generation) },
	})
	c.s.Start(c.database, "key-1")
}

func (c *modelSession) lost(generation int) {
	if c.generation == generation {
		c.s, c.busy, c.open = nil, false, false
	}
}

func (c *modelSession) step() {
	if len(c.remaining) == 0 {
		c.busy = false
		return
	}
	c.kind, c.remaining = c.remaining[0], c.remaining[1:]
	c.count++
	id := statement.ID(fmt.Sprintf("%d-%d", c.n, c.count))
	c.lastID = id
	r := &modelOperation{session: c.n, startedAt: c.startedAt}
	switch c.database {
	case "stock":
		r.maxAge = 1500 * time.Millisecond
	case "standing":
		r.maxAge, r.ownWrites = 2500*time.Millisecond, true
	}
	c.m.operations[id] = r
	ends := c.kind == statement.KindCommit || c.kind == statement.KindRollback
	c.open = c.kind == statement.KindBeginRead || c.kind == statement.KindBegin || c.open && !ends
	q := statement.Statement{ID: id, Kind: c.kind, Text: "item"}
	if c.kind == statement.KindPrepare || c.kind == statement.KindExecute {
		q.Name, q.Definition = "p", statement.Definition{Text: "item"}
	}
	c.s.Query(q)
}

func (c *modelSession) answered(generation int, a statement.Answer) {
	m := c.m
	if a.Code != statement.CodeNone {
		c.remaining = nil
		if c.open {
			c.remaining = []statement.Kind{statement.KindRollback}
		}
	} else if w := m.commitByID[c.lastID]; w != nil {
		w.acknowledged = m.now
		if w.byFormerPrimary {
			m.faultf("a write that a replaced primary made was acknowledged: %s %v", c.lastID, w.position)
		}
	}
	if a.Code == statement.CodeNone && (c.kind == statement.KindRead || c.kind == statement.KindExecute) {
		m.served++
	}
	m.after(m.randomMillis(0, 30), func() {
		if c.generation == generation && c.s != nil {
			c.step()
		}
	})
}

func (m *model) faultf(format string, a ...any) {
	f := fmt.Sprintf(format, a...)
	m.tracef("FAULT %s", f)
	m.faults = append(m.faults, f)
}

// recordWrite records that a write of the host under test has run. A second run is a fault.
func (m *model) recordWrite(id statement.ID, c *commit) {
	if old := m.commitByID[id]; old != nil {
		m.faultf("write %s ran twice: %v and %v", id, old.position, c.position)
	}
	m.tracef("write %s ran: %v late %v", id, c.position, c.byFormerPrimary)
	m.commitByID[id] = c
}

// checkRead checks a read when a server runs it. The log has to hold every commit that was
// acknowledged more than the read's maximum age before the read started. If the read has to show its
// session's own writes, it also has to hold those acknowledged before the read started.
func (m *model) checkRead(s *server, id statement.ID) {
	r := m.operations[id]
	for _, c := range m.commits {
		required := c.acknowledged.Before(r.startedAt.Add(-r.maxAge)) ||
			r.ownWrites && c.session == r.session && c.acknowledged.Before(r.startedAt)
		if c.rolledBack || c.acknowledged.IsZero() || !required {
			continue
		}
		n := int(c.position.Index)
		if n > s.applied || s.log[n-1] != c {
			m.faultf("read %s, begun at %.3f with %v, ran on %s at %v, which lacks %v, acknowledged at %.3f",
				id, r.startedAt.Sub(m.began).Seconds(), r.maxAge, s.name, s.position(), c.position,
				c.acknowledged.Sub(m.began).Seconds())
			return
		}
	}
}

// Callers read with each consistency (up to a maximum age, own writes, newest) on a host whose
// knowledge of the primary is out of date. Changes of primary, network partitions, loss of the
// store, lagging replicas, slow connections and delayed statements come at random. Whatever the
// answers, no read may run on a log that lacks a commit which the read has to show, and no write
// may be acknowledged that a primary made after it was replaced. A write made before that may be
// lost, as replication is asynchronous.
func TestNoReadRunsWhereItsLogLacksWhatItOwes(t *testing.T) {
	served := 0
	for seed := *modelFirst; seed < *modelFirst+*modelSeeds; seed++ {
		m := newModel(seed)
		m.run()
		served += m.served
		if len(m.faults) == 0 {
			continue
		}
		t.Errorf("seed %d: %d faults, the first: %s", seed, len(m.faults), m.faults[0])
		if *modelTrace {
			t.Log(strings.Join(m.trace, "\n"))
		}
	}
	t.Logf("%d seeds, %d reads served", *modelSeeds, served)
	if served < int(*modelSeeds)*500 {
		t.Errorf("only %d reads were served in %d seeds", served, *modelSeeds)
	}
}
