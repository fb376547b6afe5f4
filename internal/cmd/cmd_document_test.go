package cmd_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/internal/cmd"
	"skylarkdeal/standin/store"
)

// run calls the program as a shell would.
func run(in string, args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = cmd.Main(args, strings.NewReader(in), &o, &e)
	return code, o.String(), e.String()
}

func startStore(c *qt.C) *store.Server {
	s, err := store.Start(store.Config{})
	c.Assert(err, qt.IsNil)
	c.Cleanup(s.Close)
	c.Setenv("SKYLARKDEAL_STORE", s.Addr())
	return s
}

func sample(c *qt.C) string {
	b, err := os.ReadFile(filepath.Join("..", "..", "docs", "sample", "orders.ini"))
	c.Assert(err, qt.IsNil)
	return string(b)
}

func TestDocumentPutAndGet(t *testing.T) {
	c := qt.New(t)
	startStore(c)
	code, out, errOut := run(sample(c), "document", "put", "-")
	c.Assert(code, qt.Equals, cmd.ExitOK, qt.Commentf("%s", errOut))
	c.Assert(out, qt.Matches, `version 2, edit [a-z2-7]{16}\n`)

	code, got, _ := run("", "document", "get", "orders")
	c.Assert(code, qt.Equals, cmd.ExitOK)
	c.Assert(got, qt.Equals, "; version = 2\n"+sample(c))

	code, out, errOut = run(strings.Replace(got, "rate = 50/s", "rate = 60/s", 1), "document", "put", "-")
	c.Assert(code, qt.Equals, cmd.ExitOK, qt.Commentf("%s", errOut))
	c.Assert(out, qt.Matches, "version 3, .*\n")

	code, out, _ = run("", "document", "list")
	c.Assert(code, qt.Equals, cmd.ExitOK)
	c.Assert(out, qt.Matches, `(?s)SERVICE .*\norders +3 .* yes\n`)
	code, out, _ = run("", "document", "history", "orders")
	c.Assert(code, qt.Equals, cmd.ExitOK)
	c.Assert(strings.Count(out, "\n"), qt.Equals, 3)
	code, out, _ = run("", "document", "history", "orders", "--version", "2")
	c.Assert(code, qt.Equals, cmd.ExitOK)
	c.Assert(out, qt.Equals, sample(c))
}

// Two operators get the same version and both change the hotel's rate. The one
// who writes last must not undo the other's change unawares: its put is refused,
// and it sees by which lines the two differ, but no verifier.
func TestDocumentPutShowsTheLoserTheDifference(t *testing.T) {
	c := qt.New(t)
	startStore(c)
	run(sample(c), "document", "put", "-")
	_, got, _ := run("", "document", "get", "orders")
	first := strings.Replace(got, "rate = 200/s", "rate = 300/s", 1)
	second := strings.Replace(got, "rate = 200/s", "rate = 100/s", 1)
	code, _, _ := run(first, "document", "put", "-")
	c.Assert(code, qt.Equals, cmd.ExitOK)

	code, _, errOut := run(second, "document", "put", "-")
	c.Assert(code, qt.Equals, cmd.ExitLost)
	c.Assert(errOut, qt.Contains, "  [account \"hotel\"]\n- rate = 300/s\n+ rate = 100/s\n")
	c.Assert(errOut, qt.Contains, "has written version 3, yours is based on version 2")
	c.Assert(errOut, qt.Not(qt.Contains), "SCRAM")
	_, got, _ = run("", "document", "get", "orders")
	c.Assert(got, qt.Contains, "rate = 300/s")
}

// The store takes the put and its answer is lost, twice. The operator must not be
// told that it failed, nor find it in the history twice.
func TestDocumentPutWithLostAnswers(t *testing.T) {
	c := qt.New(t)
	s := startStore(c)
	s.Set(func(f *store.Faults) { f.LoseAnswers = 2 })
	code, out, errOut := run(sample(c), "document", "put", "-")
	c.Assert(code, qt.Equals, cmd.ExitOK, qt.Commentf("%s", errOut))
	c.Assert(out, qt.Matches, "version 2, edit .*\n")
	c.Assert(s.Calls()[store.KindTxn], qt.Equals, 3)
	_, out, _ = run("", "document", "history", "orders")
	c.Assert(strings.Count(out, "\n"), qt.Equals, 2)
}

