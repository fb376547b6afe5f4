// Package holder runs the exchanges of the groups that this host holds
// connections to, and finds the holder of every other exchange.
//
// Each group has one dispatcher: it queues, chooses the instance and starts
// work. Each exchange under way has a goroutine, of which there are no more than
// upstream connections and answers that wait for their proof.
package holder

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"skylarkdeal/core/document"
	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/journal"
	"skylarkdeal/io/control"
	"skylarkdeal/io/host/hostpb"
)

// Config is what a Holder works with.
type Config struct {
	Host       fleet.Host
	DataCentre fleet.DataCentre
	Epoch      uint64
	// User and Password are the proxy's own towards the instances.
	User, Password string
	// Document returns the document in effect of a service.
	Document func(s fleet.Service) (*document.Document, bool)
	// Members returns the live and leaving hosts, this one among them.
	Members func() []fleet.Member
	// Dial returns the administrative connection to an instance.
	Dial func(d *document.Document, i document.Instance) control.Client
	// View asks another host how it sees a group.
	View func(ctx context.Context, h fleet.Host, q *hostpb.ViewRequest) (*hostpb.ViewResponse, error)
	// Peer returns the way to a holder on another host.
	Peer func(h fleet.Host) exchange.Runner

	Now        func() time.Time
	Logger     *zap.Logger
	Registerer prometheus.Registerer
	Journal    *journal.Journal
}

// Holder runs exchanges for this host's callers and for its peers.
type Holder struct {
	c       Config
	metrics metrics
	pin     atomic.Uint64
	wait    sync.WaitGroup

	mu     sync.RWMutex
	ctx    context.Context
	groups map[fleet.Service]*groupRun

	routes routes
}

// New returns a Holder that Start puts to work.
func New(c Config) *Holder {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	h := &Holder{c: c, metrics: newMetrics(c.Registerer), groups: map[fleet.Service]*groupRun{}}
	// A pin of a former process of this host must not name a transaction of
	// this one.
	h.pin.Store(c.Epoch << pinEpochShift)
	return h
}

// pinEpochShift leaves room for as many transactions as one process will open.
const pinEpochShift = 40

func (h *Holder) nextPin() exchange.Pin {
	return exchange.Pin(h.pin.Add(1))
}

// Start has the Holder serve until ctx ends. Documents may come from then on.
func (h *Holder) Start(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ctx = ctx
}

// Wait returns, once the context of Start has ended, when all exchanges have been
// answered.
func (h *Holder) Wait() {
	<-h.ctx.Done()
	h.wait.Wait()
}

// DocumentChanged takes a document up. It must not be called before Start.
func (h *Holder) DocumentChanged(d *document.Document) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx.Err() != nil {
		return
	}
	g := h.groups[d.Service]
	if g != nil {
		g.document.Store(d)
		g.stir()
		return
	}
	if !h.holds(d) {
		return
	}
	g = newGroupRun(h, d)
	h.groups[d.Service] = g
	ctx, cancel := context.WithCancel(h.ctx)
	g.end = cancel
	h.wait.Add(2)
	go func() {
		defer h.wait.Done()
		g.monitor.Run(ctx)
	}()
	go func() {
		defer h.wait.Done()
		g.run(ctx)
	}()
}

// forget has nothing more arrive at a group that closes. Every exchange that was
// put into its ring before is then refused by the group, none is left unanswered.
func (h *Holder) forget(g *groupRun) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.groups[g.service] == g {
		delete(h.groups, g.service)
	}
}

// MembersChanged looks again at which groups this host holds.
func (h *Holder) MembersChanged(documents []*document.Document) {
	for _, d := range documents {
		h.DocumentChanged(d)
	}
}

func (h *Holder) holds(d *document.Document) bool {
	return slices.Contains(h.ranking(d).hosts, h.c.Host)
}

func (h *Holder) group(s fleet.Service) *groupRun {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.groups[s]
}

// Local runs exchanges on this host's own connections. It never forwards, so an
// exchange takes two hops at most.
func (h *Holder) Local() exchange.Runner {
	return exchange.Runner{Run: h.runLocal, Cancel: h.cancelLocal, Release: h.releaseLocal}
}

func (h *Holder) runLocal(q *exchange.Request, reply exchange.Reply) {
	ctx, cancel := context.WithDeadline(context.Background(), q.Deadline)
	w := &work{q: q, reply: reply, ctx: ctx, cancel: cancel}
	// The refusal is given without the lock: an entry host that hears it tries the
	// next holder from here.
	if f := h.offer(w); f != nil {
		w.refuse(f)
	}
}

// offer hands w to its group, or returns why it can't be.
func (h *Holder) offer(w *work) *failure.Refusal {
	h.mu.RLock()
	defer h.mu.RUnlock()
	g := h.groups[w.q.Service]
	if g == nil {
		return &failure.Refusal{
			Code:    failure.CodeNotReady,
			Message: "this host holds no connections to " + string(w.q.Service) + "; not run",
			Step:    "dispatch",
			Peer:    failure.Peer("host " + string(h.c.Host)),
		}
	}
	if !g.arrivals.TryPut(w) {
		return g.overloaded("too many exchanges arrive")
	}
	return nil
}

func (h *Holder) cancelLocal(id exchange.ID) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, g := range h.groups {
		g.cancels.TryPut(id)
	}
}

func (h *Holder) releaseLocal(_ fleet.Host, p exchange.Pin) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, g := range h.groups {
		g.release(p)
	}
}

// HandleView answers a peer that asks how this host sees a group.
func (h *Holder) HandleView(s fleet.Service) *hostpb.ViewResponse {
	g := h.group(s)
	if g == nil {
		return &hostpb.ViewResponse{DataCentre: string(h.c.DataCentre)}
	}
	return g.monitor.HandleView()
}

func (h *Holder) note(s fleet.Service, a fleet.Account, choice string, f *failure.Refusal) {
	h.metrics.refused.WithLabelValues(string(f.Code)).Inc()
	h.c.Journal.Add(journal.Decision{
		At:      h.c.Now(),
		Kind:    journal.KindAdmit,
		Subject: "service=" + string(s) + " account=" + string(a),
		Choice:  choice,
		Reason:  f.Message,
	})
}
