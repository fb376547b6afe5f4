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
func (b *baseline) add(now time.Time, took time.Duration) float64 {
	took = max(took, time.Microsecond)
	b.sum += took
	b.count++
	if b.count >= baselineResponses {
		b.update(now, b.sum/time.Duration(b.count))
		b.sum, b.count = 0, 0
	}
	if b.value == 0 {
		return 1
	}
	return took.Seconds() / b.value.Seconds()
}

func (b *baseline) update(now time.Time, average time.Duration) {
	switch {
	case b.value == 0:
		b.value = average
	case average < b.value:
		b.value -= (b.value - average) / baselineFallDivisor
	default:
		part := min(now.Sub(b.updated), baselineRise).Seconds() / baselineRise.Seconds()
		b.value = min(average, b.value+time.Duration(part*float64(b.value)))
	}
	b.updated = now
}
