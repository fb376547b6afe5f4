package follow

import (
	"time"

	"skylarkdeal/core/fleet"
)

// Subscription is one time of following a reader. The zero Subscription follows nobody.
//
// The guard is on a follower that leaves a reader and comes back over the same link. What the reader
// passed on meanwhile was not taken in, records of orders among it; a renewal that is taken for
// proof behind them would prove what isn't so. A session therefore begins with a question for
// everything, and takes in only what was sent after that question was heard.
type Subscription struct {
	// Reader is the reader.
	Reader fleet.Host
	// Clock translates its moments.
	Clock ClockMapping
	began time.Time
	asked bool
}

// Begin has the host follow a reader from now on.
func (s *Subscription) Begin(lead fleet.Host, now time.Time) {
	*s = Subscription{Reader: lead, began: now}
}

// Ask returns whether the next question to the reader is to ask for everything.
func (s *Subscription) Ask() (whole bool) {
	whole = !s.asked
	s.asked = true
	return whole
}

// Accepts reports whether news are to be taken in that come from a host and echo a question which
// was sent at some moment of this host's clock.
func (s *Subscription) Accepts(from fleet.Host, echo time.Time) bool {
	return s.Reader != "" && from == s.Reader && !echo.Before(s.began)
}
