package caller

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"skylarkdeal/core/exchange"
	"skylarkdeal/internal/metric"
)

// State is what the state dump says of the sessions of a host.
type State struct {
	Address  string `json:"address"`
	Draining bool   `json:"draining"`
	Sessions int    `json:"sessions"`
	// Accounts counts the sessions that have proved a key, by "service/account".
	Accounts map[string]int `json:"accounts"`
	// Running counts the exchanges in progress.
	Running int `json:"running"`
	// Timed counts the sessions with a deadline: those that have not proved a
	// key, have a transaction open, or wait for their caller to close.
	Timed int `json:"timed"`
}

// State returns the present state.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := State{
		Draining: s.draining.Load(), Sessions: len(s.sessions),
		Running: int(s.running.Load()), Timed: len(s.waiting), Accounts: make(map[string]int),
	}
	if s.addr != nil {
		t.Address = s.addr.String()
	}
	for _, x := range s.sessions {
		if x.entered {
			t.Accounts[string(x.service)+"/"+string(x.account)]++
		}
	}
	return t
}

type metrics struct {
	registered metric.Group
	ended      *prometheus.CounterVec
	exchanges  *prometheus.CounterVec
	seconds    *prometheus.HistogramVec
	badKeys    prometheus.Counter
	stalled    prometheus.Counter
}

func newMetrics(r prometheus.Registerer, sessions func() int) metrics {
	m := metrics{
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkdeal_caller_sessions_ended_total",
			Help: "Sessions that the host ended, by SQLSTATE.",
		}, []string{"code"}),
		exchanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkdeal_caller_exchanges_total",
			Help: "Exchanges answered, by outcome and intent.",
		}, []string{"outcome", "intent"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "skylarkdeal_caller_exchange_seconds",
			Help:    "Time from the last message of an exchange to its result, by intent.",
			Buckets: prometheus.ExponentialBuckets(firstBucket, 2, buckets),
		}, []string{"intent"}),
		badKeys: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "skylarkdeal_caller_bad_keys_total",
			Help: "Start-ups refused because no key was proved.",
		}),
		stalled: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "skylarkdeal_caller_stalled_total",
			Help: "Sessions ended because their caller stopped reading.",
		}),
	}
	open := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "skylarkdeal_caller_sessions",
		Help: "Open sessions.",
	}, func() float64 { return float64(sessions()) })
	m.registered = metric.NewGroup(r, m.ended, m.exchanges, m.seconds, m.badKeys, m.stalled, open)
	return m
}

func (m metrics) exchange(r exchange.Result, intent exchange.Intent, took time.Duration) {
	m.exchanges.WithLabelValues(string(r.Outcome), string(intent)).Inc()
	m.seconds.WithLabelValues(string(intent)).Observe(took.Seconds())
}

// The buckets reach from a quarter of a millisecond to 16 s.
const (
	firstBucket = 0.00025
	buckets     = 17
)
