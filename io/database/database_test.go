package database_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/database"
)

func newPool(t testing.TB, i *instance, change func(*database.Config)) *database.Pool {
	cfg := database.Config{
		Service: "orders", Instance: "a", Address: i.address(), User: "proxy", Password: "secret", Limit: 2,
	}
	if change != nil {
		change(&cfg)
	}
	p := database.NewPool(cfg)
	t.Cleanup(p.Close)
	return p
}

// until waits for a condition; the bound is generous.
func until(t testing.TB, what string, f func() bool) {
	t.Helper()
	for range 10000 {
		if f() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("never: %s", what)
}

func take(t testing.TB, p *database.Pool) *database.Conn {
	t.Helper()
	var c *database.Conn
	until(t, "a connection", func() bool {
		var ok bool
		c, ok = p.TryTake()
		return ok
	})
	return c
}

func payload(m ...pgproto3.FrontendMessage) []byte {
	var b []byte
	for _, e := range m {
		b, _ = e.Encode(b)
	}
	return b
}

func simple(sql string) *exchange.Request {
	return &exchange.Request{Intent: exchange.IntentWrite, Payload: payload(&pgproto3.Query{String: sql})}
}

// shape names the messages of an answer by their types, with the text of rows
// and the codes of errors.
func shape(b []byte) string {
	var out []string
	for len(b) > 0 {
		n := 1 + int(b[1])<<24 + int(b[2])<<16 + int(b[3])<<8 + int(b[4])
		s := string(b[0])
		switch b[0] {
		case 'D':
			var m pgproto3.DataRow
			_ = m.Decode(b[5:n])
			s += "(" + string(m.Values[0]) + ")"
		case 'E':
			var m pgproto3.ErrorResponse
			_ = m.Decode(b[5:n])
			s += "(" + m.Code + ")"
		}
		out = append(out, s)
		b = b[n:]
	}
	return strings.Join(out, " ")
}

func exchangeOn(c *database.Conn, q *exchange.Request) (string, database.Answer) {
	var got []byte
	a := c.Exchange(context.Background(), q, func(b []byte) error {
		got = append(got, b...)
		return nil
	})
	return shape(got), a
}

func TestSimpleQueryAndPoint(t *testing.T) {
	c := qt.New(t)
	p := newPool(t, newInstance(t, 10), nil)
	conn := take(t, p)
	got, a := exchangeOn(conn, simple("put a 1"))
	c.Assert(a.Err, qt.IsNil)
	c.Assert(got, qt.Equals, "T D(put a 1) C")
	c.Assert(a.Point, qt.Equals, fleet.LogPosition{Term: 2, Index: 1})
	c.Assert(a.Role, qt.Equals, fleet.RolePrimary)
	c.Assert(a.Status, qt.Equals, exchange.TxIdle)
	c.Assert(a.Sent, qt.IsTrue)
	p.Put(conn)
	c.Assert(conn.Broken(), qt.IsFalse)
}

func TestStatementsAreParsedOnceAndAnsweredInPlace(t *testing.T) {
	c := qt.New(t)
	i := newInstance(t, 10)
	conn := take(t, newPool(t, i, func(g *database.Config) { g.MaxStatements = 2 }))
	bind := func(n string) []pgproto3.FrontendMessage {
		return []pgproto3.FrontendMessage{&pgproto3.Bind{PreparedStatement: n}, &pgproto3.Execute{}}
	}
	parse := func(n, sql string) pgproto3.FrontendMessage { return &pgproto3.Parse{Name: n, Query: sql} }
	ask := func(s []exchange.Statement, m ...pgproto3.FrontendMessage) string {
		q := &exchange.Request{Intent: exchange.IntentWrite, Statements: s, Payload: payload(append(m, &pgproto3.Sync{})...)}
		got, a := exchangeOn(conn, q)
		c.Assert(a.Err, qt.IsNil)
		return got
	}
	st := func(n string) []exchange.Statement {
		return []exchange.Statement{{Name: n, SQL: "get " + n}}
	}
	// A statement that the connection lacks is parsed unseen, and only once.
	c.Assert(ask(st("x"), bind("x")...), qt.Equals, "2 D(get x) C")
	c.Assert(ask(st("x"), bind("x")...), qt.Equals, "2 D(get x) C")
	c.Assert(i.count(func() int { return i.prepares }), qt.Equals, 1)
	// A Parse that is left out is answered in its place.
	m := append([]pgproto3.FrontendMessage{parse("x", "get x")}, bind("x")...)
	c.Assert(ask(nil, m...), qt.Equals, "1 2 D(get x) C")
	m = append(bind("x"), parse("x", "get x"), &pgproto3.Bind{PreparedStatement: "x"})
	c.Assert(ask(st("x"), m...), qt.Equals, "2 D(get x) C 1 2")
	c.Assert(i.count(func() int { return i.prepares }), qt.Equals, 1)
	// After an error nothing is answered up to Sync, also no Parse left out.
	c.Assert(ask(nil, parse("bad", "bad"), parse("x", "get x")), qt.Equals, "E(42601)")
	// The cache is bounded; what was evicted is parsed again.
	for range 2 {
		for _, n := range []string{"y", "z", "x"} {
			c.Assert(ask(st(n), bind(n)...), qt.Equals, "2 D(get "+n+") C")
		}
	}
	// An eviction that an error skips leaves the statement known.
	c.Assert(ask([]exchange.Statement{{Name: "bad", SQL: "bad"}}, bind("bad")...), qt.Equals, "E(42601)")
	for _, n := range []string{"x", "y", "z"} {
		c.Assert(ask(st(n), bind(n)...), qt.Equals, "2 D(get "+n+") C")
	}
}

// A caller declares its session read only and sends a write in it. The answer
// to a read may be lost and the read run again elsewhere: the write would be
// run twice. So the instance has to refuse it.
func TestWriteDeclaredAsReadIsRefusedByTheInstance(t *testing.T) {
	c := qt.New(t)
	i := newInstance(t, 10)
	conn := take(t, newPool(t, i, nil))
	q := simple("put a 1")
	q.Intent = exchange.IntentRead
	got, a := exchangeOn(conn, q)
	c.Assert(a.Err, qt.IsNil)
	c.Assert(got, qt.Equals, "T E(25006)")
	got, _ = exchangeOn(conn, simple("put a 1"))
	c.Assert(got, qt.Equals, "T D(put a 1) C")
	c.Assert(i.count(func() int { return i.puts }), qt.Equals, 1)
}

// A statement runs past its deadline. The instance is asked to cancel it and
// answers; the connection has nothing owed and goes on. When the instance
// doesn't answer, the connection is closed: its late answer would be given to
// the next caller.
func TestCanceledExchange(t *testing.T) {
	c := qt.New(t)
	i := newInstance(t, 10)
	conn := take(t, newPool(t, i, nil))
	ctx, cancel := context.WithCancel(context.Background())
	var got []byte
	a := conn.Exchange(ctx, simple("wait"), func(b []byte) error {
		got = append(got, b...)
		cancel()
		return nil
	})
	c.Assert(a.Err, qt.IsNil)
	c.Assert(shape(got), qt.Equals, "T E(57014)")
	c.Assert(conn.Broken(), qt.IsFalse)
	s, _ := exchangeOn(conn, simple("get a"))
	c.Assert(s, qt.Equals, "T D(get a) C")

	ctx, cancel = context.WithCancel(context.Background())
	a = conn.Exchange(ctx, simple("hang"), func([]byte) error {
		cancel()
		return nil
	})
	c.Assert(a.Err, qt.ErrorIs, context.Canceled)
	c.Assert(a.Sent, qt.IsTrue)
	c.Assert(conn.Broken(), qt.IsTrue)
}

// A cancel request is sent and nobody knows whether the instance took it, while
// the answer comes whole. Taken late, it would end the next caller's statement.
func TestCancelThatMayComeLateBreaksTheConnection(t *testing.T) {
	c := qt.New(t)
	i := newInstance(t, 10)
	conn := take(t, newPool(t, i, nil))
	_ = i.l.Close()
	ctx, cancel := context.WithCancel(context.Background())
	a := conn.Exchange(ctx, simple("get a"), func([]byte) error {
		cancel()
		until(t, "cancel under way", func() bool { return conn.Canceling() })
		return nil
	})
	c.Assert(a.Err, qt.IsNil)
	c.Assert(conn.Broken(), qt.IsTrue)
}

// A batch and its answers are both larger than the sockets hold. The instance
// waits for its answers to be read, and must not be waited for meanwhile.
func TestLargeBatchDoesNotBlock(t *testing.T) {
	c := qt.New(t)
	conn := take(t, newPool(t, newInstance(t, 10), nil))
	msgs := []pgproto3.FrontendMessage{&pgproto3.Parse{Name: "x", Query: "rows 1 100000"}}
	for range 160 {
		msgs = append(msgs, &pgproto3.Bind{PreparedStatement: "x", Parameters: [][]byte{make([]byte, 100_000)}},
			&pgproto3.Execute{})
	}
	q := &exchange.Request{Intent: exchange.IntentWrite, Payload: payload(append(msgs, &pgproto3.Sync{})...)}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	rows := 0
	a := conn.Exchange(ctx, q, func(b []byte) error {
		rows += strings.Count(shape(b), "D(")
		return nil
	})
	c.Assert(a.Err, qt.IsNil)
	c.Assert(rows, qt.Equals, 160)
}

// An exchange that never got to the instance says so, and can be run elsewhere.
func TestNotSent(t *testing.T) {
	c := qt.New(t)
	i := newInstance(t, 10)
	conn := take(t, newPool(t, i, nil))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	a := conn.Exchange(ctx, simple("put a 1"), nil)
	c.Assert(a.Err, qt.ErrorIs, context.Canceled)
	c.Assert(a.Sent, qt.IsFalse)
	c.Assert(i.count(func() int { return i.puts }), qt.Equals, 0)
	c.Assert(conn.Broken(), qt.IsFalse)
}

func TestBrokenAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		sql  string
		send error
		want string
	}{
		"instance ends the session": {sql: "die", want: ".*57P01.*"},
		"caller gone":               {sql: "rows 3 20000", send: errors.New("gone"), want: ".*gone.*"},
		"copy":                      {sql: "copy", want: ".*COPY.*"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newPool(t, newInstance(t, 10), nil)
			conn := take(t, p)
			a := conn.Exchange(context.Background(), simple(test.sql), func([]byte) error { return test.send })
			c.Assert(a.Err, qt.ErrorMatches, test.want)
			c.Assert(a.Sent, qt.IsTrue)
			c.Assert(conn.Broken(), qt.IsTrue)
			gen := conn.Generation()
			p.Put(conn)
			until(t, "the pool is full again", func() bool { return p.State().Idle == 2 })
			for range 2 {
				c.Assert(take(t, p).Generation(), qt.Not(qt.Equals), gen)
			}
		})
	}
}

func TestStreamIsWhole(t *testing.T) {
	c := qt.New(t)
	conn := take(t, newPool(t, newInstance(t, 10), nil))
	for _, size := range []int{1, 700, 20_000, 200_000} {
		n := 0
		a := conn.Exchange(context.Background(), simple(fmt.Sprintf("rows 40 %d", size)), func(b []byte) error {
			n += strings.Count(shape(b), "D(")
			return nil
		})
		c.Assert(a.Err, qt.IsNil)
		c.Assert(n, qt.Equals, 40)
	}
}

func TestOpenTransactionIsNotPutBack(t *testing.T) {
	c := qt.New(t)
	p := newPool(t, newInstance(t, 10), nil)
	conn := take(t, p)
	_, a := exchangeOn(conn, simple("begin"))
	c.Assert(a.Status, qt.Equals, exchange.TxOpen)
	c.Assert(conn.Rollback(context.Background()), qt.IsNil)
	c.Assert(conn.Status(), qt.Equals, exchange.TxIdle)
	_, _ = exchangeOn(conn, simple("begin"))
	p.Put(conn)
	c.Assert(conn.Broken(), qt.IsTrue)
}
