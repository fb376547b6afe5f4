package roster_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/roster"
)

// TestMain fixes the seed, so that each run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var epoch = time.Unix(1_700_000_000, 0)

func member(n int) fleet.Member {
	return fleet.Member{Host: fleet.Host(fmt.Sprintf("h%d", n)), DataCentre: "riga-1"}
}

func record(n int, epoch, heartbeat uint64) roster.Record {
	return roster.Record{Member: member(n), Epoch: epoch, Heartbeat: heartbeat}
}

func ExampleDutyHolder() {
	members := []fleet.Member{member(1), member(2), member(3)}
	before, _ := roster.DutyHolder(members, roster.Watcher("cellar"))
	members[0].Leaving = before.Host == "h1"
	members[1].Leaving = before.Host == "h2"
	members[2].Leaving = before.Host == "h3"
	after, _ := roster.DutyHolder(members, roster.Watcher("cellar"))
	fmt.Println(before.Host != after.Host)
	// Output: true
}

// Guards against a change of the roster that moves all duties at once: two hosts whose rosters
// differ by one host must agree on nearly every duty.
func TestDutiesMoveOnlyWithTheirHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "hosts")
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		var all, rest []fleet.Member
		for i := range n {
			all = append(all, member(i))
			if i != gone {
				rest = append(rest, member(i))
			}
		}
		rotated := append(append([]fleet.Member{}, all[1:]...), all[0])
		for s := range roster.Shards {
			d := roster.Home("riga-1", roster.Shard(s))
			before, _ := roster.DutyHolder(all, d)
			after, _ := roster.DutyHolder(rest, d)
			if holder, _ := roster.DutyHolder(rotated, d); holder != before {
				t.Fatalf("the order of the members matters: %v, %v", holder, before)
			}
			if before != member(gone) && after != before {
				t.Fatalf("duty moved from %v to %v as %v left", before, after, member(gone))
			}
			ranked := roster.RankForDuty(all, d)
			if ranked[0] != before || before == member(gone) && ranked[1] != after {
				t.Fatalf("wrong order: %v", ranked)
			}
		}
	})
}

// Guards against hosts that own far more shards than others of their data centre.
func TestHomesSpreadEvenly(t *testing.T) {
	var members []fleet.Member
	count := map[fleet.Host]int{}
	for i := range 4 {
		members = append(members, member(i))
	}
	for s := range 100 * roster.Shards {
		holder, _ := roster.DutyHolder(members, roster.Home("riga-1", roster.Shard(s)))
		count[holder.Host]++
	}
	for h, n := range count {
		qt.Check(t, n > 600 && n < 1000, qt.IsTrue, qt.Commentf("%s has %d of 3200", h, n))
	}
}

// The store is down for ten minutes. Hosts whose heartbeats arrive stay members, and one that dies
// in the meantime is noticed by its silence.
func TestStoreOutageRemovesNoMember(t *testing.T) {
	c := qt.New(t)
	r := roster.Roster{Self: "h1"}
	r.MergeStore(epoch, []roster.Record{record(1, 1, 1), record(2, 1, 1), record(3, 1, 1)})
	now := epoch
	for heartbeat := uint64(2); heartbeat < 600; heartbeat++ {
		now = now.Add(time.Second)
		heard := []roster.Record{record(1, 1, heartbeat), record(2, 1, heartbeat)}
		if heartbeat < 300 {
			heard = append(heard, record(3, 1, heartbeat))
		}
		r.Merge(now, heard)
		if heartbeat == 299 {
			c.Assert(r.Members(now), qt.DeepEquals, []fleet.Member{member(1), member(2), member(3)})
		}
	}
	c.Assert(r.Members(now), qt.DeepEquals, []fleet.Member{member(1), member(2)})
	c.Assert(r.Silent(now), qt.DeepEquals, []fleet.Member{member(3)})
}

// This host is cut off from another one, which the store still lists.
func TestListedHostStaysMemberThroughAPartition(t *testing.T) {
	c := qt.New(t)
	r := roster.Roster{Self: "h1"}
	now := epoch
	for range 100 {
		now = now.Add(time.Second)
		r.MergeStore(now, []roster.Record{record(1, 1, 1), record(2, 1, 1)})
	}
	c.Assert(r.Members(now), qt.DeepEquals, []fleet.Member{member(1), member(2)})
	r.MergeStore(now, []roster.Record{record(1, 1, 1)})
	c.Assert(r.Members(now), qt.DeepEquals, []fleet.Member{member(1)}, qt.Commentf("its lease has ended"))
}

// A host has died, and digests still repeat its last record. Only a rising heartbeat counts, or
// repeated records would keep dead hosts members.
func TestRepeatedHeartbeatKeepsNoHostAlive(t *testing.T) {
	c := qt.New(t)
	r := roster.Roster{Self: "h1"}
	now := epoch
	r.Merge(now, []roster.Record{record(1, 1, 1), record(2, 1, 50)})
	for heartbeat := uint64(2); heartbeat < 20; heartbeat++ {
		now = now.Add(time.Second)
		r.Merge(now, []roster.Record{record(1, 1, heartbeat), record(2, 1, 50), record(2, 1, 49)})
	}
	c.Assert(r.Members(now), qt.DeepEquals, []fleet.Member{member(1)})
	r.Merge(now, []roster.Record{record(2, 2, 1)})
	c.Assert(r.Members(now), qt.DeepEquals, []fleet.Member{member(1), member(2)}, qt.Commentf("it has restarted"))
}

