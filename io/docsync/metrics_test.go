package docsync_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"skylarkdeal/io/docsync"
	"skylarkdeal/io/host/hostpb"
)

func TestMetricsTellOfInvalidDocuments(t *testing.T) {
	c := qt.New(t)
	r := prometheus.NewRegistry()
	s := docsync.New(docsync.Config{Metrics: r, Now: func() time.Time { return time.Unix(1000, 0) }})
	s.HandlePush(&hostpb.PushRequest{Documents: []*hostpb.Document{
		{Service: "a", Version: 1, Text: text("a", 1)}, {Service: "a", Version: 2, Text: text("a", 0)},
	}})
	l, err := r.Gather()
	c.Assert(err, qt.IsNil)
	got := map[string]float64{}
	for _, f := range l {
		if g := f.GetMetric()[0].GetGauge(); g != nil {
			got[f.GetName()] = g.GetValue()
		}
	}
	c.Assert(got, qt.DeepEquals, map[string]float64{
		"skylarkdeal_documents_in_force":              1,
		"skylarkdeal_documents_invalid":               1,
		"skylarkdeal_documents_confirmed_age_seconds": -1,
	})
}
