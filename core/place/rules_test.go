package place_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/place"
	"skylarkdeal/core/session"
)

// newObservedSim returns a simulation in which all instances have reported their status.
func newObservedSim() *sim {
	s := newSim(browsingWorkload)
	s.configure()
	s.updateStatuses()
	return s
}

func (s *sim) choose(f place.RequestInfo) place.Choice {
	return place.Choose(s.now, f, s.group.Snapshot(s.now), s.loads())
}

var aged = place.RequestInfo{Intent: exchange.IntentRead, Need: session.Need{MaxAge: time.Minute}}

func TestChooseSkipsInstancesThatFailedTheRead(t *testing.T) {
	c := qt.New(t)
	s := newObservedSim()
	f := aged
	f.Tried = fleet.NewSet[fleet.Instance]("b", "c")
	c.Assert(s.choose(f).Instance, qt.Equals, fleet.Instance("a"))
}

// Guards against requests to an instance that has failed while the failure isn't
// confirmed yet: reads would wait for a timeout, and a write would end as unknown.
func TestChooseSkipsSilentInstances(t *testing.T) {
	c := qt.New(t)
	s := newObservedSim()
	for _, n := range instanceNames {
		s.group.StatusRequested(n, s.now)
	}
	s.now = s.now.Add(200 * time.Millisecond)
	c.Assert(s.choose(aged).Action, qt.Equals, place.ActionWait)
	c.Assert(s.choose(place.RequestInfo{Intent: exchange.IntentWrite}).Action, qt.Equals, place.ActionWait)
	s.group.StatusReceived("b", s.now, s.now, fleet.Status{
		Instance: "b", Promised: 1, Role: fleet.RoleReplica, Last: s.last("b"), Follows: "a",
	})
	c.Assert(s.choose(aged).Instance, qt.Equals, fleet.Instance("b"))
}

// Guards against writes with an unknown outcome in a data centre that is cut off with
// the old primary: a write that isn't sent can be refused as not run.
func TestWritesWaitWhileNoMajorityAnswers(t *testing.T) {
	c := qt.New(t)
	s := newObservedSim()
	s.group.StatusRequested("b", s.now)
	s.group.StatusRequested("c", s.now)
	s.now = s.now.Add(400 * time.Millisecond)
	c.Assert(s.choose(place.RequestInfo{Intent: exchange.IntentWrite}).Action, qt.Equals, place.ActionWait)
	s.group.StatusReceived("b", s.now, s.now, fleet.Status{
		Instance: "b", Promised: 1, Role: fleet.RoleReplica, Last: s.last("b"), Follows: "a",
	})
	c.Assert(s.choose(place.RequestInfo{Intent: exchange.IntentWrite}).Action, qt.Equals, place.ActionRun)
}

func TestWritesWaitForTheSuccessorOfALeavingPrimary(t *testing.T) {
	c := qt.New(t)
	s := newObservedSim()
	write := place.RequestInfo{Intent: exchange.IntentWrite}
	c.Assert(s.choose(write).Action, qt.Equals, place.ActionRun)
	s.leaving["a"] = true
	s.configure()
	c.Assert(s.choose(write).Action, qt.Equals, place.ActionWait)
	// Without a majority of other instances none can be promoted, so the leaving primary goes on with writes.
	s.leaving["b"] = true
	s.configure()
	c.Assert(s.choose(write).Action, qt.Equals, place.ActionRun)
}

// A holder whose share is one slot would never run a report if the last slot were
// always kept free, and would block the other requests if it never were.
func TestLongWorkTakesASingleSlotOnlyWhenNothingWaits(t *testing.T) {
	c := qt.New(t)
	s := newObservedSim()
	s.slots = 1
	long := place.RequestInfo{Intent: exchange.IntentWrite, Long: true}
	// First the queue holds only the request to be placed, then a second one.
	s.queue = append(s.queue, &request{})
	c.Assert(s.choose(long).Action, qt.Equals, place.ActionRun)
	s.queue = append(s.queue, &request{})
	c.Assert(s.choose(long).Action, qt.Equals, place.ActionWait)
}

// Guards against a wait without end: the replica lags by more than the age that the
// read accepts, and waiting doesn't make its data fresher.
func TestAgedReadDoesNotWaitForALaggingReplica(t *testing.T) {
	c := qt.New(t)
	s := newObservedSim()
	s.lag = time.Hour
	s.log = append(s.log, s.now)
	s.now = s.now.Add(time.Millisecond)
	s.updateStatuses()
	s.busy["a"] = 2
	f := place.RequestInfo{Intent: exchange.IntentRead, Need: session.Need{MaxAge: time.Millisecond}}
	c.Assert(s.choose(f).Instance, qt.Equals, fleet.Instance("a"))
}

func TestLatencyAverageDecaysWithoutSamples(t *testing.T) {
	c := qt.New(t)
	now := newObservedSim().now
	m := place.LatencyAverage{}.Observe(now, 80*time.Millisecond)
	c.Assert(m.Read(now), qt.Equals, 80*time.Millisecond)
	c.Assert(m.Read(now.Add(5*time.Second)), qt.Equals, 40*time.Millisecond)
	c.Assert(m.Observe(now, 180*time.Millisecond).Read(now), qt.Equals, 100*time.Millisecond)
}

func TestShareKeepsAConnectionForControl(t *testing.T) {
	c := qt.New(t)
	s, _ := place.Shares(orders(2).Instances[0], []fleet.Host{"h0", "h1"}, "h1")
	c.Assert(s, qt.Equals, place.ConnectionShare{Connections: 8, Slots: 1})
	c.Assert(s.StatementConnections(), qt.Equals, 7)
}
