package relay_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/relay"
)

// newSyncWorld returns the world of a failover coordinator whose group has one synchronous replica.
func newSyncWorld(c *qt.C) *world {
	w := newWorld(c)
	w.revise(func(d *catalog.Catalog) {
		d.Services = map[fleet.Service]catalog.Service{service: {Name: service, Connections: 16, SyncReplicas: 1}}
	})
	w.withConfirmedPrimary()
	w.relay.SetCoordinator(true)
	w.advance(200*time.Millisecond, true)
	return w
}

// receivedUpTo sets the ends of the logs of a, b and c.
func (w *world) receivedUpTo(a, b, c fleet.LogIndex) {
	for n, i := range map[fleet.Instance]fleet.LogIndex{"a": a, "b": b, "c": c} {
		w.instances[n].position = fleet.LogPosition{Term: 1, Index: i}
	}
}

// lead has an instance lead a term, as a promotion does.
func (w *world) lead(n fleet.Instance, t fleet.Term) {
	w.instances[n].role, w.instances[n].term, w.instances[n].held = fleet.RolePrimary, t, 0
}

// follow adds the record of the last promotion request.
func (w *world) follow() leader.PromotionRequest {
	o := w.promotionRequests[len(w.promotionRequests)-1]
	w.relay.AddRecord(leader.Record{
		Service: service, Term: o.Term, Primary: o.Primary, Former: o.Former, Revision: 7 + uint64(len(w.promotionRequests)),
	})
	w.relay.PromotionFinished(o, true, false)
	return o
}

// Guards against the loss of commits that only a replica which is leaving has confirmed, when the primary crashes
// while the other replica receives nothing.
func TestReplicaThatConfirmedIsPromotedThoughItLeaves(t *testing.T) {
	c := qt.New(t)
	w := newSyncWorld(c)
	w.list("b")
	w.receivedUpTo(99, 99, 5)
	w.makeUnreachable("a")
	w.advance(2*time.Second, true)
	c.Assert(w.promotionRequests, qt.HasLen, 1)
	c.Check(w.promotionRequests[0].Primary, qt.Equals, fleet.Instance("b"))
	c.Check(w.instances["c"].held, qt.Equals, fleet.Term(2))

	// It is replaced once another replica has its log, and that replica can be relied on.
	w.follow()
	w.lead("b", 2)
	w.instances["c"].term = 2
	w.instances["c"].position = fleet.LogPosition{Term: 1, Index: 60}
	w.advance(time.Second, true)
	c.Check(w.instances["c"].held, qt.Equals, fleet.Term(0))
	c.Assert(w.promotionRequests, qt.HasLen, 1)
	a := w.instances["a"]
	a.silent, a.role, a.term = false, fleet.RoleReplica, 2
	w.instances["c"].position = fleet.LogPosition{Term: 1, Index: 99}
	w.advance(3*time.Second, true)
	c.Assert(w.promotionRequests, qt.HasLen, 2)
	c.Check(w.promotionRequests[1].Primary, qt.Not(qt.Equals), fleet.Instance("b"))
}

// Guards against a promotion while a replica that may have confirmed commits can't be asked: it answers late, or is
// cut off, or has gone from the list.
func TestPromotionWaitsForTheReplicaThatMayHaveConfirmed(t *testing.T) {
	c := qt.New(t)
	for _, unlisted := range []bool{false, true} {
		w := newSyncWorld(c)
		w.receivedUpTo(99, 99, 5)
		w.makeUnreachable("b")
		w.makeUnreachable("a")
		w.instances["a"].unlisted, w.instances["b"].unlisted = unlisted, unlisted
		w.listFor(12 * time.Second)
		c.Assert(w.promotionRequests, qt.HasLen, 0)
		// Either of the two is enough.
		b := w.instances["b"]
		b.silent, b.unlisted = false, false
		w.listFor(4 * time.Second)
		c.Assert(w.promotionRequests, qt.HasLen, 1)
		c.Check(w.promotionRequests[0].Primary, qt.Equals, fleet.Instance("b"))
	}
}

// Guards against a group that stays without a primary when the crashed one is back with its log.
func TestPrimaryThatReturnsIsUsedAgain(t *testing.T) {
	c := qt.New(t)
	w := newSyncWorld(c)
	w.receivedUpTo(99, 99, 5)
	w.makeUnreachable("b")
	w.makeUnreachable("a")
	w.listFor(6 * time.Second)
	w.instances["a"].silent = false
	w.advance(2*time.Second, true)
	x := w.open("rush", "key-1")
	x.do("write", "", "item data")
	w.advance(100*time.Millisecond, true)
	c.Check(x.last().Digest, qt.Equals, "d-a")
	c.Check(w.promotionRequests, qt.HasLen, 0)
}

