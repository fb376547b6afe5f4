package outlier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/outlier"
)

var accounts = []fleet.Account{"a", "b", "c", "d", "e"}

// failuresUnderLoad replays ten seconds of reads that are spread over the instances in use, the first of
// which fails 40% of them, and returns how many of the reads failed at their first attempt.
func failuresUnderLoad(detect bool) (failed, reads int) {
	random := rand.New(rand.NewPCG(1, 2))
	g := newGroup()
	for reads = range 2000 {
		g.now = g.now.Add(5 * ms)
		if detect {
			g.evaluate()
		}
		n := reads % 3
		i := &g.instances[n]
		probe := i.MayProbe(g.now)
		if i.Avoided() && !probe {
			n, probe = 1+reads%2, false
			i = &g.instances[n]
		}
		o := outlier.Outcome{Account: accounts[random.IntN(len(accounts))], Kind: outlier.OK, Took: 9 * ms, SlotTime: 9 * ms}
		if n == 0 && random.Float64() < 0.4 {
			o.Kind = outlier.Failed
			failed++
		}
		i.Record(g.now, o)
		if probe {
			i.BeginProbe()
			i.EndProbe(g.now, o)
		}
	}
	return failed, reads + 1
}

// An instance fails 40% of its reads for ten seconds. Without ejections an eighth of all reads fail.
func TestReadsLeaveAFailingInstanceUnderLoad(t *testing.T) {
	c := qt.New(t)
	failed, reads := failuresUnderLoad(true)
	without, _ := failuresUnderLoad(false)
	t.Logf("%d of %d reads failed, %d without ejections", failed, reads, without)
	c.Check(without > reads/10, qt.IsTrue)
	c.Check(failed < reads/50, qt.IsTrue, qt.Commentf("%d of %d reads failed", failed, reads))
}

// station is a healthy instance with two slots and a queue in the order of arrival.
type station struct {
	free [2]time.Time
}

// run returns when a statement that arrives at a time and takes some work is answered.
func (s *station) run(at time.Time, work time.Duration) time.Time {
	n := 0
	if s.free[1].Before(s.free[0]) {
		n = 1
	}
	if s.free[n].Before(at) {
		s.free[n] = at
	}
	s.free[n] = s.free[n].Add(work)
	return s.free[n]
}

// Eight hosts keep three statements each at the primary, which has two slots, while the replicas have one
// now and then. Guards against the ejection of a primary that is slow only by the wait for its slots.
func TestHotPrimaryIsNotEjected(t *testing.T) {
	c := qt.New(t)
	const hosts, running, slots = 8, 3, 2
	random := rand.New(rand.NewPCG(3, 4))
	work := func() time.Duration { return time.Duration(2+random.IntN(14)) * ms }
	g := newGroup()
	var primary station
	var ends [hosts * running]time.Time
	for step := range 10_000 {
		g.now = g.now.Add(ms)
		for n, end := range ends {
			if g.now.Before(end) {
				continue
			}
			next := primary.run(g.now, work())
			if n < running && !end.IsZero() {
				// What this host sees of the statement that has ended: all 24 were at the primary.
				took := next.Sub(g.now)
				g.instances[0].Record(g.now, outlier.Outcome{
					Account: accounts[n], Kind: outlier.OK, Took: took,
					SlotTime: outlier.SlotTime(took, running, hosts, slots),
				})
			}
			ends[n] = next
		}
		if step%20 == 0 {
			for n := range 2 {
				took := work()
				g.instances[1+n].Record(g.now, outlier.Outcome{
					Account: accounts[n], Kind: outlier.OK, Took: took, SlotTime: took,
				})
			}
		}
		if step%50 == 0 {
			c.Assert(g.evaluate(), qt.HasLen, 0, qt.Commentf("after %d ms", step))
		}
	}
}
