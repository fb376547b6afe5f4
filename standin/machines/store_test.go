package machines_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/standin/machines"
)

type page struct {
	Items      []machines.Item
	HasMore    bool
	CurrentRev uint64
}

func list(c *qt.C, s *httptest.Server, query string) page {
	r, err := http.Get(s.URL + "/-/kv-range?" + query)
	c.Assert(err, qt.IsNil)
	defer func() { _ = r.Body.Close() }()
	c.Assert(r.StatusCode, qt.Equals, http.StatusOK)
	var p page
	c.Assert(json.NewDecoder(r.Body).Decode(&p), qt.IsNil)
	return p
}

// Guards against a stand-in that lists more regularly than the store does: pages are no snapshot.
func TestEachPageIsAsOfItsOwnRevision(t *testing.T) {
	c := qt.New(t)
	store := machines.NewStore()
	store.PageItems = 2
	for _, k := range []string{"op/c", "op/a", "op/b", "servers/x"} {
		store.Put(k, "old")
	}
	s := httptest.NewServer(store.Handler("h1"))
	defer s.Close()
	first := list(c, s, "Prefix=op/")
	store.Put("op/c", "new")
	second := list(c, s, "Prefix=op/&after="+first.Items[1].Key)
	c.Check([]string{first.Items[0].Key, first.Items[1].Key}, qt.DeepEquals, []string{"op/a", "op/b"})
	c.Check(first.HasMore, qt.IsTrue)
	c.Check(second.HasMore, qt.IsFalse)
	c.Check(second.Items, qt.HasLen, 1)
	c.Check(string(second.Items[0].Value), qt.Equals, "new")
	c.Check(second.CurrentRev, qt.Equals, first.CurrentRev+1)
}

// Guards against a fault of the store for one host that concerns others, or calls other than those
// that it is about.
func TestFaultsOfTheStoreForOneHost(t *testing.T) {
	c := qt.New(t)
	store := machines.NewStore()
	store.Put("op/config", "old")
	one, other := httptest.NewServer(store.Handler("h1")), httptest.NewServer(store.Handler("h2"))
	defer one.Close()
	defer other.Close()
	get := func(s *httptest.Server, call string) error {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL+"/-/"+call, nil)
		c.Assert(err, qt.IsNil)
		a, err := http.DefaultClient.Do(r)
		if err == nil {
			_ = a.Body.Close()
		}
		return err
	}
	for _, x := range []struct {
		fault          machines.StoreFault
		lists, watches bool
	}{
		{machines.StoreDeaf, true, false}, {machines.StoreResets, false, false}, {machines.StoreSilent, false, false},
	} {
		store.SetFault("h1", x.fault)
		c.Check(get(one, "kv-range?Prefix=op/") == nil, qt.Equals, x.lists, qt.Commentf("%s", x.fault))
		c.Check(get(one, "kv-watch?Prefix=op/&after=0&WaitMs=10") == nil, qt.Equals, x.watches, qt.Commentf("%s", x.fault))
		c.Check(get(other, "kv-watch?Prefix=op/&after=0&WaitMs=10"), qt.IsNil)
	}
}
