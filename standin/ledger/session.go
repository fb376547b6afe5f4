package ledger

import (
	"errors"
	"maps"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
)

// session is the state of one connection between statements.
type session struct {
	counted  bool
	settings map[string]string
	prepared map[string]prepared
	portals  map[string]portal
	tx       tx
	// point is what the answer in progress reflects.
	point fleet.LogPosition
	// begun is set from the first message of a series up to its Sync, whichever
	// message that is: also a lone Describe tells where the log stands.
	begun bool
	// skip drops the messages up to Sync after an error.
	skip bool
}

// tx is the open transaction. Without BEGIN each Query, or series of messages
// up to Sync, is one of its own.
type tx struct {
	explicit bool
	failed   bool
	readOnly bool
	ops      []Op
	// values are what the ops have changed, as the transaction itself sees it.
	values map[string]string
}

type prepared struct {
	statement statement
	types     []uint32
}

type portal struct {
	statement statement
	params    []string
}

// defaultReadOnly is the setting that makes transactions read-only.
const defaultReadOnly = "default_transaction_read_only"

func (s *session) start(parameters map[string]string) {
	s.settings = maps.Clone(parameters)
	s.prepared = map[string]prepared{}
	s.portals = map[string]portal{}
}

func (s *session) status() byte {
	switch {
	case s.tx.failed:
		return byte(exchange.TxFailed)
	case s.tx.explicit:
		return byte(exchange.TxOpen)
	default:
		return byte(exchange.TxIdle)
	}
}

// loop serves messages until the peer goes.
func (c *conn) loop() error {
	for {
		m, err := c.backend.Receive()
		if err != nil {
			return err
		}
		if err := c.gate(); err != nil {
			return err
		}
		if _, ok := m.(*pgproto3.Terminate); ok {
			return nil
		}
		if err := c.message(m); err != nil {
			return err
		}
	}
}

func (c *conn) message(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Query:
		return c.simple(m.String)
	case *pgproto3.Sync:
		return c.sync()
	case *pgproto3.Flush:
		return c.flush()
	default:
		return c.extended(m)
	}
}

// begin notes where the log stands as an exchange starts, and forgets a cancel
// request that came too late for the one before.
func (c *conn) begin() {
	c.group.mu.Lock()
	c.session.point = c.instance.history.last()
	c.group.mu.Unlock()
	select {
	case <-c.cancel:
	default:
	}
}

// simple runs all statements of one Query as one transaction, unless they say
// otherwise.
func (c *conn) simple(query string) error {
	c.begin()
	all, err := split(query)
	for n, s := range all {
		if err != nil {
			break
		}
		err = c.run1(s, n == len(all)-1)
	}
	if err != nil && !isAnswer(err) {
		return err
	}
	if err != nil {
		c.fail(err)
	}
	return c.ready()
}

// run1 runs one statement of a Query; the last one ends the transaction that no
// BEGIN began, before its answer is given.
func (c *conn) run1(s statement, last bool) error {
	args, err := s.bind(nil)
	if err != nil {
		return err
	}
	a, err := c.execute(s.verb, args)
	if err != nil {
		return err
	}
	if last && !c.session.tx.explicit {
		if err := c.commit(); err != nil {
			return err
		}
	}
	if err := c.lost(s.verb); err != nil {
		return err
	}
	return c.send(a, true)
}

// sync ends a series of extended messages.
func (c *conn) sync() error {
	if !c.session.skip && !c.session.tx.explicit {
		if err := c.commit(); err != nil {
			c.fail(err)
		}
	}
	c.session.skip, c.session.begun = false, false
	clear(c.session.portals)
	return c.ready()
}

// fail answers with an error and spoils the transaction.
func (c *conn) fail(err error) {
	r := failure.AsRefusal(err)
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: string(r.Code), Message: r.Message})
	c.session.tx.ops, c.session.tx.values = nil, nil
	c.session.tx.failed = c.session.tx.explicit
}

// commit applies the transaction's operations and ends it.
func (c *conn) commit() error {
	t := c.session.tx
	c.session.tx = tx{}
	if len(t.ops) == 0 {
		return nil
	}
	p, err := c.instance.commit(t.ops)
	c.session.point = p
	return err
}

// lost closes the connection in place of an answer while a fault says so.
func (c *conn) lost(v verb) error {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	f := &c.instance.faults
	if f.lose && v != verbSkylark || f.loseControl && v == verbSkylark {
		return errStopped
	}
	return nil
}

// isAnswer reports whether err is answered; any other ends the connection.
func isAnswer(err error) bool {
	var r *failure.Refusal
	return errors.As(err, &r)
}

// readOnlyMode reports whether the words after BEGIN ask for a read-only
// transaction.
func readOnlyMode(args []string) bool {
	return strings.Contains(strings.ToLower(strings.Join(args, " ")), "read only")
}
