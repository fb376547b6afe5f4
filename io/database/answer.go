package database

import (
	"bytes"
	"errors"

	"skylarkdeal/core/exchange"
)

var parseComplete = []byte{'1', 0, 0, 0, 4}

var (
	errCopyIn     = errors.New("COPY FROM STDIN is not supported")
	errUnexpected = errors.New("answer doesn't match what was sent")
)

// answer passes on the answer of one exchange.
type answer struct {
	c    *Conn
	send func([]byte) error
	// next is the step whose answer comes next.
	next int
	// failed is set from an error up to ReadyForQuery: the instance skips what
	// was sent in between.
	failed bool
}

// flush passes on what has been gathered.
func (a *answer) flush() error {
	g := a.c.gather
	if len(g) == 0 {
		return nil
	}
	a.c.gather = g[:0]
	return a.send(g)
}

// forward passes on one message, gathered with its neighbours.
func (a *answer) forward(m []byte) error {
	if len(a.c.gather)+len(m) > chunk {
		if err := a.flush(); err != nil {
			return err
		}
	}
	if len(m) >= chunk {
		return a.send(m)
	}
	a.c.gather = append(a.c.gather, m...)
	return nil
}

// take works on one message of the instance. It reports whether it was the last.
func (a *answer) take(m []byte) (done bool, err error) {
	c := a.c
	switch m[0] {
	case 'S':
		c.noteParameter(m[headerLen:])
		return false, nil
	case 'A':
		// A notification belongs to whoever listened on this connection before.
		return false, nil
	case 'G', 'W':
		return false, errCopyIn
	case 'Z':
		return a.ready(m)
	case 'E':
		return false, a.error(m)
	case 'N':
		return false, a.pass(m)
	}
	return false, a.complete(m)
}

// pass forwards m unless it answers what the proxy itself has sent.
func (a *answer) pass(m []byte) error {
	if s := a.step(); s != nil && s.hidden() {
		return nil
	}
	return a.forward(m)
}

func (a *answer) step() *step {
	if a.next >= len(a.c.steps) {
		return nil
	}
	return &a.c.steps[a.next]
}

// complete works on a message of the answer to the present step, and goes on
// to the next step when it is the last for this one.
func (a *answer) complete(m []byte) error {
	s := a.step()
	if s == nil {
		return errUnexpected
	}
	if s.kind == stepQuery || s.kind == stepMode {
		return a.pass(m)
	}
	if err := a.pass(m); err != nil {
		return err
	}
	if !s.endsWith(m[0]) {
		return nil
	}
	if s.kind == stepParse || s.kind == stepInject {
		a.c.prepared.add(s.name)
	}
	a.next++
	return a.skipDropped()
}

// skipDropped answers the Parse messages that were not sent, as the connection
// has their statements, in their place.
func (a *answer) skipDropped() error {
	for s := a.step(); s != nil && s.kind == stepDropped; s = a.step() {
		if err := a.forward(parseComplete); err != nil {
			return err
		}
		a.next++
	}
	return nil
}

// error passes on an error, after which the instance answers nothing up to Sync.
func (a *answer) error(m []byte) error {
	if code, text, fatal := errorFields(m[headerLen:]); fatal {
		return fatalError{code, text}
	}
	if s := a.step(); s != nil && s.kind == stepMode {
		return errUnexpected
	}
	if s := a.step(); s != nil && s.kind != stepQuery {
		a.failed = true
	}
	return a.forward(m)
}

// ready ends the messages up to a Query or Sync.
func (a *answer) ready(m []byte) (done bool, err error) {
	if len(m) != headerLen+1 {
		return false, errUnexpected
	}
	steps := a.c.steps
	for a.next < len(steps) && !steps[a.next].endsReady() {
		if !a.failed {
			return false, errUnexpected
		}
		if s := &steps[a.next]; s.kind == stepEvict {
			// The Close was skipped, so the connection still has the statement.
			a.c.prepared.add(s.name)
		}
		a.next++
	}
	if a.next == len(steps) {
		return false, errUnexpected
	}
	if s := steps[a.next]; s.kind == stepMode {
		a.c.readOnly = s.readOnly
	}
	a.next++
	a.failed = false
	a.c.status = exchange.TxStatus(m[headerLen])
	if a.next < len(steps) {
		return false, a.skipDropped()
	}
	return true, nil
}

func (c *Conn) noteParameter(body []byte) {
	name, rest, ok := bytes.Cut(body, []byte{0})
	if !ok || string(name) != pointParameter {
		return
	}
	value, _, _ := bytes.Cut(rest, []byte{0})
	c.notePoint(value)
}

// errorFields reads the code, the message and whether the severity closes the
// connection.
func errorFields(body []byte) (code, message string, fatal bool) {
	for len(body) > 1 {
		field := body[0]
		v, rest, ok := bytes.Cut(body[1:], []byte{0})
		if !ok {
			break
		}
		switch field {
		case 'S', 'V':
			fatal = fatal || string(v) == "FATAL" || string(v) == "PANIC"
		case 'C':
			code = string(v)
		case 'M':
			message = string(v)
		}
		body = rest
	}
	return code, message, fatal
}
