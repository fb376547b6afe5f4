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
	"skylarkdeal/core/ring"
	"skylarkdeal/internal/sleep"
)

// Host is one host as it registers itself.
type Host struct {
	Name       fleet.Host       `json:"name"`
	DataCentre fleet.DataCentre `json:"data-centre"`
	// Address is where it hears the other hosts.
	Address string `json:"address"`
	// Capacity is what it can carry.
	Capacity fleet.Capacity `json:"capacity,omitempty"`
	// Lease is that of its registration.
	Lease LeaseID `json:"lease"`
}

// Config is what a Registry works with. The functions from Catalog on are called by
// Post, one at a time.
type Config struct {
	Store Store
	Self  Host
	// Prefix starts all keys that the hosts write.
	Prefix string
	// CatalogPrefix and InstancePrefix are where operators and instances write. CatalogKey is that
	// of the operators' keys without which there is no catalog.
	CatalogPrefix, CatalogKey, InstancePrefix string
	// ParseCatalog reads all that stands under CatalogPrefix.
	ParseCatalog  func(es []Entry) (*catalog.Catalog, error)
	ParseInstance func(e Entry) (catalog.Instance, bool)
	Now           func() time.Time
	// Rank tells how many other hosts go before this one in reading for all. It may be nil.
	Rank func() int
	// Post has f called where the host takes decisions.
	Post func(f func())
	// ElectReaders has the registry find out by itself whether it reads the store at first, or follows
	// a host that does. Without it, it reads.
	ElectReaders bool
	// PartRead takes in each part of the store as it was read, for the hosts that follow this one.
	// It may be nil. Role takes in the role that the registry begins with.
	PartRead func(p follow.Part, c follow.PartCopy[[]Entry])
	Role     func(x follow.Role)

	Catalog func(c *catalog.Catalog)
	// Instances tells of a reading of the list of instances that was begun at a moment.
	Instances func(is []catalog.Instance, read time.Time)
	Hosts     func(hs []Host)
	// HostCount tells how many hosts there were when that was last written, zero if it never was. It
	// goes with ElectReaders.
	HostCount func(n int)
	Record    func(r leader.Record)
	// RegistrationRenewed tells of a renewal, sent at a moment, that has succeeded; RegistrationLost that the
	// registration has ended.
	RegistrationRenewed func(sent time.Time)
	RegistrationLost    func()
	// CoordinatorChanged tells whether this host has the duty to order changes of primary.
	CoordinatorChanged func(holds bool)
	// PromotionFinished tells how an order has gone: given with success, or refused because its
	// instance isn't running.
	PromotionFinished func(o leader.PromotionRequest, given, refused bool)
	// StepDown is called shortly before an order for a leaving primary takes effect.
	StepDown func(o leader.PromotionRequest)

	// Promote gives an order to the platform. It is called on a goroutine of its own.
	Promote func(ctx context.Context, p Promotion) error
	// CoordinatorDelay is how long after its start the host leaves the duty to others.
	CoordinatorDelay time.Duration
	// PromotionLeast is the least time that the platform takes to carry one out, PromotionDelay
	// what it usually takes.
	PromotionLeast, PromotionDelay time.Duration

	Logger *zap.Logger
}

