package relay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/outlier"
)

// reportPrimary has hosts report that they eject the primary a, for some time.
func (w *world) reportPrimary(d time.Duration, hosts ...fleet.Host) {
	for end := w.now.Add(d); w.now.Before(end); {
		for _, h := range hosts {
			w.relay.AddEjections(h, "obihiro", w.now, []outlier.Ejection{{Instance: "a", RatePercent: 40, Primary: true}})
		}
		w.advance(100*time.Millisecond, true)
	}
}

// newCoordinatorWorld returns the world of the failover coordinator of a fleet of 8 hosts.
func newCoordinatorWorld(c *qt.C) *world {
	w := newOutlierWorld(c, true)
	w.relay.SetHostCount(8)
	w.relay.SetCoordinator(true)
	return w
}

// The primary fails 40% of its statements and passes its health check. Guards against a group that keeps it,
// against a promotion on the word of one host, and against one promotion after another.
func TestPrimaryThatTwoHostsEjectIsReplaced(t *testing.T) {
	c := qt.New(t)
	w := newCoordinatorWorld(c)
	w.reportPrimary(2*time.Second, "h2")
	c.Assert(w.promotionRequests, qt.HasLen, 0)
	w.reportPrimary(2*time.Second, "h2", "h3")
	c.Assert(w.promotionRequests, qt.HasLen, 1)
	c.Check(w.promotionRequests[0].Reason, qt.Equals, leader.ReasonEjected)
	c.Check(w.promotionRequests[0].Former, qt.Equals, fleet.Instance("a"))
	w.reportPrimary(6*time.Second, "h2", "h3")
	c.Assert(w.promotionRequests, qt.HasLen, 1)
	w.reportPrimary(6*time.Second, "h2", "h3")
	c.Assert(w.promotionRequests, qt.HasLen, 2)
}

// Guards against a promotion by a host that isn't the coordinator.
func TestOnlyTheCoordinatorReplacesAnEjectedPrimary(t *testing.T) {
	c := qt.New(t)
	w := newCoordinatorWorld(c)
	w.relay.SetCoordinator(false)
	w.reportPrimary(2*time.Second, "h2", "h3")
	c.Assert(w.promotionRequests, qt.HasLen, 0)
}

// Both replicas lag while the primary goes on to acknowledge writes. Guards against a promotion that loses
// them although the primary responds.
func TestEjectedPrimaryIsKeptWhileItsReplicasLag(t *testing.T) {
	c := qt.New(t)
	w := newCoordinatorWorld(c)
	w.instances["a"].position.Index += 100
	w.reportPrimary(3*time.Second, "h2", "h3")
	c.Assert(w.promotionRequests, qt.HasLen, 0)
	w.instances["c"].position = w.instances["a"].position
	w.reportPrimary(time.Second, "h2", "h3")
	c.Assert(w.promotionRequests, qt.HasLen, 1)
	c.Check(w.promotionRequests[0].Primary, qt.Equals, fleet.Instance("c"))
}
