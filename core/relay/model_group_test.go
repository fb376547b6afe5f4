package relay_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
	"skylarkdeal/internal/eventqueue"
)

// commit is one entry of a log, with what became of it.
type commit struct {
	position fleet.LogPosition
	// session is the session of the host under test that wrote it, zero for another host's.
	session int
	// acknowledged is when its writer was told, zero if it never was.
	acknowledged time.Time
	// byFormerPrimary is set if it was made by a primary that had been replaced, rolledBack once a promotion has
	// rolled it back.
	byFormerPrimary, rolledBack bool
}

// server is one instance of the model: a log that is received, and applied up to a length.
type server struct {
	name    fleet.Instance
	role    fleet.Role
	term    fleet.Term
	log     []*commit
	applied int
	lag     time.Duration
	// cutFromInstances is set while it is cutFromInstances cutFromHost from the other instances, cutFromHost while from the host.
	cutFromInstances, cutFromHost bool
}

// model is a group of instances, the platform that promotes them, and the network to one host.
type model struct {
	r     *rand.Rand
	now   time.Time
	began time.Time
	queue eventqueue.Queue
	relay *relay.Relay
	// servers by name, primary the one that the platform has promoted last.
	servers map[fleet.Instance]*server
	primary fleet.Instance
	commits []*commit
	conns   []*modelConn
	// revision counts the records; ordering is set from a record to its effect.
	revision  uint64
	promoting bool
	record    *promotionRequest
	// cutFromStore is set while the host is cut off from the store.
	cutFromStore bool
	lease        leaseState
	operations   map[statement.ID]*modelOperation
	commitByID   map[statement.ID]*commit
	faults       []string
	served       int
	trace        []string
}

// modelOperation is one read on its way: what it owes is fixed when it begins.
type modelOperation struct {
	session   int
	startedAt time.Time
	maxAge    time.Duration
	ownWrites bool
}

// modelConn is one connection of the host to a server, in the order of which both ends get what is sent.
type modelConn struct {
	m      *model
	server *server
	conn   *relay.Conn
	// arrivesAt is when the last thing sent arrives there, repliesAt when here.
	arrivesAt, repliesAt time.Time
	// delay is the way in one direction.
	delay  time.Duration
	state  statement.TxState
	closed bool
}

func (m *model) tracef(format string, a ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%8.4f ", m.now.Sub(m.began).Seconds())+fmt.Sprintf(format, a...))
}

func (m *model) at(t time.Time, f func()) { m.queue.Add(t.Sub(m.began), f) }

func (m *model) after(d time.Duration, f func()) { m.at(m.now.Add(d), f) }

// randomMillis returns a random time between two numbers of milliseconds.
func (m *model) randomMillis(least, most int) time.Duration {
	return time.Duration(least)*time.Millisecond + time.Duration(m.r.Int64N(int64(most-least+1)*int64(time.Millisecond)))
}

func (s *server) position() fleet.LogPosition {
	if s.applied == 0 {
		return fleet.LogPosition{Term: 1}
	}
	return s.log[s.applied-1].position
}

// write appends a commit at a server that leads, and sends it to those that follow it.
func (m *model) write(s *server, by int) *commit {
	last := s.position()
	c := &commit{position: fleet.LogPosition{Term: s.term, Index: last.Index + 1}, session: by}
	c.byFormerPrimary = s.name != m.primary
	c.rolledBack = c.byFormerPrimary
	s.log = append(s.log, c)
	s.applied = len(s.log)
	m.commits = append(m.commits, c)
	for _, o := range m.servers {
		if o != s {
			m.replicate(s, o)
		}
	}
	return c
}

// replicate has a server receive what another has, if it follows that, and apply it later.
func (m *model) replicate(from, to *server) {
	if from.cutFromInstances || to.cutFromInstances || to.role == fleet.RolePrimary || to.term != from.term {
		return
	}
	log := slices.Clone(from.log)
	m.after(m.randomMillis(0, 3), func() {
		if from.cutFromInstances || to.cutFromInstances || to.term != from.term || to.role == fleet.RolePrimary || len(log) <= len(to.log) {
			return
		}
		to.log = log
		n := len(log)
		m.after(m.randomMillis(0, 5)+time.Duration(m.r.Int64N(int64(to.lag)+1)), func() {
			if to.role != fleet.RolePrimary && n <= len(to.log) && to.log[n-1] == log[n-1] {
				to.applied = max(to.applied, n)
			}
		})
	})
}

// promote has a server lead a later term with what it had received.
func (m *model) promote(s *server, t fleet.Term) {
	s.role, s.term, s.applied = fleet.RolePrimary, t, len(s.log)
	m.primary = s.name
	for _, c := range m.commits {
		c.rolledBack = c.rolledBack || !slices.Contains(s.log, c)
	}
	m.tracef("%s leads term %d from %v", s.name, t, s.position())
	for _, o := range m.servers {
		m.followLater(s, o)
	}
}

