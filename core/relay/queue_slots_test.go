package relay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/statement"
)

// refusedAtOnce has three writes of 50 ms run at the primary, which holds what comes then, and returns how many
// of 16 further ones are refused on arrival.
func (w *world) refusedAtOnce() int {
	a := w.instances["a"]
	a.hold = true
	for range 3 {
		w.open("rush", "key-1").do(statement.KindWrite, "", "item data")
		w.advance(50*time.Millisecond, true)
		a.hold = false
		w.deliver()
		a.hold = true
	}
	n := 0
	for range 16 {
		x := w.open("rush", "key-1")
		x.do(statement.KindWrite, "", "item data")
		w.relay.Tick()
		if len(x.answers) > 0 {
			n++
		}
	}
	return n
}

// Guards against refusals of what an instance could run in time, since the expected wait counts two slots on
// instances that have more.
func TestExpectedWaitCountsTheSlotsOfTheInstances(t *testing.T) {
	c := qt.New(t)
	refused := func(slots int) int {
		w := newWorld(c).withConfirmedPrimary()
		w.slots = slots
		w.list()
		return w.refusedAtOnce()
	}
	c.Assert(refused(2) > 0, qt.IsTrue)
	c.Assert(refused(8), qt.Equals, 0)
}

// Four hosts share the slots of an instance. Guards against operations that one of them takes in and refuses
// when their time is over, since it counts on all of the slots.
func TestExpectedWaitCountsTheConcurrencyLimit(t *testing.T) {
	c := qt.New(t)
	limited, unlimited := newLimitedWorld(c, true).refusedAtOnce(), newLimitedWorld(c, false).refusedAtOnce()
	c.Assert(limited > unlimited+4, qt.IsTrue, qt.Commentf("%d and %d", limited, unlimited))
}

// Guards against reads that are taken in and refused when their time is over, since the expected wait counts the
// slots of replicas that lag.
func TestExpectedWaitCountsNoLaggingReplicas(t *testing.T) {
	c := qt.New(t)
	refused := func(lag bool) int {
		w := newLimitedWorld(c, true)
		for _, n := range []fleet.Instance{"b", "c"} {
			if lag {
				w.instances[n].position.Index = 1
			}
		}
		for range 100 {
			w.open("standing", "key-1").do(statement.KindRead, "", "item")
			w.advance(20*time.Millisecond, true)
		}
		hold := func(on bool) {
			for _, n := range w.instances {
				n.hold = on
			}
		}
		hold(true)
		for range 3 {
			w.open("standing", "key-1").do(statement.KindRead, "", "item")
			w.advance(50*time.Millisecond, true)
			hold(false)
			w.deliver()
			hold(true)
		}
		n := 0
		for range 24 {
			x := w.open("standing", "key-1")
			x.do(statement.KindRead, "", "item")
			w.relay.Tick()
			if len(x.answers) > 0 {
				n++
			}
		}
		return n
	}
	lagging, current := refused(true), refused(false)
	c.Assert(lagging > current+4, qt.IsTrue, qt.Commentf("%d and %d", lagging, current))
}
