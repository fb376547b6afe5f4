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
	"skylarkdeal/core/times"
)

func ExamplePartCache() {
	var c follow.PartCache[string]
	c.Put(follow.PartCatalog, follow.PartCopy[string]{Version: 7, CompleteTo: 9, Body: "the catalog"})
	has := map[follow.Part]follow.Version{}
	fmt.Println(c.UpdatesFor(has)[follow.PartCatalog].Body)
	fmt.Println(c.UpdatesFor(has)[follow.PartCatalog].HasBody)
	// Output:
	// the catalog
	// false
}

// Guards against a panic on a reader that has not read anything yet when it is followed, such as
// one that took over while the store was down.
func TestReaderWithoutPartsPassesOnNothing(t *testing.T) {
	c := qt.New(t)
	var cache follow.PartCache[string]
	has := map[follow.Part]follow.Version{}
	parts := cache.UpdatesFor(has)
	c.Assert(parts, qt.HasLen, 0)
	// The sender of the update adds the hosts.
	parts[follow.PartHosts] = follow.PartCopy[string]{HasBody: true}
	c.Assert(has, qt.HasLen, 0)
}

// Guards against an older copy that arrives late, or was begun later and holds less, and replaces a
// newer one. It may confirm the newer one.
func TestOlderCopyIsIgnored(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		var cache follow.PartCache[follow.Revision]
		newest, read := follow.Revision(0), time.Time{}
		for range rapid.IntRange(1, 8).Draw(t, "copies") {
			o := follow.PartCopy[follow.Revision]{
				// The version tells nothing about the order.
				Version:    follow.Version(rapid.Uint64Range(1, 9).Draw(t, "version")),
				CompleteTo: follow.Revision(rapid.Uint64Range(1, 9).Draw(t, "revision")),
				ReadAt:     time.Unix(rapid.Int64Range(1, 9).Draw(t, "read"), 0),
			}
			o.Body = o.CompleteTo
			newest, read = max(newest, o.CompleteTo), times.Later(read, o.ReadAt)
			cache.Put(follow.PartInstances, o)
			got := cache.UpdatesFor(map[follow.Part]follow.Version{})[follow.PartInstances]
			c.Assert(got.CompleteTo, qt.Equals, newest)
			c.Assert(got.Body, qt.Equals, newest)
			c.Assert(got.ReadAt.Equal(read), qt.IsTrue)
			c.Assert(got.HasBody, qt.IsTrue)
		}
	})
}

// Guards against translated times that seem more recent than they are, with clocks that differ and
// messages that are delayed.
func TestTranslatedTimeIsNeverTooLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The true time is this host's clock. The other clock is ahead or behind, and drifts.
		span := func(name string, limit time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(limit)).Draw(t, name))
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
			t.Fatalf("%v was translated to %v", at, got)
		}
	})
}

// Guards against a follower that takes a primary's answers for verified after a promotion of which
// it doesn't know has taken effect: the reader's registration was ended, and the update about that,
// or about the renewals before it, was delayed.
func TestFollowerDoesNotTrustItsRecordsAfterAPromotion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string, limit time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(limit)).Draw(t, name))
		}
		start := time.Unix(1000, 0)
		offset := span("offset", time.Hour)
		ended := start.Add(span("ended", 5*time.Second))
		tookEffect := ended.Add(leader.LeaseValidity)
		var c follow.ClockMapping
		var l leader.Lease
		arrived := start
		for sent := start; sent.Before(ended.Add(3 * time.Second)); sent = sent.Add(300 * time.Millisecond) {
			// Once the store has ended the registration, no renewal succeeds.
			reached := sent.Add(span("to the store", 50*time.Millisecond))
			if !reached.Before(ended) {
				break
			}
			// Updates arrive in order, each after some delay. The request that an update echoes was
			// sent before the reader received it.
			arrived = times.Later(arrived, reached).Add(span("on the way", 2*time.Second))
			heard := reached.Add(-span("heard", 300*time.Millisecond))
			c.Observe(heard.Add(-span("asked", time.Second)), heard.Add(offset))
			if at, ok := c.NotBefore(sent.Add(offset)); ok {
				l.Renewed(at)
			}
			if at := times.Later(arrived, tookEffect); l.RecordsCurrent(at) {
				t.Fatalf("records trusted %v after the promotion took effect", at.Sub(tookEffect))
			}
		}
	})
}

