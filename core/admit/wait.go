package admit

import "time"

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

// expectedWait returns how long a new item of a is expected to wait until it
// starts: the account's own backlog in the lane at its fair share, but no
// longer than until the backlog of the whole lane has been run.
func (q *Queue) expectedWait(a *account, l int) time.Duration {
	slots := time.Duration(q.slots(l))
	weights := 0.0
	for _, other := range q.accounts {
		if other == a || len(other.lanes[l]) > 0 {
			weights += other.weight
		}
	}
	own := time.Duration(float64(a.backlog[l])*weights/a.weight) / slots
	return min(own, q.backlog[l]/slots) + q.timeToFreeSlot(l)
}

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
