package admit

import (
	"time"

	"skylarkdeal/core/fleet"
)

// requiredTimeDivisor bounds the slot time that is held against a deadline, as
// a divisor of the time that is left.
const requiredTimeDivisor = 2

// requiredTime returns the slot time that is held against w's deadline: the
// expected one, but no more than half of the time that is left. So an item that
// doesn't have to wait is always accepted. Otherwise a group that had been slow
// for a while would get no more work, and its recovery would not be noticed.
func requiredTime(now time.Time, w waitingItem) time.Duration {
	if w.Deadline.IsZero() {
		return w.expected
	}
	return max(0, min(w.expected, w.Deadline.Sub(now)/requiredTimeDivisor))
}

// waitMarginDivisor adds a quarter to the expected wait when a deadline is
// checked; the slot time is counted twice then. Slot times vary: at saturation
// the queue is as long as deadlines allow, and without a margin a quarter of
// the answers come too late, after slots were used for them.
const waitMarginDivisor = 4

// waitMargin returns what is added to the expected wait of w. Behind more urgent
// classes it is the wait itself: what they will send until w starts varies too,
// and an item for which the wait was too short finds out only by waiting.
func (q *Queue) waitMargin(now time.Time, w waitingItem, wait time.Duration) time.Duration {
	for _, c := range q.classes[:w.Priority] {
		if c != nil && c.started[laneOf(w.Intent)].value(now) > 0 {
			return wait
		}
	}
	return wait / waitMarginDivisor
}

// ExpectedWait returns how long a new item of priority p is expected to wait
// until it starts, if its account has nothing waiting: in the lane where that
// takes longer.
func (q *Queue) ExpectedWait(now time.Time, p fleet.Priority) time.Duration {
	wait := time.Duration(0)
	for l := range q.backlog {
		wait = max(wait, q.expectedWait(now, p.Clamp(), nil, l), q.stalledFor(now, l))
	}
	return wait
}

// wait returns how long a new item of a is expected to wait in a lane.
func (q *Queue) wait(now time.Time, a *account, l int) time.Duration {
	return max(q.expectedWait(now, a.class.priority, a, l), q.stalledFor(now, l))
}

// expectedWait returns how long a new item of class p is expected to wait in a
// lane: until the slot time of more urgent classes and what goes before it in its
// own has been run, or until its class gets to it by its guaranteed share. a is
// nil for an account with nothing waiting.
func (q *Queue) expectedWait(now time.Time, p fleet.Priority, a *account, l int) time.Duration {
	slots := float64(q.slots(l))
	urgent, left := q.leftBy(now, p, l)
	wait := float64(urgent)
	if c := q.classes[p]; c != nil {
		own := float64(min(c.ahead(a, l), q.longestAhead(now, c, l, left)))
		wait += own
		if urgent > 0 {
			// The same slot time in terms of the whole lane, to compare both ways.
			byShare := (own + float64(max(q.slotTimes.average-c.credit[l], 0))) / guaranteedShare * left
			wait = min(wait, byShare)
		}
	}
	return time.Duration(wait/slots/left) + q.timeToFreeSlot(l)
}

// leftBy returns the slot time that waits in more urgent classes than p, and the
// share of the lane's slots that other classes leave to p: the more urgent ones
// are expected to start as much as lately, the less urgent ones that wait their
// guaranteed share.
func (q *Queue) leftBy(now time.Time, p fleet.Priority, l int) (urgent time.Duration, left float64) {
	left = 1
	for _, c := range q.classes {
		switch {
		case c == nil || c.priority == p:
		case c.priority < p:
			urgent += c.backlog[l]
			left -= q.startedShare(now, c, l)
		case c.backlog[l] > 0:
			left -= guaranteedShare
		}
	}
	return urgent, max(left, guaranteedShare)
}

// startedShare returns the share of a lane's slots that a class lately used.
func (q *Queue) startedShare(now time.Time, c *class, l int) float64 {
	return c.started[l].value(now) / shareWindow.Seconds() / float64(q.slots(l))
}

// longestAhead bounds the slot time that goes before a new item of c: the waiting
// items, and those that come meanwhile and may go before it. The busier the class
// keeps what is left to it, the more of these there are.
func (q *Queue) longestAhead(now time.Time, c *class, l int, left float64) time.Duration {
	idle := max(1-q.startedShare(now, c, l)/left, guaranteedShare)
	return time.Duration(float64(c.backlog[l]+q.pinnedBacklog[l]) / idle)
}

// ahead returns the slot time of the class that goes before a new item of a: as
// much as the class starts until its virtual time reaches the item's start tag,
// and at least the waiting items whose start tags are lower.
func (c *class) ahead(a *account, l int) time.Duration {
	tag, own := c.virtualTime, time.Duration(0)
	if a != nil {
		own = a.backlog[l]
		tag = max(a.startTag, tag) + (a.backlog[laneWrite]+a.backlog[laneRead]).Seconds()/a.weight
	}
	lower := own
	for _, other := range c.busy {
		if other == a || len(other.lanes[l]) == 0 {
			continue
		}
		if d := seconds((tag - other.startTag) * other.weight); d >= 0 {
			lower += min(other.backlog[l], d+other.lanes[l][0].expected)
		}
	}
	return max(seconds((tag-c.virtualTime)*c.weights), lower)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// stalledFor returns for how long no item of a lane has started while some
// waited. When nothing can start, as in a failover or without an available
// connection, slot times tell nothing about the wait. The best estimate then is
// that the stall lasts for as long again.
func (q *Queue) stalledFor(now time.Time, l int) time.Duration {
	if q.backlog[l] == 0 {
		return 0
	}
	return now.Sub(q.lastStart[l])
}

// timeToFreeSlot returns how long it takes until a slot of the lane is free. If
// all are taken, half of the running work is assumed to be left.
func (q *Queue) timeToFreeSlot(l int) time.Duration {
	slots := q.slots(l)
	if q.runningInLane[l] < slots {
		return 0
	}
	return q.runningTime[l] / 2 / time.Duration(slots)
}

// slots returns how many items of a lane can run at a time.
func (q *Queue) slots(l int) int {
	if l == laneWrite {
		return q.limits().WriteSlots
	}
	return q.limits().Slots
}
