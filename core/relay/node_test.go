package relay_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
)

// node simulates one instance.
type node struct {
	name     fleet.Instance
	role     fleet.Role
	term     fleet.Term
	position fleet.LogPosition
	conns    []*link
	executed []string
	silent   bool
	// hold keeps answers in pending until it is unset and they are delivered.
	hold    bool
	pending []func()
	// holdRequests keeps statements in inbox, which a test runs in an order of its own.
	holdRequests bool
	inbox        []func()
	// fail holds the codes that the next statements fail with, one each, instead of running.
	fail []statement.Code
	// refuse is the code that new connections are refused with, empty to accept them.
	refuse statement.Code
	// unlisted is set while the list of instances lacks it.
	unlisted bool
	// busy makes it refuse all statements but step-downs and rollbacks.
	busy bool
	// otherDataCentre is set if it is in another data centre than the relay.
	otherDataCentre bool
	// cold is for how much longer it reports itself as slow.
	cold time.Duration
	// started is the time of its start that the list gives.
	started int64
	// lagged counts the statements that required a log position which the log doesn't cover.
	lagged int
	// gotReads counts the reads that it has got, failed or not.
	gotReads int
	// dialled counts the connection attempts.
	dialled int
	// held is the term with which it is held back, zero if it isn't; rejectsPause makes it know no such request.
	held         fleet.Term
	rejectsPause bool
}

// link is the node's end of one connection.
type link struct {
	node  *node
	conn  *relay.Conn
	state statement.TxState
	// writes is set in a transaction that only a primary accepts.
	writes bool
	values map[string]string
	names  map[string]statement.Definition
	closed bool
}

func (n *node) answer(l *link, a statement.Answer) statement.Answer {
	a.State = l.state
	a.Position = fleet.Some(n.position)
	return a
}

func (w *world) receive(l *link, q statement.Statement) {
	n := l.node
	if n.silent || l.closed {
		return
	}
	if n.holdRequests {
		n.inbox = append(n.inbox, func() { w.receive(l, q) })
		return
	}
	a := n.run(l, q)
	n.pending = append(n.pending, func() {
		if !l.closed {
			w.relay.HandleAnswer(l.conn, a)
		}
	})
}

// run handles a statement as an instance does, and returns the answer.
func (n *node) run(l *link, q statement.Statement) statement.Answer {
	var a statement.Answer
	if q.Kind == statement.KindRead {
		n.gotReads++
	}
	if n.busy && !q.Kind.IsControl() && q.Kind != statement.KindRollback {
		return n.answer(l, statement.Answer{Code: statement.CodeBusy})
	}
	if p, ok := q.After.Get(); ok && !n.position.Covers(p) {
		n.lagged++
		return n.answer(l, statement.Answer{Code: statement.CodeLagging})
	}
	if l.writes && n.role != fleet.RolePrimary && q.Kind != statement.KindRollback {
		l.state = statement.TxFailed
		return n.answer(l, statement.Answer{Code: statement.CodeReadOnly})
	}
	if q.ID != "" && len(n.fail) > 0 && runs(q.Kind) {
		a.Code, n.fail = n.fail[0], n.fail[1:]
		if l.state == statement.TxOpen {
			l.state = statement.TxFailed
		}
		return n.answer(l, a)
	}
	switch q.Kind {
	case statement.KindDiscard:
		clear(l.values)
		clear(l.names)
	case statement.KindSet:
		l.values[q.Name] = q.Value
	case statement.KindPrepare:
		l.names[q.Name] = q.Definition
	case statement.KindBegin, statement.KindBeginRead:
		if q.Kind == statement.KindBegin && n.role != fleet.RolePrimary {
			return n.answer(l, statement.Answer{Code: statement.CodeReadOnly})
		}
		l.state, l.writes = statement.TxOpen, q.Kind == statement.KindBegin
		n.executed = append(n.executed, "begin "+string(q.ID))
	case statement.KindRollback:
		l.state, l.writes = statement.TxNone, false
		n.executed = append(n.executed, "rollback")
	case statement.KindStepDown, statement.KindPause, statement.KindResume:
		return n.control(l, q)
	default:
		return n.work(l, q)
	}
	return n.answer(l, a)
}

// control handles a control statement.
func (n *node) control(l *link, q statement.Statement) statement.Answer {
	switch {
	case q.Kind == statement.KindPause && n.rejectsPause:
		return n.answer(l, statement.Answer{Code: statement.CodeMalformed})
	case q.Kind == statement.KindPause && n.role == fleet.RoleReplica && q.Term > n.term:
		n.held = q.Term
	case q.Kind == statement.KindResume:
		n.held = 0
	case q.Kind == statement.KindStepDown && q.Term > n.term:
		n.role, n.term = fleet.RoleReplica, q.Term
	}
	row := fmt.Sprintf("%s %d %d %d %d", n.role, n.term, n.position.Term, n.position.Index, n.held)
	return n.answer(l, statement.Answer{Rows: []string{row}})
}

func runs(k statement.Kind) bool {
	switch k {
	case statement.KindRead, statement.KindWrite, statement.KindExecute, statement.KindCommit:
		return true
	default:
		return false
	}
}

func (n *node) work(l *link, q statement.Statement) statement.Answer {
	writes := q.Kind == statement.KindWrite
	if q.Kind == statement.KindExecute {
		s, ok := l.names[q.Name]
		if !ok {
			return n.answer(l, statement.Answer{Code: statement.CodeNotPrepared})
		}
		writes = s.Writes
	}
	if writes && n.role != fleet.RolePrimary {
		return n.answer(l, statement.Answer{Code: statement.CodeReadOnly})
	}
	values := make([]string, 0, len(l.values))
	for k, v := range l.values {
		values = append(values, k+"="+v)
	}
	slices.Sort(values)
	n.executed = append(n.executed, strings.TrimSpace(fmt.Sprintf("%s %s %s", q.Kind, q.ID, strings.Join(values, " "))))
	if q.Kind == statement.KindCommit {
		l.state, l.writes = statement.TxNone, false
	}
	if writes && l.state == statement.TxNone || q.Kind == statement.KindCommit {
		n.position = fleet.LogPosition{Term: n.term, Index: n.position.Index + 1}
	}
	return n.answer(l, statement.Answer{Rows: []string{"row"}, Digest: "d-" + string(n.name)})
}
