package cmd_test

import (
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/internal/cmd"
	"skylarkdeal/standin/ledger"
)

// loadGroup starts a group of one instance, which takes a host's place, and
// returns its address and that of its record.
func loadGroup(c *qt.C) (address, record string) {
	g, err := ledger.Start(ledger.Config{Instances: []ledger.InstanceConfig{{Name: "a"}}})
	c.Assert(err, qt.IsNil)
	c.Cleanup(g.Close)
	s := httptest.NewServer(g.Handler())
	c.Cleanup(s.Close)
	return g.Address("a"), "orders-obihiro=" + s.URL + "/ledger"
}

func runLoad(args ...string) (code int, out, errOut string) {
	var o, e strings.Builder
	code = cmd.Main(append([]string{"load"}, args...), strings.NewReader(""), &o, &e)
	return code, o.String(), e.String()
}

func TestLoadExitCodes(t *testing.T) {
	c := qt.New(t)
	host, record := loadGroup(c)
	_, other := loadGroup(c)
	run := []string{"--hosts", host, "--services", "orders-obihiro", "--rate-scale", "0.2", "--duration", "400ms"}
	// A busy machine may leave a run of 400 ms without any acknowledged write; the
	// one that is to find a lost one has to have some.
	longer := append(slices.Clone(run), "--rate-scale", "1", "--duration", "3s")
	for _, x := range []struct {
		name string
		args []string
		code int
		says string
	}{
		{"held", append(run, "--record", record), cmd.ExitOK, "own-work"},
		{"json", append(run, "--record", record, "--format", "json"), cmd.ExitOK, `"replica-share"`},
		{"lost writes", append(longer, "--record", other), cmd.ExitFailure, "nothing-lost         BROKEN"},
		{"no hosts", []string{"--services", "orders-obihiro"}, cmd.ExitUsage, ""},
		{"no such profile", append(run, "--profile", "x"), cmd.ExitUsage, ""},
		{"no such plan", append(run, "--fault-plan", filepath.Join(t.TempDir(), "x.ini")), cmd.ExitUsage, ""},
		{"no such form", append(run, "--format", "x"), cmd.ExitUsage, ""},
	} {
		code, out, errOut := runLoad(x.args...)
		c.Check(code, qt.Equals, x.code, qt.Commentf("%s: %s", x.name, errOut))
		c.Check(out, qt.Contains, x.says, qt.Commentf("%s", x.name))
	}
}

func TestLoadWritesDocuments(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	code, out, errOut := runLoad("--services", "orders-obihiro", "--documents", dir,
		"--instance", "orders-obihiro/a=127.0.0.1:7101/obihiro")
	c.Assert(code, qt.Equals, cmd.ExitOK, qt.Commentf("%s", errOut))
	file := filepath.Join(dir, "orders-obihiro.ini")
	c.Check(out, qt.Equals, file+"\n")
	text, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Check(string(text), qt.Contains, "address = 127.0.0.1:7101")
	code, _, _ = runLoad("--services", "orders-obihiro", "--documents", dir, "--instance", "a=127.0.0.1:7101")
	c.Check(code, qt.Equals, cmd.ExitUsage)
}
