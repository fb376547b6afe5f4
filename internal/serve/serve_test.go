package serve_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/settings"
	"skylarkdeal/internal/serve"
	"skylarkdeal/io/etcd"
	"skylarkdeal/standin/store"
)

// start runs a host before a store of its own; lines are of the [store] section.
func start(c *qt.C, lines ...string) (*serve.Host, *etcd.Store) {
	s, err := store.Start(store.Config{})
	c.Assert(err, qt.IsNil)
	c.Cleanup(s.Close)
	text := append([]string{
		"[host]", "name = o1", "data-centre = obihiro",
		"[caller]", "address = 127.0.0.1:1", "[peer]", "address = 127.0.0.1:2",
		"[operator]", "address = 127.0.0.1:3", "[store]", "endpoints = " + s.Addr(),
	}, lines...)
	cfg, err := settings.Parse("test", []byte(strings.Join(text, "\n")))
	c.Assert(err, qt.IsNil)
	cfg.Caller.Address, cfg.Peer.Address, cfg.Operator.Address = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	h, err := serve.Start(cfg, nil)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(h.Close(), qt.IsNil) })
	client := etcd.Dial(etcd.Config{Endpoints: []string{s.Addr()}, Patient: true})
	c.Cleanup(client.Close)
	return h, client
}

// The platform marks a host as leaving in its list, some time before it ends it. The
// host hears of it there, and its duties go to others while it still runs.
func TestPlatformListMarksAHostAsLeaving(t *testing.T) {
	c := qt.New(t)
	h, client := start(c, "host-list = /platform/hosts")
	list := `[{"host": "o1", "data-centre": "obihiro", "peer": "127.0.0.1:2", "leaving": true}]`
	c.Assert(client.Put(context.Background(), "/platform/hosts", []byte(list), 0), qt.IsNil)
	leaving := func() bool {
		r, err := http.Get("http://" + h.OperatorAddr() + "/state?section=members")
		c.Assert(err, qt.IsNil)
		defer r.Body.Close()
		var s struct {
			Members struct {
				Members []fleet.Member `json:"members"`
			} `json:"members"`
		}
		c.Assert(json.NewDecoder(r.Body).Decode(&s), qt.IsNil)
		return len(s.Members.Members) == 1 && s.Members.Members[0].Leaving
	}
	for n := 0; !leaving(); n++ {
		if n == 2000 {
			c.Fatal("the host isn't leaving")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Two fleets share the platform's store, each under a prefix of its own. A host that
// wrote anywhere else would be taken for a member, or for the home of an account, by
// the other fleet.
func TestHostKeepsToItsPrefix(t *testing.T) {
	c := qt.New(t)
	_, client := start(c, "prefix = /other/")
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
