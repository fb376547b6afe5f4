package caller_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"skylarkdeal/core/document"
	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/caller"
)

// verifier makes PostgreSQL's form of a SCRAM-SHA-256 secret.
func verifier(key, salt string) string {
	v, err := document.NewVerifierWithSalt(key, []byte(salt))
	if err != nil {
		panic(err)
	}
	return v
}

const (
	salt = "0123456789abcdef"
	keyA = "cultured-butter-0001"
	keyB = "fresh-cream-00000002"
)

// documents is a document that a test can change.
type documents struct {
	mu sync.Mutex
	d  *document.Document
}

func newDocuments(keys ...document.Key) *documents {
	if keys == nil {
		keys = []document.Key{{Name: "a", Verifier: verifier(keyA, salt)}}
	}
	return &documents{d: &document.Document{
		Service: "orders", Version: 1,
		Accounts: []document.Account{{Name: "hotel", Keys: keys}},
	}}
}

func (d *documents) get(s fleet.Service) (*document.Document, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.d, s == d.d.Service
}

func (d *documents) setKeys(keys ...document.Key) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := *d.d
	n.Version++
	n.Accounts = []document.Account{{Name: "hotel", Keys: keys}}
	d.d = &n
}

// fake is a runner over an imaginary ledger. It answers every statement with a
// row that holds the statement's text, and keeps transactions by their pins.
type fake struct {
	mu       sync.Mutex
	requests []exchange.Request
	released []exchange.Pin
	canceled []exchange.ID
	next     exchange.Pin
	point    fleet.LogPosition
	// answer takes the place of the usual answer when it returns true.
	answer func(q *exchange.Request, r exchange.Reply) bool
}

func (f *fake) runner() exchange.Runner {
	return exchange.Runner{Run: f.run, Cancel: f.cancel, Release: f.release}
}

func (f *fake) cancel(id exchange.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.canceled = append(f.canceled, id)
}

func (f *fake) release(_ fleet.Host, p exchange.Pin) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = append(f.released, p)
}

func (f *fake) run(q *exchange.Request, r exchange.Reply) {
	f.mu.Lock()
	f.requests = append(f.requests, *q)
	answer := f.answer
	f.mu.Unlock()
	go func() {
		if answer != nil && answer(q, r) {
			return
		}
		f.usual(q, r)
	}()
}

func (f *fake) usual(q *exchange.Request, r exchange.Reply) {
	out, verb := answerTo(q)
	if err := r.Send(out); err != nil {
		r.Done(exchange.Result{Outcome: exchange.OutcomeUnknown})
		return
	}
	f.mu.Lock()
	f.point.Index++
	res := exchange.Result{Outcome: exchange.OutcomeDone, Status: exchange.TxIdle, Position: f.point, Pin: q.Pin}
	switch verb {
	case "begin":
		f.next++
		res.Pin = f.next
	case "commit", "rollback":
		res.Pin = 0
	}
	if res.Pin != 0 {
		res.Status, res.Holder = exchange.TxOpen, "h1"
	}
	f.mu.Unlock()
	r.Done(res)
}

// answerTo answers all messages of q, and returns the first word of the last
// statement.
func answerTo(q *exchange.Request) ([]byte, string) {
	var out []byte
	add := func(m pgproto3.BackendMessage) { out, _ = m.Encode(out) }
	sqls := map[string]string{}
	for _, s := range q.Statements {
		sqls[s.Name] = s.SQL
	}
	field := pgproto3.FieldDescription{Name: []byte("sql"), DataTypeOID: 25, DataTypeSize: -1}
	row := &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{field}}
	var last, verb string
	done := func(sql string) {
		verb = strings.ToLower(strings.Fields(sql + " x")[0])
		add(&pgproto3.DataRow{Values: [][]byte{[]byte(sql)}})
		add(&pgproto3.CommandComplete{CommandTag: []byte(strings.ToUpper(verb))})
	}
	for p := q.Payload; len(p) > 0; {
		n := 1 + int(p[1])<<24 + int(p[2])<<16 + int(p[3])<<8 + int(p[4])
		body := p[5:n]
		switch p[0] {
		case 'Q':
			add(row)
			done(string(body[:len(body)-1]))
		case 'P':
			var m pgproto3.Parse
			_ = m.Decode(body)
			sqls[m.Name] = m.Query
			add(&pgproto3.ParseComplete{})
		case 'B':
			var m pgproto3.Bind
			_ = m.Decode(body)
			last = sqls[m.PreparedStatement]
			add(&pgproto3.BindComplete{})
		case 'D':
			if body[0] == 'S' {
				add(&pgproto3.ParameterDescription{})
			}
			add(row)
		case 'E':
			done(last)
		case 'C':
			add(&pgproto3.CloseComplete{})
		}
		p = p[n:]
	}
	return out, verb
}

