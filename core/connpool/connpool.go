// Package connpool decides which accounts have the connections of a host to one database instance.
//
// Designed for more accounts than an instance has connections: 84 accounts, a few of them large, share
// 42 to 70 connections. A connection serves one account, and a new one takes 12 ms of a slot, which is
// more than most statements take.
package connpool

import (
	"math"
	"time"

	"skylarkdeal/core/fleet"
)

const (
	// demandWindow is the time constant of the moving average of demand. Shorter than a burst of an
	// account it would forget the accounts that are asked for once in some seconds.
	demandWindow = 10 * time.Second
	// rescaleAfter is the age of the reference time at which weights are rescaled, so that they stay
	// within the range of a float.
	rescaleAfter = 50 * demandWindow
	// negligible is the demand, in weighted operations, below which an account without connections is
	// forgotten. An account that was wanted once gets there within two minutes.
	negligible = 1e-5
	// evictFactor is how many times the demand of an account an operation's own account has to have to
	// evict the only connection of the former. Otherwise two accounts evict each other in turn.
	evictFactor = 2
	// gapShare is the weight of the last gap in the average gap between operations of an account.
	gapShare = 0.125
)

// Pool is what is known of the accounts that want connections to one instance. The zero Pool has no
// history.
type Pool struct {
	accounts map[fleet.Account]*Account
	// origin is the time to which all demands are scaled. Demand decays for all accounts alike, so that
	// they can be compared without it.
	origin time.Time
}

// Account is the demand of one account for connections to one instance.
type Account struct {
	// demand is the decayed sum of weighted operations, scaled to the origin of the pool.
	demand float64
	// gap is the average time between its operations, lastAt the time of the last one.
	gap    time.Duration
	lastAt time.Time
	conns  int
	// waitingAt is when an operation of the account was last seen waiting for the instance.
	waitingAt time.Time
}

// Account returns the record of an account.
func (p *Pool) Account(a fleet.Account) *Account {
	r := p.accounts[a]
	if r == nil {
		if p.accounts == nil {
			p.accounts = map[fleet.Account]*Account{}
		}
		r = &Account{}
		p.accounts[a] = r
	}
	return r
}

// Want records that an operation of an account wants a connection. Each class of urgency counts twice as
// much as the next.
func (p *Pool) Want(now time.Time, a fleet.Account, pr fleet.Priority) {
	p.rescale(now)
	r := p.Account(a)
	urgency := math.Ldexp(1, -int(pr.Clamp()))
	r.demand += urgency * p.scale(now)
	if !r.lastAt.IsZero() {
		gap := now.Sub(r.lastAt)
		if r.gap == 0 {
			r.gap = gap
		}
		r.gap += time.Duration(gapShare * float64(gap-r.gap))
	}
	r.lastAt = now
}

// Len returns the number of accounts that are known.
func (p *Pool) Len() int { return len(p.accounts) }

// Opened records that a connection was begun for an account, and returns the account's record.
func (p *Pool) Opened(a fleet.Account) *Account {
	r := p.Account(a)
	r.conns++
	return r
}

// Closed records the end of a connection of the account.
func (a *Account) Closed() { a.conns-- }

// SetWaiting records that an operation of the account waits for the instance now.
func (a *Account) SetWaiting(now time.Time) { a.waitingAt = now }

// Demand returns the moving average of an account's weighted operations per second.
func (p *Pool) Demand(now time.Time, a fleet.Account) float64 {
	r := p.accounts[a]
	if r == nil || r.demand == 0 {
		return 0
	}
	return r.demand / p.scale(now) / demandWindow.Seconds()
}

// scale returns the factor by which an operation at the given time counts more than one at the origin.
func (p *Pool) scale(now time.Time) float64 {
	return math.Exp(now.Sub(p.origin).Seconds() / demandWindow.Seconds())
}

// rescale moves the origin, and forgets accounts that have no connections and are no longer wanted.
func (p *Pool) rescale(now time.Time) {
	if p.origin.IsZero() {
		p.origin = now
	}
	if now.Sub(p.origin) < rescaleAfter {
		return
	}
	f := p.scale(now)
	p.origin = now
	for n, r := range p.accounts {
		r.demand /= f
		if r.conns == 0 && r.demand < negligible {
			delete(p.accounts, n)
		}
	}
}

// Eviction is the choice of the idle connection that is closed in favour of an account. All idle
// connections are offered to it, one after the other.
type Eviction struct {
	now       time.Time
	requester *Account
	// idleSlot is set while the instance has an idle slot.
	idleSlot bool
	best     int
	owner    *Account
	since    time.Time
}

// Evict begins the choice of a connection to close in favour of account a. idleSlot tells whether the
// instance has an idle slot.
func (p *Pool) Evict(now time.Time, a fleet.Account, idleSlot bool) Eviction {
	return Eviction{now: now, requester: p.Account(a), idleSlot: idleSlot}
}

// Offer considers the idle connection with index n, which account a has and which has been idle since the
// given time.
func (e *Eviction) Offer(n int, a *Account, since time.Time) {
	if e.mayEvict(a, since) && e.before(a, since) {
		e.best, e.owner, e.since = n, a, since
	}
}

// Choice returns the index of the connection to close, or false if none may be closed.
func (e *Eviction) Choice() (int, bool) { return e.best, e.owner != nil }

// mayEvict reports whether a connection may be closed in favour of the account that wants one.
//
// The only connection of an account stays, unless that account has much less demand, or the connection has been
// idle for longer than the account's usual gap. With even demand for more accounts than there are connections, each
// statement would otherwise take a connection from an account that needs it next, and the slots would do nothing but
// open connections. An idle slot has the time for a new connection, and requests would be refused for nothing.
//
// A connection that an operation of its own account waits for would be opened again at once.
func (e *Eviction) mayEvict(a *Account, since time.Time) bool {
	if a == e.requester || a.waitingAt.Equal(e.now) {
		return false
	}
	return a.conns > 1 || e.idleSlot || e.requester.demand >= evictFactor*a.demand || e.now.Sub(since) > a.gap
}

// before reports whether a connection is to be closed rather than the best one so far: that of the account
// with the least demand for each connection, and among those the one that has been idle longest.
func (e *Eviction) before(a *Account, since time.Time) bool {
	if e.owner == nil {
		return true
	}
	x, y := a.demand*float64(e.owner.conns), e.owner.demand*float64(a.conns)
	if x != y {
		return x < y
	}
	return since.Before(e.since)
}
