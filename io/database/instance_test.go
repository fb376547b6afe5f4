package database_test

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// instance is a small PostgreSQL server. It echoes statements, keeps prepared
// statements as PostgreSQL does and knows a few words: "fail", "wait" (until
// canceled), "hang", "rows n", "die", "begin", "commit", "rollback", "put", "copy".
type instance struct {
	l net.Listener

	mu       sync.Mutex
	limit    int
	open     int
	refused  int
	next     uint32
	cancels  map[uint32]chan struct{}
	conns    map[net.Conn]bool
	prepares int
	puts     int
	stop     chan struct{}
	wg       sync.WaitGroup
}

func newInstance(t testing.TB, limit int) *instance {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	i := &instance{l: l, limit: limit, stop: make(chan struct{})}
	i.cancels, i.conns = make(map[uint32]chan struct{}), make(map[net.Conn]bool)
	i.wg.Add(1)
	go func() {
		defer i.wg.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			i.wg.Add(1)
			go func() {
				defer i.wg.Done()
				defer func() { _ = c.Close() }()
				i.serve(c)
			}()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		close(i.stop)
		i.cut()
		i.wg.Wait()
	})
	return i
}

func (i *instance) address() string { return i.l.Addr().String() }

// cut closes all connections.
func (i *instance) cut() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		_ = c.Close()
	}
}

func (i *instance) count(f func() int) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return f()
}

// upstream is one connection of the instance.
type upstream struct {
	i        *instance
	b        *pgproto3.Backend
	pid      uint32
	cancel   chan struct{}
	prepared map[string]string
	portal   string
	status   byte
	readOnly bool
	position int
	skip     bool
	dead     bool
}

func (i *instance) serve(c net.Conn) {
	b := pgproto3.NewBackend(c, c)
	m, err := b.ReceiveStartupMessage()
	if err != nil {
		return
	}
	switch m := m.(type) {
	case *pgproto3.CancelRequest:
		i.mu.Lock()
		if ch, ok := i.cancels[m.ProcessID]; ok {
			select {
			case ch <- struct{}{}:
			default:
			}
		}
		i.mu.Unlock()
		return
	case *pgproto3.StartupMessage:
	default:
		return
	}
	u, ok := i.admit(c, b)
	if !ok {
		return
	}
	defer func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.open--
		delete(i.conns, c)
		delete(i.cancels, u.pid)
	}()
	for !u.dead {
		m, err := b.Receive()
		if err != nil {
			return
		}
		u.handle(m)
		if b.Flush() != nil {
			return
		}
	}
}

func (i *instance) admit(c net.Conn, b *pgproto3.Backend) (*upstream, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.open >= i.limit {
		i.refused++
		b.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "too many connections"})
		_ = b.Flush()
		return nil, false
	}
	i.open++
	i.next++
	u := &upstream{i: i, b: b, pid: i.next, cancel: make(chan struct{}, 1), prepared: map[string]string{}, status: 'I'}
	i.cancels[u.pid] = u.cancel
	i.conns[c] = true
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.BackendKeyData{ProcessID: u.pid, SecretKey: []byte{1, 2, 3, 4}})
	u.ready()
	_ = b.Flush()
	return u, true
}

func (u *upstream) ready() {
	u.b.Send(&pgproto3.ParameterStatus{Name: "skylark_point", Value: fmt.Sprintf("2.%d/primary", u.position)})
	u.b.Send(&pgproto3.ReadyForQuery{TxStatus: u.status})
}

func (u *upstream) fail(code, text string) {
	u.b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: text})
	u.skip = true
	if u.status == 'T' {
		u.status = 'E'
	}
}

func (u *upstream) handle(m pgproto3.FrontendMessage) {
	if _, ok := m.(*pgproto3.Sync); u.skip && !ok {
		return
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		u.execute(m.String, true)
		u.skip = false
		u.ready()
	case *pgproto3.Sync:
		u.skip = false
		u.ready()
	case *pgproto3.Parse:
		u.parse(m)
	case *pgproto3.Bind:
		sql, ok := u.prepared[m.PreparedStatement]
		if !ok {
			u.fail("26000", "no statement "+m.PreparedStatement)
			return
		}
		u.portal = sql
		u.b.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			u.b.Send(&pgproto3.ParameterDescription{})
		}
		u.b.Send(row())
	case *pgproto3.Execute:
		u.execute(u.portal, false)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(u.prepared, m.Name)
		}
		u.b.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Terminate:
		u.dead = true
	}
}

func row() *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("sql"), DataTypeOID: 25}}}
}

func (u *upstream) parse(m *pgproto3.Parse) {
	u.i.mu.Lock()
	u.i.prepares++
	u.i.mu.Unlock()
	if _, ok := u.prepared[m.Name]; ok && m.Name != "" {
		u.fail("42P05", "statement exists: "+m.Name)
		return
	}
	if m.Query == "bad" {
		u.fail("42601", "syntax error")
		return
	}
	u.prepared[m.Name] = m.Query
	u.b.Send(&pgproto3.ParseComplete{})
}

func (u *upstream) execute(sql string, simple bool) {
	w := append(strings.Fields(sql), "", "")
	if simple {
		u.b.Send(row())
	}
	switch strings.ToLower(w[0]) {
	case "fail":
		u.fail("22012", "failed")
		return
	case "die":
		u.b.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "57P01", Message: "terminating"})
		u.dead = true
		return
	case "wait":
		_ = u.b.Flush()
		<-u.cancel
		u.fail("57014", "canceled")
		return
	case "hang":
		_ = u.b.Flush()
		<-u.i.stop
		return
	case "copy":
		u.b.Send(&pgproto3.CopyInResponse{})
		return
	case "begin":
		u.status = 'T'
	case "commit", "rollback":
		u.status = 'I'
	case "set":
		u.readOnly = strings.HasSuffix(sql, "on")
	case "put":
		if u.readOnly {
			u.fail("25006", "read only")
			return
		}
		u.position++
		u.i.mu.Lock()
		u.i.puts++
		u.i.mu.Unlock()
	case "rows":
		n, _ := strconv.Atoi(w[1])
		size, _ := strconv.Atoi(w[2])
		v := []byte(strings.Repeat("x", max(size, 1)))
		for range n {
			u.b.Send(&pgproto3.DataRow{Values: [][]byte{v}})
			_ = u.b.Flush()
		}
		u.b.Send(&pgproto3.CommandComplete{CommandTag: []byte("ROWS")})
		return
	}
	u.b.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(sql)}})
	u.b.Send(&pgproto3.CommandComplete{CommandTag: []byte(strings.ToUpper(w[0]))})
}