// followLater has a server follow another that leads a later term, once it can reach it. A replica does
// within a tenth of a second, a primary that was replaced goes on for a second.
func (m *model) followLater(leads, s *server) {
	if s == leads || s.term >= leads.term {
		return
	}
	wait := m.randomMillis(0, 100)
	if s.role == fleet.RolePrimary {
		wait = m.randomMillis(900, 1100)
	}
	m.after(wait, func() {
		switch {
		case leads.role != fleet.RolePrimary || s.term >= leads.term:
		case leads.cutFromInstances || s.cutFromInstances:
			m.followLater(leads, s)
		default:
			m.follow(leads, s)
		}
	})
}

func (m *model) follow(leads, s *server) {
	common := 0
	for common < min(len(s.log), len(leads.log)) && s.log[common] == leads.log[common] {
		common++
	}
	s.role, s.term = fleet.RoleReplica, leads.term
	s.log = slices.Clone(s.log[:common])
	s.applied = min(s.applied, common)
	m.replicate(leads, s)
}

// dial makes a connection of the host.
func (m *model) dial(c *relay.Conn) {
	w := &modelConn{m: m, server: m.servers[c.Instance], conn: c, arrivesAt: m.now, repliesAt: m.now, state: statement.TxNone}
	w.delay = m.randomMillis(0, 2)
	if m.r.IntN(5) == 0 {
		w.delay = m.randomMillis(5, 60)
	}
	m.conns = append(m.conns, w)
	c.Send = func(qs []statement.Statement) {
		for _, q := range qs {
			w.send(q.Kind, func() { w.handle(q) })
		}
	}
	c.Close = func() { w.closed = true }
	w.send(statement.KindDiscard, func() {
		w.reply(statement.Answer{}, func(a statement.Answer) { m.relay.ConnOpened(c, a) })
	})
}

// send carries something to the server, behind what was sent before. What comes to a cut waits
// there until it heals, however long that takes.
func (w *modelConn) send(k statement.Kind, f func()) {
	work := time.Duration(0)
	if k == statement.KindRead || k == statement.KindWrite {
		work = w.m.randomMillis(1, 40)
	}
	w.arrivesAt = later(w.arrivesAt, w.m.now.Add(w.delay)).Add(work)
	w.m.at(w.arrivesAt, func() { w.deliver(f) })
}

func (w *modelConn) deliver(f func()) {
	if !w.server.cutFromHost {
		f()
		return
	}
	w.m.after(w.m.randomMillis(20, 200), func() { w.deliver(f) })
}

func (w *modelConn) reply(a statement.Answer, give func(a statement.Answer)) {
	a.State, a.Position = w.state, fleet.Some(w.server.position())
	w.repliesAt = later(w.repliesAt, w.m.now.Add(w.delay))
	w.m.at(w.repliesAt, func() {
		w.deliver(func() {
			if !w.closed {
				give(a)
			}
		})
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// handle has the server do what a statement asks for.
func (w *modelConn) handle(q statement.Statement) {
	answer := func(a statement.Answer) {
		w.reply(a, func(a statement.Answer) { w.m.relay.HandleAnswer(w.conn, a) })
	}
	s := w.server
	if q.ID != "" {
		w.m.tracef("%s gets %s %s after %v at %v", s.name, q.Kind, q.ID, q.After, s.position())
	}
	if p, ok := q.After.Get(); ok && !s.position().Covers(p) {
		answer(statement.Answer{Code: statement.CodeLagging})
		return
	}
	switch q.Kind {
	case statement.KindStepDown:
		received := s.position()
		if n := len(s.log); n > 0 {
			received = s.log[n-1].position
		}
		answer(statement.Answer{Rows: []string{
			fmt.Sprintf("%s %d %d %d", s.role, s.term, received.Term, received.Index),
		}})
	case statement.KindWrite:
		if s.role != fleet.RolePrimary {
			answer(statement.Answer{Code: statement.CodeReadOnly})
			return
		}
		w.m.recordWrite(q.ID, w.m.write(s, w.m.operations[q.ID].session))
		answer(statement.Answer{Digest: "d"})
	case statement.KindBeginRead:
		w.state = statement.TxOpen
		answer(statement.Answer{})
	case statement.KindCommit, statement.KindRollback:
		w.state = statement.TxNone
		answer(statement.Answer{Digest: "d"})
	case statement.KindRead:
		w.m.checkRead(s, q.ID)
		answer(statement.Answer{Rows: []string{"row"}, Digest: "d"})
	default:
		answer(statement.Answer{})
	}
}