// The platform's list lags: it still names a host that has been gone for long, and marks one as
// leaving whose successor has started.
func TestPlatformListLags(t *testing.T) {
	c := qt.New(t)
	r := roster.Roster{Self: "h1"}
	leaving := member(2)
	leaving.Leaving = true
	r.Merge(epoch, []roster.Record{record(1, 1, 1), record(2, 1, 1)})
	r.MergePlatform([]roster.PlatformMember{{Member: leaving}, {Member: member(9)}})
	c.Assert(r.Members(epoch), qt.DeepEquals, []fleet.Member{member(1), leaving})
	c.Assert(r.Silent(epoch), qt.DeepEquals, []fleet.Member{member(9)}, qt.Commentf("may be contacted, isn't live"))
	r.Merge(epoch, []roster.Record{record(2, 2, 1)})
	c.Assert(r.Members(epoch), qt.DeepEquals, []fleet.Member{member(1), member(2)})
}

// Guards against a host that restarts and gets no duty: others read its new registration in the store before
// they hear of its new process from a peer, and the marks of its former process stay for good.
func TestRestartedHostIsNoLongerLeavingOnceTheStoreListsIt(t *testing.T) {
	c := qt.New(t)
	left := member(2)
	left.Leaving = true
	for name, mark := range map[string]func(r *roster.Roster){
		"by its own record": func(r *roster.Roster) {
			r.Merge(epoch, []roster.Record{{Member: left, Epoch: 1, Heartbeat: 2}})
		},
		"by its record in the store": func(r *roster.Roster) {
			r.MergeStore(epoch, []roster.Record{record(1, 1, 1), {Member: left, Epoch: 1, Heartbeat: 2}})
		},
		"by the platform": func(r *roster.Roster) {
			r.MergePlatform([]roster.PlatformMember{{Member: left}})
		},
	} {
		r := roster.Roster{Self: "h1"}
		r.Merge(epoch, []roster.Record{record(1, 1, 1), record(2, 1, 1)})
		mark(&r)
		c.Assert(r.Members(epoch), qt.DeepEquals, []fleet.Member{member(1), left}, qt.Commentf("%s", name))
		restarted := record(2, 2, 1)
		restarted.Lease = 22
		r.MergeStore(epoch, []roster.Record{record(1, 1, 1), restarted})
		c.Check(r.Members(epoch), qt.DeepEquals, []fleet.Member{member(1), member(2)}, qt.Commentf("%s", name))
		r.Merge(epoch, []roster.Record{record(2, 2, 2)})
		c.Check(r.Members(epoch), qt.DeepEquals, []fleet.Member{member(1), member(2)}, qt.Commentf("%s", name))
	}
}

// Guards against a host that is paused for longer than others may be silent, and on waking takes them all
// for gone: it has no peer to hear from, nor one to get its accounts' tokens from.
func TestPauseOfThisHostIsNoSilenceOfTheOthers(t *testing.T) {
	c := qt.New(t)
	r := roster.Roster{Self: "h1"}
	now := epoch
	beat := uint64(0)
	// tick is what a host does every second; h2 and h3 are heard, and h3 dies.
	tick := func(heard ...int) {
		beat++
		now = now.Add(time.Second)
		records := []roster.Record{record(1, 1, beat)}
		for _, n := range heard {
			records = append(records, record(n, 1, beat))
		}
		r.Merge(now, records)
	}
	for range 10 {
		tick(2, 3)
	}
	tick(2)
	now = now.Add(time.Minute)
	c.Assert(r.Members(now), qt.DeepEquals, []fleet.Member{member(1), member(2), member(3)})
	for range 10 {
		tick(2)
	}
	c.Assert(r.Members(now), qt.DeepEquals, []fleet.Member{member(1), member(2)}, qt.Commentf("h3 has died"))
}

// A host is suspended for longer than its lease and wakes. It must see that the lease has ended
// before it acts, counted from when the last renewal was sent.
func TestLeaseEndsByTheHostsOwnClock(t *testing.T) {
	c := qt.New(t)
	var l roster.Lease
	c.Assert(l.Valid(epoch), qt.IsFalse)
	l.Renewed(epoch)
	c.Assert(l.Valid(epoch.Add(roster.LeaseTTL*8/10)), qt.IsTrue)
	c.Assert(l.Valid(epoch.Add(roster.LeaseTTL*9/10)), qt.IsFalse, qt.Commentf("the margin for a slow clock"))
	l.Renewed(epoch.Add(-time.Second))
	c.Assert(l.Valid(epoch.Add(roster.LeaseTTL*8/10)), qt.IsTrue, qt.Commentf("a late response doesn't shorten it"))
}
