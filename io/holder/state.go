package holder

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"skylarkdeal/core/admit"
	"skylarkdeal/core/fleet"
	"skylarkdeal/internal/metric"
	"skylarkdeal/io/database"
	"skylarkdeal/io/groupmonitor"
)

// GroupState is what the state dump says of one group on this holder.
type GroupState struct {
	Service fleet.Service `json:"service"`
	// Holds is set while this host holds connections to the group.
	Holds    bool               `json:"holds"`
	Holders  []fleet.Member     `json:"holders"`
	Group    groupmonitor.State `json:"group"`
	Queue    admit.State        `json:"queue"`
	UnderWay int                `json:"under-way"`
	Pins     int                `json:"pins"`
	// OldestPin is when the first of the open transactions began.
	OldestPin time.Time `json:"oldest-pin,omitzero"`

	Slots   map[fleet.Instance]int `json:"slots"`
	Busy    map[fleet.Instance]int `json:"busy"`
	Pools   []database.State       `json:"pools"`
	Retries float64                `json:"retries-left"`
}

// stateTimeout bounds the wait for a dispatcher, which is never busy for long.
const stateTimeout = time.Second

// State returns the state of all groups on this host.
func (h *Holder) State() []GroupState {
	h.mu.RLock()
	groups := slices.Collect(maps.Values(h.groups))
	h.mu.RUnlock()
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	out := make([]GroupState, 0, len(groups))
	for _, g := range groups {
		if s, ok := g.ask(ctx); ok {
			out = append(out, s)
		}
	}
	return out
}

// Await returns once the dispatchers of all groups have answered, or when ctx ends.
func (h *Holder) Await(ctx context.Context) {
	h.mu.RLock()
	groups := slices.Collect(maps.Values(h.groups))
	h.mu.RUnlock()
	for _, g := range groups {
		select {
		case g.ping <- struct{}{}:
		case <-g.closed:
		case <-ctx.Done():
			return
		}
	}
}

func (g *groupRun) ask(ctx context.Context) (GroupState, bool) {
	c := make(chan GroupState, 1)
	select {
	case g.dump <- c:
		return <-c, true
	case <-ctx.Done():
		return GroupState{}, false
	}
}

func (g *groupRun) state() GroupState {
	s := GroupState{
		Service:   g.service,
		Holds:     g.holds,
		Holders:   g.holders(),
		Group:     g.monitor.State(),
		Queue:     g.queue.State(),
		UnderWay:  len(g.works),
		Pins:      g.pins.len(),
		OldestPin: g.pins.oldest(),
		Slots:     map[fleet.Instance]int{},
		Busy:      map[fleet.Instance]int{},
		Retries:   g.budget.Left(),
	}
	for n, p := range g.pools {
		s.Slots[n] = g.slots[n]
		s.Busy[n] = g.busy[n]
		s.Pools = append(s.Pools, p.State())
	}
	return s
}

type metrics struct {
	local     prometheus.Counter
	forwarded prometheus.Counter
	refused   *prometheus.CounterVec
	answered  *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) metrics {
	return metrics{
		local: metric.Register(r, prometheus.NewCounter(prometheus.CounterOpts{
			Name: "skylarkdeal_exchanges_local_total",
			Help: "Exchanges of this host's callers that it ran itself.",
		})),
		forwarded: metric.Register(r, prometheus.NewCounter(prometheus.CounterOpts{
			Name: "skylarkdeal_exchanges_forwarded_total",
			Help: "Exchanges of this host's callers that it sent to another holder.",
		})),
		refused: metric.Register(r, prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkdeal_exchanges_refused_total",
			Help: "Exchanges that this holder refused, not run, by SQLSTATE.",
		}, []string{"code"})),
		answered: metric.Register(r, prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "skylarkdeal_exchanges_answered_total",
			Help: "Exchanges that this holder answered, by intent and role of the instance.",
		}, []string{"intent", "role"})),
	}
}
