package registry_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/follow"
	"skylarkdeal/io/registry"
)

// fleetModel is a store and hosts that read it or follow one that does. Lists and watches are answered late
// and in any order, a catalog takes long to parse, and copies are late on their way.
type fleetModel struct {
	mu  sync.Mutex
	rng *rand.Rand
	// log are all changes, the revision of which is their index plus firstRevision; times are when they
	// were made.
	log     []registry.Entry
	times   []time.Time
	changed chan struct{}
	// pages makes lists of two pages, the first of which ends before the keys with a slash.
	pages bool
	// faults is set while calls fail.
	faults    bool
	hosts     []*modelHost
	violation string
}

const firstRevision = 100

func (m *fleetModel) fail(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// delay pauses for up to limit. A short pause is as likely as a long one.
func (m *fleetModel) delay(limit time.Duration) {
	m.mu.Lock()
	if m.rng.IntN(2) == 0 {
		limit /= 20
	}
	d := time.Duration(m.rng.Int64N(int64(limit)))
	m.mu.Unlock()
	time.Sleep(d)
}

func (m *fleetModel) write(e registry.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e.Revision = registry.Revision(firstRevision + len(m.log))
	m.log, m.times = append(m.log, e), append(m.times, time.Now())
	close(m.changed)
	m.changed = make(chan struct{})
}

// entriesOf returns the current entries with a prefix for which has is true, and the store's revision.
func (m *fleetModel) entriesOf(prefix string, has func(key string) bool) ([]registry.Entry, registry.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	latest := map[string]registry.Entry{}
	for _, e := range m.log {
		latest[e.Key] = e
	}
	var out []registry.Entry
	for k, e := range latest {
		if strings.HasPrefix(k, prefix) && has(k) && !e.Deleted {
			out = append(out, e)
		}
	}
	return out, registry.Revision(firstRevision + len(m.log) - 1)
}

func (m *fleetModel) failing() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults && m.rng.IntN(10) == 0
}

func (m *fleetModel) list(_ context.Context, prefix string) ([]registry.Entry, registry.Revision, error) {
	m.delay(200 * time.Millisecond)
	if m.failing() {
		return nil, 0, errDown
	}
	first := func(key string) bool { return !m.pages || !strings.Contains(key, "/") }
	es, at := m.entriesOf(prefix, first)
	if m.pages {
		m.delay(200 * time.Millisecond)
		rest, _ := m.entriesOf(prefix, func(key string) bool { return !first(key) })
		es = append(es, rest...)
	}
	m.delay(400 * time.Millisecond)
	return es, at, nil
}

