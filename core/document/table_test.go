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

// documentText returns a small document of service s. holders tells the documents of one
// service apart; 0 makes an invalid document.
func documentText(s fleet.Service, holders int) []byte {
	return fmt.Appendf(nil, "[service]\nname = %s\nholders = %d\ndata-centres = x\n"+
		"[instance \"a\"]\naddress = 10.0.0.1:1\ndata-centre = x\n", s, holders)
}

var start = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

func TestOfferVerdicts(t *testing.T) {
	c := qt.New(t)
	var documents document.Documents
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
		v, err := documents.Offer(document.Offer{Service: "a", Version: t.version, Text: t.text}, start)
		c.Check(v, qt.Equals, t.want, qt.Commentf("version %d", t.version))
		wantErr := t.want == document.VerdictInvalid || t.want == document.VerdictConflict
		c.Check(err != nil, qt.Equals, wantErr)
		h, _ := documents.Get("a")
		c.Check(h.Document.Version, qt.Equals, t.inEffect)
	}
	c.Assert(documents.Rejected(), qt.HasLen, 0)
}

// Guards against a revoked key that goes on working on a host that is cut off. With
// cut-off = stop and a cut-off-after of 10 minutes, the host stops serving once its last
// confirmation is older than 10 minutes. With cut-off = serve it goes on serving.
func TestStoppedWhenCutOff(t *testing.T) {
	c := qt.New(t)
	d := document.Document{CutOff: document.CutOffStop, CutOffAfter: 10 * time.Minute}
	c.Check(d.Stopped(start, start.Add(10*time.Minute)), qt.IsFalse)
	c.Check(d.Stopped(start, start.Add(10*time.Minute+1)), qt.IsTrue)
	c.Check(d.Stopped(time.Time{}, start), qt.IsTrue)
	d.CutOff = document.CutOffServe
	c.Check(d.Stopped(start, start.Add(time.Hour)), qt.IsFalse)
}

// simulation is a store and several hosts. The hosts receive the versions in the store in
// any order, repeatedly or never, from the store and from each other, and they restart.
type simulation struct {
	// versions are all versions that the store has ever held, of all services.
	versions []document.Offer
	hosts    []*document.Documents
	// highest is, for each host, the highest version of each service that it has had in effect
	// since its last restart.
	highest []map[fleet.Service]document.Version
}

func (sim *simulation) offer(t *rapid.T, host int, o document.Offer) {
	_, _ = sim.hosts[host].Offer(o, start)
	for s := range sim.highest[host] {
		sim.check(t, host, s)
	}
	sim.check(t, host, o.Service)
}

func (sim *simulation) check(t *rapid.T, host int, s fleet.Service) {
	h, ok := sim.hosts[host].Get(s)
	if !ok {
		if sim.highest[host][s] > 0 {
			t.Fatalf("host %d lost service %s", host, s)
		}
		return
	}
	if h.Document.Version < sim.highest[host][s] {
		t.Fatalf("host %d reverted service %s from %d to %d", host, s, sim.highest[host][s], h.Document.Version)
	}
	if _, err := document.Parse(h.Text, h.Document.Version); err != nil {
		t.Fatalf("host %d has an invalid document in effect: %v", host, err)
	}
	sim.highest[host][s] = h.Document.Version
}

// Guards against a host that adopts a version and later reverts to an older one, so that a
// revoked key works again on this host. The older version comes from a peer that was
// paused, or from a lagging member of the store.
func TestAdoptionNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 4
		sim := &simulation{}
		for range hosts {
			sim.hosts = append(sim.hosts, &document.Documents{})
			sim.highest = append(sim.highest, map[fleet.Service]document.Version{})
		}
		host := rapid.IntRange(0, hosts-1)
		revision := uint64(1)
		t.Repeat(map[string]func(*rapid.T){
			"edit": func(t *rapid.T) {
				revision++
				s := rapid.SampledFrom([]fleet.Service{"a", "b"}).Draw(t, "service")
				sim.versions = append(sim.versions, document.Offer{
					Service: s, Version: document.Version(revision), From: "store",
					Text: documentText(s, rapid.IntRange(0, 3).Draw(t, "holders")),
				})
			},
			"reset": func(t *rapid.T) {
				revision = rapid.Uint64Range(1, revision).Draw(t, "revision")
			},
			"hear": func(t *rapid.T) {
				if len(sim.versions) > 0 {
					sim.offer(t, host.Draw(t, "host"), rapid.SampledFrom(sim.versions).Draw(t, "version"))
				}
			},
			"digest": func(t *rapid.T) {
				a, b := host.Draw(t, "asker"), host.Draw(t, "peer")
				offers, _ := sim.hosts[b].Missing(sim.hosts[a].Known())
				for _, o := range offers {
					sim.offer(t, a, o)
				}
			},
			"restart": func(t *rapid.T) {
				h := host.Draw(t, "host")
				sim.hosts[h] = &document.Documents{}
				sim.highest[h] = map[fleet.Service]document.Version{}
			},
		})
	})
}

// Checks that two rounds of digests over a ring of hosts leave all hosts with the same
// known versions, whichever versions each had received. Two texts with the same version,
// which a reset of the store can cause, are not covered.
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
