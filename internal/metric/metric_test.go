package metric_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"skylarkdeal/internal/metric"
)

// gathered returns the values that a registry tells.
func gathered(c *qt.C, r *prometheus.Registry) []float64 {
	fs, err := r.Gather()
	c.Assert(err, qt.IsNil)
	var out []float64
	for _, f := range fs {
		out = append(out, f.GetMetric()[0].GetGauge().GetValue())
	}
	return out
}

// Guards against a host that ends by itself because it takes a group up again before its former hold on it
// has closed.
func TestPartThatBeginsAnewBeforeItsFormerSelfEnds(t *testing.T) {
	c := qt.New(t)
	r := prometheus.NewRegistry()
	opts := prometheus.GaugeOpts{Name: "open", Help: "Connections."}
	former, present := prometheus.NewGauge(opts), prometheus.NewGauge(opts)
	first := metric.NewGroup(r, former)
	second := metric.NewGroup(r, present)
	present.Set(3)
	first.Unregister()
	c.Assert(gathered(c, r), qt.DeepEquals, []float64{3})
	second.Unregister()
	c.Assert(gathered(c, r), qt.HasLen, 0)
	metric.NewGroup(nil, former).Unregister()
}
