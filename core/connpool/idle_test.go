package connpool_test

import (
	"flag"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/connpool"
	"skylarkdeal/core/fleet"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "7"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func idleFor(a fleet.Account, d time.Duration) connpool.IdleTransaction {
	return connpool.IdleTransaction{Account: a, Since: t0.Add(-d)}
}

// Guards against a caller that loses its transaction in the time that it needs between two statements, and
// against one account that keeps half of the connections for as long as others keep one.
func TestIdleBoundShrinksWithTheShare(t *testing.T) {
	c := qt.New(t)
	c.Assert(connpool.IdleBound(0, 42, 0), qt.Equals, 500*time.Millisecond)
	c.Assert(connpool.IdleBound(21, 42, 0), qt.Equals, 100*time.Millisecond)
	c.Assert(connpool.IdleBound(42, 42, 0), qt.Equals, 100*time.Millisecond)
	c.Assert(connpool.IdleBound(0, 42, 300*time.Millisecond), qt.Equals, 300*time.Millisecond)
	c.Assert(connpool.IdleBound(5, 1, 0), qt.Equals, 100*time.Millisecond)
	for n := range 42 {
		c.Assert(connpool.IdleBound(n+1, 42, 0) <= connpool.IdleBound(n, 42, 0), qt.IsTrue)
	}
}

// Guards against an account with one slow transaction that pays for the account which holds most connections.
func TestAccountWithMostIdleTransactionsIsRolledBack(t *testing.T) {
	c := qt.New(t)
	txs := []connpool.IdleTransaction{
		idleFor("slow", 700*time.Millisecond),
		idleFor("large", 450*time.Millisecond), idleFor("large", 480*time.Millisecond), idleFor("large", 20*time.Millisecond),
	}
	n, ok := connpool.RollBack(t0, txs, 6, 0)
	c.Assert(ok, qt.IsTrue)
	c.Assert(n, qt.Equals, 2)
	n, _ = connpool.RollBack(t0, txs, 600, 0)
	c.Assert(n, qt.Equals, 0)
	_, ok = connpool.RollBack(t0, txs[3:], 2, 0)
	c.Assert(ok, qt.IsFalse)
	_, ok = connpool.RollBack(t0, nil, 2, 0)
	c.Assert(ok, qt.IsFalse)
}
