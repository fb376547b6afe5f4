package relay

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/pacing"
	"skylarkdeal/core/statement"
)

// newPacer returns a pacer whose jitters differ from those of other hosts.
func newPacer(h fleet.Host) pacing.Pacer {
	return pacing.Pacer{Offset: float64(xxhash.Sum64String(string(h))) / math.MaxUint64}
}

// retryAfterFailure returns the retry time of a refusal for a failure that is expected to last for left.
func (r *Relay) retryAfterFailure(left time.Duration) time.Duration {
	if !r.cfg.PacedRetries {
		return left
	}
	return r.pacer.Failure(left)
}

// shortRetry returns the retry time of a refusal for a short failure.
func (r *Relay) shortRetry() time.Duration { return r.retryAfterFailure(shortRetryAfter) }

// retryAfterOverload returns the retry time of a refusal for lack of capacity.
func (g *group) retryAfterOverload(now time.Time, wait time.Duration) time.Duration {
	if !g.r.cfg.PacedRetries {
		return wait
	}
	return g.pacer.Capacity(now, wait)
}

// recordBusy keeps the retry time of an answer that refuses the operation for lack of capacity.
func (o *operation) recordBusy(a statement.Answer) {
	if a.Code == statement.CodeBusy {
		o.busyRetryAfter = max(o.busyRetryAfter, a.RetryAfter)
	}
}

// retryTime returns the retry time of a refusal for a failure that is expected to last for left. For an
// operation that was refused for lack of capacity it is the time that the holder or the instance has given.
func (o *operation) retryTime(left time.Duration) time.Duration {
	if o.busyRetryAfter > 0 && o.g.r.cfg.PacedRetries {
		left = min(o.busyRetryAfter, pacing.MaxRetryAfter)
	}
	return o.g.r.retryAfterFailure(left)
}
