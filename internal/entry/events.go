package entry

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/relay"
	"skylarkdeal/internal/clock"
)

// events writes the relay's decisions to the log, a bounded number of each kind.
type events struct {
	log *zap.Logger

	mu     sync.Mutex
	second time.Time
	counts map[relay.EventKind]int
}

// perSecond bounds the lines of each kind, so that a flood of one hides no other. The
// kinds that explain a request have room for what a host answers in a second on a bad
// day; those that tell what the host believes come seldom. What is left out is counted.
var perSecond = map[relay.EventKind]int{
	relay.EventAnswer:   100,
	relay.EventRefuse:   60,
	relay.EventRetry:    40,
	relay.EventPlace:    40,
	relay.EventSession:  30,
	relay.EventInstance: 30,
	relay.EventLeader:   60,
	relay.EventOutlier:  40,
	eventCatalog:        20,
}

// admit counts a line and reports whether it is to be written.
func (e *events) admit(k relay.EventKind) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := clock.Now(); now.Sub(e.second) >= time.Second {
		for k, n := range e.counts {
			if left := n - perSecond[k]; left > 0 {
				e.log.Warn("lines left out", zap.String("kind", string(k)), zap.Int("count", left))
			}
		}
		e.second, e.counts = now, map[relay.EventKind]int{}
	}
	e.counts[k]++
	return e.counts[k] <= perSecond[k]
}

func (e *events) note(n relay.Event) {
	if !e.admit(n.Kind) {
		return
	}
	f := make([]zap.Field, 0, 16)
	add := func(name, v string) {
		if v != "" {
			f = append(f, zap.String(name, v))
		}
	}
	add("id", string(n.ID))
	add("database", string(n.Database))
	add("consistency", string(n.Consistency))
	add("service", string(n.Service))
	add("account", string(n.Account))
	add("instance", string(n.Instance))
	add("over", string(n.Host))
	add("data-centre", string(n.DataCentre))
	add("choice", n.Choice)
	add("reason", n.Reason)
	add("code", string(n.Code))
	add("considered", n.Considered)
	if n.Term != 0 {
		f = append(f, zap.Uint64("term", uint64(n.Term)))
	}
	if !n.RequiredPosition.IsZero() {
		f = append(f, zap.String("need", n.RequiredPosition.String()))
	}
	if !n.InstancePosition.IsZero() {
		f = append(f, zap.String("has", n.InstancePosition.String()))
	}
	if !n.Received.IsZero() {
		f = append(f, zap.String("received", n.Received.String()))
	}
	if n.Age > 0 && n.Age < maxAge {
		f = append(f, zap.Duration("age", n.Age))
	}
	if n.RetryAfter != 0 {
		f = append(f, zap.Duration("retry-after", n.RetryAfter))
	}
	if n.FailureRate > 0 {
		f = append(f, zap.Float64("failure-rate", n.FailureRate))
	}
	if n.Took != 0 {
		f = append(f, zap.Duration("took", n.Took))
	}
	e.log.Info(string(n.Kind), f...)
}

// maxAge is that of what has an age at all: what never happened has none.
const maxAge = 24 * time.Hour
