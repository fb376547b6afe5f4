package ledger_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"go.uber.org/goleak"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/control"
	"skylarkdeal/standin/ledger"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(c *qt.C, cfg ledger.Config) *ledger.Group {
	if cfg.Instances == nil {
		cfg.Instances = []ledger.InstanceConfig{{Name: "a", Slots: 2}, {Name: "b", Slots: 2}, {Name: "c", Slots: 2}}
	}
	g, err := ledger.Start(cfg)
	c.Assert(err, qt.IsNil)
	c.Cleanup(g.Close)
	return g
}

func timeout(c *qt.C) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	c.Cleanup(cancel)
	return ctx
}

func connect(c *qt.C, g *ledger.Group, n fleet.Instance, host string) *pgx.Conn {
	cfg, err := pgx.ParseConfig("postgres://u:secret@" + g.Address(n) + "/orders?sslmode=disable&application_name=" + host)
	c.Assert(err, qt.IsNil)
	conn, err := pgx.ConnectConfig(timeout(c), cfg)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = conn.Close(ctx)
	})
	return conn
}

func dial(c *qt.C, g *ledger.Group, n fleet.Instance) control.Client {
	k := control.Dial(control.Config{Instance: n, Address: g.Address(n), User: "u", Password: "secret", Host: "h1"})
	c.Cleanup(k.Close)
	return k
}

func until(c *qt.C, what string, ok func() bool) {
	c.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			c.Fatalf("never came about: %s", what)
		}
	}
}

func point(conn *pgx.Conn) string {
	return conn.PgConn().ParameterStatus(ledger.PointParameter)
}

func code(err error) string {
	var e *pgconn.PgError
	if err == nil {
		return ""
	}
	if !asPgError(err, &e) {
		return err.Error()
	}
	return e.Code
}

func TestStatementsOfOneSession(t *testing.T) {
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeSimpleProtocol} {
		t.Run(mode.String(), func(t *testing.T) {
			c := qt.New(t)
			g := start(c, ledger.Config{Auth: ledger.AuthSCRAM, User: "u", Password: "secret"})
			conn, ctx := connect(c, g, "a", "h1"), timeout(c)
			exec := func(sql string, args ...any) string {
				tag, err := conn.Exec(ctx, sql, append([]any{mode}, args...)...)
				if err != nil {
					return code(err)
				}
				return tag.String()
			}
			c.Check(exec("put cream $1", "7"), qt.Equals, "PUT 1")
			c.Check(point(conn), qt.Equals, "1.2/primary")
			c.Check(exec("BEGIN"), qt.Equals, "BEGIN")
			c.Check(exec("add cream $1", "-2"), qt.Equals, "ADD 1")
			c.Check(exec("once o-1 butter $1", "3"), qt.Equals, "ONCE 1")
			var key, value string
			c.Assert(conn.QueryRow(ctx, "get $1", mode, "cream").Scan(&key, &value), qt.IsNil)
			c.Check(value, qt.Equals, "5")
			v, _ := g.Value("a", "cream")
			c.Check(v, qt.Equals, "7", qt.Commentf("seen before COMMIT"))
			c.Check(exec("COMMIT"), qt.Equals, "COMMIT")
			c.Check(point(conn), qt.Equals, "1.3/primary")
			c.Check(exec("BEGIN READ ONLY"), qt.Equals, "BEGIN")
			c.Check(exec("put cream $1", "8"), qt.Equals, "25006")
			c.Check(exec("get cream"), qt.Equals, "25P02")
			c.Check(exec("ROLLBACK"), qt.Equals, "ROLLBACK")
			rows, err := conn.Query(ctx, "rows 3 9000", mode)
			c.Assert(err, qt.IsNil)
			n := 0
			for rows.Next() {
				n++
			}
			c.Check(n, qt.Equals, 3)
			c.Check(exec("SELECT 1"), qt.Equals, "SELECT 1")
			c.Check(exec("unknown"), qt.Equals, "42601")
			c.Check(conn.Ping(ctx), qt.IsNil)
		})
	}
}

