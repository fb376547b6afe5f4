package pathcost_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/pathcost"
)

const (
	target = 250 * time.Millisecond
	work   = 18 * time.Millisecond
)

func instanceIn(centre string) *instance {
	return &instance{centre: centre, slots: 3, statementTime: work}
}

func entryHostsIn(centre string, rate float64) *entryHosts {
	return &entryHosts{centre: centre, rate: rate}
}

func fromCentre(centre string) func(o outcome) bool {
	return func(o outcome) bool { return o.centre == centre }
}

func allOutcomes(outcome) bool { return true }

func inTime(o outcome) bool { return o.took <= target }

func isRemote(o outcome) bool { return o.remote }

// Guards against reads that go to another data centre although there is a local replica: three data
// centres have one instance each, a fourth has none.
func TestReadsStayInTheirDataCentre(t *testing.T) {
	c := qt.New(t)
	primary := instanceIn("a")
	primary.primary = true
	p := simulation{
		target:    target,
		entries:   []*entryHosts{entryHostsIn("a", 30), entryHostsIn("b", 30), entryHostsIn("c", 30), entryHostsIn("d", 30)},
		instances: []*instance{primary, instanceIn("b"), instanceIn("c")},
	}
	p.run(30 * time.Second)
	for _, centre := range []string{"b", "c"} {
		part := p.share(fromCentre(centre), isRemote)
		c.Check(part < 0.05, qt.IsTrue, qt.Commentf("%s: %v", centre, part))
	}
	// In the primary's data centre the wait decides between the primary and the remote replicas.
	c.Check(p.share(fromCentre("a"), isRemote) < 0.6, qt.IsTrue)
	c.Check(p.share(allOutcomes, inTime) > 0.99, qt.IsTrue)
}

// Guards against reads that stay at a local instance that has become slow although remote instances
// are fast.
func TestReadsLeaveASlowLocalInstance(t *testing.T) {
	c := qt.New(t)
	slow := instanceIn("a")
	slow.slow = interval{5 * time.Second, 20 * time.Second}
	p := simulation{
		target:    target,
		entries:   []*entryHosts{entryHostsIn("a", 60), entryHostsIn("b", 60), entryHostsIn("c", 60)},
		instances: []*instance{slow, instanceIn("b"), instanceIn("c")},
	}
	p.run(20 * time.Second)
	afterSlowdown := func(o outcome) bool { return o.centre == "a" && o.sentAt > 7*time.Second }
	c.Check(p.share(afterSlowdown, inTime) > 0.9, qt.IsTrue, qt.Commentf("in time: %v", p.share(afterSlowdown, inTime)))
	c.Check(p.share(fromCentre("b"), inTime) > 0.97, qt.IsTrue,
		qt.Commentf("in time: %v", p.share(fromCentre("b"), inTime)))
}

// Guards against a surge in one data centre that is served by its local instance alone: the surge is
// 1.5 times what that instance can serve, while the others have free slots.
func TestSurgeInOneDataCentreUsesTheOthers(t *testing.T) {
	c := qt.New(t)
	many := entryHostsIn("a", 60)
	many.surgeFactor, many.surgeTime = 4, interval{5 * time.Second, 15 * time.Second}
	p := simulation{
		target:    target,
		entries:   []*entryHosts{many, entryHostsIn("b", 40), entryHostsIn("c", 40)},
		instances: []*instance{instanceIn("a"), instanceIn("b"), instanceIn("c")},
	}
	p.run(20 * time.Second)
	surge := func(o outcome) bool { return o.centre == "a" && many.surgeTime.contains(o.sentAt) }
	c.Check(p.share(surge, inTime) > 0.97, qt.IsTrue, qt.Commentf("in time: %v", p.share(surge, inTime)))
	c.Check(p.share(allOutcomes, inTime) > 0.97, qt.IsTrue)
}

// Guards against a policy that works for only one topology of data centres, instances and callers.
func TestOtherTopologiesMeetTheTarget(t *testing.T) {
	for name, p := range map[string]*simulation{
		"all instances in one data centre": {
			entries:   []*entryHosts{entryHostsIn("a", 40), entryHostsIn("b", 40), entryHostsIn("c", 40)},
			instances: []*instance{instanceIn("a"), instanceIn("a"), instanceIn("a")},
		},
		"two data centres": {
			entries:   []*entryHosts{entryHostsIn("a", 100), entryHostsIn("b", 20)},
			instances: []*instance{instanceIn("a"), instanceIn("b"), instanceIn("b")},
		},
		"nearly all callers where there is no instance": {
			entries:   []*entryHosts{entryHostsIn("a", 5), entryHostsIn("b", 5), entryHostsIn("z", 180)},
			instances: []*instance{instanceIn("a"), instanceIn("b"), instanceIn("c")},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p.target = target
			p.run(20 * time.Second)
			c.Check(p.share(allOutcomes, inTime) > 0.99, qt.IsTrue, qt.Commentf("in time: %v", p.share(allOutcomes, inTime)))
		})
	}
}

// Guards against writes of all data centres that queue behind the reads of the primary's own data
// centre while remote replicas have free slots.
func TestWritesDoNotQueueBehindReadsNearThePrimary(t *testing.T) {
	c := qt.New(t)
	primary := instanceIn("a")
	primary.primary, primary.slots = true, 2
	b, other := instanceIn("b"), instanceIn("c")
	b.slots, other.slots = 2, 2
	p := simulation{
		target:    target,
		entries:   []*entryHosts{entryHostsIn("a", 65), entryHostsIn("b", 25), entryHostsIn("c", 25)},
		instances: []*instance{primary, b, other},
	}
	for _, e := range p.entries {
		e.writes = 20
	}
	p.run(30 * time.Second)
	isWrite := func(o outcome) bool { return o.write }
	// At most one write in four may wait for longer than its statement runs.
	quick := func(o outcome) bool { return o.took < 2*work }
	c.Check(p.share(isWrite, quick) > 0.75, qt.IsTrue, qt.Commentf("quick: %v", p.share(isWrite, quick)))
	c.Check(p.share(allOutcomes, inTime) > 0.99, qt.IsTrue)
}

// Only the primary takes writes, so a read goes there only if the replica has a long wait.
func TestReadsPreferReplicas(t *testing.T) {
	c := qt.New(t)
	primary, replica := pathcost.Path{Slots: 3, PrimaryRead: true}, pathcost.Path{Slots: 3}
	c.Assert(replica.Cost(target) < primary.Cost(target), qt.IsTrue)
	replica.Latency, replica.Running = 100*time.Millisecond, 3
	c.Assert(primary.Cost(target) < replica.Cost(target), qt.IsTrue)
}

// Guards against reads that go to the nearest holder although its queue is much longer than that of another.
func TestWaitAtTheHolderCounts(t *testing.T) {
	c := qt.New(t)
	const target = 200 * time.Millisecond
	near := pathcost.Path{Slots: 2, Queued: 60 * time.Millisecond}
	far := pathcost.Path{Slots: 2, Remote: true}
	c.Check(far.Cost(target) < near.Cost(target), qt.IsTrue)
	near.Queued = 10 * time.Millisecond
	c.Check(near.Cost(target) < far.Cost(target), qt.IsTrue)
}
