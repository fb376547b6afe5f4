package follow

import "time"

const (
	// driftPart is the part of a span by which two hosts' clocks may differ over it: ten times
	// what a computer's clock is usually off.
	driftPart = 1000
	// echoFor is how far from an echo a moment may lie to be translated.
	echoFor = 10 * time.Second
)

// ClockMapping translates moments of another host's clock into this one's, so that none comes out later
// than it was.
//
// The guard is on what is believed because it is recent: a renewal, a reading of the store. Clocks
// of two hosts count from different moments, and how long a message was on its way isn't known.
// But a question is sent before it is heard: what the other host's clock showed when it heard the
// question was not before the question was sent by this one's.
type ClockMapping struct {
	sent, heard time.Time
}

// Observe takes in that a question, sent at some moment of this host's clock, was heard at some
// moment of the other's.
func (c *ClockMapping) Observe(sent, heard time.Time) {
	if sent.After(c.sent) {
		c.sent, c.heard = sent, heard
	}
}

// NotBefore returns a moment of this host's clock that isn't after the given one of the other's,
// and false if that can't be told.
func (c *ClockMapping) NotBefore(at time.Time) (time.Time, bool) {
	if c.sent.IsZero() || at.IsZero() {
		return time.Time{}, false
	}
	span := at.Sub(c.heard)
	if span.Abs() > echoFor {
		return time.Time{}, false
	}
	return c.sent.Add(span - span.Abs()/driftPart), true
}
