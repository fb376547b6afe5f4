package grants

import (
	"cmp"
	"context"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"skylarkdeal/core/allot"
	"skylarkdeal/core/fleet"
)

// metrics counts what the runtime does.
type metrics struct {
	granted, calls, failed prometheus.Counter
}

func (m *metrics) init(reg prometheus.Registerer) {
	counter := func(n, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "skylarkdeal", Subsystem: "grants", Name: n, Help: help,
		})
		if reg != nil {
			reg.MustRegister(c)
		}
		return c
	}
	m.granted = counter("granted_tokens_total", "Tokens granted as a home.")
	m.calls = counter("calls_total", "Requests for tokens sent to other hosts.")
	m.failed = counter("failed_calls_total", "Requests for tokens that were not answered.")
}

// State is what a state dump shows of the grants.
type State struct {
	Accounts []AccountState                      `json:"accounts"`
	Homes    []HomeState                         `json:"homes"`
	Seats    map[allot.SeatName]allot.SeatRecord `json:"seats"`
}

// AccountState is an account as this host spends for it.
type AccountState struct {
	Service  fleet.Service `json:"service"`
	Account  fleet.Account `json:"account"`
	Waiting  int64         `json:"waiting"`
	Admitted uint64        `json:"admitted"`
	Refused  uint64        `json:"refused"`
}

// HomeState is an account whose home this host is.
type HomeState struct {
	Service fleet.Service `json:"service"`
	Account fleet.Account `json:"account"`
	allot.HomeState
}

// State returns what the runtime holds at the moment.
func (r *Runtime) State() State {
	s := State{Seats: map[allot.SeatName]allot.SeatRecord{}}
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
	for n, e := range r.seats {
		if e.tenure.Held() {
			s.Seats[n] = e.tenure.Record()
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

// Leave gives up the seats and gives back the tokens at hand, so that the other
// hosts wait for no lease or grant to end. It is called when the host takes no
// more sessions; exchanges in progress still get their tokens from other homes.
func (r *Runtime) Leave(ctx context.Context) {
	r.mu.Lock()
	r.leaving = true
	held := r.heldShards()
	r.mu.Unlock()
	returned := make(chan struct{})
	if r.leaves.Put(ctx, returned) == nil {
		select {
		case <-returned:
		case <-ctx.Done():
		}
	}
	for _, h := range held {
		r.giveUp(ctx, h)
	}
}

// giveBack sends all unspent tokens to their homes.
func (r *Runtime) giveBack() {
	now := r.clock.late()
	r.entries.each(func(e *entry) {
		for _, w := range e.spender.Leave() {
			r.queue(e, w, now)
		}
	})
}
