package group_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// informed is what a host says that misses the primary and reaches the replicas.
func informed(silent time.Duration) group.View {
	v := view("h1", "dc-b", silent)
	for _, n := range []fleet.Instance{"b", "c"} {
		i := group.InstanceView{Instance: n, Reachable: true, Term: 1, Role: fleet.RoleReplica}
		v.Instances = append(v.Instances, i)
	}
	return v
}

func TestJudgeWantsTwoHostsAndTwoDataCentres(t *testing.T) {
	tests := []struct {
		name   string
		near   bool
		silent time.Duration
		views  []group.View
		cause  group.Cause
	}{
		{name: "healthy"},
		{name: "one host", silent: 2 * time.Second},
		{name: "one host, one data centre", near: true, silent: 2 * time.Second},
		{
			name: "two hosts, one data centre", near: true, silent: 700 * time.Millisecond,
			views: []group.View{view("h1", "dc-a", time.Second)}, cause: group.CauseSilent,
		},
		{name: "short silence", silent: 400 * time.Millisecond, views: []group.View{view("h1", "dc-b", time.Second)}},
		{
			name: "two hosts of two data centres", silent: 700 * time.Millisecond,
			views: []group.View{view("h1", "dc-b", time.Second)}, cause: group.CauseSilent,
		},
		{
			name: "two hosts of one data centre", silent: 2 * time.Second,
			views: []group.View{view("h1", "dc-a", time.Second)},
		},
		{
			name: "one bad link", silent: 20 * time.Second,
			views: []group.View{view("h1", "dc-b", 0)},
		},
		{
			name: "one data centre cut off from the primary", silent: 20 * time.Second,
			views: []group.View{view("h1", "dc-a", time.Second), view("h2", "dc-b", 0)},
		},
		{
			// The cut leaves h1 in reach of everyone, with the primary.
			name: "most hosts miss it, for a moment", silent: time.Second,
			views: []group.View{view("h1", "dc-b", 0), view("h2", "dc-c", time.Second)},
		},
		{
			name: "most hosts miss it", silent: 3 * time.Second,
			views: []group.View{view("h1", "dc-b", 0), view("h2", "dc-c", time.Second)}, cause: group.CauseOutvoted,
		},
		{
			name: "a second host that has only begun to ask", silent: 2 * time.Second,
			views: []group.View{view("h1", "dc-b", 100*time.Millisecond)},
		},
		{
			// h1 is cut off together with the primary, and reaches nothing else.
			name: "half a cut, for a moment", silent: 2 * time.Second,
			views: []group.View{view("h2", "dc-a", time.Second), alone("h1", "dc-b")},
		},
		{
			name: "half a cut", silent: 6 * time.Second,
			views: []group.View{view("h2", "dc-a", time.Second), alone("h1", "dc-b")}, cause: group.CauseSoleObserver,
		},
		{name: "the last host", silent: 6 * time.Second, cause: group.CauseSoleObserver},
		{
			name: "hosts of one data centre are left", silent: 6 * time.Second,
			views: []group.View{view("h1", "dc-a", time.Second)}, cause: group.CauseSoleObserver,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWatcher()
			if tt.near {
				w.near()
			}
			w.watch(time.Second)
			if tt.silent > 0 {
				w.dead["a"] = true
				w.watch(tt.silent)
			}
			c.Assert(w.judge(tt.views...).Cause, qt.Equals, tt.cause)
		})
	}
}

// An order client sees its writes refused for a second although nothing has
// failed: the primary's disk was slow, its status came late, and two hosts took
// it for dead. A primary that gets slow by steps is slow, and one that stalls
// for half a second comes back.
func TestSlowPrimaryIsNotSuspected(t *testing.T) {
	c := qt.New(t)
	w := newWatcher()
	for _, l := range []time.Duration{50, 500, 1300, 1400} {
		w.latency["a"] = l * time.Millisecond
		for range 40 {
			w.watch(50 * time.Millisecond)
			j := w.judge(view("h1", "dc-b", time.Second))
			c.Assert(j.Cause, qt.Equals, group.CauseNone, qt.Commentf("latency %d ms: %s", l, j.Reason))
		}
	}
	w = newWatcher()
	w.watch(time.Second)
	w.latency["a"] = 550 * time.Millisecond
	w.watch(550 * time.Millisecond)
	c.Assert(w.judge(view("h1", "dc-b", time.Second)).Cause, qt.Equals, group.CauseNone)
}

