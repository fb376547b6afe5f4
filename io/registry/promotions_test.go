package registry_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/io/registry"
)

// requestInOneRound requests a promotion of one group, and while that is being carried out those of n others, which
// then wait together. For the last of them most operations wait.
func requestInOneRound(c *qt.C, r *registry.Registry, s *memStore, got *callbackLog, n int) {
	queued := make(chan struct{})
	s.locked(func() {
		s.afterList = func(prefix string) {
			if prefix == "our/hosts/" {
				<-queued
			}
		}
	})
	r.RequestPromotion(leader.PromotionRequest{
		Service: "first", Primary: "b", Former: "a", Term: 2, Reason: leader.ReasonUnreachable,
	})
	until(c, got, "the first record", func() bool { return len(got.records) == 1 })
	requestPromotions(r, n)
	close(queued)
	until(c, got, "the promotions", func() bool { return len(got.finished) == n+1 })
}

// requestPromotions requests promotions of n groups. For the last of them most operations wait.
func requestPromotions(r *registry.Registry, n int) {
	for g := range n {
		r.RequestPromotion(leader.PromotionRequest{
			Service: fleet.Service(fmt.Sprintf("s%03d", g)), Primary: "b", Former: "a", Term: 2,
			Reason: leader.ReasonUnreachable, Waiting: g,
		})
	}
}

// startCoordinator starts the registry of a host that is the failover coordinator.
func startCoordinator(c *qt.C, s *memStore, configure func(cfg *registry.Config)) (*registry.Registry, *callbackLog) {
	got := &callbackLog{}
	cfg := config(s, got, 0, time.Second, 0)
	configure(&cfg)
	r := start(c, cfg)
	until(c, got, "the coordinator role", func() bool { return len(got.coordinator) == 1 })
	return r, got
}

// Guards against the loss of a data centre that leads many groups: requests beyond the sixteenth were dropped, and
// each of the others ended the registrations of all readers, and with them the proofs of all groups.
func TestPromotionsOfManyGroupsShareARevocation(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{10, 100} {
		s := newMemStore()
		r, got := startCoordinator(c, s, func(*registry.Config) {})
		var before int
		s.locked(func() { before = s.calls["list our/hosts/"] })
		began := time.Now()
		requestInOneRound(c, r, s, got, n)
		got.locked(func() { c.Check(got.promotions, qt.HasLen, n+1) })
		// Besides the two rounds, a host that knows no other lists the registrations twice a second.
		most := 2 + 1 + int(time.Since(began)/(500*time.Millisecond))
		s.locked(func() {
			lists := s.calls["list our/hosts/"] - before
			c.Check(lists <= most, qt.IsTrue, qt.Commentf("%d lists of the registrations for %d groups", lists, n))
		})
	}
}

// Guards against a platform that refuses promotions which come too fast, and against groups with waiting callers
// that come after others.
func TestPromotionsArePacedWithMostCallersFirst(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	r, got := startCoordinator(c, s, func(cfg *registry.Config) { cfg.PromotionRate = 50 })
	began := time.Now()
	requestInOneRound(c, r, s, got, 20)
	c.Check(time.Since(began) >= 19*20*time.Millisecond, qt.IsTrue)
	var order []fleet.Service
	got.locked(func() {
		for _, p := range got.promotions {
			order = append(order, p.Service)
		}
	})
	rest := order[1:]
	c.Check(slices.IsSortedFunc(rest, func(a, b fleet.Service) int {
		return -slices.Compare([]fleet.Service{a}, []fleet.Service{b})
	}), qt.IsTrue, qt.Commentf("%v", order))
}

// Guards against the requests of other groups that fail with one whose record another host has changed.
func TestChangedRecordFailsOnlyItsOwnPromotion(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	r, got := startCoordinator(c, s, func(*registry.Config) {})
	s.put("our/primaries/s004", `{"service":"s004","term":2,"primary":"c"}`)
	requestPromotions(r, 10)
	until(c, got, "the outcomes", func() bool { return len(got.finished) == 10 })
	got.locked(func() {
		c.Check(got.promotions, qt.HasLen, 9)
		c.Check(got.finished, qt.Contains, "s004 false false")
	})
}

// Guards against a promotion that the platform has refused for its rate and that then counts as one which may
// have been accepted: an instance that isn't running would stay the only candidate.
func TestRefusalForTheRateDoesNotCountAsAccepted(t *testing.T) {
	c := qt.New(t)
	r, got := startCoordinator(c, newMemStore(), func(*registry.Config) {})
	got.promoteResult = func() error {
		if len(got.promotions) == 1 {
			return registry.ErrNotDone
		}
		return registry.ErrNotRunning
	}
	requestPromotions(r, 1)
	until(c, got, "the outcome", func() bool { return len(got.finished) == 1 })
	got.locked(func() { c.Check(got.finished, qt.DeepEquals, []string{"s000 false true"}) })
}

// eventLoop queues functions until they are run, as a busy event loop does.
type eventLoop struct {
	mu    sync.Mutex
	queue []func()
}

func (l *eventLoop) post(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(l.queue, f)
}

func (l *eventLoop) run() {
	l.mu.Lock()
	queue := l.queue
	l.queue = nil
	l.mu.Unlock()
	for _, f := range queue {
		f()
	}
}

