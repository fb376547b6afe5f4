package caller_test

import (
	"context"
	"encoding/binary"
	"net"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/caller"
	"skylarkdeal/io/database"
)

// canned is an instance that answers every batch alike, without allocating, so
// that a benchmark measures what stands before it.
type canned struct {
	l net.Listener
}

func newCanned(b *testing.B) *canned {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveCanned(c)
		}
	}()
	return &canned{l}
}

func encode(m ...pgproto3.BackendMessage) []byte {
	var b []byte
	for _, e := range m {
		b = must(e.Encode(b))
	}
	return b
}

func serveCanned(c net.Conn) {
	defer func() { _ = c.Close() }()
	k := pgproto3.NewBackend(c, c)
	if _, err := k.ReceiveStartupMessage(); err != nil {
		return
	}
	point := &pgproto3.ParameterStatus{Name: "skylark_point", Value: "1.7/primary"}
	ready := &pgproto3.ReadyForQuery{TxStatus: 'I'}
	_, _ = c.Write(encode(&pgproto3.AuthenticationOk{},
		&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}}, point, ready))
	row := &pgproto3.DataRow{Values: [][]byte{[]byte("butter"), []byte("12")}}
	fields := &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte("key"), DataTypeOID: 25, DataTypeSize: -1}, {Name: []byte("value"), DataTypeOID: 25, DataTypeSize: -1},
	}}
	tag := &pgproto3.CommandComplete{CommandTag: []byte("GET 1")}
	answers := map[byte][]byte{
		'Q': encode(fields, row, tag, point, ready),
		'P': encode(&pgproto3.ParseComplete{}),
		'B': encode(&pgproto3.BindComplete{}),
		'D': encode(&pgproto3.ParameterDescription{ParameterOIDs: []uint32{25}}, fields),
		'E': encode(row, tag),
		'C': encode(&pgproto3.CloseComplete{}),
		'S': encode(point, ready),
	}
	buf, out := make([]byte, 64<<10), make([]byte, 0, 64<<10)
	for w := 0; ; {
		n, err := c.Read(buf[w:])
		if err != nil {
			return
		}
		w += n
		r := 0
		for w-r >= 5 && w-r > int(binary.BigEndian.Uint32(buf[r+1:])) {
			out = append(out, answers[buf[r]]...)
			r += 1 + int(binary.BigEndian.Uint32(buf[r+1:]))
		}
		copy(buf, buf[r:w])
		w -= r
		if _, err := c.Write(out); err != nil {
			return
		}
		out = out[:0]
	}
}

// pooled runs exchanges on the connections of one pool, a goroutine each.
func pooled(p *database.Pool) exchange.Runner {
	run := func(q *exchange.Request, r exchange.Reply) {
		c, ok := p.TryTake()
		for !ok {
			time.Sleep(50 * time.Microsecond)
			c, ok = p.TryTake()
		}
		ctx, cancel := context.WithDeadline(context.Background(), q.Deadline)
		a := c.Exchange(ctx, q, r.Send)
		cancel()
		p.Put(c)
		res := exchange.Result{Outcome: exchange.OutcomeDone, Status: a.Status, Position: a.Point, Role: a.Role}
		if a.Err != nil {
			res.Outcome = exchange.OutcomeUnknown
		}
		r.Done(res)
	}
	return exchange.Runner{
		Run:     func(q *exchange.Request, r exchange.Reply) { go run(q, r) },
		Cancel:  func(exchange.ID) {},
		Release: func(fleet.Host, exchange.Pin) {},
	}
}

// client sends one prepared batch again and again, without allocating.
type client struct {
	net.Conn
	ask []byte
	buf []byte
}

// prepared opens a session that has the statement "s", and returns its bare connection.
func prepared(b *testing.B, url string) net.Conn {
	c, err := pgconn.Connect(context.Background(), url)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := c.Prepare(context.Background(), "s", "get $1", nil); err != nil {
		b.Fatal(err)
	}
	if err := c.SyncConn(context.Background()); err != nil {
		b.Fatal(err)
	}
	h, err := c.Hijack()
	if err != nil {
		b.Fatal(err)
	}
	return h.Conn
}

func newClient(b *testing.B, url string, simple bool) *client {
	n := prepared(b, url)
	b.Cleanup(func() { _ = n.Close() })
	k := &client{Conn: n, buf: make([]byte, 4096)}
	if simple {
		k.ask = must((&pgproto3.Query{String: "get butter"}).Encode(nil))
		return k
	}
	k.ask = must((&pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("butter")}}).Encode(nil))
	k.ask = must((&pgproto3.Execute{}).Encode(k.ask))
	k.ask = must((&pgproto3.Sync{}).Encode(k.ask))
	return k
}

