package admit

import "time"

// needDivisor bounds what an expected slot time counts against a deadline.
const needDivisor = 2

// requiredTime returns the slot time that is held against w's deadline: the expected one,
// but no more than half of the time there is. An item that needn't wait is
// so always taken. Otherwise a group that had been slow for a while would be
// given no work any more, and nobody would find out that it is quick again.
func requiredTime(now time.Time, w waitingItem) time.Duration {
	if w.Deadline.IsZero() {
		return w.expected
	}
	return max(0, min(w.expected, w.Deadline.Sub(now)/needDivisor))
}

// waitMarginDivisor adds a quarter to the expected wait, and the slot time counts twice,
// when a deadline is checked. Slot times vary: at saturation the queue is as long
// as deadlines allow, and without a margin a quarter of the answers come late,
// after slots have worked on them for nothing.
const waitMarginDivisor = 4

// expectedWait returns how long a new item of a is expected to expectedWait for its start: the
// account's own backlog in its lane at its fair share, and no longer than until
// all of the lane has been worked off.
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

// stalledFor returns for how long nothing of a lane has started while some of it
// waited. When nothing can start, as in a failover or with no connection to be
// had, slot times tell nothing of the wait; that it goes on for as long again is
// then the best guess.
func (q *Queue) stalledFor(now time.Time, l int) time.Duration {
	if q.backlog[l] == 0 {
		return 0
	}
	return now.Sub(q.lastStart[l])
}

// timeToFreeSlot returns how long it takes until a slot of the lane is free: if all
// are taken, half of the running work is taken to be still ahead.
func (q *Queue) timeToFreeSlot(l int) time.Duration {
	slots := q.slots(l)
	if q.runningInLane[l] < slots {
		return 0
	}
	return q.runningTime[l] / 2 / time.Duration(slots)
}

// slots returns how many items of a lane can be worked on at a time.
func (q *Queue) slots(l int) int {
	if l == laneWrite {
		return q.limits().WriteSlots
	}
	return q.limits().Slots
}
