package database

import (
	"bytes"
	"encoding/binary"
	"errors"

	"skylarkdeal/core/exchange"
)

// stepKind is what a step of an exchange was sent as.
type stepKind string

const (
	stepQuery stepKind = "query"
	// stepMode switches the connection between reads and writes.
	stepMode stepKind = "mode"
	// stepInject is a Parse, stepEvict a Close, that the caller didn't send.
	stepInject   stepKind = "inject"
	stepEvict    stepKind = "evict"
	stepParse    stepKind = "parse"
	stepDropped  stepKind = "dropped"
	stepBind     stepKind = "bind"
	stepDescribe stepKind = "describe"
	stepExecute  stepKind = "execute"
	stepClose    stepKind = "close"
	stepSync     stepKind = "sync"
)

// step is one message sent, or left out, for which an answer is due in order.
type step struct {
	kind     stepKind
	name     string
	readOnly bool
}

// hidden reports whether the answer is not the caller's.
func (s *step) hidden() bool {
	return s.kind == stepMode || s.kind == stepInject || s.kind == stepEvict
}

// endsReady reports whether the answer ends with ReadyForQuery.
func (s *step) endsReady() bool {
	return s.kind == stepQuery || s.kind == stepMode || s.kind == stepSync
}

// endsWith reports whether a message of type t is the last of the answer.
func (s *step) endsWith(t byte) bool {
	switch s.kind {
	case stepInject, stepParse:
		return t == '1'
	case stepBind:
		return t == '2'
	case stepEvict, stepClose:
		return t == '3'
	case stepDescribe:
		return t == 'T' || t == 'n'
	case stepExecute:
		return t == 'C' || t == 'I' || t == 's'
	default:
		return false
	}
}

var errPayload = errors.New("payload is not whole frontend messages")

// compose writes into c.out what has to be sent for q, and into c.steps what is
// to be answered.
func (c *Conn) compose(q *exchange.Request) error {
	c.out, c.steps = c.out[:0], c.steps[:0]
	c.composed = c.prepared.now
	c.composeMode(q)
	for i := range q.Statements {
		if s := &q.Statements[i]; !c.prepared.has(s.Name) {
			c.inject(s)
		}
	}
	for p := q.Payload; len(p) > 0; {
		n, ok := messageLen(p)
		if !ok {
			return errPayload
		}
		if err := c.message(p[:n]); err != nil {
			return err
		}
		p = p[n:]
	}
	if n := len(c.steps); n == 0 || !c.steps[n-1].endsReady() {
		return errPayload
	}
	return nil
}

// composeMode has the instance itself refuse writes of what was declared a
// read. A read may be run again after a lost answer, and a write that hid in it
// would be doubled. Within a transaction the mode was set by its BEGIN. It is
// kept for replicas too, as one may have been promoted since it last answered.
func (c *Conn) composeMode(q *exchange.Request) {
	want := q.Intent == exchange.IntentRead
	if q.Pin != 0 || c.status != exchange.TxIdle || want == c.readOnly {
		return
	}
	v := "off"
	if want {
		v = "on"
	}
	c.out = append(c.out, query("SET default_transaction_read_only = "+v)...)
	c.steps = append(c.steps, step{kind: stepMode, readOnly: want})
}

// inject prepares a statement that the connection lacks, and makes room for it.
func (c *Conn) inject(s *exchange.Statement) {
	c.evict()
	c.pool.metrics.reparsed.Inc()
	c.out = append(c.out, 'P')
	n := 4 + len(s.Name) + 1 + len(s.SQL) + 1 + 2 + 4*len(s.Types)
	c.out = binary.BigEndian.AppendUint32(c.out, uint32(n))
	c.out = append(append(c.out, s.Name...), 0)
	c.out = append(append(c.out, s.SQL...), 0)
	c.out = binary.BigEndian.AppendUint16(c.out, uint16(len(s.Types)))
	for _, t := range s.Types {
		c.out = binary.BigEndian.AppendUint32(c.out, t)
	}
	c.steps = append(c.steps, step{kind: stepInject, name: s.Name})
}

// evict closes the statement used longest ago when there are too many, but none
// that this exchange uses.
func (c *Conn) evict() {
	name, ok := c.prepared.oldest(c.composed)
	if !ok {
		return
	}
	c.prepared.remove(name)
	c.out = append(c.out, 'C')
	c.out = binary.BigEndian.AppendUint32(c.out, uint32(4+1+len(name)+1))
	c.out = append(append(append(c.out, 'S'), name...), 0)
	c.steps = append(c.steps, step{kind: stepEvict, name: name})
}

// message adds one message of the payload.
func (c *Conn) message(m []byte) error {
	s := step{}
	switch m[0] {
	case 'Q':
		s.kind = stepQuery
	case 'P':
		name, _, ok := bytes.Cut(m[headerLen:], []byte{0})
		if !ok {
			return errPayload
		}
		s.kind, s.name = stepParse, string(name)
		if c.sendsNoParse(s.name) {
			c.steps = append(c.steps, step{kind: stepDropped, name: s.name})
			return nil
		}
		c.evict()
	case 'B':
		s.kind = stepBind
	case 'D':
		s.kind = stepDescribe
	case 'E':
		s.kind = stepExecute
	case 'C':
		s.kind = stepClose
	case 'S':
		s.kind = stepSync
	default:
		return errPayload
	}
	c.out = append(c.out, m...)
	c.steps = append(c.steps, s)
	return nil
}

// sendsNoParse reports whether the statement is there already, or will be by an
// earlier message of this exchange.
func (c *Conn) sendsNoParse(name string) bool {
	if name == "" {
		return false
	}
	if c.prepared.has(name) {
		return true
	}
	for i := range c.steps {
		if k := c.steps[i].kind; (k == stepInject || k == stepParse) && c.steps[i].name == name {
			return true
		}
	}
	return false
}

// messageLen returns the length of the message that p begins with.
func messageLen(p []byte) (int, bool) {
	if len(p) < headerLen {
		return 0, false
	}
	n := 1 + int(binary.BigEndian.Uint32(p[1:]))
	return n, n >= headerLen && n <= len(p)
}
