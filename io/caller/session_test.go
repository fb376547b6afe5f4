package caller_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/caller"
)

func TestSettings(t *testing.T) {
	f := start(t, nil)
	w := wireConn(t, f, "skylarkdeal.max-age=5s&application_name=till")
	for _, test := range []struct{ sql, want string }{
		{"SHOW skylarkdeal.max_age", "T D(5s) C(SHOW) Z(I)"},
		{"show application_name", "T D(till) C(SHOW) Z(I)"},
		{"SET skylarkdeal.token = '4.2'", "C(SET) Z(I)"},
		{"SET SESSION skylarkdeal.token TO '3.9'", "C(SET) Z(I)"},
		{"SHOW skylarkdeal.token", "T D(4.2) C(SHOW) Z(I)"},
		{"SET skylarkdeal.token = 'x'", "ERROR(22023) Z(I)"},
		{"SET skylarkdeal.max-age = '2s'; ", "C(SET) Z(I)"},
		{"SHOW skylarkdeal.max-age", "T D(2s) C(SHOW) Z(I)"},
		{"SET client_encoding TO 'UTF8'", "C(SET) Z(I)"},
		{"SET NAMES 'LATIN1'", "ERROR(0A000) Z(I)"},
		{"SET TIME ZONE 'UTC'", "C(SET) Z(I)"},
		{"SET DateStyle = 'ISO, MDY'", "C(SET) Z(I)"},
		{"SET search_path = x", "ERROR(0A000) Z(I)"},
		{"SET extra_float_digits = 3", "C(SET) Z(I)"},
		{"SET x = 1; get a", "ERROR(0A000) Z(I)"},
		{"SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY",
			"C(SET) S(default_transaction_read_only=on) Z(I)"},
		{"RESET default_transaction_read_only", "C(RESET) S(default_transaction_read_only=off) Z(I)"},
		{"LISTEN x", "ERROR(0A000) Z(I)"},
		{"DISCARD ALL", "C(DISCARD ALL) Z(I)"},
		{"SHOW statement_timeout", "T D(0s) C(SHOW) Z(I)"},
	} {
		qt.Check(t, w.ask(test.sql), qt.Equals, test.want, qt.Commentf("%s", test.sql))
	}
	qt.Check(t, f.fake.count(), qt.Equals, 0)
	qt.Check(t, w.ask("SET LOCAL x = 1"), qt.Equals, "T D(SET LOCAL x = 1) C(SET) Z(I)")
}

func TestIntent(t *testing.T) {
	f := start(t, nil)
	for _, test := range []struct{ params, sql, want string }{
		{"", "get a", "write"},
		{"", "BEGIN READ ONLY", "read"},
		{"", "/* traced */ start transaction isolation level serializable read only", "read"},
		{"", "BEGIN READ ONLY; get a; COMMIT; put a 1", "write"},
		{"default_transaction_read_only=on", "get a", "read"},
		{"default_transaction_read_only=on", "BEGIN", "read"},
		{"default_transaction_read_only=on", "BEGIN READ WRITE", "write"},
		{"default_transaction_read_only=on", "get a; put a 1", "write"},
	} {
		w := wireConn(t, f, test.params)
		w.ask(test.sql)
		qt.Check(t, string(f.fake.last().Intent), qt.Equals, test.want, qt.Commentf("%q %q", test.params, test.sql))
		_ = w.Close()
	}
}

// A caller pipelines three batches in one go. Each is run for itself, in order,
// and an error in one leaves the next alone.
func TestPipelineKeepsOrder(t *testing.T) {
	c := qt.New(t)
	f := start(t, nil)
	w := wireConn(t, f, "")
	w.send(
		&pgproto3.Parse{Name: "s", Query: "get a"},
		&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{},
		&pgproto3.Bind{PreparedStatement: "nope"}, &pgproto3.Execute{}, &pgproto3.Sync{},
		&pgproto3.Query{String: "get b"},
		&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{},
		&pgproto3.Close{ObjectType: 'S', Name: "s"}, &pgproto3.Describe{ObjectType: 'S', Name: "s"}, &pgproto3.Sync{},
		&pgproto3.Sync{},
	)
	got := strings.ReplaceAll(w.read(6), "S Z", "Z")
	c.Assert(got, qt.Equals, "1 2 D(get a) C(GET) Z(I) ERROR(26000) Z(I) T D(get b) C(GET) Z(I) "+
		"2 D(get a) C(GET) Z(I) ERROR(26000) Z(I) Z(I)")
	c.Assert(f.fake.last().Statements, qt.DeepEquals, []exchange.Statement{
		{Name: caller.StatementName("get a"), SQL: "get a"},
	})
}

