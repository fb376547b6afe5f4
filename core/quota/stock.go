package quota

import (
	"sync/atomic"
	"time"

	"skylarkdeal/core/fleet"
)

// heldGrant is what is left of one grant at its spender. It is safe for
// concurrent use, so that exchanges are admitted without a lock.
type heldGrant struct {
	home      fleet.DataCentre
	id        GrantID
	expiresAt time.Time
	left      atomic.Int64
}

// take spends n whole tokens and reports whether the grant held them.
//
// It only ever subtracts tokens that are there. If it subtracted first and
// added the excess back, a close in between would count those tokens as
// unspent, and adding them back would create them anew.
func (s *heldGrant) take(now time.Time, n Tokens) bool {
	for {
		left := s.left.Load()
		if left < int64(n) || !now.Before(s.expiresAt) {
			return false
		}
		if s.left.CompareAndSwap(left, left-int64(n)) {
			return true
		}
	}
}

// close ends the grant at its spender and returns the unspent tokens.
func (s *heldGrant) close() Tokens {
	return Tokens(s.left.Swap(0))
}
