package grants_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/roster"
)

// twoHosts are the hosts of a data centre, of which o2 starts later.
var twoHosts = []fleet.Member{{Host: "o1", DataCentre: "obihiro"}, {Host: "o2", DataCentre: "obihiro"}}

const allShards = int(roster.Shards)

// hotel is an account whose shard moves to o2.
var hotel = document.Account{Name: "hotel", Rate: 500, Burst: 60}

func (b *bench) owned(h fleet.Host) int { return len(b.hosts[h].State().Seats) }

func (b *bench) setDown(down bool) {
	b.store.mu.Lock()
	defer b.store.mu.Unlock()
	b.store.down = down
}

// runFirst runs the hosts, of which o1 owns all shards, as nobody knows of o2 yet.
func (b *bench) runFirst(t *testing.T) {
	t.Helper()
	b.setMembers(twoHosts[:1])
	b.run(t)
	eventually(t, "the first host owns all shards", func() bool { return b.owned("o1") == allShards })
}

// longerThanAMove is longer than the roster has to assign a shard to a host before it moves.
const longerThanAMove = 5 * time.Second

// Guards against shards that nobody owns for the whole outage of the store: the store is down when the
// roster assigns them to a host that has just started, and that host can't take them.
func TestOutageOfTheStoreLeavesNoShardWithoutOwner(t *testing.T) {
	c := qt.New(t)
	b := newBench(twoHosts, hotel)
	b.runFirst(t)
	b.setDown(true)
	b.setMembers(twoHosts)
	for end := time.Now().Add(longerThanAMove); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c.Assert(b.owned("o1"), qt.Equals, allShards)
	}
	b.setDown(false)
	eventually(t, "the shards have moved", func() bool {
		return b.owned("o2") > 0 && b.owned("o1")+b.owned("o2") == allShards
	})
}

// Guards against shards whose owner names no witness for them because they are about to move: when the
// store goes down before they do, nobody grants after the lease has ended.
func TestShardsThatAreToMoveHaveAWitness(t *testing.T) {
	c := qt.New(t)
	b := newBench(twoHosts, hotel)
	const leaseFor = 2 * time.Second
	var frozen atomic.Pointer[time.Time]
	b.until = func(fleet.Host) time.Time {
		if t := frozen.Load(); t != nil {
			return *t
		}
		return time.Now().Add(leaseFor)
	}
	b.runFirst(t)
	b.setMembers(twoHosts)
	eventually(t, "every shard has a witness", func() bool {
		n := 0
		for _, s := range b.hosts["o1"].State().Seats {
			if s.Witness.Host == "o2" {
				n++
			}
		}
		return n == allShards
	})
	end := time.Now().Add(leaseFor)
	frozen.Store(&end)
	b.setDown(true)
	eventually(t, "the leases have ended", func() bool { return time.Now().After(end.Add(time.Second)) })
	n, refused := b.admit("o2", 20)
	c.Assert(n, qt.Equals, 20, qt.Commentf("%v", refused))
}

// checkOwnedAtReads checks that all shards have an owner whenever the host to reads the record.
func (b *bench) checkOwnedAtReads(t *testing.T, to fleet.Host) {
	check := func(h fleet.Host) {
		if n := b.owned("o1") + b.owned("o2"); h == to && n != allShards {
			t.Errorf("%d of %d shards have an owner when %s reads the record", n, allShards, to)
		}
	}
	b.beforeRead.Store(&check)
}

// Guards against an account within its rate that is refused while its shard moves to a host that has
// just started: nobody granted from when the former owner stopped until the new one looked again.
func TestShardIsOwnedUntilItsNextOwnerIsAboutToSwap(t *testing.T) {
	c := qt.New(t)
	b := newBench(twoHosts, hotel)
	b.runFirst(t)
	b.checkOwnedAtReads(t, "o2")
	b.setMembers(twoHosts)
	eventually(t, "the shards have moved", func() bool {
		return b.owned("o2") > 0 && b.owned("o1")+b.owned("o2") == allShards
	})
	c.Assert(b.homeLevel("o2") > 0, qt.IsTrue, qt.Commentf("the tokens left have moved"))
	c.Assert(b.homeLevel("o1"), qt.Equals, -1.0)
}

// Guards against shards that nobody owns in a rolling restart, from the end of a host until the next
// owner looks again: it gets them while the leaving host still finishes its requests.
func TestLeavingHostHandsItsShardsOver(t *testing.T) {
	b := newBench(twoHosts, hotel)
	b.runFirst(t)
	b.checkOwnedAtReads(t, "o2")
	leaving := []fleet.Member{twoHosts[0], twoHosts[1]}
	leaving[0].Leaving = true
	b.setMembers(leaving)
	eventually(t, "the shards have moved", func() bool { return b.owned("o2") == allShards })
	b.hosts["o1"].Leave(context.Background())
	eventually(t, "they stay", func() bool { return b.owned("o2") == allShards })
}

// Guards against tokens that are spent by both owners of a shard that moves: they are with the
// answer that says so, and with the release that the former owner writes if that answer is lost.
func TestTokensThatMoveAreSpentOnce(t *testing.T) {
	const burst = 30
	for _, lost := range []bool{false, true} {
		c := qt.New(t)
		b := newBench(twoHosts, document.Account{Name: "hotel", Rate: 0.01, Burst: burst})
		b.runFirst(t)
		before, _ := b.admit("o1", 10)
		c.Assert(before, qt.Equals, 10)
		b.losesAnswers.Store(lost)
		b.setMembers(twoHosts)
		eventually(t, "the shards have moved", func() bool {
			return b.owned("o2") > 0 && b.owned("o1")+b.owned("o2") == allShards
		})
		b.losesAnswers.Store(false)
		after := 0
		eventually(t, "the new owner grants what was left", func() bool {
			for _, m := range twoHosts {
				n, _ := b.admit(m.Host, burst)
				after += n
			}
			return after >= burst/3
		})
		c.Assert(before+after <= burst, qt.IsTrue, qt.Commentf("%d of %d, answers lost: %t", before+after, burst, lost))
	}
}

// Guards against a host that takes no shards for seconds after its start: it looks before it is
// registered, and then waits as if another host owned them.
func TestHostLooksForShardsOnlyOnceItIsRegistered(t *testing.T) {
	c := qt.New(t)
	b := newBench(twoHosts[:1], hotel)
	var registered atomic.Bool
	var early atomic.Int64
	b.until = func(fleet.Host) time.Time {
		if !registered.Load() {
			return time.Time{}
		}
		return time.Now().Add(time.Minute)
	}
	check := func(fleet.Host) {
		if !registered.Load() {
			early.Add(1)
		}
	}
	b.beforeRead.Store(&check)
	b.run(t)
	time.Sleep(time.Second) // two checks
	c.Assert(early.Load(), qt.Equals, int64(0))
	registered.Store(true)
	eventually(t, "the host owns all shards", func() bool { return b.owned("o1") == allShards })
}
