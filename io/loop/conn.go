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
			l.Post(func() { c.closed(failure.At(err, "connect", failure.Peer(address))) })
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

// unacknowledged ends a connection whose far end has not confirmed what was sent
// to it: a machine without power sends no reset.
const unacknowledged = 10 * time.Second

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
	c.loop.Post(c.pass)
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
