package relay

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/statement"
)

// connState is how far a connection has come.
type connState string

const (
	connDialling connState = "dialling"
	connIdle     connState = "idle"
	connBusy     connState = "busy"
	connClosed   connState = "closed"
)

// Conn is one connection to an instance, for one account. Send and Close are set by
// whoever makes it.
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
	// values and prepared are what the instance holds for the connection.
	values   map[string]string
	prepared map[string]bool
	// dirty is set once the instance has turned away what was to give the connection its values:
	// it holds others than are noted here, such as another session's, and is to be used by no one.
	dirty bool
	// pending are the answers that haven't come, in order.
	pending []pendingReply
	// op is the operation that the connection serves, session the one whose
	// transaction it runs.
	op      *operation
	session *Session
	// stateSince is when the state began.
	stateSince time.Time
	// reserved is set while the group chooses which operation is to have it.
	reserved bool
	// via is the other host that a connection runs over, empty for one of this host's own.
	// stream names it there, and once tells that it ends with the next answer.
	via                            fleet.Host
	streamID                       uint64
	streamOpened, closesAfterReply bool
}

// pendingReply is one answer that a connection owes.
type pendingReply struct {
	kind     statement.Kind
	proxyOwn bool
	sentAt   time.Time
	// done takes the answer; it may be nil.
	done func(a statement.Answer)
}

// sharedName is the name under which all sessions share a prepared statement on the
// connections to instances: those with equal shapes are the same.
func sharedName(s statement.Definition) string {
	kind := "r"
	if s.Writes {
		kind = "w"
	}
	return kind + strconv.FormatUint(xxhash.Sum64String(s.Text), 36)
}

// maxPrepared bounds the prepared statements of one connection.
const maxPrepared = 512

// setupStatements returns the statements that give the connection the session's values and the
// prepared statement p.
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

// recordSetup notes what setup has done, and that the caller's own statements of it have
// been forwarded: from now on they are repeated as the proxy's.
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

func unsentID(id statement.ID, qs []statement.Statement) statement.ID {
	if slices.ContainsFunc(qs, func(q statement.Statement) bool { return q.ID == id }) {
		return ""
	}
	return id
}

// send hands statements to the instance. done takes the answer to the last one, each
// the answers to those before.
func (c *Conn) send(qs []statement.Statement, each, done func(a statement.Answer)) {
	now := c.g.r.now()
	if c.via != "" {
		// The other host answers the last one only.
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

// ConnOpened takes in that the connection stands.
func (r *Relay) ConnOpened(c *Conn, a statement.Answer) {
	if c.state != connDialling {
		return
	}
	dialled := c.stateSince
	c.setState(connIdle)
	c.inst.heard(r.now())
	if c.inst.lost {
		c.inst.lost, c.inst.back = false, r.now()
	}
	c.inst.crowded = 0
	c.g.evidence(c, dialled, a)
	c.g.dispatch()
}

// HandleAnswer takes in the next answer on a connection.
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
	c.g.evidence(c, o.sentAt, a)
	if o.done != nil {
		o.done(a)
	}
	c.g.dispatch()
}

// ConnectRefused takes in that the instance has refused the connection.
func (r *Relay) ConnectRefused(c *Conn, code statement.Code, detail string) {
	if c.state == connClosed {
		return
	}
	c.inst.turned(r.now(), c.stateSince, code)
	r.note(Event{
		Kind: EventInstance, Service: c.Service, Instance: c.Instance, Account: c.Account,
		Choice: "connection refused", Reason: detail, Code: code,
	})
	c.handleClose("refused")
}

// ConnClosed takes in that the connection has ended or couldn't be made.
func (r *Relay) ConnClosed(c *Conn, err error) {
	if c.state == connClosed {
		return
	}
	reason := "closed by the instance"
	if err != nil {
		reason = err.Error()
	}
	if c.state == connDialling || len(c.pending) > 0 && !c.inst.heardLately(r.now()) {
		c.inst.failed(r.now(), reason)
	}
	c.handleClose(reason)
	c.inst.lost = c.inst.lost || len(c.inst.conns) == 0
}

// handleClose closes the connection and settles what ran on it.
func (c *Conn) handleClose(reason string) {
	if c.state == connClosed {
		return
	}
	c.setState(connClosed)
	c.inst.remove(c)
	if c.via != "" {
		delete(c.g.r.forwarding.forwardedConns, c.streamID)
		c.inst.lent--
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
		op.cut(reason)
	}
	c.g.dispatch()
}

// retire closes a connection that nothing runs on.
func (c *Conn) retire() {
	c.op, c.session = nil, nil
	c.handleClose("retired")
}

// free gives the connection back once no transaction is open on it.
func (c *Conn) free() {
	c.op, c.session = nil, nil
	if c.state == connClosed {
		return
	}
	if c.inst.gone || c.via != "" || c.dirty {
		c.retire()
		return
	}
	c.setState(connIdle)
}

// rollback ends the transaction that is open on the connection, and frees it.
func (c *Conn) rollback() {
	c.session = nil
	if c.state == connClosed {
		return
	}
	if c.via != "" || len(c.pending) > 0 || c.inst.evacuationExpired(c.g.r.now()) {
		// The other host rolls back when the stream ends, and the instance, which may still
		// work on a statement or is to be sent nothing, when the connection does.
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

// requestStatus has the instance say what it is. It takes no slot: an order to step down below
// term 1 changes nothing and is answered with the status.
func (c *Conn) requestStatus() { c.stepDown(0, nil) }

// stepDown has a primary of a term below t step down, and tells what the instance says of
// itself then; reply, which may be nil, takes its answer.
func (c *Conn) stepDown(t fleet.Term, reply func(a statement.Answer)) {
	c.g.r.counters.Asked++
	c.setState(connBusy)
	asked := c.stateSince
	q := statement.Statement{Kind: statement.KindStepDown, Term: t}
	c.send([]statement.Statement{q}, nil, func(a statement.Answer) {
		c.g.told(c, asked, a)
		if a.Code == statement.CodeUnreachable && c.via != "" {
			c.inst.block(c.via)
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
