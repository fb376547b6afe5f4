package experiment_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/internal/experiment"
)

// A primary is cut off from its replicas and from all hosts while the store is
// down, and orders go on over two hosts. What callers were told of stands in the new
// primary's log, once.
func TestNoOrderIsLostOrDoubledByACutWithTheStoreDown(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	g, err := experiment.Failover(ctx, experiment.FaultCutStoreDown, 2)
	c.Assert(err, qt.IsNil)
	c.Assert(g.Times, qt.HasLen, 2)
	c.Assert(g.Acknowledged > 0, qt.IsTrue)
	c.Assert(g.Lost, qt.Equals, 0)
	c.Assert(g.Doubled, qt.Equals, 0)

	var b bytes.Buffer
	c.Assert(experiment.WriteFailover(&b, []experiment.Gaps{g}), qt.IsNil)
	c.Assert(b.String(), qt.Contains, "cut-store-down")
}
