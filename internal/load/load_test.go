package load_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/internal/load"
	"skylarkdeal/internal/load/check"
	"skylarkdeal/standin/ledger"
)

const service fleet.Service = "orders-obihiro"

// group starts a group of one instance, which takes a host's place.
func group(c *qt.C) (*ledger.Group, string) {
	g, err := ledger.Start(ledger.Config{Service: service, Instances: []ledger.InstanceConfig{{Name: "a", Slots: 2}}})
	c.Assert(err, qt.IsNil)
	c.Cleanup(g.Close)
	s := httptest.NewServer(g.Handler())
	c.Cleanup(s.Close)
	return g, s.URL
}

func config(g *ledger.Group, record string) load.Config {
	return load.Config{
		Hosts: []string{g.Address("a")}, Profile: load.Tokachi().Only(service).Scale(0.2),
		Duration: 700 * time.Millisecond, Seed: 1,
		Records: map[fleet.Service]string{service: record + "/ledger"},
	}
}

func TestRunAgainstOneInstance(t *testing.T) {
	c := qt.New(t)
	g, url := group(c)
	cfg := config(g, url)
	cfg.Plan = []load.Fault{{Name: "lose answers", At: 300 * time.Millisecond,
		URL: url + "/fault?instance=primary&kind=lose&for=100ms"}}
	r, err := load.Run(context.Background(), cfg)
	c.Assert(err, qt.IsNil)
	c.Check(r.Breaches, qt.HasLen, 0)
	c.Check(r.Measures.Writes > 0 && r.Measures.Reads > 0, qt.IsTrue)
	c.Check(r.Faults, qt.HasLen, 1)
	c.Check(r.Faults[0].Error, qt.Equals, "")
	last := r.Measures.Accounts[len(r.Measures.Accounts)-1]
	c.Check(last.Account, qt.Equals, load.Ticker)
	c.Check(last.Served > 0, qt.IsTrue)
	var table strings.Builder
	c.Assert(r.WriteTable(&table), qt.IsNil)
	c.Check(table.String(), qt.Contains, "worst-served account")
}

// The log of another group stands for a primary that lost all that it had
// acknowledged.
func TestRunFindsLostWrites(t *testing.T) {
	c := qt.New(t)
	g, _ := group(c)
	_, other := group(c)
	r, err := load.Run(context.Background(), config(g, other))
	c.Assert(err, qt.IsNil)
	c.Assert(r.Broken(), qt.IsTrue)
	c.Check(r.Breaches[0].Invariant, qt.Equals, check.NothingLost)
}

func TestParsePlan(t *testing.T) {
	c := qt.New(t)
	plan, err := load.ParsePlan([]byte(
		"[b]\nat = 3s\nurl = http://x/fault\nevery = 2s\ntimes = 2\n[a]\nat = 4s\nurl = http://y/\n"))
	c.Assert(err, qt.IsNil)
	c.Check(plan, qt.DeepEquals, []load.Fault{
		{Name: "b", At: 3 * time.Second, URL: "http://x/fault"}, {Name: "a", At: 4 * time.Second, URL: "http://y/"},
		{Name: "b", At: 5 * time.Second, URL: "http://x/fault"},
	})
	for _, bad := range []string{"[a]\nat = 3\nurl = x", "[a]\nat = 3s", "[a]\nat = 3s\nurl = x\nwhen = 4s"} {
		_, err := load.ParsePlan([]byte(bad))
		c.Check(err, qt.IsNotNil, qt.Commentf("%s", bad))
	}
}

// The documents of a profile are accepted by hosts.
func TestDocumentsOfProfiles(t *testing.T) {
	c := qt.New(t)
	for _, p := range []load.Profile{load.Tokachi(), load.Vinkambaris()} {
		d, err := p.Document(p.Services[0], []document.Instance{{Name: "a", Address: "127.0.0.1:1",
			DataCentre: p.DataCentres[0], Slots: 2, Connections: p.Connections}})
		c.Assert(err, qt.IsNil)
		got, err := document.Parse(d.Format(), 1)
		c.Assert(err, qt.IsNil)
		c.Check(got.Accounts, qt.HasLen, 9)
	}
}
