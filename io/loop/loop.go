// Package loop runs the one event loop of a host: the connections of callers and to
// instances, and the calls that other goroutines hand over. All callbacks run on the
// loop, so that what they share needs no lock.
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
	// readBuffer is what is read from a socket at a time.
	readBuffer = 64 << 10
	// keepAlive finds callers that left without a sign.
	keepAlive = 30 * time.Second
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
	// Tick is called after each span that TickInterval returns.
	Tick         func()
	TickInterval func() time.Duration
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
	// hurry tells that TickInterval may return less now.
	hurry chan struct{}
	// ticking is set while a tick waits for the loop, so that a busy loop isn't given
	// ticks faster than it takes them.
	ticking atomic.Bool
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
	t := time.NewTimer(l.cfg.TickInterval())
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-l.hurry:
			t.Reset(l.cfg.TickInterval())
			continue
		case <-l.ended:
			return
		}
		t.Reset(l.cfg.TickInterval())
		if l.ticking.Swap(true) {
			continue
		}
		l.Post(func() {
			l.ticking.Store(false)
			l.cfg.Tick()
		})
	}
}

// RequestTick has TickInterval asked again before the next tick.
func (l *Loop) RequestTick() {
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

// Post has f called on the loop. After the loop has stopped it does nothing.
func (l *Loop) Post(f func()) {
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

// OnBoot is called by gnet once it listens.
func (l *Loop) OnBoot(e gnet.Engine) gnet.Action {
	l.engine = e
	close(l.booted)
	return gnet.None
}
