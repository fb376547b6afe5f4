package host

import (
	"sync"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"

	"skylarkdeal/core/exchange"
)

// outboundMetrics count what Peers do.
type outboundMetrics struct {
	once      sync.Once
	exchanges *prometheus.CounterVec
	calls     *prometheus.CounterVec
	opened    prometheus.Counter
	ended     prometheus.Counter
}

// register makes the metrics at their first use; r may be nil.
func (m *outboundMetrics) register(r prometheus.Registerer) {
	m.once.Do(func() {
		m.exchanges = prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkdeal_peer_exchanges_total",
			Help: "Exchanges forwarded to other hosts, by outcome.",
		}, []string{"outcome"})
		m.calls = prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkdeal_peer_calls_total",
			Help: "Calls to other hosts but for forwarding, by call and connect code.",
		}, []string{"call", "code"})
		m.opened = prometheus.NewCounter(prometheus.CounterOpts{
			Name: "skylarkdeal_peer_streams_opened_total", Help: "Streams opened to other hosts.",
		})
		m.ended = prometheus.NewCounter(prometheus.CounterOpts{
			Name: "skylarkdeal_peer_streams_ended_total",
			Help: "Streams to other hosts that have ended, or could not be opened.",
		})
		if r != nil {
			r.MustRegister(m.exchanges, m.calls, m.opened, m.ended)
		}
	})
}

func (m *outboundMetrics) called(name string, err error) {
	code := "ok"
	if err != nil {
		code = connect.CodeOf(err).String()
	}
	m.calls.WithLabelValues(name, code).Inc()
}

func (m *outboundMetrics) done(o exchange.Outcome) {
	m.exchanges.WithLabelValues(string(o)).Inc()
}
