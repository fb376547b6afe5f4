package relay

import (
	"time"

	"skylarkdeal/core/statement"
)

// rejection is the error that ends a session. The code is CodeNone if the caller ends it.
type rejection struct {
	code   statement.Code
	detail string
	// since is when it was decided.
	since time.Time
	// shutdown is set if the session ends because the host shuts down. What was read is still run, and an open
	// transaction may go on for a while.
	shutdown bool
	// told is set once a statement was answered with the error: no further message follows.
	told bool
}

// settled reports whether everything that was read from the caller is answered, and every answer is written. This host
// ends a session only then.
//
// Guards against callers that lose the answer of a statement which this host has read: one that still waits for its
// admission, one that was sent ahead, and an answer that is longer than what the network takes at once.
func (s *Session) settled() bool {
	return !s.Busy() && (s.caller.Settled == nil || s.caller.Settled())
}

// mustEnd reports whether the session is to end, and nothing more to be run in it.
func (s *Session) mustEnd() bool { return s.pendingRejection != nil && !s.pendingRejection.shutdown }

// reject ends the session with an error. A statement in progress, which must not have been sent, is answered with it.
func (s *Session) reject(c statement.Code, reason string) {
	if s.disconnected {
		return
	}
	j := rejection{code: c, detail: reason, told: s.started && s.Busy()}
	if j.told {
		s.answer(statement.Answer{Code: c, Detail: reason, State: s.state()})
	}
	s.endWhenSettled(j)
}

// endWhenSettled ends the session with a rejection once it is settled. An earlier rejection stays, unless it was for a
// shutdown.
func (s *Session) endWhenSettled(j rejection) {
	j.since = s.r.now()
	if s.mustEnd() {
		old := s.pendingRejection
		old.told = old.told || j.told
		j = *old
	}
	s.pendingRejection = &j
	s.r.ending[s] = struct{}{}
	s.EndIfSettled()
}

// EndIfSettled ends a session that is to end, once it is settled. It is called whenever the session may have become
// settled. A shutdown waits for an open transaction too.
func (s *Session) EndIfSettled() {
	j := s.pendingRejection
	if j == nil || s.disconnected || s.started && !s.settled() {
		return
	}
	switch {
	case j.shutdown && s.tx.open:
	case j.code == statement.CodeNone:
		s.closeConn()
	case j.told:
		s.logEnd("reject", j.detail, j.code)
		s.closeConn()
	default:
		s.logEnd("reject", j.detail, j.code)
		s.caller.Reject(j.code, j.detail)
		s.Disconnected()
	}
}

// unsettledTimeout is how long the end of a session waits for a caller that doesn't read its answers. A shutdown waits
// until the end of its grace.
const unsettledTimeout = 30 * time.Second

// tickEnding ends the sessions that have become settled, and those whose callers don't read.
func (r *Relay) tickEnding(now time.Time) {
	for s := range r.ending {
		s.EndIfSettled()
		j := s.pendingRejection
		if !s.disconnected && !s.Busy() && !j.shutdown && now.Sub(j.since) > unsettledTimeout {
			s.cut(j.detail)
		}
	}
}

// cut closes the connection of a caller with answers that can't be written.
func (s *Session) cut(reason string) {
	s.r.counters.AnswersCut++
	s.logEnd("cut", reason+"; the caller has not read all answers", statement.CodeNone)
	s.closeConn()
}

// logEnd logs that the session is ended by this host, with the statement that is left without an answer, if any.
func (s *Session) logEnd(choice, reason string, c statement.Code) {
	e := Event{
		Kind: EventSession, Database: s.database, Account: s.account, Choice: choice, Reason: reason, Code: c,
	}
	if id, ok := s.unanswered.Get(); ok {
		s.r.counters.StatementsCut++
		e.ID, e.Took = id, s.r.now().Sub(s.arrivedAt)
	}
	s.r.logEvent(e)
}

// Bye ends the session at its caller's request.
func (s *Session) Bye() {
	s.endWhenSettled(rejection{code: statement.CodeNone, detail: "the caller has ended the session"})
}

// closeConn closes the connection of a caller without a message.
func (s *Session) closeConn() {
	s.caller.Close()
	s.Disconnected()
}
