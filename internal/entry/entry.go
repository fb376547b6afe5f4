// Package entry puts together one host on the prepared machines: the relay on its event
// loop, the adapter's wires, and the duties towards the platform's store.
package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/follow"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/ratelimit"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/settings"
	"skylarkdeal/internal/clock"
	"skylarkdeal/internal/sleep"
	"skylarkdeal/io/gossip"
	"skylarkdeal/io/loop"
	"skylarkdeal/io/operator"
	"skylarkdeal/io/registry"
	"skylarkdeal/platform"
)

const (
	// tickBusy is how finely time limits are kept while anything waits for them: a
	// hundredth of a second is a tenth of the strictest caller's patience. tickIdle is
	// enough for the rest: at tickBusy a host without traffic takes 2.2% of a core, at
	// 25 ms 1.3%.
	tickBusy = 10 * time.Millisecond
	tickIdle = 50 * time.Millisecond
	// memoryPart is the part of the host's memory, in percent, from which on the garbage
	// collector works harder.
	memoryPart = 70
	// drainedEvery is how often an ending host looks whether its sessions have ended.
	drainedEvery = 20 * time.Millisecond
	// coordinatorDelay is how long a host that has started leaves changes of primary to others. It takes that
	// long anyway to tell a group without a primary from one whose primary it hasn't found.
	coordinatorDelay = 2500 * time.Millisecond
	// sendTimeout is how long an ending host without sessions waits for what it has answered to other hosts to be sent:
	// a few round trips on a slow link.
	sendTimeout = 500 * time.Millisecond
	// shutdownMargin is kept of the grace for ending by itself.
	shutdownMargin = 300 * time.Millisecond
	// maxUnread bounds what waits for a peer that doesn't read.
	maxUnread = 4 << 20
)

// Host is one running host.
type Host struct {
	settings *settings.Settings
	log      *zap.Logger
	loop     *loop.Loop
	relay    *relay.Relay
	store    registry.Store
	registry *registry.Registry
	metrics  *prometheus.Registry
	counted  metrics
	events   events
	gossip   *gossip.Gossip
	peers    peers
	rates    ratelimit.Limiter
	homes    homes
	// refusalsLoggedAt is when the accounts over their rate were last logged.
	refusalsLoggedAt time.Time
	// links are the connections to the hosts that were heard, last checked at linksCheckedAt.
	links          links
	linksCheckedAt time.Time
	// resumedAt is when this host last went on after it was held up.
	resumedAt time.Time
	following following
	// catalogStatus is what is logged and shown of the catalog's way to this host.
	catalogStatus  catalogStatus
	catalogMonitor follow.CatalogMonitor
	// began is when the host was started.
	began time.Time
	// accepted counts the links from other hosts.
	accepted relay.PeerLinkID
	balancer *operator.Server
	operator *operator.Server
	// ready is what the balancer is told; the loop writes it.
	ready atomic.Bool
	// rank counts the hosts that go before this one in reading the store for all.
	rank atomic.Int64
	// busy is set while anything waits for the next tick.
	busy atomic.Bool
	// drainedAt is since when a shutdown has no sessions left, zero if it has some.
	drainedAt time.Time

	stop   context.CancelFunc
	duties sync.WaitGroup
}

