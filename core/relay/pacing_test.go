package relay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
)

func newPacedWorld(c *qt.C, on bool) *world {
	return configuredWorld(c, relay.Peer{Host: "h1", DataCentre: "obihiro"}, time.Minute, func(cfg *relay.Config) {
		cfg.PacedRetries = on
	}).withConfirmedPrimary()
}

// retryTimes returns how many different retry times callers were refused with, and how many were refused.
func retryTimes(callers []*caller) (different, refused int) {
	times := fleet.NewSet[time.Duration]()
	for _, x := range callers {
		if x.last().Code != statement.CodeBusy {
			continue
		}
		refused++
		times.Add(x.last().RetryAfter.Truncate(time.Millisecond))
	}
	return len(times), refused
}

// Callers of one group send more at once than its queue takes. Guards against equal retry times, with which
// all of them return together and are refused again.
func TestCallersRefusedAtOnceGetDifferentRetryTimes(t *testing.T) {
	c := qt.New(t)
	for _, on := range []bool{false, true} {
		w := newPacedWorld(c, on)
		for _, n := range w.instances {
			n.hold = true
		}
		var callers []*caller
		for range 120 {
			x := w.open("rush", "key-1")
			x.do(statement.KindWrite, "", "item data")
			callers = append(callers, x)
		}
		different, refused := retryTimes(callers)
		c.Check(refused >= 20, qt.IsTrue, qt.Commentf("%d refused", refused))
		c.Check(different*4 >= refused*3, qt.Equals, on, qt.Commentf("%d times for %d refused", different, refused))
	}
}

// The primary can't be reached. Guards against callers that all return at the same moment, at the expected
// end of the failover.
func TestCallersRefusedForAFailoverGetDifferentRetryTimes(t *testing.T) {
	c := qt.New(t)
	for _, on := range []bool{false, true} {
		w := newPacedWorld(c, on)
		w.makeUnreachable("a")
		w.advance(600*time.Millisecond, true)
		var callers []*caller
		for range 40 {
			x := w.open("rush", "key-1")
			x.do(statement.KindWrite, "", "item data")
			callers = append(callers, x)
		}
		different, refused := retryTimes(callers)
		c.Check(refused, qt.Equals, 40)
		c.Check(different*4 >= refused*3, qt.Equals, on, qt.Commentf("%d times for %d refused", different, refused))
	}
}
