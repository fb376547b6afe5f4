package document_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/xdg-go/scram"
	"pgregory.net/rapid"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/inifile"
)

func sampleDocument(c *qt.C) string {
	b, err := os.ReadFile(filepath.Join("..", "..", "docs", "sample", "orders.ini"))
	c.Assert(err, qt.IsNil)
	return string(b)
}

func TestSampleParses(t *testing.T) {
	c := qt.New(t)
	d, err := document.Parse([]byte(sampleDocument(c)), 7)
	c.Assert(err, qt.IsNil)
	c.Assert(d.Service, qt.Equals, fleet.Service("orders"))
	c.Assert(d.Version, qt.Equals, document.Version(7))
	c.Assert(d.CutOffAfter, qt.Equals, 10*time.Minute)
	c.Assert(d.DataCentres, qt.DeepEquals, []fleet.DataCentre{"obihiro", "sapporo", "asahikawa"})
	c.Assert(d.Instances, qt.HasLen, 3)
	c.Assert(d.Instances[1], qt.Equals, document.Instance{
		Name: "b", Address: "10.2.0.21:5432", DataCentre: "sapporo", Slots: 2, Connections: 16,
	})
	a, ok := d.Account("hotel")
	c.Assert(ok, qt.IsTrue)
	c.Assert(a.Rate, qt.Equals, 200.0)
	c.Assert(a.Burst, qt.Equals, 400.0)
	c.Assert(a.Keys, qt.HasLen, 2)
}

// A document states priorities, the most urgent one too, or leaves them out. Guards against an account
// that becomes the most urgent since its section says nothing.
func TestPriorityOfAnAccount(t *testing.T) {
	c := qt.New(t)
	for text, want := range map[string]fleet.Priority{
		"priority = 0": 0, "priority = 9": fleet.MaxPriority, "": fleet.DefaultPriority,
	} {
		d, err := document.Parse([]byte(strings.Replace(sampleDocument(c), "priority = 1", text, 1)), 1)
		c.Assert(err, qt.IsNil)
		a, _ := d.Account("hotel")
		c.Check(a.Priority, qt.Equals, want)
		again, err := document.Parse(d.Format(), 1)
		c.Assert(err, qt.IsNil)
		c.Check(again, qt.DeepEquals, d)
		b, _ := d.Account("bakery")
		c.Check(b.Priority, qt.Equals, fleet.DefaultPriority)
	}
}

