package outlier

import "time"

const (
	// responseFactor is how many times an instance's usual latency a response may take.
	responseFactor = 4
	// minResponseTimeout is longer than most statements, so that a target of a few ms abandons none.
	minResponseTimeout = 50 * time.Millisecond
)

// ResponseTimeout returns after how long without a response a statement counts as timed out, zero if that
// can't be told because there is no target. latency is the instance's average.
func ResponseTimeout(target, latency time.Duration) time.Duration {
	if target == 0 {
		return 0
	}
	return max(target, responseFactor*latency, minResponseTimeout)
}
