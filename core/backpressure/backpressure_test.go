package backpressure_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"skylarkdeal/core/backpressure"
	"skylarkdeal/core/fleet"
)

var (
	epoch  = time.Unix(1_700_000_000, 0)
	orders = backpressure.Queue{Holder: "h1", Service: "orders"}
)

func loadOf(wait time.Duration) backpressure.Load {
	return backpressure.NewLoad(func(fleet.Priority) time.Duration { return wait })
}

func TestLoadsArriveAsTheyWereSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := backpressure.NewLoad(func(fleet.Priority) time.Duration {
			return time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond
		})
		got, err := backpressure.ParseMillis(l.AppendMillis(nil))
		if err != nil || got != l {
			t.Fatalf("%v, %v", got, err)
		}
	})
}

func TestEqualWaitsTakeOneNumber(t *testing.T) {
	c := qt.New(t)
	c.Assert(loadOf(30*time.Millisecond).AppendMillis(nil), qt.DeepEquals, []uint32{30})
	c.Assert(loadOf(0).AppendMillis(nil), qt.HasLen, 0)
}

// Guards against a report that is too long or has a wait out of range.
func TestMistakenReportsAreIgnored(t *testing.T) {
	c := qt.New(t)
	l, err := backpressure.ParseMillis([]uint32{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 4_000_000_000})
	c.Check(err, qt.Equals, backpressure.ErrTooMany)
	c.Check(l.Wait(9), qt.Equals, 10*time.Millisecond)
	l, err = backpressure.ParseMillis([]uint32{1, 4_000_000_000})
	c.Check(err, qt.Equals, backpressure.ErrTooLong)
	c.Check(l.IsZero(), qt.IsTrue)
}

// A holder reports a long wait and then nothing, as it was paused or nothing is forwarded to it. Guards
// against refusals by a report that is outdated.
func TestReportsAge(t *testing.T) {
	c := qt.New(t)
	var r backpressure.Reports
	r.Add(epoch, orders, loadOf(time.Second))
	c.Check(r.Wait(epoch, orders, 1), qt.Equals, time.Second)
	c.Check(r.Wait(epoch.Add(100*time.Millisecond), orders, 1), qt.Equals, 900*time.Millisecond)
	c.Check(r.Wait(epoch.Add(-time.Second), orders, 1), qt.Equals, time.Second)
	c.Check(r.Wait(epoch.Add(201*time.Millisecond), orders, 1), qt.Equals, time.Duration(0))
	c.Check(r.Empty(), qt.IsTrue)
	r.Add(epoch, orders, loadOf(50*time.Millisecond))
	c.Check(r.Wait(epoch.Add(60*time.Millisecond), orders, 1), qt.Equals, time.Duration(0))
}

// Guards against refusals by what a holder reported before its process ended.
func TestReportsEndWithTheLink(t *testing.T) {
	c := qt.New(t)
	var r backpressure.Reports
	other := backpressure.Queue{Holder: "h2", Service: "orders"}
	r.Add(epoch, orders, loadOf(time.Second))
	r.Add(epoch, other, loadOf(time.Second))
	r.Lost("h1")
	c.Check(r.Wait(epoch, orders, 1), qt.Equals, time.Duration(0))
	c.Check(r.Wait(epoch, other, 1), qt.Equals, time.Second)
	r.Add(epoch, other, backpressure.Load{})
	c.Check(r.Empty(), qt.IsTrue)
}

// Guards against garbage for each statement, on hosts with a fifth of a core.
func TestReportsAllocateNothing(t *testing.T) {
	c := qt.New(t)
	var r backpressure.Reports
	r.Add(epoch, orders, loadOf(time.Second))
	l := loadOf(time.Second)
	c.Assert(testing.AllocsPerRun(1000, func() {
		r.Add(epoch, orders, l)
		r.Overdue(epoch, orders, 1, epoch)
		r.Probe(orders)
	}), qt.Equals, 0.0)
}
