package document

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkdeal/core/fleet"
)

// Source is where a version has come from, such as "store" or "host h2".
type Source string

// Offer is one version of a document that has come to a host.
type Offer struct {
	Service fleet.Service
	Version Version
	Text    []byte
	From    Source
}

// ActiveDocument is a document in effect.
type ActiveDocument struct {
	Document *Document
	Text     []byte
	Since    time.Time
	From     Source
}

// Rejected is a newer version that isn't in effect because it is invalid.
type Rejected struct {
	Offer
	At  time.Time
	Err error
}

// Verdict is what has become of an offer.
type Verdict string

// The verdicts.
const (
	// VerdictAdopted puts the version in effect.
	VerdictAdopted Verdict = "adopted"
	// VerdictKnown is for a version that is in effect, or rejected, already.
	VerdictKnown Verdict = "known"
	// VerdictStale is for a version older than the one in effect.
	VerdictStale Verdict = "stale"
	// VerdictInvalid is for a newer version with mistakes.
	VerdictInvalid Verdict = "invalid"
	// VerdictConflict is for another text under the version in effect.
	VerdictConflict Verdict = "conflict"
)

// Documents holds the documents in effect on one host and decides which versions
// come into effect. The zero Documents is empty.
//
// A version replaces only a lower one, so no order in which versions arrive,
// from a stale peer, a store that answers from the past or one that was reset,
// takes a host back. A version with mistakes changes nothing but Rejected: the
// last good one goes on.
type Documents struct {
	held     map[fleet.Service]ActiveDocument
	rejected map[fleet.Service]Rejected
	// confirmed is when all that is held was last known to be the newest.
	confirmed time.Time
}

// Offer decides on a version. The error says why one is invalid or in conflict.
func (t *Documents) Offer(o Offer, now time.Time) (Verdict, error) {
	h, ok := t.held[o.Service]
	if ok && o.Version < h.Document.Version {
		return VerdictStale, nil
	}
	if ok && o.Version == h.Document.Version {
		if bytes.Equal(o.Text, h.Text) {
			return VerdictKnown, nil
		}
		return VerdictConflict, fmt.Errorf("service %s: version %d from %s differs from the one in effect, from %s",
			o.Service, o.Version, o.From, h.From)
	}
	if r, ok := t.rejected[o.Service]; ok && o.Version == r.Version && bytes.Equal(o.Text, r.Text) {
		return VerdictKnown, nil
	}
	d, err := Parse(o.Text, o.Version)
	if err == nil && d.Service != o.Service {
		err = fmt.Errorf("the document of service %s states the name %s", o.Service, d.Service)
	}
	if err != nil {
		t.reject(o, now, err)
		return VerdictInvalid, err
	}
	t.adopt(o, d, now)
	return VerdictAdopted, nil
}

func (t *Documents) adopt(o Offer, d *Document, now time.Time) {
	if t.held == nil {
		t.held = map[fleet.Service]ActiveDocument{}
	}
	t.held[o.Service] = ActiveDocument{Document: d, Text: o.Text, Since: now, From: o.From}
	if t.rejected[o.Service].Version <= o.Version {
		delete(t.rejected, o.Service)
	}
}

// reject keeps the newest invalid version, for reports and for other hosts.
func (t *Documents) reject(o Offer, now time.Time, err error) {
	if t.rejected == nil {
		t.rejected = map[fleet.Service]Rejected{}
	}
	if r, ok := t.rejected[o.Service]; !ok || o.Version > r.Version {
		t.rejected[o.Service] = Rejected{Offer: o, At: now, Err: err}
	}
}

// Get returns the document of a service that is in effect.
func (t *Documents) Get(s fleet.Service) (ActiveDocument, bool) {
	h, ok := t.held[s]
	return h, ok
}

// All returns the documents in effect, by service.
func (t *Documents) All() []ActiveDocument {
	return slices.SortedFunc(maps.Values(t.held), func(a, b ActiveDocument) int {
		return cmp.Compare(a.Document.Service, b.Document.Service)
	})
}

