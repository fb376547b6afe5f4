package place_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkMix reports, for an order workload and a browsing workload at several
// replication lags, the share of reads that replicas serve and the latency of reads and writes,
// in the virtual time of the simulation.
func BenchmarkMix(b *testing.B) {
	mixes := map[string]workload{
		// Standing and rush orders, and stock lookups that accept data of a stated age.
		"tokachi": {rate: 300, write: 0.3, token: 0.25, aged: 0.35, blind: 0.1, age: 5 * time.Second},
		// Intake and withdrawals, and browsing in the portal.
		"vinkambaris": {rate: 300, write: 0.15, token: 0.15, aged: 0.65, blind: 0.05, age: 5 * time.Second},
	}
	for name, l := range mixes {
		for _, lag := range []time.Duration{
			time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second,
		} {
			b.Run(fmt.Sprintf("%s/lag=%v", name, lag), func(b *testing.B) {
				for range b.N {
					s := newSim(l)
					s.lag = lag
					s.run(20 * time.Second)
					report(b, s)
				}
			})
		}
	}
}

func report(b *testing.B, s *sim) {
	var reads, replicas float64
	for _, class := range []string{"token", "aged", "blind"} {
		o := s.outcome(class)
		reads += float64(o.ended)
		replicas += o.replicas * float64(o.ended)
		b.ReportMetric(100*o.replicas, class+"-%")
		b.ReportMetric(float64(o.p99.Microseconds())/1000, class+"-p99-ms")
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*replicas/reads, "replicas-%")
	b.ReportMetric(float64(s.outcome("write").p99.Microseconds())/1000, "write-p99-ms")
}
