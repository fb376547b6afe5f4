// Package stall notices when the process stands still, and tells a lack of processor time from a program that is
// stuck.
package stall

import (
	"context"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/procfs"
	"go.uber.org/zap"

	"skylarkdeal/internal/metric"
	"skylarkdeal/internal/sleep"
)

const (
	// interval is how often the watch wakes up and asks the duties.
	interval = 250 * time.Millisecond
	// late is the delay from which on the process counts as standing still, or a duty as stuck.
	late = time.Second
	// maxStacks bounds what is logged of the goroutines, in bytes.
	maxStacks = 256 << 10
)

// Usage is what the process has waited for since its start, all threads together.
type Usage struct {
	// Waiting is the time that runnable threads have waited for a processor.
	Waiting time.Duration
	// Collecting is the time that the garbage collector has stopped the program.
	Collecting time.Duration
}

func (u Usage) since(o Usage) Usage {
	return Usage{Waiting: u.Waiting - o.Waiting, Collecting: u.Collecting - o.Collecting}
}

// Watch logs when it runs late, with what the process waited for meanwhile, and when a duty doesn't answer
// although the watch runs in time, with all goroutines. The zero Watch has no duties and logs nothing.
type Watch struct {
	// Duties ask the process's duties for a sign of life, each by its name. A duty answers by calling back, from
	// any goroutine.
	Duties     map[string]func(answer func())
	Logger     *zap.Logger
	Registerer prometheus.Registerer
	// Usage and Sleep stand in for the machine's in tests; nil means those.
	Usage func() Usage
	Sleep func(ctx context.Context, d time.Duration) bool
	Now   func() time.Time
}

// duty is one duty that is asked again and again.
type duty struct {
	ask      func(answer func())
	answered chan struct{}
	// askedAt is when the question was asked that is still open, zero if none is.
	askedAt time.Time
	// reported is set once the open question counts as one that isn't answered.
	reported bool
}

// Run watches until ctx ends.
func (w Watch) Run(ctx context.Context) {
	w = w.withDefaults()
	lateness := metric.Register(w.Registerer, prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "skylarkdeal_stall_seconds", Help: "How late a goroutine ran that sleeps for a fixed time.",
		Buckets: []float64{.01, .05, .1, .25, .5, 1, 2, 5, 10, 20},
	}))
	duties := map[string]*duty{}
	for n, f := range w.Duties {
		duties[n] = &duty{ask: f, answered: make(chan struct{}, 1)}
	}
	usage, before := w.Usage(), w.Now()
	for w.Sleep(ctx, interval) {
		now := w.Now()
		spent := w.Usage().since(usage)
		behind := max(0, now.Sub(before)-interval)
		lateness.Observe(behind.Seconds())
		if behind >= late {
			w.Logger.Warn("process stood still", zap.Duration("for", behind),
				zap.Duration("waited-for-processor", spent.Waiting), zap.Duration("garbage-collection", spent.Collecting))
		}
		for n, d := range duties {
			w.check(n, d, now, behind)
		}
		usage, before = w.Usage(), w.Now()
	}
}

// check asks a duty again, or reports that it doesn't answer. Time in which the watch itself stood still doesn't
// count.
func (w Watch) check(name string, d *duty, now time.Time, behind time.Duration) {
	select {
	case <-d.answered:
		if d.reported {
			w.Logger.Warn("duty answers again", zap.String("duty", name), zap.Duration("after", now.Sub(d.askedAt)))
		}
		d.askedAt, d.reported = time.Time{}, false
	default:
	}
	switch {
	case d.askedAt.IsZero():
		d.askedAt = now
		d.ask(func() { d.answered <- struct{}{} })
	case behind >= late:
		d.askedAt = d.askedAt.Add(behind)
	case !d.reported && now.Sub(d.askedAt) >= late:
		d.reported = true
		w.Logger.Error("duty doesn't answer", zap.String("duty", name), zap.Duration("for", now.Sub(d.askedAt)),
			zap.ByteString("goroutines", stacks()))
	}
}

func (w Watch) withDefaults() Watch {
	if w.Logger == nil {
		w.Logger = zap.NewNop()
	}
	if w.Usage == nil {
		w.Usage = ownUsage
	}
	if w.Sleep == nil {
		w.Sleep = sleep.For
	}
	if w.Now == nil {
		w.Now = time.Now
	}
	return w
}

func stacks() []byte {
	b := make([]byte, maxStacks)
	return b[:runtime.Stack(b, true)]
}

// ownUsage reads the process's own usage; what the machine doesn't tell counts as zero.
func ownUsage() Usage {
	var stats debug.GCStats
	debug.ReadGCStats(&stats)
	u := Usage{Collecting: stats.PauseTotal}
	self, err := procfs.Self()
	if err != nil {
		return u
	}
	threads, err := procfs.AllThreads(self.PID)
	if err != nil {
		return u
	}
	for _, t := range threads {
		// A thread may end between the two readings.
		if s, err := t.Schedstat(); err == nil {
			u.Waiting += time.Duration(s.WaitingNanoseconds) //nolint:gosec // centuries below the bound
		}
	}
	return u
}
