package follow

import "time"

const (
	// maxDriftDivisor is the divisor that gives, from a time span, the most that two hosts' clocks
	// may drift apart over it: a thousandth, which is ten times the usual drift of a computer's
	// clock.
	maxDriftDivisor = 1000
	// maxTranslationInterval is the longest interval between a time to be translated and the echo
	// (see Observe) on which the translation is based.
	maxTranslationInterval = 10 * time.Second
)

// ClockMapping translates times of another host's clock into times of this host's clock, such that
// no translated time is later than the actual one.
//
// Guards against a renewal, or a copy of the store's content, that seems more recent than it is.
// The clocks of two hosts start at different times, and the delay of a message isn't known. But the
// other host receives a request no earlier than this host sent it, which bounds the difference of
// the clocks.
type ClockMapping struct {
	sent, heard time.Time
}

// Observe adds an echo: a request sent at sent, by this host's clock, was received at heard, by the
// other host's clock.
func (c *ClockMapping) Observe(sent, heard time.Time) {
	if sent.After(c.sent) {
		c.sent, c.heard = sent, heard
	}
}

// NotBefore returns a time of this host's clock that isn't after at, a time of the other host's
// clock. It returns false if there was no echo yet, or only one too far from at.
func (c *ClockMapping) NotBefore(at time.Time) (time.Time, bool) {
	if c.sent.IsZero() || at.IsZero() {
		return time.Time{}, false
	}
	sinceEcho := at.Sub(c.heard)
	if sinceEcho.Abs() > maxTranslationInterval {
		return time.Time{}, false
	}
	return c.sent.Add(sinceEcho - sinceEcho.Abs()/maxDriftDivisor), true
}

// ExtraDelay estimates how much longer than usual the messages of one other host take. The zero
// ExtraDelay has seen none.
//
// Guards against a report that was held up on its way: the ages in it don't count that time, so that what
// they tell of looks more recent than it is. The clocks of two hosts have nothing in common, but the
// difference between receiving and sending is least for the fastest message, and each other one took
// longer by as much as its difference is larger.
type ExtraDelay struct {
	seen  bool
	least time.Duration
	at    time.Time
}

// Observe adds a message that was sent at sent, by the other host's clock, and received at received, by
// this host's clock. It returns by how much longer it took than the fastest so far.
func (e *ExtraDelay) Observe(sent, received time.Time) time.Duration {
	d := received.Sub(sent)
	if e.seen {
		// The clocks may have drifted apart since.
		e.least += max(received.Sub(e.at), 0) / maxDriftDivisor
	}
	if !e.seen || d < e.least {
		e.least = d
	}
	e.seen, e.at = true, received
	return d - e.least
}
