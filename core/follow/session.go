package follow

import (
	"time"

	"skylarkdeal/core/fleet"
)

// Session is one time of following a reader. The zero Session follows nobody.
//
// The guard is on a follower that leaves a reader and comes back over the same link. What the reader
// passed on meanwhile was not taken in, records of orders among it; a renewal that is taken for
// proof behind them would prove what isn't so. A session therefore begins with a question for
// everything, and takes in only what was sent after that question was heard.
type Session struct {
	// Lead is the reader.
	Lead fleet.Host
	// Clock translates its moments.
	Clock Clock
	began time.Time
	asked bool
}

// Begin has the host follow a reader from now on.
func (s *Session) Begin(lead fleet.Host, now time.Time) {
	*s = Session{Lead: lead, began: now}
}

// Ask returns whether the next question to the reader is to ask for everything.
func (s *Session) Ask() (whole bool) {
	whole = !s.asked
	s.asked = true
	return whole
}

// Accepts reports whether news are to be taken in that come from a host and echo a question which
// was sent at some moment of this host's clock.
func (s *Session) Accepts(from fleet.Host, echo time.Time) bool {
	return s.Lead != "" && from == s.Lead && !echo.Before(s.began)
}
