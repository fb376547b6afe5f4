// Package clock tells the time that passes for the outside, also while the process or
// its machine stands still.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start as a time.Time without a date.
//
// The guard is against a host that is suspended and wakes up: Go's steady clock doesn't
// count that time, so that a lease which has run out would still look valid. The time of
// day does count it, but is set forward and back.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39; without it nothing here holds.
		panic("no clock that counts suspension: " + err.Error())
	}
	return time.Unix(t.Sec, t.Nsec)
}
