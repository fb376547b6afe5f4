package relay

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkdeal/core/connpool"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/statement"
)

// connState is the state of a connection to an instance.
type connState string

const (
	connDialling connState = "dialling"
	connIdle     connState = "idle"
	connBusy     connState = "busy"
	connClosed   connState = "closed"
)

// Conn is one connection to an instance, for one account. Send and Close are set by Config.Dial, or by
// connVia for a connection over another host.
type Conn struct {
	Service  fleet.Service
	Instance fleet.Instance
	Address  string
	Account  fleet.Account
	Send     func(qs []statement.Statement)
	Close    func()

	g     *group
	inst  *instance
	state connState
	// values and prepared are the session state that the instance has for the connection.
	values   map[string]string
	prepared map[string]bool
	// dirty is set once the instance has rejected statements that were to set up the connection: its
	// state may differ from the one recorded here, and be that of another session, so that the
	// connection isn't used again.
	dirty bool
	// pending lists the answers that haven't arrived, in order.
	pending []pendingReply
	// op is the operation that runs on the connection, session the one whose transaction it runs.
	op      *operation
	session *Session
	// openedAt is when the instance accepted the connection, confirmAskedAt when a status was last
	// requested on it for an operation that relies on one.
	openedAt, confirmAskedAt time.Time
	// stateSince is when the current state began.
	stateSince time.Time
	// reserved is set while dispatch considers the connection for an operation.
	reserved bool
	// demand is the record of the account among the instance's connections, nil for one over another host.
	demand *connpool.Account
	// via is the other host that the connection runs over, empty for a connection of this host's own.
	// streamID names the stream there. streamOpened is set once the stream was opened, closesAfterReply
	// if it ends with the next answer.
	via                            fleet.Host
	streamID                       uint64
	streamOpened, closesAfterReply bool
}

// pendingReply is a statement whose answer hasn't arrived.
type pendingReply struct {
	kind     statement.Kind
	proxyOwn bool
	sentAt   time.Time
	// done receives the answer; it may be nil.
	done func(a statement.Answer)
}

// sharedName returns the name under which all sessions share a prepared statement on the connections to
// instances. Equal definitions have the same name.
func sharedName(s statement.Definition) string {
	kind := "r"
	if s.Writes {
		kind = "w"
	}
	return kind + strconv.FormatUint(xxhash.Sum64String(s.Text), 36)
}

// maxPrepared bounds the prepared statements of one connection.
const maxPrepared = 512

// setupStatements returns the statements that give the connection the session's values and prepare p.
// They begin with a discard if the connection has other values or too many prepared statements.
func (c *Conn) setupStatements(s *Session, p *prepared) []statement.Statement {
	var out []statement.Statement
	discard := len(c.prepared) >= maxPrepared
	for n := range c.values {
		discard = discard || !slices.ContainsFunc(s.values, func(v value) bool { return v.name == n })
	}
	if discard {
		out = append(out, statement.Statement{Kind: statement.KindDiscard})
	}
	for _, v := range s.values {
		if old, ok := c.values[v.name]; ok && old == v.value && !discard {
			continue
		}
		out = append(out, statement.Statement{ID: v.id, Kind: statement.KindSet, Name: v.name, Value: v.value})
	}
	if p != nil && (discard || !c.prepared[p.name]) {
		out = append(out, statement.Statement{
			ID: p.id, Kind: statement.KindPrepare, Name: p.name, Definition: p.definition,
		})
	}
	return out
}

// recordSetup records the effects of the setup statements qs, and that the caller's own statements
// among them were sent: from then on they are repeated as the proxy's own.
func (c *Conn) recordSetup(s *Session, p *prepared, qs []statement.Statement) {
	for _, q := range qs {
		switch q.Kind {
		case statement.KindDiscard:
			clear(c.values)
			clear(c.prepared)
		case statement.KindSet:
			c.values[q.Name] = q.Value
		case statement.KindPrepare:
			c.prepared[q.Name] = true
		default:
		}
	}
	for n := range s.values {
		s.values[n].id = unsentID(s.values[n].id, qs)
	}
	if p != nil {
		p.id = unsentID(p.id, qs)
	}
}

// unsentID returns id, or the ID of the proxy's own statements once it was sent with qs.
func unsentID(id statement.ID, qs []statement.Statement) statement.ID {
	if slices.ContainsFunc(qs, func(q statement.Statement) bool { return q.ID == id }) {
		return ""
	}
	return id
}

// send sends statements to the instance. done receives the answer to the last one, each the answers to
// those before.
func (c *Conn) send(qs []statement.Statement, each, done func(a statement.Answer)) {
	now := c.g.r.now()
	if c.via != "" {
		// The other host answers only the last statement.
		c.pending = append(c.pending, pendingReply{kind: qs[len(qs)-1].Kind, sentAt: now, done: done})
		c.Send(qs)
		return
	}
	for n, q := range qs {
		o := pendingReply{kind: q.Kind, proxyOwn: q.ID == "", sentAt: now, done: each}
		if n == len(qs)-1 {
			o.done = done
		}
		if o.proxyOwn {
			c.g.r.counters.OwnStatements++
		}
		c.pending = append(c.pending, o)
	}
	c.Send(qs)
}

