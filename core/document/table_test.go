package document_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
)

// documentText returns a small document of a service that is told from others by its
// number of holders; none makes an invalid one.
func documentText(s fleet.Service, holders int) []byte {
	return fmt.Appendf(nil, "[service]\nname = %s\nholders = %d\ndata-centres = x\n"+
		"[instance \"a\"]\naddress = 10.0.0.1:1\ndata-centre = x\n", s, holders)
}

var start = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

func TestOfferVerdicts(t *testing.T) {
	c := qt.New(t)
	var table document.Documents
	for _, t := range []struct {
		version  document.Version
		text     []byte
		want     document.Verdict
		inEffect document.Version
	}{
		{5, documentText("a", 1), document.VerdictAdopted, 5},
		{5, documentText("a", 1), document.VerdictKnown, 5},
		{5, documentText("a", 2), document.VerdictConflict, 5},
		{4, documentText("a", 3), document.VerdictStale, 5},
		{7, documentText("a", 0), document.VerdictInvalid, 5},
		{7, documentText("a", 0), document.VerdictKnown, 5},
		{6, documentText("a", 4), document.VerdictAdopted, 6},
		{8, documentText("b", 1), document.VerdictInvalid, 6},
		{9, documentText("a", 5), document.VerdictAdopted, 9},
	} {
		v, err := table.Offer(document.Offer{Service: "a", Version: t.version, Text: t.text}, start)
		c.Check(v, qt.Equals, t.want, qt.Commentf("version %d", t.version))
		bad := t.want == document.VerdictInvalid || t.want == document.VerdictConflict
		c.Check(err != nil, qt.Equals, bad)
		h, _ := table.Get("a")
		c.Check(h.Document.Version, qt.Equals, t.inEffect)
	}
	c.Assert(table.Rejected(), qt.HasLen, 0)
}

// A key was revoked in version 9 while this host was cut off. Its owners chose
// cut-off = stop with 10 minutes, so that the key opens nothing here any longer
// than that; with serve the host goes on.
func TestStoppedWhenCutOff(t *testing.T) {
	c := qt.New(t)
	d := document.Document{CutOff: document.CutOffStop, CutOffAfter: 10 * time.Minute}
	c.Check(d.Stopped(start, start.Add(10*time.Minute)), qt.IsFalse)
	c.Check(d.Stopped(start, start.Add(10*time.Minute+1)), qt.IsTrue)
	c.Check(d.Stopped(time.Time{}, start), qt.IsTrue)
	d.CutOff = document.CutOffServe
	c.Check(d.Stopped(start, start.Add(time.Hour)), qt.IsFalse)
}

// simulation is a store and some hosts that hear of its changes in any order, twice
// or never, from the store, from each other, and after restarts.
type simulation struct {
	// versions are what the store has ever held, one service each line.
	versions []document.Offer
	hosts    []*document.Documents
	// highest is the highest version that each host has had in effect.
	highest []map[fleet.Service]document.Version
}

func (w *simulation) offer(t *rapid.T, host int, o document.Offer) {
	_, _ = w.hosts[host].Offer(o, start)
	for s := range w.highest[host] {
		w.check(t, host, s)
	}
	w.check(t, host, o.Service)
}

func (w *simulation) check(t *rapid.T, host int, s fleet.Service) {
	h, ok := w.hosts[host].Get(s)
	if !ok {
		if w.highest[host][s] > 0 {
			t.Fatalf("host %d lost service %s", host, s)
		}
		return
	}
	if h.Document.Version < w.highest[host][s] {
		t.Fatalf("host %d reverted service %s from %d to %d", host, s, w.highest[host][s], h.Document.Version)
	}
	if _, err := document.Parse(h.Text, h.Document.Version); err != nil {
		t.Fatalf("host %d has an invalid document in effect: %v", host, err)
	}
	w.highest[host][s] = h.Document.Version
}

