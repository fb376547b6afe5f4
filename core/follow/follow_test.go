package follow_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/follow"
	"skylarkdeal/core/leader"
)

func ExamplePartCache() {
	var c follow.PartCache[string]
	c.Put(follow.PartCatalog, 7, time.Unix(1, 0), "the catalog")
	has := map[follow.Part]follow.Version{}
	fmt.Println(c.UpdatesFor(has)[follow.PartCatalog].Body)
	fmt.Println(c.UpdatesFor(has)[follow.PartCatalog].HasBody)
	// Output:
	// the catalog
	// false
}

// Guards against a reader that ends as it is followed before it has read anything, as one that steps
// in while the store is down.
func TestReaderThatHasReadNothingTellsNothing(t *testing.T) {
	c := qt.New(t)
	var s follow.PartCache[string]
	has := map[follow.Part]follow.Version{}
	parts := s.UpdatesFor(has)
	c.Assert(parts, qt.HasLen, 0)
	// Whoever passes them on adds the hosts.
	parts[follow.PartHosts] = follow.PartCopy[string]{HasBody: true}
	c.Assert(has, qt.HasLen, 0)
}

// Guards against an older reading, whose answer came late, in place of a newer one.
func TestOlderReadingChangesNothing(t *testing.T) {
	c := qt.New(t)
	var s follow.PartCache[string]
	s.Put(follow.PartInstances, 2, time.Unix(5, 0), "new")
	s.Put(follow.PartInstances, 1, time.Unix(4, 0), "old")
	c.Assert(s.UpdatesFor(map[follow.Part]follow.Version{})[follow.PartInstances].Body, qt.Equals, "new")
}

// Guards against moments that look more recent than they are, by clocks that differ and messages
// that are long on their way.
func TestNoMomentIsTranslatedTooLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The true time is this host's clock; the other's is ahead or behind, and drifts.
		span := func(name string, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, name))
		}
		offset := span("offset", time.Hour) - 30*time.Minute
		drift := rapid.Float64Range(-0.0005, 0.0005).Draw(t, "drift")
		other := func(at time.Time) time.Time {
			since := at.Sub(time.Unix(1000, 0))
			return at.Add(offset + time.Duration(float64(since)*drift))
		}
		var c follow.ClockMapping
		sent := time.Unix(1000, 0)
		for range rapid.IntRange(1, 4).Draw(t, "echoes") {
			sent = sent.Add(span("pause", 3*time.Second))
			c.Observe(sent, other(sent.Add(span("way", 2*time.Second))))
		}
		at := sent.Add(span("at", 15*time.Second) - 5*time.Second)
		got, ok := c.NotBefore(other(at))
		if ok && got.After(at) {
			t.Fatalf("%v was taken for %v", at, got)
		}
	})
}

// Guards against a follower that takes a primary's answers for proved after an order has taken
// effect that it has not heard of: the reader's registration was ended, and the news of it, or of
// the renewals before it, were long on their way.
func TestFollowerIsNotCertainOnceAnOrderHasTakenEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, name))
		}
		start := time.Unix(1000, 0)
		offset := span("offset", time.Hour)
		ended := start.Add(span("ended", 5*time.Second))
		effect := ended.Add(leader.LeaseValidity)
		var c follow.ClockMapping
		var l leader.Lease
		arrived := start
		for sent := start; sent.Before(ended.Add(3 * time.Second)); sent = sent.Add(300 * time.Millisecond) {
			// The store has ended the registration before a renewal reaches it from then on.
			reached := sent.Add(span("to the store", 50*time.Millisecond))
			if !reached.Before(ended) {
				break
			}
			// News come in their order, each after some time; the question that they echo was sent
			// before the reader heard it.
			arrived = later(arrived, reached).Add(span("on the way", 2*time.Second))
			heard := reached.Add(-span("heard", 300*time.Millisecond))
			c.Observe(heard.Add(-span("asked", time.Second)), heard.Add(offset))
			if at, ok := c.NotBefore(sent.Add(offset)); ok {
				l.Renewed(at)
			}
			if at := later(arrived, effect); l.RecordsCurrent(at) {
				t.Fatalf("certain %v after the order took effect", at.Sub(effect))
			}
		}
	})
}

// Guards against a follower that takes a renewal for proof although it lacks a record: it had left the
// reader for another one, and what the reader passed on meanwhile was not taken in.
func TestFollowerThatComesBackAsksForEverything(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return now.Add(d * time.Millisecond) }
	var r follow.PartCache[string]
	r.Put(follow.PartRecords, 1, at(0), "no order")
	has := map[follow.Part]follow.Version{}
	var s follow.Subscription
	s.Begin("r1", at(0))
	c.Assert(s.Ask(), qt.IsTrue)
	c.Assert(s.Accepts("r1", at(1)), qt.IsTrue)
	r.UpdatesFor(has)
	c.Assert(s.Ask(), qt.IsFalse)
	s.Begin("r2", at(500))
	r.Put(follow.PartRecords, 2, at(600), "an order")
	c.Assert(r.UpdatesFor(has)[follow.PartRecords].HasBody, qt.IsTrue)
	c.Assert(s.Accepts("r1", at(1)), qt.IsFalse)
	s.Begin("r1", at(900))
	// What is still on its way says nothing of the record any more.
	c.Assert(r.UpdatesFor(has)[follow.PartRecords].HasBody, qt.IsFalse)
	c.Assert(s.Accepts("r1", at(1)), qt.IsFalse)
	if s.Ask() {
		clear(has)
	}
	c.Assert(r.UpdatesFor(has)[follow.PartRecords].Body, qt.Equals, "an order")
	c.Assert(s.Accepts("r1", at(901)), qt.IsTrue)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// centre is the hosts of one data centre, which hear each other's reports late.
