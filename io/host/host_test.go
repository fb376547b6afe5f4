package host_test

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/host"
	"skylarkdeal/io/host/hostpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// holder is a Server on loopback whose Runner is a test's own.
type holder struct {
	*host.Server
	address string
	close   func()
}

func serve(c testing.TB, s *host.Server) *holder {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(c, err, qt.IsNil)
	s.Self.Host = "holder"
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(l) }()
	h := &holder{Server: s, address: l.Addr().String()}
	h.close = sync.OnceFunc(func() { _ = s.Close(); <-done })
	c.Cleanup(h.close)
	return h
}

func dial(c testing.TB, h *holder, p *host.Peers) *host.Peers {
	p.Self.Host, p.Self.Epoch = "entry", 7
	p.Address = func(fleet.Host) (string, bool) { return h.address, true }
	c.Cleanup(p.Close)
	return p
}

// answer collects one reply.
type answer struct {
	data   bytes.Buffer
	result chan exchange.Result
}

func run(r exchange.Runner, q *exchange.Request) *answer {
	a := &answer{result: make(chan exchange.Result, 1)}
	if q.Deadline.IsZero() {
		q.Deadline = time.Now().Add(20 * time.Second)
	}
	r.Run(q, exchange.Reply{
		Send: func(b []byte) error { a.data.Write(b); return nil },
		Done: func(r exchange.Result) { a.result <- r },
	})
	return a
}

func await[T any](c *qt.C, what string, ch <-chan T) T {
	c.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(20 * time.Second):
		c.Fatalf("never came: %s", what)
		panic("unreachable")
	}
}

// seen is what a recording Runner was told.
type seen struct {
	q     *exchange.Request
	reply exchange.Reply
}

func recorder() (exchange.Runner, chan seen, chan exchange.ID, chan exchange.Pin) {
	runs, cancels, releases := make(chan seen, 99), make(chan exchange.ID, 99), make(chan exchange.Pin, 99)
	return exchange.Runner{
		Run:     func(q *exchange.Request, r exchange.Reply) { runs <- seen{q, r} },
		Cancel:  func(id exchange.ID) { cancels <- id },
		Release: func(_ fleet.Host, p exchange.Pin) { releases <- p },
	}, runs, cancels, releases
}

func id(n uint64) exchange.ID { return exchange.ID{Host: "entry", Epoch: 7, Seq: n} }

func TestForwardCarriesRequestAndAnswer(t *testing.T) {
	// Version 1 has no tail in Done: both ways must give the same answer.
	for _, v := range []uint32{1, host.Version} {
		c := qt.New(t)
		r, runs, _, _ := recorder()
		h := serve(t, &host.Server{Runner: r, Secret: "s"})
		p := dial(t, h, &host.Peers{Self: host.Self{Version: v}, Secret: "s"})
		q := &exchange.Request{
			ID: id(1), Service: "orders", Account: "hotel", Session: 9, Intent: exchange.IntentRead,
			After: fleet.Some(fleet.LogPosition{Term: 2, Index: 5}), MaxAge: 5 * time.Second, Priority: 4,
			Statements: []exchange.Statement{{Name: "s1", SQL: "get $1", Types: []uint32{25}}},
			Payload:    []byte("payload"),
		}
		a := run(p.Runner("holder"), q)
		got := await(c, "exchange", runs)
		c.Check(got.q.ID.Host, qt.Equals, fleet.Host("entry"))
		c.Check(got.q.Deadline.After(time.Now()), qt.IsTrue)
		got.q.ID, got.q.Deadline = q.ID, q.Deadline
		c.Check(got.q, qt.CmpEquals(allowUnexported...), q)

		var want bytes.Buffer
		for n := range 100 { // more than one window
			b := bytes.Repeat([]byte{byte(n)}, 100*n)
			want.Write(b)
			c.Assert(got.reply.Send(b), qt.IsNil)
		}
		result := exchange.Result{Outcome: exchange.OutcomeDone, Status: exchange.TxOpen,
			Position: fleet.LogPosition{Term: 2, Index: 6}, Instance: "b", Role: fleet.RoleReplica,
			Pin: 3, Holder: "holder"}
		got.reply.Done(result)
		c.Check(await(c, "result", a.result), qt.DeepEquals, result)
		c.Check(bytes.Equal(a.data.Bytes(), want.Bytes()), qt.IsTrue)
		p.Close()
		h.close()
	}
}

func TestWrongSecretRunsNothing(t *testing.T) {
	c := qt.New(t)
	r, runs, _, _ := recorder()
	h := serve(t, &host.Server{Runner: r, Secret: "right"})
	p := dial(t, h, &host.Peers{Secret: "wrong"})
	result := await(c, "result", run(p.Runner("holder"), &exchange.Request{ID: id(1)}).result)
	c.Check(result.Outcome, qt.Equals, exchange.OutcomeNotRun)
	_, err := p.View(context.Background(), "holder", &hostpb.ViewRequest{})
	c.Check(connect.CodeOf(err), qt.Equals, connect.CodeUnauthenticated)
	c.Check(len(runs), qt.Equals, 0)
}

func TestUnaryCallsCheckTheVersion(t *testing.T) {
	c := qt.New(t)
	h := serve(t, &host.Server{
		View: func(_ context.Context, q *hostpb.ViewRequest) (*hostpb.ViewResponse, error) {
			return &hostpb.ViewResponse{DataCentre: q.GetService() + "@" + q.GetHello().GetHost()}, nil
		},
	})
	p := dial(t, h, &host.Peers{})
	a, err := p.View(context.Background(), "holder", &hostpb.ViewRequest{Service: "orders"})
	c.Assert(err, qt.IsNil)
	c.Check(a.GetDataCentre(), qt.Equals, "orders@entry")
	c.Check(a.GetHello().GetVersion(), qt.Equals, host.Version)
	_, err = p.Leave(context.Background(), "holder")
	c.Check(connect.CodeOf(err), qt.Equals, connect.CodeUnimplemented)
	step, peer := failure.Where(err)
	c.Check(step, qt.Equals, failure.Step("leave"))
	c.Check(peer, qt.Equals, failure.Peer("host holder"))
}
