// Package pause waits for a time or for the end of a context.
package pause

import (
	"context"
	"time"
)

// For waits for d, and reports whether ctx still goes on.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
