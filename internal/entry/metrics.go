package entry

import (
	"strconv"
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
	// admission is how long operations waited for a token of their account's rate, by the decision.
	admission *prometheus.HistogramVec
	heldSlots prometheus.Gauge
	// recordConflicts counts the records of promotions that the store has refused to write.
	recordConflicts prometheus.Counter
	// overflows counts the callers that were cut off because they didn't wait for responses.
	overflows prometheus.Counter
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
		admission: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "skylarkdeal_admission_seconds",
			Help:    "Time that operations waited for their account's rate, by the decision.",
			Buckets: latencyBuckets,
		}, []string{"decision"}),
		heldSlots: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "skylarkdeal_held_slots", Help: "Slots of accounts of which this host is the home.",
		}),
	}
	h.counted.recordConflicts = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "skylarkdeal_record_conflicts_total",
		Help: "Records of promotions that the store refused to write, as it had another one than was known.",
	})
	h.counted.overflows = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "skylarkdeal_caller_overflows_total",
		Help: "Callers cut off because they sent statements without waiting for the responses.",
	})
	h.metrics.MustRegister(h.counted.latency, h.counted.calls, h.counted.admission, h.counted.heldSlots,
		h.counted.recordConflicts, h.counted.overflows)
	h.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "skylarkdeal_ready", Help: "1 while the host is ready.",
	}, func() float64 {
		if h.ready.Load() {
			return 1
		}
		return 0
	}))
	h.metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "skylarkdeal_unusable_entries",
		Help: "Entries in the place of the instances that name none to use, as those of another writer.",
	}, func() float64 { return float64(h.registry.UnusableEntries()) }))
	h.registerCatalogMetrics()
	h.metrics.MustRegister(collector{read: h.snapshot})
}

// collector reads the relay once for all that it tells: each reading takes its loop's time.
type collector struct {
	read func() relay.State
}

var sessionsDesc = prometheus.NewDesc("skylarkdeal_sessions", "Open sessions.", nil, nil)

var refusedByPriorityDesc = prometheus.NewDesc("skylarkdeal_refused_by_priority_total",
	"Statements refused, not run, by the priority of their route.", []string{"priority"}, nil)

