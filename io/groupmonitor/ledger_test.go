package groupmonitor_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/control"
	"skylarkdeal/io/groupmonitor"
	"skylarkdeal/io/host/hostpb"
	"skylarkdeal/standin/ledger"
)

// linkDelay is the delay of a link in one direction.
const linkDelay = time.Millisecond

// ledgerFleet is a stand-in group with three holders, each in the data centre of
// one of the instances.
type ledgerFleet struct {
	ctx         context.Context
	stop        context.CancelFunc
	wait        sync.WaitGroup
	group       *ledger.Group
	doc         document.Document
	hosts       []fleet.Member
	monitors    map[fleet.Host]*groupmonitor.Monitor
	mu          sync.Mutex
	cutOffHosts map[fleet.Host]bool
	// slow delays the statuses of instance a, pause the next step of host h0.
	slow  atomic.Int64
	pause atomic.Int64
	// statusRequests counts the status requests of all hosts.
	statusRequests atomic.Int64
}

func (f *ledgerFleet) set(n fleet.Instance, t ledger.Fault) {
	if err := f.group.Set(n, t); err != nil {
		panic(err)
	}
}

func newFleet(tb testing.TB, lag time.Duration) *ledgerFleet {
	tb.Helper()
	f := &ledgerFleet{monitors: make(map[fleet.Host]*groupmonitor.Monitor), cutOffHosts: make(map[fleet.Host]bool)}
	f.ctx, f.stop = context.WithCancel(context.Background())
	names := []fleet.Instance{"a", "b", "c"}
	cfg := ledger.Config{Service: "orders", Lag: lag}
	for _, n := range names {
		cfg.Instances = append(cfg.Instances, ledger.InstanceConfig{
			Name: n, Slots: 2, Connections: 16, ConnectDelay: 10 * time.Millisecond, Work: time.Millisecond,
		})
	}
	g, err := ledger.Start(cfg)
	if err != nil {
		tb.Fatal(err)
	}
	f.group = g
	f.doc.Service = "orders"
	for i, n := range names {
		dc := fleet.DataCentre(fmt.Sprintf("dc%d", i))
		f.doc.Instances = append(f.doc.Instances, document.Instance{
			Name: n, Address: g.Address(n), DataCentre: dc, Slots: 2, Connections: 16,
		})
		f.hosts = append(f.hosts, fleet.Member{Host: fleet.Host(fmt.Sprintf("h%d", i)), DataCentre: dc})
	}
	for i, m := range f.hosts {
		f.prepare(m, uint64(i+1))
	}
	// The monitors request views from each other from the start, so all are
	// made before one runs.
	for _, s := range f.monitors {
		f.wait.Go(func() { s.Run(f.ctx) })
	}
	return f
}

func (f *ledgerFleet) close() {
	f.stop()
	f.wait.Wait()
	f.group.Close()
}

func (f *ledgerFleet) prepare(m fleet.Member, seed uint64) {
	s := groupmonitor.New(groupmonitor.Config{
		Service: "orders", Host: m.Host, DataCentre: m.DataCentre, Epoch: seed, Seed: seed,
		Document: func() *document.Document { return &f.doc },
		Dial:     func(i document.Instance) control.Client { return f.dial(m.Host, i) },
		Holders:  func() []fleet.Member { return f.hosts },
		RequestView: func(ctx context.Context, o fleet.Member) (*hostpb.ViewResponse, error) {
			return f.view(ctx, m.Host, o.Host)
		},
	})
	f.monitors[m.Host] = s
	if m.Host == "h0" {
		s.OnChange(func() { _ = sleep(f.ctx, time.Duration(f.pause.Swap(0))) })
	}
}

func (f *ledgerFleet) view(ctx context.Context, from, to fleet.Host) (*hostpb.ViewResponse, error) {
	f.mu.Lock()
	gone := f.cutOffHosts[from] || f.cutOffHosts[to]
	f.mu.Unlock()
	if gone {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := sleep(ctx, 2*linkDelay); err != nil {
		return nil, err
	}
	return f.monitors[to].HandleView(), nil
}

// dial returns a client whose status requests take as long as over a link of
// linkDelay each way.
func (f *ledgerFleet) dial(h fleet.Host, i document.Instance) control.Client {
	k := control.Dial(control.Config{
		Instance: i.Name, Address: i.Address, User: "u", Password: "p", Database: "orders", Host: h,
	})
	return control.Client{
		Status: func(ctx context.Context) (fleet.Status, error) {
			f.statusRequests.Add(1)
			late := 2 * linkDelay
			if i.Name == "a" {
				late += time.Duration(f.slow.Load())
			}
			if err := sleep(ctx, late); err != nil {
				return fleet.Status{}, err
			}
			return k.Status(ctx)
		},
		Fence:   k.Fence,
		Promote: k.Promote,
		Follow:  k.Follow,
		Close:   k.Close,
	}
}

// writer is a caller of one host that goes on writing through all faults.
type writer struct {
	fleet *ledgerFleet
	host  fleet.Host
	rule  document.Acknowledge
	to    fleet.Instance
	conn  *pgconn.PgConn
	acked map[fleet.LogPosition]string
	// unknown is the number of writes with an unknown outcome.
	unknown int
}

func (w *writer) close() {
	if w.conn != nil {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = w.conn.Close(ctx)
	}
	w.conn = nil
}

// connect returns the connection to the primary, or nil while there is none.
func (w *writer) connect(ctx context.Context) *pgconn.PgConn {
	t := w.fleet.monitors[w.host].Snapshot()
	p, ok := t.Find(t.Primary)
	if !ok || p.Silent(time.Now()) > 150*time.Millisecond {
		return nil
	}
	if w.conn != nil && w.to == t.Primary && !w.conn.IsClosed() {
		return w.conn
	}
	w.close()
	conn, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://u:p@%s/orders?sslmode=disable&application_name=%s",
		p.Instance.Address, w.host))
	if err != nil {
		return nil
	}
	w.conn, w.to = conn, t.Primary
	return conn
}

// write writes one value and waits up to limit for its acknowledgement.
func (w *writer) write(value string, limit time.Duration) (fleet.LogPosition, bool) {
	ctx, cancel := context.WithTimeout(w.fleet.ctx, limit)
	defer cancel()
	conn := w.connect(ctx)
	if conn == nil {
		_ = sleep(ctx, time.Millisecond)
		return fleet.LogPosition{}, false
	}
	_ = sleep(ctx, 2*linkDelay)
	if _, err := conn.Exec(ctx, "put k"+value+" "+value).ReadAll(); err != nil {
		w.close()
		return fleet.LogPosition{}, false
	}
	text, _, _ := strings.Cut(conn.ParameterStatus(ledger.PointParameter), "/")
	at, err := fleet.ParseLogPosition(text)
	if err != nil {
		return fleet.LogPosition{}, false
	}
	out := make(chan error, 1)
	w.fleet.monitors[w.host].Confirm(at, w.rule, time.Now().Add(limit), func(err error) { out <- err })
	if <-out != nil {
		w.unknown++
		return at, false
	}
	w.acked[at] = value
	return at, true
}

// lost returns the number of acknowledged writes that the primary doesn't have.
func (w *writer) lost() int {
	var n int
	top := w.fleet.group.Primary()
	for _, v := range w.acked {
		if got, ok := w.fleet.group.Value(top, "k"+v); !ok || got != v {
			n++
		}
	}
	return n
}

func (w *writer) first(tb testing.TB) {
	tb.Helper()
	eventually(tb, func() bool {
		_, ok := w.write("first"+strconv.Itoa(len(w.acked)), time.Second)
		return ok
	})
}
