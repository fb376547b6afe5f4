package serve_test

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/settings"
	"skylarkdeal/internal/serve"
	"skylarkdeal/io/platform"
	"skylarkdeal/standin/store"
)

// Two fleets share the platform's store, each under a prefix of its own. A host that
// wrote anywhere else would be taken for a member, or for the home of an account, by
// the other fleet.
func TestHostKeepsToItsPrefix(t *testing.T) {
	c := qt.New(t)
	s, err := store.Start(store.Config{})
	c.Assert(err, qt.IsNil)
	defer s.Close()
	cfg, err := settings.Parse("test", []byte(strings.Join([]string{
		"[host]", "name = o1", "data-centre = obihiro",
		"[caller]", "address = 127.0.0.1:1", "[peer]", "address = 127.0.0.1:2",
		"[operator]", "address = 127.0.0.1:3", "[store]", "endpoints = " + s.Addr(), "prefix = /other/",
	}, "\n")))
	c.Assert(err, qt.IsNil)
	cfg.Caller.Address, cfg.Peer.Address, cfg.Operator.Address = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	h, err := serve.Start(cfg, nil)
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(h.Close(), qt.IsNil) }()

	client := platform.Dial(platform.Config{Endpoints: []string{s.Addr()}, Patient: true})
	defer client.Close()
	keys := func(prefix string) []string {
		l, _, err := client.List(context.Background(), prefix)
		c.Assert(err, qt.IsNil)
		var out []string
		for _, e := range l {
			out = append(out, e.Key)
		}
		return out
	}
	wrote := func(part string) bool {
		return strings.Contains(strings.Join(keys("/other/"), " "), part)
	}
	for n := 0; !wrote("/other/hosts/o1") || !wrote("/other/homes/obihiro"); n++ {
		if n == 2000 {
			c.Fatalf("only %v", keys("/"))
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(keys("/skylarkdeal/"), qt.HasLen, 0)
}