func TestChangeOfPrimary(t *testing.T) {
	// A user sees: an order that the old primary took after it was cut off is
	// gone, and the old primary takes no more orders.
	// a takes one entry that nobody copies; b is promoted; a comes back.
	c := qt.New(t)
	g := start(c, ledger.Config{})
	ctx := timeout(c)
	conn := connect(c, g, "a", "h1")
	_, err := conn.Exec(ctx, "put stock 5")
	c.Assert(err, qt.IsNil)
	covered := func(n fleet.Instance, p fleet.LogPosition) func() bool {
		return func() bool { return g.Status(n).Last == p }
	}
	until(c, "b has the entry", covered("b", fleet.LogPosition{Term: 1, Index: 2}))
	c.Assert(g.Set("a", ledger.Fault{Kind: ledger.FaultCut, From: []string{"b", "c"}}), qt.IsNil)
	_, err = conn.Exec(ctx, "put stock 6")
	c.Assert(err, qt.IsNil)

	b, k := dial(c, g, "b"), dial(c, g, "c")
	for _, i := range []control.Client{b, k} {
		s, err := i.Fence(ctx, 2, "h1")
		c.Assert(err, qt.IsNil)
		c.Check(s.Promised, qt.Equals, fleet.Term(2))
		_, err = i.Fence(ctx, 2, "h2")
		c.Check(failure.AsRefusal(err).Code, qt.Equals, failure.Code("55000"))
	}
	s, err := b.Promote(ctx, 2, "h1")
	c.Assert(err, qt.IsNil)
	c.Check(s, qt.Equals, fleet.Status{Instance: "b", Promised: 2, Role: fleet.RolePrimary,
		Last: fleet.LogPosition{Term: 2, Index: 3}})
	_, err = k.Follow(ctx, 2, "b", g.Address("b"))
	c.Assert(err, qt.IsNil)
	until(c, "c follows", covered("c", s.Last))

	a := dial(c, g, "a")
	_, err = a.Fence(ctx, 2, "h1")
	c.Assert(err, qt.IsNil)
	_, err = conn.Exec(ctx, "put stock 7")
	c.Check(code(err), qt.Equals, "57P04")
	c.Assert(g.Clear("a", ledger.FaultCut), qt.IsNil)
	_, err = a.Follow(ctx, 2, "b", g.Address("b"))
	c.Assert(err, qt.IsNil)
	until(c, "a follows", covered("a", s.Last))
	v, _ := g.Value("a", "stock")
	c.Check(v, qt.Equals, "5")
	_, err = conn.Exec(ctx, "put stock 8")
	c.Check(code(err), qt.Equals, "25006")
}

func TestFenceStopsTransactionsAndReplication(t *testing.T) {
	// A host fences the primary while a caller's order stands before COMMIT, and
	// a replica while an order is on its way to it. Neither order may count: the
	// majority that has promised the new term has not seen them.
	c := qt.New(t)
	g := start(c, ledger.Config{})
	ctx := timeout(c)
	until(c, "all have the first entry", func() bool {
		return g.Status("b").Last.Index == 1 && g.Status("c").Last.Index == 1
	})
	open, conn := connect(c, g, "a", "h1"), connect(c, g, "a", "h1")
	_, err := open.Exec(ctx, "BEGIN; put k 1")
	c.Assert(err, qt.IsNil)
	_, err = dial(c, g, "c").Fence(ctx, 2, "h1")
	c.Assert(err, qt.IsNil)
	_, err = conn.Exec(ctx, "put other 1")
	c.Assert(err, qt.IsNil)
	until(c, "b has the order", func() bool { return g.Status("b").Last.Index == 2 })
	c.Check(g.Status("c").Last.Index, qt.Equals, fleet.LogIndex(1))
	_, err = dial(c, g, "a").Fence(ctx, 2, "h1")
	c.Assert(err, qt.IsNil)
	_, err = open.Exec(ctx, "COMMIT")
	c.Check(code(err), qt.Equals, "57P04")
	_, ok := g.Value("a", "k")
	c.Check(ok, qt.IsFalse)
}

func TestConnectionsAndSlotsAreBounded(t *testing.T) {
	c := qt.New(t)
	g := start(c, ledger.Config{Instances: []ledger.InstanceConfig{{Name: "a", Slots: 1, Connections: 2}}})
	ctx := timeout(c)
	first, second := connect(c, g, "a", "h1"), connect(c, g, "a", "h1")
	_, err := pgx.Connect(ctx, "postgres://u@"+g.Address("a")+"/?sslmode=disable")
	c.Check(strings.Contains(err.Error(), "53300"), qt.IsTrue)

	busy := make(chan error, 1)
	go func() { _, err := first.Exec(ctx, "sleep 60000"); busy <- err }()
	until(c, "the slot is taken", func() bool { return g.Running("a") == 1 })
	waiting := make(chan error, 1)
	go func() { _, err := second.Exec(ctx, "put k v"); waiting <- err }()
	c.Assert(first.PgConn().CancelRequest(ctx), qt.IsNil)
	c.Check(code(<-busy), qt.Equals, "57014")
	c.Check(<-waiting, qt.IsNil)
}

func asPgError(err error, e **pgconn.PgError) bool {
	return errors.As(err, e)
}
