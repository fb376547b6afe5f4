package outlier_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/outlier"
)

const (
	ms     = time.Millisecond
	target = 200 * ms
)

var start = time.Unix(1000, 0)

// group is three instances, the first one of which is the subject of most tests.
type group struct {
	now       time.Time
	instances [3]outlier.Instance
	targets   [3]time.Duration
}

func newGroup() *group {
	return &group{now: start, targets: [3]time.Duration{target, target, target}}
}

// record adds outcomes that waited for no slot, at intervals of 10 ms.
func (g *group) record(n int, k outlier.Kind, took time.Duration, accounts ...fleet.Account) {
	g.recordWaiting(n, k, took, 0, accounts...)
}

// recordWaiting adds outcomes that waited for a slot for a part of the time that they took.
func (g *group) recordWaiting(n int, k outlier.Kind, took, wait time.Duration, accounts ...fleet.Account) {
	for _, a := range accounts {
		g.now = g.now.Add(10 * ms)
		o := outlier.Outcome{Account: a, Kind: k, Took: took}
		if k == outlier.OK {
			o.SlotTime = took - wait
		}
		g.instances[n].Record(g.now, o)
	}
}

func (g *group) evaluate() []outlier.Decision {
	var members []outlier.Member
	for n := range g.instances {
		members = append(members, outlier.Member{Instance: &g.instances[n], Usable: true, Target: g.targets[n]})
	}
	return outlier.Evaluate(g.now, members)
}

func (g *group) ejected() int {
	g.evaluate()
	count := 0
	for n := range g.instances {
		if g.instances[n].Ejected() {
			count++
		}
	}
	return count
}

// Guards against an instance that fails a part of its statements and stays in use.
func TestFailingInstanceIsEjected(t *testing.T) {
	c := qt.New(t)
	for _, k := range []outlier.Kind{outlier.Failed, outlier.Shed, outlier.TimedOut} {
		g := newGroup()
		g.record(1, outlier.OK, 9*ms, "x", "y", "z")
		g.record(0, outlier.OK, 9*ms, "x", "y", "z")
		g.record(0, k, 9*ms, "x", "y")
		c.Assert(g.evaluate(), qt.DeepEquals, []outlier.Decision{{0, outlier.ChoiceEject, outlier.ReasonFails}})
		c.Assert(g.instances[0].Avoided(), qt.IsTrue)
	}
}

// Guards against an ejection for what a few statements, old ones, or those of one account tell.
func TestFewOutcomesEjectNothing(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	g.record(0, outlier.Failed, 9*ms, "x", "y", "x", "y")
	c.Check(g.ejected(), qt.Equals, 0)
	g = newGroup()
	g.record(0, outlier.Failed, 9*ms, "x", "y", "x", "y")
	g.now = g.now.Add(time.Second)
	g.record(0, outlier.Failed, 9*ms, "x", "y", "x", "y")
	c.Check(g.ejected(), qt.Equals, 0)
	g = newGroup()
	g.record(0, outlier.Failed, 9*ms, "x", "x", "x", "x", "x", "x")
	c.Check(g.ejected(), qt.Equals, 0)
}

// Guards against the ejection of a healthy instance because of one account whose requests are bad, also
// where another account has a failure now and then.
func TestBadRequestsOfOneAccountEjectNothing(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	for range 10 {
		g.record(0, outlier.Failed, 9*ms, "bad", "bad", "bad")
		g.record(0, outlier.OK, 9*ms, "x", "y")
	}
	g.record(0, outlier.Failed, 9*ms, "x")
	c.Assert(g.ejected(), qt.Equals, 0)
}

// Guards against ejections in a group that fails as a whole.
func TestGroupThatFailsAsAWholeEjectsNothing(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	for range 5 {
		for n := range g.instances {
			g.record(n, outlier.OK, 9*ms, "x", "y")
			g.record(n, outlier.Failed, 9*ms, "x", "y")
		}
	}
	c.Assert(g.ejected(), qt.Equals, 0)
}

// Guards against the ejection of a primary that sheds statements because it is full, while the replicas are
// idle.
func TestFullPrimaryIsNotEjected(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	for range 5 {
		g.recordWaiting(0, outlier.OK, 90*ms, 81*ms, "x", "y")
		g.record(0, outlier.Shed, 100*ms, "x", "y")
		g.record(0, outlier.TimedOut, 400*ms, "x", "y")
		g.record(1, outlier.OK, 9*ms, "x", "y")
	}
	c.Assert(g.ejected(), qt.Equals, 0)
}

