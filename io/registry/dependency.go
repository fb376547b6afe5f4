package registry

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// dependency logs when what the host depends on is lost and regained, once each.
type dependency struct {
	name string
	log  *zap.Logger

	mu   sync.Mutex
	down bool
	at   time.Time
}

func (d *dependency) failed(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return
	}
	d.down, d.at = true, time.Now()
	d.log.Warn("dependency lost", zap.String("dependency", d.name), zap.Error(err))
}

func (d *dependency) answered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.down {
		return
	}
	d.down = false
	d.log.Info("dependency regained", zap.String("dependency", d.name), zap.Duration("after", time.Since(d.at)))
}