// A host is paused for ten seconds. When it wakes, the answers that came in
// meanwhile lie unread, every instance looks silent for ten seconds, and a
// second host that was paused with it agrees.
func TestPausedHostSuspectsNoOne(t *testing.T) {
	c := qt.New(t)
	w := newWatcher()
	w.watch(time.Second)
	w.ask()
	w.now = w.now.Add(10 * time.Second)
	c.Assert(w.group.Tick(w.now), qt.IsTrue)
	c.Assert(w.judge(view("h1", "dc-b", 10*time.Second)).Cause, qt.Equals, group.CauseNone)
}

// A host fences a majority and is paused before it promotes. No primary can
// acknowledge anything then; the others have to notice without being asked.
func TestAbandonedPromotionIsTakenOver(t *testing.T) {
	c := qt.New(t)
	w := newWatcher()
	w.watch(time.Second)
	for _, i := range w.instances {
		c.Assert(i.Fence(2, "h9/1/1"), qt.IsNil)
	}
	w.watch(200 * time.Millisecond)
	c.Assert(w.judge().Cause, qt.Equals, group.CauseNone)
	w.watch(500 * time.Millisecond)
	c.Assert(w.judge().Cause, qt.Equals, group.CauseStranded)
	c.Assert(w.group.Snapshot(w.now).Primary, qt.Equals, fleet.Instance(""))
}

// A host fences one replica and dies. The primary still has its majority, but
// the replica takes nothing from it any more and lags without end.
func TestStrandedReplicaIsFetchedBack(t *testing.T) {
	c := qt.New(t)
	w := newWatcher()
	w.watch(time.Second)
	c.Assert(w.instances[2].Fence(2, "h9/1/1"), qt.IsNil)
	w.watch(700 * time.Millisecond)
	c.Assert(w.judge().Cause, qt.Equals, group.CauseStranded)
	c.Assert(w.group.Snapshot(w.now).Primary, qt.Equals, fleet.Instance("a"))
}

// A team takes the primary's machine out of service. Callers in the middle of a
// transaction should end it; no one else should wait for long.
func TestLeavingPrimaryHandsOverOnceQuiet(t *testing.T) {
	c := qt.New(t)
	w := newWatcher()
	w.watch(time.Second)
	w.leave("a")
	for range 10 {
		_, err := w.instances[0].Append("x")
		c.Assert(err, qt.IsNil)
		w.copy()
		w.watch(100 * time.Millisecond)
		c.Assert(w.judge().Cause, qt.Equals, group.CauseNone)
	}
	w.watch(400 * time.Millisecond)
	j := w.judge()
	c.Assert(j.Cause, qt.Equals, group.CauseLeaving)
	c.Assert(w.promote(c, j).Target, qt.Equals, fleet.Instance("b"))
}

// The primary's machine leaves while it is the only one that answers. Writes
// would stop for good if it were fenced, or if writes waited for another.
func TestLeavingPrimaryStaysWhileItIsAlone(t *testing.T) {
	c := qt.New(t)
	w := newWatcher()
	w.watch(time.Second)
	w.leave("a")
	w.dead["b"], w.dead["c"] = true, true
	w.watch(5 * time.Second)
	c.Assert(w.judge().Cause, qt.Equals, group.CauseNone)
	c.Assert(w.group.Snapshot(w.now).CanHandOver(w.now), qt.IsFalse)
}

// A cut parts the primary from its replicas but from no host. Every write ends
// as unknown, since no replica ever has it, and all hosts find the primary well.
func TestPrimaryCutOffFromItsReplicasIsReplaced(t *testing.T) {
	c := qt.New(t)
	w := newWatcher()
	w.watch(time.Second)
	_, err := w.instances[0].Append("lost to the cut")
	c.Assert(err, qt.IsNil)
	w.watch(9 * time.Second)
	c.Assert(w.judge().Cause, qt.Equals, group.CauseNone)
	w.watch(2 * time.Second)
	j := w.judge()
	c.Assert(j.Cause, qt.Equals, group.CauseStalled)
	c.Assert(w.promote(c, j).Target, qt.Not(qt.Equals), fleet.Instance("a"))
	keep := group.Policy{KeepStalled: true}
	k := group.AssessPrimary(w.now, keep, w.group.Snapshot(w.now), group.Observer{Host: "h0"}, nil, nil)
	c.Assert(k.Cause, qt.Equals, group.CauseNone)
}

