package admit

import (
	"time"

	"skylarkdeal/core/fleet"
)

// statementKind identifies statements that are assumed to have similar slot
// times.
type statementKind struct {
	account  fleet.Account
	priority fleet.Priority
	lane     int
	textHash uint64
}

func kindOf(i Item) statementKind {
	return statementKind{i.Account, i.Priority, laneOf(i.Intent), i.TextHash}
}

// slotTimes estimates how long exchanges hold a slot, from those that finished.
type slotTimes struct {
	kinds   map[statementKind]time.Duration
	average time.Duration
	// baseline follows the slot times of a lane's fastest statements: quickly
	// downwards and slowly upwards, so that long statements hardly change it.
	// It is kept by lane, as a slow primary makes all writes slow, and none of
	// them long relative to the others.
	baseline [2]time.Duration
}

const (
	// initialSlotTime is the estimate for a group that has finished nothing.
	initialSlotTime = time.Millisecond
	// maxKinds bounds the memory of slotTimes; when it is reached all kinds are
	// dropped.
	maxKinds = 4096
	// averageDivisor divides the weight of a new slot time in the moving
	// average: with a quarter it follows a change within about eight
	// statements.
	averageDivisor = 4
	// baselineRiseDivisor is the same for a slot time above the baseline.
	baselineRiseDivisor = 256
	// longFactor is how many times the baseline makes an exchange long, so that
	// a group whose statements are all slow has no long ones.
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
	k := kindOf(i)
	h.kinds[k] = movingAverage(h.kinds[k], took)
}

func movingAverage(old, v time.Duration) time.Duration {
	if old == 0 {
		return v
	}
	return old + (v-old)/averageDivisor
}

// estimate returns the expected slot time of i.
func (h *slotTimes) estimate(i Item) time.Duration {
	if d, ok := h.kinds[kindOf(i)]; ok {
		return d
	}
	if h.average > 0 {
		return h.average
	}
	return initialSlotTime
}

// isLong reports whether i is expected to hold its slot for much longer than
// others. Work of an unknown kind counts as short until it has finished once.
func (h *slotTimes) isLong(i Item, after time.Duration) bool {
	d, ok := h.kinds[kindOf(i)]
	return ok && d >= after && d >= longFactor*h.baseline[laneOf(i.Intent)]
}
