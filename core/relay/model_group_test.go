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
	point fleet.LogPosition
	// by is the session of the host under test that wrote it, zero for another host's.
	by int
	// acknowledged is when its writer was told, zero if it never was.
	acknowledged time.Time
	// late is set if it was made by a primary that had been replaced, undone once a promotion has
	// rolled it back.
	late, undone bool
}

// server is one instance of the model: a log that is received, and applied up to a length.
type server struct {
	name    fleet.Instance
	role    fleet.Role
	term    fleet.Term
	log     []*commit
	applied int
	lag     time.Duration
	// cut is set while it is cut off from the other instances, off while from the host.
	cut, off bool
}

// model is a group of instances, the platform that promotes them, and the network to one host.
type model struct {
	r      *rand.Rand
	now    time.Time
	began  time.Time
	agenda eventqueue.Queue
	relay  *relay.Relay
	// servers by name, primary the one that the platform has promoted last.
	servers map[fleet.Instance]*server
	primary fleet.Instance
	commits []*commit
	wires   []*wire
	// revision counts the records; ordering is set from a record to its effect.
	revision uint64
	ordering bool
	record   *order
	// storeless is set while the host is cut off from the store.
	storeless bool
	lease     leaseState
	runs      map[statement.ID]*reading
	commitOf  map[statement.ID]*commit
	faults    []string
	served    int
	trace     []string
}

// reading is one read on its way: what it owes is fixed when it begins.
type reading struct {
	session int
	begun   time.Time
	age     time.Duration
	own     bool
}

// wire is one connection of the host to a server, in the order of which both ends get what is sent.
type wire struct {
	m    *model
	s    *server
	conn *relay.Conn
	// next is when the last thing sent arrives there, back when here.
	next, back time.Time
	// delay is the way in one direction.
	delay  time.Duration
	state  statement.TxState
	closed bool
}

func (m *model) say(format string, a ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%8.4f ", m.now.Sub(m.began).Seconds())+fmt.Sprintf(format, a...))
}

func (m *model) at(t time.Time, f func()) { m.agenda.Add(t.Sub(m.began), f) }

func (m *model) after(d time.Duration, f func()) { m.at(m.now.Add(d), f) }

// ms returns a random time between two numbers of milliseconds.
func (m *model) ms(least, most int) time.Duration {
	return time.Duration(least)*time.Millisecond + time.Duration(m.r.Int64N(int64(most-least+1)*int64(time.Millisecond)))
}

func (s *server) point() fleet.LogPosition {
	if s.applied == 0 {
		return fleet.LogPosition{Term: 1}
	}
	return s.log[s.applied-1].point
}

// write appends a commit at a server that leads, and sends it to those that follow it.
func (m *model) write(s *server, by int) *commit {
	last := s.point()
	c := &commit{point: fleet.LogPosition{Term: s.term, Index: last.Index + 1}, by: by}
	c.late = s.name != m.primary
	c.undone = c.late
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
	if from.cut || to.cut || to.role == fleet.RolePrimary || to.term != from.term {
		return
	}
	log := slices.Clone(from.log)
	m.after(m.ms(0, 3), func() {
		if from.cut || to.cut || to.term != from.term || to.role == fleet.RolePrimary || len(log) <= len(to.log) {
			return
		}
		to.log = log
		n := len(log)
		m.after(m.ms(0, 5)+time.Duration(m.r.Int64N(int64(to.lag)+1)), func() {
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
		c.undone = c.undone || !slices.Contains(s.log, c)
	}
	m.say("%s leads term %d from %v", s.name, t, s.point())
	for _, o := range m.servers {
		m.join(s, o)
	}
}

// join has a server follow another that leads a later term, once it can reach it. A replica does
// within a tenth of a second, a primary that was replaced goes on for a second.
func (m *model) join(leads, s *server) {
	if s == leads || s.term >= leads.term {
		return
	}
	wait := m.ms(0, 100)
	if s.role == fleet.RolePrimary {
		wait = m.ms(900, 1100)
	}
	m.after(wait, func() {
		switch {
		case leads.role != fleet.RolePrimary || s.term >= leads.term:
		case leads.cut || s.cut:
			m.join(leads, s)
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
	w := &wire{m: m, s: m.servers[c.Instance], conn: c, next: m.now, back: m.now, state: statement.TxNone}
	w.delay = m.ms(0, 2)
	if m.r.IntN(5) == 0 {
		w.delay = m.ms(5, 60)
	}
	m.wires = append(m.wires, w)
	c.Send = func(qs []statement.Statement) {
		for _, q := range qs {
			w.forth(q.Kind, func() { w.take(q) })
		}
	}
	c.Close = func() { w.closed = true }
	w.forth(statement.KindDiscard, func() {
		w.reply(statement.Answer{}, func(a statement.Answer) { m.relay.ConnOpened(c, a) })
	})
}

// forth carries something to the server, behind what was sent before. What comes to a cut waits
// there until it heals, however long that takes.
func (w *wire) forth(k statement.Kind, f func()) {
	work := time.Duration(0)
	if k == statement.KindRead || k == statement.KindWrite {
		work = w.m.ms(1, 40)
	}
	w.next = later(w.next, w.m.now.Add(w.delay)).Add(work)
	w.m.at(w.next, func() { w.arrive(f) })
}

func (w *wire) arrive(f func()) {
	if !w.s.off {
		f()
		return
	}
	w.m.after(w.m.ms(20, 200), func() { w.arrive(f) })
}

func (w *wire) reply(a statement.Answer, give func(a statement.Answer)) {
	a.State, a.Position = w.state, fleet.Some(w.s.point())
	w.back = later(w.back, w.m.now.Add(w.delay))
	w.m.at(w.back, func() {
		w.arrive(func() {
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

// take has the server do what a statement asks for.
func (w *wire) take(q statement.Statement) {
	answer := func(a statement.Answer) {
		w.reply(a, func(a statement.Answer) { w.m.relay.HandleAnswer(w.conn, a) })
	}
	s := w.s
	if q.ID != "" {
		w.m.say("%s gets %s %s after %v at %v", s.name, q.Kind, q.ID, q.After, s.point())
	}
	if p, ok := q.After.Get(); ok && !s.point().Covers(p) {
		answer(statement.Answer{Code: statement.CodeLagging})
		return
	}
	switch q.Kind {
	case statement.KindStepDown:
		received := s.point()
		if n := len(s.log); n > 0 {
			received = s.log[n-1].point
		}
		answer(statement.Answer{Rows: []string{
			fmt.Sprintf("%s %d %d %d", s.role, s.term, received.Term, received.Index),
		}})
	case statement.KindWrite:
		if s.role != fleet.RolePrimary {
			answer(statement.Answer{Code: statement.CodeReadOnly})
			return
		}
		w.m.written(q.ID, w.m.write(s, w.m.runs[q.ID].session))
		answer(statement.Answer{Digest: "d"})
	case statement.KindBeginRead:
		w.state = statement.TxOpen
		answer(statement.Answer{})
	case statement.KindCommit, statement.KindRollback:
		w.state = statement.TxNone
		answer(statement.Answer{Digest: "d"})
	case statement.KindRead:
		w.m.ran(s, q.ID)
		answer(statement.Answer{Rows: []string{"row"}, Digest: "d"})
	default:
		answer(statement.Answer{})
	}
}
