package etcd

import (
	"maps"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// Kind is a kind of call to the store.
type Kind string

// The kinds of calls.
const (
	KindGet       Kind = "get"
	KindList      Kind = "list"
	KindNewest    Kind = "newest"
	KindSwap      Kind = "swap"
	KindPut       Kind = "put"
	KindDelete    Kind = "delete"
	KindWatch     Kind = "watch"
	KindGrant     Kind = "lease-grant"
	KindKeepAlive Kind = "lease-keep-alive"
	KindRevoke    Kind = "lease-revoke"
)

// counts counts the calls by kind and outcome, for the metrics and the state.
type counts struct {
	mu  *sync.Mutex
	n   map[Kind]int
	vec *prometheus.CounterVec
}

func newCounts(r prometheus.Registerer) counts {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "skylarkdeal_store_calls_total",
		Help: "Calls to the platform's store, by kind and outcome: made, of which failed, and held back.",
	}, []string{"kind", "outcome"})
	if r != nil {
		r.MustRegister(v)
	}
	return counts{mu: new(sync.Mutex), n: map[Kind]int{}, vec: v}
}

// registerDown registers whether calls are held back.
func (c *client) registerDown(r prometheus.Registerer) {
	if r == nil {
		return
	}
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "skylarkdeal_store_down",
		Help: "1 while calls to the platform's store are held back after failures.",
	}, func() float64 {
		if c.gate.state().Down {
			return 1
		}
		return 0
	}))
}

func (c *counts) made(k Kind) {
	c.mu.Lock()
	c.n[k]++
	c.mu.Unlock()
	c.vec.WithLabelValues(string(k), "made").Inc()
}

func (c *counts) failed(k Kind) {
	c.vec.WithLabelValues(string(k), "failed").Inc()
}

func (c *counts) held(k Kind) {
	c.vec.WithLabelValues(string(k), "held-back").Inc()
}

func (c *counts) all() map[Kind]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.n)
}
