package database

import (
	"bytes"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"skylarkdeal/core/exchange"
)

// script is a connection on which an instance says what it will, whatever is
// sent to it.
type script struct {
	net.Conn
	says *bytes.Reader
}

func (s script) Read(b []byte) (int, error)       { return s.says.Read(b) }
func (s script) Write(b []byte) (int, error)      { return len(b), nil }
func (s script) Close() error                     { return nil }
func (s script) SetDeadline(time.Time) error      { return nil }
func (s script) SetWriteDeadline(time.Time) error { return nil }

// Scripted returns a connection of p to an instance that says only b.
func Scripted(p *Pool, b []byte) *Conn {
	return newConn(p, &pgconn.HijackedConn{Conn: script{says: bytes.NewReader(b)}, TxStatus: 'I'})
}

// Canceling reports whether the outcome of a cancel request is known and not
// yet taken note of.
func (c *Conn) Canceling() bool { return len(c.cancelDone) > 0 }

// NoPool returns a pool that opens nothing.
func NoPool() *Pool {
	p := NewPool(Config{Address: "127.0.0.1:1", CancelGrace: time.Millisecond})
	p.Close()
	return p
}

// Compose returns whether q can be sent on c, and how many answers it is due.
func Compose(c *Conn, q *exchange.Request) (int, error) {
	err := c.compose(q)
	return len(c.steps), err
}