func TestDocumentExitCodes(t *testing.T) {
	c := qt.New(t)
	startStore(c)
	clear := strings.Replace(sample(c), "key.spring = SCRAM", "key.spring = my-clear-key SCRAM", 1)
	for _, t := range []struct {
		in   string
		args string
		code int
		want string
	}{
		{"", "document get orders", cmd.ExitFailure, "no such document"},
		{"", "document get", cmd.ExitUsage, "accepts 1 arg"},
		{"", "document list --store localhost:1", cmd.ExitUsage, "an IP address and port"},
		{"", "document put /nowhere/at/all.ini", cmd.ExitFailure, "no such file"},
		{"[service]\nname = x\n", "document put -", cmd.ExitInvalid, "data-centres"},
		{clear, "document check -", cmd.ExitInvalid, "not shown here"},
		{sample(c), "document check -", cmd.ExitOK, ""},
		{"; version = 9\n" + sample(c), "document put -", cmd.ExitLost, "based on version 9"},
	} {
		code, _, errOut := run(t.in, strings.Fields(t.args)...)
		c.Check(code, qt.Equals, t.code, qt.Commentf("%s: %s", t.args, errOut))
		c.Check(errOut, qt.Contains, t.want, qt.Commentf("%s", t.args))
		c.Check(errOut, qt.Not(qt.Contains), "my-clear-key")
	}
}

func TestDocumentEditRunsTheEditor(t *testing.T) {
	c := qt.New(t)
	startStore(c)
	run(sample(c), "document", "put", "-")
	c.Setenv("EDITOR", `sed -i "s|rate = 50/s|rate = 70/s|"`)
	code, out, errOut := run("", "document", "edit", "orders")
	c.Assert(code, qt.Equals, cmd.ExitOK, qt.Commentf("%s", errOut))
	c.Assert(out, qt.Matches, "version 3, .*\n")
	_, got, _ := run("", "document", "get", "orders")
	c.Assert(got, qt.Contains, "rate = 70/s")
	_, out, _ = run("", "document", "edit", "orders")
	c.Assert(out, qt.Equals, "nothing changed\n")
}

func TestKeyVerifier(t *testing.T) {
	c := qt.New(t)
	code, out, _ := run("a-key-long-enough\n", "key", "verifier", "spring")
	c.Assert(code, qt.Equals, cmd.ExitOK)
	c.Assert(out, qt.Matches, `key\.spring = SCRAM-SHA-256\$4096:\S+\$\S+:\S+\n`)
	code, _, errOut := run("short\n", "key", "verifier", "spring")
	c.Assert(code, qt.Equals, cmd.ExitFailure)
	c.Assert(errOut, qt.Not(qt.Contains), "short")
	code, _, _ = run("", "key", "verifier", "Not A Name")
	c.Assert(code, qt.Equals, cmd.ExitUsage)
}

// An owner replaces a key whose verifier has a random salt: the new one has to get
// that salt, or no caller could use either while both stand.
func TestSecondKeyTakesTheSaltOfTheFirst(t *testing.T) {
	c := qt.New(t)
	key := func(in string, flags ...string) string {
		code, out, errOut := run(in, append([]string{"key", "verifier", "one"}, flags...)...)
		c.Assert(code, qt.Equals, cmd.ExitOK, qt.Commentf("%s", errOut))
		return strings.TrimSpace(strings.TrimPrefix(out, "key.one = "))
	}
	salt := func(v string) string { return strings.Split(v, "$")[1] }
	first := key("a-key-long-enough\n")
	c.Assert(salt(key("another-long-key\n", "--like", first)), qt.Equals, salt(first))
	a := key("a-key-long-enough\n", "--account", "orders/hotel")
	c.Assert(salt(key("another-long-key\n", "--account", "orders/hotel")), qt.Equals, salt(a))
	c.Assert(salt(key("another-long-key\n", "--account", "orders/bakery")), qt.Not(qt.Equals), salt(a))
}
