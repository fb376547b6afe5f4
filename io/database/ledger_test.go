package database_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/database"
	"skylarkdeal/standin/ledger"
)

func newLedger(t testing.TB, auth ledger.Auth) *ledger.Group {
	g, err := ledger.Start(ledger.Config{
		Service: "orders", Auth: auth, User: "proxy", Password: "secret",
		Instances: []ledger.InstanceConfig{{Name: "a"}, {Name: "b"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

func ledgerPool(t testing.TB, g *ledger.Group, n fleet.Instance, password string) *database.Pool {
	p := database.NewPool(database.Config{
		Service: "orders", Instance: n, Address: g.Address(n), User: "proxy", Password: password, Limit: 2,
	})
	t.Cleanup(p.Close)
	return p
}

func TestEachWayOfAuthentication(t *testing.T) {
	for _, a := range []ledger.Auth{ledger.AuthTrust, ledger.AuthPassword, ledger.AuthSCRAM} {
		t.Run(string(a), func(t *testing.T) {
			c := qt.New(t)
			g := newLedger(t, a)
			conn := take(t, ledgerPool(t, g, "a", "secret"))
			got, ans := exchangeOn(conn, simple("put butter 3"))
			c.Assert(ans.Err, qt.IsNil)
			c.Assert(got, qt.Equals, "C")
			c.Assert(ans.Role, qt.Equals, fleet.RolePrimary)
			c.Assert(ans.Point, qt.Equals, g.Status("a").Last)
			if a == ledger.AuthTrust {
				return
			}
			p := ledgerPool(t, g, "a", "wrong")
			until(t, "trouble", func() bool { return p.State().Trouble != "" })
			c.Assert(p.State().Trouble, qt.Contains, "28P01")
			c.Assert(p.State().Trouble, qt.Not(qt.Contains), "wrong")
		})
	}
}

// The stand-in refuses a write declared as a read, as PostgreSQL does, on the
// primary too.
func TestLedgerKeepsReadsReadOnly(t *testing.T) {
	c := qt.New(t)
	g := newLedger(t, ledger.AuthTrust)
	conn := take(t, ledgerPool(t, g, "a", ""))
	q := simple("put butter 3")
	q.Intent = exchange.IntentRead
	got, a := exchangeOn(conn, q)
	c.Assert(a.Err, qt.IsNil)
	c.Assert(got, qt.Equals, "E(25006)")
	stmt := &exchange.Request{
		Intent: exchange.IntentWrite, Statements: []exchange.Statement{{Name: "p", SQL: "put $1 $2"}},
		Payload: payload(&pgproto3.Bind{PreparedStatement: "p", Parameters: [][]byte{[]byte("butter"), []byte("4")}},
			&pgproto3.Execute{}, &pgproto3.Sync{}),
	}
	for range 2 {
		got, a = exchangeOn(conn, stmt)
		c.Assert(a.Err, qt.IsNil)
		c.Assert(got, qt.Equals, "2 C")
	}
	v, _ := g.Value("a", "butter")
	c.Assert(v, qt.Equals, "4")
}

// A statement sleeps past its deadline on the stand-in, which cancels it when
// asked; the connection goes on.
func TestLedgerCancels(t *testing.T) {
	c := qt.New(t)
	conn := take(t, ledgerPool(t, newLedger(t, ledger.AuthTrust), "a", ""))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	var got []byte
	a := conn.Exchange(ctx, simple("sleep 60000"), func(b []byte) error {
		got = append(got, b...)
		return nil
	})
	c.Assert(a.Err, qt.IsNil)
	c.Assert(shape(got), qt.Equals, "E(57014)")
	s, _ := exchangeOn(conn, simple("put butter 3"))
	c.Assert(s, qt.Equals, "C")
}
