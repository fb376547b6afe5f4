package place_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/fleet"
)

// browsingWorkload is mostly stock lookups; some of them have to show the caller's own writes.
var browsingWorkload = workload{rate: 300, write: 0.2, token: 0.2, aged: 0.4, blind: 0.2, age: 5 * time.Second}

func TestReadsGoToReplicas(t *testing.T) {
	tests := []struct {
		name string
		lag  time.Duration
		// token, aged and blind are the minimum shares that replicas serve of the reads with a
		// token, with a maximum age, and with neither.
		token, aged, blind float64
	}{
		{name: "1 ms lag", lag: time.Millisecond, token: 0.95, aged: 0.99, blind: 0.95},
		{name: "20 ms lag", lag: 20 * time.Millisecond, aged: 0.99},
		{name: "2 s lag", lag: 2 * time.Second, aged: 0.98},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := newSim(browsingWorkload)
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

// Guards against reads that stay at a slow replica: its disk is failing and it
// answers fifty times as slowly, so every second page that a browsing client
// loads stalls until the reads move to other instances. Once it has recovered, it has to get reads again.
func TestReadsShiftFromASlowReplicaAndBack(t *testing.T) {
	c := qt.New(t)
	s := newSim(browsingWorkload)
	s.statementTime["b"] = 100 * time.Millisecond
	s.run(10 * time.Second)
	c.Assert(s.outcome("aged").p99 < 110*time.Millisecond, qt.IsTrue, qt.Commentf("%+v", s.outcome("aged")))
	slow := readShare(s.ended, "b")
	c.Assert(slow > 0 && slow < 0.05, qt.IsTrue, qt.Commentf("%v of the reads went to the slow replica", slow))
	s.statementTime["b"] = 2 * time.Millisecond
	s.run(30 * time.Second)
	from := len(s.ended)
	s.run(10 * time.Second)
	again := readShare(s.ended[from:], "b")
	c.Assert(again > 0.25, qt.IsTrue, qt.Commentf("%v of the reads went to the replica that recovered", again))
}

func readShare(rs []*request, n fleet.Instance) float64 {
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

// Guards against reports of 200 ms that take one slot after another until all short
// requests wait for reports to end.
func TestLongWorkLeavesASlotForShortWork(t *testing.T) {
	c := qt.New(t)
	l := browsingWorkload
	l.long = 0.03
	s := newSim(l)
	s.run(10 * time.Second)
	for _, class := range []string{"write", "token", "aged", "blind"} {
		o := s.outcome(class)
		c.Check(o.p99 < 50*time.Millisecond, qt.IsTrue, qt.Commentf("%s: %+v", class, o))
	}
	c.Assert(s.outcome("long").ended > 50, qt.IsTrue)
}

// Twice as many requests arrive as the six slots can serve. The instances have to
// stay fully used, and writes have to get the primary's slots.
func TestWritesStayFastUnderSaturation(t *testing.T) {
	c := qt.New(t)
	l := browsingWorkload
	l.rate, l.write = 6000, 0.05
	s := newSim(l)
	s.run(time.Second)
	// Six slots with statements of 2 ms serve 3000 requests a second.
	c.Assert(s.outcome("").ended > 2200, qt.IsTrue, qt.Commentf("%+v", s.outcome("")))
	w := s.outcome("write")
	c.Assert(w.p99 < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%+v", w))
}

// Guards against reads that start at an instance after an operator has marked it as
// leaving.
func TestLeavingInstanceGetsNothingNew(t *testing.T) {
	c := qt.New(t)
	s := newSim(browsingWorkload)
	s.run(time.Second)
	c.Assert(readShare(s.ended, "b") > 0, qt.IsTrue)
	s.leaving["b"] = true
	s.run(time.Second)
	left := s.now.Add(-time.Second)
	for _, r := range s.ended {
		if r.choice.Instance == "b" && !r.started.Before(left) {
			c.Fatalf("a read started at the leaving instance %v after", r.started.Sub(left))
		}
	}
}

// Guards against reads that start at a replica whose log doesn't cover their token:
// the answer would be discarded and the read retried.
func TestTokenReadStartsOnlyAtACaughtUpReplica(t *testing.T) {
	c := qt.New(t)
	s := newSim(browsingWorkload)
	s.lag = 7 * time.Millisecond
	s.run(5 * time.Second)
	for _, r := range s.ended {
		after, ok := r.info.Need.After.Get()
		if ok && !r.position.Covers(after) && r.choice.Role == fleet.RoleReplica {
			c.Fatalf("read after %v started at %v", after, r.position)
		}
	}
}
