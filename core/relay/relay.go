// Package relay is the core of a host. It routes the statements of callers' sessions to database
// instances over pooled connections, and returns only answers that it can verify. It uses no sockets,
// clocks or goroutines: a single goroutine calls a Relay with events, and the Relay calls back through
// the function fields of its Config.
package relay

import (
	"time"

	"skylarkdeal/core/admit"
	"skylarkdeal/core/catalog"
	"skylarkdeal/core/cold"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/follow"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/outlier"
	"skylarkdeal/core/pacing"
	"skylarkdeal/core/statement"
)

// Config holds the settings and the callbacks of a Relay.
type Config struct {
	Host       fleet.Host
	DataCentre fleet.DataCentre
	// Capacity is what the host can carry, in processor cores; zero if it isn't known.
	Capacity fleet.Capacity
	// Regions maps each data centre to its region.
	Regions map[fleet.DataCentre]fleet.Region
	// EvacuationTimeout is how long after an operator's request statements may still reach the
	// instances of an evacuated data centre; zero stands for 5 s.
	EvacuationTimeout time.Duration
	// Cold bounds what all hosts together send to an instance that has just started.
	Cold cold.Limit
	// ConcurrencyLimit bounds adaptively how many statements the host has at an instance at a time.
	ConcurrencyLimit bool
	// Backpressure reports the load of this host's queues to other hosts, and uses what they report.
	Backpressure bool
	// RetryBudget bounds the share of the load that is retries of reads that may have run.
	RetryBudget bool
	// PacedRetries spreads the retry times of refused callers.
	PacedRetries bool
	Now          func() time.Time
	// Dial starts a connection. ConnOpened, ConnectRefused or ConnClosed reports the result.
	Dial func(c *Conn)
	// Admit takes one operation of a priority from the account's rate limit, for which it may wait for a while, and
	// calls done with the decision, possibly before it returns. patience is how long it is of use to wait for a
	// token that is known to come. retryAfter tells when to retry if the operation isn't admitted.
	Admit func(a catalog.Account, p fleet.Priority, patience time.Duration,
		done func(retryAfter time.Duration, admitted bool))
	// Refund returns an operation that no instance has run to the account's rate limit.
	Refund func(a fleet.Account)
	// ParseStatus parses the answer to a status request.
	ParseStatus func(a statement.Answer) (statement.Status, bool)
	// RefreshRecords requests that the records of promotion requests are read again.
	RefreshRecords func()
	// RequestPromotion requests a promotion.
	RequestPromotion func(o leader.PromotionRequest)
	// ObserveLatency receives how long a statement took and the code that it ended with. It may be nil.
	ObserveLatency func(k catalog.Consistency, code statement.Code, took time.Duration)
	// RequestLink requests a link to another host, which something waits for. It may be nil.
	RequestLink func(h fleet.Host)
	// RequestTick requests the next tick soon, since something now waits for it. It may be nil.
	RequestTick func()
	// DetectOutliers enables the ejection of instances that respond but fail, and the response timeouts of
	// reads.
	DetectOutliers bool
	// LogEvent receives each decision that is worth logging. It may be nil.
	LogEvent func(e Event)
}

// Relay routes the statements of one host's sessions. It isn't safe for concurrent use.
type Relay struct {
	cfg      Config
	catalog  *catalog.Catalog
	sessions map[*Session]struct{}
	// ending are the sessions that are to end once they are settled.
	ending map[*Session]struct{}
	groups map[fleet.Service]*group
	// active are the groups that are ticked.
	active map[*group]struct{}
	// instances has the instances of all groups by name.
	instances map[fleet.Instance]*instance
	lease     leader.Lease
	// startedAt is when the Relay was created.
	startedAt time.Time
	// hostCount is the highest number of hosts reported lately, hostCountAt when it was reported.
	hostCount   int
	hostCountAt time.Time
	lastKey     uint64
	counters    Counters
	drain       drainState
	// pacer chooses the retry times of refusals for failures.
	pacer      pacing.Pacer
	duty       coordination
	forwarding forwarding
	// lastTick is when Tick last ran. After a pause of the process, timeouts aren't enforced until
	// pauseGraceUntil.
	lastTick, pauseGraceUntil time.Time
	// cutOffSince is since when the host is cut off or its catalog outdated, zero while neither is so.
	cutOffSince time.Time
	// evacuated maps each evacuated data centre to when this host learnt of the evacuation.
	evacuated map[fleet.DataCentre]time.Time
	// dataCentreSizes counts the hosts of each data centre, heard or not.
	dataCentreSizes map[fleet.DataCentre]int
	// lists is for how long the list of instances has been followed; listReadAt is a time as of which the
	// list in use lacks no change.
	lists      listHistory
	listReadAt time.Time
	// listed are the instances of the last list.
	listed map[fleet.Service][]catalog.Instance
	// recordRevision is the revision of the newest promotion record.
	recordRevision uint64
	// ownAccount is the account for the host's own connections.
	ownAccount fleet.Account
	// served is whether each service of the catalog has an instance, unless servedStale is set.
	served, servedStale bool
	// catalogOutdated is why the host must not act by its catalog, empty if it may.
	catalogOutdated follow.OutdatedReason
	// instancesConfirmedAt is when the list of instances in use was last known to match the store.
	instancesConfirmedAt time.Time
	// noNewerPromotionAt is when hosts of all data centres were last heard to know of no promotion that this
	// host doesn't know.
	noNewerPromotionAt time.Time
	// ejections are the instances that other hosts eject.
	ejections outlier.Reports
}

