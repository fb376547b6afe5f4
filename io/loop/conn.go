package loop

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"

	"skylarkdeal/core/failure"
)

// Conn is one connection of the event loop. Its callbacks run on the loop and may be nil.
type Conn struct {
	// Opened is called once a dialled connection is established.
	Opened func()
	// Data is called with all bytes received and not yet used, and returns how many it has used.
	Data func(b []byte) int
	// Handled is called once all complete messages received so far have been handled and the connection isn't paused. It
	// may close the connection.
	Handled func()
	// Closed is called once, when the connection has ended or couldn't be established.
	Closed func(err error)

	loop     *Loop
	gnetConn gnet.Conn
	// closing is set once Close was called: nothing more is delivered.
	closing bool
	ended   bool
	// paused keeps received bytes in the buffer until Resume; unprocessed is how many there are.
	paused      bool
	unprocessed int
	// delivering is set while Data is being called, resuming from Resume until it is called again.
	delivering, resuming bool
	// overflowed is set once the connection is being closed because it keeps too many.
	overflowed bool
}

// Dial connects to an address within timeout. The callbacks of c have to be set before.
func (l *Loop) Dial(c *Conn, address string, timeout time.Duration) {
	c.loop = l
	go func() {
		d := net.Dialer{Timeout: timeout, Control: setUserTimeout}
		nc, err := d.Dial("tcp4", address)
		if err == nil {
			err = l.enroll(c, nc)
		}
		if err != nil {
			l.Post(func() { c.closed(failure.At(err, "connect", failure.Peer(address))) })
		}
	}()
}

func (l *Loop) enroll(c *Conn, nc net.Conn) error {
	got, err := l.eventLoop.Enroll(gnet.NewContext(context.Background(), c), nc)
	if err != nil {
		return errors.Join(err, nc.Close())
	}
	return (<-got).Err
}

// userTimeout ends a connection whose peer hasn't acknowledged what was sent to it: a machine
// without power sends no reset.
const userTimeout = 10 * time.Second

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, in milliseconds, that ends a connection
// whose peer doesn't acknowledge. The syscall package has no name for it.
const tcpUserTimeout = 18

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout,
			int(userTimeout/time.Millisecond))
	})
	return errors.Join(err, failed)
}

// OnOpen is called by gnet for each new connection, dialled or accepted.
func (l *Loop) OnOpen(g gnet.Conn) ([]byte, gnet.Action) {
	if c, ok := g.Context().(*Conn); ok {
		c.gnetConn = g
		if c.closing {
			return nil, gnet.Close
		}
		if c.Opened != nil {
			c.Opened()
		}
		return nil, gnet.None
	}
	if l.eventLoop == nil {
		l.eventLoop = g.EventLoop()
		close(l.eventLoopFound)
	}
	c := &Conn{loop: l, gnetConn: g}
	g.SetContext(c)
	if g.LocalAddr().String() == l.cfg.PeerAddress {
		l.cfg.AcceptPeer(c)
	} else {
		l.cfg.Accept(c)
	}
	return nil, gnet.None
}

// OnTraffic is called by gnet when bytes have been received.
func (l *Loop) OnTraffic(g gnet.Conn) gnet.Action {
	c, ok := g.Context().(*Conn)
	if !ok || c.Data == nil {
		_, _ = g.Discard(-1)
		return gnet.None
	}
	c.deliver()
	return gnet.None
}

// deliver hands the received bytes on, as far as they are complete messages.
func (c *Conn) deliver() {
	c.delivering = true
	c.callData()
	c.delivering = false
	c.boundUnprocessed()
	if c.Handled != nil && !c.paused && !c.closing && !c.ended {
		c.Handled()
	}
}

// callData calls Data with the received bytes until Data uses no more of them.
func (c *Conn) callData() {
	for !c.ended && !c.paused && !c.closing {
		b, err := c.gnetConn.Peek(-1)
		if err != nil || len(b) == 0 {
			return
		}
		n := c.Data(b)
		if n == 0 || c.ended {
			return
		}
		_, _ = c.gnetConn.Discard(n)
	}
}

// boundUnprocessed closes a paused connection that keeps too many received bytes.
func (c *Conn) boundUnprocessed() {
	n := 0
	if !c.ended && c.paused {
		n = c.gnetConn.InboundBuffered()
	}
	c.setUnprocessed(n)
	cfg := &c.loop.cfg
	tooMany := cfg.MaxUnprocessed > 0 && n > cfg.MaxUnprocessed ||
		cfg.MaxUnprocessedTotal > 0 && c.loop.unprocessed > cfg.MaxUnprocessedTotal && n > readBuffer
	if !tooMany || c.overflowed {
		return
	}
	c.overflowed = true
	if cfg.Overflowed != nil {
		cfg.Overflowed(n)
	}
	c.Close()
}

func (c *Conn) setUnprocessed(n int) {
	c.loop.unprocessed += n - c.unprocessed
	c.unprocessed = n
}

// Pause stops the calls of Data until Resume. Received bytes stay in the buffer. It may be called
// within Data.
func (c *Conn) Pause() { c.paused = true }

// Resume makes the loop call Data with the bytes received since Pause. It does so by Post.
func (c *Conn) Resume() {
	if !c.paused {
		return
	}
	c.paused, c.resuming = false, true
	c.loop.Post(func() {
		c.resuming = false
		c.deliver()
	})
}

// Settled reports whether all complete messages received so far have been handled, and all that was written has been
// sent.
func (c *Conn) Settled() bool {
	return c.ended || !c.paused && !c.resuming && !c.delivering && c.gnetConn.OutboundBuffered() == 0
}

// OnClose is called by gnet when a connection has ended.
func (l *Loop) OnClose(g gnet.Conn, err error) gnet.Action {
	if c, ok := g.Context().(*Conn); ok {
		c.closed(err)
	}
	return gnet.None
}

func (c *Conn) closed(err error) {
	if c.ended {
		return
	}
	c.ended = true
	c.setUnprocessed(0)
	delete(c.loop.unsent, c)
	if c.Closed != nil {
		c.Closed(err)
	}
}

// Write sends b, which the caller may reuse. Bytes that the peer doesn't read yet are buffered, and
// beyond MaxUnread the connection is closed.
func (c *Conn) Write(b []byte) {
	if c.ended || c.closing || c.gnetConn == nil {
		return
	}
	_, _ = c.gnetConn.Write(b)
	if c.gnetConn.OutboundBuffered() > 0 {
		c.loop.unsent[c] = struct{}{}
	}
	if c.loop.cfg.MaxUnread > 0 && c.gnetConn.OutboundBuffered() > c.loop.cfg.MaxUnread {
		c.Close()
	}
}

// Close ends the connection, and drops what couldn't be sent yet. Nothing more is delivered. Closed is still called,
// unless it was before.
func (c *Conn) Close() {
	closing := c.closing
	c.closing = true
	if c.gnetConn != nil && !c.ended && !closing {
		// OnClose reports the end: closing directly within a callback of gnet would free the
		// connection while the callback still uses it.
		_ = c.gnetConn.CloseWithCallback(nil)
	}
}
