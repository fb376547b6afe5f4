// Package clock tells the time that passes for the outside, also while the process or
// its machine stands still.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the time since the machine's start, with as few system calls as it can. The zero
// Clock reads the machine's.
type Clock struct {
	// Boot returns the time since the machine's start, suspension included.
	Boot func() time.Duration
	// Steady returns a steady time that need not count suspension, and the time of day.
	Steady func() (steady, day time.Duration)

	last atomic.Pointer[reading]
}

// reading is one look at all clocks.
type reading struct {
	boot, steady, day time.Duration
}

const (
	// keepFor is how long a reading is carried on with the steady clock.
	keepFor = 20 * time.Millisecond
	// slack is how far the time of day may have moved away from the steady clock meanwhile, and how
	// long the look at the clocks of a reading may take.
	slack = 500 * time.Microsecond
)

// Now returns the time since the machine's start as a time.Time without a date.
//
// The guard is against a host that is suspended and wakes up: Go's steady clock doesn't
// count that time, so that a lease which has run out would still look valid. The time of
// day does count it, but is set forward and back. The clock that counts it takes a system call,
// and is looked at hundreds of times a tick. So a reading of it is carried on with the steady clock
// for as long as the time of day keeps pace with that: a suspension is a step between the two.
func (c *Clock) Now() time.Time {
	steady, day := c.steady()
	if l := c.last.Load(); l != nil {
		passed := steady - l.steady
		if passed >= 0 && passed < keepFor && (day-l.day-passed).Abs() < slack {
			return moment(l.boot + passed)
		}
	}
	boot := c.boot()
	after, day := c.steady()
	if after-steady < slack {
		// With the later look at the steady clock what is carried on is never ahead.
		c.last.Store(&reading{boot: boot, steady: after, day: day})
	}
	return moment(boot)
}

func moment(d time.Duration) time.Time { return time.Unix(0, int64(d)) }

func (c *Clock) boot() time.Duration {
	if c.Boot != nil {
		return c.Boot()
	}
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39; without it nothing here holds.
		panic("no clock that counts suspension: " + err.Error())
	}
	return time.Duration(t.Nano())
}

var start = time.Now()

func (c *Clock) steady() (steady, day time.Duration) {
	if c.Steady != nil {
		return c.Steady()
	}
	now := time.Now()
	return now.Sub(start), time.Duration(now.UnixNano())
}

var machine Clock

// Now returns the time since the machine's start by the machine's own clock.
func Now() time.Time { return machine.Now() }
