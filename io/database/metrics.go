package database

import (
	"github.com/prometheus/client_golang/prometheus"

	"skylarkdeal/internal/metric"
)

type metrics struct {
	registered metric.Group
	opened     prometheus.Counter
	failures   prometheus.Counter
	broken     prometheus.Counter
	reparsed   prometheus.Counter
}

func newMetrics(p *Pool) metrics {
	labels := prometheus.Labels{"service": string(p.cfg.Service), "instance": string(p.cfg.Instance)}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{
			Name: "skylarkdeal_database_" + name, Help: help, ConstLabels: labels,
		})
	}
	gauge := func(name, help string, f func(State) int) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "skylarkdeal_database_" + name, Help: help, ConstLabels: labels,
		}, func() float64 { return float64(f(p.State())) })
	}
	m := metrics{
		opened:   counter("opened_total", "Connections opened."),
		failures: counter("open_failures_total", "Connections that could not be opened."),
		broken:   counter("broken_total", "Connections closed with an answer owed or after an error."),
		reparsed: counter("reparsed_total", "Statements prepared for a connection that lacked them."),
	}
	m.registered = metric.NewGroup(p.cfg.Registerer,
		m.opened, m.failures, m.broken, m.reparsed,
		gauge("connections", "Open connections.", func(s State) int { return s.Open }),
		gauge("connections_idle", "Idle connections.", func(s State) int { return s.Idle }),
		gauge("connections_limit", "This host's share of the connections.", func(s State) int { return s.Limit }),
	)
	return m
}
