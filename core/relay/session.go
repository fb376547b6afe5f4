package relay

import (
	"time"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/statement"
)

// CallerConn is the connection to one caller.
type CallerConn struct {
	// Accept tells the caller that its session has started.
	Accept func()
	// Answer sends the answer to the statement in progress.
	Answer func(a statement.Answer)
	// Reject sends a final error and closes the connection.
	Reject func(c statement.Code, detail string)
	// Close closes the connection without a message.
	Close func()
	// Settled reports whether all complete messages that were received have been handed on, and all answers written.
	// It may be nil for a connection that is always settled.
	Settled func() bool
}

// Session is the state of one caller's connection.
type Session struct {
	r            *Relay
	caller       CallerConn
	started      bool
	disconnected bool
	// openedAt is when the caller connected, lastRefused whether its last operation was refused.
	openedAt    time.Time
	lastRefused bool

	database catalog.Database
	key      catalog.Key
	account  fleet.Account
	// route is the catalog's route as of the start of the last operation.
	route catalog.Route

	// boundInstance is set for a session that runs for another host: all its statements go to that
	// instance.
	boundInstance fleet.Instance

	values   []value
	prepared map[string]*prepared
	tx       transaction
	// op is the statement in progress.
	op *operation
	// unanswered is the statement that has arrived, at arrivedAt, and has no answer yet.
	unanswered fleet.Option[statement.ID]
	arrivedAt  time.Time
	// lastCommit is the log position of the session's last commit, which its reads have to cover.
	lastCommit fleet.LogPosition
	// pendingRejection, if set, ends the session as soon as it is settled.
	pendingRejection *rejection
}

// value is a session value that the caller has set.
type value struct {
	name, value string
	// id is that of the caller's statement. The statement is sent under it once, and repeated on other
	// connections as the proxy's own.
	id statement.ID
}

// prepared is a prepared statement of the caller.
type prepared struct {
	definition statement.Definition
	name       string
	id         statement.ID
}

// transaction is the state of a session's open transaction.
type transaction struct {
	open, failed bool
	read         bool
	beginID      statement.ID
	// requiredPosition is the log position that the instance has to cover, if another host requires
	// one.
	requiredPosition fleet.Option[fleet.LogPosition]
	// begunAt is when it began, idleSince when its last statement ended.
	begunAt, idleSince time.Time
	// conn is the connection that runs it, from its first statement on.
	conn *Conn
	// rolledBack is set once it was rolled back since its caller was idle.
	rolledBack bool
	// mayHaveRun is set once an instance may have run any of its statements.
	mayHaveRun bool
	// mayHaveWritten is set once a write of it may have been run.
	mayHaveWritten bool
}

// maxSessionEntries bounds the values, and the prepared statements, of one session, so that a caller
// can't fill the memory of the host.
const maxSessionEntries = 256

// OpenSession opens a session for a new caller. It takes statements once Start has accepted it.
func (r *Relay) OpenSession(c CallerConn) *Session {
	s := &Session{r: r, caller: c, prepared: map[string]*prepared{}, openedAt: r.now()}
	r.sessions[s] = struct{}{}
	return s
}

// Busy reports whether a statement of the session is in progress.
func (s *Session) Busy() bool { return s.unanswered.IsSet() }

// Start accepts or rejects the caller by the database and the key that it has named.
func (s *Session) Start(d catalog.Database, k catalog.Key) {
	if s.started {
		s.reject(statement.CodeMalformed, "the session has started already")
		return
	}
	s.database, s.key = d, k
	if s.r.catalog != nil && s.r.outdated() != "" {
		s.reject(statement.CodeBusy, outdatedDetail)
		return
	}
	if s.r.drain.closingSessions {
		s.reject(statement.CodeBusy, noSessionsDetail)
		return
	}
	if code, reason := s.authorise(); code != statement.CodeNone {
		s.reject(code, reason)
		return
	}
	s.started = true
	s.r.group(s.route.Service).use()
	s.caller.Accept()
}

// noSessionsDetail tells callers of a host that has no catalog yet, or shuts down, why it turns them away.
const noSessionsDetail = "this host takes no sessions now; come back to another"

// outdatedDetail tells callers why a host refuses them, outdatedRetryAfter when to come back: a host that
// hears of a newer catalog usually has it by then.
const (
	outdatedDetail     = "this host's catalog may be outdated; come back to another"
	outdatedRetryAfter = 200 * time.Millisecond
)

// authorise looks up the caller's route and account in the current catalog. While a transaction is open
// both stay as they are. It returns the code and the reason of a rejection, or CodeNone.
func (s *Session) authorise() (statement.Code, string) {
	c := s.r.catalog
	if c == nil {
		return statement.CodeBusy, noSessionsDetail
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

// revalidate checks an open session after a change of the catalog. A withdrawn key ends the session
// once it is idle; a changed route takes effect with the next operation.
func (s *Session) revalidate() {
	if !s.started || s.mustEnd() {
		return
	}
	c := s.r.catalog
	if a, ok := c.AccountOf(s.key); ok && a == s.account {
		return
	}
	if s.account == "" && s.route.Public {
		return
	}
	s.endWhenSettled(rejection{code: statement.CodeNoAccount, detail: "the key was withdrawn"})
}

// answer answers the statement in progress.
func (s *Session) answer(a statement.Answer) {
	s.unanswered = fleet.Option[statement.ID]{}
	s.caller.Answer(a)
}

// Disconnected handles the end of the caller's connection: its statement is abandoned and its
// transaction rolled back.
func (s *Session) Disconnected() {
	if s.disconnected {
		return
	}
	s.disconnected = true
	delete(s.r.sessions, s)
	delete(s.r.ending, s)
	if s.op != nil {
		s.op.abandon()
		s.op = nil
	}
	s.releaseConn()
}

// releaseConn gives up the connection of an open transaction, which is rolled back.
func (s *Session) releaseConn() {
	c := s.tx.conn
	s.tx.conn = nil
	if c != nil {
		c.rollback()
	}
}

// HandleMalformed answers a message that isn't valid in the protocol. One without an id, or before the
// start of the session, ends the session.
func (s *Session) HandleMalformed(id statement.ID) {
	if s.disconnected {
		return
	}
	if !s.started || id == "" {
		s.reject(statement.CodeMalformed, "not a message of the protocol")
		return
	}
	s.unanswered, s.arrivedAt = fleet.Some(id), s.r.now()
	s.refuse(statement.CodeMalformed, "not a statement of the protocol", 0)
}

// state returns the state of the session's transaction.
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

// tickSessions ends transactions that were idle for too long, and sessions of a host that is shutting
// down.
func (r *Relay) tickSessions(now time.Time) {
	r.tickEnding(now)
	r.tickDrain(now)
	if r.catalog == nil || r.catalog.TxIdle <= 0 {
		return
	}
	for s := range r.sessions {
		if s.tx.conn != nil && s.op == nil && now.Sub(s.tx.idleSince) > r.catalog.TxIdle {
			s.endIdle(now, "it was idle for too long")
		}
	}
}
