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
	r            *Relay
	caller       CallerConn
	started      bool
	disconnected bool
	// openedAt is when the caller connected, turned whether its last operation was refused.
	openedAt    time.Time
	lastRefused bool

	database catalog.Database
	key      catalog.Key
	account  fleet.Account
	// route is the one in force since the last operation began.
	route catalog.Route

	// boundInstance is set for a session that is run for another host: all that it runs goes
	// there.
	boundInstance fleet.Instance

	values   []value
	prepared map[string]*prepared
	tx       transaction
	// op is the statement in progress.
	op *operation
	// lastCommit is the session's last commit, which its reads have to show.
	lastCommit fleet.LogPosition
	// pendingRejection, when set, ends the session at its next rest.
	pendingRejection *rejection
}

// rejection is what a session is told at its end.
type rejection struct {
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
	definition statement.Definition
	name       string
	id         statement.ID
}

// transaction is what a session knows of its open transaction.
type transaction struct {
	open, failed bool
	read         bool
	beginID      statement.ID
	// requiredPosition is the point that the instance's log has to cover, if another host says so.
	requiredPosition fleet.Option[fleet.LogPosition]
	// begunAt is when it began, at idleSince is when its last statement ended.
	begunAt, idleSince time.Time
	// conn runs it, from its first statement on.
	conn *Conn
	// mayHaveRun is set once an instance may have run any of it.
	mayHaveRun bool
	// mayHaveWritten is set once a write of it may have been run.
	mayHaveWritten bool
}

// maxSessionEntries bounds the values and the prepared statements of one session, so that a
// caller can't fill the memory of the host.
const maxSessionEntries = 256

// OpenSession takes in a new caller.
func (r *Relay) OpenSession(c CallerConn) *Session {
	s := &Session{r: r, caller: c, prepared: map[string]*prepared{}, openedAt: r.now()}
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
	if code, reason := s.authorise(); code != statement.CodeNone {
		s.reject(code, reason)
		return
	}
	s.started = true
	s.caller.Accept()
}

// authorise looks the caller up in the catalog in force.
func (s *Session) authorise() (statement.Code, string) {
	c := s.r.catalog
	if c == nil || s.r.drain.closingSessions {
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

// revalidate looks at an open session after a change of the catalog. A withdrawn key ends
// it at its next rest; a changed route holds from the next operation on.
func (s *Session) revalidate() {
	if !s.started || s.pendingRejection != nil {
		return
	}
	c := s.r.catalog
	if a, ok := c.AccountOf(s.key); ok && a == s.account {
		return
	}
	if s.account == "" && s.route.Public {
		return
	}
	s.pendingRejection = &rejection{statement.CodeNoAccount, "the key was withdrawn"}
	s.closeIfIdle()
}

// closeIfIdle ends a session that is to end, if it is not at work.
func (s *Session) closeIfIdle() {
	if s.pendingRejection == nil || s.op != nil || s.disconnected {
		return
	}
	if s.tx.open && s.pendingRejection.code == statement.CodeBusy {
		return
	}
	s.reject(s.pendingRejection.code, s.pendingRejection.detail)
}

func (s *Session) reject(c statement.Code, reason string) {
	if s.disconnected {
		return
	}
	s.r.note(Event{
		Kind: EventSession, Database: s.database, Account: s.account,
		Choice: "reject", Reason: reason, Code: c,
	})
	s.caller.Reject(c, reason)
	s.Disconnected()
}

// close closes the connection of a caller that has nothing in progress.
func (s *Session) close() {
	s.caller.Close()
	s.Disconnected()
}

// Disconnected takes in that the caller's connection has ended.
func (s *Session) Disconnected() {
	if s.disconnected {
		return
	}
	s.disconnected = true
	delete(s.r.sessions, s)
	if s.op != nil {
		s.op.abandon()
		s.op = nil
	}
	s.releaseConn()
}

// releaseConn gives up the connection of an open transaction, rolling it back.
func (s *Session) releaseConn() {
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
		if s.tx.conn != nil && s.op == nil && now.Sub(s.tx.idleSince) > r.catalog.TxIdle {
			r.note(Event{
				Kind: EventSession, Database: s.database, Account: s.account, Service: s.route.Service,
				Choice: "end the transaction", Reason: "it has rested for too long", Age: now.Sub(s.tx.idleSince),
			})
			s.failTransaction()
		}
	}
}
