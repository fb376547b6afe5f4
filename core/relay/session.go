package relay

import (
	"time"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/statement"
)

// CallerConn is the way to one caller.
type CallerConn struct {
	// Accept lets the caller in.
	Accept func()
	// Answer gives the answer to the statement in progress.
	Answer func(a statement.Answer)
	// Reject sends a last message and closes.
	Reject func(c statement.Code, detail string)
	// Close closes without a word.
	Close func()
}

// Session is one caller's connection.
type Session struct {
	r       *Relay
	link    CallerConn
	started bool
	gone    bool
	// opened is when the caller connected, turned whether its last operation was refused.
	opened time.Time
	turned bool

	database catalog.Database
	key      catalog.Key
	account  fleet.Account
	// route is the one in force since the last operation began.
	route catalog.Route

	// instance is set for a session that is run for another host: all that it runs goes
	// there.
	instance fleet.Instance

	values   []value
	prepared map[string]*prepared
	tx       transaction
	// op is the statement in progress.
	op *operation
	// written is the session's last commit, which its reads have to show.
	written fleet.LogPosition
	// closing, when set, ends the session at its next rest.
	closing *ending
}

// ending is what a session is told at its end.
type ending struct {
	code   statement.Code
	detail string
}

// value is a session value that its caller has set.
type value struct {
	name, value string
	// id is the caller's statement; it is forwarded as such once, and repeated on other
	// connections as the proxy's own.
	id statement.ID
}

// prepared is a statement that the caller has prepared.
type prepared struct {
	shape statement.Definition
	name  string
	id    statement.ID
}

// transaction is what a session knows of its open transaction.
type transaction struct {
	open, failed bool
	read         bool
	begin        statement.ID
	// after is the point that the instance's log has to cover, if another host says so.
	after fleet.Option[fleet.LogPosition]
	// asked is when it began, at rest is when its last statement ended.
	asked, rest time.Time
	// conn runs it, from its first statement on.
	conn *Conn
	// ran is set once an instance may have run any of it.
	ran bool
	// writes is set once a write of it may have been run.
	writes bool
}

// maxNames bounds the values and the prepared statements of one session, so that a
// caller can't fill the memory of the host.
const maxNames = 256

// OpenSession takes in a new caller.
func (r *Relay) OpenSession(l CallerConn) *Session {
	s := &Session{r: r, link: l, prepared: map[string]*prepared{}, opened: r.now()}
	r.sessions[s] = struct{}{}
	return s
}

// Busy reports whether a statement of the session is in progress.
func (s *Session) Busy() bool { return s.op != nil }

// Start lets the caller in by the database and the key that it names, or not.
func (s *Session) Start(d catalog.Database, k catalog.Key) {
	if s.started {
		s.reject(statement.CodeMalformed, "the session has started already")
		return
	}
	s.database, s.key = d, k
	if code, why := s.admitted(); code != statement.CodeNone {
		s.reject(code, why)
		return
	}
	s.started = true
	s.link.Accept()
}

// admitted looks the caller up in the catalog in force.
func (s *Session) admitted() (statement.Code, string) {
	c := s.r.catalog
	if c == nil || s.r.drain.closing {
		return statement.CodeBusy, "this host takes no sessions now; come back to another"
	}
	route, ok := c.Routes[s.database]
	if !ok {
		return statement.CodeNoDatabase, "no such database"
	}
	account, known := c.AccountOf(s.key)
	if !known && !route.Public {
		return statement.CodeNoAccount, "no account has this key"
	}
	if s.tx.open {
		return statement.CodeNone, ""
	}
	s.route, s.account = route, account
	return statement.CodeNone, ""
}

// review looks at an open session after a change of the catalog. A withdrawn key ends
// it at its next rest; a changed route holds from the next operation on.
func (s *Session) review() {
	if !s.started || s.closing != nil {
		return
	}
	c := s.r.catalog
	if a, ok := c.AccountOf(s.key); ok && a == s.account {
		return
	}
	if s.account == "" && s.route.Public {
		return
	}
	s.closing = &ending{statement.CodeNoAccount, "the key was withdrawn"}
	s.rest()
}

// rest ends a session that is to end, if it is not at work.
func (s *Session) rest() {
	if s.closing == nil || s.op != nil || s.gone {
		return
	}
	if s.tx.open && s.closing.code == statement.CodeBusy {
		return
	}
	s.reject(s.closing.code, s.closing.detail)
}

func (s *Session) reject(c statement.Code, why string) {
	if s.gone {
		return
	}
	s.r.logEvent(Event{
		Kind: EventSession, Database: s.database, Account: s.account,
		Choice: "reject", Reason: why, Code: c,
	})
	s.link.Reject(c, why)
	s.Disconnected()
}

// end closes the connection of a caller that has nothing in progress.
func (s *Session) end() {
	s.link.Close()
	s.Disconnected()
}

// Disconnected takes in that the caller's connection has ended.
func (s *Session) Disconnected() {
	if s.gone {
		return
	}
	s.gone = true
	delete(s.r.sessions, s)
	if s.op != nil {
		s.op.abandon()
		s.op = nil
	}
	s.release()
}

// release gives up the connection of an open transaction, rolling it back.
func (s *Session) release() {
	c := s.tx.conn
	s.tx.conn = nil
	if c != nil {
		c.rollback()
	}
}

// HandleMalformed answers a line that isn't one of the protocol's.
func (s *Session) HandleMalformed(id statement.ID) {
	if !s.started || id == "" {
		s.reject(statement.CodeMalformed, "not a message of the protocol")
		return
	}
	s.refuse(statement.CodeMalformed, "not a statement of the protocol", 0)
}

// state is that of the session's transaction.
func (s *Session) state() statement.TxState {
	switch {
	case s.tx.failed:
		return statement.TxFailed
	case s.tx.open:
		return statement.TxOpen
	default:
		return statement.TxNone
	}
}

// tickSessions ends transactions that have rested for too long, and sessions of a host
// that shuts down.
func (r *Relay) tickSessions(now time.Time) {
	r.tickDrain(now)
	if r.catalog == nil || r.catalog.TxIdle <= 0 {
		return
	}
	for s := range r.sessions {
		if s.tx.conn != nil && s.op == nil && now.Sub(s.tx.rest) > r.catalog.TxIdle {
			r.logEvent(Event{
				Kind: EventSession, Database: s.database, Account: s.account, Service: s.route.Service,
				Choice: "end the transaction", Reason: "it has rested for too long", Age: now.Sub(s.tx.rest),
			})
			s.fail()
		}
	}
}
