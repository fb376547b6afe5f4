package etcd

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"skylarkdeal/internal/sleep"
)

// gate bounds the calls of one process.
//
// It is made for the return of a store after an outage, with hundreds of hosts
// that have calls waiting. The harm it prevents is a stampede that ends the
// store again. Two limits do that: while calls fail, a host makes one try per
// back-off interval, with jitter, so that the hosts find out at different times
// that the store is back; and at any time a token bucket bounds its calls.
type gate struct {
	mu      *sync.Mutex
	now     func() time.Time
	patient bool
	backoff *backoff.ExponentialBackOff
	jitter  func() float64

	rate   float64
	hosts  func() int
	burst  float64
	tokens float64
	filled time.Time

	down  bool
	since time.Time
	// until is when the next try may be made while down.
	until time.Time
	err   error
}

// The back-off of a failing store. The longest interval bounds both how late a
// host learns of the store's return and the tries of the fleet. It grows with the
// fleet, so that all hosts together make 92 tries a second at most: 920 hosts one
// in 10 s each.
const (
	firstInterval   = 200 * time.Millisecond
	longestInterval = 10 * time.Second
	leastLongest    = time.Second
	intervalPerHost = longestInterval / 920
	intervalGrowth  = 2
	intervalJitter  = 0.5
)

func newGate(cfg Config) gate {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstInterval
	b.MaxInterval = longestInterval
	b.Multiplier = intervalGrowth
	b.RandomizationFactor = 0
	b.Reset()
	g := gate{
		mu: new(sync.Mutex), now: cfg.Now, patient: cfg.Patient, backoff: b, jitter: cfg.Jitter,
		rate: cfg.Rate, hosts: cfg.Hosts, burst: float64(cfg.Burst), filled: cfg.Now(), since: cfg.Now(),
	}
	if g.rate == 0 {
		g.rate = DefaultRate
	}
	if g.burst == 0 {
		g.burst = DefaultBurst
	}
	if g.jitter == nil {
		g.jitter = rand.Float64
	}
	g.tokens = g.burst
	return g
}

// enter takes a token, waiting for it until ctx ends. While the store is down
// it lets one try pass for each interval and holds all other calls back.
func (g *gate) enter(ctx context.Context) error {
	for {
		wait, err := g.take()
		if err != nil || wait == 0 {
			return err
		}
		if !sleep.For(ctx, wait) {
			return ctx.Err()
		}
	}
}

func (g *gate) take() (time.Duration, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if g.down && !g.patient {
		if now.Before(g.until) {
			return 0, ErrHeldBack
		}
		g.until = now.Add(g.interval())
		return 0, nil
	}
	g.tokens = min(g.burst, g.tokens+g.perSecond()*now.Sub(g.filled).Seconds())
	g.filled = now
	if g.tokens < 1 {
		return time.Duration((1 - g.tokens) / g.perSecond() * float64(time.Second)), nil
	}
	g.tokens--
	return 0, nil
}

// perSecond is this process's part of what the fleet may call: two hosts that
// start alone need not crawl for the sake of a fleet of hundreds.
func (g *gate) perSecond() float64 {
	if g.hosts == nil {
		return g.rate
	}
	return max(LeastRate, FleetRate/float64(max(1, g.hosts())))
}

// longest returns the longest interval.
func (g *gate) longest() time.Duration {
	if g.hosts == nil {
		return longestInterval
	}
	return min(max(leastLongest, time.Duration(g.hosts())*intervalPerHost), longestInterval)
}

// interval returns the next interval, spread evenly over half of it to either
// side.
func (g *gate) interval() time.Duration {
	d := min(g.backoff.NextBackOff(), g.longest())
	return time.Duration(float64(d) * (1 - intervalJitter + 2*intervalJitter*g.jitter()))
}

func (g *gate) succeeded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.down {
		return
	}
	// A burst saved up during the outage would meet the store at its return.
	g.tokens, g.filled = 1, g.now()
	g.down, g.since, g.err = false, g.now(), nil
	g.backoff.Reset()
}

func (g *gate) failed(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.err = err
	if g.down {
		return
	}
	g.down, g.since = true, g.now()
	g.until = g.now().Add(g.interval())
}

func (g *gate) state() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := State{Down: g.down, Since: g.since}
	if g.err != nil {
		s.Error = g.err.Error()
	}
	return s
}