// Rejected returns the newer versions that are invalid, by service.
func (t *Documents) Rejected() []Rejected {
	return slices.SortedFunc(maps.Values(t.rejected), func(a, b Rejected) int {
		return cmp.Compare(a.Service, b.Service)
	})
}

// Confirm records that at that time all that is held was the newest.
func (t *Documents) Confirm(at time.Time) {
	if at.After(t.confirmed) {
		t.confirmed = at
	}
}

// Confirmed returns the time of the last confirmation, zero if there was none.
func (t *Documents) Confirmed() time.Time {
	return t.confirmed
}

// KnownVersions is how far a host's knowledge of one document reaches.
type KnownVersions struct {
	// Version is in effect, zero if none is.
	Version Version
	// Seen is the newest that has come, valid or not.
	Seen Version
}

// Known returns how far the knowledge of each document reaches.
func (t *Documents) Known() map[fleet.Service]KnownVersions {
	k := make(map[fleet.Service]KnownVersions, len(t.held))
	for s, h := range t.held {
		k[s] = KnownVersions{Version: h.Document.Version, Seen: h.Document.Version}
	}
	for s, r := range t.rejected {
		k[s] = KnownVersions{Version: k[s].Version, Seen: max(k[s].Seen, r.Version)}
	}
	return k
}

// Digest returns one number for all that Known tells. Hosts with equal sums know
// the same, but for the odds of a hash of 64 bits.
func (t *Documents) Digest() uint64 {
	sum := uint64(0)
	for s, k := range t.Known() {
		b := binary.BigEndian.AppendUint64([]byte(s), uint64(k.Version))
		sum ^= xxhash.Sum64(binary.BigEndian.AppendUint64(b, uint64(k.Seen)))
	}
	return sum
}

// Revision returns the highest revision of the store that is known from the
// versions that have come.
func (t *Documents) Revision() uint64 {
	r := uint64(0)
	for _, h := range t.held {
		r = max(r, RevisionOf(h.Text, h.Document.Version))
	}
	for _, j := range t.rejected {
		r = max(r, RevisionOf(j.Text, j.Version))
	}
	return r
}

// Missing returns what a host lacks whose knowledge is other, and the services
// of which that host has more.
func (t *Documents) Missing(other map[fleet.Service]KnownVersions) (offers []Offer, wanted []fleet.Service) {
	mine := t.Known()
	for s := range other {
		if other[s].Version > mine[s].Version || other[s].Seen > mine[s].Seen {
			wanted = append(wanted, s)
		}
	}
	for s, k := range mine {
		if k.Version > other[s].Version {
			offers = append(offers, t.offer(s))
		}
		if r, ok := t.rejected[s]; ok && r.Version > other[s].Seen {
			offers = append(offers, r.Offer)
		}
	}
	slices.Sort(wanted)
	slices.SortFunc(offers, func(a, b Offer) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return offers, wanted
}

// Offers returns all that is known of the services.
func (t *Documents) Offers(services []fleet.Service) []Offer {
	var l []Offer
	for _, s := range services {
		if _, ok := t.held[s]; ok {
			l = append(l, t.offer(s))
		}
		if r, ok := t.rejected[s]; ok {
			l = append(l, r.Offer)
		}
	}
	return l
}

func (t *Documents) offer(s fleet.Service) Offer {
	h := t.held[s]
	return Offer{Service: s, Version: h.Document.Version, Text: h.Text, From: h.From}
}

// Stopped reports whether d is no longer to be served, having last been
// confirmed at that time.
//
// A host that is cut off can't learn that a key was revoked. Whether it goes
// on with what it has, or stops after a while, is for the owners of the service
// to weigh: lost work against a revoked key that still opens the door.
func (d *Document) Stopped(confirmed, now time.Time) bool {
	return d.CutOff == CutOffStop && now.Sub(confirmed) > d.CutOffAfter
}
