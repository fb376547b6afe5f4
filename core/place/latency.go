package place

import (
	"math"
	"time"
)

// LatencyAverage is a moving average of an instance's latency that decays while no
// sample arrives. The zero LatencyAverage has no samples.
type LatencyAverage struct {
	value time.Duration
	at    time.Time
}

// latencyHalfLife is the time in which the average decays to half. A slow replica
// that gets no reads thereby gets one again after a while, and its latency shows
// whether it has recovered.
const latencyHalfLife = 5 * time.Second

// latencySampleWeight is the weight of a new sample in the average.
const latencySampleWeight = 0.2

// Observe returns the average with a new sample: took is the time of one answer.
func (a LatencyAverage) Observe(now time.Time, took time.Duration) LatencyAverage {
	if a.at.IsZero() {
		return LatencyAverage{value: took, at: now}
	}
	v := a.Read(now)
	return LatencyAverage{value: v + time.Duration(latencySampleWeight*float64(took-v)), at: now}
}

// Read returns the average, decayed up to now. It is zero without samples.
func (a LatencyAverage) Read(now time.Time) time.Duration {
	if a.at.IsZero() {
		return 0
	}
	age := max(0, now.Sub(a.at))
	return time.Duration(float64(a.value) * math.Exp2(-float64(age)/float64(latencyHalfLife)))
}
