package group_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// viewWithoutPrimary is the view of a host that reaches the replicas but not the primary.
func viewWithoutPrimary(silent time.Duration) group.View {
	v := viewOfPrimary("h1", "dc-b", silent)
	for _, n := range []fleet.Instance{"b", "c"} {
		i := group.InstanceView{Instance: n, Reachable: true, Term: 1, Role: fleet.RoleReplica}
		v.Instances = append(v.Instances, i)
	}
	return v
}

func TestPromotionNeedsTwoHostsInTwoDataCentres(t *testing.T) {
	tests := []struct {
		name          string
		oneDataCentre bool
		silent        time.Duration
		views         []group.View
		cause         group.Cause
	}{
		{name: "healthy"},
		{name: "one host", silent: 2 * time.Second},
		{name: "one host, one data centre", oneDataCentre: true, silent: 2 * time.Second},
		{
			name: "two hosts, one data centre", oneDataCentre: true, silent: 700 * time.Millisecond,
			views: []group.View{viewOfPrimary("h1", "dc-a", time.Second)}, cause: group.CauseSilent,
		},
		{
			name: "short silence", silent: 400 * time.Millisecond,
			views: []group.View{viewOfPrimary("h1", "dc-b", time.Second)},
		},
		{
			name: "two hosts of two data centres", silent: 700 * time.Millisecond,
			views: []group.View{viewOfPrimary("h1", "dc-b", time.Second)}, cause: group.CauseSilent,
		},
		{
			name: "two hosts of one data centre", silent: 2 * time.Second,
			views: []group.View{viewOfPrimary("h1", "dc-a", time.Second)},
		},
		{
			name: "one bad link", silent: 20 * time.Second,
			views: []group.View{viewOfPrimary("h1", "dc-b", 0)},
		},
		{
			name: "one data centre cut off from the primary", silent: 20 * time.Second,
			views: []group.View{viewOfPrimary("h1", "dc-a", time.Second), viewOfPrimary("h2", "dc-b", 0)},
		},
		{
			// The partition leaves the primary with h1, which reaches every instance.
			name: "silent to most hosts for 1 s", silent: time.Second,
			views: []group.View{viewOfPrimary("h1", "dc-b", 0), viewOfPrimary("h2", "dc-c", time.Second)},
		},
		{
			name: "silent to most hosts for 3 s", silent: 3 * time.Second,
			views: []group.View{viewOfPrimary("h1", "dc-b", 0), viewOfPrimary("h2", "dc-c", time.Second)},
			cause: group.CauseOutvoted,
		},
		{
			name: "a second host that has only begun to poll", silent: 2 * time.Second,
			views: []group.View{viewOfPrimary("h1", "dc-b", 100*time.Millisecond)},
		},
		{
			// h1 is cut off together with the primary and reaches no other instance.
			name: "primary cut off with one host for 2 s", silent: 2 * time.Second,
			views: []group.View{viewOfPrimary("h2", "dc-a", time.Second), viewOfPrimaryOnly("h1", "dc-b")},
		},
		{
			name: "primary cut off with one host for 6 s", silent: 6 * time.Second,
			views: []group.View{viewOfPrimary("h2", "dc-a", time.Second), viewOfPrimaryOnly("h1", "dc-b")},
			cause: group.CauseSoleObserver,
		},
		{name: "no other host", silent: 6 * time.Second, cause: group.CauseSoleObserver},
		{
			name: "no host of another data centre", silent: 6 * time.Second,
			views: []group.View{viewOfPrimary("h1", "dc-a", time.Second)}, cause: group.CauseSoleObserver,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			p := newPoller()
			if tt.oneDataCentre {
				p.useOneDataCentre()
			}
			p.run(time.Second)
			if tt.silent > 0 {
				p.unreachable["a"] = true
				p.run(tt.silent)
			}
			c.Assert(p.assess(tt.views...).Cause, qt.Equals, tt.cause)
		})
	}
}

// The primary's disk is slow, so that its statuses arrive late. If two hosts suspected
// it, writes would be refused for a second although nothing has failed. Neither a
// primary that becomes slower by steps nor one that stalls for half a second may be
// suspected.
func TestSlowPrimaryIsNotSuspected(t *testing.T) {
	c := qt.New(t)
	p := newPoller()
	for _, l := range []time.Duration{50, 500, 1300, 1400} {
		p.latency["a"] = l * time.Millisecond
		for range 40 {
			p.run(50 * time.Millisecond)
			a := p.assess(viewOfPrimary("h1", "dc-b", time.Second))
			c.Assert(a.Cause, qt.Equals, group.CauseNone, qt.Commentf("latency %d ms: %s", l, a.Reason))
		}
	}
	p = newPoller()
	p.run(time.Second)
	p.latency["a"] = 550 * time.Millisecond
	p.run(550 * time.Millisecond)
	c.Assert(p.assess(viewOfPrimary("h1", "dc-b", time.Second)).Cause, qt.Equals, group.CauseNone)
}