func (m *fleetModel) watch(
	ctx context.Context, prefix string, after registry.Revision, wait time.Duration,
) ([]registry.Entry, registry.Revision, error) {
	end := time.After(wait)
	for {
		m.mu.Lock()
		var out []registry.Entry
		for _, e := range m.log {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				out = append(out, e)
			}
		}
		at, changed := registry.Revision(firstRevision+len(m.log)-1), m.changed
		m.mu.Unlock()
		if len(out) > 0 {
			m.delay(400 * time.Millisecond)
			if m.failing() {
				return nil, 0, registry.ErrCompacted
			}
			return out, at, nil
		}
		select {
		case <-changed:
		case <-end:
			return nil, at, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (m *fleetModel) store() registry.Store {
	return registry.Store{
		List: m.list, Watch: m.watch,
		Commit: func(context.Context, registry.Txn) (registry.Revision, error) { return 1, nil },
		Grant:  func(context.Context, time.Duration) (registry.LeaseID, error) { return 1, nil },
		Renew:  func(context.Context, registry.LeaseID) error { return nil },
		Revoke: func(context.Context, registry.LeaseID) error { return nil },
	}
}

// modelHost is one host. Its fields are used by its loop only.
type modelHost struct {
	m        *fleetModel
	name     int
	registry *registry.Registry
	posted   chan func()
	copies   follow.PartCache[[]registry.Entry]
	// reads is set while the host reads the store. session counts its subscriptions; what comes under
	// an earlier one is ignored.
	reads     bool
	session   int
	followers map[*modelHost]*modelFollower
	inForce   *catalog.Catalog
	asOf      time.Time
	// states are twice the revisions of the entries in use by key, plus one once the entry was removed.
	states map[string]int
	// present are the entries in use.
	present map[string]int
}

// modelFollower is what a reader knows of a follower. What it sends over link arrives late, in order.
type modelFollower struct {
	session int
	has     map[follow.Part]follow.Version
	link    chan func()
}

func (m *fleetModel) startHost(ctx context.Context, name int) *modelHost {
	h := &modelHost{
		m: m, name: name, reads: true, posted: make(chan func(), 10000),
		followers: map[*modelHost]*modelFollower{}, states: map[string]int{},
	}
	cfg := config(newMemStore(), &callbackLog{}, 0, time.Second, 0)
	cfg.Store, cfg.Post = m.store(), func(f func()) { h.posted <- f }
	cfg.ParseCatalog = func(es []registry.Entry) (*catalog.Catalog, error) {
		m.delay(100 * time.Millisecond)
		return describe(es)
	}
	cfg.ParseInstance = func(e registry.Entry) (catalog.Instance, bool) {
		return catalog.Instance{Address: e.Key, Slots: int(e.Revision)}, true
	}
	cfg.Catalog, cfg.Instances = h.adopt, h.setInstances
	cfg.Hosts = func([]registry.Host) {}
	cfg.PartRead = func(p follow.Part, c follow.PartCopy[[]registry.Entry]) {
		h.checkComplete(p, c)
		h.copies.Put(p, c)
		h.tellAll()
	}
	cfg.RegistrationRenewed, cfg.RegistrationLost = func(time.Time) { h.tellAll() }, func() {}
	cfg.CoordinatorChanged = func(bool) {}
	h.registry = registry.New(cfg)
	go run(ctx, h.posted)
	return h
}

// run calls the functions sent to a loop.
func run(ctx context.Context, loop <-chan func()) {
	for {
		select {
		case f := <-loop:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// describe returns a catalog that names the revision of each entry.
func describe(es []registry.Entry) (*catalog.Catalog, error) {
	c := &catalog.Catalog{Evacuated: fleet.NewSet[fleet.DataCentre]()}
	for _, e := range es {
		c.Evacuated.Add(fleet.DataCentre(fmt.Sprintf("%s %d", e.Key, e.Revision)))
		if e.Key == "catalog" {
			if _, err := fmt.Sscan(string(e.Value), &c.Version); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

// revisions returns the revisions that describe has noted, by key.
func revisions(c *catalog.Catalog) map[string]int {
	out := map[string]int{}
	for dc := range c.Evacuated {
		key, rev, _ := strings.Cut(string(dc), " ")
		out[key], _ = strconv.Atoi(rev)
	}
	return out
}

// adopt takes a catalog as the relay does. The registry has to report them in order.
func (h *modelHost) adopt(c *catalog.Catalog) {
	if !c.Newer(h.inForce) {
		h.m.fail("host %d: catalog %d of %d reported after %d of %d", h.name, c.Version, c.Revision,
			h.inForce.Version, h.inForce.Revision)
		return
	}
	h.inForce = c
	h.checkStates("catalog", revisions(c))
	h.checkPassedOn()
}

// checkPassedOn checks that what the host passes on is no older than what it has in force.
func (h *modelHost) checkPassedOn() {
	if h.inForce == nil {
		return
	}
	o := h.copies.UpdatesFor(map[follow.Part]follow.Version{})[follow.PartCatalog]
	passed, err := describe(o.Body)
	if err != nil || catalog.Revision(o.Version) < h.inForce.Revision || passed.Version < h.inForce.Version {
		h.m.fail("host %d passes on %v of %d with %d of %d in force", h.name, o.Body, o.Version,
			h.inForce.Version, h.inForce.Revision)
	}
}

// checkComplete checks that a copy lacks no change up to its revision, and as of its time.
func (h *modelHost) checkComplete(p follow.Part, c follow.PartCopy[[]registry.Entry]) {
	prefix := map[follow.Part]string{follow.PartCatalog: "catalog", follow.PartInstances: "instances/"}[p]
	if prefix == "" {
		return
	}
	has := map[string]registry.Revision{}
	for _, e := range c.Body {
		has[e.Key] = e.Revision
	}
	h.m.mu.Lock()
	due, removed := map[string]registry.Entry{}, map[string]registry.Revision{}
	late := registry.Revision(0)
	for n, e := range h.m.log {
		if e.Revision > c.CompleteTo && h.m.times[n].Before(c.ReadAt) {
			late = e.Revision
		}
		if strings.HasPrefix(e.Key, prefix) && e.Revision <= c.CompleteTo {
			due[e.Key] = e
		}
		if e.Deleted {
			removed[e.Key] = e.Revision
		}
	}
	h.m.mu.Unlock()
	if late != 0 {
		h.m.fail("host %d: a copy complete to %d as of %v has no change of %d", h.name, c.CompleteTo, c.ReadAt, late)
	}
	for key, e := range due {
		rev, ok := has[key]
		if ok && (rev < e.Revision || e.Deleted && rev == e.Revision) || !ok && !e.Deleted && removed[key] < e.Revision {
			h.m.fail("host %d: a copy complete to %d has %s of %d, not of %d", h.name, c.CompleteTo, key, rev, e.Revision)
		}
	}
}

func (h *modelHost) setInstances(is []catalog.Instance, asOf time.Time) {
	if asOf.Before(h.asOf) {
		h.m.fail("host %d: list as of %v after %v", h.name, asOf, h.asOf)
	}
	h.asOf, h.present = asOf, map[string]int{}
	for _, i := range is {
		h.present[i.Address] = i.Slots
	}
	h.checkStates("instances/", h.present)
}

// checkStates checks that no entry with a prefix goes back to an earlier state that the host has had.
func (h *modelHost) checkStates(prefix string, present map[string]int) {
	for key, rev := range present {
		if last := h.states[key]; 2*rev < last {
			h.m.fail("host %d: %s of %d after %d (odd: removed)", h.name, key, 2*rev, last)
		}
		h.states[key] = 2 * rev
	}
	for key := range h.states {
		if _, ok := present[key]; !ok && strings.HasPrefix(key, prefix) {
			h.states[key] |= 1
		}
	}
}

func (h *modelHost) tellAll() {
	if !h.reads {
		return
	}
	h.checkPassedOn()
	for to, f := range h.followers {
		h.tell(to, f)
	}
}

func (h *modelHost) tell(to *modelHost, f *modelFollower) {
	parts, session := h.copies.UpdatesFor(f.has), f.session
	f.link <- func() {
		to.posted <- func() {
			if to.session != session || to.reads {
				return
			}
			for p, c := range parts {
				to.registry.ApplyPart(p, c)
			}
		}
	}
}

// follow has the host follow a reader. It is called on the host's loop.
func (h *modelHost) follow(ctx context.Context, reader *modelHost) {
	h.session++
	session := h.session
	go func() {
		h.m.delay(100 * time.Millisecond)
		reader.posted <- func() {
			f := reader.followers[h]
			if f == nil {
				f = &modelFollower{link: make(chan func(), 10000)}
				reader.followers[h] = f
				go run(ctx, delayed(ctx, h.m, f.link))
			}
			if f.session > session {
				// A link keeps requests in order.
				return
			}
			f.session, f.has = session, map[follow.Part]follow.Version{}
			if reader.reads {
				reader.tell(h, f)
			}
		}
	}()
}

// delayed returns a channel on which what is sent to link comes late, in order.
func delayed(ctx context.Context, m *fleetModel, link <-chan func()) <-chan func() {
	out := make(chan func())
	go func() {
		for {
			select {
			case f := <-link:
				m.delay(300 * time.Millisecond)
				select {
				case out <- f:
				case <-ctx.Done():
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}

// setReads sets the host's role. It is called on the host's loop.
func (h *modelHost) setReads(reads bool) {
	h.reads = reads
	if reads {
		h.session++
		h.registry.SetRole(follow.RoleReader)
		return
	}
	clear(h.followers)
	h.registry.SetRole(follow.RoleFollower)
}

// modelStep is one event of the model.
type modelStep struct {
	pause  time.Duration
	action string
	host   int
	target int
}

var modelSteps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) modelStep {
	return modelStep{
		pause: time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond,
		action: rapid.SampledFrom([]string{
			"configure", "configure", "configure", "evacuate", "end evacuation", "register", "remove", "read", "follow",
			"follow", "reload",
		}).Draw(t, "action"),
		host: rapid.IntRange(0, modelHosts-1).Draw(t, "host"), target: rapid.IntRange(0, modelHosts-1).Draw(t, "target"),
	}
}), 5, 40)

const modelHosts = 4

func (m *fleetModel) apply(ctx context.Context, n int, s modelStep) {
	h, target := m.hosts[s.host], m.hosts[s.target]
	switch s.action {
	case "configure":
		m.write(registry.Entry{Key: "catalog", Value: []byte(strconv.Itoa(n + 2))})
	case "evacuate":
		m.write(registry.Entry{Key: fmt.Sprintf("catalog/%d", s.host%2), Value: []byte("{}")})
	case "end evacuation":
		m.write(registry.Entry{Key: fmt.Sprintf("catalog/%d", s.host%2), Deleted: true})
	case "register":
		m.write(registry.Entry{Key: fmt.Sprintf("instances/%d", s.host), Value: []byte("x")})
	case "remove":
		m.write(registry.Entry{Key: fmt.Sprintf("instances/%d", s.host), Deleted: true})
	case "read":
		h.posted <- func() { h.setReads(true) }
	case "follow":
		// The first host always reads.
		if s.host != 0 && h != target {
			h.posted <- func() { h.setReads(false); h.follow(ctx, target) }
		}
	case "reload":
		h.registry.ReloadCatalog()
	}
}

// play runs the steps and returns what was violated, "" for nothing.
func (m *fleetModel) play(steps []modelStep) string {
	ctx, cancel := context.WithCancel(context.Background())
	m.changed = make(chan struct{})
	m.write(registry.Entry{Key: "catalog", Value: []byte("1")})
	var running sync.WaitGroup
	for n := range modelHosts {
		h := m.startHost(ctx, n)
		m.hosts = append(m.hosts, h)
		running.Go(func() { h.registry.Run(ctx) })
	}
	for n, s := range steps {
		time.Sleep(s.pause)
		m.apply(ctx, n, s)
	}
	m.mu.Lock()
	m.faults = false
	m.mu.Unlock()
	// Followers of a host that doesn't read find one that does.
	for _, h := range m.hosts {
		h.posted <- func() {
			if !h.reads {
				h.follow(ctx, m.hosts[0])
			}
		}
	}
	time.Sleep(quietTime)
	for _, h := range m.hosts {
		done := make(chan struct{})
		h.posted <- func() { h.checkLast(); close(done) }
		<-done
	}
	cancel()
	running.Wait()
	// What still sleeps ends, which it has to before the test does.
	time.Sleep(quietTime)
	return m.violation
}

// quietTime is enough for two lists and all that is on its way.
const quietTime = 8 * time.Second

// checkLast checks that the host has what the store has.
func (h *modelHost) checkLast() {
	got := map[string]int{}
	if h.inForce != nil {
		got = revisions(h.inForce)
	}
	maps.Copy(got, h.present)
	es, _ := h.m.entriesOf("", func(string) bool { return true })
	want := map[string]int{}
	for _, e := range es {
		want[e.Key] = int(e.Revision)
	}
	if !maps.Equal(got, want) {
		h.m.fail("host %d (reads: %t) has %v at last, the store %v", h.name, h.reads, got, want)
	}
}

// Guards against copies of the catalog or of the list of instances that go back to an older state on any
// host, or never reach one, with lists, watches and copies that are late and overtake each other, slow
// parsing, calls that fail, and hosts that change their reader or their role.
func TestCopiesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := modelSteps.Draw(rt, "steps")
		seed, pages := rapid.Uint64().Draw(rt, "seed"), rapid.Bool().Draw(rt, "pages")
		violation := ""
		synctest.Test(t, func(*testing.T) {
			m := &fleetModel{rng: rand.New(rand.NewPCG(seed, 0)), pages: pages, faults: true}
			violation = m.play(steps)
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}
