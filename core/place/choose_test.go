package place_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/place"
)

// browsing is mostly stock lookups, some of them of a caller's own work.
var browsing = load{rate: 300, write: 0.2, token: 0.2, aged: 0.4, blind: 0.2, age: 5 * time.Second}

func TestReadsGoToReplicas(t *testing.T) {
	tests := []struct {
		name string
		lag  time.Duration
		// least is the least share of each class of reads.
		token, aged, blind float64
	}{
		{name: "1 ms lag", lag: time.Millisecond, token: 0.95, aged: 0.99, blind: 0.95},
		{name: "20 ms lag", lag: 20 * time.Millisecond, aged: 0.99},
		{name: "2 s lag", lag: 2 * time.Second, aged: 0.98},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := newSim(browsing)
			s.lag = tt.lag
			s.run(10 * time.Second)
			for class, least := range map[string]float64{"token": tt.token, "aged": tt.aged, "blind": tt.blind} {
				o := s.outcome(class)
				c.Check(o.replicas >= least, qt.IsTrue, qt.Commentf("%s: %+v", class, o))
				c.Check(o.p99 < 60*time.Millisecond, qt.IsTrue, qt.Commentf("%s: %+v", class, o))
			}
		})
	}
}

// One replica's disk is failing and it answers fifty times as slowly. Portal
// users whose reads it gets see every second page stall, until reads shift.
func TestReadsShiftFromASlowReplicaAndBack(t *testing.T) {
	c := qt.New(t)
	s := newSim(browsing)
	s.work["b"] = 100 * time.Millisecond
	s.run(10 * time.Second)
	c.Assert(s.outcome("aged").p99 < 110*time.Millisecond, qt.IsTrue, qt.Commentf("%+v", s.outcome("aged")))
	slow := share(s.ended, "b")
	c.Assert(slow > 0 && slow < 0.05, qt.IsTrue, qt.Commentf("%v of the reads went to the slow replica", slow))
	s.work["b"] = 2 * time.Millisecond
	s.run(30 * time.Second)
	from := len(s.ended)
	s.run(10 * time.Second)
	again := share(s.ended[from:], "b")
	c.Assert(again > 0.25, qt.IsTrue, qt.Commentf("%v of the reads went to the replica that recovered", again))
}

func share(rs []*request, n fleet.Instance) float64 {
	var got, all float64
	for _, r := range rs {
		if r.class == "write" {
			continue
		}
		all++
		if r.choice.Instance == n {
			got++
		}
	}
	return got / all
}

// A report that runs for 200 ms takes a slot, then another, until short reads
// wait for reports to end.
func TestLongWorkLeavesASlotForShortWork(t *testing.T) {
	c := qt.New(t)
	l := browsing
	l.long = 0.03
	s := newSim(l)
	s.run(10 * time.Second)
	for _, class := range []string{"write", "token", "aged", "blind"} {
		o := s.outcome(class)
		c.Check(o.p99 < 50*time.Millisecond, qt.IsTrue, qt.Commentf("%s: %+v", class, o))
	}
	c.Assert(s.outcome("long").ended > 50, qt.IsTrue)
}

// Three times as many requests arrive as the group can serve. What is served is
// served at the speed of the instances, and the primary's slots go to writes.
func TestSaturationKeepsWritesMoving(t *testing.T) {
	c := qt.New(t)
	l := browsing
	l.rate, l.write = 6000, 0.05
	s := newSim(l)
	s.run(time.Second)
	// Six slots of 2 ms serve 3000 a second.
	c.Assert(s.outcome("").ended > 2200, qt.IsTrue, qt.Commentf("%+v", s.outcome("")))
	w := s.outcome("write")
	c.Assert(w.p99 < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%+v", w))
}

// An operator marks a replica as leaving in the middle of traffic.
func TestLeavingInstanceGetsNothingNew(t *testing.T) {
	c := qt.New(t)
	s := newSim(browsing)
	s.run(time.Second)
	c.Assert(share(s.ended, "b") > 0, qt.IsTrue)
	s.leave["b"] = true
	s.run(time.Second)
	left := s.now.Add(-time.Second)
	for _, r := range s.ended {
		if r.choice.Instance == "b" && !r.started.Before(left) {
			c.Fatalf("a read started at the leaving instance %v after", r.started.Sub(left))
		}
	}
}

// No read may start at a replica whose log doesn't have what it needs, or the
// answer would be thrown away and the read tried again.
func TestNoReadStartsWhereItWouldMissItsOwnWork(t *testing.T) {
	c := qt.New(t)
	s := newSim(browsing)
	s.lag = 7 * time.Millisecond
	s.run(5 * time.Second)
	for _, r := range s.ended {
		after, ok := r.facts.Need.After.Get()
		if ok && !r.reads.Covers(after) && r.choice.Role == fleet.RoleReplica {
			c.Fatalf("read after %v started at %v", after, r.reads)
		}
	}
}

// The database fails every read. Without a budget each read would be sent three
// times, and the overload that made them fail would last.
func TestBudgetBoundsRetries(t *testing.T) {
	c := qt.New(t)
	var b place.RetryBudget
	var retries int
	for range 1000 {
		b.Earn()
		for range 2 {
			if b.Take() {
				retries++
			}
		}
	}
	c.Assert(retries <= 110, qt.IsTrue, qt.Commentf("%d", retries))
	c.Assert(retries >= 100, qt.IsTrue, qt.Commentf("%d", retries))
}
