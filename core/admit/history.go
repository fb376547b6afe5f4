package admit

import (
	"time"

	"skylarkdeal/core/fleet"
)

// statementKind names statements whose slot times are taken to be alike.
type statementKind struct {
	account fleet.Account
	lane    int
	kind    uint64
}

// slotTimes learns how long exchanges hold a slot.
type slotTimes struct {
	kinds   map[statementKind]time.Duration
	average time.Duration
	// baseline follows the slot times of a lane's quickest statements: fast
	// downwards, slowly upwards, so that long ones hardly move it. Lanes differ,
	// as a slow primary makes all writes slow, and none long beside the others.
	baseline [2]time.Duration
}

const (
	// initialSlotTime stands for the slot time of a group that has finished nothing.
	initialSlotTime = time.Millisecond
	// maxKinds bounds the memory of a history; a fuller one starts anew.
	maxKinds = 4096
	// averageDivisor is the part that a new slot time has in the moving average:
	// a quarter follows a change within about eight statements.
	averageDivisor = 4
	// baselineRiseDivisor is the same for a slot time above the shortest ones.
	baselineRiseDivisor = 256
	// longFactor is how many times the usual slot time makes an exchange long,
	// so that a group whose statements are all slow has no long ones.
	longFactor = 4
)

func (h *slotTimes) add(i Item, took time.Duration) {
	if h.kinds == nil || len(h.kinds) >= maxKinds {
		h.kinds = map[statementKind]time.Duration{}
	}
	h.average = movingAverage(h.average, took)
	l := laneOf(i.Intent)
	if h.baseline[l] == 0 || took < h.baseline[l] {
		h.baseline[l] = movingAverage(h.baseline[l], took)
	} else {
		h.baseline[l] += (took - h.baseline[l]) / baselineRiseDivisor
	}
	k := statementKind{i.Account, laneOf(i.Intent), i.TextHash}
	h.kinds[k] = movingAverage(h.kinds[k], took)
}

func movingAverage(old, v time.Duration) time.Duration {
	if old == 0 {
		return v
	}
	return old + (v-old)/averageDivisor
}

// estimate returns the slot time that i is expected to take.
func (h *slotTimes) estimate(i Item) time.Duration {
	if d, ok := h.kinds[statementKind{i.Account, laneOf(i.Intent), i.TextHash}]; ok {
		return d
	}
	if h.average > 0 {
		return h.average
	}
	return initialSlotTime
}

// isLong reports whether i is expected to hold its slot for much longer than
// others. Work of an unknown kind counts as short until it has been seen once.
func (h *slotTimes) isLong(i Item, after time.Duration) bool {
	d, ok := h.kinds[statementKind{i.Account, laneOf(i.Intent), i.TextHash}]
	return ok && d >= after && d >= longFactor*h.baseline[laneOf(i.Intent)]
}