// The intervals and bounds of the duties. Calls to the store have their price, so that
// each is made as seldom as its purpose allows.
const (
	// registrationTTL is how long a dead host stays registered, and its duty untaken. A
	// renewal takes 0.3 s of a store that is slow.
	registrationTTL = time.Second
	// renewEvery renews often enough that one lost answer leaves a proof valid.
	renewEvery = 300 * time.Millisecond
	// watchFor is how long a watch waits: each is a call, and the store allows 30 s. The
	// connection below it is to be kept alive, so that a silent one ends sooner.
	watchFor = 28 * time.Second
	// instancesEvery is how old the last reading of the list of instances by any host may
	// get. A leaving instance has 7 s, of which a change of primary takes less than two.
	instancesEvery = 2 * time.Second
	// listingPause is the least time between two readings of that list, and how often an
	// empty one is read.
	listingPause = 250 * time.Millisecond
	// hostsEvery bounds how late the share of a dead host is used; new hosts make
	// themselves known. Each host that goes before adds hostsStep, so that a fleet makes no
	// more than some calls a second for it.
	hostsEvery = 15 * time.Second
	hostsStep  = time.Second
	// callTimeout bounds one call: a slow store answers within 0.3 s.
	callTimeout = 1500 * time.Millisecond
	// pauseAfterError spaces the calls to a store that fails.
	pauseAfterError = 100 * time.Millisecond
	// probeEvery is how often a store that is lost is tried, by one duty for all.
	probeEvery = 250 * time.Millisecond
	// confirmEvery is how old the last reading of the catalog by any host may get. A watch can
	// miss a change, when the store drops its history; a catalog has to be in force in 3 s.
	confirmEvery = 800 * time.Millisecond
	// maxRenewals bounds the renewals on their way at once.
	maxRenewals = 6
)

// Registry runs the duties towards the store.
type Registry struct {
	cfg Config
	// began is when the registry was made.
	began time.Time
	lease atomic.Uint64
	// relist is signalled when the records are to be read anew.
	relist chan struct{}
	// renewed is when the latest renewal was sent that has succeeded, as a time.Time.
	renewed atomic.Value
	// owning keeps the end of a registration and the news of the duty apart, so that a hold under
	// one that has ended isn't taken for a present one.
	owning sync.Mutex
	// fence is the number under which this host holds the duty, zero when it doesn't.
	fence  atomic.Uint64
	orders ring.Ring[leader.PromotionRequest]
	// rehost is signalled when the hosts are to be listed anew.
	rehost chan struct{}
	// reload is signalled when the catalog is to be read anew.
	reload chan struct{}
	// written is what the catalog is made of, readable the last snapshot of it that could be read.
	written  written
	readable atomic.Value
	// read is when this host last read the catalog, confirmed when it was last read by this
	// host or another.
	read, confirmed atomic.Value
	// listing is the list of instances as it was last read here; relisting is signalled when
	// it is to be read anew.
	listing   listing
	relisting chan struct{}
	up        dependency
	wait      sync.WaitGroup
	// role is the follow.Role that the host has; changed is signalled when it is to be looked at.
	role    atomic.Value
	changed chan struct{}
	// size is the number of hosts in the fleet, zero while it isn't known; told is the one that
	// stands in the store.
	size, told atomic.Int64
	// readers are the hosts of each data centre that were registered last, readersTold the names of
	// those that stand in the store for hosts that start.
	readers, readersTold atomic.Value
	// counted is set once the census has told of the registered hosts.
	counted bool
	// records are the entries of the records that are known, changes counts what has come to them;
	// both are under kept.
	kept    sync.Mutex
	records map[string]Entry
	changes uint64
}

// New returns a Registry that Run puts to work.
func New(cfg Config) *Registry {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	return &Registry{
		cfg: cfg, began: time.Now(),
		relist: make(chan struct{}, 1), rehost: make(chan struct{}, 1),
		reload: make(chan struct{}, 1), relisting: make(chan struct{}, 1),
		changed: make(chan struct{}, 1), records: map[string]Entry{},
		up: dependency{name: "store", log: cfg.Logger}, orders: ring.New[leader.PromotionRequest](maxOrders),
	}
}

func (r *Registry) hostsPrefix() string { return r.cfg.Prefix + "hosts/" }

func (r *Registry) recordsPrefix() string { return r.cfg.Prefix + "primaries/" }

// Run carries out the duties of the host's role until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	if r.cfg.ElectReaders {
		x := r.census(ctx)
		r.SetRole(x)
		r.cfg.Post(func() { r.cfg.Role(x) })
	}
	for ctx.Err() == nil {
		if r.Role() == follow.RoleReader {
			r.runReader(ctx)
			continue
		}
		select {
		case <-r.changed:
		case <-ctx.Done():
		}
	}
}