// Guards against an instance that is several times as slow as the others and stays in use, and against the
// ejection of one whose responses are slow only by the wait for its slots, or that is slow and quick enough.
func TestSlowInstanceIsEjected(t *testing.T) {
	c := qt.New(t)
	for _, t := range []struct {
		own, others time.Duration
		running     int
		ejected     int
	}{
		{72 * ms, 9 * ms, 2, 1},
		{72 * ms, 9 * ms, 16, 0},
		{72 * ms, 60 * ms, 2, 0},
		{40 * ms, 5 * ms, 2, 0},
	} {
		g := newGroup()
		for range 3 {
			g.record(1, outlier.OK, t.others, "x", "y")
			g.record(2, outlier.OK, t.others, "x", "y")
			g.record(0, outlier.OK, outlier.SlotTime(t.own, t.running, 1, 2), "x", "y")
		}
		c.Check(g.ejected(), qt.Equals, t.ejected, qt.Commentf("%+v", t))
	}
}

// Guards against a group that loses more instances than it can spare, and against one that keeps the
// instance that fails more.
func TestAtMostHalfOfAGroupIsEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			n := rapid.IntRange(0, 2).Draw(t, "instance")
			k := rapid.SampledFrom([]outlier.Kind{outlier.OK, outlier.Failed, outlier.Shed}).Draw(t, "kind")
			g.record(n, k, 9*ms, "x", "y", "z")
			if rapid.Bool().Draw(t, "adopt") {
				g.instances[n].Adopt(g.now.Add(time.Second), rapid.Float64Range(0, 1).Draw(t, "rate"))
			}
			g.evaluate()
			avoided := 0
			for n := range g.instances {
				if g.instances[n].Avoided() {
					avoided++
				}
			}
			if avoided > 1 {
				t.Fatalf("%d of 3 instances are avoided", avoided)
			}
		}
	})
	c := qt.New(t)
	g := newGroup()
	g.record(0, outlier.OK, 9*ms, "x", "y", "z", "x", "y", "z")
	g.record(0, outlier.Failed, 9*ms, "x", "y")
	g.evaluate()
	c.Assert(g.instances[0].Ejected(), qt.IsTrue)
	g.record(1, outlier.Failed, 9*ms, "x", "y", "z", "x", "y")
	g.evaluate()
	c.Check(g.instances[0].Ejected(), qt.IsFalse)
	c.Check(g.instances[1].Ejected(), qt.IsTrue)
}

// ejectedGroup returns a group whose first instance is ejected.
func ejectedGroup(c *qt.C) *group {
	g := newGroup()
	g.record(0, outlier.Failed, 9*ms, "x", "y", "z", "x", "y")
	c.Assert(g.ejected(), qt.Equals, 1)
	return g
}

// Guards against probes before the pause is over, two at a time, or without a longer pause after a failure,
// and against a return after fewer than three successes in a row.
func TestProbesEndAnEjection(t *testing.T) {
	c := qt.New(t)
	g := ejectedGroup(c)
	i := &g.instances[0]
	ok, failed := outlier.Outcome{Kind: outlier.OK}, outlier.Outcome{Kind: outlier.Failed}
	for _, pause := range []time.Duration{500, 1000, 2000, 4000, 4000} {
		c.Check(i.MayProbe(g.now.Add(pause*ms-1)), qt.IsFalse)
		g.now = g.now.Add(pause * ms)
		c.Assert(i.MayProbe(g.now), qt.IsTrue)
		i.BeginProbe()
		c.Check(i.MayProbe(g.now), qt.IsFalse)
		c.Check(i.EndProbe(g.now, failed), qt.IsFalse)
	}
	g.now = g.now.Add(4 * time.Second)
	for _, o := range []outlier.Outcome{ok, ok, failed} {
		c.Check(i.EndProbe(g.now, o), qt.IsFalse)
	}
	for n, last := range []bool{false, false, true} {
		c.Check(i.EndProbe(g.now, ok), qt.Equals, last, qt.Commentf("success %d", n))
	}
	c.Check(i.Ejected(), qt.IsFalse)
}