func TestMistakesCarryTheirPlace(t *testing.T) {
	c := qt.New(t)
	text := sampleDocument(c)
	for _, t := range []struct{ old, replacement, want string }{
		{"acknowledge = replicated", "acknowledge = all", `[service] acknowledge: found "all", expected one of replicated`},
		{"holders = 3", "holders = 0", `[service] holders: found "0", expected a whole number from 1`},
		{"statement-timeout = 10s", "statement-timeout = 10", `found "10", expected a duration`},
		{"cut-off = serve", "cut-off = hold", `found "hold", expected one of serve, stop`},
		{"obihiro, sapporo", "obihiro, obihiro", `data-centres: found "obihiro", expected each`},
		{"address = 10.1.0.21:5432", "address = db-a:5432", `[instance "a"] address: found "db-a:5432", expected an IP`},
		{"address = 10.1.0.21:5432", "address = 10.2.0.21:5432", `expected another address than that of instance "a"`},
		{"connections = 16", "connections = 1", `connections: found 1, expected at least one connection for each of 2 slots`},
		{"leaving = false", "leaving = no", `leaving: found "no", expected true or false`},
		{"rate = 200/s", "rate = 200", `[account "hotel"] rate: found "200", expected a rate above 0`},
		{"rate = 200/s", "rate = NaN/s", `found "NaN/s", expected a rate above 0`},
		{"rate = 200/s", "rates = 200/s", `rates: found an unknown key, expected one of rate,`},
		{"burst = 400", "burst = 0", `burst: found "0", expected a whole number from 1`},
		{"priority = 1", "priority = 10", `[account "hotel"] priority: found "10", expected a whole number from 0 to 9`},
		{"priority = 1", "priority = -1", `priority: found "-1", expected a whole number from 0 to 9`},
		{"priority = 1", "priority = high", `priority: found "high", expected a whole number from 0 to 9`},
		{`[account "bakery"]`, `[account bakery]`, `[account bakery] found an unknown section, expected one of service`},
		{`[account "bakery"]`, `[account "Bakery"]`, `found an unknown section`},
		{`[account "bakery"]`, `[account "hotel"]`, `[account "hotel"] found it a second time, expected it once, at line`},
		{"key.autumn = ", "key.spring = ", `key.spring: found it a second time, expected it once, at line`},
		{"key.autumn = ", "key.Autumn = ", `key.Autumn: found a key without a proper name`},
		{"key.autumn = SCRAM-SHA-256$4096:", "key.autumn = tomato ", `key.autumn: found something else, not shown here`},
		{"key.autumn = SCRAM-SHA-256$4096:", "key.autumn = SCRAM-SHA-256$1:", `iterations are not from 4096`},
		{"key.autumn = ", "tomato ", `[account "hotel"]`},
	} {
		c.Assert(strings.Contains(text, t.old), qt.IsTrue, qt.Commentf("%s", t.old))
		invalid := strings.Replace(text, t.old, t.replacement, 1)
		_, err := document.Parse([]byte(invalid), 1)
		c.Assert(err, qt.IsNotNil, qt.Commentf("%q", t.replacement))
		c.Check(err.Error(), qt.Contains, t.want, qt.Commentf("%q", t.replacement))
		c.Check(err.Error(), qt.Not(qt.Contains), "tomato")
		c.Check(err.Error(), qt.Not(qt.Contains), "4096:")
		if strings.HasPrefix(t.want, "[service]") {
			before, _, _ := strings.Cut(text, t.old)
			line := 1 + strings.Count(before, "\n")
			c.Check(err.Error(), qt.Contains, fmt.Sprintf("document:%d: ", line))
		}
	}
}

func TestDocumentNeedsServiceAndInstances(t *testing.T) {
	c := qt.New(t)
	_, err := document.Parse(nil, 1)
	var m inifile.Mistakes
	c.Assert(errors.As(err, &m), qt.IsTrue)
	c.Assert(m, qt.HasLen, 3)
}

func TestFormatRoundTrip(t *testing.T) {
	c := qt.New(t)
	d, err := document.Parse([]byte(sampleDocument(c)), 7)
	c.Assert(err, qt.IsNil)
	reparsed, err := document.Parse(d.Format(), 7)
	c.Assert(err, qt.IsNil)
	c.Assert(reparsed, qt.DeepEquals, d)
}

// Checks a new verifier against the SCRAM library that drivers use: a client with the
// key authenticates, a client with another key doesn't.
func TestVerifierMatchesTheKey(t *testing.T) {
	c := qt.New(t)
	key := document.NewKey()
	text, err := document.NewVerifier(key)
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Not(qt.Contains), key)
	v, err := document.ParseVerifier(text)
	c.Assert(err, qt.IsNil)
	stored := scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(v.Salt), Iters: v.Iterations},
		StoredKey:  v.StoredKey, ServerKey: v.ServerKey,
	}
	c.Assert(authenticate(c, stored, key), qt.IsTrue)
	c.Assert(authenticate(c, stored, key+"x"), qt.IsFalse)
}

