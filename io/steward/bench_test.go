package steward_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
)

// BenchmarkFailover measures the time from the last good answer of the primary
// to the next acknowledged write, of a caller that writes on through one host
// while the primary fails. Run it with -benchtime 30x or more.
func BenchmarkFailover(b *testing.B) {
	for _, f := range []string{"crash", "hang", "cut"} {
		b.Run(f, func(b *testing.B) {
			var gaps []time.Duration
			for n := range b.N {
				gaps = append(gaps, failOnce(b, f, n))
			}
			slices.Sort(gaps)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(gaps[len(gaps)/2].Milliseconds()), "median-ms")
			b.ReportMetric(float64(gaps[len(gaps)-1].Milliseconds()), "worst-ms")
		})
	}
}

// failOnce runs one failover. The n-th run fails the primary at another phase
// of the hosts' timers.
func failOnce(b *testing.B, kind string, n int) time.Duration {
	c := newCluster(b, time.Millisecond)
	defer func() {
		c.stop()
		c.wait.Wait()
	}()
	c.ready(b)
	h := c.hosts[n%len(c.hosts)].Host
	if kind == "cut" {
		// The caller's host is on the side that the primary isn't on.
		h = c.hosts[1+n%2].Host
	}
	fail := time.Now().Add(300*time.Millisecond + time.Duration(n%10)*7*time.Millisecond)
	failed := false
	last := time.Now()
	acked := make(map[fleet.Point]string)
	for i := 0; ; i++ {
		if !failed && time.Now().After(fail) {
			failed = true
			c.strike(kind)
		}
		v := fmt.Sprint(i)
		at, err := c.write(h, document.AcknowledgeReplicated, v, 250*time.Millisecond)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		acked[at] = v
		if failed && at.Term > 1 {
			break
		}
		last = time.Now()
	}
	gap := time.Since(last)
	c.keeps(b, acked)
	return gap
}

// strike fails instance a, the primary. A cut leaves it with host h0.
func (c *cluster) strike(kind string) {
	c.set(func() {
		switch kind {
		case "crash":
			c.faults["a"] = crashed
		case "hang":
			c.faults["a"] = hung
		case "cut":
			c.away["h0"] = true
			c.cut["h1"]["a"], c.cut["h2"]["a"] = true, true
			c.cut["h0"]["b"], c.cut["h0"]["c"] = true, true
		}
	})
}

// keeps checks that the primary of the highest term has all that was
// acknowledged.
func (c *cluster) keeps(tb testing.TB, acked map[fleet.Point]string) {
	tb.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	top := c.instances["a"]
	for _, i := range c.instances {
		if i.Role == fleet.RolePrimary && i.Last().Term > top.Last().Term {
			top = i
		}
	}
	for p, v := range acked {
		if int(p.Position) > len(top.Log) || top.Log[p.Position-1].Value != v {
			tb.Fatalf("acknowledged write %v = %s is lost", p, v)
		}
	}
}
