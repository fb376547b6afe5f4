package registry

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/follow"
	"skylarkdeal/core/leader"
	"skylarkdeal/internal/sleep"
)

// Host is a host's registration in the store.
type Host struct {
	Name       fleet.Host       `json:"name"`
	DataCentre fleet.DataCentre `json:"data-centre"`
	// Address is where other hosts reach it.
	Address string `json:"address"`
	// Capacity is the load that the host can carry.
	Capacity fleet.Capacity `json:"capacity,omitempty"`
	// Lease is the lease of its registration.
	Lease LeaseID `json:"lease"`
}

// Config configures a Registry. The functions from Catalog to StepDown are called by Post, one at a
// time.
type Config struct {
	Store Store
	Self  Host
	// Prefix is the common prefix of all keys that hosts write.
	Prefix string
	// CatalogPrefix and InstancePrefix are where operators and instances write. CatalogKey is the
	// operators' key without which there is no catalog.
	CatalogPrefix, CatalogKey, InstancePrefix string
	// ParseCatalog parses all entries under CatalogPrefix.
	ParseCatalog func(es []Entry) (*catalog.Catalog, error)
	// ParseInstance parses an entry under InstancePrefix. One that names no instance to use is an error.
	ParseInstance func(e Entry) (catalog.Instance, error)
	Now           func() time.Time
	// Rank returns this host's position in the order in which hosts read the store for the fleet; 0
	// is the first. It may be nil, which counts as 0.
	Rank func() int
	// Post queues f to be called on the goroutine that makes the host's decisions.
	Post func(f func())
	// ElectReaders makes Run choose whether the host first reads the store or follows a host that
	// does. If it is false, the host reads.
	ElectReaders bool
	// PartRead is called with each part of the store as this host knows it, after a reading or a copy
	// of another host, to pass it on to followers while the host is a reader. It may be nil. Role is
	// called with the role that Run chooses at the start.
	PartRead func(p follow.Part, c follow.PartCopy[[]Entry])
	Role     func(role follow.Role)

	Catalog func(c *catalog.Catalog)
	// Instances is called with the list of instances after each reading of it, and after each change that
	// another host passes on. The list lacks no change as of read, which never moves back.
	Instances func(is []catalog.Instance, read time.Time)
	Hosts     func(hs []Host)
	// HostCount is called at the start with the number of hosts that was last written to the store,
	// zero if there is none. It is used only with ElectReaders.
	HostCount func(n int)
	Record    func(r leader.Record)
	// RegistrationRenewed is called after a successful renewal with the time when it was sent,
	// RegistrationLost when the registration has ended.
	RegistrationRenewed func(sent time.Time)
	RegistrationLost    func()
	// CoordinatorChanged is called when this host becomes the failover coordinator or is no longer.
	CoordinatorChanged func(holds bool)
	// PromotionFinished is called with the outcome of a promotion request: given if it succeeded,
	// refused if the instance isn't running.
	PromotionFinished func(o leader.PromotionRequest, given, refused bool)
	// RecordConflict is called when the store has refused to write a record, as it isn't the one that the decision was
	// based on. It may be nil, and isn't called by Post.
	RecordConflict func()
	// StepDown is called shortly before the promotion that replaces a leaving primary takes effect.
	StepDown func(o leader.PromotionRequest)

	// Promote has the platform promote an instance. It is called on its own goroutine.
	Promote func(ctx context.Context, p Promotion) error
	// CoordinatorDelay is how long after its start the host doesn't become the failover
	// coordinator.
	CoordinatorDelay time.Duration
	// MinPromotionTime is the least time that the platform takes to carry out a promotion,
	// UsualPromotionTime the usual time.
	MinPromotionTime, UsualPromotionTime time.Duration
	// PromotionRate is how many promotions a second the platform takes, zero for no limit.
	PromotionRate float64

	Logger *zap.Logger
}