// ConnOpened handles a connection that was made. a carries the instance's log position, if it has sent
// one.
func (r *Relay) ConnOpened(c *Conn, a statement.Answer) {
	if c.state != connDialling {
		return
	}
	dialled := c.stateSince
	c.setState(connIdle)
	c.openedAt = r.now()
	c.inst.heard(r.now())
	if c.inst.disconnected {
		c.inst.disconnected, c.inst.reconnectedAt = false, r.now()
	}
	c.inst.connLimitRefusals = 0
	c.g.addPosition(c, dialled, a)
	c.g.askNewConn(c)
	c.g.dispatch()
}

// HandleAnswer handles the next answer on a connection.
func (r *Relay) HandleAnswer(c *Conn, a statement.Answer) {
	if c.state == connClosed {
		return
	}
	if len(c.pending) == 0 {
		c.handleClose("an answer that nobody asked for")
		return
	}
	o := c.pending[0]
	c.pending = c.pending[1:]
	if c.via == "" {
		c.inst.heard(r.now())
	}
	if o.kind.IsControl() && o.done != nil {
		// The status tells whether the position is the primary's.
		o.done(a)
		o.done = nil
	}
	c.g.addPosition(c, o.sentAt, a)
	if o.done != nil {
		o.done(a)
	}
	c.g.dispatch()
}

// ConnectRefused handles the instance's refusal of a connection.
func (r *Relay) ConnectRefused(c *Conn, code statement.Code, detail string) {
	if c.state == connClosed {
		return
	}
	c.inst.connectRefused(r.now(), c.stateSince, code)
	r.logEvent(Event{
		Kind: EventInstance, Service: c.Service, Instance: c.Instance, Account: c.Account,
		Choice: "connection refused", Reason: detail, Code: code,
	})
	c.handleClose("refused")
}

// ConnClosed handles a connection that has ended or couldn't be made. err is nil if the instance closed
// it.
func (r *Relay) ConnClosed(c *Conn, err error) {
	if c.state == connClosed {
		return
	}
	reason := "closed by the instance"
	if err != nil {
		reason = err.Error()
	}
	if c.state == connDialling || len(c.pending) > 0 && !c.inst.heardRecently(r.now()) {
		c.inst.addFailure(r.now(), reason)
	}
	c.recordReset()
	c.handleClose(reason)
	c.inst.disconnected = c.inst.disconnected || len(c.inst.conns) == 0
}

// handleClose closes the connection and settles the operation and the transaction that ran on it.
func (c *Conn) handleClose(reason string) {
	if c.state == connClosed {
		return
	}
	c.setState(connClosed)
	c.inst.remove(c)
	if c.via != "" {
		delete(c.g.r.forwarding.forwardedConns, c.streamID)
		c.inst.forwardedCount--
	}
	if c.Close != nil {
		c.Close()
	}
	c.pending = nil
	op, s := c.op, c.session
	c.op, c.session = nil, nil
	if s != nil && s.tx.conn == c {
		s.tx.conn = nil
		s.tx.failed = true
	}
	if op != nil {
		op.connLost(reason)
	}
	c.g.dispatch()
}

// retire closes a connection on which nothing runs.
func (c *Conn) retire() {
	c.op, c.session = nil, nil
	c.handleClose("retired")
}

// free makes the connection idle again once no transaction is open on it. It closes one that can't be
// reused.
func (c *Conn) free() {
	c.op, c.session = nil, nil
	if c.state == connClosed {
		return
	}
	if c.inst.removed || c.via != "" || c.dirty {
		c.retire()
		return
	}
	c.setState(connIdle)
}

// rollback ends the transaction that is open on the connection, and frees the connection.
func (c *Conn) rollback() {
	c.session = nil
	if c.state == connClosed {
		return
	}
	if c.via != "" || len(c.pending) > 0 || c.inst.evacuationExpired(c.g.r.now()) {
		// The other host rolls back when the stream ends. The instance does when the connection ends:
		// it may still be running a statement, or may not be sent anything any more.
		c.op = nil
		c.handleClose("given up in a transaction")
		return
	}
	c.send([]statement.Statement{{Kind: statement.KindRollback}}, nil, func(a statement.Answer) {
		if a.State != statement.TxNone {
			c.retire()
			return
		}
		c.free()
	})
}

// requestStatus asks the instance for its status. It takes no slot: a request to step down below term 1
// changes nothing and is answered with the status.
func (c *Conn) requestStatus() { c.control(statement.KindStepDown, 0, nil) }

// control sends a control statement, and handles the status that the instance answers with. reply, which may be
// nil, receives the answer.
func (c *Conn) control(k statement.Kind, t fleet.Term, reply func(a statement.Answer)) {
	c.g.r.counters.StatusRequests++
	c.setState(connBusy)
	asked := c.stateSince
	q := statement.Statement{Kind: k, Term: t}
	c.send([]statement.Statement{q}, nil, func(a statement.Answer) {
		c.g.handleStatus(c, asked, a)
		if k == statement.KindPause && (a.Code == statement.CodeMalformed || a.Code == statement.CodeOther) {
			c.inst.unholdable = true
		}
		if a.Code == statement.CodeUnreachable && c.via != "" {
			c.inst.blockHost(c.via)
		}
		if c.state == connBusy {
			c.free()
		}
		if reply != nil {
			reply(a)
		}
	})
}

func (c *Conn) setState(s connState) {
	c.state, c.stateSince = s, c.g.r.now()
}
