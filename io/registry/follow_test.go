package registry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/follow"
	"skylarkdeal/io/registry"
)

// roles is what a registry with a census has told of roles and copies.
type roles struct {
	role   follow.Role
	count  int
	copies follow.PartCache[[]registry.Entry]
}

// joinLarge starts a registry that finds out its role by itself.
func joinLarge(c *qt.C, s *shelf) (*registry.Registry, *seen, *roles) {
	t, x := &seen{}, &roles{}
	cfg := config(s, t, 0, time.Second, 0)
	cfg.ElectReaders, cfg.HostCount = true, func(n int) { x.count = n }
	cfg.Role = func(r follow.Role) { x.role = r }
	cfg.PartRead = func(p follow.Part, o follow.PartCopy[[]registry.Entry]) { x.copies.Put(p, o.Version, o.ReadAt, o.Body) }
	return start(c, cfg), t, x
}

func (s *shelf) registered(name string) {
	const host = `{"name":%q,"data-centre":"obihiro","address":"127.0.0.1:2","lease":1}`
	s.put("our/hosts/"+name+"/1", fmt.Sprintf(host, name))
}

// called returns how often a call was made.
func (s *shelf) called(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

// Guards against a start of hundreds of hosts, each of which registers and reads the store for
// itself.
func TestHostFollowsWhoeverIsRegistered(t *testing.T) {
	c := qt.New(t)
	s := newShelf()
	s.put("our/hosts-count", "295")
	s.registered("h-first")
	_, got, x := joinLarge(c, s)
	until(c, got, "a role", func() bool { return x.role != "" })
	c.Assert(x.role, qt.Equals, follow.RoleFollower)
	c.Assert(x.count, qt.Equals, 295)
	time.Sleep(500 * time.Millisecond)
	c.Assert(s.called("grant")+s.called("renew")+s.called("watch"), qt.Equals, 0)
	c.Assert(s.called("list our/hosts"), qt.Equals, 1)
}

// Guards against a loss of all hosts after which each waits for others to register: callers are turned
// away for that long.
func TestHostFollowsWhoeverReadLastAtOnce(t *testing.T) {
	c := qt.New(t)
	for _, self := range []bool{false, true} {
		s := newShelf()
		s.put("our/hosts-count", "295")
		name, want := "h-first", follow.RoleFollower
		if self {
			name, want = "h-x", follow.RoleReader
		}
		s.put("our/hosts-readers", fmt.Sprintf(`[{"name":%q,"data-centre":"obihiro","address":"127.0.0.1:2"}]`, name))
		began := time.Now()
		_, got, x := joinLarge(c, s)
		until(c, got, "a role", func() bool { return x.role != "" })
		c.Check(x.role, qt.Equals, want)
		c.Check(time.Since(began) < 100*time.Millisecond, qt.IsTrue)
		c.Check(s.called("list our/hosts"), qt.Equals, 1)
		if !self {
			until(c, got, "the reader", func() bool { return len(got.hosts) == 1 && got.hosts[0].Name == "h-first" })
		}
	}
}

// Guards against a start that hangs on a list of readers which can't be read, or has none beside the
// host.
func TestUselessListOfReadersIsPassedOver(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{"rubbish", "[]", `[{"name":"h-far","data-centre":"sapporo","address":"127.0.0.1:2"}]`} {
		s := newShelf()
		s.put("our/hosts-count", "295")
		s.put("our/hosts-readers", text)
		_, got, x := joinLarge(c, s)
		until(c, got, "a role", func() bool { return x.role != "" })
		c.Check(x.role, qt.Equals, follow.RoleReader, qt.Commentf("%s", text))
	}
}

// Guards against a list of readers that is never written, or time and again.
func TestHolderOfTheDutyKeepsTheListOfReaders(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newShelf()
	s.put("our/hosts-count", "295")
	r, got, _ := joinLarge(c, s)
	r.SetHostCount(295)
	until(c, got, "the duty", func() bool { return len(got.holds) > 0 && got.holds[len(got.holds)-1] })
	told := func() (told string) {
		s.set(func() { told = string(s.entries["our/hosts-readers"].Value) })
		return told
	}
	time.Sleep(8 * time.Second)
	until(c, got, "the list", func() bool { return strings.Contains(told(), `"name":"h-x"`) })
	revision := s.entries["our/hosts-readers"].Revision
	time.Sleep(2500 * time.Millisecond)
	s.set(func() { c.Check(s.entries["our/hosts-readers"].Revision, qt.Equals, revision) })
}

// Guards against a small fleet that waits at its start for hosts to follow.
func TestHostOfASmallFleetReadsAtOnce(t *testing.T) {
	c := qt.New(t)
	s := newShelf()
	s.put("our/hosts-count", "6")
	s.registered("h-first")
	began := time.Now()
	_, got, x := joinLarge(c, s)
	until(c, got, "a renewal", func() bool { return got.renewed > 0 })
	c.Assert(x.role, qt.Equals, follow.RoleReader)
	c.Assert(time.Since(began) < 200*time.Millisecond, qt.IsTrue)
}

// Guards against a host that is no reader any more and keeps its registration, and with it the
// duty: its followers would take what it renews for proof.
func TestFormerReaderEndsItsRegistration(t *testing.T) {
	c := qt.New(t)
	s := newShelf()
	s.put("our/hosts-count", "6")
	r, got, _ := joinLarge(c, s)
	until(c, got, "the duty", func() bool { return len(got.holds) > 0 && got.holds[len(got.holds)-1] })
	r.SetRole(follow.RoleFollower)
	until(c, got, "the end of it", func() bool { return got.lost > 0 && !got.holds[len(got.holds)-1] })
	c.Assert(s.called("end"), qt.Equals, 1)
	renewed := s.called("renew")
	time.Sleep(700 * time.Millisecond)
	c.Assert(s.called("renew"), qt.Equals, renewed)
	r.SetRole(follow.RoleReader)
	until(c, got, "a registration again", func() bool { return got.holds[len(got.holds)-1] })
}

// Guards against a renewal that is passed on ahead of the records which it needs.
func TestRecordsAreCopiedBeforeTheFirstRenewal(t *testing.T) {
	c := qt.New(t)
	s := newShelf()
	s.put("our/hosts-count", "6")
	s.put("our/primaries/orders", `{"service":"orders","term":2,"primary":"b"}`)
	got := &seen{}
	cfg := config(s, got, 0, time.Second, 0)
	cfg.ElectReaders, cfg.Role, cfg.HostCount = true, func(follow.Role) {}, func(int) {}
	copied, early := false, false
	cfg.PartRead = func(p follow.Part, o follow.PartCopy[[]registry.Entry]) {
		copied = copied || p == follow.PartRecords && len(o.Body) == 1
	}
	cfg.RegistrationRenewed = func(time.Time) { early = early || !copied; got.renewed++ }
	start(c, cfg)
	until(c, got, "renewals", func() bool { return got.renewed > 1 })
	got.get(func() { c.Check(early, qt.IsFalse) })
}

// A follower takes in what a reader has copied, and what it can't read changes nothing.
func TestCopiesAreTakenIn(t *testing.T) {
	c := qt.New(t)
	s := newShelf()
	s.put("our/hosts-count", "295")
	s.registered("h-first")
	r, got, x := joinLarge(c, s)
	until(c, got, "a role", func() bool { return x.role != "" })
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
	got.get(func() { c.Check(got.records, qt.HasLen, 1) })
}

// Guards against a record that a reader learns of after one of a later revision and never passes on:
// its followers would take the next renewal for proof without it.
func TestRecordThatIsLearntLateIsPassedOn(t *testing.T) {
	c := qt.New(t)
	s := newShelf()
	s.put("our/hosts-count", "6")
	s.put("our/primaries/orders", `{"service":"orders","term":2}`)
	r, got, x := joinLarge(c, s)
	has := map[follow.Part]follow.Version{}
	records := func() int { return len(x.copies.UpdatesFor(has)[follow.PartRecords].Body) }
	until(c, got, "the record", func() bool { return records() == 1 })
	s.mu.Lock()
	s.entries["our/primaries/ledger"] = registry.Entry{
		Key: "our/primaries/ledger", Value: []byte(`{"service":"ledger","term":2}`), Revision: 1,
	}
	s.mu.Unlock()
	r.RefreshRecords()
	until(c, got, "the other one", func() bool { return records() == 2 })
}

// Guards against a loss of all hosts that is over before their registrations have ended: each finds
// others registered beside it, and all follow hosts that follow.
func TestHostThatWasRegisteredReadsAgain(t *testing.T) {
	c := qt.New(t)
	s := newShelf()
	s.put("our/hosts-count", "295")
	s.registered("h-first")
	s.registered("h-x")
	_, got, x := joinLarge(c, s)
	until(c, got, "a role", func() bool { return x.role != "" })
	c.Assert(x.role, qt.Equals, follow.RoleReader)
}

// Guards against a data centre that was cut off, whose readers are forgotten while it is.
func TestReadersOfACutOffDataCentreAreKept(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newShelf()
	s.put("our/hosts-count", "295")
	s.put("our/hosts-readers", `[{"name":"h-x","data-centre":"obihiro","address":"127.0.0.1:1"},`+
		`{"name":"h-far","data-centre":"sapporo","address":"127.0.0.1:2"}]`)
	r, got, x := joinLarge(c, s)
	r.SetHostCount(295)
	until(c, got, "a role", func() bool { return x.role != "" })
	s.registered("h-new")
	until(c, got, "the duty", func() bool { return len(got.holds) > 0 && got.holds[len(got.holds)-1] })
	told := func() (told string) {
		s.set(func() { told = string(s.entries["our/hosts-readers"].Value) })
		return told
	}
	time.Sleep(8 * time.Second)
	r.ListHosts()
	until(c, got, "the new host", func() bool { return strings.Contains(told(), `"name":"h-new"`) })
	c.Check(told(), qt.Contains, `"name":"h-far"`)
}