// A host is paused for ten seconds. When it wakes, the answers that arrived meanwhile are
// still unread, every instance seems silent for ten seconds, and a second host that was
// paused with it reports the same.
func TestPausedHostSuspectsNoInstance(t *testing.T) {
	c := qt.New(t)
	p := newPoller()
	p.run(time.Second)
	p.poll()
	p.now = p.now.Add(10 * time.Second)
	c.Assert(p.group.Tick(p.now), qt.IsTrue)
	c.Assert(p.assess(viewOfPrimary("h1", "dc-b", 10*time.Second)).Cause, qt.Equals, group.CauseNone)
}

// A host fences a majority and is paused before it promotes. No primary can acknowledge
// anything then, and the other hosts have to detect that by themselves.
func TestAbandonedPromotionIsTakenOver(t *testing.T) {
	c := qt.New(t)
	p := newPoller()
	p.run(time.Second)
	for _, i := range p.instances {
		c.Assert(i.Fence(2, "h9/1/1"), qt.IsNil)
	}
	p.run(200 * time.Millisecond)
	c.Assert(p.assess().Cause, qt.Equals, group.CauseNone)
	p.run(500 * time.Millisecond)
	c.Assert(p.assess().Cause, qt.Equals, group.CauseAbandoned)
	c.Assert(p.group.Snapshot(p.now).Primary, qt.Equals, fleet.Instance(""))
}

// A host fences one replica and crashes. The primary still has its majority, but the
// replica copies nothing from it any more, and its lag would grow without bound.
func TestReplicaFencedByAbandonedPromotionIsRecovered(t *testing.T) {
	c := qt.New(t)
	p := newPoller()
	p.run(time.Second)
	c.Assert(p.instances[2].Fence(2, "h9/1/1"), qt.IsNil)
	p.run(700 * time.Millisecond)
	c.Assert(p.assess().Cause, qt.Equals, group.CauseAbandoned)
	c.Assert(p.group.Snapshot(p.now).Primary, qt.Equals, fleet.Instance("a"))
}

// The service's configuration marks the primary as leaving. Transactions in progress should
// end, and no other caller should wait for long.
func TestLeavingPrimaryHandsOverOnceQuiet(t *testing.T) {
	c := qt.New(t)
	p := newPoller()
	p.run(time.Second)
	p.markLeaving("a")
	for range 10 {
		_, err := p.instances[0].Append("x")
		c.Assert(err, qt.IsNil)
		p.copy()
		p.run(100 * time.Millisecond)
		c.Assert(p.assess().Cause, qt.Equals, group.CauseNone)
	}
	p.run(400 * time.Millisecond)
	a := p.assess()
	c.Assert(a.Cause, qt.Equals, group.CauseLeaving)
	c.Assert(p.promote(c, a).Target, qt.Equals, fleet.Instance("b"))
}

// The primary is marked as leaving while it is the only instance that answers. Writes
// would stop for good if it were fenced, or if they waited for another primary.
func TestLeavingPrimaryStaysWhileNoOtherInstanceAnswers(t *testing.T) {
	c := qt.New(t)
	p := newPoller()
	p.run(time.Second)
	p.markLeaving("a")
	p.unreachable["b"], p.unreachable["c"] = true, true
	p.run(5 * time.Second)
	c.Assert(p.assess().Cause, qt.Equals, group.CauseNone)
	c.Assert(p.group.Snapshot(p.now).CanHandOver(p.now), qt.IsFalse)
}

// The primary is cut off from its replicas but from no host. Every write ends as unknown,
// since no replica copies it, although the primary answers all hosts.
func TestPrimaryCutOffFromItsReplicasIsReplaced(t *testing.T) {
	c := qt.New(t)
	p := newPoller()
	p.run(time.Second)
	_, err := p.instances[0].Append("lost to the cut")
	c.Assert(err, qt.IsNil)
	p.run(9 * time.Second)
	c.Assert(p.assess().Cause, qt.Equals, group.CauseNone)
	p.run(2 * time.Second)
	a := p.assess()
	c.Assert(a.Cause, qt.Equals, group.CauseStalled)
	c.Assert(p.promote(c, a).Target, qt.Not(qt.Equals), fleet.Instance("a"))
	keepStalled := group.Policy{KeepStalled: true}
	kept := group.AssessPrimary(p.now, keepStalled, p.group.Snapshot(p.now), group.Observer{Host: "h0"}, nil, nil)
	c.Assert(kept.Cause, qt.Equals, group.CauseNone)
}

