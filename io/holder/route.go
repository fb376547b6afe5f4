package holder

import (
	"slices"
	"sync"
	"sync/atomic"

	"skylarkdeal/core/document"
	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
)

// routes remembers where the exchanges under way are, for cancel requests, and
// how many each holder has of this host's.
type routes struct {
	underWay sync.Map // of exchange.ID to fleet.Host
	counts   sync.Map // of fleet.Host to *atomic.Int64
	rankings sync.Map // of fleet.Service to *ranking
}

func (r *routes) count(h fleet.Host) *atomic.Int64 {
	c, ok := r.counts.Load(h)
	if !ok {
		c, _ = r.counts.LoadOrStore(h, new(atomic.Int64))
	}
	n, _ := c.(*atomic.Int64)
	return n
}

// Runner runs exchanges for the callers of this host, here or on the holder
// that each is for.
func (h *Holder) Runner() exchange.Runner {
	return exchange.Runner{Run: h.route, Cancel: h.cancelRoute, Release: h.releaseRoute}
}

func (h *Holder) route(q *exchange.Request, reply exchange.Reply) {
	if q.Pin != 0 {
		h.send(q, q.Holder, reply)
		return
	}
	d, ok := h.c.Document(q.Service)
	if !ok {
		reply.Refuse(h.nowhere(q, "the service has no document"))
		return
	}
	t := &trip{h: h, q: q, reply: reply, left: h.candidates(d)}
	t.next(nil)
}

// candidates returns the holders in the order in which they are tried: this
// host, which saves the hop; then those of its data centre; among equals the one
// with the fewest of this host's exchanges, so that a slow or full holder gets
// less.
func (h *Holder) candidates(d *document.Document) []fleet.Host {
	r := h.ranking(d)
	cost := func(n fleet.Host) int64 {
		switch {
		case n == h.c.Host:
			return 0
		case r.near.Has(n):
			return 1 + h.routes.count(n).Load()
		}
		return 1 + farCost + h.routes.count(n).Load()
	}
	out := slices.Clone(r.hosts)
	slices.SortStableFunc(out, func(a, b fleet.Host) int { return int(cost(a) - cost(b)) })
	return out
}

// farCost is how many exchanges more a holder of this data centre may have than
// one elsewhere and still be preferred: a hop to another data centre takes as
// long as a handful of short statements.
const farCost = 8

// trip is an exchange on its way through the holders that may take it.
type trip struct {
	h     *Holder
	q     *exchange.Request
	reply exchange.Reply
	left  []fleet.Host
	sent  bool
}

// next tries the next holder, or gives the last one's refusal to the caller.
//
// It guards against refusing work that another holder can run: one that was just
// cut off from the primary, or is about to shut down, says that nothing was run.
// An exchange whose outcome is unknown is never sent to another.
func (t *trip) next(last *exchange.Result) {
	if len(t.left) == 0 || !t.h.c.Now().Before(t.q.Deadline) {
		if last == nil {
			t.reply.Refuse(t.h.nowhere(t.q, "no host holds connections to it"))
			return
		}
		t.reply.Done(*last)
		return
	}
	n := t.left[0]
	t.left = t.left[1:]
	t.h.send(t.q, n, exchange.Reply{
		Send: func(b []byte) error {
			t.sent = true
			return t.reply.Send(b)
		},
		Done: func(r exchange.Result) {
			if t.sent || !elsewhere(r) {
				t.reply.Done(r)
				return
			}
			t.next(&r)
		},
	})
}

// elsewhere reports whether another holder may do better: nothing was run, and
// for a reason that is this holder's own.
func elsewhere(r exchange.Result) bool {
	if r.Outcome != exchange.OutcomeNotRun || r.Refusal == nil {
		return false
	}
	switch r.Refusal.Code {
	case failure.CodeNotReady, failure.CodeShuttingDown, failure.CodeUnreachable:
		return true
	default:
		return false
	}
}

func (h *Holder) send(q *exchange.Request, n fleet.Host, reply exchange.Reply) {
	c := h.routes.count(n)
	c.Add(1)
	h.routes.underWay.Store(q.ID, n)
	done := reply.Done
	reply.Done = func(r exchange.Result) {
		h.routes.underWay.Delete(q.ID)
		c.Add(-1)
		if r.Pin != 0 {
			r.Holder = n
		}
		done(r)
	}
	if n == h.c.Host {
		h.metrics.local.Inc()
	} else {
		h.metrics.forwarded.Inc()
	}
	h.runner(n).Run(q, reply)
}

func (h *Holder) runner(n fleet.Host) exchange.Runner {
	if n == h.c.Host {
		return h.Local()
	}
	return h.c.Peer(n)
}

func (h *Holder) cancelRoute(id exchange.ID) {
	n, ok := h.routes.underWay.Load(id)
	if !ok {
		return
	}
	if n, ok := n.(fleet.Host); ok {
		h.runner(n).Cancel(id)
	}
}

func (h *Holder) releaseRoute(n fleet.Host, p exchange.Pin) {
	h.runner(n).Release(n, p)
}

func (h *Holder) nowhere(q *exchange.Request, why string) *failure.Refusal {
	return &failure.Refusal{
		Code:       failure.CodeNotReady,
		Message:    "service " + string(q.Service) + ": " + why + "; not run",
		RetryAfter: absentRetry,
		Step:       "route",
		Peer:       failure.Peer("host " + string(h.c.Host)),
	}
}
