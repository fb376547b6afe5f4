package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// clients send single writes to all services, each over a session of its own.
type clients struct {
	w     *world
	rec   *record
	hosts []*host
	// pause is the time between two writes of one client.
	pause time.Duration
	ids   atomic.Uint64
}

const (
	tenant    = "hotels"
	tenantKey = "u6wsjnbanfqasnmgkcuy"
	// answerWithin is the time budget of a write.
	answerWithin = 1500 * time.Millisecond
)

// databaseOf is the database by which clients name a service.
func databaseOf(service string) string { return "db-" + service }

// configuration is what the operator writes before the start.
func configuration(services []string, syncReplicas int) string {
	var routes, groups []string
	for _, s := range services {
		routes = append(routes, fmt.Sprintf(`{"Name":"r-%s","Host":%q,"Prefix":"/","Kind":"primary","TimeoutMs":800,`+
			`"TargetLatencyMs":100,"Priority":1,"Service":%q,"MaxAttempts":2,"Public":false}`, s, databaseOf(s), s))
		groups = append(groups, fmt.Sprintf(`{"Name":%q,"HealthPath":"/health","MaxConns":%d,"SyncReplicas":%d}`,
			s, maxConns, syncReplicas))
	}
	return fmt.Sprintf(`{"Version":7,"Routes":[%s],"Services":[%s],"Limits":{"TxIdleMs":3000},`+
		`"Tenants":[{"Name":%q,"ApiKeys":[%q],"Priority":1,"RatePerS":500,"Burst":500}]}`,
		strings.Join(routes, ","), strings.Join(groups, ","), tenant, tenantKey)
}

// run is one client. It sends a write, waits for the answer and pauses; it comes back to another host after a close.
func (c *clients) run(ctx context.Context, service string) {
	for ctx.Err() == nil {
		c.session(ctx, service, c.hosts[rand.IntN(len(c.hosts))])
		time.Sleep(100 * time.Millisecond)
	}
}

func (c *clients) session(ctx context.Context, service string, h *host) {
	n, err := net.DialTimeout("tcp4", h.front(), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = n.Close() }()
	in := newLines(n)
	in.within(2 * time.Second)
	if _, err := fmt.Fprintf(n, "START %s %s\r\n", databaseOf(service), tenantKey); err != nil {
		return
	}
	if line, err := in.next(); err != nil || !strings.HasPrefix(line, "READY") {
		return
	}
	for ctx.Err() == nil && c.write(in, service, h) {
		time.Sleep(c.pause/2 + rand.N(c.pause))
	}
}

// write sends one write and reports whether the session goes on.
func (c *clients) write(in *lines, service string, h *host) bool {
	id := fmt.Sprintf("%016x", c.ids.Add(1)<<20|rand.Uint64N(1<<20))
	c.rec.note("sent     %s WRITE to %s over %s", id, service, h.name)
	if _, err := fmt.Fprintf(in.conn, "QUERY %s WRITE item%d %s\r\n", id, rand.IntN(2000), id); err != nil {
		return false
	}
	in.within(answerWithin)
	said := ""
	for {
		line, err := in.next()
		switch {
		case err != nil:
			c.rec.note("no answer %s: %v", id, err)
			return false
		case strings.HasPrefix(line, "READY"):
			c.rec.note("answered %s %s", id, said)
			if strings.HasPrefix(said, "DONE ") && said != "DONE -" {
				c.w.acknowledged(id)
			}
			if strings.HasPrefix(said, "ERR BUSY") {
				time.Sleep(200 * time.Millisecond)
			}
			return true
		default:
			said = line
		}
	}
}

// acknowledged notes that a client got the acknowledgement of a write.
func (w *world) acknowledged(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acknowledgedAt[id] = time.Now()
}