// Guards against the return of a primary that passes three probes while its other statements fail.
func TestInstanceThatGoesOnFailingStaysEjected(t *testing.T) {
	c := qt.New(t)
	g := ejectedGroup(c)
	for range 4 {
		g.record(0, outlier.Failed, 9*ms, "x", "y")
		c.Check(g.instances[0].EndProbe(g.now, outlier.Outcome{Kind: outlier.OK}), qt.IsFalse)
	}
}

// Guards against an instance that flaps and is used at once each time that it is up.
func TestRestartKeepsTheEjection(t *testing.T) {
	c := qt.New(t)
	g := ejectedGroup(c)
	g.instances[0] = g.instances[0].Restarted()
	c.Check(g.ejected(), qt.Equals, 1)
	c.Check(g.instances[0].MayProbe(g.now), qt.IsFalse)
}

// Guards against an ejection that never ends as nothing probes the instance.
func TestEjectionThatNothingProbesEnds(t *testing.T) {
	c := qt.New(t)
	g := ejectedGroup(c)
	g.now = g.now.Add(10 * time.Second)
	c.Check(g.ejected(), qt.Equals, 1)
	g.now = g.now.Add(time.Second)
	c.Check(g.ejected(), qt.Equals, 0)
	c.Check(g.instances[0].Avoided(), qt.IsFalse)
}

// Guards against one host behind a bad link that ejects instances for the whole fleet, and against reports
// that count for longer than they may.
func TestReportsOfTheOwnDataCentreOrOfTwoCount(t *testing.T) {
	c := qt.New(t)
	e := []outlier.Ejection{{Instance: "a", RatePercent: 40, Primary: true}}
	for _, t := range []struct {
		centres []fleet.DataCentre
		want    bool
	}{
		{nil, false}, {[]fleet.DataCentre{"own"}, true}, {[]fleet.DataCentre{"x"}, false},
		{[]fleet.DataCentre{"x", "x"}, false}, {[]fleet.DataCentre{"x", "y"}, true},
	} {
		var r outlier.Reports
		for n, dc := range t.centres {
			r.Add(fleet.Host(string(rune('a'+n))), dc, start, e)
		}
		_, _, ok := r.Of(start, "own", "a")
		c.Check(ok, qt.Equals, t.want, qt.Commentf("%v", t.centres))
		c.Check(r.Hosts(start, "a"), qt.Equals, len(t.centres))
		_, _, ok = r.Of(start.Add(time.Second), "own", "a")
		c.Check(ok, qt.IsFalse)
		c.Check(r.Expire(start.Add(time.Second)), qt.IsFalse)
	}
}

// Guards against values out of range in a report.
func TestEjectionsOutOfRangeAreInvalid(t *testing.T) {
	c := qt.New(t)
	c.Check(outlier.Ejection{Instance: "a", Left: 4 * time.Second, RatePercent: 100}.Valid(), qt.IsTrue)
	c.Check(outlier.Ejection{Left: 1}.Valid(), qt.IsFalse)
	c.Check(outlier.Ejection{Instance: "a", Left: 4001 * ms}.Valid(), qt.IsFalse)
	c.Check(outlier.Ejection{Instance: "a", RatePercent: 101}.Valid(), qt.IsFalse)
}

// Guards against an allocation for each outcome, on hosts with a fifth of a core.
func TestRecordingAllocatesNothing(t *testing.T) {
	c := qt.New(t)
	var i outlier.Instance
	now := start
	record := func() {
		now = now.Add(ms)
		i.Record(now, outlier.Outcome{Account: "hotel", Kind: outlier.OK, Took: 9 * ms, SlotTime: 9 * ms})
	}
	record()
	c.Assert(testing.AllocsPerRun(1000, record), qt.Equals, 0.0)
}

// Guards against abandoning statements that take their usual time: with a target of a few ms, on an instance that
// is slow, or on a route without a target.
func TestResponseTimeoutLeavesTimeForUsualStatements(t *testing.T) {
	c := qt.New(t)
	for _, x := range []struct{ target, latency, timeout time.Duration }{
		{0, time.Second, 0},
		{5 * time.Millisecond, time.Millisecond, 50 * time.Millisecond},
		{200 * time.Millisecond, time.Millisecond, 200 * time.Millisecond},
		{200 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond},
	} {
		c.Check(outlier.ResponseTimeout(x.target, x.latency), qt.Equals, x.timeout)
	}
}