// runUntil runs the loop, a batch at a time, until a condition holds.
func (l *eventLoop) runUntil(c *qt.C, what string, ok func() bool) {
	c.Helper()
	for range 600 {
		l.run()
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("never: %s", what)
}

// Guards against a record that is lost between its writing and the event loop, which takes it in later: requests that
// change only the record were removed from the list of records that was still to be passed on.
func TestRecordsReachABusyEventLoop(t *testing.T) {
	c := qt.New(t)
	s, got := newMemStore(), &callbackLog{}
	cfg := config(s, got, 0, time.Second, 0)
	l := &eventLoop{}
	cfg.Post = l.post
	r := start(c, cfg)
	l.runUntil(c, "the coordinator role", func() bool { return len(got.coordinator) == 1 })
	for n := range 20 {
		o := leader.PromotionRequest{
			Service: fleet.Service(fmt.Sprintf("s%03d", n)), Primary: "b", Former: "a", Term: 2,
			Reason: leader.ReasonUnreachable, Waiting: n,
		}
		if n%3 != 0 {
			o.Reason = leader.ReasonAlreadyPrimary
		}
		r.RequestPromotion(o)
	}
	// The loop is busy until the last promotion was requested.
	until(c, got, "the promotions", func() bool { return len(got.promotions) == 7 })
	l.runUntil(c, "the outcomes", func() bool { return len(got.finished) == 20 })
	services := fleet.NewSet[fleet.Service]()
	for _, rec := range got.records {
		c.Check(rec.Primary, qt.Equals, fleet.Instance("b"))
		services.Add(rec.Service)
	}
	c.Check(services, qt.HasLen, 20)
}

// Guards against a group without a primary for good: the host's record isn't the store's, each further write is refused
// on the revision that the host has, and nothing has the record read again.
func TestRefusedRecordIsLearnt(t *testing.T) {
	c := qt.New(t)
	const key = "our/primaries/s000"
	for _, t := range []struct {
		name  string
		cause func(s *memStore)
	}{
		{"another host has written one", func(s *memStore) { s.put(key, `{"service":"s000","term":3,"primary":"c"}`) }},
		{"an own write was carried out late", func(s *memStore) {
			s.put(key, `{"service":"s000","term":2,"primary":"b","former":"a","by":"h-x"}`)
		}},
		{"it can't be read", func(s *memStore) { s.put(key, `{"service":"s0`) }},
		{"it names another group", func(s *memStore) { s.put(key, `{"service":"s001","term":3,"primary":"c"}`) }},
		{"there is none any more", func(s *memStore) { s.locked(func() { s.advanceRevision(); delete(s.entries, key) }) }},
	} {
		s := newMemStore()
		s.put(key, `{"service":"s000","term":1,"primary":"a"}`)
		r, got := startCoordinator(c, s, func(*registry.Config) {})
		until(c, got, "the record", func() bool { return len(got.records) > 0 })
		t.cause(s)
		for n := range 2 {
			o := leader.PromotionRequest{
				Service: "s000", Primary: "b", Former: "a", Term: 9, Reason: leader.ReasonUnreachable,
			}
			got.locked(func() { o.BaseRevision = got.records[len(got.records)-1].Revision })
			r.RequestPromotion(o)
			until(c, got, "the outcome", func() bool { return len(got.finished) == n+1 })
			if len(got.promotions) > 0 {
				break
			}
		}
		got.locked(func() {
			c.Check(got.promotions, qt.HasLen, 1, qt.Commentf("%s", t.name))
			for _, rec := range got.records {
				c.Check(rec.Service, qt.Equals, fleet.Service("s000"), qt.Commentf("%s", t.name))
			}
		})
	}
}

// Guards against an outdated record that stays, as the reading that was requested has failed.
func TestRecordsAreReadOnceTheStoreIsBack(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	r, got := startCoordinator(c, s, func(*registry.Config) {})
	s.locked(func() { s.down = true })
	r.RefreshRecords()
	time.Sleep(200 * time.Millisecond)
	s.put("our/primaries/s000", `{"service":"s000","term":2,"primary":"b"}`)
	s.locked(func() { s.down = false })
	until(c, got, "the record", func() bool { return len(got.records) == 1 })
}

// Guards against a leaving primary that is stepped down for a promotion which the platform has never accepted: its
// group would have none until the next one.
func TestFormerPrimaryStepsDownOnlyForAnAcceptedPromotion(t *testing.T) {
	c := qt.New(t)
	for _, accepted := range []bool{false, true} {
		r, got := startCoordinator(c, newMemStore(), func(cfg *registry.Config) {
			cfg.UsualPromotionTime = 200 * time.Millisecond
		})
		got.promoteResult = func() error {
			if accepted {
				return nil
			}
			return errDown
		}
		r.RequestPromotion(leader.PromotionRequest{
			Service: "s", Primary: "b", Former: "a", Term: 2, Reason: leader.ReasonLeaving,
		})
		until(c, got, "the outcome", func() bool { return len(got.finished) == 1 })
		time.Sleep(300 * time.Millisecond)
		got.locked(func() { c.Check(len(got.stepDowns) > 0, qt.Equals, accepted) })
	}
}
