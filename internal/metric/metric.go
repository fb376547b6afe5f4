// Package metric registers the metrics of the parts of a process: those that several
// parts share, and those that leave with their part.
package metric

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// Register adds c to r and returns it, or the collector like it that another part
// has added before. Without a registerer c is returned as it is.
func Register[C prometheus.Collector](r prometheus.Registerer, c C) C {
	if r == nil {
		return c
	}
	var a prometheus.AlreadyRegisteredError
	if err := r.Register(c); errors.As(err, &a) {
		if old, ok := a.ExistingCollector.(C); ok {
			return old
		}
	}
	return c
}

// Group is what one part has registered for itself alone, and takes back when it ends.
type Group struct {
	registerer prometheus.Registerer
	all        []prometheus.Collector
}

// NewGroup adds all to r, which may be nil, in place of those of a part like it that hasn't ended yet.
//
// The guard is against a process that ends by a duplicate registration: a part may begin anew while the
// one before it still closes.
func NewGroup(r prometheus.Registerer, all ...prometheus.Collector) Group {
	g := Group{registerer: r, all: all}
	if r == nil {
		return g
	}
	for _, c := range all {
		if old := Register(r, c); old != c {
			r.Unregister(old)
			r.MustRegister(c)
		}
	}
	return g
}

// Unregister takes the metrics of g back, but for those that a part after it has taken over.
func (g Group) Unregister() {
	if g.registerer == nil {
		return
	}
	for _, c := range g.all {
		if Register(g.registerer, c) == c {
			g.registerer.Unregister(c)
		}
	}
}
