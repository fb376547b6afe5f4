package ledger

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/zap"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
)

// errStopped ends a connection whose instance has stopped.
var errStopped = errors.New("connection stopped")

// conn is one caller's connection to an instance, run by one goroutine.
type conn struct {
	instance *instance
	group    *Group
	net      net.Conn
	backend  *pgproto3.Backend
	id       uint32
	secret   uint32
	// host is the application_name of the start-up, which tells host from host
	// where all have one IP address.
	host string
	ip   string

	done chan struct{}
	once sync.Once
	// cancel holds a request to end the statement in progress.
	cancel chan struct{}

	session session
}

func (c *conn) stop() {
	c.once.Do(func() {
		close(c.done)
		_ = c.net.Close()
	})
}

func (i *instance) accept(l net.Listener) {
	for {
		n, err := l.Accept()
		if err != nil {
			return
		}
		c := i.admit(n)
		if c == nil {
			_ = n.Close()
			return
		}
		i.group.tasks.Go(c.serve)
	}
}

// admit registers a connection, or returns nil when the instance has stopped.
func (i *instance) admit(n net.Conn) *conn {
	g := i.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || i.faults.dead {
		return nil
	}
	g.pid++
	ip, _, _ := net.SplitHostPort(n.RemoteAddr().String())
	c := &conn{
		instance: i, group: g, net: n, backend: pgproto3.NewBackend(n, n), id: g.pid, ip: ip,
		done: make(chan struct{}), cancel: make(chan struct{}, 1),
	}
	var b [4]byte
	_, _ = rand.Read(b[:])
	c.secret = binary.BigEndian.Uint32(b[:])
	i.conns[c.id] = c
	return c
}

func (c *conn) serve() {
	err := c.run()
	c.stop()
	c.group.mu.Lock()
	delete(c.instance.conns, c.id)
	c.group.mu.Unlock()
	if err != nil {
		c.group.log.Debug("connection ended", zap.String("instance", string(c.instance.cfg.Name)), zap.Error(err))
	}
}

func (c *conn) run() error {
	m, err := c.startup()
	if err != nil || m == nil {
		return err
	}
	c.session.start(m.Parameters)
	if err := c.gate(); err != nil {
		return err
	}
	if d := c.instance.cfg.ConnectDelay; d > 0 && !c.sleep(d) {
		return errStopped
	}
	if n := c.instance.cfg.Connections; n > 0 && c.started() > n {
		return c.fatal(&failure.Refusal{Code: codeTooManyClients, Message: "sorry, too many clients already"})
	}
	if err := c.authenticate(m.Parameters["user"]); err != nil {
		return c.fatal(err)
	}
	c.greet()
	if err := c.ready(); err != nil {
		return err
	}
	return c.loop()
}

// startup reads the opening messages. It returns nil after a cancel request.
func (c *conn) startup() (*pgproto3.StartupMessage, error) {
	for {
		m, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch m := m.(type) {
		case *pgproto3.StartupMessage:
			c.host = m.Parameters["application_name"]
			return m, nil
		case *pgproto3.CancelRequest:
			c.instance.cancel(m)
			return nil, nil
		default: // requests for encryption, of which there is none
			if _, err := c.net.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		}
	}
}

func (i *instance) cancel(m *pgproto3.CancelRequest) {
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	c, ok := i.conns[m.ProcessID]
	if !ok || len(m.SecretKey) != 4 || binary.BigEndian.Uint32(m.SecretKey) != c.secret {
		return
	}
	select {
	case c.cancel <- struct{}{}:
	default:
	}
}

// started marks the connection as one that counts, and returns how many do.
func (c *conn) started() int {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.session.counted = true
	n := 0
	for _, o := range c.instance.conns {
		if o.session.counted {
			n++
		}
	}
	return n
}

func (c *conn) greet() {
	b := c.backend
	for _, p := range [][2]string{
		{"server_version", "16.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"}, {"integer_datetimes", "on"}, {"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
	} {
		b.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	key := binary.BigEndian.AppendUint32(nil, c.secret)
	b.Send(&pgproto3.BackendKeyData{ProcessID: c.id, SecretKey: key})
}

// fatal ends the connection with an error that the peer can read.
func (c *conn) fatal(err error) error {
	r := failure.AsRefusal(err)
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: string(r.Code), Message: r.Message})
	return errors.Join(err, c.flush())
}

// gate waits while the instance is paused or cut off from the peer. It stands
// before each message that is read and each answer that is sent, as the kernel
// and the network would hold them back.
func (c *conn) gate() error {
	return c.hold(func(f *faults) bool { return f.paused || f.cutFrom(c.host, c.ip) })
}

// unpaused waits while the instance is paused. Unlike gate it lets a statement
// go on that is already running when its peer is cut off.
func (c *conn) unpaused() error {
	return c.hold(func(f *faults) bool { return f.paused })
}

func (c *conn) hold(while func(f *faults) bool) error {
	i, g := c.instance, c.group
	for {
		g.mu.Lock()
		held := while(&i.faults)
		changed := g.changed
		g.mu.Unlock()
		if !held {
			return nil
		}
		select {
		case <-changed:
		case <-c.done:
			return errStopped
		}
	}
}

func (c *conn) flush() error {
	if err := c.gate(); err != nil {
		return err
	}
	return c.backend.Flush()
}

// sleep waits for d and reports whether it did so to the end.
func (c *conn) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.cancel:
		return false
	case <-c.done:
		return false
	}
}

// ready ends an answer with the point that it reflects.
func (c *conn) ready() error {
	i, g := c.instance, c.group
	g.mu.Lock()
	role := i.role
	if c.session.point.IsZero() {
		c.session.point = i.history.last()
	}
	g.mu.Unlock()
	c.backend.Send(&pgproto3.ParameterStatus{Name: PointParameter, Value: pointText(c.session.point, role)})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.session.status()})
	return c.flush()
}

// PointParameter is the ParameterStatus that tells an answer's point and the
// role of the instance, as "term.position/role".
const PointParameter = "skylark_point"

func pointText(p fleet.LogPosition, r fleet.Role) string {
	return p.String() + "/" + string(r)
}
