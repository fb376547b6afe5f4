package main

import (
	"fmt"
	"time"
)

// syncReplicaLeaves: one replica is to be replaced and drains. The other one receives nothing for a while, and the
// primary crashes meanwhile. All that was acknowledged then stands in the log of the draining replica.
var syncReplicaLeaves = play{
	services: []string{"orders", "stock", "slots"}, syncReplicas: 1, perService: 4, pause: 100 * time.Millisecond,
	run: func(s *scene) ([]string, error) {
		time.Sleep(settleTime)
		if p := s.w.primaryOf("orders"); p != "i-orders-a" {
			return nil, fmt.Errorf("%s leads before the disruption", p)
		}
		s.w.drain("i-orders-b")
		if !s.trouble {
			time.Sleep(deafFor + crashedFor)
			return s.lost()
		}
		s.w.setDeaf("i-orders-c", true)
		time.Sleep(crashAfter)
		s.w.crash("i-orders-a")
		time.Sleep(deafFor - crashAfter)
		s.w.setDeaf("i-orders-c", false)
		time.Sleep(crashedFor - deafFor + crashAfter)
		s.w.comeBack("i-orders-a")
		time.Sleep(watchFor)
		return s.lost()
	},
}

const (
	// settleTime is how long the fleet serves before anything happens: longer than the hosts take to know the list of
	// instances well.
	settleTime = 12 * time.Second
	// deafFor and crashedFor are the longest that the site file has for replica_lag and for the crash of a primary.
	deafFor    = 6500 * time.Millisecond
	crashedFor = 7 * time.Second
	// crashAfter is when the primary crashes, after the replica has begun to receive nothing.
	crashAfter = 2500 * time.Millisecond
	// watchFor is how long clients go on after the disruption.
	watchFor = 3 * time.Second
)

// leastAcknowledged is how many acknowledged writes a run needs to count.
const leastAcknowledged = 50

// lost returns the writes that were acknowledged to a client before a promotion took effect and aren't in the log of
// the promoted instance.
func (s *scene) lost() ([]string, error) {
	w := s.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.acknowledgedAt) < leastAcknowledged {
		return nil, fmt.Errorf("only %d writes were acknowledged", len(w.acknowledgedAt))
	}
	var out []string
	for _, p := range w.promotions {
		for _, c := range w.committed {
			if c.service != p.service {
				continue
			}
			for _, id := range c.ids {
				at, ok := w.acknowledgedAt[id]
				if ok && at.Before(p.at) && !p.log[id] {
					out = append(out, fmt.Sprintf("LOST: write %s was committed on %s and acknowledged %v before %s was "+
						"promoted, whose log lacks it", id, c.instance, p.at.Sub(at).Round(time.Millisecond), p.instance))
				}
			}
		}
	}
	return out, nil
}