// The same cut, after replication has been seen to take 100 ms: nobody has to wait
// ten seconds for the first order after it. A group whose replicas are always two
// seconds behind is no cut, and keeps its primary for as long as it is so.
func TestCutFromReplicasIsJudgedByTheirUsualLag(t *testing.T) {
	for _, x := range []struct {
		usual time.Duration
		cause group.Cause
	}{
		{usual: 100 * time.Millisecond, cause: group.CauseStalled},
		{usual: 2 * time.Second, cause: group.CauseNone},
	} {
		c := qt.New(t)
		w := newWatcher()
		w.watch(time.Second)
		for range 3 {
			_, err := w.instances[0].Append("copied")
			c.Assert(err, qt.IsNil)
			w.watch(x.usual)
			w.copy()
			w.watch(100 * time.Millisecond)
		}
		_, err := w.instances[0].Append("lost to the cut")
		c.Assert(err, qt.IsNil)
		w.watch(1900 * time.Millisecond)
		c.Assert(w.judge().Cause, qt.Equals, group.CauseNone)
		w.watch(600 * time.Millisecond)
		c.Assert(w.judge().Cause, qt.Equals, x.cause, qt.Commentf("usual lag %v", x.usual))
	}
}

// A host is cut off with one replica and another host. Fencing what it reaches
// would have that replica refuse the group's primary after the cut.
func TestMinorityProposesNothing(t *testing.T) {
	c := qt.New(t)
	w := newWatcher()
	w.watch(time.Second)
	w.dead["a"], w.dead["b"] = true, true
	w.watch(10 * time.Second)
	c.Assert(w.judge(view("h1", "dc-b", 10*time.Second)).Cause, qt.Equals, group.CauseNone)
	// The replica that it reaches has been fenced by someone: still nothing.
	c.Assert(w.instances[2].Fence(2, "h9/1/1"), qt.IsNil)
	w.watch(time.Second)
	c.Assert(w.judge().Cause, qt.Equals, group.CauseNone)
	w.dead["b"] = false
	w.watch(time.Second)
	c.Assert(w.judge(informed(10*time.Second)).Cause, qt.Equals, group.CauseSilent)
}

// A host starts while the primary has no connection left and refuses it. It sees
// two replicas and no primary, and must not take that for an abandoned promotion.
func TestPrimaryThatIsFullFromTheStartIsNotReplaced(t *testing.T) {
	c := qt.New(t)
	w := newWatcher()
	w.dead["a"] = true
	for range 100 {
		w.watch(100 * time.Millisecond)
		w.group.TooManyConnections("a", w.now)
		c.Assert(w.judge().Cause, qt.Equals, group.CauseNone)
	}
}

// A host starts while the primary is silent to it, and asks the others.
func TestUnknownPrimaryTakesViewsOfOthers(t *testing.T) {
	c := qt.New(t)
	w := newWatcher()
	w.dead["a"] = true
	w.watch(2 * time.Second)
	reaches := view("h1", "dc-b", 0)
	misses := informed(2 * time.Second)
	c.Assert(w.judge().Cause, qt.Equals, group.CauseNone)
	c.Assert(w.judge(reaches).Cause, qt.Equals, group.CauseNone)
	c.Assert(w.judge(view("h1", "dc-b", 2*time.Second)).Cause, qt.Equals, group.CauseNone)
	c.Assert(w.judge(misses).Cause, qt.Equals, group.CauseSilent)
	w.watch(4 * time.Second)
	c.Assert(w.judge(reaches).Cause, qt.Equals, group.CauseNone)
	c.Assert(w.judge().Cause, qt.Equals, group.CauseSoleObserver)
}

// Two hosts notice a dead primary at the same time, each before the other is
// sure. If both take themselves for the first they fence each other out.
func TestPreferredHostGoesFirst(t *testing.T) {
	c := qt.New(t)
	w := newWatcher()
	w.watch(time.Second)
	rank := func(me fleet.Host, views ...group.View) int {
		self := group.Observer{Host: me, DataCentre: "dc-a"}
		return group.AssessPrimary(w.now, group.Policy{}, w.group.Snapshot(w.now), self, views,
			[]fleet.Host{"h0", "h1", "h2"}).Rank
	}
	w.leave("a")
	w.copy()
	w.watch(time.Second)
	c.Assert(rank("h2"), qt.Equals, 2)
	w.dead["a"] = true
	w.watch(time.Second)
	unsure := view("h0", "dc-c", 100*time.Millisecond)
	sure := view("h2", "dc-b", time.Second)
	c.Assert(rank("h1", unsure, sure), qt.Equals, 1)
	c.Assert(rank("h0", sure), qt.Equals, 0)
	// h0 has died with the primary.
	c.Assert(rank("h1", sure), qt.Equals, 0)
}
