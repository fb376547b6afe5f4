package admit

import (
	"math"
	"time"

	"skylarkdeal/core/fleet"
)

// guaranteedShare is the part of the slot time that a class is guaranteed
// while it waits: a tenth. Without it an overload of urgent work would stop all
// other work, and a larger share would be taken from the urgent work.
const (
	guaranteedShare        = 1.0 / guaranteedShareDivisor
	guaranteedShareDivisor = 10
)

// maxCredit bounds how much slot time a class may start out of turn at once. A
// class whose items couldn't start for a while, as in a failover, would else hold
// up urgent work for as long as that lasted.
const maxCredit = 20 * time.Millisecond

// shareWindow is the time over which the slot time of a class is averaged: short
// enough to follow a burst, and some dozens of statements on few slots.
const shareWindow = 500 * time.Millisecond

// class is the state of the items of one priority.
type class struct {
	priority fleet.Priority
	accounts map[fleet.Account]*account
	// weights is the sum of the accounts' weights.
	weights float64
	// busy are the accounts that have waiting items, in no order.
	busy []*account
	// virtualTime is the greatest start tag of the items started so far.
	virtualTime float64
	waiting     int
	// backlog is the expected slot time of the waiting items, by lane.
	backlog [2]time.Duration
	// credit is the slot time that the class may start out of turn, by lane.
	// It is negative after an item that took more than there was.
	credit [2]time.Duration
	// started averages the slot time started, by lane.
	started [2]decayingSum
}

// account returns the state of i's account, with its present weight.
func (c *class) account(i Item) *account {
	a := c.accounts[i.Account]
	if a == nil {
		a = &account{class: c, name: i.Account, startTag: c.virtualTime}
		c.accounts[i.Account] = a
	}
	w := i.Weight
	if w <= 0 {
		w = 1
	}
	c.weights += w - a.weight
	a.weight = w
	return a
}

// dropIdle drops an account that has nothing waiting or running and whose start
// tag isn't ahead, so that the map doesn't grow with every account ever seen.
// An account whose tag is ahead stays, so that it is still charged for the slot
// time that it has used.
func (c *class) dropIdle(a *account) {
	if a.len() == 0 && a.running == 0 && a.startTag <= c.virtualTime {
		delete(c.accounts, a.name)
		c.weights -= a.weight
	}
	if len(c.accounts) == 0 {
		// Sums of fractions leave a remainder.
		c.weights = 0
	}
}

func (c *class) add(a *account, w waitingItem) {
	if a.len() == 0 {
		a.busyAt = len(c.busy)
		c.busy = append(c.busy, a)
	}
	a.insert(w)
	c.backlog[laneOf(w.Intent)] += w.expected
	c.waiting++
}

// start removes an item that starts; its account is charged for its expected slot
// time.
func (c *class) start(s startable) waitingItem {
	a := s.account
	w := c.take(s)
	c.virtualTime = max(c.virtualTime, a.startTag)
	a.startTag += w.expected.Seconds() / a.weight
	return w
}

// take removes and returns an item.
func (c *class) take(s startable) waitingItem {
	w := s.account.take(s.lane, s.at)
	c.backlog[s.lane] -= w.expected
	c.waiting--
	c.updateBusy(s.account)
	return w
}

// removed accounts for items that were taken out of the lanes of a.
func (c *class) removed(a *account, ws []waitingItem) {
	for _, w := range ws {
		l := laneOf(w.Intent)
		a.backlog[l] -= w.expected
		c.backlog[l] -= w.expected
	}
	c.waiting -= len(ws)
	c.updateBusy(a)
}

// updateBusy takes a out of the accounts with waiting items if it has none left.
func (c *class) updateBusy(a *account) {
	if a.len() > 0 {
		return
	}
	last := len(c.busy) - 1
	c.busy[a.busyAt], c.busy[last].busyAt = c.busy[last], a.busyAt
	c.busy[last] = nil
	c.busy = c.busy[:last]
}

// earn adds to the credit of a class that waits while a more urgent one starts
// d of slot time. Its own items make up the rest of the time of which it is
// guaranteed a share.
func (c *class) earn(l int, d time.Duration) {
	if c.backlog[l] > 0 {
		c.credit[l] = min(c.credit[l]+d/(guaranteedShareDivisor-1), maxCredit)
	}
}

// affords reports whether the credit covers an item. One that takes more than
// the greatest credit leaves the class in debt.
func (c *class) affords(i Item, expected time.Duration) bool {
	return c.credit[laneOf(i.Intent)] >= min(expected, maxCredit)
}

// decayingSum is a sum of durations that fades over shareWindow.
type decayingSum struct {
	sum float64
	at  time.Time
}

func (s *decayingSum) add(now time.Time, d time.Duration) {
	s.sum, s.at = s.value(now)+d.Seconds(), now
}

func (s *decayingSum) value(now time.Time) float64 {
	if s.sum == 0 || !now.After(s.at) {
		return s.sum
	}
	return s.sum * math.Exp(-now.Sub(s.at).Seconds()/shareWindow.Seconds())
}
