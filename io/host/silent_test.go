package host_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/host"
)

// link passes on TCP until it is cut: then it takes bytes and passes on none,
// and closes nothing, as a network that drops all packets.
type link struct {
	net.Listener
	to    string
	cut   chan struct{}
	conns sync.WaitGroup
}

func newLink(c testing.TB, to string) *link {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(c, err, qt.IsNil)
	l := &link{Listener: n, to: to, cut: make(chan struct{})}
	l.conns.Go(l.accept)
	c.Cleanup(func() { _ = l.Close(); l.conns.Wait() })
	return l
}

func (l *link) accept() {
	for {
		a, err := l.Accept()
		if err != nil {
			return
		}
		b, err := net.Dial("tcp", l.to)
		if err != nil {
			_ = a.Close()
			continue
		}
		l.conns.Go(func() { l.copy(a, b) })
		l.conns.Go(func() { l.copy(b, a) })
	}
}

func (l *link) copy(to, from net.Conn) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		select {
		case <-l.cut: // each end finds out by itself
			_, _ = io.Copy(io.Discard, from)
			_ = from.Close()
			return
		default:
		}
		if err != nil {
			_, _ = to.Close(), from.Close()
			return
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

func TestSilentHostHoldsUpNoOther(t *testing.T) {
	// One host of the fleet takes connections and says nothing. Callers whose
	// work goes to other hosts notice nothing of it.
	c := qt.New(t)
	r, runs, _, _ := recorder()
	h := serve(t, &host.Server{Runner: r})
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = silent.Close() })
	p := dial(t, h, &host.Peers{ConnectTimeout: time.Hour})
	p.Address = func(n fleet.Host) (string, bool) {
		if n == "silent" {
			return silent.Addr().String(), true
		}
		return h.address, true
	}
	lost := run(p.Runner("silent"), &exchange.Request{ID: id(1), Deadline: time.Now().Add(100 * time.Millisecond)})
	good := run(p.Runner("holder"), &exchange.Request{ID: id(2)})
	await(c, "exchange", runs).reply.Done(exchange.Result{Outcome: exchange.OutcomeDone})
	c.Check(await(c, "good result", good.result).Outcome, qt.Equals, exchange.OutcomeDone)
	c.Check(await(c, "lost result", lost.result).Outcome, qt.Equals, exchange.OutcomeNotRun)
}

func TestBothEndsNoticeACutLink(t *testing.T) {
	// A cut drops all packets between two hosts and resets nothing. The caller
	// of an order learns that its outcome is unknown long before its deadline,
	// and the holder rolls the open transaction back.
	c := qt.New(t)
	r, runs, _, releases := recorder()
	h := serve(t, &host.Server{Runner: r})
	l := newLink(t, h.address)
	h.address = l.Addr().String()
	p := dial(t, h, &host.Peers{})
	to := p.Runner("holder")
	begin := run(to, &exchange.Request{ID: id(1)})
	await(c, "begin", runs).reply.Done(exchange.Result{Outcome: exchange.OutcomeDone, Pin: 5})
	await(c, "begun", begin.result)
	order := run(to, &exchange.Request{ID: id(2), Intent: exchange.IntentWrite, Pin: 5,
		Deadline: time.Now().Add(time.Hour)})
	await(c, "order", runs)
	close(l.cut)
	c.Check(await(c, "order's result", order.result).Outcome, qt.Equals, exchange.OutcomeUnknown)
	c.Check(await(c, "release", releases), qt.Equals, exchange.Pin(5))
}
