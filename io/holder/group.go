package holder

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/admit"
	"skylarkdeal/core/document"
	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/place"
	"skylarkdeal/core/retrybudget"
	"skylarkdeal/core/ring"
	"skylarkdeal/io/database"
	"skylarkdeal/io/groupmonitor"
)

// The bounds of a group's rings and of the exchanges under way.
const (
	// maxWorks bounds the exchanges that a group holds in whatever state: those
	// queued, running, and waiting for a proof. It is above the queue's own
	// bound by what a slow confirmation may hold up, and bounds the goroutines.
	maxWorks = 4096
	// arrivalRing takes what comes in while the dispatcher is at work, some
	// milliseconds of a flood; beyond that a caller hears at once.
	arrivalRing = 1024
	// eventRing has room for one event of each exchange, so it never fills.
	eventRing  = 2 * maxWorks
	cancelRing = 256
)

// sweepEvery is how often waiting exchanges are looked at without any event:
// for deadlines that can't be kept any more and replicas that have caught up.
const sweepEvery = 5 * time.Millisecond

// groupRun serves one group: its dispatcher decides which exchange starts next
// and where. One goroutine owns all fields but those that are said to be shared.
type groupRun struct {
	h       *Holder
	service fleet.Service
	// document is shared.
	document atomic.Pointer[document.Document]
	monitor  *groupmonitor.Monitor
	// pins are shared.
	pins pins

	arrivals ring.Ring[*work]
	events   ring.Ring[event]
	cancels  ring.Ring[exchange.ID]
	// wake tells that something has changed: the table, a connection, the
	// document or the members.
	wake chan struct{}
	// end closes the group, closed is closed once it takes nothing more.
	end    context.CancelFunc
	closed chan struct{}
	// dump asks for the state, ping for a sign of life.
	dump chan chan GroupState
	ping chan struct{}

	queue admit.Queue
	works map[uint64]*work
	byID  map[exchange.ID]*work
	pools map[fleet.Instance]*database.Pool
	// addresses are those that the pools connect to, replaced the pools of former
	// addresses, whose transactions may still be open.
	addresses map[fleet.Instance]string
	replaced  []*database.Pool
	// ranked is what the pools were configured by.
	ranked *ranking
	busy   map[fleet.Instance]int
	meters map[fleet.Instance]place.LatencyAverage
	budget retrybudget.Budget
	holds  bool
	slots  map[fleet.Instance]int
	key    uint64
	absent time.Time
	// lostAt is when this host ceased to be a holder, zero while it is one.
	lostAt time.Time
	now    time.Time
	// looked is when the attempts under way were last looked at.
	looked time.Time
	// priorityLogged is when a priority out of range was last logged.
	priorityLogged time.Time
	// closing is set once no exchange may start any more.
	closing bool
}

func newGroupRun(h *Holder, d *document.Document) *groupRun {
	g := &groupRun{
		h:         h,
		service:   d.Service,
		arrivals:  ring.New[*work](arrivalRing),
		events:    ring.New[event](eventRing),
		cancels:   ring.New[exchange.ID](cancelRing),
		wake:      make(chan struct{}, 1),
		dump:      make(chan chan GroupState),
		ping:      make(chan struct{}),
		closed:    make(chan struct{}),
		works:     map[uint64]*work{},
		byID:      map[exchange.ID]*work{},
		pools:     map[fleet.Instance]*database.Pool{},
		addresses: map[fleet.Instance]string{},
		busy:      map[fleet.Instance]int{},
		meters:    map[fleet.Instance]place.LatencyAverage{},
		slots:     map[fleet.Instance]int{},
	}
	g.document.Store(d)
	g.monitor = groupmonitor.New(g.monitorConfig())
	g.monitor.OnChange(g.stir)
	return g
}

// stir has the dispatcher look again. It never blocks.
func (g *groupRun) stir() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// run dispatches until ctx ends; then it refuses what waits.
func (g *groupRun) run(ctx context.Context) {
	g.now = g.h.c.Now()
	g.configure()
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for ctx.Err() == nil {
		g.step(ctx, t)
		g.stopLost()
		g.pump()
	}
	g.close()
}

// step waits for one thing to happen and takes it in. The ticker is listened to
// only while something is under way, so that an idle group costs nothing.
func (g *groupRun) step(ctx context.Context, t *time.Ticker) {
	var tick <-chan time.Time
	if len(g.works) > 0 {
		tick = t.C
	}
	select {
	case w := <-g.arrivals.Out():
		g.now = g.h.c.Now()
		g.accept(w)
	case e := <-g.events.Out():
		g.now = g.h.c.Now()
		g.handle(e)
	case id := <-g.cancels.Out():
		g.now = g.h.c.Now()
		g.cancelled(id)
	case c := <-g.dump:
		c <- g.state()
	case <-g.ping:
	case <-g.wake:
		g.now = g.h.c.Now()
		g.lookAgain()
	case <-tick:
		g.now = g.h.c.Now()
	case <-ctx.Done():
	}
}

// closeTimeout bounds the wait for exchanges under way when a group closes.
const closeTimeout = 5 * time.Second

// close refuses all that waits, cancels the rest, and gives up the open
// transactions.
func (g *groupRun) close() {
	g.closing = true
	close(g.closed)
	g.h.forget(g)
	for _, w := range g.works {
		if g.queue.Remove(w.key) {
			g.drop(w, g.refusal(failure.CodeShuttingDown, "the host shuts down", 0))
			continue
		}
		w.cancel()
	}
	g.refuseArrivals()
	late := time.NewTimer(closeTimeout)
	defer late.Stop()
	for len(g.works) > 0 {
		select {
		case e := <-g.events.Out():
			g.handle(e)
		case <-late.C:
			g.h.c.Logger.Warn("exchanges outlive their group", zap.Int("exchanges", len(g.works)))
			clear(g.works)
		}
	}
	for _, p := range g.pools {
		p.Close()
	}
	for _, p := range g.replaced {
		p.Close()
	}
}

func (g *groupRun) refuseArrivals() {
	for {
		w, ok := g.arrivals.TryTake()
		if !ok {
			return
		}
		w.refuse(g.refusal(failure.CodeShuttingDown, "the host shuts down", 0))
	}
}