// turn sends the batch and reads to ReadyForQuery, which ends the answer.
func (k *client) turn() error {
	if _, err := k.Write(k.ask); err != nil {
		return err
	}
	for w := 0; ; {
		n, err := k.Read(k.buf[w:])
		if err != nil {
			return err
		}
		w += n
		if w >= 6 && k.buf[w-6] == 'Z' && k.buf[w-2] == 5 {
			return nil
		}
	}
}

func measure(b *testing.B, k *client) {
	b.ReportAllocs()
	took := make([]time.Duration, 0, b.N)
	b.ResetTimer()
	for range b.N {
		t := time.Now()
		if err := k.turn(); err != nil {
			b.Fatal(err)
		}
		took = append(took, time.Since(t))
	}
	b.StopTimer()
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
}

// BenchmarkStatement compares a statement over io/caller and io/database with
// one over a direct connection to the same instance.
func BenchmarkStatement(b *testing.B) {
	up := newCanned(b)
	p := database.NewPool(database.Config{
		Service: "orders", Instance: "a", Address: up.l.Addr().String(), User: "proxy", Limit: 16,
	})
	b.Cleanup(p.Close)
	f := start(b, func(cfg *caller.Config) { cfg.Runner = pooled(p); cfg.EventLoops = 0 })
	direct := "postgres://proxy@" + up.l.Addr().String() + "/orders?sslmode=disable"
	for _, kind := range []string{"simple", "prepared"} {
		b.Run(kind+"/direct", func(b *testing.B) { measure(b, newClient(b, direct, kind == "simple")) })
		b.Run(kind+"/proxied", func(b *testing.B) {
			measure(b, newClient(b, f.url("hotel", keyA, ""), kind == "simple"))
		})
	}
}

// BenchmarkThroughput has 64 sessions send prepared statements at once.
func BenchmarkThroughput(b *testing.B) {
	up := newCanned(b)
	p := database.NewPool(database.Config{
		Service: "orders", Instance: "a", Address: up.l.Addr().String(), User: "proxy", Limit: 32,
	})
	b.Cleanup(p.Close)
	f := start(b, func(cfg *caller.Config) { cfg.Runner = pooled(p); cfg.EventLoops = 0 })
	direct := "postgres://proxy@" + up.l.Addr().String() + "/orders?sslmode=disable"
	const sessions = 64
	for name, url := range map[string]string{"direct": direct, "proxied": f.url("hotel", keyA, "")} {
		b.Run(name, func(b *testing.B) {
			clients := make(chan *client, sessions)
			for range sessions {
				clients <- newClient(b, url, false)
			}
			b.SetParallelism(max(1, sessions/runtime.GOMAXPROCS(0)))
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				k := <-clients
				for pb.Next() {
					if err := k.turn(); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
		})
	}
}

// BenchmarkIdleSessions opens 6,000 sessions and reports the memory of the host
// for each. The callers' ends are bare file descriptors, which take none.
func BenchmarkIdleSessions(b *testing.B) {
	const sessions = 6000
	f := start(b, func(cfg *caller.Config) {
		cfg.EventLoops = 4
		// The fake would keep all requests.
		cfg.Runner.Run = func(q *exchange.Request, r exchange.Reply) {
			out, _ := answerTo(q)
			_ = r.Send(out)
			r.Done(exchange.Result{Outcome: exchange.OutcomeDone, Position: fleet.LogPosition{Term: 1, Index: 1}})
		}
	})
	for b.Loop() {
		var files []*os.File
		before := memory()
		for range sessions {
			files = append(files, idle(b, f))
		}
		after := memory()
		b.ReportMetric(float64(after-before)/sessions, "B/session")
		b.ReportMetric(float64(f.State().Sessions), "sessions")
		for _, e := range files {
			_ = e.Close()
		}
		until(b, "closed", func() bool { return f.State().Sessions == 0 })
	}
}

func memory() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// idle opens a session that has run a prepared statement, and keeps its socket.
func idle(b *testing.B, f *front) *os.File {
	n := prepared(b, f.url("hotel", keyA, ""))
	file, err := n.(*net.TCPConn).File()
	if err != nil {
		b.Fatal(err)
	}
	_ = n.Close()
	return file
}
