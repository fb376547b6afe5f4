package database

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"go.uber.org/zap"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
)

// Conn is one upstream connection. One goroutine at a time uses it.
type Conn struct {
	pool       *Pool
	generation uint64
	net        net.Conn
	raw        syscall.RawConn
	pid        uint32
	secret     []byte

	in     reader
	out    []byte
	gather []byte
	steps  []step
	// composed is the cache's clock when the present exchange was composed.
	composed uint64

	prepared cache
	status   exchange.TxStatus
	// readOnly is the mode in which the instance runs what comes next.
	readOnly bool
	point    fleet.LogPosition
	role     fleet.Role
	// told is the text that point and role were read from.
	told string

	// onCancel and look are methods kept as values, which spares an allocation
	// for each exchange; cancelDone and open are their results.
	onCancel   func()
	cancelDone chan error
	look       func(fd uintptr) bool
	open       bool

	broken atomic.Bool
}

func newConn(p *Pool, h *pgconn.HijackedConn) *Conn {
	c := &Conn{
		pool: p, net: h.Conn, pid: h.PID, secret: h.SecretKey,
		status:   exchange.TxStatus(h.TxStatus),
		prepared: newCache(p.cfg.MaxStatements),
		in:       reader{src: h.Conn},

		cancelDone: make(chan error, 1),
	}
	c.onCancel, c.look = c.canceled, c.peek
	if s, ok := h.Conn.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn()
	}
	c.notePoint([]byte(h.ParameterStatuses[pointParameter]))
	return c
}

// Generation numbers the connections of a pool: a late answer can't be taken
// for one of a connection opened since.
func (c *Conn) Generation() uint64 {
	return c.generation
}

// Broken reports whether the connection can't be used any more.
func (c *Conn) Broken() bool {
	return c.broken.Load()
}

// Status returns the state of the connection's transaction.
func (c *Conn) Status() exchange.TxStatus {
	return c.status
}

// reusable reports whether nothing is left on the connection: no open
// transaction and no unread answer.
func (c *Conn) reusable() bool {
	return c.status == exchange.TxIdle && c.in.buffered() == 0
}

// breakUp closes the connection for good. It may be called by other goroutines
// than the connection's user, who then gets an error.
func (c *Conn) breakUp(reason string) {
	if c.broken.Swap(true) {
		return
	}
	c.pool.metrics.broken.Inc()
	c.pool.cfg.Logger.Info("connection broken", zap.Uint64("generation", c.generation), zap.String("reason", reason))
	_ = c.net.Close()
}

// terminate is the message that ends a session in good order.
var terminate = []byte{'X', 0, 0, 0, 4}

func (c *Conn) close() {
	if c.broken.Swap(true) {
		return
	}
	_ = c.net.SetWriteDeadline(time.Now().Add(c.pool.cfg.CancelGrace))
	_, _ = c.net.Write(terminate)
	_ = c.net.Close()
}

// alive looks, without waiting, whether the instance has closed an idle
// connection or sent something that nobody asked for.
func (c *Conn) alive() bool {
	if c.Broken() {
		return false
	}
	if c.raw == nil {
		return true
	}
	return c.raw.Read(c.look) == nil && c.open
}

// peek notes whether the socket is open with nothing to read.
func (c *Conn) peek(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.open = errors.Is(err, syscall.EAGAIN)
	return true
}

// pointParameter is the parameter in which an instance tells its point and role.
const pointParameter = "skylark_point"

// notePoint reads "term.position/role".
func (c *Conn) notePoint(v []byte) {
	if string(v) == c.told {
		return
	}
	c.told = string(v)
	p, role, ok := strings.Cut(c.told, "/")
	if !ok {
		return
	}
	if at, err := fleet.ParseLogPosition(p); err == nil {
		c.point, c.role = at, fleet.Role(role)
	}
}

// Rollback ends an open transaction that nobody goes on with. The connection is
// broken when that fails.
func (c *Conn) Rollback(ctx context.Context) error {
	if c.status == exchange.TxIdle {
		return nil
	}
	q := exchange.Request{Intent: exchange.IntentWrite, Payload: query("ROLLBACK"), Pin: 1}
	a := c.Exchange(ctx, &q, func([]byte) error { return nil })
	if a.Err != nil {
		return a.Err
	}
	if a.Status != exchange.TxIdle {
		c.breakUp("rollback left the transaction open")
		return failure.At(errors.New("transaction still open"), "roll back", c.pool.cfg.peer())
	}
	return nil
}

// query returns the message of a simple query.
func query(sql string) []byte {
	b := []byte{'Q'}
	b = binary.BigEndian.AppendUint32(b, uint32(4+len(sql)+1))
	return append(append(b, sql...), 0)
}

// cancelRequest asks the instance, on a connection of its own, to end what runs
// on c. It returns once the instance has closed that connection, after which no
// late cancel can hit the next exchange.
func (c *Conn) cancelRequest() error {
	d := net.Dialer{Timeout: c.pool.cfg.CancelGrace}
	n, err := d.Dial("tcp", c.pool.cfg.Address)
	if err != nil {
		return err
	}
	defer func() { _ = n.Close() }()
	_ = n.SetDeadline(time.Now().Add(c.pool.cfg.CancelGrace))
	const cancelCode = 80877102
	b := binary.BigEndian.AppendUint32(nil, uint32(12+len(c.secret)))
	b = binary.BigEndian.AppendUint32(b, cancelCode)
	b = binary.BigEndian.AppendUint32(b, c.pid)
	if _, err := n.Write(append(b, c.secret...)); err != nil {
		return err
	}
	if _, err := n.Read(b[:1]); !errors.Is(err, io.EOF) {
		return errors.Join(errors.New("cancel request not taken"), err)
	}
	return nil
}
