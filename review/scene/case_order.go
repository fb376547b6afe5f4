package main

import (
	"fmt"
	"time"
)

// slowOrders: a primary is to be replaced while the platform is slow to handle orders.
var slowOrders = play{
	services: []string{"orders", "stock", "slots"}, perService: 8, pause: 100 * time.Millisecond,
	run: func(s *scene) ([]string, error) {
		s.w.setBehind("i-orders-b", usualLag)
		time.Sleep(settleTime)
		if s.trouble {
			slowUntil := time.Now().Add(slowFor)
			s.rec.note("the platform is slow for %v: it handles an order %v after it has come", slowFor, slowBy)
			s.w.setOrderDelay(func() time.Duration {
				if time.Now().Before(slowUntil) {
					return slowBy
				}
				return 0
			})
		}
		s.w.drain("i-orders-a")
		time.Sleep(ordersFor)
		return s.staleCommits()
	},
}

const (
	// usualLag is how far replicas are behind on the sheet of the site.
	usualLag = 60 * time.Millisecond
	// slowFor is how long the platform is slow, slowBy how long an order waits that comes meanwhile.
	slowFor = 3800 * time.Millisecond
	slowBy  = 3 * time.Second
	// ordersFor is how long clients go on after the primary is to be replaced.
	ordersFor = 14 * time.Second
)

// staleCommits returns the writes that were committed at a primary after a promotion of another instance had taken
// effect, and that were acknowledged to their clients.
func (s *scene) staleCommits() ([]string, error) {
	w := s.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.acknowledgedAt) < leastAcknowledged {
		return nil, fmt.Errorf("only %d writes were acknowledged", len(w.acknowledgedAt))
	}
	var out []string
	for _, c := range w.committed {
		for _, id := range c.ids {
			if _, ok := w.acknowledgedAt[id]; ok && !c.replacedSince.IsZero() {
				out = append(out, fmt.Sprintf("ONE: write %s was committed on %s %v after another instance was promoted, and "+
					"acknowledged", id, c.instance, c.at.Sub(c.replacedSince).Round(time.Millisecond)))
			}
		}
	}
	return out, nil
}
