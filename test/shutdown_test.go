package test_test

import (
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/failure"
)

// exitBound is above the grace of a shutdown.
const exitBound = 40 * time.Second

// Every host is replaced in turn while orders come in, each by SIGTERM and a
// start on the same addresses. A driver that is asked to connect again does so
// and sends its order again, since nothing of it was run. No caller is left
// with an order of unknown outcome or gets an error that isn't true.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	f := startFleet(t, 4)
	g := f.addGroup(t, "rolling")
	w := g.write(f.hosts, 6)
	w.more(t, 40)
	for _, h := range f.hosts {
		h.signal(syscall.SIGTERM)
		code, err := h.exit(exitBound)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, code, qt.Equals, 0, qt.Commentf("%s", h.name))
		w.more(t, 20)
		qt.Assert(t, h.start(f), qt.IsNil)
		h.ready(t)
		w.more(t, 20)
	}
	all := w.end()
	t.Log(w.summary())
	judge(t, g.record(t, ""), all)
	refused := 0
	for _, s := range all {
		switch {
		case s.outcome == unknown:
			t.Errorf("write %s over %s failed: %v", s.id, s.host, s.err)
		case s.outcome == notRun && codeOf(s.err) != failure.CodeShuttingDown:
			refused++
		}
	}
	t.Logf("%d of %d requests were refused as not run", refused, len(all))
}
