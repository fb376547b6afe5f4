package relay

import (
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/statement"
)

// acknowledge answers a statement that needs no instance.
func (s *Session) acknowledge() {
	s.answer(statement.Answer{State: s.state()})
}

// refuse answers that a statement was not run, and when to retry. An open transaction fails.
func (s *Session) refuse(c statement.Code, reason string, retryAfter time.Duration) {
	if s.tx.open {
		s.failTransaction()
	}
	s.r.counters.Refused++
	s.answer(statement.Answer{Code: c, Detail: reason, RetryAfter: retryAfter, State: s.state()})
}

// failTransaction marks the open transaction as failed and rolls it back.
func (s *Session) failTransaction() {
	s.tx.failed = true
	s.releaseConn()
}

// Query handles the caller's next statement. It must not be called again before this one is answered.
func (s *Session) Query(q statement.Statement) {
	if s.disconnected {
		return
	}
	if !s.started {
		s.reject(statement.CodeMalformed, "a statement before the start of the session")
		return
	}
	s.unanswered, s.arrivedAt = fleet.Some(q.ID), s.r.now()
	s.r.counters.Statements++
	if s.endsBefore(q.ID) {
		return
	}
	if s.tx.failed && q.Kind != statement.KindCommit && q.Kind != statement.KindRollback {
		a := statement.Answer{
			Code: statement.CodeMalformed, Detail: "the transaction has failed", State: statement.TxFailed,
		}
		if s.tx.rolledBack {
			a.Code, a.Detail, a.RetryAfter = statement.CodeAborted, "rolled back: its caller was idle", shortRetryAfter
		}
		s.answer(a)
		return
	}
	switch q.Kind {
	case statement.KindSet:
		s.set(q)
	case statement.KindPrepare:
		s.prepare(q)
	case statement.KindDeallocate:
		delete(s.prepared, q.Name)
		s.acknowledge()
	case statement.KindBegin, statement.KindBeginRead:
		s.begin(q)
	case statement.KindRollback:
		s.rollback()
	default:
		s.run(q)
	}
}

// endsBefore reports whether the session is to end before a statement that has arrived, and answers the statement. A
// caller that had sent it ahead, or that reads slowly, thus learns that it was not run.
func (s *Session) endsBefore(id statement.ID) bool {
	j := s.pendingRejection
	if j == nil || j.shutdown && (s.tx.open || !s.r.drain.pastHalf(s.r.now())) {
		return false
	}
	code, retryAfter := j.code, time.Duration(0)
	switch code {
	case statement.CodeNone:
		code = statement.CodeMalformed
	case statement.CodeBusy:
		// Another host runs it.
		retryAfter = s.r.shortRetry()
	default:
	}
	j.told = true
	s.refuseLogged(id, code, j.detail, retryAfter)
	return true
}

// refuseLogged refuses a statement that needs no operation, and logs that.
func (s *Session) refuseLogged(id statement.ID, c statement.Code, reason string, retryAfter time.Duration) {
	s.r.logEvent(Event{
		Kind: EventRefuse, ID: id, Database: s.database, Service: s.route.Service, Account: s.account,
		Choice: "refuse", Reason: reason, Code: c, RetryAfter: retryAfter,
	})
	s.refuse(c, reason, retryAfter)
}

func (s *Session) set(q statement.Statement) {
	v := value{name: q.Name, value: q.Value, id: q.ID}
	for n := range s.values {
		if s.values[n].name == q.Name {
			s.values[n] = v
			s.acknowledge()
			return
		}
	}
	if len(s.values) >= maxSessionEntries {
		s.refuse(statement.CodeTooMany, "too many values in one session", 0)
		return
	}
	s.values = append(s.values, v)
	s.acknowledge()
}

func (s *Session) prepare(q statement.Statement) {
	if _, ok := s.prepared[q.Name]; !ok && len(s.prepared) >= maxSessionEntries {
		s.refuse(statement.CodeTooMany, "too many prepared statements in one session", 0)
		return
	}
	s.prepared[q.Name] = &prepared{definition: q.Definition, name: sharedName(q.Definition), id: q.ID}
	s.acknowledge()
}

// begin opens a transaction. Nothing is sent to an instance before its first statement, which then
// finds the connection, so that a caller who pauses here holds none.
func (s *Session) begin(q statement.Statement) {
	if s.tx.open {
		s.refuse(statement.CodeMalformed, "a transaction is open already", 0)
		return
	}
	s.admit(q.ID, func() { s.open(q) })
}

// open opens a transaction that was admitted.
func (s *Session) open(q statement.Statement) {
	now := s.r.now()
	s.tx = transaction{
		open: true, read: q.Kind == statement.KindBeginRead, beginID: q.ID, requiredPosition: q.After,
		begunAt: now, idleSince: now,
	}
	s.acknowledge()
}

func (s *Session) rollback() {
	s.releaseConn()
	s.tx = transaction{}
	s.acknowledge()
	s.EndIfSettled()
}

// run runs a read, a write or a commit on an instance.
func (s *Session) run(q statement.Statement) {
	var p *prepared
	if q.Kind == statement.KindExecute {
		if p = s.prepared[q.Name]; p == nil {
			s.refuse(statement.CodeNotPrepared, "no such prepared statement: "+q.Name, 0)
			return
		}
	}
	if q.Kind == statement.KindCommit && !s.checkCommit() {
		return
	}
	start := func() { newOperation(s, q, p).start() }
	if s.tx.open {
		start()
		return
	}
	s.admit(q.ID, start)
}

// checkCommit reports whether a commit is to be run, and answers it otherwise.
func (s *Session) checkCommit() bool {
	switch {
	case !s.tx.open:
		s.refuse(statement.CodeMalformed, "no transaction is open", 0)
		return false
	case s.tx.failed:
		s.tx = transaction{}
		s.answer(statement.Answer{
			Code: statement.CodeAborted, Detail: "the transaction had failed and was rolled back",
			State: statement.TxNone,
		})
		s.EndIfSettled()
		return false
	}
	return true
}
