// Package sleep waits for a time, once or again and again, or for the end of a context.
package sleep

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

// Every calls f each time d has passed, until ctx ends.
func Every(ctx context.Context, d time.Duration, f func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}
