package relay_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
	"skylarkdeal/core/times"
	"skylarkdeal/internal/eventqueue"
)

// commit is one log entry of the model, and whether it was acknowledged or rolled back.
type commit struct {
	position fleet.LogPosition
	// session is the number of the session that wrote it, zero for a write of another host.
	session int
	// acknowledged is when its writer received the answer, zero if it never did.
	acknowledged time.Time
	// byFormerPrimary is set if it was made by a primary that had been replaced. rolledBack is set for
	// such a commit, and for one that a promotion has rolled back.
	byFormerPrimary, rolledBack bool
}

// server is one instance of the model: the log that it has received, and how many entries are applied.
type server struct {
	name    fleet.Instance
	role    fleet.Role
	term    fleet.Term
	log     []*commit
	applied int
	lag     time.Duration
	// cutFromInstances is set while it is cut off from the other instances, cutFromHost while it is
	// cut off from the host.
	cutFromInstances, cutFromHost bool
	// started counts its starts. It is unlisted while its registration has lapsed, and cold after a start.
	started  int64
	unlisted bool
	cold     time.Time
}

// model is a group of instances, the platform that promotes them, and the network to one host.
type model struct {
	r     *rand.Rand
	now   time.Time
	began time.Time
	queue eventqueue.Queue
	relay *relay.Relay
	// servers is keyed by name; primary is the server that the platform has promoted last, in term.
	servers map[fleet.Instance]*server
	primary fleet.Instance
	term    fleet.Term
	// holder is another host, over which the host under test may use instances; link is the current
	// connection to it.
	holder *relay.Relay
	link   *modelLink
	// catalog is the one in use.
	catalog *catalog.Catalog
	// sessions are the callers.
	sessions []*modelSession
	// store is how the host under test learns of the store.
	store   storeView
	commits []*commit
	conns   []*modelConn
	// revision counts the records; promoting is set from the writing of a record until its promotion
	// has taken effect.
	revision   uint64
	recordTerm fleet.Term
	promoting  bool
	record     *leader.Record
	// hostCount is how many hosts share the connections. With one, there is no holder.
	hostCount  int
	operations map[statement.ID]*modelOperation
	commitByID map[statement.ID]*commit
	faults     []string
	served     int
	trace      []string
}

// modelOperation is one statement of the host under test. What a read has to show is fixed when it starts.
type modelOperation struct {
	session   int
	startedAt time.Time
	maxAge    time.Duration
	ownWrites bool
}

// modelConn is one connection of the host to a server. Both ends receive in the order of sending.
type modelConn struct {
	m      *model
	relay  *relay.Relay
	server *server
	conn   *relay.Conn
	// started is the start of the server that it reaches. plain is set in a transaction that only a
	// primary runs, written once that has written.
	started        int64
	plain, written bool
	// arrivesAt is when the last statement sent reaches the server, repliesAt when the last reply
	// reaches the host.
	arrivesAt, repliesAt time.Time
	// delay is the network latency in one direction.
	delay  time.Duration
	state  statement.TxState
	closed bool
}

func (m *model) tracef(format string, a ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%8.4f ", m.now.Sub(m.began).Seconds())+fmt.Sprintf(format, a...))
}

func (m *model) at(t time.Time, f func()) { m.queue.Add(t.Sub(m.began), f) }

func (m *model) after(d time.Duration, f func()) { m.at(m.now.Add(d), f) }

// randomMillis returns a random duration between least and most milliseconds.
func (m *model) randomMillis(least, most int) time.Duration {
	return time.Duration(least)*time.Millisecond + time.Duration(m.r.Int64N(int64(most-least+1)*int64(time.Millisecond)))
}

func (s *server) position() fleet.LogPosition {
	if s.applied == 0 {
		return fleet.LogPosition{Term: 1}
	}
	return s.log[s.applied-1].position
}

// write appends a commit to the log of a primary, and replicates it to the servers that follow it.
func (m *model) write(s *server, session int) *commit {
	last := s.position()
	c := &commit{position: fleet.LogPosition{Term: s.term, Index: last.Index + 1}, session: session}
	c.byFormerPrimary = s.name != m.primary
	c.rolledBack = c.byFormerPrimary
	s.log = append(s.log, c)
	s.applied = len(s.log)
	m.commits = append(m.commits, c)
	for _, n := range modelServers {
		if n != s.name {
			m.replicate(s, m.servers[n])
		}
	}
	return c
}

