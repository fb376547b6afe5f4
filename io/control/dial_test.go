package control_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/control"
	"skylarkdeal/standin/ledger"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(c *qt.C) (*ledger.Group, control.Client) {
	g, err := ledger.Start(ledger.Config{
		Instances: []ledger.InstanceConfig{{Name: "a", Connections: 1}, {Name: "b"}},
		Auth:      ledger.AuthSCRAM, User: "skylarkdeal", Password: "upstream-password",
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(g.Close)
	k := control.Dial(control.Config{Instance: "a", Address: g.Address("a"), User: "skylarkdeal",
		Password: "upstream-password", Host: "h1"})
	c.Cleanup(k.Close)
	return g, k
}

func within(c *qt.C, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	c.Cleanup(cancel)
	return ctx
}

const generous = 20 * time.Second

// One connection serves all calls: the instance would refuse a second one.
func TestCallsShareOneConnection(t *testing.T) {
	c := qt.New(t)
	_, k := start(c)
	ctx := within(c, generous)
	for n := range 3 {
		s, err := k.Fence(ctx, fleet.Term(n+2), "it's h1")
		c.Assert(err, qt.IsNil)
		c.Assert(s.Promised, qt.Equals, fleet.Term(n+2))
		_, err = k.Fence(ctx, 1, "h2")
		c.Assert(failure.AsRefusal(err).Code, qt.Equals, failure.Code("55000"))
		step, peer := failure.Where(err)
		c.Assert([]string{string(step), string(peer)}, qt.DeepEquals, []string{"fence", "instance a"})
	}
}

func TestLateAnswerIsNotTheNextOnes(t *testing.T) {
	// A status is asked while the instance hangs, and given up. Taken for the
	// answer of a later call, its old term would vouch for a replaced primary.
	c := qt.New(t)
	g, k := start(c)
	_, err := k.Status(within(c, generous))
	c.Assert(err, qt.IsNil)
	c.Assert(g.Set("a", ledger.Fault{Kind: ledger.FaultPause}), qt.IsNil)
	_, err = k.Status(within(c, 20*time.Millisecond))
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	c.Assert(g.Clear("a", ledger.FaultPause), qt.IsNil)
	ctx := within(c, generous)
	for {
		s, err := k.Fence(ctx, 7, "h1")
		if err != nil && failure.AsRefusal(err).Code == failure.CodeTooManySessions {
			continue // the instance hasn't noticed the end of the other one
		}
		c.Assert(err, qt.IsNil)
		c.Assert(s.Promised, qt.Equals, fleet.Term(7))
		return
	}
}

func TestAddressOfAnotherInstanceIsRefused(t *testing.T) {
	// A document names b's address as a's. Counted under a's name, b's answers
	// would make a majority of one instance.
	c := qt.New(t)
	g, _ := start(c)
	k := control.Dial(control.Config{Instance: "a", Address: g.Address("b"), User: "skylarkdeal",
		Password: "upstream-password"})
	c.Cleanup(k.Close)
	_, err := k.Status(within(c, generous))
	c.Assert(err, qt.ErrorMatches, `.*answered by instance "b".*`)
}

func TestErrorsSayWhere(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := l.Addr().String()
	c.Assert(l.Close(), qt.IsNil)
	k := control.Dial(control.Config{Instance: "a", Address: address, Password: "not-to-be-seen"})
	_, err = k.Status(within(c, generous))
	step, peer := failure.Where(err)
	c.Check([]string{string(step), string(peer)}, qt.DeepEquals, []string{"connect", "instance a"})
	c.Check(err, qt.Not(qt.ErrorMatches), ".*not-to-be-seen.*")
	k.Close()
	_, err = k.Status(within(c, generous))
	c.Check(err, qt.ErrorIs, control.ErrClosed)
}
