package follow

import (
	"time"

	"skylarkdeal/core/fleet"
)

// Subscription is one period of following a reader. The zero Subscription follows no reader.
//
// Guards against a renewal that seems to confirm outdated records, after a follower has left a reader
// and returned to it over the same link. The follower has ignored what the reader forwarded in
// between, records of promotion requests among it. A subscription therefore begins
// with a request for all parts, and accepts only updates that were sent after the reader had
// received that request.
type Subscription struct {
	// Reader is the host that is followed.
	Reader fleet.Host
	// Clock translates times of the reader's clock.
	Clock         ClockMapping
	began         time.Time
	fullRequested bool
}

// Begin starts to follow a reader at now, and drops the state of the previous subscription.
func (s *Subscription) Begin(reader fleet.Host, now time.Time) {
	*s = Subscription{Reader: reader, began: now}
}

// RequestFull reports whether the next request to the reader has to ask for all parts, and notes that it
// did.
func (s *Subscription) RequestFull() (full bool) {
	full = !s.fullRequested
	s.fullRequested = true
	return full
}

// Accepts reports whether to take in an update from a host. requestSent is when the request that
// the update echoes was sent, by this host's clock.
func (s *Subscription) Accepts(from fleet.Host, requestSent time.Time) bool {
	return s.Reader != "" && from == s.Reader && !requestSent.Before(s.began)
}
