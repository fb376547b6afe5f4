package groupmonitor_test

import (
	"fmt"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/standin/ledger"
)

// BenchmarkFailover measures the time from the last acknowledged write in the
// first term to the next one in a later term, for a caller that keeps writing
// through one host. Run it with -benchtime 30x or more.
func BenchmarkFailover(b *testing.B) {
	for _, kind := range []string{"crash", "hang", "cut"} {
		b.Run(kind, func(b *testing.B) {
			var gaps []time.Duration
			var lost, unknown int
			for n := range b.N {
				g, w := failOnce(b, kind, n)
				gaps = append(gaps, g)
				lost += w.lost()
				unknown += w.unknown
				w.fleet.close()
			}
			slices.Sort(gaps)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(ms(gaps[len(gaps)/2]), "median-ms")
			b.ReportMetric(ms(gaps[len(gaps)-1]), "worst-ms")
			b.ReportMetric(float64(lost), "lost")
			b.ReportMetric(float64(unknown), "unknown")
		})
	}
}

func ms(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// settleTime is the time after which the fast polling of the start has ended.
// During it the other hosts would notice the failure sooner than later on.
const settleTime = 3500 * time.Millisecond

// failOnce runs one failover. Each n fails the primary at another phase of the
// hosts' timers and writes through another host.
func failOnce(b *testing.B, kind string, n int) (time.Duration, *writer) {
	b.Helper()
	f := newFleet(b, time.Millisecond)
	w := &writer{
		fleet: f, host: f.hosts[1+n%2].Host, rule: document.AcknowledgeReplicated,
		acked: make(map[fleet.LogPosition]string),
	}
	defer w.close()
	w.first(b)
	fail := time.Now().Add(settleTime + time.Duration(n%10)*7*time.Millisecond)
	last := time.Now()
	failed := false
	for i := 0; ; i++ {
		if !failed && time.Now().After(fail) {
			failed = true
			f.injectFault(kind)
		}
		at, ok := w.write(strconv.Itoa(i), 250*time.Millisecond)
		if ok && at.Term > 1 {
			return time.Since(last), w
		}
		if ok {
			last = time.Now()
		}
		if time.Since(last) > 20*time.Second {
			b.Fatal("no failover in 20 s")
		}
	}
}

// injectFault injects a fault into instance a, the primary. A cut leaves it
// reachable for host h0 only.
func (f *ledgerFleet) injectFault(kind string) {
	switch kind {
	case "crash":
		f.set("a", ledger.Fault{Kind: ledger.FaultDie})
	case "hang":
		f.set("a", ledger.Fault{Kind: ledger.FaultPause})
	case "cut":
		f.set("a", ledger.Fault{Kind: ledger.FaultCut, From: []string{"b", "c", "h1", "h2"}})
		f.set("b", ledger.Fault{Kind: ledger.FaultCut, From: []string{"a", "h0"}})
		f.set("c", ledger.Fault{Kind: ledger.FaultCut, From: []string{"a", "h0"}})
		f.mu.Lock()
		f.cutOffHosts["h0"] = true
		f.mu.Unlock()
	}
}

// BenchmarkWrite measures a write from its sending to its acknowledgement, for
// both rules of acknowledgement at four replication lags.
func BenchmarkWrite(b *testing.B) {
	for _, rule := range []document.Acknowledge{document.AcknowledgeReplicated, document.AcknowledgePrimary} {
		for _, lag := range []time.Duration{
			time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second,
		} {
			b.Run(fmt.Sprintf("%s/lag=%v", rule, lag), func(b *testing.B) { writeMany(b, rule, lag) })
		}
	}
}

func writeMany(b *testing.B, rule document.Acknowledge, lag time.Duration) {
	f := newFleet(b, lag)
	defer f.close()
	w := &writer{fleet: f, host: "h1", rule: rule, acked: make(map[fleet.LogPosition]string)}
	defer w.close()
	eventually(b, func() bool {
		_, ok := w.write("first", 10*time.Second)
		return ok
	})
	took := make([]time.Duration, 0, b.N)
	b.ResetTimer()
	for n := range b.N {
		from := time.Now()
		if _, ok := w.write(strconv.Itoa(n), 10*time.Second); !ok {
			b.Fatal("a write was not acknowledged")
		}
		took = append(took, time.Since(from))
	}
	slices.Sort(took)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(ms(took[len(took)/2]), "median-ms")
	b.ReportMetric(ms(took[len(took)*99/100]), "p99-ms")
}

// BenchmarkCalm counts promotions, of which none is due, in runs of 4 s with
// one fault each: one host's link to the primary is cut, the primary's statuses
// take 400 ms, or the preferred holder is paused for 2 s.
func BenchmarkCalm(b *testing.B) {
	faults := map[string]func(f *ledgerFleet){
		"bad-link": func(f *ledgerFleet) {
			f.set("a", ledger.Fault{Kind: ledger.FaultCut, From: []string{"h1"}})
		},
		"slow-primary": func(f *ledgerFleet) { f.slow.Store(int64(400 * time.Millisecond)) },
		"paused-host":  func(f *ledgerFleet) { f.pause.Store(int64(2 * time.Second)) },
	}
	for name, strike := range faults {
		b.Run(name, func(b *testing.B) {
			var promotions int
			for range b.N {
				promotions += int(countPromotions(b, strike))
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(promotions), "promotions")
		})
	}
}

func countPromotions(b *testing.B, strike func(f *ledgerFleet)) fleet.Term {
	b.Helper()
	f := newFleet(b, time.Millisecond)
	defer f.close()
	w := &writer{fleet: f, host: "h0", rule: document.AcknowledgeReplicated, acked: make(map[fleet.LogPosition]string)}
	defer w.close()
	w.first(b)
	strike(f)
	end := time.Now().Add(4 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		_, _ = w.write("calm"+strconv.Itoa(n), time.Second)
		_ = sleep(f.ctx, 10*time.Millisecond)
	}
	return f.group.Status(f.group.Primary()).Promised - 1
}

// BenchmarkIdle reports the cost of groups without traffic for three holders,
// from one to thirty-two groups: status requests and processor time per second
// and holder. The instances of the stand-in run in the same process and are
// included.
func BenchmarkIdle(b *testing.B) {
	for _, groups := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			for range b.N {
				idleOnce(b, groups)
			}
		})
	}
}

func idleOnce(b *testing.B, groups int) {
	b.Helper()
	var fleets []*ledgerFleet
	for range groups {
		f := newFleet(b, time.Millisecond)
		defer f.close()
		fleets = append(fleets, f)
	}
	for _, f := range fleets {
		eventually(b, func() bool { return f.monitors["h0"].Snapshot().Primary != "" })
	}
	time.Sleep(settleTime)
	var asked int64
	for _, f := range fleets {
		asked -= f.statusRequests.Load()
	}
	from, cpu := time.Now(), processorTime(b)
	time.Sleep(5 * time.Second)
	for _, f := range fleets {
		asked += f.statusRequests.Load()
	}
	took := time.Since(from).Seconds() * float64(len(fleets[0].hosts))
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(asked)/took, "questions/s")
	b.ReportMetric((processorTime(b)-cpu).Seconds()*1000/took, "cpu-ms/s")
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
