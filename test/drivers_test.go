package test_test

import (
	"os"
	"os/exec"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A team whose programs are written in another language uses its usual driver, and
// nothing else, to order on one host and read on another.
func TestDriverOfAnotherLanguage(t *testing.T) {
	if _, err := os.Stat("drivers/node_modules/pg"); err != nil {
		t.Skip("the driver is not installed: npm install --prefix test/drivers")
	}
	f := sharedFleet(t)
	g := f.addGroup(t, "node")
	ctx := testContext(t)
	a := g.Accounts[0]
	out, err := exec.CommandContext(ctx, "node", "drivers/driver.js",
		f.hosts[0].caller, f.hosts[1].caller, string(a.Name), a.Key, string(g.Name)).CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	qt.Assert(t, string(out), qt.Equals, "ok\n")
}
