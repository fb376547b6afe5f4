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
	// spoilt is set once the instance has turned away what was to give the connection its values:
	// it holds others than are noted here, such as another session's, and is to be used by no one.
	spoilt bool
	// owed are the answers that haven't come, in order.
	owed []owed
	// op is the operation that the connection serves, session the one whose
	// transaction it runs.
	op      *operation
	session *Session
	// since is when the state began.
	since time.Time
	// offered is set while the group chooses which operation is to have it.
	offered bool
	// via is the other host that a connection runs over, empty for one of this host's own.
	// stream names it there, and once tells that it ends with the next answer.
	via          fleet.Host
	stream       uint64
	opened, once bool
}

// owed is one answer that a connection owes.
type owed struct {
	kind  statement.Kind
	own   bool
	asked time.Time
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

// setup returns the statements that give the connection the session's values and the
// prepared statement p.
func (c *Conn) setup(s *Session, p *prepared) []statement.Statement {
	var out []statement.Statement
	drop := len(c.prepared) >= maxPrepared
	for n := range c.values {
		drop = drop || !slices.ContainsFunc(s.values, func(v value) bool { return v.name == n })
	}
	if drop {
		out = append(out, statement.Statement{Kind: statement.KindDiscard})
	}
	for _, v := range s.values {
		if old, ok := c.values[v.name]; ok && old == v.value && !drop {
			continue
		}
		out = append(out, statement.Statement{ID: v.id, Kind: statement.KindSet, Name: v.name, Value: v.value})
	}
	if p != nil && (drop || !c.prepared[p.name]) {
		out = append(out, statement.Statement{
			ID: p.id, Kind: statement.KindPrepare, Name: p.name, Definition: p.shape,
		})
	}
	return out
}

// applied notes what setup has done, and that the caller's own statements of it have
// been forwarded: from now on they are repeated as the proxy's.
func (c *Conn) applied(s *Session, p *prepared, qs []statement.Statement) {
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
		s.values[n].id = forwarded(s.values[n].id, qs)
	}
	if p != nil {
		p.id = forwarded(p.id, qs)
	}
}

func forwarded(id statement.ID, qs []statement.Statement) statement.ID {
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
		c.owed = append(c.owed, owed{kind: qs[len(qs)-1].Kind, asked: now, done: done})
		c.Send(qs)
		return
	}
	for n, q := range qs {
		o := owed{kind: q.Kind, own: q.ID == "", asked: now, done: each}
		if n == len(qs)-1 {
			o.done = done
		}
		if o.own {
			c.g.r.counts.OwnStatements++
		}
		c.owed = append(c.owed, o)
	}
	c.Send(qs)
}

// ConnOpened takes in that the connection stands.
func (r *Relay) ConnOpened(c *Conn, a statement.Answer) {
	if c.state != connDialling {
		return
	}
	dialled := c.since
	c.setState(connIdle)
	c.inst.heard(r.now())
	if c.inst.disconnected {
		c.inst.disconnected, c.inst.reconnectedAt = false, r.now()
	}
	c.inst.connLimitRefusals = 0
	c.g.addPosition(c, dialled, a)
	c.g.pump()
}

// HandleAnswer takes in the next answer on a connection.
func (r *Relay) HandleAnswer(c *Conn, a statement.Answer) {
	if c.state == connClosed {
		return
	}
	if len(c.owed) == 0 {
		c.lost("an answer that nobody asked for")
		return
	}
	o := c.owed[0]
	c.owed = c.owed[1:]
	if c.via == "" {
		c.inst.heard(r.now())
	}
	c.g.addPosition(c, o.asked, a)
	if o.done != nil {
		o.done(a)
	}
	c.g.pump()
}

// ConnectRefused takes in that the instance has refused the connection.
func (r *Relay) ConnectRefused(c *Conn, code statement.Code, detail string) {
	if c.state == connClosed {
		return
	}
	c.inst.connectRefused(r.now(), c.since, code)
	r.logEvent(Event{
		Kind: EventInstance, Service: c.Service, Instance: c.Instance, Account: c.Account,
		Choice: "connection refused", Reason: detail, Code: code,
	})
	c.lost("refused")
}

// ConnClosed takes in that the connection has ended or couldn't be made.
func (r *Relay) ConnClosed(c *Conn, err error) {
	if c.state == connClosed {
		return
	}
	why := "closed by the instance"
	if err != nil {
		why = err.Error()
	}
	if c.state == connDialling || len(c.owed) > 0 && !c.inst.heardRecently(r.now()) {
		c.inst.addFailure(r.now(), why)
	}
	c.lost(why)
	c.inst.disconnected = c.inst.disconnected || len(c.inst.conns) == 0
}

// lost closes the connection and settles what ran on it.
func (c *Conn) lost(why string) {
	if c.state == connClosed {
		return
	}
	c.setState(connClosed)
	c.inst.remove(c)
	if c.via != "" {
		delete(c.g.r.forwarding.virtual, c.stream)
		c.inst.forwardedCount--
	}
	if c.Close != nil {
		c.Close()
	}
	c.owed = nil
	op, s := c.op, c.session
	c.op, c.session = nil, nil
	if s != nil && s.tx.conn == c {
		s.tx.conn = nil
		s.tx.failed = true
	}
	if op != nil {
		op.connLost(why)
	}
	c.g.pump()
}

// retire closes a connection that nothing runs on.
func (c *Conn) retire() {
	c.op, c.session = nil, nil
	c.lost("retired")
}

// free gives the connection back once no transaction is open on it.
func (c *Conn) free() {
	c.op, c.session = nil, nil
	if c.state == connClosed {
		return
	}
	if c.inst.removed || c.via != "" || c.spoilt {
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
	if c.via != "" || len(c.owed) > 0 || c.inst.closed(c.g.r.now()) {
		// The other host rolls back when the stream ends, and the instance, which may still
		// work on a statement or is to be sent nothing, when the connection does.
		c.op = nil
		c.lost("given up in a transaction")
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

// ask has the instance say what it is. It takes no slot: an order to step down below
// term 1 changes nothing and is answered with the status.
func (c *Conn) ask() { c.stepDown(0, nil) }

// stepDown has a primary of a term below t step down, and tells what the instance says of
// itself then; reply, which may be nil, takes its answer.
func (c *Conn) stepDown(t fleet.Term, reply func(a statement.Answer)) {
	c.g.r.counts.Asked++
	c.setState(connBusy)
	asked := c.since
	q := statement.Statement{Kind: statement.KindStepDown, Term: t}
	c.send([]statement.Statement{q}, nil, func(a statement.Answer) {
		c.g.handleStatus(c, asked, a)
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
	c.state, c.since = s, c.g.r.now()
}
