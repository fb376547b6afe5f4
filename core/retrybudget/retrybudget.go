// Package retrybudget bounds the share of the load that is retries.
package retrybudget

// Budget limits how often the reads of a group are retried. The zero Budget is full.
//
// Designed for a group that fails many reads because it is overloaded or its
// primary changes: unlimited retries would multiply the load that caused the
// failures. A retry costs one token and a read earns retryTokensPerRead, so
// retries add at most a tenth to the reads. maxRetryTokens covers the few reads
// that were in progress when an instance failed.
type Budget struct {
	spent float64
}

const (
	retryTokensPerRead = 0.1
	maxRetryTokens     = 10
)

// Earn adds the tokens for a read that is sent for the first time.
func (b *Budget) Earn() {
	b.spent = max(0, b.spent-retryTokensPerRead)
}

// Take reports whether a read may be retried, and takes the token for the retry.
func (b *Budget) Take() bool {
	if b.spent+1 > maxRetryTokens {
		return false
	}
	b.spent++
	return true
}

// Left returns how many tokens are left, one for each retry.
func (b *Budget) Left() float64 {
	return maxRetryTokens - b.spent
}
