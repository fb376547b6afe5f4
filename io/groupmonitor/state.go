package groupmonitor

import (
	"github.com/prometheus/client_golang/prometheus"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
	"skylarkdeal/internal/metric"
)

// State is what a state dump shows of a group.
type State struct {
	Service fleet.Service  `json:"service"`
	Table   group.Snapshot `json:"table"`
	// Waiting is how many requests wait for a proof.
	Waiting int `json:"waiting"`
	// Promotion is the change of primary under way.
	Promotion *group.Promotion `json:"promotion,omitempty"`
	// Reason says why a promotion is not due although the primary is silent.
	Reason string `json:"reason,omitempty"`
}

// State returns what a state dump shows of the group.
func (s *Steward) State() State {
	return *s.state.Load()
}

func (s *Steward) snapshot(t group.Snapshot) *State {
	out := &State{Service: s.cfg.Service, Table: t, Waiting: len(s.waiting), Reason: s.change.why}
	if p := s.change.promotion; p != nil {
		c := *p
		out.Promotion = &c
	}
	return out
}

type metrics struct {
	questions  prometheus.Counter
	confirm    prometheus.Histogram
	promotions *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) metrics {
	return metrics{
		questions: metric.Register(r, prometheus.NewCounter(prometheus.CounterOpts{
			Name: "skylarkdeal_group_questions_total",
			Help: "Questions for an instance's status.",
		})),
		confirm: metric.Register(r, prometheus.NewHistogram(prometheus.HistogramOpts{
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
