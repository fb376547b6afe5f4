package grants

import (
	"cmp"
	"context"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/quota"
)

// metrics holds the counters of the Runtime.
type metrics struct {
	granted, calls, failed prometheus.Counter
}

func (r *Runtime) initMetrics() {
	counter := func(n, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "skylarkdeal", Subsystem: "grants", Name: n, Help: help,
		})
	}
	r.metrics.granted = counter("granted_tokens_total", "Tokens granted as a home.")
	r.metrics.calls = counter("calls_total", "Requests for tokens sent to other hosts.")
	r.metrics.failed = counter("failed_calls_total", "Requests for tokens that were not answered.")
	if r.cfg.Registerer != nil {
		r.cfg.Registerer.MustRegister(r.metrics.granted, r.metrics.calls, r.metrics.failed, collector{r})
	}
}

// collector reports each account's exchanges when the metrics are read, so that
// admitting an exchange costs no look-up of a metric.
type collector struct {
	r *Runtime
}

var (
	admittedDesc = prometheus.NewDesc("skylarkdeal_grants_admitted_total",
		"Exchanges let through by their account's rate.", []string{"service", "account"}, nil)
	refusedDesc = prometheus.NewDesc("skylarkdeal_grants_refused_total",
		"Exchanges refused by their account's rate.", []string{"service", "account"}, nil)
)

// Describe sends the descriptions of the per-account metrics.
func (collector) Describe(c chan<- *prometheus.Desc) {
	c <- admittedDesc
	c <- refusedDesc
}

// Collect sends the per-account metrics.
func (l collector) Collect(c chan<- prometheus.Metric) {
	send := func(d *prometheus.Desc, n uint64, e *entry) {
		c <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), string(e.service), string(e.account))
	}
	l.r.entries.each(func(e *entry) {
		send(admittedDesc, e.admitted.Load(), e)
		send(refusedDesc, e.refused.Load(), e)
	})
}

// State is the section of the state dump about grants.
type State struct {
	Accounts []AccountState                              `json:"accounts"`
	Homes    []HomeState                                 `json:"homes"`
	Seats    map[quota.OwnershipID]quota.OwnershipRecord `json:"seats"`
}

// AccountState is the state of an account for which this host spends tokens.
type AccountState struct {
	Service  fleet.Service `json:"service"`
	Account  fleet.Account `json:"account"`
	Waiting  int64         `json:"waiting"`
	Admitted uint64        `json:"admitted"`
	Refused  uint64        `json:"refused"`
}

// HomeState is the state of the home of one account on this host.
type HomeState struct {
	Service fleet.Service `json:"service"`
	Account fleet.Account `json:"account"`
	quota.HomeState
}

// State returns the present state, with accounts and homes sorted by service and account.
func (r *Runtime) State() State {
	s := State{Seats: map[quota.OwnershipID]quota.OwnershipRecord{}}
	r.entries.each(func(e *entry) {
		s.Accounts = append(s.Accounts, AccountState{
			e.service, e.account, e.waiting.Load(), e.admitted.Load(), e.refused.Load(),
		})
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	for n, h := range r.homes {
		s.Homes = append(s.Homes, HomeState{n.service, n.account, h.State()})
	}
	for n, e := range r.shardStates {
		if e.ownership.Held() {
			s.Seats[n] = e.ownership.Record()
		}
	}
	slices.SortFunc(s.Accounts, func(a, b AccountState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Account, b.Account))
	})
	slices.SortFunc(s.Homes, func(a, b HomeState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Account, b.Account))
	})
	return s
}

// Leave releases the shards and returns the unspent tokens, so that the other hosts
// need not wait for a lease or a grant to expire. It is called when the host accepts
// no more sessions; exchanges in progress still get their tokens from other homes.
func (r *Runtime) Leave(ctx context.Context) {
	r.mu.Lock()
	r.leaving = true
	for _, h := range r.ownedShards() {
		r.release(h)
	}
	r.mu.Unlock()
	returned := make(chan struct{})
	if r.leaveRequests.Put(ctx, returned) == nil {
		select {
		case <-returned:
		case <-ctx.Done():
		}
	}
	r.writeReleases(ctx)
}

// writeReleases writes the releases to the store. If the store can't be reached, the
// lease expires instead.
func (r *Runtime) writeReleases(ctx context.Context) {
	for range maxLeaveAttempts {
		r.mu.Lock()
		done := len(r.released) == 0
		r.mu.Unlock()
		if done || r.cfg.Store.List == nil {
			return
		}
		if _, err := r.updateRecord(ctx, nil); err != nil {
			r.cfg.Logger.Warn("seats not given up", zap.Error(err))
		}
	}
}

// maxLeaveAttempts bounds the attempts: each host of the data centre that changes the
// record at the same time may cost one more.
const maxLeaveAttempts = 3

// returnTokens sends all unspent tokens back to their homes.
func (r *Runtime) returnTokens() {
	now := r.clock.suspendAware()
	r.entries.each(func(e *entry) {
		for _, w := range e.spender.ReturnAll() {
			r.queue(e, w, now)
		}
	})
}