// The intervals and limits of the tasks. Calls to the store are costly, so each is made as rarely
// as its purpose allows.
const (
	// registrationTTL is how long a dead host stays registered, and remains the failover
	// coordinator if it is. A slow store takes 0.3 s for a renewal.
	registrationTTL = time.Second
	// renewInterval is short enough that one lost response leaves the last renewal valid.
	renewInterval = 300 * time.Millisecond
	// watchDuration is how long a watch waits. Each watch is a call, and the store allows 30 s. The
	// connection to the store has to use keep-alive, so that a watch on a dead connection ends
	// sooner.
	watchDuration = 28 * time.Second
	// instancesMaxAge is how old the last reading of the list of instances by any host may get. A
	// leaving instance has 7 s, of which a change of primary takes less than 2 s.
	instancesMaxAge = 2 * time.Second
	// minInstancesInterval is the least time between two readings of that list, and the interval at
	// which an empty list is read.
	minInstancesInterval = 250 * time.Millisecond
	// hostsInterval bounds how late the share of a dead host is used. New hosts announce
	// themselves. hostsIntervalStep is added for each host that reads before this one, so that a
	// fleet makes only a few of these calls a second.
	hostsInterval     = 15 * time.Second
	hostsIntervalStep = time.Second
	// callTimeout bounds one call. A slow store responds within 0.3 s.
	callTimeout = 1500 * time.Millisecond
	// pauseAfterError is the least time between the calls of one task to a store that fails.
	pauseAfterError = 100 * time.Millisecond
	// probeInterval is how often an unavailable store is probed, by one task for all.
	probeInterval = 250 * time.Millisecond
	// catalogMaxAge is how old the last reading of the catalog by any host may get. A watch can
	// miss a change when the store discards its history, and a catalog has to be in force within 3
	// s.
	catalogMaxAge = 800 * time.Millisecond
	// maxRenewals bounds the concurrent renewals.
	maxRenewals = 6
)

// Registry runs the host's tasks that use the store.
type Registry struct {
	cfg Config
	// createdAt is when New was called.
	createdAt time.Time
	lease     atomic.Uint64
	// recordsRefresh is signalled when the records are to be read again.
	recordsRefresh chan struct{}
	// lastRenewal is the time.Time at which the latest successful renewal was sent.
	lastRenewal atomic.Value
	// coordinatorMu serialises updateCoordinator, so that a coordinator key under a registration
	// that has ended isn't taken for a current one.
	coordinatorMu sync.Mutex
	// fencingToken is this host's token as the failover coordinator, zero while it isn't the
	// coordinator.
	fencingToken      atomic.Uint64
	promotionRequests promotionQueue
	// promotionsAdded is signalled after a request was queued, nextPromotionAt is when the platform takes the next
	// one. Only runPromotions uses the latter.
	promotionsAdded chan struct{}
	nextPromotionAt time.Time
	// hostsRefresh is signalled when the hosts are to be listed again.
	hostsRefresh chan struct{}
	// catalogRefresh is signalled when the catalog is to be read again.
	catalogRefresh chan struct{}
	// operatorEntries are the entries from which the catalog is parsed, unparsed those after each
	// change that wasn't parsed yet, guarded by the lock of operatorEntries.
	operatorEntries part
	unparsed        []snapshot
	// parsing has one slot, taken while snapshots are parsed. It is a channel since parsing may take
	// long. It guards lastValid, the last snapshot that could be parsed.
	parsing   chan struct{}
	lastValid snapshot
	// lastCatalogConfirm is when this host or another last read the catalog and it was the one in force
	// here.
	lastCatalogConfirm atomic.Value
	// instanceList is the list of instances in use; instancesRefresh is signalled when it is to be read
	// again.
	instanceList     instanceList
	instancesRefresh chan struct{}
	storeHealth      dependency
	tasks            sync.WaitGroup
	// role is the host's follow.Role; roleChanged is signalled after a change.
	role        atomic.Value
	roleChanged chan struct{}
	// hostCount is the number of hosts in the fleet, zero while it isn't known; storedHostCount is
	// the number that is written in the store.
	hostCount, storedHostCount atomic.Int64
	// latestReaders are the hosts of each data centre that were registered last. storedReaderNames
	// are the names of those that are written in the store for starting hosts.
	latestReaders, storedReaderNames atomic.Value
	// hostsListed is set once initialRole has reported the registered hosts.
	hostsListed bool
	// records are the known entries of the records by key, which lack no change up to
	// recordsCompleteTo and as of recordsAsOf; recordChanges counts their changes. All are guarded by
	// recordsMu.
	recordsMu         sync.Mutex
	records           map[string]Entry
	conflicts         map[fleet.Service]conflicts
	recordChanges     uint64
	recordsCompleteTo Revision
	recordsAsOf       time.Time
}