// replicate sends the log of one server to another that follows it, which applies the log later.
func (m *model) replicate(from, to *server) {
	if from.cutFromInstances || to.cutFromInstances || to.role == fleet.RolePrimary || to.term != from.term {
		return
	}
	log, started := slices.Clone(from.log), from.started
	m.after(m.randomMillis(0, 3), func() {
		if from.cutFromInstances || to.cutFromInstances || to.term != from.term || from.started != started ||
			to.role == fleet.RolePrimary || len(log) <= len(to.log) {
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

// promote makes a server the primary of a later term, with the log that it has received.
func (m *model) promote(s *server, t fleet.Term) {
	s.role, s.term, s.applied = fleet.RolePrimary, t, len(s.log)
	m.primary, m.term = s.name, t
	for _, c := range m.commits {
		c.rolledBack = c.rolledBack || !slices.Contains(s.log, c)
	}
	m.tracef("%s is the primary of term %d from %v", s.name, t, s.position())
	for _, n := range modelServers {
		m.followLater(s, m.servers[n])
	}
}

// followLater makes a server follow the primary of a later term once it can reach that. A replica
// does so within 100 ms; a primary that was replaced goes on for a second.
func (m *model) followLater(primary, s *server) {
	if s == primary || s.term >= primary.term {
		return
	}
	wait := m.randomMillis(0, 100)
	if s.role == fleet.RolePrimary {
		wait = m.randomMillis(900, 1100)
	}
	m.after(wait, func() {
		switch {
		case primary.role != fleet.RolePrimary || s.term >= primary.term:
		case primary.cutFromInstances || s.cutFromInstances:
			m.followLater(primary, s)
		default:
			m.follow(primary, s)
		}
	})
}

func (m *model) follow(primary, s *server) {
	common := 0
	for common < min(len(s.log), len(primary.log)) && s.log[common] == primary.log[common] {
		common++
	}
	s.role, s.term = fleet.RoleReplica, primary.term
	s.log = slices.Clone(s.log[:common])
	s.applied = min(s.applied, common)
	m.replicate(primary, s)
}

// dial opens a connection of a host.
func (m *model) dial(r *relay.Relay, c *relay.Conn) {
	w := &modelConn{
		m: m, relay: r, server: m.servers[c.Instance], conn: c, arrivesAt: m.now, repliesAt: m.now,
		state: statement.TxNone,
	}
	w.started = w.server.started
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
		w.reply(statement.Answer{}, func(a statement.Answer) { r.ConnOpened(c, a) })
	})
}

// send runs f when a statement of kind k reaches the server, after all that was sent before. During
// a network partition it waits until the partition heals, however long that takes.
func (w *modelConn) send(k statement.Kind, f func()) {
	work := time.Duration(0)
	if k == statement.KindRead || k == statement.KindWrite || k == statement.KindExecute {
		work = w.m.randomMillis(1, 40)
	}
	w.arrivesAt = times.Later(w.arrivesAt, w.m.now.Add(w.delay)).Add(work)
	w.m.at(w.arrivesAt, func() { w.deliver(f) })
}

func (w *modelConn) deliver(f func()) {
	w.arrive(func() {
		if w.started != w.server.started {
			w.reset()
			return
		}
		f()
	})
}

// arrive runs f once the partition has healed, unless the host has closed the connection.
func (w *modelConn) arrive(f func()) {
	switch {
	case w.closed:
	case w.server.cutFromHost:
		w.m.after(w.m.randomMillis(20, 200), func() { w.arrive(f) })
	default:
		f()
	}
}

// reset ends the connection, as the server knows nothing of it.
func (w *modelConn) reset() {
	if !w.closed {
		w.closed = true
		w.relay.ConnClosed(w.conn, errReset)
	}
}

func (w *modelConn) reply(a statement.Answer, receive func(a statement.Answer)) {
	a.State, a.Position = w.state, fleet.Some(w.server.position())
	w.repliesAt = times.Later(w.repliesAt, w.m.now.Add(w.delay))
	w.m.at(w.repliesAt, func() {
		w.arrive(func() { receive(a) })
	})
}

// handle runs a statement on the server and sends the answer.
func (w *modelConn) handle(q statement.Statement) {
	answer := func(a statement.Answer) {
		w.reply(a, func(a statement.Answer) { w.relay.HandleAnswer(w.conn, a) })
	}
	s := w.server
	if w.plain && s.role != fleet.RolePrimary && q.Kind != statement.KindRollback {
		w.plain, w.state = false, statement.TxFailed
		answer(statement.Answer{Code: statement.CodeReadOnly})
		return
	}
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
		w.written = w.plain
		if !w.plain {
			w.m.recordWrite(q.ID, w.m.write(s, w.m.operations[q.ID].session))
		}
		answer(statement.Answer{Digest: "d"})
	case statement.KindBeginRead:
		w.state = statement.TxOpen
		answer(statement.Answer{})
	case statement.KindBegin:
		if s.role != fleet.RolePrimary {
			answer(statement.Answer{Code: statement.CodeReadOnly})
			return
		}
		w.state, w.plain = statement.TxOpen, true
		answer(statement.Answer{})
	case statement.KindCommit, statement.KindRollback:
		if w.written && q.Kind == statement.KindCommit {
			w.m.recordWrite(q.ID, w.m.write(s, w.m.operations[q.ID].session))
		}
		w.state, w.plain, w.written = statement.TxNone, false, false
		answer(statement.Answer{Digest: "d"})
	case statement.KindRead, statement.KindExecute:
		w.m.checkRead(s, q.ID)
		answer(statement.Answer{Rows: []string{"row"}, Digest: "d"})
	default:
		answer(statement.Answer{})
	}
}
