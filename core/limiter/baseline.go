package limiter

import "time"

// baseline is the time that statements of one kind take without a wait: it follows the averages of
// consecutive responses, quickly downwards and slowly upwards.
type baseline struct {
	value   time.Duration
	sum     time.Duration
	count   int
	updated time.Time
}

const (
	// baselineResponses is how many responses are averaged. Execution times vary, so that a single one may
	// be much shorter than usual.
	baselineResponses = 32
	// baselineFallDivisor divides the weight of an average below the baseline.
	baselineFallDivisor = 4
	// baselineRise is the time in which the baseline may double. A faster rise would take the wait of a long
	// overload for the execution time, and raise the limit again.
	baselineRise = 2 * time.Minute
)

// add adds a response and returns how many times the baseline it took.
func (e *baseline) add(now time.Time, took time.Duration) float64 {
	took = max(took, time.Microsecond)
	e.sum += took
	e.count++
	if e.count >= baselineResponses {
		e.update(now, e.sum/time.Duration(e.count))
		e.sum, e.count = 0, 0
	}
	if e.value == 0 {
		return 1
	}
	return took.Seconds() / e.value.Seconds()
}

func (e *baseline) update(now time.Time, average time.Duration) {
	switch {
	case e.value == 0:
		e.value = average
	case average < e.value:
		e.value -= (e.value - average) / baselineFallDivisor
	default:
		part := min(now.Sub(e.updated), baselineRise).Seconds() / baselineRise.Seconds()
		e.value = min(average, e.value+time.Duration(part*float64(e.value)))
	}
	e.updated = now
}
