package entry

import (
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
	"skylarkdeal/io/loop"
	"skylarkdeal/platform"
)

// dialTimeout bounds a TCP connection to an instance; the relay gives up earlier.
const dialTimeout = time.Second

// reader hands what comes from a peer to a decoder, and has it cut off once its bytes can't
// be read on.
func (h *Host) reader(peer string, take func(b []byte) (int, error), cut func(err error)) func(b []byte) int {
	return func(b []byte) int {
		n, err := take(b)
		if err != nil {
			h.log.Warn("peer cut off", zap.String("peer", peer), zap.Error(err))
			cut(err)
			return len(b)
		}
		return n
	}
}

const (
	// maxUnprocessed bounds what a caller may send ahead of the responses: a statement of the greatest length that is
	// allowed, and as much again.
	maxUnprocessed = 2 << 20
	// maxUnprocessedTotal bounds that for all callers, to a small part of a host's memory.
	maxUnprocessedTotal = 32 << 20
)

// callerOverflowed logs and counts a caller that is cut off because it sends without waiting for responses.
func (h *Host) callerOverflowed(bytes int) {
	h.counted.overflows.Inc()
	h.log.Warn("peer cut off", zap.String("peer", "caller"), zap.Int("unprocessed", bytes),
		zap.String("reason", "it sends statements without waiting for the responses"))
}

// accept joins a caller's connection and a session of the relay.
func (h *Host) accept(c *loop.Conn) {
	var s *relay.Session
	var out []byte
	write := func(b []byte) {
		out = b[:0]
		c.Write(b)
	}
	s = h.relay.OpenSession(relay.CallerConn{
		Accept: func() { write(platform.AppendStarted(out)) },
		Answer: func(a statement.Answer) {
			write(platform.AppendAnswer(out, a))
			c.Resume()
		},
		Reject: func(code statement.Code, detail string) {
			write(platform.AppendRejected(out, code, detail))
			c.Close()
		},
		Close:   c.Close,
		Settled: c.Settled,
	})
	in := platform.Caller{
		Start: s.Start,
		Query: func(q statement.Statement) {
			s.Query(q)
			if s.Busy() {
				c.Pause()
			}
		},
		Unreadable: s.HandleMalformed,
		Bye:        s.Bye,
	}
	c.Data = h.reader("caller", in.Take, func(error) { c.Close() })
	c.Handled = s.EndIfSettled
	c.Closed = func(error) { s.Disconnected() }
}

// dial joins a connection to an instance and the relay's view of it.
func (h *Host) dial(c *relay.Conn) {
	l := &loop.Conn{}
	var out []byte
	standing := false
	in := platform.Reply{
		Answer: func(a statement.Answer) {
			if !standing {
				standing = true
				h.relay.ConnOpened(c, a)
				return
			}
			h.relay.HandleAnswer(c, a)
		},
		Turned: func(code statement.Code, detail string) { h.relay.ConnectRefused(c, code, detail) },
	}
	c.Send = func(qs []statement.Statement) {
		out = platform.AppendStatements(out[:0], qs)
		l.Write(out)
	}
	c.Close = l.Close
	l.Opened = func() { l.Write(platform.AppendConnect(nil, c.Service, c.Account, c.Instance)) }
	lost := func(err error) { h.relay.ConnClosed(c, err) }
	l.Data = h.reader("instance "+string(c.Instance), in.Take, lost)
	l.Closed = lost
	h.loop.Dial(l, c.Address, dialTimeout)
}
