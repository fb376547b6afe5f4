// Package admit decides, on the host that holds a group's connections, which
// exchanges wait, which start next and which are refused. A Queue is owned by
// one goroutine and reads no clock.
//
// The order is start-time fair queueing over the client accounts: an account's
// share of slot time follows its weight, whatever number of exchanges it sends.
package admit

import (
	"time"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
)

// Limits bounds a queue. Zero fields take the defaults.
type Limits struct {
	// PerAccount bounds the waiting exchanges of one account.
	PerAccount int `json:"per-account"`
	// Total bounds the waiting exchanges of all accounts.
	Total int `json:"total"`
	// Slots is how many exchanges the group's instances work on at a time.
	Slots int `json:"slots"`
	// WriteSlots is the part of Slots that writes can use: the primary's.
	WriteSlots int `json:"write-slots"`
	// LongAfter is the slot time from which an exchange counts as long.
	LongAfter time.Duration `json:"long-after"`
}

// The defaults of Limits are for a group of 2-slot instances with statements of
// about 1 ms. 256 waiting exchanges are a quarter of a second of one account's
// work, about as long as a caller is willing to wait, and 2048 leave room for
// eight accounts at their bound. A longer queue would only delay the answers. A
// statement of 50 ms delays the one behind it by more than a caller's usual
// round trips, so it must not take the last slot.
const (
	DefaultPerAccount = 256
	DefaultTotal      = 2048
	DefaultSlots      = 6
	DefaultWriteSlots = 2
	DefaultLongAfter  = 50 * time.Millisecond
)

// Item is one exchange that is to be run.
type Item struct {
	// Key is unique among the exchanges in the queue.
	Key     uint64
	Account fleet.Account
	// Weight is the account's share relative to the others', usually its rate.
	Weight   float64
	Deadline time.Time
	Intent   exchange.Intent
	// Priority is the item's class: more urgent classes start first.
	Priority fleet.Priority
	// TextHash is a hash of the statement's text; zero if unknown.
	TextHash uint64
	// Pinned is set for an exchange of an open transaction.
	Pinned bool
	// Long is set by the queue when the slot time is expected to be long. The
	// function that looks for a slot must then leave an instance's last one.
	Long bool
}

// EnqueueResult is the result of Enqueue: a nil Refusal means that the item
// waits.
type EnqueueResult struct {
	Refusal *failure.Refusal
}

// Expired is an item that was removed from the queue because it can't be
// finished in time. It has not been run.
type Expired struct {
	Item    Item
	Refusal *failure.Refusal
}

// waitingItem is an item in the queue, with its expected slot time.
type waitingItem struct {
	Item
	enqueuedAt time.Time
	expected   time.Duration
	// required is the part of expected that is held against the deadline.
	required time.Duration
}

// runningItem is an item that has a slot.
type runningItem struct {
	account  *account
	item     Item
	expected time.Duration
}

