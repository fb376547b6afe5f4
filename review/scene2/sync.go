//go:build review2

package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"skylarkdeal/standin/machines"
)

func init() {
	scenes["blank-replica"] = blankReplica
	scenes["restarted-hosts"] = restartedHosts
}

var zones = []string{"obihiro", "sapporo", "asahikawa"}

// config is the operator's config: one service whose commits a replica confirms.
const config = `{"Version":3,"Routes":[
{"Host":"orders","Service":"s1","Kind":"primary","TimeoutMs":800,"TargetLatencyMs":100,"MaxStalenessMs":0,"Priority":1}],
"Services":[{"Name":"s1","MaxConns":16,"SyncReplicas":1}],
"Tenants":[{"Name":"t1","ApiKeys":["k1"],"RatePerS":500,"Burst":500}],"Limits":{"TxIdleMs":3000}}`

// writers are callers that write one statement after the other.
type writers struct {
	rec  *record
	mu   sync.Mutex
	next int
	// acknowledged are the ids of the writes that were answered with success.
	acknowledged []string
	// times are when their answers came.
	times map[string]time.Time
	stop  chan struct{}
	done  sync.WaitGroup
}

func startWriters(f *fleet, n int) *writers {
	w := &writers{rec: f.rec, times: map[string]time.Time{}, stop: make(chan struct{})}
	for k := range n {
		w.done.Go(func() { w.run(f.hosts[k%len(f.hosts)]) })
	}
	return w
}

func (w *writers) end() {
	close(w.stop)
	w.done.Wait()
}

func (w *writers) run(h *host) {
	var c *caller
	for {
		select {
		case <-w.stop:
			if c != nil {
				_ = c.c.Close()
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
		if c == nil {
			x, err := dialCaller(h.front)
			if err != nil {
				continue
			}
			if err := x.start("orders", "k1"); err != nil {
				_ = x.c.Close()
				continue
			}
			c = x
		}
		w.mu.Lock()
		w.next++
		id := fmt.Sprintf("w%06d", w.next)
		w.mu.Unlock()
		w.rec.add("sent to %s: %s WRITE x%s d%s", h.name, id, id, id)
		a, err := c.query(id, "WRITE x"+id+" d"+id, 1500*time.Millisecond)
		switch {
		case err != nil:
			w.rec.add("answered %s: connection ended: %v", id, err)
			_ = c.c.Close()
			c = nil
		case a.code != "":
			w.rec.add("answered %s: ERR %s", id, a.code)
		default:
			w.mu.Lock()
			w.acknowledged = append(w.acknowledged, id)
			w.times[id] = time.Now()
			w.mu.Unlock()
			w.rec.add("answered %s: DONE %s", id, a.digest)
		}
	}
}

func (w *writers) known() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.acknowledged)
}

// syncFleet is a small deployment with a service whose commits a replica confirms.
type syncFleet struct {
	*fleet
	g *group
	w *writers
	// lost are the acknowledged writes that the first promoted instance lacks; promoted is its name.
	mu       sync.Mutex
	lost     []string
	promoted string
}

// startSync starts a store, a group of three instances and three hosts, and writers once a host coordinates failovers.
func startSync(f *fleet) *syncFleet {
	store := machines.NewStore()
	s := &syncFleet{fleet: f}
	store.Put("op/config", config)
	s.g = newGroup(f.rec, store, "s1", 1, zones)
	f.closers = append(f.closers, s.g.close)
	for _, z := range zones {
		f.newHost("front-"+z+"-1", z, zones, store.Handler(z), s.g.promotions())
	}
	f.startAll()
	s.g.mu.Lock()
	s.g.promoted = s.judge
	s.g.mu.Unlock()
	// Traffic starts 10 s after the machines do.
	time.Sleep(8 * time.Second)
	s.w = startWriters(f, 6)
	return s
}

// judge compares the log of the first promoted instance with what was acknowledged until then. The group's lock is held.
func (s *syncFleet) judge(i *instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.promoted != "" {
		return
	}
	s.promoted = i.id
	for _, id := range s.w.known() {
		if !i.holds(id) {
			s.lost = append(s.lost, id)
		}
	}
}

// verdict ends the writers and returns the end of the case.
func (s *syncFleet) verdict() int {
	s.w.end()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.w.known())
	if n < 100 {
		fail("only %d writes were acknowledged", n)
	}
	if len(s.lost) > 0 {
		s.rec.add("BROKEN: LOST: %d acknowledged commits are not in the log of %s, which was promoted: %s", len(s.lost),
			s.promoted, strings.Join(s.lost, " "))
		fmt.Printf("LOST broken: %d of %d acknowledged commits are not in the log of %s\n", len(s.lost), n, s.promoted)
		return broken
	}
	s.rec.add("held: %d writes acknowledged, promoted: %q", n, s.promoted)
	fmt.Printf("LOST held: %d writes acknowledged, promoted: %q\n", n, s.promoted)
	return held
}

// blankReplica: one replica receives nothing for a while; the primary and the other replica crash together, and that
// replica starts again under its id with nothing of before, 6 s before the primary is back with its log.
func blankReplica(f *fleet, trouble bool) int {
	s := startSync(f)
	time.Sleep(2 * time.Second)
	if !trouble {
		time.Sleep(18 * time.Second)
		return s.verdict()
	}
	s.g.setDeaf("i-s1-c", true)
	time.Sleep(2 * time.Second)
	s.g.crash("i-s1-a")
	s.g.crash("i-s1-b")
	time.Sleep(time.Second)
	s.g.comeBack("i-s1-b", true)
	time.Sleep(3500 * time.Millisecond)
	s.g.setDeaf("i-s1-c", false)
	time.Sleep(2500 * time.Millisecond)
	s.g.comeBack("i-s1-a", false)
	time.Sleep(9 * time.Second)
	return s.verdict()
}

// restartedHosts: one replica receives nothing for a while; the primary and the other replica crash together for 7 s; the
// hosts withhold the promotion, are killed and come back.
func restartedHosts(f *fleet, trouble bool) int {
	s := startSync(f)
	time.Sleep(2 * time.Second)
	if !trouble {
		time.Sleep(18 * time.Second)
		return s.verdict()
	}
	s.g.setDeaf("i-s1-c", true)
	time.Sleep(2 * time.Second)
	// Their entries then expire soon.
	s.g.awaitHeartbeat(heartbeat-100*time.Millisecond, heartbeat, "i-s1-a", "i-s1-b")
	crashed := time.Now()
	s.g.crash("i-s1-a")
	s.g.crash("i-s1-b")
	time.Sleep(600 * time.Millisecond)
	for _, h := range f.hosts {
		h.signal(syscall.SIGKILL)
	}
	time.Sleep(2*time.Second - time.Since(crashed) + 600*time.Millisecond)
	for _, h := range f.hosts {
		<-h.ended
		f.start(h)
	}
	time.Sleep(2700*time.Millisecond - time.Since(crashed))
	s.g.setDeaf("i-s1-c", false)
	time.Sleep(7*time.Second - time.Since(crashed))
	s.g.comeBack("i-s1-b", false)
	s.g.comeBack("i-s1-a", false)
	time.Sleep(10 * time.Second)
	return s.verdict()
}
