package registry_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/follow"
	"skylarkdeal/io/registry"
)

// gate blocks its first caller after it is closed, until it is opened.
type gate struct {
	mu      sync.Mutex
	armed   bool
	reached chan struct{}
	opened  chan struct{}
}

func newGate() *gate { return &gate{reached: make(chan struct{}), opened: make(chan struct{})} }

func (g *gate) arm() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.armed = true
}

func (g *gate) pass() {
	g.mu.Lock()
	armed := g.armed
	g.armed = false
	g.mu.Unlock()
	if armed {
		close(g.reached)
		<-g.opened
	}
}

func (g *gate) await(c *qt.C, what string) {
	c.Helper()
	select {
	case <-g.reached:
	case <-time.After(6 * time.Second):
		c.Fatalf("never: %s", what)
	}
}

// passedOn returns the value of a part's first entry that a new follower would receive, "" for none.
func (l *roleLog) passedOn(p follow.Part) string {
	es := l.copies.UpdatesFor(map[follow.Part]follow.Version{})[p].Body
	if len(es) == 0 {
		return ""
	}
	return string(es[0].Value)
}

// copying returns the configuration of a reader whose copies are recorded.
func copying(s *memStore) (registry.Config, *callbackLog, *roleLog) {
	got, roles := &callbackLog{}, &roleLog{}
	cfg := config(s, got, 0, time.Second, 0)
	cfg.PartRead = func(p follow.Part, o follow.PartCopy[[]registry.Entry]) {
		roles.copies.Put(p, o)
	}
	return cfg, got, roles
}

// settle is longer than any step that is no longer held back takes.
const settle = 100 * time.Millisecond

// Guards against a reader that passes on an older catalog than it has in force: a list that was begun
// later than the last one, and evaluated before a change that the watch brings, is passed on after it.
// Followers would keep a withdrawn key.
func TestReaderPassesOnWhatItHasInForce(t *testing.T) {
	for _, when := range []string{"before", "after"} {
		t.Run(when, func(t *testing.T) {
			c := qt.New(t)
			s, g := newMemStore(), newGate()
			s.put("catalog", "3")
			cfg, got, roles := copying(s)
			listing := make(chan struct{}, 1)
			post := cfg.Post
			// The task that lists is held up before or after it passes the list on.
			cfg.Post = func(f func()) {
				held := false
				select {
				case <-listing:
					held = true
				default:
				}
				if held && when == "before" {
					g.pass()
				}
				post(f)
				if held && when == "after" {
					g.pass()
				}
			}
			start(c, cfg)
			until(c, got, "the first copy", func() bool { return roles.passedOn(follow.PartCatalog) == "3" })
			g.arm()
			s.locked(func() {
				s.afterList = func(prefix string) {
					if prefix == "catalog" {
						s.locked(func() { s.afterList = nil })
						// Only this list's next call of Post is held up.
						listing <- struct{}{}
					}
				}
			})
			g.await(c, "a list that is held up")
			s.put("catalog", "4")
			until(c, got, "the change in force", func() bool { return got.versions[len(got.versions)-1] == 4 })
			time.Sleep(settle)
			close(g.opened)
			time.Sleep(settle)
			got.locked(func() { c.Check(roles.passedOn(follow.PartCatalog), qt.Equals, "4") })
		})
	}
}

// slowParse returns a reader with catalog 3 in force, whose ParseCatalog is held up by g at catalog 4.
// The list brings 4, and the watch brings 5 meanwhile.
func slowParse(c *qt.C, g *gate) (*memStore, *callbackLog, *roleLog) {
	s := newMemStore()
	s.put("catalog", "3")
	cfg, got, roles := copying(s)
	cfg.ParseCatalog = func(es []registry.Entry) (*catalog.Catalog, error) {
		if slices.ContainsFunc(es, func(e registry.Entry) bool { return string(e.Value) == "4" }) {
			g.pass()
		}
		return parseCatalog(es)
	}
	watched := newGate()
	start(c, cfg)
	until(c, got, "the first copy", func() bool { return roles.passedOn(follow.PartCatalog) == "3" })
	g.arm()
	s.locked(func() { s.missChanges = true })
	s.put("catalog", "4")
	g.await(c, "a slow ParseCatalog")
	watched.arm()
	close(watched.opened)
	s.locked(func() { s.missChanges, s.afterWatch = false, watched.pass })
	s.put("catalog", "5")
	watched.await(c, "a change by the watch")
	time.Sleep(settle)
	close(g.opened)
	time.Sleep(settle)
	return s, got, roles
}

