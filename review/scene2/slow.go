//go:build review2

package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"skylarkdeal/standin/machines"
)

func init() { scenes["answer-at-shutdown"] = answerAtShutdown }

// readConfig is the operator's config: the route of a read that accepts data of an age.
const readConfig = `{"Version":3,"Routes":[
{"Host":"stock","Service":"s1","Kind":"bounded_staleness","TimeoutMs":1200,"TargetLatencyMs":300,"MaxStalenessMs":1500,"Priority":2}],
"Services":[{"Name":"s1","MaxConns":16,"SyncReplicas":0}],
"Tenants":[{"Name":"t1","ApiKeys":["k1"],"RatePerS":100,"Burst":100}],"Limits":{"TxIdleMs":3000}}`

const (
	// rowSize makes an answer of one message that is below the greatest length that is allowed, 1 MiB.
	rowSize = 1_000_000
	// readPerSecond is what the caller's link carries: 10 Mbit/s.
	readPerSecond = 1_250_000
	// segment is the largest segment on an Ethernet link, window the caller's receive buffer.
	segment = 1460
	window  = 64 << 10
	// readAfter is when the caller sends its read after SIGTERM. Its answer takes 0.8 s on its link, so that it is
	// complete 3.4 s before GraceS ends.
	readAfter = 2080 * time.Millisecond
	// timeBudget is that of the requests of kind stock-view.
	timeBudget = 4 * time.Second
)

// slowLink gives a connection the segments and the window of a caller on an ordinary network.
func slowLink(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
	})
}

// answerAtShutdown: callers on links of 10 Mbit/s read answers of 1 MB while their host shuts down.
func answerAtShutdown(f *fleet, trouble bool) int {
	store := machines.NewStore()
	store.Put("op/config", readConfig)
	g := newGroup(f.rec, store, "s1", 0, zones)
	f.closers = append(f.closers, g.close)
	g.answer = "ROW " + strings.Repeat("r", rowSize) + "\r\n"
	for _, z := range zones {
		f.newHost("front-"+z+"-1", z, zones, store.Handler(z), g.promotions())
	}
	f.startAll()
	time.Sleep(10 * time.Second)
	h := f.hosts[0]
	var readers []*caller
	for range 4 {
		d := net.Dialer{Timeout: 2 * time.Second, Control: slowLink}
		n, err := d.Dial("tcp4", h.front)
		if err != nil {
			fail("connect: %v", err)
		}
		c := &caller{c: n, in: bufio.NewReader(n)}
		if err := c.start("stock", "k1"); err != nil {
			fail("start: %v", err)
		}
		readers = append(readers, c)
	}
	if trouble {
		h.signal(syscall.SIGTERM)
		f.rec.add("SIGTERM to %s", h.name)
	}
	time.Sleep(readAfter)
	var all sync.WaitGroup
	var mu sync.Mutex
	cut, whole := 0, 0
	for n, c := range readers {
		all.Go(func() {
			time.Sleep(time.Duration(n) * 20 * time.Millisecond)
			ok := f.readSlowly(c, fmt.Sprintf("r%d", n))
			mu.Lock()
			defer mu.Unlock()
			if ok {
				whole++
			} else {
				cut++
			}
		})
	}
	all.Wait()
	fmt.Printf("LOST: %d answers cut, %d whole\n", cut, whole)
	if cut > 0 {
		return broken
	}
	return held
}

// readSlowly reads one item as fast as the caller's link carries, and reports whether the answer was complete.
func (f *fleet) readSlowly(c *caller, id string) bool {
	sent := time.Now()
	f.rec.add("sent: %s READ x", id)
	_ = c.c.SetDeadline(sent.Add(timeBudget))
	if _, err := fmt.Fprintf(c.c, "QUERY %s READ x\r\n", id); err != nil {
		f.rec.add("%s: not sent: %v", id, err)
		return true
	}
	got, tail := 0, ""
	b := make([]byte, 4<<10)
	for !strings.Contains(tail, "\r\nREADY ") {
		n, err := c.in.Read(b)
		got += n
		tail += string(b[:n])
		tail = tail[max(0, len(tail)-200):]
		if err != nil && got == 0 {
			f.rec.add("%s: the session was closed before the request was read: %v", id, err)
			return true
		}
		if err != nil {
			f.rec.add("BROKEN: LOST: %s: connection ended %v after the request, after %d bytes of an answer of over %d: %v", id,
				time.Since(sent), got, rowSize, err)
			return false
		}
		time.Sleep(time.Duration(n) * time.Second / readPerSecond)
	}
	f.rec.add("answered %s: %d bytes in %v", id, got, time.Since(sent))
	return true
}