// New returns a Registry that makes no calls before Run.
func New(cfg Config) *Registry {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	r := &Registry{
		cfg: cfg, createdAt: time.Now(),
		recordsRefresh: make(chan struct{}, 1), hostsRefresh: make(chan struct{}, 1),
		catalogRefresh: make(chan struct{}, 1), instancesRefresh: make(chan struct{}, 1),
		roleChanged: make(chan struct{}, 1), parsing: make(chan struct{}, 1), records: map[string]Entry{},
		conflicts:   map[fleet.Service]conflicts{},
		storeHealth: dependency{name: "store", log: cfg.Logger}, promotionsAdded: make(chan struct{}, 1),
	}
	r.operatorEntries.noteChange = func(current snapshot) { r.unparsed = append(r.unparsed, current) }
	l := &r.instanceList
	l.inspect, l.noteRemoval, l.noteChange = r.inspectInstance, l.dropInstance, l.listInstances
	return r
}

func (r *Registry) hostsPrefix() string { return r.cfg.Prefix + "hosts/" }

func (r *Registry) recordsPrefix() string { return r.cfg.Prefix + "primaries/" }

// Run runs the tasks of the host's role until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	if r.cfg.ElectReaders {
		role := r.initialRole(ctx)
		r.SetRole(role)
		r.cfg.Post(func() { r.cfg.Role(role) })
	}
	for ctx.Err() == nil {
		if role := r.Role(); role != follow.RoleReader {
			r.runTasks(ctx, role, r.readOnRequest)
			continue
		}
		r.runReader(ctx)
	}
}

// runReader runs a reader's tasks until the host has another role, then ends the registration.
func (r *Registry) runReader(ctx context.Context) {
	r.runTasks(ctx, follow.RoleReader,
		r.register, r.watchCatalog, r.confirmCatalog, r.pollInstances, r.pollHosts, r.readRecords,
		r.maintainCoordinator, r.runPromotions, r.maintainHostCount,
	)
	r.deregister()
}

// runTasks runs the tasks of a role until the host has another role or ctx ends.
func (r *Registry) runTasks(ctx context.Context, role follow.Role, tasks ...func(context.Context)) {
	running, stop := context.WithCancel(ctx)
	defer stop()
	for _, task := range tasks {
		r.tasks.Go(func() { task(running) })
	}
	for running.Err() == nil && r.Role() == role {
		select {
		case <-r.roleChanged:
		case <-running.Done():
		}
	}
	stop()
	r.tasks.Wait()
}

func (r *Registry) deregister() {
	if l := LeaseID(r.lease.Load()); l != 0 {
		c, cancel := context.WithTimeout(context.Background(), pauseAfterError)
		defer cancel()
		// If this call fails, the lease expires by itself.
		if err := r.cfg.Store.Revoke(c, l); err != nil {
			r.cfg.Logger.Debug("registration not ended", zap.Error(err))
		}
		r.registrationEnded()
	}
}

// RefreshRecords requests that the records are read again soon. It doesn't wait for that.
func (r *Registry) RefreshRecords() { sleep.Signal(r.recordsRefresh) }

