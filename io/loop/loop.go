// Package loop runs the one event loop of a host: the connections of callers and to
// instances, and the calls that other goroutines hand over. All callbacks run on the
// loop, so that what they share needs no lock.
package loop

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"skylarkdeal/core/failure"
)

const (
	// readBuffer is what is read from a socket at a time.
	readBuffer = 64 << 10
	// keepAlive finds callers that left without a sign.
	keepAlive = 30 * time.Second
	// unacknowledged ends a connection whose far end has not confirmed what was sent
	// to it: a machine without power sends no reset.
	unacknowledged = 10 * time.Second
	// stopTimeout bounds the end of the loop.
	stopTimeout = 2 * time.Second
)

// Config is what a Loop works with.
type Config struct {
	// Address is where callers connect.
	Address string
	// Accept is called with a new caller's connection, whose callbacks it sets.
	Accept func(c *Conn)
	// Peers is where other hosts connect, AcceptPeer what takes their connections.
	Peers      string
	AcceptPeer func(c *Conn)
	// Tick is called after each span that Every returns.
	Tick  func()
	Every func() time.Duration
	// MaxUnread bounds the bytes that wait for a peer which doesn't read; beyond it
	// the connection is closed.
	MaxUnread int
	Logger    *zap.Logger
}

// Loop is one running event loop.
type Loop struct {
	gnet.BuiltinEventEngine

	cfg    Config
	engine gnet.Engine
	booted chan struct{}
	ended  chan struct{}
	err    error
	// home is the event loop; it is set once settled is closed.
	home    gnet.EventLoop
	settled chan struct{}
	// hurry tells that Every may return less now.
	hurry chan struct{}
	// ticking is set while a tick waits for the loop, so that a busy loop isn't given
	// ticks faster than it takes them.
	ticking atomic.Bool
}

// Conn is one connection. Its callbacks run on the loop and may be nil.
type Conn struct {
	// Opened is called once a dialled connection stands.
	Opened func()
	// Data is called with all bytes that wait, and returns how many it has used.
	Data func(b []byte) int
	// Closed is called once, when the connection has ended or couldn't be made.
	Closed func(err error)

	loop *Loop
	c    gnet.Conn
	// aborted is set when Close was called before the connection stood.
	aborted bool
	done    bool
	// paused keeps bytes in the buffer until Resume.
	paused bool
}

// Start begins to listen and returns once callers can connect.
func Start(cfg Config) (*Loop, error) {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	l := &Loop{
		cfg: cfg, booted: make(chan struct{}), ended: make(chan struct{}), settled: make(chan struct{}),
		hurry: make(chan struct{}, 1),
	}
	go l.run()
	select {
	case <-l.booted:
	case <-l.ended:
		return nil, failure.At(l.err, "listen", failure.Peer(cfg.Address))
	}
	if err := l.settle(); err != nil {
		return nil, failure.At(errors.Join(err, l.Stop()), "start the event loop", failure.Peer(cfg.Address))
	}
	if cfg.Tick != nil {
		go l.tick()
	}
	return l, nil
}

func (l *Loop) run() {
	defer close(l.ended)
	addresses := []string{"tcp://" + l.cfg.Address}
	if l.cfg.Peers != "" {
		addresses = append(addresses, "tcp://"+l.cfg.Peers)
	}
	l.err = gnet.Rotate(l, addresses,
		gnet.WithNumEventLoop(1),
		gnet.WithReuseAddr(true),
		gnet.WithLogger(l.cfg.Logger.Named("gnet").Sugar()),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithTCPKeepAlive(keepAlive),
		gnet.WithReadBufferCap(readBuffer),
		gnet.WithWriteBufferCap(readBuffer),
	)
	if l.err != nil {
		l.cfg.Logger.Error("event loop ended", zap.Error(l.err))
	}
}

// settle finds the event loop that calls are handed to. gnet tells it only of a
// connection, so the loop is connected to once.
func (l *Loop) settle() error {
	c, err := net.DialTimeout("tcp4", l.cfg.Address, stopTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	select {
	case <-l.settled:
		return nil
	case <-l.ended:
		return l.err
	}
}

func (l *Loop) tick() {
	t := time.NewTimer(l.cfg.Every())
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-l.hurry:
			t.Reset(l.cfg.Every())
			continue
		case <-l.ended:
			return
		}
		t.Reset(l.cfg.Every())
		if l.ticking.Swap(true) {
			continue
		}
		l.Do(func() {
			l.ticking.Store(false)
			l.cfg.Tick()
		})
	}
}

// Hurry has Every asked again before the next tick.
func (l *Loop) Hurry() {
	select {
	case l.hurry <- struct{}{}:
	default:
	}
}

