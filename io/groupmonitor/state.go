package groupmonitor

import (
	"github.com/prometheus/client_golang/prometheus"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
	"skylarkdeal/internal/metric"
)

// State is the part of a state dump that describes one group.
type State struct {
	Service  fleet.Service  `json:"service"`
	Snapshot group.Snapshot `json:"table"`
	// Waiting is the number of requests that wait for a proof.
	Waiting int `json:"waiting"`
	// Promotion is the promotion under way, nil if there is none.
	Promotion *group.Promotion `json:"promotion,omitempty"`
	// Reason is the reason of the latest assessment of the primary, such as why
	// no promotion is due although the primary is silent.
	Reason string `json:"reason,omitempty"`
}

// State returns the state as of the last step. It doesn't block.
func (s *Monitor) State() State {
	return *s.state.Load()
}

func (s *Monitor) newState(t group.Snapshot) *State {
	out := &State{Service: s.cfg.Service, Snapshot: t, Waiting: len(s.waiting), Reason: s.change.reason}
	if p := s.change.promotion; p != nil {
		c := *p
		out.Promotion = &c
	}
	return out
}

type metrics struct {
	statusRequests prometheus.Counter
	confirmSeconds prometheus.Histogram
	promotions     *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) metrics {
	return metrics{
		statusRequests: metric.Register(r, prometheus.NewCounter(prometheus.CounterOpts{
			Name: "skylarkdeal_group_questions_total",
			Help: "Questions for an instance's status.",
		})),
		confirmSeconds: metric.Register(r, prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "skylarkdeal_group_confirm_seconds",
			Help:    "Time from a commit to the proof that it may be acknowledged.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		})),
		promotions: metric.Register(r, prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkdeal_group_promotions_total",
			Help: "Promotions that this host has begun, by how they ended.",
		}, []string{"outcome"})),
	}
}