// Counters are totals since the start of the process, for metrics and the state dump.
type Counters struct {
	Statements uint64 `json:"statements"`
	Answered   uint64 `json:"answered"`
	Refused    uint64 `json:"refused"`
	// RefusedByPriority counts the refused operations apart from those that are refused with their session.
	RefusedByPriority RefusedByPriority `json:"refused-by-priority"`
	Retried           uint64            `json:"retried"`
	InDoubt           uint64            `json:"in-doubt"`
	Connects          uint64            `json:"connects"`
	// Evictions are idle connections that were closed in favour of another account.
	Evictions uint64 `json:"evictions"`
	// IdleRollbacks are transactions that were rolled back while operations waited for their connections.
	IdleRollbacks  uint64 `json:"idle-rollbacks"`
	OwnStatements  uint64 `json:"own-statements"`
	StatusRequests uint64 `json:"asked"`
	LimitDecreases uint64 `json:"limit-decreases"`
	// GroupTicks counts the ticks of groups, PromotionChecks how often it was checked whether a group needs
	// another primary.
	GroupTicks      uint64 `json:"group-ticks"`
	PromotionChecks uint64 `json:"promotion-checks"`
	// RetriesDenied counts the reads that weren't retried because the retry budget was used up.
	RetriesDenied uint64 `json:"retries-denied"`
	// RefusedBeforeHop counts the refusals because of a load that a holder had reported.
	RefusedBeforeHop uint64 `json:"refused-before-hop"`
	// OutlierEjections, OutlierProbes, OutlierReturns and OutlierAdoptions count decisions on instances that
	// fail; AbandonedReads the reads that were run again as no response had come.
	OutlierEjections uint64 `json:"outlier-ejections"`
	OutlierProbes    uint64 `json:"outlier-probes"`
	OutlierReturns   uint64 `json:"outlier-returns"`
	OutlierAdoptions uint64 `json:"outlier-adoptions"`
	AbandonedReads   uint64 `json:"abandoned-reads"`
	// PromotionsWithheld counts the promotions that had to wait for the logs of other instances, Holds and
	// HoldReleases the requests to hold an instance back before a promotion and to end that. DepartedForgotten counts
	// the former instances that no longer count for a promotion as there are too many.
	PromotionsWithheld uint64 `json:"promotions-withheld"`
	Holds              uint64 `json:"holds"`
	HoldReleases       uint64 `json:"hold-releases"`
	DepartedForgotten  uint64 `json:"departed-forgotten"`
	// StatementsCut counts the statements without an answer whose sessions this host has ended.
	StatementsCut uint64 `json:"statements-cut"`
	// AnswersCut counts the callers whose connection this host has closed before their answers were written.
	AnswersCut uint64 `json:"answers-cut"`
}

// New returns a Relay without a catalog. It rejects all sessions until SetCatalog is called.
func New(cfg Config) *Relay {
	return &Relay{
		startedAt: cfg.Now(),
		cfg:       cfg,
		pacer:     newPacer(cfg.Host),
		sessions:  map[*Session]struct{}{},
		ending:    map[*Session]struct{}{},
		groups:    map[fleet.Service]*group{},
		active:    map[*group]struct{}{},
		instances: map[fleet.Instance]*instance{},
		hostCount: defaultHostCount,
		forwarding: forwarding{
			forwardedConns: map[uint64]*Conn{}, inboundSessions: map[streamKey]*Session{},
			answeredAt: map[fleet.Host]time.Time{},
		},
	}
}

func (r *Relay) now() time.Time { return r.cfg.Now() }

// defaultHostCount is the number of hosts that is assumed until SetHostCount is called.
const defaultHostCount = 8

// hostCountDecreaseDelay is how long a departed host still counts. It may be cut off or about to
// return, and would find no room on the instances if other hosts had taken its connections.
const hostCountDecreaseDelay = 20 * time.Second

// SetHostCount sets the number of hosts that share the instances' connections. A lower number takes
// effect after hostCountDecreaseDelay.
func (r *Relay) SetHostCount(n int) {
	now := r.now()
	if r.hostCountAt.IsZero() || n >= r.hostCount || now.Sub(r.hostCountAt) > hostCountDecreaseDelay {
		r.hostCount, r.hostCountAt = max(n, 1), now
	}
}