// A follower leaves a reader for another one, ignores the promotion record that the first reader
// forwards meanwhile, and returns. It must not trust that reader's lease renewal until it has
// requested all parts again.
func TestReturningFollowerRequestsAllParts(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return now.Add(d * time.Millisecond) }
	var reader follow.PartCache[string]
	reader.Put(follow.PartRecords, follow.PartCopy[string]{Version: 1, Body: "no promotion request"})
	has := map[follow.Part]follow.Version{}
	var sub follow.Subscription
	sub.Begin("r1", at(0))
	c.Assert(sub.RequestFull(), qt.IsTrue)
	c.Assert(sub.Accepts("r1", at(1)), qt.IsTrue)
	reader.UpdatesFor(has)
	c.Assert(sub.RequestFull(), qt.IsFalse)
	sub.Begin("r2", at(500))
	reader.Put(follow.PartRecords, follow.PartCopy[string]{Version: 2, Body: "a promotion request"})
	c.Assert(reader.UpdatesFor(has)[follow.PartRecords].HasBody, qt.IsTrue)
	c.Assert(sub.Accepts("r1", at(1)), qt.IsFalse)
	sub.Begin("r1", at(900))
	// An update still in transit no longer contains the record.
	c.Assert(reader.UpdatesFor(has)[follow.PartRecords].HasBody, qt.IsFalse)
	c.Assert(sub.Accepts("r1", at(1)), qt.IsFalse)
	if sub.RequestFull() {
		clear(has)
	}
	c.Assert(reader.UpdatesFor(has)[follow.PartRecords].Body, qt.Equals, "a promotion request")
	c.Assert(sub.Accepts("r1", at(901)), qt.IsTrue)
}

// dataCentre is a simulated data centre whose hosts receive each other's reports late.
type dataCentre struct {
	now   time.Time
	hosts []*host
}

type host struct {
	follow.Candidate
	since, renewed time.Time
	dead           bool
	// visible is the report that the other hosts have received; nextReport replaces it with the
	// next round of reports.
	visible, nextReport follow.Candidate
	refused             bool
}

func newDataCentre(n int) *dataCentre {
	dc := &dataCentre{now: time.Unix(1000, 0)}
	for i := range n {
		h := &host{Candidate: follow.Candidate{Host: fleet.Host(fmt.Sprintf("h%d", i)), Capacity: 0.2}, since: dc.now}
		if i < 3 {
			h.Capacity = 0.8
		}
		// At the start the first host has found no other host registered, so it is a reader.
		h.IsReader = i == 0
		dc.hosts = append(dc.hosts, h)
	}
	return dc
}

// run simulates a span of time and returns the highest number of readers in it. Reports take 0.4 s
// at most.
func (dc *dataCentre) run(d time.Duration) (maxReaders int) {
	const step = 50 * time.Millisecond
	for n := range int(d / step) {
		dc.now = dc.now.Add(step)
		if n%8 == 0 {
			for _, h := range dc.hosts {
				h.visible, h.nextReport = h.nextReport, h.Candidate
			}
		}
		serving := false
		for _, h := range dc.hosts {
			h.StoreUnreachable = h.IsReader && h.refused
			serving = serving || h.IsReader && !h.refused && !h.dead
		}
		for _, h := range dc.hosts {
			if serving {
				h.renewed = dc.now
			}
			dc.choose(h)
		}
		maxReaders = max(maxReaders, dc.readers())
	}
	return maxReaders
}

func (dc *dataCentre) choose(h *host) {
	if h.dead {
		return
	}
	var others []follow.Candidate
	for _, other := range dc.hosts {
		if other != h && !other.dead && other.visible.Host != "" {
			others = append(others, other.visible)
		}
	}
	reads := follow.Choose(dc.now, follow.RoleInput{
		Self: h.Candidate, Others: others, RoleSince: h.since, LastRenewal: h.renewed,
	}) == follow.RoleReader
	if reads != h.IsReader {
		h.IsReader, h.since = reads, dc.now
	}
}

func (dc *dataCentre) readers() int {
	n := 0
	for _, h := range dc.hosts {
		if h.IsReader && !h.dead {
			n++
		}
	}
	return n
}

// Guards against calls to the store that grow with the fleet. Most calls are renewals of readers.
func TestReadersDoNotGrowWithTheDataCentre(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{6, 20, 60, 184} {
		dc := newDataCentre(n)
		c.Check(dc.run(10*time.Second) <= 4, qt.IsTrue, qt.Commentf("%d hosts", n))
		c.Check(dc.readers(), qt.Equals, 2, qt.Commentf("%d hosts", n))
	}
}

// Guards against a data centre that loses all its readers: no answer is verified any more, and no
// change of the catalog arrives.
func TestReadersThatDieAreReplaced(t *testing.T) {
	c := qt.New(t)
	dc := newDataCentre(60)
	dc.run(10 * time.Second)
	for _, h := range dc.hosts {
		h.dead = h.IsReader
	}
	dc.run(2 * time.Second)
	c.Assert(dc.readers() > 0, qt.IsTrue)
	dc.run(10 * time.Second)
	c.Assert(dc.readers(), qt.Equals, 2)
}

