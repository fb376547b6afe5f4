package registry_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/io/registry"
)

// callbackLog holds what one registry has reported.
type callbackLog struct {
	// recordedAt and promotedAt are the times of the last record and of the last promotion call.
	recordedAt, promotedAt time.Time
	mu                     sync.Mutex
	versions               []catalog.Version
	catalogList            []*catalog.Catalog
	records                []leader.Record
	hosts                  []registry.Host
	coordinator            []bool
	renewals               int
	registrationsLost      int
	promotions             []registry.Promotion
	// promoteResult is the platform's response to a promotion; if it is nil, every promotion
	// succeeds.
	promoteResult func() error
	finished      []string
	stepDowns     []string
	instances     int
}

func (s *callbackLog) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// startRegistry starts a registry that uses the store s.
func startRegistry(c *qt.C, s *memStore) (*registry.Registry, *callbackLog) {
	return startWithRank(c, s, 0)
}

// startWithRank starts a registry for which rank other hosts read first.
func startWithRank(c *qt.C, s *memStore, rank int) (*registry.Registry, *callbackLog) {
	return startWithMinPromotionTime(c, s, rank, time.Second)
}

// startWithMinPromotionTime starts a registry for a platform that takes at least minPromotionTime for
// a promotion.
func startWithMinPromotionTime(
	c *qt.C, s *memStore, rank int, minPromotionTime time.Duration,
) (*registry.Registry, *callbackLog) {
	return startWithDelay(c, s, rank, minPromotionTime, 0)
}

// startWithDelay starts a registry that doesn't become the failover coordinator for a while.
func startWithDelay(
	c *qt.C, s *memStore, rank int, minPromotionTime, coordinatorDelay time.Duration,
) (*registry.Registry, *callbackLog) {
	got := &callbackLog{}
	return start(c, config(s, got, rank, minPromotionTime, coordinatorDelay)), got
}

// start runs a registry until the test ends.
func start(c *qt.C, cfg registry.Config) *registry.Registry {
	r := registry.New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	c.Cleanup(func() { cancel(); <-done })
	return r
}