// counters are the relay's running totals.
var counters = []struct {
	desc *prometheus.Desc
	read func(c relay.Counters) uint64
}{
	{counter("statements", "Statements of callers."),
		func(c relay.Counters) uint64 { return c.Statements }},
	{counter("refused", "Statements refused, not run."),
		func(c relay.Counters) uint64 { return c.Refused }},
	{counter("retried", "Statements sent off again, as they had not run."),
		func(c relay.Counters) uint64 { return c.Retried }},
	{counter("in_doubt", "Writes whose outcome is unknown."),
		func(c relay.Counters) uint64 { return c.InDoubt }},
	{counter("connects", "Connections made to instances."),
		func(c relay.Counters) uint64 { return c.Connects }},
	{counter("evictions", "Idle connections closed in favour of another account."),
		func(c relay.Counters) uint64 { return c.Evictions }},
	{counter("idle_rollbacks", "Idle transactions rolled back while operations waited for their connections."),
		func(c relay.Counters) uint64 { return c.IdleRollbacks }},
	{counter("own_statements", "Statements of the proxy's own."),
		func(c relay.Counters) uint64 { return c.OwnStatements }},
	{counter("questions", "Questions to instances what they are."),
		func(c relay.Counters) uint64 { return c.StatusRequests }},
	{counter("group_ticks", "Ticks of groups in which something depends on the time."),
		func(c relay.Counters) uint64 { return c.GroupTicks }},
	{counter("promotion_checks", "Checks whether a group needs another primary."),
		func(c relay.Counters) uint64 { return c.PromotionChecks }},
	{counter("limit_decreases", "Decreases of the concurrency limit toward an instance."),
		func(c relay.Counters) uint64 { return c.LimitDecreases }},
	{counter("retries_denied", "Reads that weren't retried because the retry budget was used up."),
		func(c relay.Counters) uint64 { return c.RetriesDenied }},
	{counter("refused_before_hop", "Statements refused because of the load that a holder reports."),
		func(c relay.Counters) uint64 { return c.RefusedBeforeHop }},
	{counter("outlier_ejections", "Ejections of instances that respond but fail."),
		func(c relay.Counters) uint64 { return c.OutlierEjections }},
	{counter("outlier_probes", "Statements sent to ejected instances to probe them."),
		func(c relay.Counters) uint64 { return c.OutlierProbes }},
	{counter("outlier_returns", "Ends of ejections."),
		func(c relay.Counters) uint64 { return c.OutlierReturns }},
	{counter("outlier_adoptions", "Ejections adopted from reports of other hosts."),
		func(c relay.Counters) uint64 { return c.OutlierAdoptions }},
	{counter("abandoned_reads", "Reads run again as no response came in the expected time."),
		func(c relay.Counters) uint64 { return c.AbandonedReads }},
	{counter("promotions_withheld", "Promotions that had to wait for the logs of other instances."),
		func(c relay.Counters) uint64 { return c.PromotionsWithheld }},
	{counter("holds", "Requests to hold an instance back before a promotion."),
		func(c relay.Counters) uint64 { return c.Holds }},
	{counter("hold_releases", "Requests to end that an instance is held back."),
		func(c relay.Counters) uint64 { return c.HoldReleases }},
	{counter("departed_forgotten", "Former instances that no longer count for promotions, as too many have gone."),
		func(c relay.Counters) uint64 { return c.DepartedForgotten }},
	{counter("statements_cut", "Statements without an answer whose sessions this host has ended."),
		func(c relay.Counters) uint64 { return c.StatementsCut }},
	{counter("answers_cut", "Callers whose connection this host has closed before their answers were written."),
		func(c relay.Counters) uint64 { return c.AnswersCut }},
}

func counter(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("skylarkdeal_"+name+"_total", help, nil, nil)
}

// Describe is called once, when the collector is registered.
func (c collector) Describe(out chan<- *prometheus.Desc) {
	out <- sessionsDesc
	out <- refusedByPriorityDesc
	for _, m := range counters {
		out <- m.desc
	}
}

// Collect is called when the metrics are read.
func (c collector) Collect(out chan<- prometheus.Metric) {
	s := c.read()
	out <- prometheus.MustNewConstMetric(sessionsDesc, prometheus.GaugeValue, float64(s.Sessions))
	for p, n := range s.Counts.RefusedByPriority {
		if n > 0 {
			out <- prometheus.MustNewConstMetric(refusedByPriorityDesc, prometheus.CounterValue, float64(n), strconv.Itoa(p))
		}
	}
	for _, m := range counters {
		out <- prometheus.MustNewConstMetric(m.desc, prometheus.CounterValue, float64(m.read(s.Counts)))
	}
}

func (h *Host) observe(k catalog.Consistency, c statement.Code, took time.Duration) {
	h.counted.latency.WithLabelValues(string(k), string(c)).Observe(took.Seconds())
}

func (h *Host) countCall(s failure.Step) {
	h.counted.calls.WithLabelValues(string(s)).Inc()
}

// snapshot reads the relay on its loop.
func (h *Host) snapshot() relay.State { return onLoop(h, h.relay.State) }

// onLoop returns what f returns on the host's loop, the zero value if that is busy or has ended.
func onLoop[T any](h *Host, f func() T) T {
	got := make(chan T, 1)
	h.loop.Post(func() { got <- f() })
	select {
	case v := <-got:
		return v
	case <-time.After(snapshotTimeout):
		var zero T
		return zero
	}
}

// snapshotTimeout bounds the wait for a loop that is busy or has ended.
const snapshotTimeout = time.Second
