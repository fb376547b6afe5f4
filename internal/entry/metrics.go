package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
)

// metrics are what the host counts by itself; the rest is read from the relay when it is
// asked for.
type metrics struct {
	latency *prometheus.HistogramVec
	calls   *prometheus.CounterVec
}

// latencyBuckets are in seconds, around the targets of the users' requests.
var latencyBuckets = []float64{.002, .005, .01, .02, .05, .1, .2, .4, .8, 1.5, 4}

func (h *Host) newMetrics() {
	h.counted = metrics{
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "skylarkdeal_statement_seconds", Help: "Time from a statement to its answer.",
			Buckets: latencyBuckets,
		}, []string{"consistency", "code"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkdeal_store_calls_total", Help: "Calls to the platform's store.",
		}, []string{"step"}),
	}
	h.metrics.MustRegister(h.counted.latency, h.counted.calls)
	gauge := func(name, help string, read func() float64) {
		h.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
	}
	counter := func(name, help string, read func(c relay.Counts) uint64) {
		h.metrics.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 {
			return float64(read(h.snapshot().Counts))
		}))
	}
	gauge("skylarkdeal_sessions", "Open sessions.", func() float64 { return float64(h.snapshot().Sessions) })
	gauge("skylarkdeal_ready", "1 while the host is ready.", func() float64 {
		if h.ready.Load() {
			return 1
		}
		return 0
	})
	counter("skylarkdeal_statements_total", "Statements of callers.",
		func(c relay.Counts) uint64 { return c.Statements })
	counter("skylarkdeal_refused_total", "Statements refused, not run.",
		func(c relay.Counts) uint64 { return c.Refused })
	counter("skylarkdeal_retried_total", "Statements sent off again, as they had not run.",
		func(c relay.Counts) uint64 { return c.Retried })
	counter("skylarkdeal_in_doubt_total", "Writes whose outcome is unknown.",
		func(c relay.Counts) uint64 { return c.InDoubt })
	counter("skylarkdeal_connects_total", "Connections made to instances.",
		func(c relay.Counts) uint64 { return c.Connects })
	counter("skylarkdeal_own_statements_total", "Statements of the proxy's own.",
		func(c relay.Counts) uint64 { return c.OwnStatements })
	counter("skylarkdeal_questions_total", "Questions to instances what they are.",
		func(c relay.Counts) uint64 { return c.Asked })
}

func (h *Host) observe(k catalog.Consistency, c statement.Code, took time.Duration) {
	h.counted.latency.WithLabelValues(string(k), string(c)).Observe(took.Seconds())
}

func (h *Host) countCall(s failure.Step) {
	h.counted.calls.WithLabelValues(string(s)).Inc()
}

// snapshot reads the relay on its loop.
func (h *Host) snapshot() relay.State {
	got := make(chan relay.State, 1)
	h.loop.Do(func() { got <- h.relay.State() })
	select {
	case s := <-got:
		return s
	case <-time.After(snapshotTimeout):
		return relay.State{}
	}
}

// snapshotTimeout bounds the wait for a loop that is busy or has ended.
const snapshotTimeout = time.Second
