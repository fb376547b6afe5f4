package experiment

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"

	"skylarkdeal/internal/localfleet"
	"skylarkdeal/standin/ledger"
)

// writePause is the time between two writes of one caller: short against any gap,
// long enough to leave the machine to the fleet.
const writePause = 2 * time.Millisecond

// idPrefix starts the ids of the writers' orders.
const idPrefix = "order-"

// writers are callers on several hosts that write orders with ids of their own.
type writers struct {
	fleet   *localfleet.Fleet
	service localfleet.Service

	mu    sync.Mutex
	acked map[string]bool
	// last is when the latest acknowledged write was answered, most the longest
	// time between two since the last reset.
	last time.Time
	most time.Duration
}

func newWriters(f *localfleet.Fleet, s localfleet.Service) *writers {
	return &writers{fleet: f, service: s, acked: map[string]bool{}}
}

func (w *writers) group() *ledger.Group {
	return w.fleet.Groups[w.service.Name]
}

// start has a caller write over each of the hosts until stop is called.
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
		id := fmt.Sprintf("%s%d-%d", idPrefix, host, n)
		if _, err := c.Exec(ctx, "once $1 stock 1", id); err == nil {
			w.note(id)
		}
		time.Sleep(writePause)
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
		w.most = max(w.most, now.Sub(w.last))
	}
	w.last = now
	w.acked[id] = true
}

func (w *writers) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.most = 0
}

func (w *writers) longest() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.most
}

func (w *writers) acknowledged() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.acked)
}

func (w *writers) since() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.last)
}

// count returns how many writes were acknowledged, how many of them the primary
// lacks, and how many stand in its log more than once.
func (w *writers) count() (acked, lost, doubled int) {
	g := w.group()
	p, _ := primary(g)
	runs := map[string]int{}
	for _, e := range g.Entries(p) {
		for _, o := range e.Ops {
			if strings.HasPrefix(o.ID, idPrefix) {
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
	return len(w.acked), lost, doubled
}