// Guards against commits that a replica confirms for a primary which is cut off from the hosts, after the candidate
// was chosen: all others are held back first, and receive again once the promotion has taken effect.
func TestOtherReplicasAreHeldBackBeforeAPromotion(t *testing.T) {
	c := qt.New(t)
	w := newSyncWorld(c)
	w.receivedUpTo(99, 98, 99)
	w.makeUnreachable("a")
	w.advance(2*time.Second, true)
	c.Assert(w.promotionRequests, qt.HasLen, 1)
	c.Check(w.promotionRequests[0].Primary, qt.Equals, fleet.Instance("c"))
	c.Check(w.instances["b"].held, qt.Equals, fleet.Term(2))
	c.Check(w.instances["c"].held, qt.Equals, fleet.Term(0))
	w.follow()
	w.advance(time.Second, true)
	c.Check(w.instances["b"].held, qt.Equals, fleet.Term(2))
	w.lead("c", 2)
	w.advance(200*time.Millisecond, true)
	c.Check(w.instances["b"].held, qt.Equals, fleet.Term(0))
}

// Guards against a replica that stays held back, and confirms nothing, when a promotion isn't carried out or its
// coordinator has gone.
func TestHoldEndsWithoutAPromotion(t *testing.T) {
	c := qt.New(t)
	w := newSyncWorld(c)
	w.instances["b"].held = 2
	w.advance(time.Second, true)
	c.Check(w.instances["b"].held, qt.Equals, fleet.Term(2), qt.Commentf("nothing tells of it yet"))
	w.relay.SetCoordinator(false)
	w.relay.SetCoordinator(true)
	w.advance(time.Second, true)
	c.Check(w.instances["b"].held, qt.Equals, fleet.Term(0))
}

// Guards against an instance that rejects being held back and so leaves its group without a primary for good.
func TestInstanceThatCantBeHeldBackStopsNoPromotion(t *testing.T) {
	c := qt.New(t)
	w := newSyncWorld(c)
	w.instances["b"].rejectsPause, w.instances["c"].rejectsPause = true, true
	w.makeUnreachable("a")
	w.advance(2*time.Second, true)
	c.Assert(w.promotionRequests, qt.HasLen, 1)
}

// Guards against a log line that shows an instance which didn't answer in time as heard, by its last status.
func TestPromotionLogsWhoWasNotHeard(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.relay.SetCoordinator(true)
	w.advance(200*time.Millisecond, true)
	w.instances["c"].silent = true
	w.makeUnreachable("a")
	w.advance(2*time.Second, true)
	c.Assert(w.promotionRequests, qt.HasLen, 1)
	n := slices.IndexFunc(w.events, func(e relay.Event) bool { return e.Choice == "request a promotion" })
	c.Check(w.events[n].Considered, qt.Matches, ".*, c .* not heard")
}

// Guards against a promotion that takes longer than without synchronous replicas when all replicas are well.
func TestSynchronousReplicasDelayNoPromotion(t *testing.T) {
	c := qt.New(t)
	took := func(w *world) time.Duration {
		began := w.now
		w.makeUnreachable("a")
		for len(w.promotionRequests) == 0 && w.now.Sub(began) < 5*time.Second {
			w.advance(10*time.Millisecond, true)
		}
		return w.now.Sub(began)
	}
	without := newWorld(c).withConfirmedPrimary()
	without.relay.SetCoordinator(true)
	without.advance(200*time.Millisecond, true)
	c.Check(took(newSyncWorld(c)) <= took(without)+60*time.Millisecond, qt.IsTrue)
}

// Guards against a group that waits for good for a replica that left long ago: the others have had its log since.
func TestReplicaThatLeftLongAgoIsNotWaitedFor(t *testing.T) {
	c := qt.New(t)
	w := newSyncWorld(c)
	w.makeUnreachable("b")
	w.receivedUpTo(9, 9, 9)
	w.instances["b"].unlisted = true
	w.listFor(12 * time.Second)
	w.makeUnreachable("a")
	w.advance(2*time.Second, true)
	c.Assert(w.promotionRequests, qt.HasLen, 1)
	c.Check(w.promotionRequests[0].Primary, qt.Equals, fleet.Instance("c"))
}

// Guards against a group that waits for good for a replica which has started anew and has its log.
func TestRestartedReplicaStandsForItself(t *testing.T) {
	c := qt.New(t)
	w := newSyncWorld(c)
	w.receivedUpTo(99, 99, 5)
	w.makeUnreachable("a")
	w.instances["b"].started = 7
	w.list()
	w.advance(2*time.Second, true)
	c.Assert(w.promotionRequests, qt.HasLen, 1)
	c.Check(w.promotionRequests[0].Primary, qt.Equals, fleet.Instance("b"))
}
