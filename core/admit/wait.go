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

// ExpectedWait returns how long a new item of priority p is expected to wait
// until it starts, if its account has nothing waiting: in the lane where that
// takes longer.
func (q *Queue) ExpectedWait(now time.Time, p fleet.Priority) time.Duration {
	wait := time.Duration(0)
	for l := range q.backlog {
		wait = max(wait, q.expectedWait(now, clampPriority(p), nil, l), q.stalledFor(now, l))
	}
	return wait
}

// wait returns how long a new item of a is expected to wait in a lane.
func (q *Queue) wait(now time.Time, a *account, l int) time.Duration {
	return max(q.expectedWait(now, a.class.priority, a, l), q.stalledFor(now, l))
}

// expectedWait returns the slot time that is ahead of a new item of class p, as
// the time until it has been run: that of more urgent classes and of its own. a
// is nil for an account with nothing waiting.
func (q *Queue) expectedWait(now time.Time, p fleet.Priority, a *account, l int) time.Duration {
	slots := time.Duration(q.slots(l))
	ahead := q.timeToFreeSlot(l)
	urgent := 0.0
	for _, c := range q.classes[:p] {
		if c != nil {
			ahead += c.backlog[l] / slots
			urgent += c.started[l].value(now)
		}
	}
	if c := q.classes[p]; c != nil {
		ahead += min(c.ahead(a, l), c.backlog[l]+q.pinnedBacklog[l]) / slots
	}
	return time.Duration(float64(ahead) / shareLeft(urgent, int(slots)))
}

// shareLeft returns the share of the slots that more urgent classes leave, of
// which urgent seconds of slot time were started in shareWindow: it is expected
// to stay so while an item waits. A class has at least its guaranteed share.
func shareLeft(urgent float64, slots int) float64 {
	return max(1-urgent/shareWindow.Seconds()/float64(slots), 1.0/guaranteedShareDivisor)
}

// ahead returns the slot time of the class that goes before a new item of a: the
// account's own backlog at its fair share, and at least the items whose start
// tags are lower.
func (c *class) ahead(a *account, l int) time.Duration {
	tag, own, weight := c.virtualTime, time.Duration(0), 1.0
	if a != nil {
		tag, own, weight = max(a.startTag, tag), a.backlog[l], a.weight
		tag += (a.backlog[laneWrite] + a.backlog[laneRead]).Seconds() / weight
	}
	weights, lower := weight, own
	for _, other := range c.busy {
		if other == a || len(other.lanes[l]) == 0 {
			continue
		}
		weights += other.weight
		if d := time.Duration((tag - other.startTag) * other.weight * float64(time.Second)); d >= 0 {
			lower += min(other.backlog[l], d+other.lanes[l][0].expected)
		}
	}
	return max(time.Duration(float64(own)*weights/weight), lower)
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
