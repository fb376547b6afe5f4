package registry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/internal/sleep"
)

// dependency logs when what the host depends on is lost and regained, once each.
type dependency struct {
	name string
	log  *zap.Logger

	mu   sync.Mutex
	down bool
	at   time.Time
	// back is closed when it is regained; nil while it isn't lost.
	back chan struct{}
}

func (d *dependency) failed(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return
	}
	d.down, d.at, d.back = true, time.Now(), make(chan struct{})
	d.log.Warn("dependency lost", zap.String("dependency", d.name), zap.Error(err))
}

// wait pauses, and while the dependency is lost until it is regained: one duty tries it,
// and the others spare it their calls.
func (d *dependency) wait(ctx context.Context) {
	sleep.For(ctx, pauseAfterError)
	d.mu.Lock()
	back := d.back
	down := d.down
	d.mu.Unlock()
	if !down {
		return
	}
	select {
	case <-back:
	case <-ctx.Done():
	}
}

// lost reports whether the dependency is lost.
func (d *dependency) lost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down
}

func (d *dependency) answered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.down {
		return
	}
	d.down = false
	close(d.back)
	d.log.Info("dependency regained", zap.String("dependency", d.name), zap.Duration("after", time.Since(d.at)))
}