func authenticate(c *qt.C, stored scram.StoredCredentials, key string) bool {
	client, err := scram.SHA256.NewClient("hotel", key, "")
	c.Assert(err, qt.IsNil)
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
	c.Assert(err, qt.IsNil)
	clientConversation, serverConversation := client.NewConversation(), server.NewConversation()
	m := ""
	for !clientConversation.Done() {
		if m, err = clientConversation.Step(m); err != nil {
			return false
		}
		if serverConversation.Done() {
			break
		}
		if m, err = serverConversation.Step(m); err != nil {
			return false
		}
	}
	return serverConversation.Valid() && clientConversation.Valid()
}

func TestNewVerifierRejectsInvalidKeys(t *testing.T) {
	c := qt.New(t)
	for _, k := range []string{
		"", "short", strings.Repeat("x", 257), "sixteen-letters-\x01", "sixteen-léttersx", "with spaces inside",
	} {
		_, err := document.NewVerifier(k)
		c.Check(err, qt.ErrorIs, document.ErrInvalidKey, qt.Commentf("%q", k))
	}
}

func TestStampRoundTrip(t *testing.T) {
	c := qt.New(t)
	s := document.Stamp{
		EditID: "abc", Seq: 9, After: 12, Base: 100, By: "aiko", At: time.Date(2026, 12, 2, 3, 4, 5, 0, time.UTC),
	}
	value := document.AddStamp(s, []byte("[service]\n"))
	got, text := document.SplitStamp(value)
	c.Assert(got, qt.Equals, s)
	c.Assert(string(text), qt.Equals, "[service]\n")
	c.Assert(document.VersionAt(value, 13), qt.Equals, document.Version(113))
	c.Assert(document.RevisionOf(value, 113), qt.Equals, uint64(13))
	got, text = document.SplitStamp([]byte("[service]\n"))
	c.Assert(got, qt.Equals, document.Stamp{})
	c.Assert(string(text), qt.Equals, "[service]\n")
}

func ExampleDiff() {
	a := "[account \"hotel\"]\nrate = 50/s\nkey.spring = SCRAM-SHA-256$4096:x\n"
	b := "[account \"hotel\"]\nrate = 60/s\nkey.spring = SCRAM-SHA-256$4096:y\n"
	fmt.Print(document.Diff([]byte(a), []byte(b)))
	// Output:
	//   [account "hotel"]
	// - rate = 50/s
	// - key.spring = (not shown)
	// + rate = 60/s
	// + key.spring = (not shown)
}

func TestDiffLineCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := rapid.SliceOfN(rapid.SampledFrom([]string{"[a]", "x = 1", "y = 2", ""}), 0, 12)
		a, b := strings.Join(l.Draw(t, "a"), "\n"), strings.Join(l.Draw(t, "b"), "\n")
		if got := document.Diff([]byte(a), []byte(a)); got != "" {
			t.Fatalf("a text differs from itself:\n%s", got)
		}
		removed, added := 0, 0
		for l := range strings.Lines(document.Diff([]byte(a), []byte(b))) {
			switch l[0] {
			case '-':
				removed++
			case '+':
				added++
			}
		}
		if countLines(b)-countLines(a) != added-removed {
			t.Fatalf("%d lines removed and %d added between\n%s\n\nand\n\n%s", removed, added, a, b)
		}
	})
}

// countLines returns the number of lines of s that are not empty.
func countLines(s string) int {
	n := 0
	for l := range strings.SplitSeq(s, "\n") {
		if l != "" {
			n++
		}
	}
	return n
}

func FuzzParse(f *testing.F) {
	c := qt.New(f)
	f.Add(sampleDocument(c))
	f.Add("[service]\nname = a\n[instance \"b\"]\naddress = 1.2.3.4:5")
	f.Fuzz(func(t *testing.T, text string) {
		d, err := document.Parse([]byte(text), 1)
		if err != nil {
			return
		}
		reparsed, err := document.Parse(d.Format(), 1)
		if err != nil {
			t.Fatalf("the formatted document can't be parsed: %v\n%s", err, d.Format())
		}
		qt.New(t).Assert(reparsed, qt.DeepEquals, d)
	})
}

