package registry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/follow"
	"skylarkdeal/core/leader"
	"skylarkdeal/io/registry"
)

// roleLog holds what a registry with ElectReaders has reported of its role, the number of hosts and
// the parts that it read.
type roleLog struct {
	role   follow.Role
	count  int
	copies follow.PartCache[[]registry.Entry]
}

// startElecting starts a registry that chooses its role by itself.
func startElecting(c *qt.C, s *memStore) (*registry.Registry, *callbackLog, *roleLog) {
	got, roles := &callbackLog{}, &roleLog{}
	cfg := config(s, got, 0, time.Second, 0)
	cfg.ElectReaders, cfg.HostCount = true, func(n int) { roles.count = n }
	cfg.Role = func(r follow.Role) { roles.role = r }
	cfg.PartRead = func(p follow.Part, o follow.PartCopy[[]registry.Entry]) {
		roles.copies.Put(p, o)
	}
	return start(c, cfg), got, roles
}

func (s *memStore) registerHost(name string) {
	const host = `{"name":%q,"data-centre":"obihiro","address":"127.0.0.1:2","lease":1}`
	s.put("our/hosts/"+name+"/1", fmt.Sprintf(host, name))
}

// callCount returns how often a call was made.
func (s *memStore) callCount(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

// Guards against a start of hundreds of hosts each of which registers and reads the store itself.
func TestHostFollowsARegisteredHost(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	s.put("our/hosts-count", "295")
	s.registerHost("h-first")
	_, got, roles := startElecting(c, s)
	until(c, got, "a role", func() bool { return roles.role != "" })
	c.Assert(roles.role, qt.Equals, follow.RoleFollower)
	c.Assert(roles.count, qt.Equals, 295)
	time.Sleep(500 * time.Millisecond)
	c.Assert(s.callCount("grant")+s.callCount("renew")+s.callCount("watch"), qt.Equals, 0)
	c.Assert(s.callCount("list our/hosts"), qt.Equals, 1)
}

// Guards against a failure of all hosts after which each one waits for others to register: callers
// are refused for that long.
func TestHostFollowsTheLastReadersAtOnce(t *testing.T) {
	c := qt.New(t)
	for _, self := range []bool{false, true} {
		s := newMemStore()
		s.put("our/hosts-count", "295")
		name, want := "h-first", follow.RoleFollower
		if self {
			name, want = "h-x", follow.RoleReader
		}
		s.put("our/hosts-readers", fmt.Sprintf(`[{"name":%q,"data-centre":"obihiro","address":"127.0.0.1:2"}]`, name))
		began := time.Now()
		_, got, roles := startElecting(c, s)
		until(c, got, "a role", func() bool { return roles.role != "" })
		c.Check(roles.role, qt.Equals, want)
		c.Check(time.Since(began) < 100*time.Millisecond, qt.IsTrue)
		c.Check(s.callCount("list our/hosts"), qt.Equals, 1)
		if !self {
			until(c, got, "the reader", func() bool { return len(got.hosts) == 1 && got.hosts[0].Name == "h-first" })
		}
	}
}

// Guards against a start that hangs on a list of readers that can't be parsed, or has no host of
// the data centre.
func TestUnusableListOfReadersIsIgnored(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{"rubbish", "[]", `[{"name":"h-far","data-centre":"sapporo","address":"127.0.0.1:2"}]`} {
		s := newMemStore()
		s.put("our/hosts-count", "295")
		s.put("our/hosts-readers", text)
		_, got, roles := startElecting(c, s)
		until(c, got, "a role", func() bool { return roles.role != "" })
		c.Check(roles.role, qt.Equals, follow.RoleReader, qt.Commentf("%s", text))
	}
}

// Guards against a list of readers that is never written, or written again although it hasn't
// changed.
func TestCoordinatorWritesTheListOfReaders(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newMemStore()
	s.put("our/hosts-count", "295")
	r, got, _ := startElecting(c, s)
	r.SetHostCount(295)
	until(c, got, "the coordinator role", func() bool {
		return len(got.coordinator) > 0 && got.coordinator[len(got.coordinator)-1]
	})
	storedReaders := func() (value string) {
		s.locked(func() { value = string(s.entries["our/hosts-readers"].Value) })
		return value
	}
	time.Sleep(8 * time.Second)
	until(c, got, "the list", func() bool { return strings.Contains(storedReaders(), `"name":"h-x"`) })
	revision := s.entries["our/hosts-readers"].Revision
	time.Sleep(2500 * time.Millisecond)
	s.locked(func() { c.Check(s.entries["our/hosts-readers"].Revision, qt.Equals, revision) })
}

// Guards against a host of a small fleet that waits at its start for a host to follow.
func TestHostOfASmallFleetReadsAtOnce(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	s.put("our/hosts-count", "6")
	s.registerHost("h-first")
	began := time.Now()
	_, got, roles := startElecting(c, s)
	until(c, got, "a renewal", func() bool { return got.renewals > 0 })
	c.Assert(roles.role, qt.Equals, follow.RoleReader)
	c.Assert(time.Since(began) < 200*time.Millisecond, qt.IsTrue)
}

// Guards against a host that is no longer a reader but keeps its registration, and with it the role
// of the failover coordinator. Its followers would rely on its renewals.
func TestFormerReaderEndsItsRegistration(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	s.put("our/hosts-count", "6")
	r, got, _ := startElecting(c, s)
	until(c, got, "the coordinator role", func() bool {
		return len(got.coordinator) > 0 && got.coordinator[len(got.coordinator)-1]
	})
	r.SetRole(follow.RoleFollower)
	until(c, got, "the end of it", func() bool {
		return got.registrationsLost > 0 && !got.coordinator[len(got.coordinator)-1]
	})
	c.Assert(s.callCount("end"), qt.Equals, 1)
	renewed := s.callCount("renew")
	time.Sleep(700 * time.Millisecond)
	c.Assert(s.callCount("renew"), qt.Equals, renewed)
	r.SetRole(follow.RoleReader)
	until(c, got, "a registration again", func() bool { return got.coordinator[len(got.coordinator)-1] })
}

// Guards against a renewal that is passed on before the records that it depends on.
func TestRecordsAreCopiedBeforeTheFirstRenewal(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	s.put("our/hosts-count", "6")
	s.put("our/primaries/orders", `{"service":"orders","term":2,"primary":"b"}`)
	got := &callbackLog{}
	cfg := config(s, got, 0, time.Second, 0)
	cfg.ElectReaders, cfg.Role, cfg.HostCount = true, func(follow.Role) {}, func(int) {}
	copied, early := false, false
	cfg.PartRead = func(p follow.Part, o follow.PartCopy[[]registry.Entry]) {
		copied = copied || p == follow.PartRecords && len(o.Body) == 1
	}
	cfg.RegistrationRenewed = func(time.Time) { early = early || !copied; got.renewals++ }
	start(c, cfg)
	until(c, got, "renewals", func() bool { return got.renewals > 1 })
	got.locked(func() { c.Check(early, qt.IsFalse) })
}

// A follower applies the copies of a reader. A copy that can't be parsed changes nothing, but that a record which can't
// be read names no primary any more.
func TestFollowerAppliesCopies(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	s.put("our/hosts-count", "295")
	s.registerHost("h-first")
	r, got, roles := startElecting(c, s)
	until(c, got, "a role", func() bool { return roles.role != "" })
	take := func(p follow.Part, e registry.Entry) {
		r.ApplyPart(p, follow.PartCopy[[]registry.Entry]{Version: 9, ReadAt: time.Now(), HasBody: true,
			Body: []registry.Entry{e}})
	}
	take(follow.PartCatalog, registry.Entry{Key: "catalog", Value: []byte("7"), Revision: 9})
	take(follow.PartCatalog, registry.Entry{Key: "catalog", Value: []byte("rubbish"), Revision: 10})
	take(follow.PartInstances, registry.Entry{Key: "instances/a", Value: []byte("a")})
	record := registry.Entry{Key: "our/primaries/orders", Value: []byte(`{"service":"orders","term":2}`), Revision: 8}
	take(follow.PartRecords, record)
	record.Value, record.Revision = []byte("rubbish"), 9
	take(follow.PartRecords, record)
	take("another part", registry.Entry{})
	until(c, got, "the catalog", func() bool { return len(got.versions) == 1 && got.versions[0] == 7 })
	until(c, got, "the instances", func() bool { return got.instances == 1 })
	got.locked(func() {
		c.Check(got.records, qt.DeepEquals, []leader.Record{
			{Service: "orders", Term: 2, Revision: 8}, {Service: "orders", Revision: 9},
		})
	})
}

// Guards against a record that a reader learns after one of a later revision, and never passes on.
// Its followers would rely on the next renewal without knowing that record.
func TestRecordThatIsLearntLateIsPassedOn(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	s.put("our/hosts-count", "6")
	s.put("our/primaries/orders", `{"service":"orders","term":2}`)
	r, got, roles := startElecting(c, s)
	has := map[follow.Part]follow.Version{}
	records := func() int { return len(roles.copies.UpdatesFor(has)[follow.PartRecords].Body) }
	until(c, got, "the record", func() bool { return records() == 1 })
	s.mu.Lock()
	s.entries["our/primaries/ledger"] = registry.Entry{
		Key: "our/primaries/ledger", Value: []byte(`{"service":"ledger","term":2}`), Revision: 1,
	}
	s.mu.Unlock()
	r.RefreshRecords()
	until(c, got, "the other one", func() bool { return records() == 2 })
}

// All hosts restart before their registrations have expired. Each host finds others registered, and
// must not become a follower for that reason: then no host would read the store.
func TestHostThatWasRegisteredReadsAgain(t *testing.T) {
	c := qt.New(t)
	s := newMemStore()
	s.put("our/hosts-count", "295")
	s.registerHost("h-first")
	s.registerHost("h-x")
	_, got, roles := startElecting(c, s)
	until(c, got, "a role", func() bool { return roles.role != "" })
	c.Assert(roles.role, qt.Equals, follow.RoleReader)
}

// Guards against a data centre that is cut off and whose readers are forgotten meanwhile.
func TestReadersOfACutOffDataCentreAreKept(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newMemStore()
	s.put("our/hosts-count", "295")
	s.put("our/hosts-readers", `[{"name":"h-x","data-centre":"obihiro","address":"127.0.0.1:1"},`+
		`{"name":"h-far","data-centre":"sapporo","address":"127.0.0.1:2"}]`)
	r, got, roles := startElecting(c, s)
	r.SetHostCount(295)
	until(c, got, "a role", func() bool { return roles.role != "" })
	s.registerHost("h-new")
	until(c, got, "the coordinator role", func() bool {
		return len(got.coordinator) > 0 && got.coordinator[len(got.coordinator)-1]
	})
	storedReaders := func() (value string) {
		s.locked(func() { value = string(s.entries["our/hosts-readers"].Value) })
		return value
	}
	time.Sleep(8 * time.Second)
	r.ListHosts()
	until(c, got, "the new host", func() bool { return strings.Contains(storedReaders(), `"name":"h-new"`) })
	c.Check(storedReaders(), qt.Contains, `"name":"h-far"`)
}