// Guards against an unavailable store that every host of the fleet tries, and against a store that
// refuses the readers while it would serve other hosts.
func TestUnavailableStoreIsTriedByFewHosts(t *testing.T) {
	c := qt.New(t)
	dc := newDataCentre(60)
	dc.run(10 * time.Second)
	for _, h := range dc.hosts {
		h.refused = true
	}
	c.Check(dc.run(20*time.Second) <= 9, qt.IsTrue)
	dc = newDataCentre(60)
	dc.run(10 * time.Second)
	for _, h := range dc.hosts {
		h.refused = h.IsReader
	}
	dc.run(3 * time.Second)
	served := 0
	for _, h := range dc.hosts {
		if h.IsReader && !h.refused {
			served++
		}
	}
	c.Check(served > 0, qt.IsTrue)
}

// Guards against followers that all follow one reader.
func TestFollowersAreSpread(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1000, 0)
	readers := []follow.Candidate{{Host: "a", IsReader: true}, {Host: "b", IsReader: true}, {Host: "c"}}
	got := map[fleet.Host]int{}
	for n := range 100 {
		reader, ok := follow.ChooseReader(at, fleet.Host(fmt.Sprintf("h%d", n)), readers, nil)
		c.Assert(ok, qt.IsTrue)
		got[reader]++
	}
	c.Assert(got["a"]+got["b"], qt.Equals, 100)
	c.Assert(got["a"] > 25 && got["b"] > 25, qt.IsTrue)
	unreachable := []follow.Candidate{{Host: "a", IsReader: true, StoreUnreachable: true}, {Host: "c"}}
	_, ok := follow.ChooseReader(at, "h", unreachable, nil)
	c.Assert(ok, qt.IsFalse)
}

// Guards against followers that go on with readers which the store leaves unanswered, while readers of
// another data centre are served.
func TestFollowerLeavesReadersThatPassOnNothing(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1000, 0)
	type list []follow.Candidate
	left := func(n fleet.Host, ago time.Duration) follow.Candidate {
		return follow.Candidate{Host: n, IsReader: true, LeftAt: at.Add(-ago)}
	}
	unreachable := func(n fleet.Host) follow.Candidate {
		return follow.Candidate{Host: n, IsReader: true, StoreUnreachable: true}
	}
	for name, x := range map[string]struct {
		local, elsewhere list
		want             fleet.Host
	}{
		"one left":              {list{left("a", 0), left("b", time.Hour)}, list{left("x", time.Hour)}, "b"},
		"all local left":        {list{left("a", time.Second), left("b", 0)}, list{left("x", time.Hour)}, "x"},
		"local left long ago":   {list{left("a", time.Minute)}, list{left("x", time.Hour)}, "a"},
		"all left":              {list{left("a", 0)}, list{left("x", 0)}, "a"},
		"none local":            {nil, list{left("x", 0)}, "x"},
		"local can't reach it":  {list{unreachable("a")}, list{left("x", 0)}, "x"},
		"elsewhere can't reach": {list{left("a", 0)}, list{unreachable("x")}, "a"},
	} {
		got, ok := follow.ChooseReader(at, "h", x.local, x.elsewhere)
		c.Check(ok, qt.IsTrue, qt.Commentf("%s", name))
		c.Check(got, qt.Equals, x.want, qt.Commentf("%s", name))
	}
	// It returns once one of them works again.
	_, ok := follow.ChooseLocalReader(at, "h", list{left("a", time.Second), unreachable("b")})
	c.Check(ok, qt.IsFalse)
	got, ok := follow.ChooseLocalReader(at, "h", list{left("a", time.Minute), unreachable("b")})
	c.Check(ok, qt.IsTrue)
	c.Check(got, qt.Equals, fleet.Host("a"))
}

// Guards against more readers after a loss of all hosts than before it: of the hosts that
// registered while the store was unavailable, only the strongest stay readers.
func TestStrongestCandidates(t *testing.T) {
	c := qt.New(t)
	cs := []follow.Candidate{
		{Host: "weak-1", Capacity: 0.2}, {Host: "strong", Capacity: 0.8}, {Host: "weak-2", Capacity: 0.2},
	}
	strongest := follow.StrongestCandidates(cs)
	c.Assert(strongest, qt.HasLen, 2)
	c.Assert(strongest[0].Host, qt.Equals, fleet.Host("strong"))
	c.Assert(follow.StrongestCandidates(cs[:1]), qt.HasLen, 1)
	c.Assert(follow.StrongestCandidates(nil), qt.HasLen, 0)
}

// Guards against a follower that keeps the instances of its former reader after all have been removed: an
// empty list has no digest, and its version, zero, looked like one that the follower has.
func TestEmptyPartIsPassedOn(t *testing.T) {
	c := qt.New(t)
	var cache follow.PartCache[string]
	cache.Put(follow.PartInstances, follow.PartCopy[string]{CompleteTo: 7})
	has := map[follow.Part]follow.Version{}
	c.Check(cache.UpdatesFor(has)[follow.PartInstances].HasBody, qt.IsTrue)
	c.Check(cache.UpdatesFor(has)[follow.PartInstances].HasBody, qt.IsFalse)
}
