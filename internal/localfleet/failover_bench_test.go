package localfleet_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"skylarkdeal/core/fleet"
	"skylarkdeal/internal/localfleet"
	"skylarkdeal/standin/ledger"
	"skylarkdeal/standin/store"
)

// gapFault is one way in which a primary fails.
type gapFault struct {
	name      string
	fault     ledger.Fault
	storeDown bool
}

var gapFaults = []gapFault{
	{name: "crash", fault: ledger.Fault{Kind: ledger.FaultDie}},
	{name: "hang", fault: ledger.Fault{Kind: ledger.FaultPause}},
	{name: "cut", fault: ledger.Fault{Kind: ledger.FaultCut, From: []string{"a", "b", "c"}}},
	{name: "cut-from-hosts", fault: ledger.Fault{Kind: ledger.FaultCut, From: []string{"*"}}},
	{name: "crash-store-down", fault: ledger.Fault{Kind: ledger.FaultDie}, storeDown: true},
	{name: "cut-store-down", fault: ledger.Fault{Kind: ledger.FaultCut, From: []string{"*"}}, storeDown: true},
}

// BenchmarkFailoverGap measures the time from the last acknowledged write before
// a primary's failure to the next one after it, as callers on two hosts see it,
// and counts writes that were lost or doubled. Run it with -benchtime=30x.
func BenchmarkFailoverGap(b *testing.B) {
	for _, f := range gapFaults {
		b.Run(f.name, func(b *testing.B) { benchmarkGap(b, f) })
	}
}

func benchmarkGap(b *testing.B, f gapFault) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	cfg := localfleet.Tokachi(6)
	cfg.Services = cfg.Services[:1]
	cfg.Services[0].Accounts[0].Rate = 2000
	cfg.Services[0].Accounts[0].Burst = 4000
	l, err := localfleet.Start(ctx, cfg)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	w := &writers{fleet: l, service: cfg.Services[0], acked: map[string]bool{}}
	stop := w.start(ctx, 0, 4)
	var gaps []time.Duration
	for b.Loop() {
		gaps = append(gaps, w.gap(b, f))
	}
	stop()
	slices.Sort(gaps)
	lost, doubled := w.count()
	b.ReportMetric(float64(gaps[len(gaps)/2].Milliseconds()), "median-ms")
	b.ReportMetric(float64(gaps[len(gaps)-1].Milliseconds()), "worst-ms")
	b.ReportMetric(float64(lost), "lost")
	b.ReportMetric(float64(doubled), "doubled")
	b.ReportMetric(float64(len(w.acked)), "acked")
}

// writers write orders with ids of their own over several hosts.
type writers struct {
	fleet   *localfleet.Fleet
	service localfleet.Service

	mu    sync.Mutex
	acked map[string]bool
	// last is when the latest acknowledged write was answered.
	last time.Time
	// worst is the longest time between two since it was reset.
	worst time.Duration
}

func (w *writers) start(ctx context.Context, hosts ...int) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var g sync.WaitGroup
	for _, h := range hosts {
		g.Go(func() { w.write(ctx, h) })
	}
	return func() {
		cancel()
		g.Wait()
	}
}

func (w *writers) write(ctx context.Context, host int) {
	var c *pgx.Conn
	for n := 0; ctx.Err() == nil; n++ {
		if c == nil || c.IsClosed() {
			c, _ = localfleet.Connect(ctx, w.fleet.Hosts[host], w.service.Name, w.service.Accounts[0], "")
		}
		if c == nil {
			continue
		}
		id := fmt.Sprintf("h%d-%d", host, n)
		if _, err := c.Exec(ctx, "once $1 stock 1", id); err == nil {
			w.note(id)
		}
		time.Sleep(2 * time.Millisecond)
	}
	if c != nil {
		_ = c.Close(context.Background())
	}
}

func (w *writers) note(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if !w.last.IsZero() {
		w.worst = max(w.worst, now.Sub(w.last))
	}
	w.last = now
	w.acked[id] = true
}

func (w *writers) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.worst = 0
}

// gap injects the fault into the present primary, and returns the longest time
// between two acknowledged writes until all instances are back in one term.
func (w *writers) gap(b *testing.B, f gapFault) time.Duration {
	g := w.fleet.Groups[w.service.Name]
	p, term := primary(g)
	w.reset()
	if f.storeDown {
		w.fleet.Store.Set(func(s *store.Faults) { s.Down = true })
	}
	fault := f.fault
	fault.From = slices.DeleteFunc(slices.Clone(fault.From), func(n string) bool { return n == string(p) })
	if err := g.Set(p, fault); err != nil {
		b.Fatal(err)
	}
	await(b, "a promotion", func() bool { _, t := primary(g); return t > term })
	await(b, "a write on the new primary", func() bool { return w.since() < 50*time.Millisecond })
	time.Sleep(200 * time.Millisecond)
	if err := g.Clear(p, fault.Kind); err != nil {
		b.Fatal(err)
	}
	w.fleet.Store.Set(func(s *store.Faults) { s.Down = false })
	await(b, "the former primary's return", func() bool {
		n, t := primary(g)
		return g.Status(p).Promised == t && g.Status(p).Follows == n
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.worst
}

func (w *writers) since() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.last)
}

// count returns how many acknowledged writes the primary lacks, and how many it
// has more than once.
func (w *writers) count() (lost, doubled int) {
	g := w.fleet.Groups[w.service.Name]
	p, _ := primary(g)
	runs := map[string]int{}
	for _, e := range g.Entries(p) {
		for _, o := range e.Ops {
			if strings.HasPrefix(o.ID, "h") {
				runs[o.ID]++
			}
		}
	}
	for id := range w.acked {
		if runs[id] == 0 {
			lost++
		}
	}
	for _, n := range runs {
		if n > 1 {
			doubled++
		}
	}
	return lost, doubled
}

// primary returns the instance that serves in the highest term.
func primary(g *ledger.Group) (fleet.Instance, fleet.Term) {
	var best fleet.Status
	for _, n := range g.Names() {
		s := g.Status(n)
		if s.Role == fleet.RolePrimary && s.Last.Term >= best.Last.Term {
			best = s
		}
	}
	return best.Instance, best.Last.Term
}

func await(b *testing.B, what string, ok func() bool) {
	b.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); {
		if time.Now().After(end) {
			b.Fatalf("no sign of %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}
