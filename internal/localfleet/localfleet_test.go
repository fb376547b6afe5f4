package localfleet_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/internal/localfleet"
)

func TestOwnWorkIsSeenOnAnotherHost(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cfg := localfleet.Tokachi(3)
	f, err := localfleet.Start(ctx, cfg)
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(f.Close(), qt.IsNil) }()

	s := cfg.Services[0]
	a, err := localfleet.Connect(ctx, f.Hosts[0], s.Name, s.Accounts[0], "")
	c.Assert(err, qt.IsNil)
	_, err = a.Exec(ctx, "put order-1 cream")
	c.Assert(err, qt.IsNil)

	b, err := localfleet.Connect(ctx, f.Hosts[1], s.Name, s.Accounts[0], localfleet.Token(a))
	c.Assert(err, qt.IsNil)
	var key, value string
	_, err = b.Exec(ctx, "SET default_transaction_read_only = on")
	c.Assert(err, qt.IsNil)
	c.Assert(b.QueryRow(ctx, "get $1", "order-1").Scan(&key, &value), qt.IsNil)
	c.Assert(value, qt.Equals, "cream")
}
