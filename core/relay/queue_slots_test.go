package relay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/statement"
)

// Guards against refusals of what an instance could run in time, since the expected wait counts two slots on
// instances that have more.
func TestExpectedWaitCountsTheSlotsOfTheInstances(t *testing.T) {
	c := qt.New(t)
	refused := func(slots int) int {
		w := newWorld(c).withConfirmedPrimary()
		w.slots = slots
		w.list()
		w.instances["a"].hold = true
		for range 3 {
			w.open("rush", "key-1").do(statement.KindWrite, "", "item data")
			w.advance(50*time.Millisecond, true)
			w.instances["a"].hold = false
			w.deliver()
			w.instances["a"].hold = true
		}
		n := 0
		for range 16 {
			x := w.open("rush", "key-1")
			x.do(statement.KindWrite, "", "item data")
			if len(x.answers) > 0 {
				n++
			}
		}
		return n
	}
	c.Assert(refused(2) > 0, qt.IsTrue)
	c.Assert(refused(8), qt.Equals, 0)
}