// parseCatalog parses the catalog's version, and the evacuated data centres, which have their own
// keys.
func parseCatalog(es []registry.Entry) (*catalog.Catalog, error) {
	d := &catalog.Catalog{Evacuated: fleet.NewSet[fleet.DataCentre]()}
	for _, e := range es {
		if dc, ok := strings.CutPrefix(e.Key, "catalog/"); ok {
			d.Evacuated.Add(fleet.DataCentre(dc))
			continue
		}
		if _, err := fmt.Sscan(string(e.Value), &d.Version); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// config returns the configuration of a registry that reports to got.
func config(s *memStore, got *callbackLog, rank int, minPromotionTime, coordinatorDelay time.Duration) registry.Config {
	return registry.Config{
		Store: s.store(), Self: registry.Host{Name: "h-x", DataCentre: "obihiro", Address: "127.0.0.1:1"},
		Prefix: "our/", CatalogPrefix: "catalog", CatalogKey: "catalog", InstancePrefix: "instances/",
		ParseCatalog:  parseCatalog,
		ParseInstance: func(e registry.Entry) (catalog.Instance, error) { return catalog.Instance{}, errEmpty(e) },
		Now:           time.Now,
		Rank:          func() int { return rank },
		Post:          func(f func()) { got.locked(f) },
		Catalog: func(d *catalog.Catalog) {
			got.versions, got.catalogList = append(got.versions, d.Version), append(got.catalogList, d)
		},
		Instances:           func(is []catalog.Instance, _ time.Time) { got.instances = len(is) },
		Hosts:               func(hs []registry.Host) { got.hosts = hs },
		Record:              func(r leader.Record) { got.records, got.recordedAt = append(got.records, r), time.Now() },
		RegistrationRenewed: func(time.Time) { got.renewals++ },
		RegistrationLost:    func() { got.registrationsLost++ },
		CoordinatorChanged:  func(h bool) { got.coordinator = append(got.coordinator, h) },
		PromotionFinished: func(o leader.PromotionRequest, given, refused bool) {
			got.finished = append(got.finished, fmt.Sprintf("%s %t %t", o.Service, given, refused))
		},
		StepDown: func(leader.PromotionRequest) { got.stepDowns = append(got.stepDowns, "step down") },
		Promote: func(_ context.Context, p registry.Promotion) error {
			got.mu.Lock()
			defer got.mu.Unlock()
			got.promotions, got.promotedAt = append(got.promotions, p), time.Now()
			if got.promoteResult != nil {
				return got.promoteResult()
			}
			return nil
		},
		CoordinatorDelay: coordinatorDelay, MinPromotionTime: minPromotionTime, UsualPromotionTime: time.Second,
	}
}

// until waits up to 6 s for a condition.
func until(c *qt.C, t *callbackLog, what string, ok func() bool) {
	c.Helper()
	for range 600 {
		var now bool
		t.locked(func() { now = ok() })
		if now {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("never: %s", what)
}

func TestHostRegistersAndReadsTheStore(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	s.put("catalog", "3")
	s.put("instances/a", "x")
	_, got := startRegistry(c, s)
	until(c, got, "a catalog", func() bool { return len(got.versions) > 0 && got.versions[0] == 3 })
	until(c, got, "an instance", func() bool { return got.instances == 1 })
	until(c, got, "renewals", func() bool { return got.renewals > 2 })
	until(c, got, "the coordinator role", func() bool { return len(got.coordinator) == 1 && got.coordinator[0] })
	until(c, got, "itself", func() bool { return len(got.hosts) == 1 && got.hosts[0].Name == "h-x" })
	s.put("catalog", "4")
	until(c, got, "the next catalog", func() bool { return slices.Contains(got.versions, 4) })
	s.put("catalog", "rubbish")
	s.put("catalog", "5")
	until(c, got, "the one after a broken one", func() bool { return slices.Contains(got.versions, 5) })
}

// Guards against a change that watches miss because the store discards its history. A revoked key
// would work for as long as the watch waits.
func TestChangeMissedByAWatchIsRead(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	s.put("catalog", "3")
	s.locked(func() { s.missChanges = true })
	_, got := startRegistry(c, s)
	until(c, got, "a catalog", func() bool { return len(got.versions) > 0 })
	s.put("catalog", "4")
	began := time.Now()
	until(c, got, "the next catalog", func() bool { return slices.Contains(got.versions, 4) })
	c.Assert(time.Since(began) < 2500*time.Millisecond, qt.IsTrue)
}

// Another host reports that it has just read the same catalog. This host must not make the call.
func TestCatalogReadByAnotherHostIsNotReadAgain(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	s.put("catalog", "3")
	r, got := startRegistry(c, s)
	until(c, got, "a catalog", func() bool { return len(got.versions) > 0 })
	count := func() (n int) { s.locked(func() { n = s.calls["list catalog"] }); return n }
	before := count()
	for range 25 {
		r.CatalogConfirmed(time.Now())
		time.Sleep(100 * time.Millisecond)
	}
	c.Assert(count(), qt.Equals, before)
}

// Guards against many hosts that make the same reading. With a random delay of up to a second, most
// of 77 hosts had read before the report of the first reading reached them. Now the host of rank 0
// reads, the next one reads if no report arrives, and a host that receives the digest of a newer
// list reads at once.
func TestHostsReadInOrderOfRank(t *testing.T) {
	c := qt.New(t)
	lists := map[int]int{}
	for _, rank := range []int{0, 1, 40} {
		s := newMemStore()
		s.put("catalog", "3")
		s.put("instances/a", "x")
		r, got := startWithRank(c, s, rank)
		until(c, got, "an instance", func() bool { return got.instances == 1 })
		time.Sleep(4500 * time.Millisecond)
		s.locked(func() { lists[rank] = s.calls["list catalog"] + s.calls["list instances/"] })
		s.put("instances/b", "x")
		r.InstancesConfirmed(1, time.Now().Add(time.Second))
		began := time.Now()
		until(c, got, "the newer list", func() bool { return got.instances == 2 })
		c.Check(time.Since(began) < time.Second, qt.IsTrue)
	}
	c.Check(lists[0] > lists[1] && lists[1] > lists[40], qt.IsTrue, qt.Commentf("readings by rank: %v", lists))
}

// Guards against hosts that report each other's readings again. In a fleet of 80 hosts each report
// left out its own delay, so that the reading never became old, no host read again, and an instance
// that had left stayed in use. Two hosts that receive each other's reports half a second late still
// have to read.
func TestReportedReadingsAreNotReportedAgain(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	s.put("catalog", "3")
	s.put("instances/a", "x")
	r1, got := startWithRank(c, s, 1)
	r2, got2 := startWithRank(c, s, 2)
	until(c, got, "an instance", func() bool { return got.instances == 1 })
	until(c, got2, "an instance", func() bool { return got2.instances == 1 })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const delay = 500 * time.Millisecond
	for _, pair := range [][2]*registry.Registry{{r1, r2}, {r2, r1}} {
		go func() {
			for ctx.Err() == nil {
				digest, at := pair[0].InstancesDigest()
				read := pair[0].CatalogReadAt()
				time.Sleep(delay)
				pair[1].InstancesConfirmed(digest, at.Add(delay))
				pair[1].CatalogConfirmed(read.Add(delay))
			}
		}()
	}
	time.Sleep(time.Second)
	s.put("instances/b", "x")
	began := time.Now()
	until(c, got, "the second instance", func() bool { return got.instances == 2 })
	until(c, got2, "the second instance", func() bool { return got2.instances == 2 })
	c.Assert(time.Since(began) < 5*time.Second, qt.IsTrue)
}

// A promotion request is carried out in this order: first its record is written, then the
// registrations of the other hosts end, and only then the platform is called, with a fencing token
// that the store has never issued before.
func TestPromotionRevokesRegistrationsFirst(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	r, got := startRegistry(c, s)
	until(c, got, "the coordinator role", func() bool { return len(got.coordinator) == 1 })
	other, err := s.grant(context.Background(), time.Minute)
	c.Assert(err, qt.IsNil)
	b, err := json.Marshal(registry.Host{Name: "other", Lease: other})
	c.Assert(err, qt.IsNil)
	_, err = s.commit(context.Background(), registry.Txn{
		Put: []registry.Put{{Key: "our/hosts/other/1", Value: b}}, Lease: other,
	})
	c.Assert(err, qt.IsNil)
	r.RequestPromotion(leader.PromotionRequest{Service: "orders", Primary: "b", Former: "a", Term: 2,
		Reason: leader.ReasonLeaving})
	until(c, got, "the promotion", func() bool { return len(got.promotions) == 1 })
	c.Assert(s.renew(context.Background(), other), qt.ErrorIs, registry.ErrNotFound)
	got.locked(func() {
		c.Assert(got.records, qt.HasLen, 1)
		c.Assert(got.records[0].Primary, qt.Equals, got.promotions[0].Instance)
		c.Assert(got.promotions[0].Fence > 10, qt.IsTrue)
		c.Assert(got.registrationsLost, qt.Equals, 0)
	})
	until(c, got, "the end of the former primary", func() bool { return len(got.stepDowns) == 1 })
}

// Guards against a fleet that starts at once, before any instance, and whose hosts all read the
// empty list four times a second until they have received each other's reports.
func TestEmptyListIsNotReadBeforeOthersAreHeard(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	_, got := startRegistry(c, s)
	until(c, got, "renewals", func() bool { return got.renewals > 2 })
	s.locked(func() { c.Check(s.calls["list instances/"], qt.Equals, 1) })
	s.put("instances/a", "x")
	until(c, got, "an instance", func() bool { return got.instances == 1 })
}

// Guards against a failover coordinator that has just started and has never connected to the lost
// primary. Other hosts knew that primary, but waited 3 s for the coordinator to request a
// promotion.
func TestRecentlyStartedHostIsNotCoordinator(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	const delay = 600 * time.Millisecond
	began := time.Now()
	_, got := startWithDelay(c, s, 0, time.Second, delay)
	until(c, got, "renewals", func() bool { return got.renewals > 1 })
	got.locked(func() { c.Assert(got.coordinator, qt.HasLen, 0) })
	until(c, got, "the coordinator role", func() bool { return len(got.coordinator) == 1 })
	c.Assert(time.Since(began) >= delay, qt.IsTrue)
}

// Guards against a promotion that takes effect while another host still regards the former primary
// as confirmed, because the platform is quicker than a renewal is valid.
func TestPromotionWaitsWhereThePlatformIsQuick(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	const minPromotionTime = 500 * time.Millisecond
	r, got := startWithMinPromotionTime(c, s, 0, minPromotionTime)
	until(c, got, "the coordinator role", func() bool { return len(got.coordinator) == 1 })
	r.RequestPromotion(leader.PromotionRequest{Service: "orders", Primary: "b", Former: "a", Term: 2,
		Reason: leader.ReasonUnreachable})
	until(c, got, "the record", func() bool { return len(got.records) == 1 })
	until(c, got, "the promotion", func() bool { return len(got.promotions) == 1 })
	// Registrations end after the record is written, so that the last renewal was before the
	// record.
	got.locked(func() {
		c.Assert(got.promotedAt.Sub(got.recordedAt)+minPromotionTime >= leader.LeaseValidity, qt.IsTrue)
	})
}

// The response to the write of a record is lost after it was carried out. Giving up would leave the
// group with a record and no promotion. A second write would fail on its own condition.
func TestRecordWhoseResponseWasLostIsReadBack(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	r, got := startRegistry(c, s)
	until(c, got, "the coordinator role", func() bool { return len(got.coordinator) == 1 })
	s.locked(func() { s.loseCommitAnswers = 1 })
	r.RequestPromotion(leader.PromotionRequest{Service: "orders", Primary: "b", Term: 2, Reason: leader.ReasonUnreachable})
	until(c, got, "the promotion", func() bool { return len(got.promotions) == 1 })
}

// Two hosts request a promotion at the same time. The host with the older records must not call the
// platform: two concurrent promotions make two primaries.
func TestOutdatedPromotionRequestIsNotCarriedOut(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	r, got := startRegistry(c, s)
	until(c, got, "the coordinator role", func() bool { return len(got.coordinator) == 1 })
	s.put("our/primaries/orders", `{"service":"orders","term":2,"primary":"c"}`)
	r.RequestPromotion(leader.PromotionRequest{Service: "orders", Primary: "b", Term: 2, Reason: leader.ReasonUnreachable})
	until(c, got, "the outcome", func() bool { return len(got.finished) == 1 })
	got.locked(func() {
		c.Assert(got.finished, qt.DeepEquals, []string{"orders false false"})
		c.Assert(got.promotions, qt.HasLen, 0)
	})
}

// A promotion call gets no response and is repeated. Meanwhile another promotion was requested. The
// first call would then be carried out last, and replace the primary that all hosts have a record
// of.
func TestPromotionIsNotRepeatedAfterALaterRequest(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	r, got := startRegistry(c, s)
	until(c, got, "the coordinator role", func() bool { return len(got.coordinator) == 1 })
	got.promoteResult = func() error {
		if len(got.promotions) == 1 {
			s.put("our/primaries/orders", `{"service":"orders","term":3,"primary":"c"}`)
		}
		return errDown
	}
	r.RequestPromotion(leader.PromotionRequest{Service: "orders", Primary: "b", Term: 2, Reason: leader.ReasonUnreachable})
	until(c, got, "the outcome", func() bool { return len(got.finished) == 1 })
	got.locked(func() {
		c.Assert(got.promotions, qt.HasLen, 1)
		c.Assert(got.finished, qt.DeepEquals, []string{"orders false false"})
	})
}

// The response to a promotion call is lost, and the next call is refused because the instance isn't
// running. It may have been running at the first call: if this counted as a refusal, a second
// instance would be promoted beside it.
func TestRefusalAfterALostResponseIsNotTakenForOne(t *testing.T) {
	c := qt.New(t)
	r, got := startRegistry(c, newMemStore())
	until(c, got, "the coordinator role", func() bool { return len(got.coordinator) == 1 })
	got.promoteResult = func() error {
		if len(got.promotions) == 1 {
			return errDown
		}
		return registry.ErrNotRunning
	}
	r.RequestPromotion(leader.PromotionRequest{Service: "orders", Primary: "b", Term: 2, Reason: leader.ReasonUnreachable})
	until(c, got, "the outcome", func() bool { return len(got.finished) == 1 })
	got.locked(func() { c.Assert(got.finished, qt.DeepEquals, []string{"orders false false"}) })
}

// Another host has revoked this host's registration, and with it the coordinator key, for a
// promotion of its own. The watch of the key misses that, as after a lost connection. When the host
// registers again, its old coordinator key must not look valid: the host would promote with its old
// fencing token, concurrently with the other host.
func TestCoordinatorRoleEndsWithTheRegistration(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	r, got := startRegistry(c, s)
	until(c, got, "the coordinator role", func() bool { return len(got.coordinator) == 1 })
	s.locked(func() {
		s.missChanges = true
		for l := range s.leases {
			s.expireLease(l)
		}
	})
	s.put("our/duty", `"other"`)
	until(c, got, "a new registration", func() bool { return got.registrationsLost == 1 && got.renewals > 1 })
	r.RequestPromotion(leader.PromotionRequest{Service: "orders", Primary: "b", Term: 2, Reason: leader.ReasonUnreachable})
	until(c, got, "the outcome", func() bool { return len(got.finished) == 1 })
	got.locked(func() {
		c.Assert(got.promotions, qt.HasLen, 0)
		c.Assert(got.coordinator, qt.DeepEquals, []bool{true, false})
	})
}

// The store becomes unavailable and recovers. Meanwhile one task probes it for all: a dozen calls a
// second from each host would keep it overloaded.
func TestUnavailableStoreIsProbedByOneTask(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	s.put("catalog", "3")
	_, got := startRegistry(c, s)
	until(c, got, "a catalog", func() bool { return len(got.versions) > 0 })
	s.locked(func() { s.down = true })
	time.Sleep(1500 * time.Millisecond)
	total := func() (n int) {
		s.locked(func() {
			for _, k := range s.calls {
				n += k
			}
		})
		return n
	}
	before := total()
	time.Sleep(2 * time.Second)
	c.Assert(total()-before <= 20, qt.IsTrue, qt.Commentf("%d calls in 2 s", total()-before))
	s.locked(func() { s.down = false })
	s.put("catalog", "4")
	until(c, got, "the next catalog", func() bool { return slices.Contains(got.versions, 4) })
}

// errEmpty returns an error for an entry without a value.
func errEmpty(e registry.Entry) error {
	if len(e.Value) == 0 {
		return errors.New("an empty entry")
	}
	return nil
}