// Guards against a catalog that takes long to parse, and is put in force and passed on after a newer
// one that the watch brought meanwhile.
func TestSlowParsingTurnsNoCatalogBack(t *testing.T) {
	c := qt.New(t)
	_, got, roles := slowParse(c, newGate())
	got.locked(func() {
		c.Check(slices.IsSorted(got.versions), qt.IsTrue, qt.Commentf("in force: %v", got.versions))
		c.Check(got.versions[len(got.versions)-1], qt.Equals, catalog.Version(5))
		c.Check(roles.passedOn(follow.PartCatalog), qt.Equals, "5")
	})
}

// Guards against an evacuation that is ignored: it comes with a configuration that can't be parsed,
// and the last valid one had been replaced by one before it.
func TestOlderConfigurationIsNotTheLastValidOne(t *testing.T) {
	c := qt.New(t)
	s, got, _ := slowParse(c, newGate())
	s.put("catalog", "rubbish")
	s.put("catalog/obihiro", "{}")
	until(c, got, "the evacuation", func() bool { last, _ := got.evacuated(); return len(last) == 1 })
	got.locked(func() { c.Check(got.versions[len(got.versions)-1], qt.Equals, catalog.Version(5)) })
}

// Guards against a change that never comes into force: it was made between two pages of a list, the
// second of which is newer than it.
func TestChangeBetweenPagesIsNotMissed(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	s.put("catalog", "3")
	s.secondPage = "catalog/"
	s.betweenPages = func() {
		s.put("catalog", "4")
		s.put("catalog/obihiro", "{}")
	}
	r, got := startWithRank(c, s, 1)
	// Others have read the catalog, so that this host doesn't list it again.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			r.CatalogConfirmed(time.Now())
			time.Sleep(100 * time.Millisecond)
		}
	}()
	until(c, got, "the change", func() bool { return len(got.versions) > 0 && got.versions[len(got.versions)-1] == 4 })
	until(c, got, "the evacuation", func() bool { last, _ := got.evacuated(); return len(last) == 1 })
}

// startFollowing starts a host that follows, and whose last list of instances is recorded in order.
func startFollowing(c *qt.C) (*registry.Registry, *callbackLog, *[]int) {
	s := newMemStore()
	s.put("our/hosts-count", "295")
	s.registerHost("h-first")
	got, counts := &callbackLog{}, &[]int{}
	cfg := config(s, got, 0, time.Second, 0)
	cfg.ElectReaders, cfg.HostCount = true, func(int) {}
	role := follow.Role("")
	cfg.Role = func(r follow.Role) { role = r }
	cfg.Instances = func(is []catalog.Instance, _ time.Time) { *counts = append(*counts, len(is)) }
	r := start(c, cfg)
	until(c, got, "a role", func() bool { return role == follow.RoleFollower })
	return r, got, counts
}

func instanceEntries(names ...string) []registry.Entry {
	var out []registry.Entry
	for n, name := range names {
		out = append(out, registry.Entry{Key: "instances/" + name, Value: []byte(name), Revision: registry.Revision(n + 1)})
	}
	return out
}

