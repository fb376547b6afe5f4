package place

import (
	"math"
	"time"
)

// LatencyAverage is a moving average of an instance's answer times that fades while
// nothing is measured. The zero LatencyAverage has measured nothing.
type LatencyAverage struct {
	value time.Duration
	at    time.Time
}

// meterHalf is how fast a measured time fades: a slow replica that has got no
// reads for a while looks half as slow after it, and so gets one again, which
// shows whether it has recovered.
const meterHalf = 5 * time.Second

// meterWeight is the part of a new measurement.
const meterWeight = 0.2

// Observe returns m with the time that an answer took.
func (m LatencyAverage) Observe(now time.Time, took time.Duration) LatencyAverage {
	if m.at.IsZero() {
		return LatencyAverage{value: took, at: now}
	}
	v := m.Read(now)
	return LatencyAverage{value: v + time.Duration(meterWeight*float64(took-v)), at: now}
}

// Read returns the faded average.
func (m LatencyAverage) Read(now time.Time) time.Duration {
	if m.at.IsZero() {
		return 0
	}
	age := max(0, now.Sub(m.at))
	return time.Duration(float64(m.value) * math.Exp2(-float64(age)/float64(meterHalf)))
}