// runReader carries out a reader's duties until it has another role, then ends the registration.
func (r *Registry) runReader(ctx context.Context) {
	running, stop := context.WithCancel(ctx)
	defer stop()
	duties := []func(context.Context){
		r.register, r.watchCatalog, r.confirmCatalog, r.listInstances, r.listHosts, r.readRecords,
		r.holdDuty, r.giveOrders, r.keepSize,
	}
	for _, duty := range duties {
		r.wait.Go(func() { duty(running) })
	}
	for running.Err() == nil && r.Role() == follow.RoleReader {
		select {
		case <-r.changed:
		case <-running.Done():
		}
	}
	stop()
	r.wait.Wait()
	r.deregister()
}

func (r *Registry) deregister() {
	if l := LeaseID(r.lease.Load()); l != 0 {
		c, cancel := context.WithTimeout(context.Background(), pauseAfterError)
		defer cancel()
		// The lease runs out by itself where this call fails.
		if err := r.cfg.Store.Revoke(c, l); err != nil {
			r.cfg.Logger.Debug("registration not ended", zap.Error(err))
		}
		r.leave()
	}
}

// RefreshRecords has the records read anew.
func (r *Registry) RefreshRecords() { signal(r.relist) }

// ListHosts has the registered hosts listed anew.
func (r *Registry) ListHosts() { signal(r.rehost) }

// StoreReachable reports whether the store has answered the last calls.
func (r *Registry) StoreReachable() bool { return !r.up.lost() }

// ReloadCatalog has the catalog read anew.
func (r *Registry) ReloadCatalog() { signal(r.reload) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// register keeps the host registered: a lease, a key under it, and renewals.
func (r *Registry) register(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.enter(ctx); err != nil {
			r.up.failed(err)
			sleep.For(ctx, probeEvery)
			continue
		}
		r.renew(ctx)
		if ctx.Err() == nil {
			r.leave()
		}
	}
}

// leave takes in that the registration has ended, and the duty with it: what was held under it must
// not look certain again by the renewals of the next one.
func (r *Registry) leave() {
	r.lease.Store(0)
	r.ownDuty(Entry{})
	r.cfg.Post(r.cfg.RegistrationLost)
}

// enter registers the host and then reads the records, in this order: whoever writes a
// record afterwards finds the registration and ends it.
func (r *Registry) enter(ctx context.Context) error {
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
	// Each registration has a key of its own. One whose answer was lost may be carried out
	// seconds later; under a common key it would take the place of the one that is
	// renewed, and who ends that would end the wrong lease.
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
	latest(&r.renewed, sent)
	r.up.answered()
	r.cfg.Post(func() {
		for _, rec := range records {
			r.cfg.Record(rec)
		}
	})
	// Whoever follows this host is to have the records before it hears of the renewal.
	r.copyRecords()
	r.cfg.Post(func() { r.cfg.RegistrationRenewed(sent) })
	return nil
}

// renew renews the lease until it has ended. A renewal whose answer is late must not
// hold up the next one: connections go silent without a sign.
func (r *Registry) renew(ctx context.Context) {
	l := LeaseID(r.lease.Load())
	running, ended := context.WithCancel(ctx)
	defer ended()
	slots := make(chan struct{}, maxRenewals)
	sleep.Every(running, renewEvery, func() {
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
		r.up.answered()
		latest(&r.renewed, sent)
		r.cfg.Post(func() { r.cfg.RegistrationRenewed(sent) })
	case errors.Is(err, ErrNotFound):
		return true
	case ctx.Err() == nil:
		r.up.failed(err)
	}
	return false
}

// latest keeps the later of two moments in v: answers may come in another order than
// their calls were sent.
func latest(v *atomic.Value, at time.Time) {
	for {
		old, ok := v.Load().(time.Time)
		if ok && !at.After(old) || ok && v.CompareAndSwap(old, at) || !ok && v.CompareAndSwap(nil, at) {
			return
		}
	}
}
