//go:build review2

package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"skylarkdeal/standin/machines"
)

func init() { scenes["former-primary"] = formerPrimary }

// plainConfig is the operator's config of a service with asynchronous replicas, as on the sheets.
const plainConfig = `{"Version":3,"Routes":[
{"Host":"orders","Service":"s1","Kind":"primary","TimeoutMs":800,"TargetLatencyMs":100,"MaxStalenessMs":0,"Priority":1}],
"Services":[{"Name":"s1","MaxConns":16,"SyncReplicas":0}],
"Tenants":[{"Name":"t1","ApiKeys":["k1"],"RatePerS":500,"Burst":500}],"Limits":{"TxIdleMs":3000}}`

// readers are callers that read on a route that shows all commits.
type readers struct {
	rec  *record
	mu   sync.Mutex
	next int
	// sent is when each read was sent that was answered with success.
	sent map[string]time.Time
	stop chan struct{}
	done sync.WaitGroup
}

func startReaders(f *fleet) *readers {
	r := &readers{rec: f.rec, sent: map[string]time.Time{}, stop: make(chan struct{})}
	for _, h := range f.hosts {
		r.done.Go(func() { r.run(h) })
	}
	return r
}

func (r *readers) run(h *host) {
	var c *caller
	for {
		select {
		case <-r.stop:
			if c != nil {
				_ = c.c.Close()
			}
			return
		case <-time.After(100 * time.Millisecond):
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
		r.mu.Lock()
		r.next++
		id := fmt.Sprintf("r%06d", r.next)
		r.mu.Unlock()
		sent := time.Now()
		a, err := c.query(id, "READ x", 1500*time.Millisecond)
		switch {
		case err != nil:
			_ = c.c.Close()
			c = nil
		case a.code == "":
			r.mu.Lock()
			r.sent[id] = sent
			r.mu.Unlock()
			r.rec.add("answered %s: DONE %s", id, a.digest)
		}
	}
}

// formerPrimary: the primary crashes and another instance is promoted; as the former primary is back with its log, the
// other two instances crash and the hosts are killed and come back.
func formerPrimary(f *fleet, trouble bool) int {
	store := machines.NewStore()
	store.Put("op/config", plainConfig)
	g := newGroup(f.rec, store, "s1", 0, zones)
	g.reads = map[string][]*entry{}
	f.closers = append(f.closers, g.close)
	for _, z := range zones {
		f.newHost("front-"+z+"-1", z, zones, store.Handler(z), g.promotions())
	}
	f.startAll()
	time.Sleep(8 * time.Second)
	w, r := startWriters(f, 6), startReaders(f)
	time.Sleep(4 * time.Second)
	g.setDeaf("i-s1-b", true)
	g.setDeaf("i-s1-c", true)
	time.Sleep(300 * time.Millisecond)
	g.crash("i-s1-a")
	g.setDeaf("i-s1-b", false)
	g.setDeaf("i-s1-c", false)
	time.Sleep(5600 * time.Millisecond)
	if !trouble {
		// Without the second disruption the former primary follows the new one.
		g.comeBack("i-s1-a", false)
		time.Sleep(15 * time.Second)
		return formerVerdict(g, w, r)
	}
	// Their entries then stand for as long as they can.
	g.awaitHeartbeat(0, 150*time.Millisecond, "i-s1-b", "i-s1-c")
	g.comeBack("i-s1-a", false)
	g.crash("i-s1-b")
	g.crash("i-s1-c")
	for _, h := range f.hosts {
		h.signal(syscall.SIGKILL)
	}
	time.Sleep(500 * time.Millisecond)
	for _, h := range f.hosts {
		<-h.ended
		f.start(h)
	}
	time.Sleep(6500 * time.Millisecond)
	g.comeBack("i-s1-b", false)
	g.comeBack("i-s1-c", false)
	time.Sleep(8 * time.Second)
	return formerVerdict(g, w, r)
}

// formerVerdict looks for reads that ran on a log which lacked a commit that had been acknowledged before the read was
// sent, and that is in the log of the primary at the end: no promotion has rolled it back.
func formerVerdict(g *group, w *writers, r *readers) int {
	w.end()
	close(r.stop)
	r.done.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	final := map[string]bool{}
	for _, e := range g.leader.log {
		for _, id := range e.ids {
			final[id] = true
		}
	}
	stale, lost := 0, 0
	for id, at := range w.times {
		if !final[id] {
			lost++
			continue
		}
		for read, sent := range r.sent {
			log := g.reads[read]
			if log == nil || !sent.After(at) {
				continue
			}
			if !slices.ContainsFunc(log, func(e *entry) bool { return slices.Contains(e.ids, id) }) {
				stale++
				if stale <= 20 {
					g.rec.add("BROKEN: STALE: %s ran on a log of %d entries without %s, acknowledged %v before it was sent", read,
						len(log), id, sent.Sub(at))
				}
			}
		}
	}
	if len(w.times) < 100 || len(r.sent) < 20 {
		fail("only %d writes and %d reads were answered", len(w.times), len(r.sent))
	}
	g.rec.add("%d stale reads (by read and commit); %d of %d acknowledged writes are in no log at the end", stale, lost, len(w.times))
	fmt.Printf("STALE: %d (by read and commit); %d of %d acknowledged writes are gone; %s leads\n", stale, lost, len(w.times), g.leader.id)
	if stale > 0 {
		return broken
	}
	return held
}
