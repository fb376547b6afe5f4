package admit

import (
	"slices"
	"time"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
)

// waitingItem is an item in the queue, with its expected slot time.
type waitingItem struct {
	Item
	enqueuedAt time.Time
	// seq numbers the items in the order in which they came.
	seq      uint64
	expected time.Duration
	// required is the part of expected that is held against the deadline.
	required time.Duration
}

// runningItem is an item that has a slot.
type runningItem struct {
	account  *account
	item     Item
	expected time.Duration
	// outOfTurn is set if it was started from the credit of its class.
	outOfTurn bool
}

// account is the state of one client account in one class.
type account struct {
	class  *class
	name   fleet.Account
	weight float64
	// lanes holds the waiting items by intent, the earliest deadline first, so
	// that a write that waits for the primary doesn't hold up the reads behind it.
	lanes [2][]waitingItem
	// startTag is the virtual time at which the account's next item starts.
	startTag float64
	// backlog is the expected slot time of the waiting items, by lane.
	backlog [2]time.Duration
	running int
	// busyAt is the index among the accounts of the class that have waiting items.
	busyAt int
}

const (
	laneWrite = iota
	laneRead
)

func laneOf(i exchange.Intent) int {
	if i == exchange.IntentRead {
		return laneRead
	}
	return laneWrite
}

func (a *account) len() int {
	return len(a.lanes[laneWrite]) + len(a.lanes[laneRead])
}

// insert adds w to its lane behind all items whose deadline isn't later.
func (a *account) insert(w waitingItem) {
	l := laneOf(w.Intent)
	at := len(a.lanes[l])
	for at > 0 && dueBefore(w.Deadline, a.lanes[l][at-1].Deadline) {
		at--
	}
	a.lanes[l] = slices.Insert(a.lanes[l], at, w)
	a.backlog[l] += w.expected
}

// dueBefore orders deadlines; none is the latest.
func dueBefore(d, e time.Time) bool {
	return !d.IsZero() && (e.IsZero() || d.Before(e))
}

// take removes and returns the item at index n of a lane.
func (a *account) take(l, n int) waitingItem {
	w := a.lanes[l][n]
	if n == 0 {
		a.lanes[l] = a.lanes[l][1:]
	} else {
		a.lanes[l] = slices.Delete(a.lanes[l], n, n+1)
	}
	a.backlog[l] -= w.expected
	return w
}

// firstInTime returns the index of the first item of a lane whose deadline has
// not passed, or -1.
func (a *account) firstInTime(now time.Time, l int) int {
	for n := range a.lanes[l] {
		if !expired(now, a.lanes[l][n].Item) {
			return n
		}
	}
	return -1
}
