package registry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/internal/sleep"
)

// dependency tracks whether something that the host depends on is available. It logs each loss and
// each recovery once.
type dependency struct {
	name string
	log  *zap.Logger

	mu     sync.Mutex
	lost   bool
	lostAt time.Time
	// regained is closed when the dependency is available again; nil before the first loss.
	regained chan struct{}
}

func (d *dependency) recordFailure(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lost {
		return
	}
	d.lost, d.lostAt, d.regained = true, time.Now(), make(chan struct{})
	d.log.Warn("dependency lost", zap.String("dependency", d.name), zap.Error(err))
}

// backOff pauses for pauseAfterError, and while the dependency is lost until it is available again:
// one task probes it, and the others make no calls.
func (d *dependency) backOff(ctx context.Context) {
	sleep.For(ctx, pauseAfterError)
	d.mu.Lock()
	regained := d.regained
	lost := d.lost
	d.mu.Unlock()
	if !lost {
		return
	}
	select {
	case <-regained:
	case <-ctx.Done():
	}
}

func (d *dependency) isLost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lost
}

func (d *dependency) recordSuccess() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lost {
		return
	}
	d.lost = false
	close(d.regained)
	d.log.Info("dependency regained", zap.String("dependency", d.name), zap.Duration("after", time.Since(d.lostAt)))
}