// A user sees a revoked key work again on one host only: it had taken the
// change, then took an older version from a peer that was just back from a
// pause, or from a lagging member of the store.
func TestAdoptionNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 4
		w := &simulation{}
		for range hosts {
			w.hosts = append(w.hosts, &document.Documents{})
			w.highest = append(w.highest, map[fleet.Service]document.Version{})
		}
		host := rapid.IntRange(0, hosts-1)
		revision := uint64(1)
		t.Repeat(map[string]func(*rapid.T){
			"edit": func(t *rapid.T) {
				revision++
				s := rapid.SampledFrom([]fleet.Service{"a", "b"}).Draw(t, "service")
				w.versions = append(w.versions, document.Offer{
					Service: s, Version: document.Version(revision), From: "store",
					Text: documentText(s, rapid.IntRange(0, 3).Draw(t, "holders")),
				})
			},
			"reset": func(t *rapid.T) {
				revision = rapid.Uint64Range(1, revision).Draw(t, "revision")
			},
			"hear": func(t *rapid.T) {
				if len(w.versions) > 0 {
					w.offer(t, host.Draw(t, "host"), rapid.SampledFrom(w.versions).Draw(t, "version"))
				}
			},
			"digest": func(t *rapid.T) {
				a, b := host.Draw(t, "asker"), host.Draw(t, "peer")
				offers, _ := w.hosts[b].Missing(w.hosts[a].Known())
				for _, o := range offers {
					w.offer(t, a, o)
				}
			},
			"restart": func(t *rapid.T) {
				h := host.Draw(t, "host")
				w.hosts[h] = &document.Documents{}
				w.highest[h] = map[fleet.Service]document.Version{}
			},
		})
	})
}

// After any history, two rounds of digests over a ring of hosts leave all of them
// with the same knowledge, but for two texts under one version, which a reset of
// the store can make.
func TestDigestsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]*document.Documents, 4)
		for n := range hosts {
			hosts[n] = &document.Documents{}
		}
		for v := range rapid.IntRange(1, 12).Draw(t, "versions") {
			s := fleet.Service([]string{"a", "b", "c"}[v%3])
			o := document.Offer{
				Service: s, Version: document.Version(v + 1),
				Text: documentText(s, rapid.IntRange(0, 3).Draw(t, "holders")),
			}
			_, _ = hosts[rapid.IntRange(0, 3).Draw(t, "host")].Offer(o, start)
		}
		for range 2 {
			for n := range hosts {
				offers, _ := hosts[n].Missing(hosts[(n+1)%4].Known())
				for _, o := range offers {
					_, _ = hosts[(n+1)%4].Offer(o, start)
				}
			}
		}
		for n := range hosts {
			if hosts[n].Digest() != hosts[0].Digest() {
				t.Fatalf("host %d knows %v, host 0 %v", n, hosts[n].Known(), hosts[0].Known())
			}
			offers, wanted := hosts[n].Missing(hosts[0].Known())
			if len(offers)+len(wanted) > 0 {
				t.Fatalf("host %d has %v more and %v less than host 0", n, offers, wanted)
			}
		}
	})
}

func TestMissingReturnsOffersAndWanted(t *testing.T) {
	c := qt.New(t)
	var a, b document.Documents
	offer := func(t *document.Documents, s fleet.Service, v document.Version, holders int) {
		_, _ = t.Offer(document.Offer{Service: s, Version: v, Text: documentText(s, holders)}, start)
	}
	offer(&a, "x", 1, 1)
	offer(&a, "x", 2, 0)
	offer(&b, "x", 1, 1)
	offer(&b, "y", 3, 1)
	c.Assert(a.Digest(), qt.Not(qt.Equals), b.Digest())
	offers, wanted := a.Missing(b.Known())
	c.Assert(offers, qt.HasLen, 1)
	c.Assert(offers[0].Version, qt.Equals, document.Version(2))
	c.Assert(wanted, qt.DeepEquals, []fleet.Service{"y"})
}
