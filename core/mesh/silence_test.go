package mesh_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/mesh"
)

// Guards against a partition of a data centre that is noticed only when each of its hosts counts as
// lost, and against one or two stalled hosts that are taken for such a partition.
func TestSilenceOfADataCentre(t *testing.T) {
	c := qt.New(t)
	c.Check(mesh.DataCentreSilent(24, 400*time.Millisecond), qt.IsFalse)
	c.Check(mesh.DataCentreSilent(24, 600*time.Millisecond), qt.IsTrue)
	c.Check(mesh.DataCentreSilent(2, 600*time.Millisecond), qt.IsFalse)
	c.Check(mesh.DataCentreSilent(24, 600*time.Millisecond) && !mesh.NeedsProbe(600*time.Millisecond), qt.IsFalse)
	c.Check(mesh.NeedsProbe(200*time.Millisecond), qt.IsFalse)
	// A host that is probed has time to respond.
	c.Check(mesh.NeedsProbe(300*time.Millisecond) && !mesh.DataCentreSilent(24, 450*time.Millisecond), qt.IsTrue)
	// The silence is noticed well before the loss of a single host.
	c.Check(mesh.DataCentreSilent(24, mesh.IntervalsFor(73).HeardWithin/2), qt.IsTrue)
}
