package test_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/document"
	"skylarkdeal/core/settings"
	"skylarkdeal/internal/cmd"
	"skylarkdeal/io/etcd"
)

// An operator has made many slips in one settings file. The check tells all at
// once, each with file, section and key, so that the host isn't tried ten times;
// serve without --check starts no host by such a file.
func TestCheckOfSettingsTellsAllMistakes(t *testing.T) {
	file := filepath.Join(t.TempDir(), "host.ini")
	text := "[host]\nname = Bad Name\n[caller]\naddress = localhost:1\nmax-sessions = 0\n" +
		"[peer]\naddress = 10.0.0.1:70000\n[operator]\naddress = 127.0.0.1:1\ncolour = red\n" +
		"[store]\ntimeout = 5\n[log]\nlevel = loud\n[extra]\nx = 1\n"
	qt.Assert(t, os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	for _, args := range [][]string{{"serve", "--settings", file, "--check"}, {"serve", "--settings", file}} {
		code, out, errOut := command(t, "", args...)
		qt.Assert(t, code, qt.Equals, cmd.ExitUsage, qt.Commentf("%s", errOut))
		qt.Assert(t, out, qt.Equals, "")
		for _, want := range []string{
			"[host] data-centre", "[host] name", "[caller] address", "[caller] max-sessions", "[peer] address",
			"[operator] colour", "[store] endpoints", "[store] timeout", "[log] level", "[extra]",
		} {
			qt.Assert(t, strings.Count(errOut, want), qt.Equals, 1, qt.Commentf("%s in %s", want, errOut))
		}
		qt.Assert(t, strings.Count(errOut, file+":"), qt.Equals, 10)
	}
}

// Hosts log at level debug while callers show right and wrong keys, send errors
// and roam, and operators dump everything. Whoever reads the logs or a dump must
// not be able to pass for a caller, a host or the proxy: no key, verifier,
// password or secret stands there.
func TestNoSecretStandsInLogsOrDumps(t *testing.T) {
	f := sharedFleet(t)
	g := f.addGroup(t, "secrets")
	ctx := testContext(t)
	wrong := g.Accounts[0]
	wrong.Key = "a-wrong-key-that-was-shown"
	for _, h := range f.hosts {
		c, err := g.connect(ctx, h, "")
		qt.Assert(t, err, qt.IsNil)
		_, err = c.Exec(ctx, "put order cream")
		qt.Assert(t, err, qt.IsNil)
		_, err = c.Exec(ctx, "no such statement")
		qt.Assert(t, err, qt.IsNotNil)
		closeSession(c)
		_, err = g.connectAs(ctx, h, wrong, "")
		qt.Assert(t, err, qt.IsNotNil)
	}
	g.everywhere(t, g.edit(t, func(d *document.Document) { setKeys(t, d, "bakery", "the-later-key-of-the-bakery") }))
	secrets := append(f.secrets(t), wrong.Key, "the-later-key-of-the-bakery", clearKey)
	g.storeClearKey(ctx, t)
	for name, text := range f.told(ctx, t) {
		for _, s := range secrets {
			if strings.Contains(text, s) {
				t.Errorf("%s has the secret %q", name, s)
			}
		}
	}
}

// clearKey is a key that somebody wrote into a document in place of its verifier.
const clearKey = "a-key-in-the-place-of-its-verifier"

// storeClearKey puts a document with clearKey into the store, past the checks of
// the command line, and waits until a host has met it.
func (g *group) storeClearKey(ctx context.Context, t testing.TB) {
	t.Helper()
	_, text, _ := g.fleet.document(t, "", "get", string(g.Name))
	_, text, _ = strings.Cut(text, "\n")
	at := strings.Index(text, "SCRAM-SHA-256")
	bad := text[:at] + clearKey + " " + text[at:]
	s := etcd.Dial(etcd.Config{Endpoints: []string{g.fleet.store}})
	defer s.Close()
	qt.Assert(t, s.Put(ctx, document.StoreKey(settings.DefaultPrefix, g.Name), []byte(bad), 0), qt.IsNil)
	eventually(t, func() error {
		for _, h := range g.fleet.hosts {
			if metric(ctx, t, h, "skylarkdeal_documents_invalid") != "0" {
				return nil
			}
		}
		return errors.New("no host has met the document with a key in the clear")
	})
}

// secrets returns every key, verifier, password and secret of the fleet.
func (f *runningFleet) secrets(t testing.TB) []string {
	t.Helper()
	all := []string{upstreamPassword, peerSecret}
	for _, g := range f.groups {
		for _, a := range g.Accounts {
			all = append(all, a.Key)
		}
		code, text, errOut := f.document(t, "", "get", string(g.Name))
		qt.Assert(t, code, qt.Equals, cmd.ExitOK, qt.Commentf("%s", errOut))
		_, text, _ = strings.Cut(text, "\n")
		d, err := document.Parse([]byte(text), 0)
		qt.Assert(t, err, qt.IsNil)
		for _, a := range d.Accounts {
			for _, k := range a.Keys {
				proof := k.Verifier[strings.LastIndex(k.Verifier, "$")+1:]
				stored, server, ok := strings.Cut(proof, ":")
				qt.Assert(t, ok, qt.IsTrue)
				all = append(all, stored, server)
			}
		}
	}
	return all
}

// told returns the logs, state dumps and metrics of all hosts, by name.
func (f *runningFleet) told(ctx context.Context, t testing.TB) map[string]string {
	t.Helper()
	all := map[string]string{}
	for _, h := range f.hosts {
		b, err := os.ReadFile(h.file)
		qt.Assert(t, err, qt.IsNil)
		for _, want := range []string{"level=debug", "session opened", "document in effect"} {
			qt.Assert(t, string(b), qt.Contains, want)
		}
		all[h.name+".log"] = string(b)
		all[h.name+" state"] = h.dump(t)
		qt.Assert(t, all[h.name+" state"], qt.Contains, `"secrets"`)
		all[h.name+" metrics"] = metrics(ctx, t, h)
	}
	return all
}