// The primary is cut off as above, after replication was observed to take 100 ms: no
// caller may have to wait ten seconds for the first write after the cut. A group whose
// replicas always lag by two seconds isn't cut off, and keeps its primary.
func TestStallLimitFollowsUsualLag(t *testing.T) {
	for _, tt := range []struct {
		usual time.Duration
		cause group.Cause
	}{
		{usual: 100 * time.Millisecond, cause: group.CauseStalled},
		{usual: 2 * time.Second, cause: group.CauseNone},
	} {
		c := qt.New(t)
		p := newPoller()
		p.run(time.Second)
		for range 3 {
			_, err := p.instances[0].Append("copied")
			c.Assert(err, qt.IsNil)
			p.run(tt.usual)
			p.copy()
			p.run(100 * time.Millisecond)
		}
		_, err := p.instances[0].Append("lost to the cut")
		c.Assert(err, qt.IsNil)
		p.run(1900 * time.Millisecond)
		c.Assert(p.assess().Cause, qt.Equals, group.CauseNone)
		p.run(600 * time.Millisecond)
		c.Assert(p.assess().Cause, qt.Equals, tt.cause, qt.Commentf("usual lag %v", tt.usual))
	}
}

// A host is cut off with one replica and another host. If it fenced that replica, the
// replica would refuse the group's primary once the partition ends.
func TestMinorityProposesNothing(t *testing.T) {
	c := qt.New(t)
	p := newPoller()
	p.run(time.Second)
	p.unreachable["a"], p.unreachable["b"] = true, true
	p.run(10 * time.Second)
	c.Assert(p.assess(viewOfPrimary("h1", "dc-b", 10*time.Second)).Cause, qt.Equals, group.CauseNone)
	// Another host has fenced the replica that it reaches: it still proposes nothing.
	c.Assert(p.instances[2].Fence(2, "h9/1/1"), qt.IsNil)
	p.run(time.Second)
	c.Assert(p.assess().Cause, qt.Equals, group.CauseNone)
	p.unreachable["b"] = false
	p.run(time.Second)
	c.Assert(p.assess(viewWithoutPrimary(10*time.Second)).Cause, qt.Equals, group.CauseSilent)
}

// A host starts while the primary has no connection left and refuses its connections. It
// observes two replicas and no primary, which must not count as an abandoned promotion.
func TestPrimaryWithoutFreeConnectionsIsNotReplaced(t *testing.T) {
	c := qt.New(t)
	p := newPoller()
	p.unreachable["a"] = true
	for range 100 {
		p.run(100 * time.Millisecond)
		p.group.TooManyConnections("a", p.now)
		c.Assert(p.assess().Cause, qt.Equals, group.CauseNone)
	}
}

// A host starts while the primary is silent to it. The views of the other hosts decide.
func TestUnknownPrimaryIsAssessedByViewsOfOtherHosts(t *testing.T) {
	c := qt.New(t)
	p := newPoller()
	p.unreachable["a"] = true
	p.run(2 * time.Second)
	reachableView := viewOfPrimary("h1", "dc-b", 0)
	unreachableView := viewWithoutPrimary(2 * time.Second)
	c.Assert(p.assess().Cause, qt.Equals, group.CauseNone)
	c.Assert(p.assess(reachableView).Cause, qt.Equals, group.CauseNone)
	c.Assert(p.assess(viewOfPrimary("h1", "dc-b", 2*time.Second)).Cause, qt.Equals, group.CauseNone)
	c.Assert(p.assess(unreachableView).Cause, qt.Equals, group.CauseSilent)
	p.run(4 * time.Second)
	c.Assert(p.assess(reachableView).Cause, qt.Equals, group.CauseNone)
	c.Assert(p.assess().Cause, qt.Equals, group.CauseSoleObserver)
}

// Two hosts suspect a failed primary at the same time, each before the view of the other
// says the same. If both ranked first, they would fence each other's promotions.
func TestPreferredHostGoesFirst(t *testing.T) {
	c := qt.New(t)
	p := newPoller()
	p.run(time.Second)
	rank := func(me fleet.Host, views ...group.View) int {
		self := group.Observer{Host: me, DataCentre: "dc-a"}
		return group.AssessPrimary(p.now, group.Policy{}, p.group.Snapshot(p.now), self, views,
			[]fleet.Host{"h0", "h1", "h2"}).Rank
	}
	p.markLeaving("a")
	p.copy()
	p.run(time.Second)
	c.Assert(rank("h2"), qt.Equals, 2)
	p.unreachable["a"] = true
	p.run(time.Second)
	shortSilence := viewOfPrimary("h0", "dc-c", 100*time.Millisecond)
	longSilence := viewOfPrimary("h2", "dc-b", time.Second)
	c.Assert(rank("h1", shortSilence, longSilence), qt.Equals, 1)
	c.Assert(rank("h0", longSilence), qt.Equals, 0)
	// h0 has failed together with the primary.
	c.Assert(rank("h1", longSilence), qt.Equals, 0)
}
