package ledger

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"skylarkdeal/core/failure"
)

// extended serves one message of the extended protocol. After an error, all
// messages up to Sync are dropped.
func (c *conn) extended(m pgproto3.FrontendMessage) error {
	if c.session.skip {
		return nil
	}
	if !c.session.begun {
		c.begin()
		c.session.begun = true
	}
	err := c.step(m)
	if err != nil && !isAnswer(err) {
		return err
	}
	if err != nil {
		c.fail(err)
		c.session.skip = true
	}
	return nil
}

func (c *conn) step(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return c.parse(m)
	case *pgproto3.Bind:
		return c.bind(m)
	case *pgproto3.Describe:
		return c.describe(m)
	case *pgproto3.Execute:
		return c.executePortal(m)
	case *pgproto3.Close:
		c.closeNamed(m)
		return nil
	default:
		return &failure.Refusal{Code: failure.CodeProtocol, Message: fmt.Sprintf("unexpected message %T", m)}
	}
}

func (c *conn) parse(m *pgproto3.Parse) error {
	all, err := split(m.Query)
	if err != nil {
		return err
	}
	if len(all) > 1 {
		return syntaxError("cannot insert multiple commands into a prepared statement")
	}
	p := prepared{statement: all[0], types: append([]uint32(nil), m.ParameterOIDs...)}
	for len(p.types) < p.statement.params {
		p.types = append(p.types, textOID)
	}
	for n, t := range p.types {
		if t == 0 {
			p.types[n] = textOID
		}
	}
	c.session.prepared[m.Name] = p
	c.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (c *conn) bind(m *pgproto3.Bind) error {
	p, ok := c.session.prepared[m.PreparedStatement]
	if !ok {
		return &failure.Refusal{Code: codeNoStatement,
			Message: fmt.Sprintf("prepared statement %q does not exist", m.PreparedStatement)}
	}
	params := make([]string, 0, len(m.Parameters))
	for _, v := range m.Parameters {
		params = append(params, string(v))
	}
	c.session.portals[m.DestinationPortal] = portal{statement: p.statement, params: params}
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// describePrepared is the object type of a Describe or Close of a statement.
const describePrepared = 'S'

func (c *conn) describe(m *pgproto3.Describe) error {
	var s statement
	if m.ObjectType == describePrepared {
		p, ok := c.session.prepared[m.Name]
		if !ok {
			return &failure.Refusal{Code: codeNoStatement,
				Message: fmt.Sprintf("prepared statement %q does not exist", m.Name)}
		}
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.types})
		s = p.statement
	} else {
		p, ok := c.session.portals[m.Name]
		if !ok {
			return noPortal(m.Name)
		}
		s = p.statement
	}
	if columns := columnsOf(s); columns != nil {
		c.backend.Send(rowDescription(columns))
		return nil
	}
	c.backend.Send(&pgproto3.NoData{})
	return nil
}

func noPortal(name string) error {
	return &failure.Refusal{Code: codeNoPortal, Message: fmt.Sprintf("portal %q does not exist", name)}
}

func (c *conn) executePortal(m *pgproto3.Execute) error {
	p, ok := c.session.portals[m.Portal]
	if !ok {
		return noPortal(m.Portal)
	}
	args, err := p.statement.bind(p.params)
	if err != nil {
		return err
	}
	a, err := c.execute(p.statement.verb, args)
	if err != nil {
		return err
	}
	if err := c.lostInSeries(p.statement.verb); err != nil {
		return err
	}
	return c.send(a, false)
}

// lostInSeries commits first, as Sync would have, when the answer gets lost.
func (c *conn) lostInSeries(v verb) error {
	err := c.lost(v)
	if err == nil || c.session.tx.explicit {
		return err
	}
	_ = c.commit()
	return err
}

func (c *conn) closeNamed(m *pgproto3.Close) {
	if m.ObjectType == describePrepared {
		delete(c.session.prepared, m.Name)
	} else {
		delete(c.session.portals, m.Name)
	}
	c.backend.Send(&pgproto3.CloseComplete{})
}