func (f *fake) last() exchange.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests[len(f.requests)-1]
}

type front struct {
	*caller.Server
	docs *documents
	fake *fake
}

func start(t testing.TB, change func(*caller.Config)) *front {
	f := &front{docs: newDocuments(), fake: &fake{point: fleet.LogPosition{Term: 3, Index: 7}}}
	cfg := caller.Config{
		Address: "127.0.0.1:0", Host: "h1", Epoch: 1, EventLoops: 2,
		Runner: f.fake.runner(), Documents: f.docs.get,
	}
	if change != nil {
		change(&cfg)
	}
	f.Server = caller.New(cfg)
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
	return f
}

func (f *front) url(user, key, params string) string {
	return fmt.Sprintf("postgres://%s:%s@%s/orders?sslmode=disable&%s", user, key, f.Addr(), params)
}

func limit(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func connect(t testing.TB, url string) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(limit(t), url)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

func TestSimplePreparedAndTransaction(t *testing.T) {
	c := qt.New(t)
	f := start(t, nil)
	conn := connect(t, f.url("hotel", keyA, ""))
	ctx := limit(t)
	var got string
	for range 2 {
		c.Assert(conn.QueryRow(ctx, "get a").Scan(&got), qt.IsNil)
		c.Assert(got, qt.Equals, "get a")
	}
	c.Assert(conn.QueryRow(ctx, "get b", pgx.QueryExecModeSimpleProtocol).Scan(&got), qt.IsNil)
	c.Assert(got, qt.Equals, "get b")

	tx, err := conn.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly})
	c.Assert(err, qt.IsNil)
	c.Assert(f.fake.last().Intent, qt.Equals, exchange.IntentRead)
	c.Assert(tx.QueryRow(ctx, "get c").Scan(&got), qt.IsNil)
	c.Assert(f.fake.last().Pin, qt.Equals, exchange.Pin(1))
	c.Assert(f.fake.last().Intent, qt.Equals, exchange.IntentRead)
	c.Assert(tx.Commit(ctx), qt.IsNil)
	c.Assert(conn.PgConn().ParameterStatus("skylarkdeal.token"), qt.Matches, `3\.\d+`)
	_, err = conn.Exec(ctx, "put a 1")
	c.Assert(err, qt.IsNil)
	c.Assert(f.fake.last().Intent, qt.Equals, exchange.IntentWrite)
	c.Assert(f.fake.last().After.IsSet(), qt.IsTrue)
}

func TestRefusalSaysNotRunAndWhenToReturn(t *testing.T) {
	c := qt.New(t)
	f := start(t, func(cfg *caller.Config) {
		cfg.Admit = func(_ fleet.Service, _ fleet.Account, _ int, _ time.Time, done func(*failure.Refusal)) {
			done(&failure.Refusal{Code: failure.CodeOverRate, Message: "over rate", RetryAfter: 1500 * time.Microsecond})
		}
	})
	conn := connect(t, f.url("hotel", keyA, ""))
	_, err := conn.Exec(limit(t), "put a 1")
	c.Assert(err, qt.ErrorMatches, ".*over rate.*53400.*")
	e := pgError(err)
	c.Assert(e.Hint, qt.Equals, "not run; retry after 2 ms")
	c.Assert(f.fake.count(), qt.Equals, 0)
	// An empty query asks nothing of an instance and counts as no request.
	ping(t, conn)
	_, err = conn.Exec(limit(t), "get a")
	c.Assert(pgError(err).Code, qt.Equals, "53400")
}
