// Package relay is the middle of a host: it takes the statements of callers' sessions,
// runs them on connections to instances, and gives back answers that hold. It decides
// without sockets, clocks or goroutines: whoever owns a Relay calls it from one
// goroutine with what has happened, and it calls back by function fields.
package relay

import (
	"time"

	"skylarkdeal/core/admit"
	"skylarkdeal/core/catalog"
	"skylarkdeal/core/cold"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/statement"
)

// Config is what a Relay works with.
type Config struct {
	Host       fleet.Host
	DataCentre fleet.DataCentre
	// Capacity is what the host can carry.
	Capacity fleet.Capacity
	// Regions are those of the data centres.
	Regions map[fleet.DataCentre]fleet.Region
	// EvacuationTimeout is how long after operators have asked for it nothing may reach the instances of an
	// evacuated data centre any more; zero stands for 5 s.
	EvacuationTimeout time.Duration
	// Cold bounds what all hosts together send to an instance that has just started.
	Cold cold.Limit
	Now  func() time.Time
	// Dial has a connection made; ConnOpened, ConnectRefused or ConnClosed tells how it went.
	Dial func(c *Conn)
	// Admit takes one operation from an account's rate, or says when to come back.
	Admit func(a catalog.Account) (wait time.Duration, ok bool)
	// Refund gives an operation back to its account's rate that no instance has run.
	Refund func(a fleet.Account)
	// ParseStatus reads the answer to a status.
	ParseStatus func(a statement.Answer) (statement.Status, bool)
	// RefreshRecords asks for the records of orders to be read anew.
	RefreshRecords func()
	// RequestPromotion has a change of primary made.
	RequestPromotion func(o leader.PromotionRequest)
	// ObserveLatency takes in the time that a statement took, with how it ended. It may be nil.
	ObserveLatency func(k catalog.Consistency, code statement.Code, took time.Duration)
	// RequestTick asks for the next tick soon, as something has begun to wait for it.
	RequestTick func()
	// LogEvent takes in each decision that a reader of the logs may ask for. It may be nil.
	LogEvent func(e Event)
}

// Relay is one host's middle.
type Relay struct {
	cfg      Config
	catalog  *catalog.Catalog
	sessions map[*Session]struct{}
	groups   map[fleet.Service]*group
	lease    leader.Lease
	// startedAt is when the relay was made.
	startedAt time.Time
	// hostCount is the most hostCount that there were lately, at hostsAt.
	hostCount   int
	hostCountAt time.Time
	lastKey     uint64
	counters    Counters
	drain       drainState
	duty        duty
	forwarding  forwarding
	// lastTick is when the last tick was, pauseGraceUntil until when time limits rest after a pause
	// of the process itself.
	lastTick, pauseGraceUntil time.Time
	// cutOffSince is since when the host is cutOffSince off, zero while it isn't.
	cutOffSince time.Time
	// evacuated are the data centres that are to be left alone, since when this host knows.
	evacuated map[fleet.DataCentre]time.Time
	// dataCentreSizes counts the hosts of each data centre, heard or not.
	dataCentreSizes map[fleet.DataCentre]int
	// instancesConfirmedAt is when the list of instances in use was last known to be the store's.
	instancesConfirmedAt time.Time
}

// Counters are running totals, for metrics.
type Counters struct {
	Statements    uint64 `json:"statements"`
	Answered      uint64 `json:"answered"`
	Refused       uint64 `json:"refused"`
	Retried       uint64 `json:"retried"`
	InDoubt       uint64 `json:"in-doubt"`
	Connects      uint64 `json:"connects"`
	OwnStatements uint64 `json:"own-statements"`
	Asked         uint64 `json:"asked"`
}

// New returns a Relay without a catalog, which lets nobody in yet.
func New(cfg Config) *Relay {
	return &Relay{
		startedAt: cfg.Now(),
		cfg:       cfg,
		sessions:  map[*Session]struct{}{},
		groups:    map[fleet.Service]*group{},
		hostCount: defaultHostCount,
		forwarding: forwarding{
			forwardedConns: map[uint64]*Conn{}, inboundSessions: map[streamKey]*Session{},
		},
	}
}

func (r *Relay) now() time.Time { return r.cfg.Now() }

// defaultHostCount stands for the number of hosts until it is known.
const defaultHostCount = 8

// hostCountDecreaseDelay is how long a host that has gone still counts: it may be cut off, or on its
// way back, and finds no room on the instances where others have taken its part.
const hostCountDecreaseDelay = 20 * time.Second

// SetHostCount tells how many hosts there are, which share the instances' connections.
func (r *Relay) SetHostCount(n int) {
	now := r.now()
	if r.hostCountAt.IsZero() || n >= r.hostCount || now.Sub(r.hostCountAt) > hostCountDecreaseDelay {
		r.hostCount, r.hostCountAt = max(n, 1), now
	}
}

// LeaseRenewed takes in a renewal of this host's registration that was sent at some
// moment and has succeeded.
func (r *Relay) LeaseRenewed(sent time.Time) { r.lease.Renewed(sent) }

// LeaseLost takes in that the registration has ended: an order may have been given.
func (r *Relay) LeaseLost() { r.lease.Lost() }

// AddRecord takes in the record of an order.
func (r *Relay) AddRecord(rec leader.Record) {
	g := r.group(rec.Service)
	if !g.belief.AddRecord(rec) {
		return
	}
	r.note(Event{
		Kind: EventLeader, Service: g.name, Instance: rec.Primary,
		Choice: "follow the order", Reason: "host " + string(rec.By) + " has ordered a change of primary",
		Term: rec.Term,
	})
	g.changedAt = r.now()
	g.unaffected = r.lease.Until()
	g.dispatch()
}