// LeaseRenewed records that a renewal of this host's registration, sent at the given time, has
// succeeded.
func (r *Relay) LeaseRenewed(sent time.Time) { r.lease.Renewed(sent) }

// LeaseLost records that the registration has ended: a promotion may have been requested since.
func (r *Relay) LeaseLost() { r.lease.Lost() }

// AddRecord adds the record of a promotion request. It ignores one that isn't newer than the last.
func (r *Relay) AddRecord(rec leader.Record) {
	g := r.group(rec.Service)
	former, _, _ := g.primaryState.FormerPrimary()
	if !g.primaryState.AddRecord(rec) {
		return
	}
	r.recordRevision = max(r.recordRevision, rec.Revision)
	r.logEvent(Event{
		Kind: EventLeader, Service: g.name, Instance: rec.Primary,
		Choice: "follow the promotion request", Reason: "host " + string(rec.By) + " has requested a promotion",
		Term: rec.Term,
	})
	g.promotionKnownAt = r.now()
	g.restartOutliers()
	if f, _, ok := g.primaryState.FormerPrimary(); !ok || f != former {
		// A request that is repeated may have been carried out by the first time.
		g.promotionNotBefore = r.lease.Until()
	}
	if r.duty.active {
		g.wake()
	}
	g.dispatch()
}

// SetInstances sets the registered instances of all services, from a reading of the list that was begun
// at the given time. Lists come in the order of these times; one that is out of order is older than the one in
// use and is ignored.
func (r *Relay) SetInstances(is []catalog.Instance, readAt time.Time) {
	if readAt.Before(r.listReadAt) {
		return
	}
	r.listReadAt = readAt
	r.lists.add(readAt)
	r.listed = map[fleet.Service][]catalog.Instance{}
	for _, i := range is {
		r.listed[i.Service] = append(r.listed[i.Service], i)
	}
	for s, g := range r.groups {
		g.setInstances(r.listed[s], readAt)
	}
}

// SetCatalog puts a catalog into effect and reports whether it did. A catalog that isn't newer than the
// current one is ignored.
func (r *Relay) SetCatalog(c *catalog.Catalog) bool {
	if !c.Newer(r.catalog) {
		return false
	}
	r.catalog = c
	r.setEvacuated(c)
	r.setRegions(c)
	r.ownAccount, r.servedStale = firstAccount(c), true
	for _, s := range c.Services {
		r.group(s.Name).service = s
	}
	for s := range r.sessions {
		s.revalidate()
	}
	if r.duty.active {
		// Operators may have evacuated the data centres of primaries.
		r.wakeAll()
	}
	return true
}

// firstAccount returns the first account of a catalog by name, empty if there is none.
func firstAccount(c *catalog.Catalog) fleet.Account {
	var first fleet.Account
	for a := range c.Accounts {
		if first == "" || a < first {
			first = a
		}
	}
	return first
}

// SetCatalogOutdated sets why the host must not act by its catalog, empty if it may. While it must not, it
// starts no sessions and no operations, as a key may have been withdrawn or a database moved since.
// Transactions that are open go on.
func (r *Relay) SetCatalogOutdated(why follow.OutdatedReason) { r.catalogOutdated = why }

// outdated returns why the host must not act by its catalog now, empty if it may.
//
// Guards against a host that is continued after a pause and handles what waits in its sockets before the
// tick at which it finds that its catalog may be old.
func (r *Relay) outdated() follow.OutdatedReason {
	if !r.lastTick.IsZero() && r.now().Sub(r.lastTick) > follow.PausedFor {
		return follow.OutdatedAgeUnknown
	}
	return r.catalogOutdated
}

// Ready reports whether the host can serve: it has a catalog that isn't outdated, knows an instance of each
// service, is not shutting down and not cut off.
func (r *Relay) Ready() bool {
	if r.catalog == nil || r.catalogOutdated != "" || r.drain.started || r.CutOff() {
		return false
	}
	return r.servesAll()
}

// servesAll reports whether an instance of each service is known.
func (r *Relay) servesAll() bool {
	if !r.servedStale {
		return r.served
	}
	r.served, r.servedStale = true, false
	for _, s := range r.catalog.Services {
		if !r.group(s.Name).hasInstances() {
			r.served = false
			break
		}
	}
	return r.served
}

// cutOffAfter is how long a host can't answer for half of its services, nor reach the store, before it
// counts as cut off. A false alarm has no effect if it ends before the balancer checks twice.
const cutOffAfter = 300 * time.Millisecond