// Guards against a follower that takes up another reader, and with it an older list of instances: an
// instance that has registered isn't listed any more, one that is leaving isn't leaving. The revisions
// tell which one is older; the times do where a reader of an earlier build gives no revision.
func TestOlderListOfAnotherReaderIsIgnored(t *testing.T) {
	for _, older := range []follow.PartCopy[[]registry.Entry]{
		{ReadAt: time.Now().Add(-time.Second)},
		{CompleteTo: 10, ReadAt: time.Now().Add(time.Second)},
	} {
		c := qt.New(t)
		r, got, counts := startFollowing(c)
		newer := follow.PartCopy[[]registry.Entry]{
			Version: 22, ReadAt: time.Now(), HasBody: true, Body: instanceEntries("a", "b"),
		}
		if older.CompleteTo != 0 {
			newer.CompleteTo = 20
		}
		c.Check(r.ApplyPart(follow.PartInstances, newer), qt.IsTrue)
		older.Version, older.HasBody, older.Body = 11, true, instanceEntries("a")
		// A list that is complete to a lower revision and was begun later confirms the newer one.
		c.Check(r.ApplyPart(follow.PartInstances, older), qt.Equals, older.CompleteTo != 0)
		got.locked(func() { c.Check((*counts)[len(*counts)-1], qt.Equals, 2, qt.Commentf("listed: %v", *counts)) })
	}
}

// Guards against a follower that takes up another reader, and with it an older catalog.
func TestOlderCatalogOfAnotherReaderIsIgnored(t *testing.T) {
	c := qt.New(t)
	r, got, _ := startFollowing(c)
	for _, v := range []string{"9", "8"} {
		rev := registry.Revision(v[0] - '0')
		r.ApplyPart(follow.PartCatalog, follow.PartCopy[[]registry.Entry]{
			Version: follow.Version(rev), ReadAt: time.Now(), HasBody: true,
			Body: []registry.Entry{{Key: "catalog", Value: []byte(v), Revision: rev}},
		})
	}
	got.locked(func() { c.Check(got.versions, qt.DeepEquals, []catalog.Version{9}) })
}

// Guards against a reader that becomes a follower and takes over an older list of instances than it
// has read itself.
func TestFormerReaderIgnoresAnOlderList(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	s.put("our/hosts-count", "6")
	s.put("instances/a", "a")
	s.put("instances/b", "b")
	before := time.Now()
	r, got, _ := startElecting(c, s)
	until(c, got, "the list", func() bool { return got.instances == 2 })
	r.SetRole(follow.RoleFollower)
	until(c, got, "the end of its registration", func() bool { return got.registrationsLost > 0 })
	r.ApplyPart(follow.PartInstances, follow.PartCopy[[]registry.Entry]{
		Version: 11, ReadAt: before, HasBody: true, Body: instanceEntries("a"),
	})
	got.locked(func() { c.Check(got.instances, qt.Equals, 2) })
}

// Guards against a host that was a reader, has followed another one since and reads again: before its
// first list it passes on what it had read before it followed.
func TestHostThatReadsAgainPassesOnWhatItKnows(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	s.put("our/hosts-count", "6")
	s.put("catalog", "3")
	s.put("instances/a", "a")
	s.put("our/primaries/orders", `{"service":"orders","term":2}`)
	r, got, roles := startElecting(c, s)
	for _, p := range []follow.Part{follow.PartCatalog, follow.PartInstances, follow.PartRecords} {
		until(c, got, "a copy of "+string(p), func() bool { return roles.passedOn(p) != "" })
	}
	r.SetRole(follow.RoleFollower)
	until(c, got, "the end of its registration", func() bool { return got.registrationsLost > 0 })
	s.locked(func() { s.down = true })
	for p, e := range map[follow.Part]registry.Entry{
		follow.PartCatalog:   {Key: "catalog", Value: []byte("4"), Revision: 1000},
		follow.PartInstances: {Key: "instances/a", Value: []byte("a leaves"), Revision: 1000},
		follow.PartRecords:   {Key: "our/primaries/orders", Value: []byte(`{"service":"orders","term":3}`), Revision: 1000},
	} {
		r.ApplyPart(p, follow.PartCopy[[]registry.Entry]{
			Version: 1000, ReadAt: time.Now(), HasBody: true, Body: []registry.Entry{e},
		})
	}
	r.SetRole(follow.RoleReader)
	time.Sleep(settle)
	got.locked(func() {
		c.Check(roles.passedOn(follow.PartCatalog), qt.Equals, "4")
		c.Check(roles.passedOn(follow.PartInstances), qt.Equals, "a leaves")
		c.Check(roles.passedOn(follow.PartRecords), qt.Contains, `"term":3`)
	})
}

