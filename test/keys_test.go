package test_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5"

	"skylarkdeal/core/document"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/internal/localfleet"
)

// setKeys gives the account these keys and no others. All get the salt of the
// account's first one, without which they could not work side by side.
func setKeys(t testing.TB, d *document.Document, n fleet.Account, keys ...string) {
	t.Helper()
	for i := range d.Accounts {
		a := &d.Accounts[i]
		if a.Name != n {
			continue
		}
		old, err := document.ParseVerifier(a.Keys[0].Verifier)
		qt.Assert(t, err, qt.IsNil)
		a.Keys = nil
		for k, key := range keys {
			v, err := document.NewVerifierWithSalt(key, old.Salt)
			qt.Assert(t, err, qt.IsNil)
			a.Keys = append(a.Keys, document.Key{Name: fmt.Sprintf("k%d", k), Verifier: v})
		}
	}
}

// inEffect returns the version of the group's document that h has in effect.
func (g *group) inEffect(h *host) (document.Version, error) {
	var s struct {
		Documents struct {
			Documents []struct {
				Service fleet.Service    `json:"service"`
				Version document.Version `json:"version"`
			} `json:"documents"`
		} `json:"documents"`
	}
	if err := httpGet("http://"+h.operator+"/state?section=documents", &s); err != nil {
		return 0, err
	}
	for _, d := range s.Documents.Documents {
		if d.Service == g.Name {
			return d.Version, nil
		}
	}
	return 0, nil
}

// everywhere waits until all hosts have that version in effect.
func (g *group) everywhere(t testing.TB, v document.Version) {
	t.Helper()
	eventually(t, func() error {
		for _, h := range g.fleet.hosts {
			got, err := g.inEffect(h)
			if err != nil {
				return err
			}
			if got != v {
				return fmt.Errorf("%s has version %d in effect, want %d", h.name, got, v)
			}
		}
		return nil
	})
}

// openEverywhere opens two sessions on each host, one of them with an open
// transaction.
func (g *group) openEverywhere(ctx context.Context, t testing.TB, a localfleet.Account) []*pgx.Conn {
	t.Helper()
	var all []*pgx.Conn
	for _, h := range g.fleet.hosts {
		for k := range 2 {
			c, err := g.connectAs(ctx, h, a, "")
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(func() { closeSession(c) })
			_, err = c.Exec(ctx, []string{"get stock", "begin"}[k])
			qt.Assert(t, err, qt.IsNil)
			all = append(all, c)
		}
	}
	return all
}

// assertEnded waits until each session is told that its key is revoked, or
// finds its connection closed after that.
func assertEnded(ctx context.Context, t testing.TB, all []*pgx.Conn) {
	t.Helper()
	for _, c := range all {
		eventually(t, func() error {
			_, err := c.Exec(ctx, "get stock")
			switch {
			case err == nil:
				return fmt.Errorf("a session with a revoked key is served")
			case codeOf(err) == failure.CodeKeyRevoked, c.IsClosed():
				return nil
			}
			return err
		})
	}
}

// assertKey waits until every host accepts the key, or refuses it.
func (g *group) assertKey(ctx context.Context, t testing.TB, a localfleet.Account, accepted bool) {
	t.Helper()
	for _, h := range g.fleet.hosts {
		eventually(t, func() error {
			c, err := g.connectAs(ctx, h, a, "")
			switch {
			case err == nil && accepted:
				closeSession(c)
				return nil
			case err == nil:
				closeSession(c)
				return fmt.Errorf("%s accepts a revoked key", h.name)
			case !accepted && codeOf(err) == failure.CodeBadKey:
				return nil
			}
			return fmt.Errorf("%s: %w", h.name, err)
		})
	}
}

// A bakery replaces its key during business hours: the new one is added beside
// the old one, the bakery's clients change over, the old one is taken out. At no
// moment is a client with a key that is listed turned away, and sessions opened
// with the old key end everywhere once it is out.
func TestKeyIsRolledOverWithoutAGap(t *testing.T) {
	f := sharedFleet(t)
	g := f.addGroup(t, "rollover")
	ctx := testContext(t)
	old, next := g.Accounts[1], g.Accounts[1]
	next.Key = "the-next-key-of-the-bakery"
	opened := g.openEverywhere(ctx, t, old)

	g.everywhere(t, g.edit(t, func(d *document.Document) { setKeys(t, d, old.Name, old.Key, next.Key) }))
	g.assertKey(ctx, t, old, true)
	g.assertKey(ctx, t, next, true)
	for _, c := range opened {
		_, err := c.Exec(ctx, "get stock")
		qt.Assert(t, err, qt.IsNil)
	}
	kept := g.openEverywhere(ctx, t, next)

	g.everywhere(t, g.edit(t, func(d *document.Document) { setKeys(t, d, old.Name, next.Key) }))
	assertEnded(ctx, t, opened)
	g.assertKey(ctx, t, old, false)
	for _, c := range kept {
		_, err := c.Exec(ctx, "get stock")
		qt.Assert(t, err, qt.IsNil)
	}
}

// A key is revoked because it has leaked, and as soon as one host has the edit
// the store goes down. The others learn from their peers: the sessions that were
// opened with the key end on every host, none is opened with it any more, and
// the other account's sessions go on.
func TestKeyIsRevokedWhileTheStoreIsDown(t *testing.T) {
	f := startFleet(t, 4)
	g := f.addGroup(t, "withdrawn")
	ctx := testContext(t)
	leaked := g.Accounts[1]
	opened := g.openEverywhere(ctx, t, leaked)
	others := g.openEverywhere(ctx, t, g.Accounts[0])
	v := g.edit(t, func(d *document.Document) { setKeys(t, d, leaked.Name, "a-key-that-has-not-leaked") })
	eventually(t, func() error {
		for _, h := range f.hosts {
			if got, err := g.inEffect(h); err == nil && got == v {
				return nil
			}
		}
		return fmt.Errorf("no host has version %d", v)
	})
	f.storeFault(t, "down=true")
	g.everywhere(t, v)
	assertEnded(ctx, t, opened)
	g.assertKey(ctx, t, leaked, false)
	for _, c := range others {
		_, err := c.Exec(ctx, "get stock")
		qt.Assert(t, err, qt.IsNil)
	}
}