type centre struct {
	now   time.Time
	hosts []*host
}

type host struct {
	follow.Candidate
	since, renewed time.Time
	dead           bool
	// told is what the others have heard of it, which becomes so at toldAt.
	told, next follow.Candidate
	refused    bool
}

func newCentre(n int) *centre {
	s := &centre{now: time.Unix(1000, 0)}
	for h := range n {
		o := &host{Candidate: follow.Candidate{Host: fleet.Host(fmt.Sprintf("h%d", h)), Capacity: 0.2}, since: s.now}
		if h < 3 {
			o.Capacity = 0.8
		}
		// The census of a start has found nobody, for the first of them.
		o.IsReader = h == 0
		s.hosts = append(s.hosts, o)
	}
	return s
}

// run lets time go by; reports take 0.4 s at most.
func (s *centre) run(d time.Duration) (most int) {
	const step = 50 * time.Millisecond
	for n := range int(d / step) {
		s.now = s.now.Add(step)
		if n%8 == 0 {
			for _, o := range s.hosts {
				o.told, o.next = o.next, o.Candidate
			}
		}
		serving := false
		for _, o := range s.hosts {
			o.StoreUnreachable = o.IsReader && o.refused
			serving = serving || o.IsReader && !o.refused && !o.dead
		}
		for _, o := range s.hosts {
			if serving {
				o.renewed = s.now
			}
			s.choose(o)
		}
		most = max(most, s.readers())
	}
	return most
}

func (s *centre) choose(o *host) {
	if o.dead {
		return
	}
	var others []follow.Candidate
	for _, x := range s.hosts {
		if x != o && !x.dead && x.told.Host != "" {
			others = append(others, x.told)
		}
	}
	reads := follow.Choose(s.now, follow.RoleInput{
		Self: o.Candidate, Others: others, Since: o.since, Renewed: o.renewed,
	}) == follow.RoleReader
	if reads != o.IsReader {
		o.IsReader, o.since = reads, s.now
	}
}

func (s *centre) readers() int {
	n := 0
	for _, o := range s.hosts {
		if o.IsReader && !o.dead {
			n++
		}
	}
	return n
}

// Guards against calls to the store that grow with the fleet: renewals are by far the most of them.
func TestReadersDoNotGrowWithTheDataCentre(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{6, 20, 60, 184} {
		s := newCentre(n)
		c.Check(s.run(10*time.Second) <= 4, qt.IsTrue, qt.Commentf("%d hosts", n))
		c.Check(s.readers(), qt.Equals, 2, qt.Commentf("%d hosts", n))
	}
}

// Guards against a data centre that loses its readers: nothing is proved any more, and no change of
// the catalog arrives.
func TestReadersThatDieAreReplaced(t *testing.T) {
	c := qt.New(t)
	s := newCentre(60)
	s.run(10 * time.Second)
	for _, o := range s.hosts {
		o.dead = o.IsReader
	}
	s.run(2 * time.Second)
	c.Assert(s.readers() > 0, qt.IsTrue)
	s.run(10 * time.Second)
	c.Assert(s.readers(), qt.Equals, 2)
}

// Guards against a store that is down and is tried by every host of the fleet, and one that turns
// the readers away while it would serve others.
func TestStoreThatServesNobodyIsTriedByFew(t *testing.T) {
	c := qt.New(t)
	s := newCentre(60)
	s.run(10 * time.Second)
	for _, o := range s.hosts {
		o.refused = true
	}
	c.Check(s.run(20*time.Second) <= 9, qt.IsTrue)
	s = newCentre(60)
	s.run(10 * time.Second)
	for _, o := range s.hosts {
		o.refused = o.IsReader
	}
	s.run(3 * time.Second)
	served := 0
	for _, o := range s.hosts {
		if o.IsReader && !o.refused {
			served++
		}
	}
	c.Check(served > 0, qt.IsTrue)
}

// Guards against followers that all hang on one reader.
func TestFollowersAreSpread(t *testing.T) {
	c := qt.New(t)
	readers := []follow.Candidate{{Host: "a", IsReader: true}, {Host: "b", IsReader: true}, {Host: "c"}}
	got := map[fleet.Host]int{}
	for n := range 100 {
		lead, ok := follow.ChooseReader(fleet.Host(fmt.Sprintf("h%d", n)), readers)
		c.Assert(ok, qt.IsTrue)
		got[lead]++
	}
	c.Assert(got["a"]+got["b"], qt.Equals, 100)
	c.Assert(got["a"] > 25 && got["b"] > 25, qt.IsTrue)
	_, ok := follow.ChooseReader("h", []follow.Candidate{{Host: "a", IsReader: true, StoreUnreachable: true}, {Host: "c"}})
	c.Assert(ok, qt.IsFalse)
}

// Guards against more hosts that read after a loss of all than before it: of those that were
// registered while the store was in trouble, the usual ones go on.
func TestFirstReaders(t *testing.T) {
	c := qt.New(t)
	cs := []follow.Candidate{
		{Host: "weak-1", Capacity: 0.2}, {Host: "strong", Capacity: 0.8}, {Host: "weak-2", Capacity: 0.2},
	}
	first := follow.StrongestCandidates(cs)
	c.Assert(first, qt.HasLen, 2)
	c.Assert(first[0].Host, qt.Equals, fleet.Host("strong"))
	c.Assert(follow.StrongestCandidates(cs[:1]), qt.HasLen, 1)
	c.Assert(follow.StrongestCandidates(nil), qt.HasLen, 0)
}
