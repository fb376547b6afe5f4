package ledger_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"skylarkdeal/core/fleet"
	"skylarkdeal/standin/ledger"
)

func TestHeldConnectionsGoOnAfterwards(t *testing.T) {
	// A cut or a pause answers nothing and closes nothing; what was asked before
	// it ends is answered after.
	for _, f := range []ledger.Fault{
		{Kind: ledger.FaultCut, From: []string{"h1"}}, {Kind: ledger.FaultPause},
	} {
		t.Run(string(f.Kind), func(t *testing.T) {
			c := qt.New(t)
			g := start(c, ledger.Config{})
			ctx := timeout(c)
			held, other := connect(c, g, "a", "h1"), connect(c, g, "a", "h2")
			c.Assert(g.Set("a", f), qt.IsNil)
			answered := make(chan error, 1)
			go func() { _, err := held.Exec(ctx, "put k v"); answered <- err }()
			if f.Kind == ledger.FaultCut {
				_, err := other.Exec(ctx, "put other v")
				c.Assert(err, qt.IsNil, qt.Commentf("host that is not cut"))
			}
			select {
			case err := <-answered:
				c.Fatalf("answered during the fault: %v", err)
			case <-time.After(30 * time.Millisecond):
			}
			_, ok := g.Value("a", "k")
			c.Check(ok, qt.IsFalse)
			c.Assert(g.Clear("a", f.Kind), qt.IsNil)
			c.Check(<-answered, qt.IsNil)
		})
	}
}

func TestLostAnswerHasItsEffect(t *testing.T) {
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol} {
		c := qt.New(t)
		g := start(c, ledger.Config{})
		conn, ctx := connect(c, g, "a", "h1"), timeout(c)
		c.Assert(g.Set("a", ledger.Fault{Kind: ledger.FaultLose}), qt.IsNil)
		_, err := conn.Exec(ctx, "once o-1 k 2", mode)
		c.Check(err, qt.IsNotNil)
		v, _ := g.Value("a", "k")
		c.Check(v, qt.Equals, "2")
		_, err = dial(c, g, "a").Status(ctx)
		c.Check(err, qt.IsNil)
	}
}

func TestDeathKeepsTheLog(t *testing.T) {
	c := qt.New(t)
	g := start(c, ledger.Config{})
	conn, k, ctx := connect(c, g, "a", "h1"), dial(c, g, "a"), timeout(c)
	before, err := k.Fence(ctx, 4, "h1")
	c.Assert(err, qt.IsNil)
	c.Assert(g.Set("a", ledger.Fault{Kind: ledger.FaultDie}), qt.IsNil)
	c.Check(conn.Ping(ctx), qt.IsNotNil)
	_, err = k.Status(ctx)
	c.Check(err, qt.IsNotNil)
	c.Assert(g.Clear("a", ledger.FaultDie), qt.IsNil)
	after, err := k.Status(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(after, qt.Equals, before)
}

func TestLagDelaysReplicas(t *testing.T) {
	c := qt.New(t)
	g := start(c, ledger.Config{})
	until(c, "b has the first entry", func() bool { return g.Status("b").Last.Index == 1 })
	c.Assert(g.Set("b", ledger.Fault{Kind: ledger.FaultLag, Delay: time.Hour}), qt.IsNil)
	_, err := connect(c, g, "a", "h1").Exec(timeout(c), "put k v")
	c.Assert(err, qt.IsNil)
	until(c, "c has the entry", func() bool { return g.Status("c").Last.Index == 2 })
	c.Check(g.Status("b").Last.Index, qt.Equals, fleet.LogIndex(1))
	c.Assert(g.Clear("b", ledger.FaultLag), qt.IsNil)
	until(c, "b has the entry", func() bool { return g.Status("b").Last.Index == 2 })
}

func TestSwitchesAndRecordOverHTTP(t *testing.T) {
	c := qt.New(t)
	g := start(c, ledger.Config{Service: "orders"})
	s := httptest.NewServer(g.Handler())
	c.Cleanup(s.Close)
	conn, ctx := connect(c, g, "a", "h1"), timeout(c)
	post := func(q string) int {
		r, err := s.Client().Post(s.URL+"/fault?"+q, "", nil)
		c.Assert(err, qt.IsNil)
		_, _ = io.Copy(io.Discard, r.Body)
		c.Assert(r.Body.Close(), qt.IsNil)
		return r.StatusCode
	}
	c.Check(post("instance=primary&kind=pause&for=20ms"), qt.Equals, http.StatusOK)
	_, err := conn.Exec(ctx, "once o-1 k 3")
	c.Assert(err, qt.IsNil, qt.Commentf("the pause ends by itself"))
	c.Check(post("instance=a&kind=unknown"), qt.Equals, http.StatusBadRequest)
	c.Check(post("instance=x&kind=die"), qt.Equals, http.StatusBadRequest)
	r, err := s.Client().Get(s.URL + "/ledger")
	c.Assert(err, qt.IsNil)
	var got ledger.Record
	c.Assert(json.NewDecoder(r.Body).Decode(&got), qt.IsNil)
	c.Assert(r.Body.Close(), qt.IsNil)
	c.Check(got.Service, qt.Equals, fleet.Service("orders"))
	c.Check(got.Entries[1].Ops, qt.DeepEquals, []ledger.Op{{Kind: ledger.OpOnce, ID: "o-1", Key: "k", Value: "3"}})
}
