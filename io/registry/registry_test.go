package registry_test

import (
	"context"
	"encoding/json"
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

// seen is what one registry has told.
type seen struct {
	// recordedAt and promotedAt are when the last record and the last order came.
	recordedAt, promotedAt time.Time
	mu                     sync.Mutex
	versions               []catalog.Version
	whole                  []*catalog.Catalog
	records                []leader.Record
	hosts                  []registry.Host
	holds                  []bool
	renewed                int
	lost                   int
	promoted               []registry.Promotion
	// answer is what the platform says to an order; nil takes each.
	answer    func() error
	ordered   []string
	steps     []string
	instances int
}

func (s *seen) get(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// join starts a registry before the shelf.
func join(c *qt.C, s *shelf) (*registry.Registry, *seen) { return joinAt(c, s, 0) }

// joinAt starts one before which some others go in reading for all.
func joinAt(c *qt.C, s *shelf, rank int) (*registry.Registry, *seen) {
	return joinWith(c, s, rank, time.Second)
}

// joinWith starts one for a platform that carries orders out in some time at least.
func joinWith(c *qt.C, s *shelf, rank int, least time.Duration) (*registry.Registry, *seen) {
	return joinYoung(c, s, rank, least, 0)
}

// joinYoung starts one that leaves the duty to others for a while.
func joinYoung(
	c *qt.C, s *shelf, rank int, least, youth time.Duration,
) (*registry.Registry, *seen) {
	t := &seen{}
	return start(c, config(s, t, rank, least, youth)), t
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

// parseCatalog reads a version, and the data centres that have keys of their own beside it.
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

// config is that of a registry which tells t.
func config(s *shelf, t *seen, rank int, least, youth time.Duration) registry.Config {
	return registry.Config{
		Store: s.store(), Self: registry.Host{Name: "h-x", DataCentre: "obihiro", Address: "127.0.0.1:1"},
		Prefix: "our/", CatalogPrefix: "catalog", CatalogKey: "catalog", InstancePrefix: "instances/",
		ParseCatalog:  parseCatalog,
		ParseInstance: func(e registry.Entry) (catalog.Instance, bool) { return catalog.Instance{}, len(e.Value) > 0 },
		Now:           time.Now,
		Rank:          func() int { return rank },
		Post:          func(f func()) { t.get(f) },
		Catalog: func(d *catalog.Catalog) {
			t.versions, t.whole = append(t.versions, d.Version), append(t.whole, d)
		},
		Instances:           func(is []catalog.Instance, _ time.Time) { t.instances = len(is) },
		Hosts:               func(hs []registry.Host) { t.hosts = hs },
		Record:              func(r leader.Record) { t.records, t.recordedAt = append(t.records, r), time.Now() },
		RegistrationRenewed: func(time.Time) { t.renewed++ },
		RegistrationLost:    func() { t.lost++ },
		CoordinatorChanged:  func(h bool) { t.holds = append(t.holds, h) },
		PromotionFinished: func(o leader.PromotionRequest, given, refused bool) {
			t.ordered = append(t.ordered, fmt.Sprintf("%s %t %t", o.Service, given, refused))
		},
		StepDown: func(leader.PromotionRequest) { t.steps = append(t.steps, "step down") },
		Promote: func(_ context.Context, p registry.Promotion) error {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.promoted, t.promotedAt = append(t.promoted, p), time.Now()
			if t.answer != nil {
				return t.answer()
			}
			return nil
		},
		CoordinatorDelay: youth, PromotionLeast: least, PromotionDelay: time.Second,
	}
}

// until waits for something to come true.
func until(c *qt.C, t *seen, what string, ok func() bool) {
	c.Helper()
	for range 600 {
		var now bool
		t.get(func() { now = ok() })
		if now {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("never: %s", what)
}

func TestHostRegistersAndHears(t *testing.T) {
	c := qt.New(t)
	s := newShelf()
	s.put("catalog", "3")
	s.put("instances/a", "x")
	_, t1 := join(c, s)
	until(c, t1, "a catalog", func() bool { return len(t1.versions) > 0 && t1.versions[0] == 3 })
	until(c, t1, "an instance", func() bool { return t1.instances == 1 })
	until(c, t1, "renewals", func() bool { return t1.renewed > 2 })
	until(c, t1, "the duty", func() bool { return len(t1.holds) == 1 && t1.holds[0] })
	until(c, t1, "itself", func() bool { return len(t1.hosts) == 1 && t1.hosts[0].Name == "h-x" })
	s.put("catalog", "4")
	until(c, t1, "the next catalog", func() bool { return slices.Contains(t1.versions, 4) })
	s.put("catalog", "rubbish")
	s.put("catalog", "5")
	until(c, t1, "the one after a broken one", func() bool { return slices.Contains(t1.versions, 5) })
}

// The store drops its history, and watches hear nothing of the changes in the gap. A key
// that was withdrawn then went on working for as long as the watch waited.
func TestChangeThatAWatchMissedIsReadAllTheSame(t *testing.T) {
	c := qt.New(t)
	s := newShelf()
	s.put("catalog", "3")
	s.set(func() { s.deaf = true })
	_, t1 := join(c, s)
	until(c, t1, "a catalog", func() bool { return len(t1.versions) > 0 })
	s.put("catalog", "4")
	began := time.Now()
	until(c, t1, "the next catalog", func() bool { return slices.Contains(t1.versions, 4) })
	c.Assert(time.Since(began) < 2500*time.Millisecond, qt.IsTrue)
}

// Another host tells that it has just read the same catalog. This one spares the call.
func TestCatalogReadByAnotherHostIsNotReadAgain(t *testing.T) {
	c := qt.New(t)
	s := newShelf()
	s.put("catalog", "3")
	r, t1 := join(c, s)
	until(c, t1, "a catalog", func() bool { return len(t1.versions) > 0 })
	count := func() (n int) { s.set(func() { n = s.calls["list catalog"] }); return n }
	before := count()
	for range 25 {
		r.CatalogConfirmed(time.Now())
		time.Sleep(100 * time.Millisecond)
	}
	c.Assert(count(), qt.Equals, before)
}

// Seventy-seven hosts each waited for a random part of a second for another one to read first,
// and most had read before its news came around. Now the first reads, the next one while
// nothing comes from it, and one that is told of a newer list reads at once.
func TestHostsReadInTurns(t *testing.T) {
	c := qt.New(t)
	lists := map[int]int{}
	for _, rank := range []int{0, 1, 40} {
		s := newShelf()
		s.put("catalog", "3")
		s.put("instances/a", "x")
		r, t1 := joinAt(c, s, rank)
		until(c, t1, "an instance", func() bool { return t1.instances == 1 })
		time.Sleep(4500 * time.Millisecond)
		s.set(func() { lists[rank] = s.calls["list catalog"] + s.calls["list instances/"] })
		s.put("instances/b", "x")
		r.InstancesConfirmed(1, time.Now().Add(time.Second))
		began := time.Now()
		until(c, t1, "the newer list", func() bool { return t1.instances == 2 })
		c.Check(time.Since(began) < time.Second, qt.IsTrue)
	}
	c.Check(lists[0] > lists[1] && lists[1] > lists[40], qt.IsTrue, qt.Commentf("readings by rank: %v", lists))
}

// Eighty hosts told each other on what they had heard of a reading, each leaving out the time
// on the way. The reading never grew old, nobody read again, and an instance that had left was
// used on. Two hosts that hear each other half a second late still read.
func TestReadingsAreNotToldOn(t *testing.T) {
	c := qt.New(t)
	s := newShelf()
	s.put("catalog", "3")
	s.put("instances/a", "x")
	r1, t1 := joinAt(c, s, 1)
	r2, t2 := joinAt(c, s, 2)
	until(c, t1, "an instance", func() bool { return t1.instances == 1 })
	until(c, t2, "an instance", func() bool { return t2.instances == 1 })
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
	until(c, t1, "the second instance", func() bool { return t1.instances == 2 })
	until(c, t2, "the second instance", func() bool { return t2.instances == 2 })
	c.Assert(time.Since(began) < 5*time.Second, qt.IsTrue)
}

// An order is given: first its record, then the end of the other hosts' registrations, and
// only then the order itself, under a number that the store has never given before.
func TestOrderEndsRegistrationsFirst(t *testing.T) {
	c := qt.New(t)
	s := newShelf()
	r, t1 := join(c, s)
	until(c, t1, "the duty", func() bool { return len(t1.holds) == 1 })
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
	until(c, t1, "the order", func() bool { return len(t1.promoted) == 1 })
	c.Assert(s.renew(context.Background(), other), qt.ErrorIs, registry.ErrNotFound)
	t1.get(func() {
		c.Assert(t1.records, qt.HasLen, 1)
		c.Assert(t1.records[0].Primary, qt.Equals, t1.promoted[0].Instance)
		c.Assert(t1.promoted[0].Fence > 10, qt.IsTrue)
		c.Assert(t1.lost, qt.Equals, 0)
	})
	until(c, t1, "the end of the former primary", func() bool { return len(t1.steps) == 1 })
}

// Guards against a fleet that starts at once, before any instance, and whose hosts all read the empty
// list four times a second until they have heard of each other.
func TestEmptyListIsNotReadBeforeOthersAreHeard(t *testing.T) {
	c := qt.New(t)
	s := newShelf()
	_, t1 := join(c, s)
	until(c, t1, "renewals", func() bool { return t1.renewed > 2 })
	s.set(func() { c.Check(s.calls["list instances/"], qt.Equals, 1) })
	s.put("instances/a", "x")
	until(c, t1, "an instance", func() bool { return t1.instances == 1 })
}

// Guards against a duty that falls to a host which has just started and has never met the primary
// that is lost, while others know: they waited 3 s for it to order a successor.
func TestYoungHostLeavesTheDutyToOthers(t *testing.T) {
	c := qt.New(t)
	s := newShelf()
	const youth = 600 * time.Millisecond
	began := time.Now()
	_, t1 := joinYoung(c, s, 0, time.Second, youth)
	until(c, t1, "renewals", func() bool { return t1.renewed > 1 })
	t1.get(func() { c.Assert(t1.holds, qt.HasLen, 0) })
	until(c, t1, "the duty", func() bool { return len(t1.holds) == 1 })
	c.Assert(time.Since(began) >= youth, qt.IsTrue)
}

// Guards against an order that takes effect while another host still holds the former primary
// proved: the platform is quicker than a renewed registration is valid.
func TestOrderWaitsWhereThePlatformIsQuick(t *testing.T) {
	c := qt.New(t)
	s := newShelf()
	const least = 500 * time.Millisecond
	r, t1 := joinWith(c, s, 0, least)
	until(c, t1, "the duty", func() bool { return len(t1.holds) == 1 })
	r.RequestPromotion(leader.PromotionRequest{Service: "orders", Primary: "b", Former: "a", Term: 2,
		Reason: leader.ReasonUnreachable})
	until(c, t1, "the record", func() bool { return len(t1.records) == 1 })
	until(c, t1, "the order", func() bool { return len(t1.promoted) == 1 })
	// Registrations are ended after the record, so that the last of them was renewed before that.
	t1.get(func() { c.Assert(t1.promotedAt.Sub(t1.recordedAt)+least >= leader.LeaseValidity, qt.IsTrue) })
}

// The answer to the record is lost after it was written. Giving up would leave the group
// with a record and no order; writing it again would fail on its own condition.
func TestRecordWhoseAnswerWasLostIsReadBack(t *testing.T) {
	c := qt.New(t)
	s := newShelf()
	r, t1 := join(c, s)
	until(c, t1, "the duty", func() bool { return len(t1.holds) == 1 })
	s.set(func() { s.lose = 1 })
	r.RequestPromotion(leader.PromotionRequest{Service: "orders", Primary: "b", Term: 2, Reason: leader.ReasonUnreachable})
	until(c, t1, "the order", func() bool { return len(t1.promoted) == 1 })
}

// Two hosts decide at once, by what each knows. The one whose knowledge is older must not
// give its order: two on their way make two primaries.
func TestOrderByOldKnowledgeIsNotGiven(t *testing.T) {
	c := qt.New(t)
	s := newShelf()
	r, t1 := join(c, s)
	until(c, t1, "the duty", func() bool { return len(t1.holds) == 1 })
	s.put("our/primaries/orders", `{"service":"orders","term":2,"primary":"c"}`)
	r.RequestPromotion(leader.PromotionRequest{Service: "orders", Primary: "b", Term: 2, Reason: leader.ReasonUnreachable})
	until(c, t1, "the outcome", func() bool { return len(t1.ordered) == 1 })
	t1.get(func() {
		c.Assert(t1.ordered, qt.DeepEquals, []string{"orders false false"})
		c.Assert(t1.promoted, qt.HasLen, 0)
	})
}

// An order gets no answer, and is given again and again. Meanwhile the host has decided otherwise:
// the first order would then be carried out last, and put an instance in the place of the primary
// that all hosts have a record of.
func TestOrderIsNotRepeatedAfterAnother(t *testing.T) {
	c := qt.New(t)
	s := newShelf()
	r, t1 := join(c, s)
	until(c, t1, "the duty", func() bool { return len(t1.holds) == 1 })
	t1.answer = func() error {
		if len(t1.promoted) == 1 {
			s.put("our/primaries/orders", `{"service":"orders","term":3,"primary":"c"}`)
		}
		return errDown
	}
	r.RequestPromotion(leader.PromotionRequest{Service: "orders", Primary: "b", Term: 2, Reason: leader.ReasonUnreachable})
	until(c, t1, "the outcome", func() bool { return len(t1.ordered) == 1 })
	t1.get(func() {
		c.Assert(t1.promoted, qt.HasLen, 1)
		c.Assert(t1.ordered, qt.DeepEquals, []string{"orders false false"})
	})
}

// The answer to an order is lost, and the next one says that the instance isn't running. It may
// have been a moment before: to take this for a refusal would order another beside it.
func TestRefusalAfterALostAnswerRefusesNothing(t *testing.T) {
	c := qt.New(t)
	r, t1 := join(c, newShelf())
	until(c, t1, "the duty", func() bool { return len(t1.holds) == 1 })
	t1.answer = func() error {
		if len(t1.promoted) == 1 {
			return errDown
		}
		return registry.ErrNotRunning
	}
	r.RequestPromotion(leader.PromotionRequest{Service: "orders", Primary: "b", Term: 2, Reason: leader.ReasonUnreachable})
	until(c, t1, "the outcome", func() bool { return len(t1.ordered) == 1 })
	t1.get(func() { c.Assert(t1.ordered, qt.DeepEquals, []string{"orders false false"}) })
}

// Another host has ended this one's registration, and with it its duty, for an order of its own.
// The watch of the duty hears nothing, as after a lost connection. The host registers again, and
// with that its hold looked certain: it gave orders under the number that it had before, beside
// the other host's.
func TestDutyEndsWithTheRegistration(t *testing.T) {
	c := qt.New(t)
	s := newShelf()
	r, t1 := join(c, s)
	until(c, t1, "the duty", func() bool { return len(t1.holds) == 1 })
	s.set(func() {
		s.deaf = true
		for l := range s.leases {
			s.end(l)
		}
	})
	s.put("our/duty", `"other"`)
	until(c, t1, "a new registration", func() bool { return t1.lost == 1 && t1.renewed > 1 })
	r.RequestPromotion(leader.PromotionRequest{Service: "orders", Primary: "b", Term: 2, Reason: leader.ReasonUnreachable})
	until(c, t1, "the outcome", func() bool { return len(t1.ordered) == 1 })
	t1.get(func() {
		c.Assert(t1.promoted, qt.HasLen, 0)
		c.Assert(t1.holds, qt.DeepEquals, []bool{true, false})
	})
}

// The store goes away and comes back. Meanwhile one duty tries it for all: a dozen calls a
// second from each host would keep it down.
func TestLostStoreIsTriedSparingly(t *testing.T) {
	c := qt.New(t)
	s := newShelf()
	s.put("catalog", "3")
	_, t1 := join(c, s)
	until(c, t1, "a catalog", func() bool { return len(t1.versions) > 0 })
	s.set(func() { s.down = true })
	time.Sleep(1500 * time.Millisecond)
	total := func() (n int) {
		s.set(func() {
			for _, k := range s.calls {
				n += k
			}
		})
		return n
	}
	before := total()
	time.Sleep(2 * time.Second)
	c.Assert(total()-before <= 20, qt.IsTrue, qt.Commentf("%d calls in 2 s", total()-before))
	s.set(func() { s.down = false })
	s.put("catalog", "4")
	until(c, t1, "the next catalog", func() bool { return slices.Contains(t1.versions, 4) })
}
