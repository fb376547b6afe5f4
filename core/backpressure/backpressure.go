// Package backpressure tells entry hosts how long operations wait at the holders of instances, and decides
// which operations an entry host refuses before it forwards them.
//
// Designed for many entry hosts before one holder whose queue is longer than callers wait. Each operation
// that can't be served would cross a link, take the holder's processor and be refused only there.
package backpressure

import (
	"errors"
	"time"

	"skylarkdeal/core/fleet"
)

// classes is the number of priorities.
const classes = int(fleet.MaxPriority) + 1

const (
	// MaxAge is how long a report counts. Queues change within that time.
	MaxAge = 200 * time.Millisecond
	// maxWait bounds a reported wait: callers wait for some seconds at most.
	maxWait = time.Minute
	// probeInterval is one in how many operations is forwarded although it can't be served according to
	// the report, so that a holder that has recovered is noticed.
	probeInterval = 8
)

// Load is the expected wait of a new operation at a holder's queue, by priority. The zero Load is that of an
// idle holder, and of one that reports nothing.
type Load struct {
	waits [classes]time.Duration
}

// NewLoad returns the load with the waits that wait returns, rounded down to milliseconds.
func NewLoad(wait func(p fleet.Priority) time.Duration) Load {
	var l Load
	for n := range l.waits {
		l.waits[n] = min(max(wait(fleet.Priority(n)), 0), maxWait).Truncate(time.Millisecond)
	}
	return l
}

// IsZero reports whether all waits are zero.
func (l Load) IsZero() bool { return l == Load{} }

// Wait returns the expected wait of an operation of priority p.
func (l Load) Wait(p fleet.Priority) time.Duration {
	return l.waits[p.Clamp()]
}

// AppendMillis appends the waits in milliseconds. Classes after the last one have its wait; none are appended
// for the zero Load.
func (l Load) AppendMillis(b []uint32) []uint32 {
	if l.IsZero() {
		return b
	}
	n := classes
	for n > 1 && l.waits[n-1] == l.waits[n-2] {
		n--
	}
	for _, w := range l.waits[:n] {
		b = append(b, uint32(w.Milliseconds()))
	}
	return b
}

// The faults of received reports.
var (
	ErrTooMany = errors.New("the report has more than 10 waits; the others are ignored")
	ErrTooLong = errors.New("the report has a wait of more than a minute and is ignored")
)

// ParseMillis returns the load that AppendMillis has written. With ErrTooMany the load is valid, with any other
// error the report isn't to be used.
func ParseMillis(ms []uint32) (Load, error) {
	var l Load
	var err error
	if len(ms) > classes {
		ms, err = ms[:classes], ErrTooMany
	}
	for n := range l.waits {
		switch {
		case n < len(ms):
			l.waits[n] = time.Duration(ms[n]) * time.Millisecond
		case n > 0:
			l.waits[n] = l.waits[n-1]
		}
		if l.waits[n] > maxWait {
			return Load{}, ErrTooLong
		}
	}
	return l, err
}