// A name of a statement is taken until it is closed, unless its Parse failed.
func TestNameOfAStatementIsTaken(t *testing.T) {
	c := qt.New(t)
	f := start(t, nil)
	w := wireConn(t, f, "")
	parse := func(sql string) string {
		w.send(&pgproto3.Parse{Name: "s", Query: sql}, &pgproto3.Sync{})
		return strings.ReplaceAll(w.read(1), "S Z", "Z")
	}
	f.fake.answerBy(refuseWith(exchange.OutcomeNotRun, &failure.Refusal{Code: failure.CodeOverloaded}))
	c.Assert(parse("get a"), qt.Equals, "ERROR(53000) Z(I)")
	c.Assert(parse("get b"), qt.Equals, "1 Z(I)")
	c.Assert(parse("get c"), qt.Equals, "ERROR(42P05) Z(I)")
	w.send(&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	c.Assert(strings.ReplaceAll(w.read(1), "S Z", "Z"), qt.Equals, "2 D(get b) C(GET) Z(I)")
}

// A driver prepares with Flush and waits for the answer before it goes on.
func TestFlushAnswersAPrepare(t *testing.T) {
	c := qt.New(t)
	f := start(t, nil)
	w := wireConn(t, f, "")
	w.send(&pgproto3.Parse{Name: "s", Query: "get a"}, &pgproto3.Describe{ObjectType: 'S', Name: "s"}, &pgproto3.Flush{})
	for _, want := range []string{"1", "t", "T"} {
		m, err := w.Receive()
		c.Assert(err, qt.IsNil)
		c.Assert(name(m), qt.Equals, want)
	}
	w.send(&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	c.Assert(strings.ReplaceAll(w.read(1), "S Z", "Z"), qt.Equals, "2 D(get a) C(GET) Z(I)")
}

// A statement of a transaction is refused by the proxy, and the caller overlooks
// the error and commits. It must not commit half of its work, and the upstream
// connection must not stay taken while the caller makes up its mind.
func TestRefusalInTransactionGivesItUp(t *testing.T) {
	c := qt.New(t)
	f := start(t, nil)
	w := wireConn(t, f, "")
	c.Assert(w.ask("begin"), qt.Equals, "T D(begin) C(BEGIN) Z(T)")
	f.fake.answerBy(refuseWith(exchange.OutcomeNotRun, &failure.Refusal{Code: failure.CodeOverloaded, RetryAfter: 1}))
	c.Assert(w.ask("put a 1"), qt.Equals, "ERROR(53000) Z(E)")
	c.Assert(f.fake.releasedPins(), qt.DeepEquals, []exchange.Pin{1})
	n := f.fake.count()
	c.Assert(w.ask("put b 1"), qt.Equals, "ERROR(25P02) Z(E)")
	c.Assert(w.ask("commit"), qt.Equals, "C(ROLLBACK) Z(I)")
	c.Assert(f.fake.count(), qt.Equals, n)
	c.Assert(w.ask("get a"), qt.Equals, "T D(get a) C(GET) Z(I)")
	c.Assert(f.fake.last().Pin, qt.Equals, exchange.Pin(0))
}

// The primary commits and is replaced before the fence has confirmed it. The
// caller must see neither the acknowledgement that the instance sent, nor a
// hint to run the write again as if it had not run.
func TestUnknownOutcomeOfCommit(t *testing.T) {
	c := qt.New(t)
	f := start(t, nil)
	w := wireConn(t, f, "")
	w.ask("begin")
	f.fake.answerBy(func(q *exchange.Request, r exchange.Reply) bool {
		b, _ := answerTo(q)
		c.Check(r.Send(b), qt.IsNil)
		r.Done(exchange.Result{Outcome: exchange.OutcomeUnknown, Refusal: &failure.Refusal{
			Code: failure.CodeUnknownOutcome, Message: "outcome unknown", RetryAfter: time.Second,
		}})
		return true
	})
	w.send(&pgproto3.Query{String: "commit"})
	m, err := w.Receive()
	c.Assert(err, qt.IsNil)
	e, ok := m.(*pgproto3.ErrorResponse)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%T", m))
	c.Assert(e.Code, qt.Equals, "08007")
	c.Assert(e.Hint, qt.Equals, "")
	c.Assert(w.read(1), qt.Equals, "Z(I)")
}

// A handheld loses its radio in a transaction. Its upstream connection is one
// of sixteen and has to come back at once.
func TestDeathOfTheCallerReleasesItsTransaction(t *testing.T) {
	c := qt.New(t)
	f := start(t, nil)
	w := wireConn(t, f, "")
	w.ask("begin")
	_ = w.Close()
	until(t, "released", func() bool { return len(f.fake.releasedPins()) == 1 })

	// The same while a statement of the transaction runs.
	w = wireConn(t, f, "")
	w.ask("begin")
	running, gone := make(chan struct{}), make(chan struct{})
	f.fake.answerBy(func(q *exchange.Request, r exchange.Reply) bool {
		close(running)
		<-gone
		r.Done(exchange.Result{Outcome: exchange.OutcomeDone, Status: exchange.TxOpen, Pin: q.Pin, Holder: q.Holder})
		return true
	})
	w.send(&pgproto3.Query{String: "sleep"})
	<-running
	_ = w.Close()
	until(t, "no session", func() bool { return f.State().Sessions == 0 })
	close(gone)
	until(t, "released", func() bool { return len(f.fake.releasedPins()) == 2 })
	c.Assert(f.fake.releasedPins(), qt.DeepEquals, []exchange.Pin{1, 2})
	until(t, "canceled", func() bool { f.fake.mu.Lock(); defer f.fake.mu.Unlock(); return len(f.fake.canceled) == 1 })
}

func TestCancelReachesTheRunner(t *testing.T) {
	c := qt.New(t)
	f := start(t, nil)
	conn := connect(t, f.url("hotel", keyA, ""))
	running, canceled := make(chan struct{}), make(chan struct{})
	f.fake.answerBy(func(_ *exchange.Request, r exchange.Reply) bool {
		close(running)
		<-canceled
		r.Done(exchange.Result{Outcome: exchange.OutcomeNotRun, Refusal: &failure.Refusal{Code: failure.CodeCancelled}})
		return true
	})
	failed := make(chan error, 1)
	go func() {
		_, err := conn.Exec(limit(t), "sleep")
		failed <- err
	}()
	<-running
	// Without the session's secret a cancel does nothing.
	p := conn.PgConn()
	stranger := rawConn(t, f)
	stranger.send(&pgproto3.CancelRequest{ProcessID: p.PID(), SecretKey: []byte{0, 0, 0, 0}})
	c.Assert(stranger.read(1), qt.Equals, "end")
	f.fake.mu.Lock()
	c.Assert(f.fake.canceled, qt.HasLen, 0)
	f.fake.mu.Unlock()
	c.Assert(p.CancelRequest(limit(t)), qt.IsNil)
	until(t, "canceled", func() bool { f.fake.mu.Lock(); defer f.fake.mu.Unlock(); return len(f.fake.canceled) == 1 })
	close(canceled)
	c.Assert(pgError(<-failed).Code, qt.Equals, "57014")
}

// A statement waits for its account's rate, in a transaction, when its caller
// cancels it. It is answered at once and never run, also when its turn comes,
// and the transaction's connection comes back.
func TestCancelWhileWaitingForTheRate(t *testing.T) {
	c := qt.New(t)
	waiting := make(chan func(*failure.Refusal), 1)
	var wait atomic.Bool
	f := start(t, func(cfg *caller.Config) {
		cfg.Admit = func(_ fleet.Service, _ fleet.Account, _ int, _ time.Time, done func(*failure.Refusal)) {
			if wait.Load() {
				waiting <- done
				return
			}
			done(nil)
		}
	})
	conn := connect(t, f.url("hotel", keyA, ""))
	_, err := conn.Exec(limit(t), "begin")
	c.Assert(err, qt.IsNil)
	wait.Store(true)
	failed := make(chan error, 1)
	go func() {
		_, err := conn.Exec(limit(t), "put a 1")
		failed <- err
	}()
	admit := <-waiting
	c.Assert(conn.PgConn().CancelRequest(limit(t)), qt.IsNil)
	c.Assert(pgError(<-failed).Code, qt.Equals, "57014")
	admit(nil)
	c.Assert(f.fake.count(), qt.Equals, 1)
	c.Assert(f.fake.releasedPins(), qt.DeepEquals, []exchange.Pin{1})
}

// One batch counts as its executions; the end of a transaction is free, since
// refusing it would keep the connection taken.
func TestCharge(t *testing.T) {
	c := qt.New(t)
	charged := make(chan int, 10)
	f := start(t, func(cfg *caller.Config) {
		cfg.Admit = func(_ fleet.Service, _ fleet.Account, n int, _ time.Time, done func(*failure.Refusal)) {
			charged <- n
			go done(nil)
		}
	})
	w := wireConn(t, f, "")
	w.ask("begin")
	w.ask("commit")
	w.send(&pgproto3.Parse{Query: "get a"}, &pgproto3.Sync{},
		&pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
	w.read(2)
	c.Assert([]int{<-charged, <-charged}, qt.DeepEquals, []int{1, 2})
	c.Assert(len(charged), qt.Equals, 0)
}