func FuzzSplitStamp(f *testing.F) {
	f.Add("; skylarkdeal edit=a seq=1 after=2 base=3 by=x at=2026-12-02T00:00:00Z\n[service]")
	f.Add("; skylarkdeal seq=-1 base=99999999999999999999")
	f.Fuzz(func(t *testing.T, value string) {
		s, text := document.SplitStamp([]byte(value))
		reparsed, rest := document.SplitStamp(document.AddStamp(s, text))
		if reparsed.Seq != s.Seq || reparsed.Base != s.Base || reparsed.After != s.After || string(rest) != string(text) {
			t.Fatalf("%+v and %q became %+v and %q", s, text, reparsed, rest)
		}
	})
}

func FuzzParseVerifier(f *testing.F) {
	f.Add("SCRAM-SHA-256$4096:c2FsdHNhbHQ=$a:b")
	f.Fuzz(func(t *testing.T, text string) {
		v, err := document.ParseVerifier(text)
		if err == nil && (len(v.StoredKey) != 32 || len(v.ServerKey) != 32 || v.Iterations < 4096) {
			t.Fatalf("accepted %q", text)
		}
	})
}

// Guards against locking out callers while a key is replaced. The server sends one salt
// during a login, so of two keys with different salts only one works. Such a document is
// rejected, and the error says how to make a verifier with the account's salt.
func TestKeysOfAnAccountShareTheirSalt(t *testing.T) {
	c := qt.New(t)
	text := "[service]\nname = orders\ndata-centres = obihiro\n" +
		"[instance \"a\"]\naddress = 10.0.0.1:5432\ndata-centre = obihiro\n" +
		"[account \"bakery\"]\nrate = 5/s\nkey.spring = %s\nkey.autumn = %s\n"
	salt := document.AccountSalt("orders", "bakery")
	spring, err := document.NewVerifierWithSalt("sample-spring-key", salt)
	c.Assert(err, qt.IsNil)
	autumn, err := document.NewVerifierWithSalt("sample-autumn-key", salt)
	c.Assert(err, qt.IsNil)
	_, err = document.Parse([]byte(fmt.Sprintf(text, spring, autumn)), 1)
	c.Assert(err, qt.IsNil)

	randomSalt, err := document.NewVerifier("sample-autumn-key")
	c.Assert(err, qt.IsNil)
	_, err = document.Parse([]byte(fmt.Sprintf(text, spring, randomSalt)), 1)
	want := `(?s).*:10: \[account "bakery"\] key.autumn: found a salt other than that of key.spring.*`
	c.Assert(err, qt.ErrorMatches, want)
	c.Assert(err.Error(), qt.Not(qt.Contains), randomSalt)
}

// Guards against an evacuation that leaves an instance in use, or that names a data centre
// without instances by mistake.
func TestEvacuatedDataCentre(t *testing.T) {
	c := qt.New(t)
	b, err := os.ReadFile(filepath.Join("..", "..", "docs", "sample", "orders.ini"))
	c.Assert(err, qt.IsNil)
	text := strings.Replace(string(b), "[instance \"a\"]", "evacuated = obihiro\n\n[instance \"a\"]", 1)
	d, err := document.Parse([]byte(text), 3)
	c.Assert(err, qt.IsNil)
	for _, i := range d.Instances {
		c.Check(i.Leaving, qt.Equals, i.DataCentre == "obihiro", qt.Commentf("%s", i.Name))
	}
	reparsed, err := document.Parse(d.Format(), 3)
	c.Assert(err, qt.IsNil)
	c.Assert(reparsed, qt.DeepEquals, d)
	_, err = document.Parse([]byte(strings.Replace(text, "\nevacuated = obihiro", "\nevacuated = nowhere", 1)), 3)
	c.Assert(err, qt.ErrorMatches, `(?s).*evacuated: found "nowhere", expected a data centre that has an instance.*`)
}
