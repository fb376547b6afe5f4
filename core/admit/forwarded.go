package admit

import "time"

// ForwardedWait returns the expected wait of a new item of another host, which is queued among the writes.
func (q *Queue) ForwardedWait(now time.Time) time.Duration {
	if q.backlog[laneWrite] == 0 {
		return 0
	}
	slots := time.Duration(q.slots(laneWrite))
	return max(q.backlog[laneWrite]/slots+q.timeToFreeSlot(laneWrite), q.stalledFor(now, laneWrite))
}
