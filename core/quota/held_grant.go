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
	// reported is what the home was last told to be left.
	reported Tokens
}

// take spends n whole tokens and reports whether the grant held them.
//
// It only ever subtracts tokens that are there. If it subtracted first and
// added the excess back, a close in between would count those tokens as
// unspent, and adding them back would create them anew.
func (g *heldGrant) take(now time.Time, n Tokens) bool {
	for {
		left := g.left.Load()
		if left < int64(n) || !now.Before(g.expiresAt) {
			return false
		}
		if g.left.CompareAndSwap(left, left-int64(n)) {
			return true
		}
	}
}

// putBack returns one token and reports whether that was possible: the grant may still be spent, and the home takes
// the token for unspent.
func (g *heldGrant) putBack(now time.Time) bool {
	if !now.Before(g.expiresAt) || Tokens(g.left.Load()) >= g.reported {
		return false
	}
	g.left.Add(1)
	return true
}

// close ends the grant at its spender and returns the unspent tokens.
func (g *heldGrant) close() Tokens {
	return Tokens(g.left.Swap(0))
}