// watchCount returns how many watches of a prefix were made.
func (s *memStore) watchCount(prefix string) (n int) {
	s.locked(func() { n = s.watches[prefix] })
	return n
}

// Guards against a request to read the catalog that makes the store look lost: the watch that it ends
// counted as a failed call, and followers left the reader.
func TestReloadIsNoLossOfTheStore(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	s.put("catalog", "3")
	got := &callbackLog{}
	cfg := config(s, got, 0, time.Second, 0)
	core, lines := observer.New(zap.WarnLevel)
	cfg.Logger = zap.New(core)
	r := start(c, cfg)
	until(c, got, "a catalog", func() bool { return len(got.versions) > 0 })
	until(c, got, "a watch", func() bool { return s.watchCount("catalog") == 1 })
	r.ReloadCatalog()
	until(c, got, "another watch", func() bool { return s.watchCount("catalog") == 2 })
	c.Check(lines.FilterMessage("dependency lost").Len(), qt.Equals, 0)
}

// Guards against a follower that knows of a newer catalog, asks for it to be read, and reads nothing.
func TestFollowerReadsTheCatalogOnRequest(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	s.put("our/hosts-count", "295")
	s.put("catalog", "3")
	s.registerHost("h-first")
	r, got, roles := startElecting(c, s)
	until(c, got, "a role", func() bool { return roles.role == follow.RoleFollower })
	for range 5 {
		r.ReloadCatalog()
		time.Sleep(settle)
	}
	until(c, got, "the catalog", func() bool { return len(got.versions) == 1 && got.versions[0] == 3 })
	c.Check(s.callCount("list catalog") <= 2, qt.IsTrue, qt.Commentf("calls: %d", s.callCount("list catalog")))
	c.Check(s.callCount("watch")+s.callCount("grant"), qt.Equals, 0)
}

// Guards against a follower that compares revisions with others and always takes itself for behind.
func TestFollowerKnowsTheRevisionOfItsCatalog(t *testing.T) {
	c := qt.New(t)
	r, _, _ := startFollowing(c)
	r.ApplyPart(follow.PartCatalog, follow.PartCopy[[]registry.Entry]{
		Version: 9, ReadAt: time.Now(), HasBody: true,
		Body: []registry.Entry{{Key: "catalog", Value: []byte("7"), Revision: 9}},
	})
	c.Check(r.CatalogRevision(), qt.Equals, registry.Revision(9))
}

func catalogCopy(at registry.Revision, es ...registry.Entry) follow.PartCopy[[]registry.Entry] {
	return follow.PartCopy[[]registry.Entry]{
		Version: follow.Version(at), CompleteTo: at, ReadAt: time.Now(), HasBody: true, Body: es,
	}
}

// Guards against an evacuation that has ended and begins again for a moment: a list of several pages that
// was read before its end arrives after one that was read later, both complete to the same revision.
func TestRemovedEntryDoesNotComeBack(t *testing.T) {
	c := qt.New(t)
	r, got, _ := startFollowing(c)
	config := registry.Entry{Key: "catalog", Value: []byte("3"), Revision: 10}
	evacuation := registry.Entry{Key: "catalog/obihiro", Value: []byte("{}"), Revision: 15}
	r.ApplyPart(follow.PartCatalog, catalogCopy(20, config, evacuation))
	late := catalogCopy(22, config, evacuation)
	r.ApplyPart(follow.PartCatalog, catalogCopy(22, config))
	r.ApplyPart(follow.PartCatalog, late)
	got.locked(func() {
		last, n := got.evacuated()
		c.Check(last, qt.HasLen, 0)
		c.Check(n, qt.Equals, 2)
	})
	evacuation.Revision = 23
	r.ApplyPart(follow.PartCatalog, catalogCopy(24, config, evacuation))
	got.locked(func() {
		last, _ := got.evacuated()
		c.Check(last, qt.DeepEquals, []string{"obihiro"})
	})
}