// CutOff reports whether other hosts may serve callers better than this one: it reaches neither the
// store nor the primaries of half of its services, or of any service if hosts are missing, since those
// may be on the better side of a network partition. Only of services that it uses does it know whether it reaches
// their primaries. The balancer then sends new sessions to other
// hosts, and to other data centres if all hosts here are cut off. With the store down for all hosts and
// one primary dead, no host is better off and none is missing.
func (r *Relay) CutOff() bool {
	now := r.now()
	isolated := r.isolated(now)
	if r.lease.RecordsCurrent(now) && !isolated || len(r.groups) == 0 {
		return false
	}
	unable, used := 0, 0
	for g := range r.active {
		if !g.isUsed(now) {
			continue
		}
		used++
		if r.forwarding.missingHosts == 0 && !isolated && !g.hasFollowedList() {
			// All hosts that have just started are no better off.
			continue
		}
		if now.Sub(g.primaryAvailableAt) > cutOffAfter || isolated && g.unavailableReason(now) != "" {
			unable++
		}
	}
	if isolated {
		return 2*unable >= used
	}
	return 2*unable >= len(r.groups) || unable > 0 && r.forwarding.missingHosts > 0
}

// group returns the group of a service, and adds it if it is missing. The list of instances adds none: an entry of
// another writer may name any service, which would then be given connections and promotions.
func (r *Relay) group(s fleet.Service) *group {
	g := r.groups[s]
	if g == nil {
		g = newGroup(r, s)
		r.groups[s] = g
		if is := r.listed[s]; len(is) > 0 {
			g.setInstances(is, r.listReadAt)
		}
	}
	return g
}

// Tick handles everything that depends on the time. It is to be run every few ms.
func (r *Relay) Tick() {
	now := r.now()
	if gap := now.Sub(r.lastTick); gap > pauseThreshold && !r.lastTick.IsZero() {
		r.pauseGraceUntil = now.Add(min(gap, pauseThreshold))
	}
	r.lastTick = now
	for g := range r.active {
		r.counters.GroupTicks++
		g.tick(now)
	}
	r.tickForwarding(now)
	r.tickCutOff(now)
	r.tickEvacuations(now)
	r.tickSessions(now)
	r.tickIdleTransactions(now)
}

// tickCutOff closes the idle sessions of a host that is cut off or whose catalog is outdated, once the
// balancer sends new sessions elsewhere. Sessions that are opened later stay as long as they are served:
// the balancer has no other host for them, for example because all hosts count themselves as cut off.
func (r *Relay) tickCutOff(now time.Time) {
	var why string
	switch {
	case r.catalogOutdated != "" && r.catalog != nil:
		why = outdatedDetail
	case r.CutOff():
		why = "neither the store nor the primaries can be reached, and other hosts may reach them"
	default:
		r.cutOffSince = time.Time{}
		return
	}
	if r.cutOffSince.IsZero() {
		r.cutOffSince = now
		r.logEvent(Event{Kind: EventSession, Choice: "not ready", Reason: why})
	}
	if now.Sub(r.cutOffSince) < balancerReactionTime {
		return
	}
	for s := range r.sessions {
		if s.started && s.settled() && !s.tx.open &&
			(s.lastRefused || s.openedAt.Before(r.cutOffSince.Add(balancerReactionTime))) {
			s.closeConn()
		}
	}
}

// pauseThreshold is the gap between two ticks above which the process counts as paused. Answers that
// arrived during the pause are then still unread, and would look late.
const pauseThreshold = 120 * time.Millisecond

func (r *Relay) requestTick() {
	if r.cfg.RequestTick != nil {
		r.cfg.RequestTick()
	}
}

// HasWaiting reports whether anything waits for a decision that a tick may make.
func (r *Relay) HasWaiting() bool {
	now := r.now()
	for g := range r.active {
		if len(g.waiting)+len(g.peerRequests)+g.pendingAnswers.Len() > 0 || !g.unverifiedSample.AskedAt.IsZero() {
			return true
		}
		if g.confirmsPrimary(now) && g.checksPrimary() && g.unavailableReason(now) != "" {
			return true
		}
	}
	return r.drain.started
}

// checksPrimary reports whether this host helps to find out why a group's primary can't answer: it is
// the failover coordinator, or has connections of its own to the group.
//
// Designed for hundreds of hosts, nearly all of which use a group over its holders. While one of many
// groups has no primary, frequent ticks on those hosts bring nothing.
func (g *group) checksPrimary() bool {
	if g.r.duty.active {
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

// queueLimits bound the operations of one group that wait on this host. Its slots are those of the instances.
//
// Designed for many callers at once: an operation that waits longer than its caller does is run for
// nothing. The two slots of an instance run about 200 statements of 9 ms a second, so 64 operations of
// one account and 256 in total are about as many as end within a second on the instances of a group.
var queueLimits = admit.Limits{PerAccount: 64, Total: 256, LongAfter: time.Hour}