// runnable adapts a function to gnet.
type runnable func()

// Run is called by the event loop.
func (r runnable) Run(context.Context) error {
	r()
	return nil
}

// Do has f called on the loop. After the loop has stopped it does nothing.
func (l *Loop) Do(f func()) {
	_ = l.home.Execute(context.Background(), runnable(f))
}

// Ended is closed once the loop has stopped.
func (l *Loop) Ended() <-chan struct{} { return l.ended }

// Stop closes all connections and ends the loop.
func (l *Loop) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := l.engine.Stop(ctx)
	<-l.ended
	return err
}

// Dial connects to an address within timeout. The callbacks of c are to be set before.
func (l *Loop) Dial(c *Conn, address string, timeout time.Duration) {
	c.loop = l
	go func() {
		d := net.Dialer{Timeout: timeout, Control: limitSilence}
		nc, err := d.Dial("tcp4", address)
		if err == nil {
			err = l.enroll(c, nc)
		}
		if err != nil {
			l.Do(func() { c.closed(failure.At(err, "connect", failure.Peer(address))) })
		}
	}()
}

func (l *Loop) enroll(c *Conn, nc net.Conn) error {
	got, err := l.home.Enroll(gnet.NewContext(context.Background(), c), nc)
	if err != nil {
		return errors.Join(err, nc.Close())
	}
	return (<-got).Err
}

// tcpUserTimeout is the number of the socket option, in milliseconds, that ends a
// connection whose far end stays silent; the syscall package doesn't name it.
const tcpUserTimeout = 18

func limitSilence(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout,
			int(unacknowledged/time.Millisecond))
	})
	return errors.Join(err, failed)
}

// OnBoot is called by gnet once it listens.
func (l *Loop) OnBoot(e gnet.Engine) gnet.Action {
	l.engine = e
	close(l.booted)
	return gnet.None
}

// OnOpen is called by gnet for each new connection.
func (l *Loop) OnOpen(g gnet.Conn) ([]byte, gnet.Action) {
	if c, ok := g.Context().(*Conn); ok {
		c.c = g
		if c.aborted {
			return nil, gnet.Close
		}
		if c.Opened != nil {
			c.Opened()
		}
		return nil, gnet.None
	}
	if l.home == nil {
		l.home = g.EventLoop()
		close(l.settled)
	}
	c := &Conn{loop: l, c: g}
	g.SetContext(c)
	if g.LocalAddr().String() == l.cfg.Peers {
		l.cfg.AcceptPeer(c)
	} else {
		l.cfg.Accept(c)
	}
	return nil, gnet.None
}

// OnTraffic is called by gnet when bytes have come.
func (l *Loop) OnTraffic(g gnet.Conn) gnet.Action {
	c, ok := g.Context().(*Conn)
	if !ok || c.Data == nil {
		_, _ = g.Discard(-1)
		return gnet.None
	}
	c.pass()
	return gnet.None
}

// pass hands over what has come, until nothing more is used.
func (c *Conn) pass() {
	for !c.done && !c.paused {
		b, err := c.c.Peek(-1)
		if err != nil || len(b) == 0 {
			return
		}
		n := c.Data(b)
		if n == 0 || c.done {
			return
		}
		_, _ = c.c.Discard(n)
	}
}

// Pause keeps what comes in the buffer until Resume is called. It may be called
// within Data.
func (c *Conn) Pause() { c.paused = true }

// Resume has what came since Pause handed over.
func (c *Conn) Resume() {
	if !c.paused {
		return
	}
	c.paused = false
	c.loop.Do(c.pass)
}

// OnClose is called by gnet when a connection has ended.
func (l *Loop) OnClose(g gnet.Conn, err error) gnet.Action {
	if c, ok := g.Context().(*Conn); ok {
		c.closed(err)
	}
	return gnet.None
}

func (c *Conn) closed(err error) {
	if c.done {
		return
	}
	c.done = true
	if c.Closed != nil {
		c.Closed(err)
	}
}

// Write sends b, which isn't kept. What the peer doesn't take yet is buffered.
func (c *Conn) Write(b []byte) {
	if c.done || c.c == nil {
		return
	}
	_, _ = c.c.Write(b)
	if c.loop.cfg.MaxUnread > 0 && c.c.OutboundBuffered() > c.loop.cfg.MaxUnread {
		c.Close()
	}
}

// Close ends the connection; Closed is still called, unless it was before.
func (c *Conn) Close() {
	if c.c == nil {
		c.aborted = true
		return
	}
	if !c.done {
		// The end of it comes by OnClose: closing within a callback of gnet would take
		// the connection from under it.
		_ = c.c.CloseWithCallback(nil)
	}
}
