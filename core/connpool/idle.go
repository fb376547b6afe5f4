package connpool

import (
	"time"

	"skylarkdeal/core/fleet"
)

const (
	// idleBoundMax is how long the caller of an open transaction may be idle while operations wait for a
	// connection, if its account holds few connections in that way.
	idleBoundMax = 500 * time.Millisecond
	// idleBoundMin is the least such time: callers in another data centre need some of it between two
	// statements.
	idleBoundMin = 100 * time.Millisecond
	// idleShareDivisor sets the part of an instance's connections that an account may hold in idle
	// transactions while others wait: a half.
	idleShareDivisor = 2
)

// IdleTransaction is an open transaction on a connection to the instance, with no statement in progress.
type IdleTransaction struct {
	Account fleet.Account
	Since   time.Time
}

// MaxIdle returns how many of an instance's connections an account may hold in idle transactions while other
// accounts wait for one.
func MaxIdle(connections int) int { return max(1, connections/idleShareDivisor) }

// IdleBound returns how long the caller of an account with n idle transactions may be idle while operations wait
// for one of an instance's connections. limit is the operator's bound, zero for none.
func IdleBound(n, connections int, limit time.Duration) time.Duration {
	most := MaxIdle(connections)
	b := idleBoundMax - (idleBoundMax-idleBoundMin)*time.Duration(min(n, most))/time.Duration(most)
	if limit > 0 {
		return min(b, limit)
	}
	return b
}

// RollBack returns the index of the idle transaction to roll back while operations wait for one of an instance's
// connections, or false if none has been idle for longer than its bound. It is the longest idle one of the
// account that holds the most connections in idle transactions.
//
// Designed for 78 to 120 callers that begin a transaction, write and stay idle. They hold all connections to
// the primary, and all other callers are refused until the operator's limit of some seconds ends the
// transactions.
func RollBack(now time.Time, txs []IdleTransaction, connections int, limit time.Duration) (int, bool) {
	counts := map[fleet.Account]int{}
	for _, x := range txs {
		counts[x.Account]++
	}
	best := -1
	for n, x := range txs {
		if now.Sub(x.Since) <= IdleBound(counts[x.Account], connections, limit) {
			continue
		}
		if best < 0 || counts[x.Account] > counts[txs[best].Account] ||
			counts[x.Account] == counts[txs[best].Account] && x.Since.Before(txs[best].Since) {
			best = n
		}
	}
	return best, best >= 0
}
