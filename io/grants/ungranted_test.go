package grants_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/document"
)

// Guards against an account that is refused everywhere without a trace of which home failed it, and why.
func TestAccountWithoutGrantsIsLogged(t *testing.T) {
	c := qt.New(t)
	b := newBench(threeHosts, document.Account{Name: "hotel", Rate: 100, Burst: 100})
	b.store.down = true
	b.cut.Store(threeHosts[0].Host, true)
	b.cut.Store(threeHosts[2].Host, true)
	b.run(t)
	eventually(t, "a line on the lack of grants", func() bool {
		b.admit("o1", 1)
		return b.logs.FilterMessage("no grants").Len() > 0
	})
	line := b.logs.FilterMessage("no grants").All()[0].ContextMap()
	c.Assert(line["in-asahikawa"], qt.Equals, "host a1 doesn't answer")
	c.Assert(line["in-sapporo"], qt.Equals, "host s1 doesn't answer")
	c.Assert(line["in-obihiro"], qt.Contains, "host o1 isn't the home")
	c.Assert(line["claiming"], qt.Equals, true)
	b.store.mu.Lock()
	b.store.down = false
	b.store.mu.Unlock()
	b.cut.Clear()
	eventually(t, "grants", func() bool {
		b.admit("o1", 1)
		return b.logs.FilterMessage("grants again").Len() > 0
	})
}
