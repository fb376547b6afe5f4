package sleep

import (
	"context"
	"time"
)

// Signal signals c, a channel with room for one signal, unless that is done already.
func Signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// OrSignal waits for d or until wake is signalled, and reports whether it was signalled.
func OrSignal(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	if d <= 0 {
		select {
		case <-wake:
			return true
		default:
			return false
		}
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
		return true
	case <-ctx.Done():
	}
	return false
}