// SetInstances takes in all instances as they announce themselves, by a reading that was begun at some
// moment.
func (r *Relay) SetInstances(is []catalog.Instance, readAt time.Time) {
	byService := map[fleet.Service][]catalog.Instance{}
	for _, i := range is {
		byService[i.Service] = append(byService[i.Service], i)
	}
	for s := range byService {
		r.group(s)
	}
	for s, g := range r.groups {
		g.listed(byService[s], readAt)
	}
}

// SetCatalog puts a catalog in force. An older one than that in force is ignored.
func (r *Relay) SetCatalog(c *catalog.Catalog) bool {
	if !c.Newer(r.catalog) {
		return false
	}
	r.catalog = c
	r.setEvacuated(c)
	r.setRegions(c)
	for _, s := range c.Services {
		r.group(s.Name).service = s
	}
	for s := range r.sessions {
		s.revalidate()
	}
	return true
}

// Ready reports whether the host can serve: it knows a catalog and, for each service,
// an instance.
func (r *Relay) Ready() bool {
	if r.catalog == nil || r.drain.started || r.CutOff() {
		return false
	}
	for _, s := range r.catalog.Services {
		if !r.group(s.Name).served() {
			return false
		}
	}
	return true
}

// cutOffAfter is how long a host can't answer for half of its services, nor reach the
// store, before it counts as cut off. A false alarm costs nothing as long as it ends
// before the balancer asks twice.
const cutOffAfter = 300 * time.Millisecond

// CutOff reports whether this host can do less for its callers than others may: it reaches
// neither the store nor the primaries of half of its services; of any, if hosts are
// missing, which may be on the better side of a cut. The balancer then sends new sessions
// to other hosts, and to other data centres if all hosts here are cut off. With the store
// down for all and one primary dead nobody is better off, and no host is missing.
func (r *Relay) CutOff() bool {
	now := r.now()
	secluded := r.isolated(now)
	if r.lease.RecordsCurrent(now) && !secluded || len(r.groups) == 0 {
		return false
	}
	unable := 0
	for _, g := range r.groups {
		if now.Sub(g.ableAt) > cutOffAfter || secluded && g.able(now) != "" {
			unable++
		}
	}
	return 2*unable >= len(r.groups) || unable > 0 && r.forwarding.missingHosts > 0
}

func (r *Relay) group(s fleet.Service) *group {
	g := r.groups[s]
	if g == nil {
		g = newGroup(r, s)
		r.groups[s] = g
	}
	return g
}

// Tick looks at all that depends on the time. It is to be called every few ms.
func (r *Relay) Tick() {
	now := r.now()
	if gap := now.Sub(r.lastTick); gap > pauseThreshold && !r.lastTick.IsZero() {
		r.pauseGraceUntil = now.Add(min(gap, pauseThreshold))
	}
	r.lastTick = now
	for _, g := range r.groups {
		g.tick(now)
	}
	r.tickForwarding(now)
	r.tickCutOff(now)
	r.tickEvacuations(now)
	r.tickSessions(now)
}

// tickCutOff closes the sessions that rest on a host that is cut off, once the balancer
// sends them elsewhere. Those that come afterwards stay as long as they are served: the
// balancer has no other host for them, as when all hosts believe that others are better
// off.
func (r *Relay) tickCutOff(now time.Time) {
	if !r.CutOff() {
		r.cutOffSince = time.Time{}
		return
	}
	if r.cutOffSince.IsZero() {
		r.cutOffSince = now
		r.note(Event{
			Kind: EventSession, Choice: "not ready",
			Reason: "neither the store nor the primaries can be reached, and other hosts may reach them",
		})
	}
	if now.Sub(r.cutOffSince) < balancerReactionTime {
		return
	}
	for s := range r.sessions {
		if s.started && s.op == nil && !s.tx.open &&
			(s.lastRefused || s.openedAt.Before(r.cutOffSince.Add(balancerReactionTime))) {
			s.close()
		}
	}
}

// pauseThreshold is the time between two ticks from which on the process itself was held up.
// The answers that came meanwhile are still unread then, and would look late.
const pauseThreshold = 120 * time.Millisecond

func (r *Relay) requestTick() {
	if r.cfg.RequestTick != nil {
		r.cfg.RequestTick()
	}
}

// HasWaiting reports whether anything waits that a tick may decide on.
func (r *Relay) HasWaiting() bool {
	for _, g := range r.groups {
		if len(g.waiting)+len(g.inquiries)+g.proofs.Len() > 0 || !g.unsure.AskedAt.IsZero() {
			return true
		}
		if g.checksPrimary() && g.able(r.now()) != "" {
			return true
		}
	}
	return r.drain.started
}

// checksPrimary reports whether this host has a part in finding out why a group's primary can't answer:
// the duty, or connections of its own.
//
// The load it is made for: hundreds of hosts, nearly all of which use a group over its holders.
// While one of many groups has no primary, quick ticks of theirs bring nothing.
func (g *group) checksPrimary() bool {
	if g.r.duty.holds {
		return true
	}
	for _, i := range g.instances {
		if len(i.conns) > 0 {
			return true
		}
	}
	return false
}

func (r *Relay) nextKey() uint64 {
	r.lastKey++
	return r.lastKey
}

// queueLimits are those of the operations of one group that wait on this host.
//
// They are made for many callers who come at once: what waits longer than a caller's
// patience is worked off for nothing. The two slots of an instance work off about 200
// statements of 9 ms a second, so 64 of one account and 256 in all are about as many
// as end within a second on the instances of a group.
var queueLimits = admit.Limits{PerAccount: 64, Total: 256, Slots: 6, WriteSlots: 2, LongAfter: time.Hour}
