//go:build review2

package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"skylarkdeal/standin/machines"
)

func init() { scenes["waiting-at-shutdown"] = waitingAtShutdown }

// limitedConfig is the operator's config: a tenant with a rate that a short burst of its own callers reaches.
const limitedConfig = `{"Version":3,"Routes":[
{"Host":"orders","Service":"s1","Kind":"primary","TimeoutMs":800,"TargetLatencyMs":100,"MaxStalenessMs":0,"Priority":1}],
"Services":[{"Name":"s1","MaxConns":16,"SyncReplicas":0}],
"Tenants":[{"Name":"t1","ApiKeys":["k1"],"RatePerS":40,"Burst":8}],"Limits":{"TxIdleMs":3000}}`

const (
	// lossSlack is LossSlackMs.
	lossSlack = 200 * time.Millisecond
	// burstAfter is when the callers send after SIGTERM. burst is how many of them.
	burstAfter = 1850 * time.Millisecond
	burst      = 24
)

// waitingAtShutdown: callers of one tenant send a burst, part of which has to wait for the tenant's rate, while their
// host shuts down.
func waitingAtShutdown(f *fleet, trouble bool) int {
	store := machines.NewStore()
	store.Put("op/config", limitedConfig)
	g := newGroup(f.rec, store, "s1", 0, zones)
	f.closers = append(f.closers, g.close)
	for _, z := range zones {
		f.newHost("front-"+z+"-1", z, zones, store.Handler(z), g.promotions())
	}
	f.startAll()
	time.Sleep(10 * time.Second)
	h := f.hosts[0]
	cut, whole := 0, 0
	var mu sync.Mutex
	var all sync.WaitGroup
	var callers []*caller
	for range burst {
		c, err := dialCaller(h.front)
		if err != nil {
			fail("connect: %v", err)
		}
		if err := c.start("orders", "k1"); err != nil {
			fail("start: %v", err)
		}
		callers = append(callers, c)
	}
	if trouble {
		h.signal(syscall.SIGTERM)
		f.rec.add("SIGTERM to %s", h.name)
	}
	time.Sleep(burstAfter)
	for n, c := range callers {
		all.Go(func() {
			id := fmt.Sprintf("w%03d", n)
			sent := time.Now()
			f.rec.add("sent to %s: %s WRITE x%s d", h.name, id, id)
			a, err := c.query(id, "WRITE x"+id+" d", 1500*time.Millisecond)
			took := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case errors.Is(err, os.ErrDeadlineExceeded):
				f.rec.add("%s: no answer in its time budget", id)
			case err != nil && took > lossSlack:
				cut++
				f.rec.add("BROKEN: LOST: %s: connection ended %v after the request without a complete answer (last: %q): %v", id, took, a.code, err)
			case err != nil:
				f.rec.add("%s: connection ended %v after the request, within LossSlackMs (last: %q): %v", id, took, a.code, err)
			default:
				whole++
				f.rec.add("answered %s after %v: %s", id, took, strings.TrimSpace(a.code+" "+a.digest))
			}
		})
	}
	all.Wait()
	fmt.Printf("LOST: %d requests cut, %d answered\n", cut, whole)
	switch {
	case cut > 0:
		return broken
	case whole == 0:
		fail("nothing was answered")
	}
	return held
}
