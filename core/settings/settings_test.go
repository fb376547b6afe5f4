package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/inifile"
	"skylarkdeal/core/settings"
)

func sampleSettings(c *qt.C) string {
	b, err := os.ReadFile(filepath.Join("..", "..", "docs", "sample", "host.ini"))
	c.Assert(err, qt.IsNil)
	return string(b)
}

func TestSampleLoads(t *testing.T) {
	c := qt.New(t)
	s, err := settings.Parse("host.ini", []byte(sampleSettings(c)))
	c.Assert(err, qt.IsNil)
	c.Assert(s.Host, qt.Equals, settings.Host{Name: "obihiro-1", DataCentre: fleet.DataCentre("obihiro")})
	c.Assert(s.Peer.Seeds, qt.DeepEquals, []string{"10.1.0.12:6433", "10.2.0.11:6433", "10.3.0.11:6433"})
	c.Assert(s.Store.Timeout, qt.Equals, settings.DefaultStoreTimeout)
}

// Guards against a sample that shows values other than the defaults. The sample has the
// defaults on lines that are commented out by "; ".
func TestSampleShowsTheDefaults(t *testing.T) {
	c := qt.New(t)
	text := sampleSettings(c)
	defaults, err := settings.Parse("host.ini", []byte(text))
	c.Assert(err, qt.IsNil)
	uncommented, err := settings.Parse("host.ini", []byte(strings.ReplaceAll(text, "\n; ", "\n")))
	c.Assert(err, qt.IsNil)
	c.Assert(uncommented, qt.DeepEquals, defaults)
	c.Assert(strings.Count(text, "\n; "), qt.Equals, 10)
}

func TestMistakesCarryTheirPlace(t *testing.T) {
	c := qt.New(t)
	text := sampleSettings(c)
	for _, t := range []struct {
		old, replacement string
		section          string
		key              string
		found            string
		expected         string
	}{
		{"data-centre = obihiro\n", "", "host", "data-centre", "nothing", "a name"},
		{"name = obihiro-1", "name = Obihiro_1", "host", "name", `"Obihiro_1"`, "a name"},
		{"address = 10.1.0.11:6432", "address = localhost:6432", "caller", "address", `"localhost:6432"`, "an IP address"},
		{"address = 10.1.0.11:6433", "address = 10.1.0.11", "peer", "address", `"10.1.0.11"`, "an IP address"},
		{"address = 10.1.0.11:6434\n", "", "operator", "address", "nothing", "an IP address"},
		{"10.0.0.10:2379", "store-2:2379", "store", "endpoints", `"store-2:2379"`, "a list of addresses"},
		{"endpoints = 10.0.0.9:2379, 10.0.0.10:2379\n", "", "store", "endpoints", "nothing", "a list of addresses"},
		{"; startup-timeout = 5s", "startup-timeout = 5", "caller", "startup-timeout", `"5"`, "a duration with its unit"},
		{"; startup-timeout = 5s", "startup-timeout = 5h", "caller", "startup-timeout", `"5h"`, "a duration with its unit"},
		{"; max-message = 1MiB", "max-message = 1MB", "caller", "max-message", `"1MB"`, "a size in B, KiB or MiB"},
		{"; max-message = 1MiB", "max-message = 1", "caller", "max-message", `"1"`, "a size in B, KiB or MiB"},
		{"; max-sessions = 10000", "max-sessions = 0", "caller", "max-sessions", `"0"`, "a whole number from 1"},
		{"; pprof = false", "pprof = yes", "operator", "pprof", `"yes"`, "true or false"},
		{"; level = info", "level = loud", "log", "level", `"loud"`, "one of debug"},
		{"; prefix = /skylarkdeal/", "prefix = skylarkdeal", "store", "prefix", `"skylarkdeal"`, "a path between slashes"},
		{"; user = skylarkdeal", "password = tomato", "upstream", "password", "an unknown key", "one of user, password-file"},
		{"; pprof = false", "address = 10.1.0.11:9", "operator", "address", "it a second time", "it once"},
		{"[log]", "[logs]", "logs", "", "an unknown section", "one of host"},
		{"; pprof = false", "pprof", "operator", "", "", "key = value"},
	} {
		c.Assert(strings.Contains(text, t.old), qt.IsTrue, qt.Commentf("%s", t.old))
		invalid := strings.Replace(text, t.old, t.replacement, 1)
		_, err := settings.Parse("host.ini", []byte(invalid))
		var m inifile.Mistakes
		c.Assert(errors.As(err, &m), qt.IsTrue, qt.Commentf("%q", t.replacement))
		c.Assert(m, qt.HasLen, 1, qt.Commentf("%v", err))
		c.Check(m[0].File, qt.Equals, "host.ini")
		c.Check(m[0].Section, qt.Equals, t.section)
		c.Check(m[0].Key, qt.Equals, t.key)
		c.Check(m[0].Found, qt.Equals, t.found)
		c.Check(strings.HasPrefix(m[0].Expected, t.expected), qt.IsTrue, qt.Commentf("%s", m[0]))
		c.Check(err.Error(), qt.Not(qt.Contains), "tomato")
		if t.replacement != "" {
			before, _, _ := strings.Cut(text, t.old)
			line := 1 + strings.Count(before, "\n")
			c.Check(m[0].Line, qt.Equals, line, qt.Commentf("%s", m[0]))
		}
	}
}

func TestAllMistakesAtOnce(t *testing.T) {
	c := qt.New(t)
	_, err := settings.Parse("host.ini", []byte("[host]\nname = a\n[caller]\naddress = here\nmax = 1\n"))
	c.Assert(err, qt.ErrorMatches, `(?s)host.ini: \[peer\] address: .*`+
		`host.ini:1: \[host\] data-centre: found nothing, expected a name.*`+
		`host.ini:4: \[caller\] address: found "here", expected an IP address.*`+
		`host.ini:5: \[caller\] max: found an unknown key, expected one of address, .*`)
}

func FuzzParse(f *testing.F) {
	f.Add(sampleSettings(qt.New(f)))
	f.Add("[host]\nname = a\n[store]\nendpoints = ,")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := settings.Parse("f", []byte(text))
		if err == nil && (s.Host.Name == "" || len(s.Store.Endpoints) == 0) {
			t.Fatalf("accepted without a name or a store: %+v", s)
		}
	})
}
