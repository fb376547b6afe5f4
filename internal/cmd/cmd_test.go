package cmd_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/internal/cmd"
)

// subcommands reads the names of the subcommands from the help of a command.
func subcommands(c *qt.C, path ...string) []string {
	code, out, _ := run("", append(path, "--help")...)
	c.Assert(code, qt.Equals, cmd.ExitOK)
	_, list, ok := strings.Cut(out, "Available Commands:\n")
	if !ok {
		return nil
	}
	list, _, _ = strings.Cut(list, "\n\n")
	var names []string
	for _, l := range strings.Split(list, "\n") {
		n := strings.Fields(l)[0]
		if n != "help" && n != "completion" {
			names = append(names, n)
		}
	}
	return names
}

func TestEachCommandHasAPage(t *testing.T) {
	c := qt.New(t)
	names := subcommands(c)
	c.Assert(len(names) > 5, qt.IsTrue)
	for _, n := range names {
		b, err := os.ReadFile(filepath.Join("..", "..", "docs", "man", "skylarkdeal-"+n+".md"))
		c.Check(err, qt.IsNil)
		c.Check(string(b), qt.Contains, "# skylarkdeal "+n+"\n")
		c.Check(string(b), qt.Contains, "## Exit codes\n", qt.Commentf("%s", n))
		for _, s := range subcommands(c, n) {
			c.Check(string(b), qt.Contains, "skylarkdeal "+n+" "+s)
		}
	}
}

func TestEachCommandHasAnExample(t *testing.T) {
	c := qt.New(t)
	for _, n := range subcommands(c) {
		checkExample(c, n)
		for _, s := range subcommands(c, n) {
			checkExample(c, n, s)
		}
	}
}

func checkExample(c *qt.C, path ...string) {
	_, out, _ := run("", append(path, "--help")...)
	want := `(?s).*\nExamples:\n[^\n]*skylarkdeal ` + strings.Join(path, " ") + `.*`
	c.Check(out, qt.Matches, want, qt.Commentf("%s", path))
}

func TestWrongUsage(t *testing.T) {
	c := qt.New(t)
	for _, args := range []string{
		"nope", "version x", "demo x", "serve x", "key nope", "standin nope", "state --nope", "serve --settings /nope",
	} {
		code, _, errOut := run("", strings.Fields(args)...)
		c.Check(code, qt.Equals, cmd.ExitUsage, qt.Commentf("%s: %s", args, errOut))
	}
}
