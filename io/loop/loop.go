// Package loop runs the single event loop of a host: the connections from callers, from other hosts
// and to instances, and the functions that other goroutines post. All callbacks run on the loop, so
// that the data they share needs no lock.
package loop

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"skylarkdeal/core/failure"
)

const (
	// readBuffer is the capacity in bytes of the buffers for reading from and writing to a socket.
	readBuffer = 64 << 10
	// keepAlive detects callers whose connection was lost without a reset.
	keepAlive = 30 * time.Second
	// stopTimeout bounds Stop, and the connection by which Start finds the event loop.
	stopTimeout = 2 * time.Second
)

// Config configures a Loop.
type Config struct {
	// Address is where callers connect.
	Address string
	// Accept is called with each new connection of a caller, and sets its callbacks.
	Accept func(c *Conn)
	// PeerAddress is where other hosts connect. AcceptPeer is called with each of their connections and
	// sets its callbacks.
	PeerAddress string
	AcceptPeer  func(c *Conn)
	// Tick is called repeatedly, each time after the interval that TickInterval returns.
	// TickInterval is called on another goroutine.
	Tick         func()
	TickInterval func() time.Duration
	// MaxUnread bounds the bytes that are buffered for a peer that doesn't read them. Beyond it the
	// connection is closed. Zero means no bound.
	MaxUnread int
	// MaxUnprocessed bounds the received bytes that one paused connection keeps, MaxUnprocessedTotal those of all. A
	// connection beyond the first, or beyond the second with more than a read's worth of its own, is closed. Zero
	// means no bound.
	//
	// Guards against a caller that sends statements without waiting for the responses: the loop can't leave bytes in
	// the socket, so that one such caller used up the memory of the host.
	MaxUnprocessed, MaxUnprocessedTotal int
	// Overflowed is called with the received bytes of a connection that is closed for them. It may be nil.
	Overflowed func(bytes int)
	Logger     *zap.Logger
}

// Loop is a running event loop. Its methods OnBoot, OnOpen, OnTraffic and OnClose are for gnet
// only.
type Loop struct {
	gnet.BuiltinEventEngine

	cfg       Config
	engine    gnet.Engine
	listening chan struct{}
	ended     chan struct{}
	err       error
	// eventLoop is gnet's event loop; it is set once eventLoopFound is closed.
	eventLoop      gnet.EventLoop
	eventLoopFound chan struct{}
	// tickRequested is signalled when TickInterval may return a shorter interval.
	tickRequested chan struct{}
	// tickPending is set while a tick waits for the loop, so that a busy loop doesn't get ticks
	// faster than it handles them.
	tickPending atomic.Bool
	// unprocessed is the number of received bytes that all connections keep.
	unprocessed int
	// unsent are the connections on which something was written that couldn't be sent at once.
	unsent map[*Conn]struct{}
}

// UnsentBytes returns how many bytes wait to be sent on all connections.
func (l *Loop) UnsentBytes() int {
	n := 0
	for c := range l.unsent {
		if c.ended || c.gnetConn.OutboundBuffered() == 0 {
			delete(l.unsent, c)
			continue
		}
		n += c.gnetConn.OutboundBuffered()
	}
	return n
}

// Start listens, and returns once callers can connect.
func Start(cfg Config) (*Loop, error) {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	l := &Loop{
		cfg: cfg, listening: make(chan struct{}), ended: make(chan struct{}), eventLoopFound: make(chan struct{}),
		tickRequested: make(chan struct{}, 1), unsent: map[*Conn]struct{}{},
	}
	go l.run()
	select {
	case <-l.listening:
	case <-l.ended:
		return nil, failure.At(l.err, "listen", failure.Peer(cfg.Address))
	}
	if err := l.findEventLoop(); err != nil {
		return nil, failure.At(errors.Join(err, l.Stop()), "start the event loop", failure.Peer(cfg.Address))
	}
	if cfg.Tick != nil {
		go l.runTicker()
	}
	return l, nil
}

func (l *Loop) run() {
	defer close(l.ended)
	addresses := []string{"tcp://" + l.cfg.Address}
	if l.cfg.PeerAddress != "" {
		addresses = append(addresses, "tcp://"+l.cfg.PeerAddress)
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

// findEventLoop finds the event loop to which functions are posted. gnet makes it known only with a
// connection, so this connects to the loop once.
func (l *Loop) findEventLoop() error {
	c, err := net.DialTimeout("tcp4", l.cfg.Address, stopTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	select {
	case <-l.eventLoopFound:
		return nil
	case <-l.ended:
		return l.err
	}
}

func (l *Loop) runTicker() {
	t := time.NewTimer(l.cfg.TickInterval())
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-l.tickRequested:
			t.Reset(l.cfg.TickInterval())
			continue
		case <-l.ended:
			return
		}
		t.Reset(l.cfg.TickInterval())
		if l.tickPending.Swap(true) {
			continue
		}
		l.Post(func() {
			l.tickPending.Store(false)
			l.cfg.Tick()
		})
	}
}

// RequestTick makes the loop call TickInterval again and restart the wait for the next tick with its
// result.
func (l *Loop) RequestTick() {
	select {
	case l.tickRequested <- struct{}{}:
	default:
	}
}

// runnable adapts a function to gnet's interface for tasks.
type runnable func()

// Run calls the function. gnet calls it on the event loop.
func (r runnable) Run(context.Context) error {
	r()
	return nil
}

// Post queues f to be called on the loop. After the loop has stopped it does nothing.
func (l *Loop) Post(f func()) {
	_ = l.eventLoop.Execute(context.Background(), runnable(f))
}

// Ended returns a channel that is closed once the loop has stopped.
func (l *Loop) Ended() <-chan struct{} { return l.ended }

// Stop closes all connections and stops the loop.
func (l *Loop) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := l.engine.Stop(ctx)
	<-l.ended
	return err
}

// OnBoot is called by gnet once it listens.
func (l *Loop) OnBoot(e gnet.Engine) gnet.Action {
	l.engine = e
	close(l.listening)
	return gnet.None
}
