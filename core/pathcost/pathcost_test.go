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

func at(centre string) *instance { return &instance{centre: centre, slots: 3, work: work} }

func callers(centre string, rate float64) *entry { return &entry{centre: centre, rate: rate} }

func from(centre string) func(o outcome) bool {
	return func(o outcome) bool { return o.centre == centre }
}

func everyone(outcome) bool { return true }

func inTime(o outcome) bool { return o.took <= target }

func crosses(o outcome) bool { return o.far }

// Guards against reads that cross to another data centre with all their bytes although there is a
// replica beside their caller: three data centres with an instance each, one with none.
func TestReadsStayInTheirDataCentre(t *testing.T) {
	c := qt.New(t)
	lead := at("a")
	lead.leads = true
	p := play{
		target:    target,
		entries:   []*entry{callers("a", 30), callers("b", 30), callers("c", 30), callers("d", 30)},
		instances: []*instance{lead, at("b"), at("c")},
	}
	p.run(30 * time.Second)
	for _, centre := range []string{"b", "c"} {
		part := p.share(from(centre), crosses)
		c.Check(part < 0.05, qt.IsTrue, qt.Commentf("%s: %v", centre, part))
	}
	// Beside the primary the wait decides between it and the replicas elsewhere.
	c.Check(p.share(from("a"), crosses) < 0.6, qt.IsTrue)
	c.Check(p.share(everyone, inTime) > 0.99, qt.IsTrue)
}

// Guards against the opposite: a near instance that turns slow keeps its callers although others
// are quick.
func TestSlowInstanceLosesItsNearCallers(t *testing.T) {
	c := qt.New(t)
	slow := at("a")
	slow.slow = span{5 * time.Second, 20 * time.Second}
	p := play{
		target:    target,
		entries:   []*entry{callers("a", 60), callers("b", 60), callers("c", 60)},
		instances: []*instance{slow, at("b"), at("c")},
	}
	p.run(20 * time.Second)
	late := func(o outcome) bool { return o.centre == "a" && o.asked > 7*time.Second }
	c.Check(p.share(late, inTime) > 0.9, qt.IsTrue, qt.Commentf("in time: %v", p.share(late, inTime)))
	c.Check(p.share(from("b"), inTime) > 0.97, qt.IsTrue, qt.Commentf("in time: %v", p.share(from("b"), inTime)))
}

// Guards against a surge of one data centre's callers that is worked off by its own instance
// alone: it brings 1.5 times what that can do, while the others have room.
func TestSurgeInOneDataCentreUsesTheOthers(t *testing.T) {
	c := qt.New(t)
	many := callers("a", 60)
	many.surge, many.when = 4, span{5 * time.Second, 15 * time.Second}
	p := play{
		target:    target,
		entries:   []*entry{many, callers("b", 40), callers("c", 40)},
		instances: []*instance{at("a"), at("b"), at("c")},
	}
	p.run(20 * time.Second)
	surge := func(o outcome) bool { return o.centre == "a" && many.when.has(o.asked) }
	c.Check(p.share(surge, inTime) > 0.97, qt.IsTrue, qt.Commentf("in time: %v", p.share(surge, inTime)))
	c.Check(p.share(everyone, inTime) > 0.97, qt.IsTrue)
}

// Guards against a policy that works for one shape of a deployment only.
func TestOtherShapesAreServed(t *testing.T) {
	for name, p := range map[string]*play{
		"all instances in one data centre": {
			entries:   []*entry{callers("a", 40), callers("b", 40), callers("c", 40)},
			instances: []*instance{at("a"), at("a"), at("a")},
		},
		"two data centres": {
			entries:   []*entry{callers("a", 100), callers("b", 20)},
			instances: []*instance{at("a"), at("b"), at("b")},
		},
		"nearly all callers where there is no instance": {
			entries:   []*entry{callers("a", 5), callers("b", 5), callers("z", 180)},
			instances: []*instance{at("a"), at("b"), at("c")},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p.target = target
			p.run(20 * time.Second)
			c.Check(p.share(everyone, inTime) > 0.99, qt.IsTrue, qt.Commentf("in time: %v", p.share(everyone, inTime)))
		})
	}
}

// Guards against orders from everywhere that stand behind the reads of the primary's own data
// centre, while replicas elsewhere have room.
func TestOrdersDoNotStandBehindTheReadsBesideThePrimary(t *testing.T) {
	c := qt.New(t)
	lead := at("a")
	lead.leads, lead.slots = true, 2
	b, other := at("b"), at("c")
	b.slots, other.slots = 2, 2
	p := play{
		target:    target,
		entries:   []*entry{callers("a", 65), callers("b", 25), callers("c", 25)},
		instances: []*instance{lead, b, other},
	}
	for _, e := range p.entries {
		e.orders = 20
	}
	p.run(30 * time.Second)
	order := func(o outcome) bool { return o.order }
	// No more than one in four waits for longer than it works.
	quick := func(o outcome) bool { return o.took < 2*work }
	c.Check(p.share(order, quick) > 0.75, qt.IsTrue, qt.Commentf("quick: %v", p.share(order, quick)))
	c.Check(p.share(everyone, inTime) > 0.99, qt.IsTrue)
}

// The primary takes what writes, so a read goes there only where a replica makes its caller wait.
func TestReadsLeaveThePrimaryAlone(t *testing.T) {
	c := qt.New(t)
	primary, replica := pathcost.Path{Slots: 3, PrimaryRead: true}, pathcost.Path{Slots: 3}
	c.Assert(replica.Cost(target) < primary.Cost(target), qt.IsTrue)
	replica.Latency, replica.Running = 100*time.Millisecond, 3
	c.Assert(primary.Cost(target) < replica.Cost(target), qt.IsTrue)
}
