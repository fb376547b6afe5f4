package localfleet_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/place"
	"skylarkdeal/internal/localfleet"
	"skylarkdeal/standin/ledger"
)

// speed is a fleet whose instances answer at once, so that what the proxy adds
// is not hidden by their work.
type speed struct {
	f *localfleet.Fleet
	// direct is a group like that of the fleet, without any host before it.
	direct  *ledger.Group
	service localfleet.Service
	// near holds the connections, far forwards to it.
	near, far int
}

func startSpeed(b *testing.B) *speed {
	centres := []fleet.DataCentre{"obihiro", "sapporo", "asahikawa"}
	s := localfleet.Service{
		Name: "orders", DataCentres: centres, Holders: 1, Accounts: []localfleet.Account{
			{Name: "hotel", Key: "hotel-stand-in-key", Rate: 500000, Burst: 500000},
		},
	}
	d := &document.Document{Service: s.Name}
	var members []fleet.Member
	for n, c := range centres {
		i := fleet.Instance(string(rune('a' + n)))
		s.Instances = append(s.Instances, ledger.InstanceConfig{Name: i, Slots: 32, Connections: 32})
		d.Instances = append(d.Instances, document.Instance{Name: i, DataCentre: c})
		members = append(members, fleet.Member{Host: fleet.Host(fmt.Sprintf("%s-%d", c, n)), DataCentre: c})
	}
	f, err := localfleet.Start(context.Background(), localfleet.Config{
		Hosts: centres, Services: []localfleet.Service{s},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = f.Close() })
	g, err := ledger.Start(ledger.Config{Service: s.Name, Instances: s.Instances})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(g.Close)
	p := &speed{f: f, direct: g, service: s}
	for n, m := range members {
		if m.Host == place.Holders(d, members, 1)[0] {
			p.near, p.far = n, (n+1)%len(members)
		}
	}
	return p
}

// ways are the ways of a statement to the instance.
var ways = []string{"direct", "one-hop", "two-hops"}

func (p *speed) connect(b *testing.B, way string) *pgx.Conn {
	b.Helper()
	ctx := context.Background()
	var c *pgx.Conn
	var err error
	switch way {
	case "direct":
		a := p.direct.Address("a")
		c, err = pgx.Connect(ctx, fmt.Sprintf("postgres://direct@%s/%s?sslmode=disable", a, p.service.Name))
	case "one-hop":
		c, err = localfleet.Connect(ctx, p.f.Hosts[p.near], p.service.Name, p.service.Accounts[0], "")
	default:
		c, err = localfleet.Connect(ctx, p.f.Hosts[p.far], p.service.Name, p.service.Accounts[0], "")
	}
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = c.Close(ctx) })
	return c
}

// prepare makes the session ready for statements of a kind, and returns one.
func prepare(b *testing.B, c *pgx.Conn, kind string) func() error {
	b.Helper()
	ctx := context.Background()
	text := "get $1"
	switch kind {
	case "write":
		text = "put $1 $2"
	case "replica-read":
		if _, err := c.Exec(ctx, "put key value"); err != nil {
			b.Fatal(err)
		}
		if _, err := c.Exec(ctx, "SET default_transaction_read_only = on"); err != nil {
			b.Fatal(err)
		}
	}
	args := []any{pgx.QueryExecModeExec, "key"}
	if kind == "write" {
		args = append(args, "value")
	}
	return func() error {
		_, err := c.Exec(ctx, text, args...)
		return err
	}
}

// BenchmarkStatement measures one session that sends statements with parameters
// one after the other: a declared read that a replica may serve, a read at the
// primary, and a write that a majority has to have.
func BenchmarkStatement(b *testing.B) {
	p := startSpeed(b)
	for _, kind := range []string{"replica-read", "primary-read", "write"} {
		for _, way := range ways {
			b.Run(kind+"/"+way, func(b *testing.B) {
				run := prepare(b, p.connect(b, way), kind)
				h := hdrhistogram.New(1, int64(time.Minute), 3)
				b.ReportAllocs()
				for b.Loop() {
					start := time.Now()
					if err := run(); err != nil {
						b.Fatal(err)
					}
					_ = h.RecordValue(time.Since(start).Nanoseconds())
				}
				b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-µs")
				b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-µs")
			})
		}
	}
}

const (
	// sessionsAtOnce is more than there are connections to share.
	sessionsAtOnce = 64
	// directSessions is how many connections the instance takes.
	directSessions = 32
)

// BenchmarkThroughput measures many sessions at once. Processor time is that of
// callers, hosts and instances; the hosts' part is what it exceeds the direct
// way's by.
func BenchmarkThroughput(b *testing.B) {
	p := startSpeed(b)
	for _, kind := range []string{"replica-read", "write"} {
		for _, way := range ways {
			b.Run(kind+"/"+way, func(b *testing.B) {
				var sessions []func() error
				for range sessionsAtOnce {
					if way == "direct" && len(sessions) == directSessions {
						break
					}
					sessions = append(sessions, prepare(b, p.connect(b, way), kind))
				}
				b.ResetTimer()
				cpu := processorTime(b)
				runAll(b, sessions)
				b.ReportMetric(float64((processorTime(b)-cpu).Microseconds())/float64(b.N), "cpu-µs/statement")
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
			})
		}
	}
}

func runAll(b *testing.B, sessions []func() error) {
	var g sync.WaitGroup
	var left atomic.Int64
	left.Store(int64(b.N))
	for _, run := range sessions {
		g.Go(func() {
			for left.Add(-1) >= 0 {
				if err := run(); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	g.Wait()
}

func processorTime(b *testing.B) time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		b.Fatal(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
