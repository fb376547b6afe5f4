package test_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"skylarkdeal/internal/localfleet"
)

// A handheld books a bottle over one host and opens the list over another, one
// after the other through three hosts, while replicas lag. Each list has to show
// all bookings so far, as the token of the last answer says what has to be in it.
func TestOwnWorkIsSeenWhileRoaming(t *testing.T) {
	f := sharedFleet(t)
	g := f.addGroup(t, "roaming", "--lag", "50ms")
	ctx := testContext(t)
	token := ""
	for n := range 12 {
		h := f.hosts[n%len(f.hosts)]
		c, err := g.connect(ctx, h, token)
		qt.Assert(t, err, qt.IsNil)
		if n > 0 {
			qt.Assert(t, readOwn(ctx, c, "bottle"), qt.Equals, fmt.Sprint(n-1), qt.Commentf("over %s", h.name))
		}
		_, err = c.Exec(ctx, "put bottle $1", fmt.Sprint(n))
		qt.Assert(t, err, qt.IsNil)
		token = localfleet.Token(c)
		closeSession(c)
	}
}

// readOwn reads a key as a declared read, which may go to a replica.
func readOwn(ctx context.Context, c *pgx.Conn, key string) string {
	x, err := c.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly})
	if err != nil {
		return err.Error()
	}
	var k, v string
	if err := x.QueryRow(ctx, "get $1", key).Scan(&k, &v); err != nil {
		return err.Error()
	}
	if err := x.Commit(ctx); err != nil {
		return err.Error()
	}
	return v
}

// The primary dies while orders come in over three hosts. Orders in progress end
// with an unknown outcome, later ones are accepted by the new primary; what was
// acknowledged before is there, nothing is there twice, and a caller who roams
// with the token of the old term sees its work.
func TestNoOrderIsLostWhenThePrimaryDies(t *testing.T) {
	f := sharedFleet(t)
	g := f.addGroup(t, "primary-dies")
	ctx := testContext(t)
	c, err := g.connect(ctx, f.hosts[0], "")
	qt.Assert(t, err, qt.IsNil)
	_, err = c.Exec(ctx, "put order cream")
	qt.Assert(t, err, qt.IsNil)
	token := localfleet.Token(c)
	closeSession(c)

	old, term := g.primary(t)
	w := g.write(f.hosts, 4)
	w.more(t, 40)
	g.fault(t, "instance=primary&kind=die")
	eventually(t, func() error {
		if _, now := g.primary(t); now <= term {
			return fmt.Errorf("no instance was promoted after %s", old)
		}
		return nil
	})
	w.more(t, 40)
	all := w.end()
	t.Log(w.summary())
	judge(t, g.record(t, ""), all)

	b, err := g.connect(ctx, f.hosts[1], token)
	qt.Assert(t, err, qt.IsNil)
	defer closeSession(b)
	qt.Assert(t, readOwn(ctx, b, "order"), qt.Equals, "cream")
}
