// Package admit decides, on the host that holds a group's connections, which
// exchanges wait, which start next and which are refused. A Queue is owned by
// one goroutine and reads no clock.
//
// The most urgent class goes first, and each less urgent one that waits is
// guaranteed a small share of the slot time. Designed for more work than the
// instances can do, of routes with different targets: without classes the route
// with the shortest target is refused first, whatever its urgency.
//
// Within a class the order is start-time fair queueing over the client accounts:
// an account's share of slot time follows its weight, whatever number of
// exchanges it sends. Of one account's exchanges the earliest deadline goes first.
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
	// Displaced are the waiting items that had to leave for the new one. Their
	// callers are to be answered that they have not been run.
	Displaced []Expired
}

// Expired is an item that was removed from the queue because it can't be
// finished in time, or because a more urgent one took its place. It has not been
// run.
type Expired struct {
	Item    Item
	Refusal *failure.Refusal
}

// Queue holds the exchanges that wait for a slot of one group. The zero Queue
// works with the default limits. It is not safe for concurrent use.
type Queue struct {
	Limits Limits

	// classes holds the state of each priority that was ever used.
	classes   [fleet.MaxPriority + 1]*class
	pinned    []waitingItem
	running   map[uint64]runningItem
	slotTimes slotTimes
	seq       uint64
	waiting   int
	// backlog is the expected slot time of all waiting items by lane,
	// pinnedBacklog the part of it that belongs to open transactions.
	backlog, pinnedBacklog [2]time.Duration
	// lastStart is when an item of a lane last started, or was added to an
	// empty lane.
	lastStart [2]time.Time
	// runningInLane counts the running items of a lane; runningTime is the sum
	// of their expected slot times.
	runningInLane [2]int
	runningTime   [2]time.Duration
	// long counts the running long items, longWrites the writes among them.
	long, longWrites int
	refused          [fleet.MaxPriority + 1]int
}

// Enqueue adds i to the queue or refuses it.
//
// The bounds guard against an account that floods and a group that falls
// behind: they keep the memory and the waiting time of a queue small. A refused
// item leaves no state behind, so the caller may retry after the time in the
// refusal. An account with nothing waiting is accepted beyond the total, so
// that many floods at once don't lock out an account that keeps within its
// share. In a full queue an item takes the place of a less urgent one. An
// exchange of an open transaction is always accepted: it holds a connection that
// others wait for, and a caller has only one of them at a time.
func (q *Queue) Enqueue(now time.Time, i Item) EnqueueResult {
	i.Priority = i.Priority.Clamp()
	q.seq++
	w := waitingItem{Item: i, enqueuedAt: now, seq: q.seq, expected: q.slotTimes.estimate(i)}
	w.required = requiredTime(now, w)
	l := laneOf(i.Intent)
	if i.Pinned {
		q.pinned = append(q.pinned, w)
		q.waiting++
		q.backlog[l] += w.expected
		q.pinnedBacklog[l] += w.expected
		return EnqueueResult{}
	}
	c := q.class(i.Priority)
	a := c.account(i)
	if r := q.checkDeadline(now, a, w); r != nil {
		return q.refuse(a, r)
	}
	displaced, r := q.makeRoom(now, a, i.Priority)
	if r != nil {
		return q.refuse(a, r)
	}
	if a.len() == 0 {
		a.startTag = max(a.startTag, c.virtualTime)
	}
	if q.backlog[l] == 0 {
		q.lastStart[l] = now
	}
	c.add(a, w)
	q.backlog[l] += w.expected
	q.waiting++
	return EnqueueResult{Displaced: displaced}
}

func (q *Queue) refuse(a *account, r *failure.Refusal) EnqueueResult {
	q.refused[a.class.priority]++
	a.class.dropIdle(a)
	return EnqueueResult{Refusal: r}
}

// checkDeadline returns why w can't be finished in time, or nil.
func (q *Queue) checkDeadline(now time.Time, a *account, w waitingItem) *failure.Refusal {
	wait := q.wait(now, a, laneOf(w.Intent))
	if missesDeadline(now, wait+q.waitMargin(now, w, wait)+2*w.required, w.Deadline) {
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

// class returns the state of the class of p, which is within range.
func (q *Queue) class(p fleet.Priority) *class {
	if q.classes[p] == nil {
		q.classes[p] = &class{priority: p, accounts: map[fleet.Account]*account{}}
	}
	return q.classes[p]
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
