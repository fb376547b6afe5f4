package caller_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/caller"
)

// pgError returns the server's error in err, or an empty one.
func pgError(err error) *pgconn.PgError {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e
	}
	return &pgconn.PgError{}
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

// startSkewed starts a front whose clock is ahead by the nanoseconds in skew.
func startSkewed(t testing.TB, change func(*caller.Config)) (f *front, skew *atomic.Int64) {
	skew = &atomic.Int64{}
	f = start(t, func(cfg *caller.Config) {
		cfg.Now = func() time.Time { return time.Now().Add(time.Duration(skew.Load())) }
		change(cfg)
	})
	return f, skew
}

// wire is a session over which a test sends single messages.
type wire struct {
	t testing.TB
	net.Conn
	*pgproto3.Frontend
}

// rawConn connects without a word.
func rawConn(t testing.TB, f *front) *wire {
	t.Helper()
	n, err := net.Dial("tcp", f.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	_ = n.SetDeadline(time.Now().Add(20 * time.Second))
	return &wire{t, n, pgproto3.NewFrontend(n, n)}
}

// wireConn connects and proves the key.
func wireConn(t testing.TB, f *front, params string) *wire {
	t.Helper()
	c, err := pgconn.Connect(limit(t), f.url("hotel", keyA, params))
	if err != nil {
		t.Fatal(err)
	}
	h, err := c.Hijack()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = h.Conn.Close() })
	_ = h.Conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &wire{t, h.Conn, h.Frontend}
}

func (w *wire) send(m ...pgproto3.FrontendMessage) {
	w.t.Helper()
	for _, e := range m {
		w.Send(e)
	}
	if err := w.Flush(); err != nil {
		w.t.Fatal(err)
	}
}

// read returns the messages up to n ReadyForQuery, or the end of the session,
// by their types: rows with their text, errors with their codes, parameters
// with their values, ReadyForQuery with the status.
func (w *wire) read(n int) string {
	w.t.Helper()
	var out []string
	for n > 0 {
		m, err := w.Receive()
		if err != nil {
			return strings.Join(append(out, "end"), " ")
		}
		out = append(out, name(m))
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			n--
		}
	}
	return strings.Join(out, " ")
}

func name(m pgproto3.BackendMessage) string {
	switch m := m.(type) {
	case *pgproto3.ParseComplete:
		return "1"
	case *pgproto3.BindComplete:
		return "2"
	case *pgproto3.CloseComplete:
		return "3"
	case *pgproto3.ParameterDescription:
		return "t"
	case *pgproto3.RowDescription:
		return "T"
	case *pgproto3.NoData:
		return "n"
	case *pgproto3.DataRow:
		return "D(" + string(m.Values[0]) + ")"
	case *pgproto3.CommandComplete:
		return "C(" + string(m.CommandTag) + ")"
	case *pgproto3.ErrorResponse:
		return m.Severity + "(" + m.Code + ")"
	case *pgproto3.ParameterStatus:
		if m.Name == "skylarkdeal.token" {
			return "S"
		}
		return "S(" + m.Name + "=" + m.Value + ")"
	case *pgproto3.ReadyForQuery:
		return "Z(" + string(m.TxStatus) + ")"
	}
	return "?"
}

// ask sends a simple query and returns its answer without the token.
func (w *wire) ask(sql string) string {
	w.t.Helper()
	w.send(&pgproto3.Query{String: sql})
	return strings.ReplaceAll(w.read(1), "S Z", "Z")
}

// refuseWith answers the next exchange by f and leaves the rest as usual.
func refuseWith(o exchange.Outcome, f *failure.Refusal) func(*exchange.Request, exchange.Reply) bool {
	used := false
	return func(_ *exchange.Request, r exchange.Reply) bool {
		if used {
			return false
		}
		used = true
		r.Done(exchange.Result{Outcome: o, Refusal: f})
		return true
	}
}

func (f *fake) answerBy(a func(*exchange.Request, exchange.Reply) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answer = a
}

func (f *fake) releasedPins() []exchange.Pin {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]exchange.Pin{}, f.released...)
}

func (f *fake) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

func ping(t testing.TB, c interface{ Ping(context.Context) error }) {
	t.Helper()
	if err := c.Ping(limit(t)); err != nil {
		t.Fatal(err)
	}
}

// holdUntil answers as usual once finish is closed.
func holdUntil(running, finish chan struct{}) func(*exchange.Request, exchange.Reply) bool {
	return func(q *exchange.Request, r exchange.Reply) bool {
		close(running)
		<-finish
		b, _ := answerTo(q)
		_ = r.Send(b)
		r.Done(exchange.Result{Outcome: exchange.OutcomeDone, Position: fleet.LogPosition{Term: 9, Index: 9}})
		return true
	}
}

func must(b []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return b
}
