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

// settled returns a simulation whose instances have all been asked.
func settled() *sim {
	s := newSim(browsing)
	s.configure()
	s.ask()
	return s
}

func (s *sim) choose(f place.RequestInfo) place.Choice {
	return place.Choose(s.now, f, s.group.Snapshot(s.now), s.loads())
}

var aged = place.RequestInfo{Intent: exchange.IntentRead, Need: session.Need{MaxAge: time.Minute}}

func TestChooseLeavesOutWhoFailedTheRead(t *testing.T) {
	c := qt.New(t)
	s := settled()
	f := aged
	f.Tried = fleet.NewSet[fleet.Instance]("b", "c")
	c.Assert(s.choose(f).Instance, qt.Equals, fleet.Instance("a"))
}

// An instance has died. Until that is certain, what is sent to it waits for a
// timeout; a write would end as unknown.
func TestChooseLeavesOutSilentInstances(t *testing.T) {
	c := qt.New(t)
	s := settled()
	for _, n := range names {
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

// A data centre is cut off with the old primary. Its callers are better told that
// their orders were not run than that nobody knows.
func TestWritesWaitWhileNoMajorityAnswers(t *testing.T) {
	c := qt.New(t)
	s := settled()
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
	s := settled()
	write := place.RequestInfo{Intent: exchange.IntentWrite}
	c.Assert(s.choose(write).Action, qt.Equals, place.ActionRun)
	s.leave["a"] = true
	s.configure()
	c.Assert(s.choose(write).Action, qt.Equals, place.ActionWait)
	// Without a majority of others no successor will come, and writes go on.
	s.leave["b"] = true
	s.configure()
	c.Assert(s.choose(write).Action, qt.Equals, place.ActionRun)
}

// A holder whose share is one slot would never run a report if the last slot
// were kept free, and would block everyone if it weren't.
func TestLongWorkTakesASingleSlotOnlyWhenNothingWaits(t *testing.T) {
	c := qt.New(t)
	s := settled()
	s.slots = 1
	long := place.RequestInfo{Intent: exchange.IntentWrite, Long: true}
	// The queue holds the request that is chosen for, and then another.
	s.queue = append(s.queue, &request{})
	c.Assert(s.choose(long).Action, qt.Equals, place.ActionRun)
	s.queue = append(s.queue, &request{})
	c.Assert(s.choose(long).Action, qt.Equals, place.ActionWait)
}

// A replica lags by more than the age that the read accepts. Waiting for it
// would never end.
func TestAgedReadDoesNotWaitForALaggingReplica(t *testing.T) {
	c := qt.New(t)
	s := settled()
	s.lag = time.Hour
	s.log = append(s.log, s.now)
	s.now = s.now.Add(time.Millisecond)
	s.ask()
	s.busy["a"] = 2
	f := place.RequestInfo{Intent: exchange.IntentRead, Need: session.Need{MaxAge: time.Millisecond}}
	c.Assert(s.choose(f).Instance, qt.Equals, fleet.Instance("a"))
}

func TestMeterFadesWhileNothingIsMeasured(t *testing.T) {
	c := qt.New(t)
	now := settled().now
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
