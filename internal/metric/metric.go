// Package metric registers metrics that several parts of a process share.
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