// ListHosts has the registered hosts listed again soon. It doesn't wait for that.
func (r *Registry) ListHosts() { sleep.Signal(r.hostsRefresh) }

// StoreReachable reports whether the store has answered since a call last failed.
func (r *Registry) StoreReachable() bool { return !r.storeHealth.isLost() }

// register keeps the host registered by a lease, a key under the lease, and renewals.
func (r *Registry) register(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.createRegistration(ctx); err != nil {
			r.storeHealth.recordFailure(err)
			sleep.For(ctx, probeInterval)
			continue
		}
		r.keepRenewed(ctx)
		if ctx.Err() == nil {
			r.registrationEnded()
		}
	}
}

// registrationEnded records that the registration has ended, and with it this host's role as the
// failover coordinator. The renewals of the next registration must not make the old coordinator key
// look valid again.
func (r *Registry) registrationEnded() {
	r.lease.Store(0)
	r.updateCoordinator(Entry{})
	r.cfg.Post(r.cfg.RegistrationLost)
}

// createRegistration registers the host and then reads the records, in this order: a host that
// writes a record later finds this registration and ends it.
func (r *Registry) createRegistration(ctx context.Context) error {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l, err := r.cfg.Store.Grant(c, registrationTTL)
	if err != nil {
		return err
	}
	self := r.cfg.Self
	self.Lease = l
	b, err := json.Marshal(self)
	if err != nil {
		return err
	}
	// Each registration has its own key. A write whose response was lost may be carried out seconds
	// later. Under a common key it would replace the registration that is renewed, and a host that
	// revokes the registration would then revoke the wrong lease.
	put := Put{Key: r.hostsPrefix() + string(self.Name) + "/" + l.String(), Value: b}
	if _, err := r.cfg.Store.Commit(c, Txn{Put: []Put{put}, Lease: l}); err != nil {
		return err
	}
	sent := r.cfg.Now()
	records, err := r.listRecords(c)
	if err != nil {
		return err
	}
	r.lease.Store(uint64(l))
	storeLatest(&r.lastRenewal, sent)
	r.storeHealth.recordSuccess()
	r.postRecords(records)
	// Followers have to receive the records before the renewal.
	r.passOnRecords()
	r.cfg.Post(func() { r.cfg.RegistrationRenewed(sent) })
	return nil
}

// keepRenewed renews the lease until it has ended. A renewal whose response is late must not delay
// the next one: a connection may die without an error.
func (r *Registry) keepRenewed(ctx context.Context) {
	l := LeaseID(r.lease.Load())
	running, ended := context.WithCancel(ctx)
	defer ended()
	slots := make(chan struct{}, maxRenewals)
	sleep.Every(running, renewInterval, func() {
		select {
		case slots <- struct{}{}:
		default:
			return
		}
		go func() {
			defer func() { <-slots }()
			if r.renewOnce(ctx, l) {
				ended()
			}
		}()
	})
}

// renewOnce renews the lease and reports whether it has ended.
func (r *Registry) renewOnce(ctx context.Context, l LeaseID) bool {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := r.cfg.Now()
	err := r.cfg.Store.Renew(c, l)
	switch {
	case err == nil:
		r.storeHealth.recordSuccess()
		storeLatest(&r.lastRenewal, sent)
		r.cfg.Post(func() { r.cfg.RegistrationRenewed(sent) })
	case errors.Is(err, ErrNotFound):
		return true
	case ctx.Err() == nil:
		r.storeHealth.recordFailure(err)
	}
	return false
}

// storeLatest stores at in v unless v holds a later time: responses may arrive in another order
// than their calls were sent.
func storeLatest(v *atomic.Value, at time.Time) {
	for {
		old, ok := v.Load().(time.Time)
		if ok && !at.After(old) || ok && v.CompareAndSwap(old, at) || !ok && v.CompareAndSwap(nil, at) {
			return
		}
	}
}