// account is the state of one client account.
type account struct {
	name   fleet.Account
	weight float64
	// lanes holds the waiting items by intent, so that a write that waits for
	// the primary doesn't hold up the reads behind it.
	lanes [2][]waitingItem
	// startTag is the virtual time at which the account's next item starts.
	startTag float64
	// backlog is the expected slot time of the waiting items, by lane.
	backlog [2]time.Duration
	running int
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

// Queue holds the exchanges that wait for a slot of one group. The zero Queue
// works with the default limits. It is not safe for concurrent use.
type Queue struct {
	Limits Limits

	accounts  map[fleet.Account]*account
	pinned    []waitingItem
	running   map[uint64]runningItem
	slotTimes slotTimes
	// virtualTime is the greatest start tag of the items started so far.
	virtualTime float64
	waiting     int
	backlog     [2]time.Duration
	// lastStart is when an item of a lane last started, or was added to an
	// empty lane.
	lastStart [2]time.Time
	// runningInLane counts the running items of a lane; runningTime is the sum
	// of their expected slot times.
	runningInLane [2]int
	runningTime   [2]time.Duration
	// long counts the running long items, longWrites the writes among them.
	long, longWrites int
	refused          int
}

// Enqueue adds i to the queue or refuses it.
//
// The bounds guard against an account that floods and a group that falls
// behind: they keep the memory and the waiting time of a queue small. A refused
// item leaves no state behind, so the caller may retry after the time in the
// refusal. An account with nothing waiting is accepted beyond the total, so
// that many floods at once don't lock out an account that keeps within its
// share. An exchange of an open transaction is always accepted: it holds a
// connection that others wait for, and a caller has only one of them at a time.
func (q *Queue) Enqueue(now time.Time, i Item) EnqueueResult {
	w := waitingItem{Item: i, enqueuedAt: now, expected: q.slotTimes.estimate(i)}
	w.required = requiredTime(now, w)
	if i.Pinned {
		q.pinned = append(q.pinned, w)
		q.waiting++
		q.backlog[laneOf(i.Intent)] += w.expected
		return EnqueueResult{}
	}
	a := q.account(i)
	if r := q.checkLimits(now, a, w); r != nil {
		q.refused++
		q.dropIdle(a)
		return EnqueueResult{Refusal: r}
	}
	if a.len() == 0 {
		a.startTag = max(a.startTag, q.virtualTime)
	}
	l := laneOf(i.Intent)
	if q.backlog[l] == 0 {
		q.lastStart[l] = now
	}
	a.lanes[l] = append(a.lanes[l], w)
	a.backlog[l] += w.expected
	q.backlog[l] += w.expected
	q.waiting++
	return EnqueueResult{}
}

// checkLimits returns why w can't wait, or nil.
func (q *Queue) checkLimits(now time.Time, a *account, w waitingItem) *failure.Refusal {
	wait := max(q.expectedWait(a, laneOf(w.Intent)), q.stalledFor(now, laneOf(w.Intent)))
	switch {
	case a.len() >= q.limits().PerAccount:
		return refusal("the account's queue is full", wait)
	case q.waiting >= q.limits().Total && a.len() > 0:
		return refusal("the queue of the service is full", wait)
	case q.waiting >= q.limits().Total+q.limits().PerAccount:
		return refusal("the queue of the service is full", wait)
	case missesDeadline(now, wait+wait/waitMarginDivisor+2*w.required, w.Deadline):
		return refusal("the deadline can't be met", wait+2*w.required-w.Deadline.Sub(now))
	}
	return nil
}

// missesDeadline reports whether work that takes d from now on ends after the
// deadline.
func missesDeadline(now time.Time, d time.Duration, deadline time.Time) bool {
	return !deadline.IsZero() && now.Add(d).After(deadline)
}

// minRetryAfter keeps a refused caller from retrying at once.
const minRetryAfter = 10 * time.Millisecond

func refusal(reason string, after time.Duration) *failure.Refusal {
	return &failure.Refusal{
		Code:       failure.CodeOverloaded,
		Message:    "not run: " + reason,
		RetryAfter: max(after, minRetryAfter),
		Step:       "admit",
	}
}

// account returns the state of i's account, with its present weight.
func (q *Queue) account(i Item) *account {
	if q.accounts == nil {
		q.accounts = map[fleet.Account]*account{}
		q.running = map[uint64]runningItem{}
	}
	a := q.accounts[i.Account]
	if a == nil {
		a = &account{name: i.Account, startTag: q.virtualTime}
		q.accounts[i.Account] = a
	}
	a.weight = i.Weight
	if a.weight <= 0 {
		a.weight = 1
	}
	return a
}

// dropIdle drops an account that has nothing waiting or running and whose start
// tag isn't ahead, so that the map doesn't grow with every account ever seen.
// An account whose tag is ahead stays, so that it is still charged for the slot
// time that it has used.
func (q *Queue) dropIdle(a *account) {
	if a.len() == 0 && a.running == 0 && a.startTag <= q.virtualTime {
		delete(q.accounts, a.name)
	}
}

// limits returns the limits with the defaults filled in.
func (q *Queue) limits() Limits {
	l := q.Limits
	l.PerAccount = orDefault(l.PerAccount, DefaultPerAccount)
	l.Total = orDefault(l.Total, DefaultTotal)
	l.Slots = orDefault(l.Slots, DefaultSlots)
	l.WriteSlots = orDefault(l.WriteSlots, min(DefaultWriteSlots, l.Slots))
	l.LongAfter = orDefault(l.LongAfter, DefaultLongAfter)
	return l
}

func orDefault[T int | time.Duration](v, fallback T) T {
	if v > 0 {
		return v
	}
	return fallback
}

// Len returns how many items wait.
func (q *Queue) Len() int {
	return q.waiting
}
