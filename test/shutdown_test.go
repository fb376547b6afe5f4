package test_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/roster"
)

// exitBound is above the grace of a shutdown.
const exitBound = 40 * time.Second

// settled waits until each seat of the accounts' homes is held by a host. A host
// takes its seats some 2 s after it is ready; while two of one data centre are
// without, its accounts are refused although within their rates.
func (f *runningFleet) settled(t testing.TB) {
	t.Helper()
	want := len(centres) * int(roster.Shards)
	eventually(t, func() error {
		held := fleet.Set[string]{}
		for _, h := range f.hosts {
			var s struct {
				Grants struct {
					Seats map[string]any `json:"seats"`
				} `json:"grants"`
			}
			if err := httpGet("http://"+h.operator+"/state?section=grants", &s); err != nil {
				return err
			}
			for n := range s.Grants.Seats {
				held.Add(n)
			}
		}
		if len(held) < want {
			return fmt.Errorf("%d of %d seats are held", len(held), want)
		}
		return nil
	})
}

// Every host is replaced in turn while orders come in, each by SIGTERM and a
// start on the same addresses. A driver that is asked to connect again does so
// and sends its order again, since nothing of it was run. No caller is left
// with an order of unknown outcome, and none is refused although within its rate.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	f := startFleet(t, 4)
	g := f.addGroup(t, "rolling")
	f.settled(t)
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
		f.settled(t)
		w.more(t, 20)
	}
	all := w.end()
	t.Log(w.summary())
	judge(t, g.record(t, ""), all)
	for _, s := range all {
		if s.err != nil && (s.cut || codeOf(s.err) != failure.CodeShuttingDown) {
			t.Errorf("write %s over %s failed: %v", s.id, s.host, s.err)
		}
	}
}