// Start brings a host up and returns once callers can connect.
func Start(s *settings.Settings, log *zap.Logger) (*Host, error) {
	debug.SetMemoryLimit(int64(s.Adapter.Memory) * memoryPart / 100)
	h := &Host{
		settings: s, log: log, metrics: prometheus.NewRegistry(),
		events: events{log: log, counts: map[relay.EventKind]int{}},
	}
	h.newMetrics()
	h.began = clock.Now()
	h.links.byHost = map[fleet.Host]*link{}
	h.following.followers = map[relay.PeerLinkID]*follower{}
	h.following.left = map[fleet.Host]time.Time{}
	h.peers.known = map[fleet.Host]*peer{}
	h.peers.addedAt = map[fleet.Host]time.Time{}
	h.peers.epoch = uint64(clock.Now().UnixNano()) //nolint:gosec // never negative
	h.store = platform.NewStore(s.Store.Endpoints[0], h.countCall).Functions()
	h.initHomes()
	h.registry = registry.New(h.registryConfig())
	h.relay = relay.New(relay.Config{
		Host:              s.Host.Name,
		DataCentre:        s.Host.DataCentre,
		Capacity:          s.Adapter.Capacity,
		Regions:           s.Regions,
		EvacuationTimeout: s.Adapter.EvacuationTimeout,
		Cold:              s.Adapter.ColdLimit,
		ConcurrencyLimit:  s.Adapter.Overload,
		PacedRetries:      s.Adapter.Overload,
		RetryBudget:       s.Adapter.Overload,
		Backpressure:      s.Adapter.Overload,
		DetectOutliers:    s.Adapter.OutlierDetection,
		Now:               clock.Now,
		Dial:              h.dial,
		ParseStatus:       platform.ParseStatus,
		RefreshRecords:    h.registry.RefreshRecords,
		Admit:             h.admit,
		Refund:            func(n fleet.Account) { h.rates.Refund(clock.Now(), n) },
		RequestPromotion:  h.registry.RequestPromotion,
		RequestTick:       h.requestTick,
		RequestLink:       h.requestLink,
		ObserveLatency:    h.observe,
		LogEvent:          h.events.note,
	})
	h.relay.SetCatalogOutdated(follow.OutdatedAgeUnknown)
	h.catalogMonitor.Jitter = rand.Float64
	if err := h.listen(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	h.duties.Go(func() { h.registry.Run(ctx) })
	h.duties.Go(func() { h.homes.keeper.Run(ctx) })
	log.Info("host started", zap.String("host", string(s.Host.Name)),
		zap.String("data-centre", string(s.Host.DataCentre)), zap.String("callers", s.Caller.Address))
	return h, nil
}

func (h *Host) listen() error {
	l, err := loop.Start(loop.Config{
		Address: h.settings.Caller.Address, Accept: h.accept, Tick: h.tick, TickInterval: h.tickInterval,
		PeerAddress: h.settings.Peer.Address, AcceptPeer: h.acceptPeer,
		MaxUnread: maxUnread, MaxUnprocessed: maxUnprocessed, MaxUnprocessedTotal: maxUnprocessedTotal,
		Overflowed: h.callerOverflowed, Logger: h.log,
	})
	if err != nil {
		return err
	}
	h.loop = l
	h.gossip, err = gossip.Start(gossip.Config{
		Address: h.settings.Peer.Address, Received: h.handleReports, Tokens: h.handleTokens, Logger: h.log,
	})
	if err != nil {
		return errors.Join(err, l.Stop())
	}
	h.balancer, err = operator.Start(operator.Config{
		Address: h.settings.Adapter.BalancerAddress, Ready: h.readiness, Logger: h.log,
	})
	if err == nil {
		h.operator, err = operator.Start(operator.Config{
			Address: h.settings.Operator.Address, Gatherer: h.metrics, Ready: h.readiness,
			Sections: []operator.Section{
				{Name: "relay", Read: func() any { return h.snapshot() }},
				{Name: "catalog", Read: func() any { return onLoop(h, h.catalogState) }},
			},
			Pprof: h.settings.Operator.Pprof, Logger: h.log,
		})
	}
	if err != nil {
		return errors.Join(err, l.Stop())
	}
	return nil
}

func (h *Host) registryConfig() registry.Config {
	s := h.settings
	return registry.Config{
		Store: h.store,
		Self: registry.Host{
			Name: s.Host.Name, DataCentre: s.Host.DataCentre, Address: s.Peer.Address,
			Capacity: s.Adapter.Capacity,
		},
		Prefix:              s.Store.Prefix[1:],
		CatalogPrefix:       platform.CatalogPrefix,
		CatalogKey:          platform.CatalogKey,
		InstancePrefix:      platform.InstancePrefix,
		ParseCatalog:        platform.ParseCatalog,
		ParseInstance:       platform.ParseInstance,
		Now:                 clock.Now,
		Rank:                func() int { return int(h.rank.Load()) },
		Post:                func(f func()) { h.loop.Post(f) },
		ElectReaders:        true,
		PartRead:            h.handlePart,
		Role:                h.setRole,
		HostCount:           func(n int) { h.following.count = n },
		Catalog:             h.adopt,
		Instances:           func(is []catalog.Instance, read time.Time) { h.relay.SetInstances(is, read) },
		Hosts:               h.registered,
		Record:              func(r leader.Record) { h.relay.AddRecord(r) },
		RegistrationRenewed: h.ownRenewed,
		RegistrationLost:    h.ownLost,
		CoordinatorChanged:  func(holds bool) { h.relay.SetCoordinator(holds) },
		PromotionFinished: func(o leader.PromotionRequest, given, refused bool) {
			h.relay.PromotionFinished(o, given, refused)
		},
		RecordConflict:     h.counted.recordConflicts.Inc,
		StepDown:           func(o leader.PromotionRequest) { h.relay.RequestStepDown(o) },
		Promote:            platform.NewPromotions(s.Adapter.PromotionsAddress).Promote,
		CoordinatorDelay:   coordinatorDelay,
		MinPromotionTime:   s.Adapter.MinPromotionTime,
		UsualPromotionTime: s.Adapter.UsualPromotionTime,
		PromotionRate:      s.Adapter.PromotionRate,
		Logger:             h.log,
	}
}

func (h *Host) adopt(c *catalog.Catalog) {
	if h.relay.SetCatalog(c) {
		h.peers.catalog = uint64(c.Revision)
		h.rates.SetAccounts(c)
		h.log.Info("catalog in force", zap.Uint64("version", uint64(c.Version)),
			zap.Uint64("revision", uint64(c.Revision)), zap.Int("databases", len(c.Routes)),
			zap.Int("accounts", len(c.Accounts)), zap.Int("evacuated", len(c.Evacuated)))
	}
	h.checkCatalog(clock.Now())
}

// tickInterval returns the time to the next tick. It is called on another goroutine.
func (h *Host) tickInterval() time.Duration {
	if h.busy.Load() {
		return tickBusy
	}
	return tickIdle
}

// requestTick shortens the time to the next tick, if it is long.
func (h *Host) requestTick() {
	if !h.busy.Swap(true) {
		h.loop.RequestTick()
	}
}

func (h *Host) tick() {
	h.busy.Store(h.relay.HasWaiting() || h.rates.Waiting())
	h.applyHosts()
	h.maintainLinks()
	h.checkCatalog(clock.Now())
	h.relay.Tick()
	h.rates.Tick(clock.Now())
	h.claimSlots(clock.Now())
	h.report()
	h.logRefusedAccounts(clock.Now())
	if r := h.relay.Ready(); r != h.ready.Load() {
		h.ready.Store(r)
		h.log.Info("readiness", zap.Bool("ready", r))
	}
}

var errNotReady = errors.New("not ready: the host knows no catalog or no instances yet, its catalog may be outdated, " +
	"or it shuts down")

func (h *Host) readiness() error {
	if h.ready.Load() {
		return nil
	}
	return errNotReady
}

// Ended is closed once the host no longer takes callers.
func (h *Host) Ended() <-chan struct{} { return h.loop.Ended() }

// Shutdown ends the host without cutting a statement: sessions end once everything that was read is answered, and every
// answer sent, within the grace.
func (h *Host) Shutdown() error {
	grace := h.settings.Adapter.ShutdownTimeout - shutdownMargin
	h.log.Info("host shuts down", zap.Duration("grace", grace))
	h.loop.Post(func() { h.relay.Drain(h.settings.Adapter.ShutdownTimeout) })
	ctx, drained := context.WithTimeout(context.Background(), grace)
	defer drained()
	sleep.Every(ctx, drainedEvery, func() {
		h.loop.Post(func() {
			if h.drained(clock.Now()) {
				drained()
			}
		})
	})
	h.endDrain()
	return h.Close()
}

// drained reports whether the shutdown has nothing left to wait for: all sessions have ended, and what this host has
// answered to other hosts is sent, for which it waits for sendTimeout only, as their links may be dead.
func (h *Host) drained(now time.Time) bool {
	if !h.relay.Drained() {
		h.drainedAt = time.Time{}
		return false
	}
	if h.drainedAt.IsZero() {
		h.drainedAt = now
	}
	return h.loop.UnsentBytes() == 0 || now.Sub(h.drainedAt) > sendTimeout
}

// endDrain answers what the grace was too short for, and logs what can't be sent.
func (h *Host) endDrain() {
	done := make(chan struct{})
	h.loop.Post(func() {
		defer close(done)
		sessions := h.relay.State().Sessions
		if sessions > 0 {
			h.log.Warn("grace is over", zap.Int("sessions", sessions), zap.Int("unsent", h.loop.UnsentBytes()))
		}
		h.relay.EndDrain()
	})
	select {
	case <-done:
	case <-time.After(shutdownMargin):
	}
}

// Close ends the host at once.
func (h *Host) Close() error {
	h.stop()
	h.duties.Wait()
	err := errors.Join(h.gossip.Close(), h.loop.Stop())
	h.log.Info("host stopped")
	return errors.Join(err, h.log.Sync())
}