// Guards against an evacuation that is lifted by an earlier end of it: the second page of a list has it as
// it was written again, and the watch from the first page's revision brings the end before that.
func TestEarlierRemovalLeavesALaterEntry(t *testing.T) {
	c := qt.New(t)
	s, watches := newMemStore(), make(chan []registry.Entry)
	s.put("catalog", "3")
	s.secondPage = "catalog/"
	s.betweenPages = func() {
		s.put("catalog/obihiro", "{}")
		s.remove("catalog/obihiro")
		s.put("catalog/obihiro", "{}")
	}
	got := &callbackLog{}
	cfg := config(s, got, 0, time.Second, 0)
	cfg.Store.Watch = func(
		ctx context.Context, prefix string, after registry.Revision, wait time.Duration,
	) ([]registry.Entry, registry.Revision, error) {
		if prefix != "catalog" {
			return s.watch(ctx, prefix, after, wait)
		}
		select {
		case es := <-watches:
			return es, es[0].Revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
	start(c, cfg)
	until(c, got, "the evacuation", func() bool { last, _ := got.evacuated(); return len(last) == 1 })
	var end registry.Entry
	s.locked(func() {
		end = registry.Entry{Key: "catalog/obihiro", Revision: s.entries["catalog/obihiro"].Revision - 1, Deleted: true}
	})
	watches <- []registry.Entry{end}
	time.Sleep(settle)
	got.locked(func() {
		last, n := got.evacuated()
		c.Check(last, qt.HasLen, 1)
		c.Check(n, qt.Equals, 1)
	})
}

// Guards against a follower that takes its catalog for recent by a copy without a body, of a version that
// it never got.
func TestCopyWithoutItsBodyConfirmsNoOtherOne(t *testing.T) {
	c := qt.New(t)
	r, _, _ := startFollowing(c)
	first := catalogCopy(20, registry.Entry{Key: "catalog", Value: []byte("3"), Revision: 10})
	c.Assert(r.ApplyPart(follow.PartCatalog, first), qt.IsTrue)
	asOf := r.CatalogAsOf()
	c.Check(asOf.Equal(first.ReadAt), qt.IsTrue)
	next := follow.PartCopy[[]registry.Entry]{Version: 30, CompleteTo: 30, ReadAt: asOf.Add(time.Second)}
	c.Check(r.ApplyPart(follow.PartCatalog, next), qt.IsFalse)
	c.Check(r.CatalogRevision(), qt.Equals, registry.Revision(20))
	c.Check(r.CatalogAsOf().Equal(asOf), qt.IsTrue)
	// The version that it has, complete to a higher revision, moves both.
	next.Version = first.Version
	c.Check(r.ApplyPart(follow.PartCatalog, next), qt.IsTrue)
	c.Check(r.CatalogRevision(), qt.Equals, registry.Revision(30))
	c.Check(r.CatalogAsOf().Equal(next.ReadAt), qt.IsTrue)
	// An older copy confirms it: what the store held then, the newer one lacks nothing of.
	older := catalogCopy(25)
	older.ReadAt = next.ReadAt.Add(time.Second)
	c.Check(r.ApplyPart(follow.PartCatalog, older), qt.IsTrue)
	c.Check(r.CatalogAsOf().Equal(older.ReadAt), qt.IsTrue)
	c.Check(r.CatalogRevision(), qt.Equals, registry.Revision(30))
}
