package registry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"skylarkdeal/io/registry"
)

// modelStep is one event of the model.
type modelStep struct {
	pause  time.Duration
	action string
	host   int
	target int
}

var modelSteps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) modelStep {
	return modelStep{
		pause: time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond,
		action: rapid.SampledFrom([]string{
			"configure", "configure", "configure", "evacuate", "end evacuation", "register", "remove", "read", "follow",
			"follow", "reload",
		}).Draw(t, "action"),
		host: rapid.IntRange(0, modelHosts-1).Draw(t, "host"), target: rapid.IntRange(0, modelHosts-1).Draw(t, "target"),
	}
}), 5, 40)

const modelHosts = 4

func (m *fleetModel) apply(ctx context.Context, n int, s modelStep) {
	h, target := m.hosts[s.host], m.hosts[s.target]
	switch s.action {
	case "configure":
		m.write(registry.Entry{Key: "catalog", Value: []byte(strconv.Itoa(n + 2))})
	case "evacuate":
		m.write(registry.Entry{Key: fmt.Sprintf("catalog/%d", s.host%2), Value: []byte("{}")})
	case "end evacuation":
		m.write(registry.Entry{Key: fmt.Sprintf("catalog/%d", s.host%2), Deleted: true})
	case "register":
		m.write(registry.Entry{Key: fmt.Sprintf("instances/%d", s.host), Value: []byte("x")})
	case "remove":
		m.write(registry.Entry{Key: fmt.Sprintf("instances/%d", s.host), Deleted: true})
	case "read":
		h.posted <- func() { h.setReads(true) }
	case "follow":
		// The first host always reads.
		if s.host != 0 && h != target {
			h.posted <- func() { h.setReads(false); h.follow(ctx, target) }
		}
	case "reload":
		h.registry.ReloadCatalog()
	}
}

// play runs the steps and returns what was violated, "" for nothing.
func (m *fleetModel) play(steps []modelStep) string {
	ctx, cancel := context.WithCancel(context.Background())
	m.changed = make(chan struct{})
	m.write(registry.Entry{Key: "catalog", Value: []byte("1")})
	var running sync.WaitGroup
	for n := range modelHosts {
		h := m.startHost(ctx, n)
		m.hosts = append(m.hosts, h)
		running.Go(func() { h.registry.Run(ctx) })
	}
	for n, s := range steps {
		time.Sleep(s.pause)
		m.apply(ctx, n, s)
	}
	m.mu.Lock()
	m.faults = false
	m.mu.Unlock()
	// Followers of a host that doesn't read find one that does.
	for _, h := range m.hosts {
		h.posted <- func() {
			if !h.reads {
				h.follow(ctx, m.hosts[0])
			}
		}
	}
	time.Sleep(quietTime)
	for _, h := range m.hosts {
		done := make(chan struct{})
		h.posted <- func() { h.checkLast(); close(done) }
		<-done
	}
	cancel()
	running.Wait()
	// What still sleeps ends, which it has to before the test does.
	time.Sleep(quietTime)
	return m.violation
}

// quietTime is enough for two lists and all that is on its way.
const quietTime = 8 * time.Second

// Guards against copies of the catalog or of the list of instances that go back to an older state on any
// host, or never reach one, with lists, watches and copies that are late and overtake each other, slow
// parsing, calls that fail, and hosts that change their reader or their role.
func TestCopiesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := modelSteps.Draw(rt, "steps")
		seed, pages := rapid.Uint64().Draw(rt, "seed"), rapid.Bool().Draw(rt, "pages")
		violation := ""
		synctest.Test(t, func(*testing.T) {
			m := &fleetModel{rng: rand.New(rand.NewPCG(seed, 0)), pages: pages, faults: true}
			violation = m.play(steps)
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}
