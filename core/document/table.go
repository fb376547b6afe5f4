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

// RejectedOffer is a newer version that isn't in effect because it is invalid.
type RejectedOffer struct {
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
	active   map[fleet.Service]ActiveDocument
	rejected map[fleet.Service]RejectedOffer
	// confirmedAt is when all that is held was last known to be the newest.
	confirmedAt time.Time
}

// Offer decides on a version. The error says why one is invalid or in conflict.
func (d *Documents) Offer(o Offer, now time.Time) (Verdict, error) {
	current, ok := d.active[o.Service]
	if ok && o.Version < current.Document.Version {
		return VerdictStale, nil
	}
	if ok && o.Version == current.Document.Version {
		if bytes.Equal(o.Text, current.Text) {
			return VerdictKnown, nil
		}
		return VerdictConflict, fmt.Errorf("service %s: version %d from %s differs from the one in effect, from %s",
			o.Service, o.Version, o.From, current.From)
	}
	if r, ok := d.rejected[o.Service]; ok && o.Version == r.Version && bytes.Equal(o.Text, r.Text) {
		return VerdictKnown, nil
	}
	doc, err := Parse(o.Text, o.Version)
	if err == nil && doc.Service != o.Service {
		err = fmt.Errorf("the document of service %s states the name %s", o.Service, doc.Service)
	}
	if err != nil {
		d.reject(o, now, err)
		return VerdictInvalid, err
	}
	d.adopt(o, doc, now)
	return VerdictAdopted, nil
}

func (d *Documents) adopt(o Offer, doc *Document, now time.Time) {
	if d.active == nil {
		d.active = map[fleet.Service]ActiveDocument{}
	}
	d.active[o.Service] = ActiveDocument{Document: doc, Text: o.Text, Since: now, From: o.From}
	if d.rejected[o.Service].Version <= o.Version {
		delete(d.rejected, o.Service)
	}
}

// reject keeps the newest invalid version, for reports and for other hosts.
func (d *Documents) reject(o Offer, now time.Time, err error) {
	if d.rejected == nil {
		d.rejected = map[fleet.Service]RejectedOffer{}
	}
	if r, ok := d.rejected[o.Service]; !ok || o.Version > r.Version {
		d.rejected[o.Service] = RejectedOffer{Offer: o, At: now, Err: err}
	}
}

// Get returns the document of a service that is in effect.
func (d *Documents) Get(s fleet.Service) (ActiveDocument, bool) {
	a, ok := d.active[s]
	return a, ok
}

// All returns the documents in effect, by service.
func (d *Documents) All() []ActiveDocument {
	return slices.SortedFunc(maps.Values(d.active), func(a, b ActiveDocument) int {
		return cmp.Compare(a.Document.Service, b.Document.Service)
	})
}

// Rejected returns the newer versions that are invalid, by service.
func (d *Documents) Rejected() []RejectedOffer {
	return slices.SortedFunc(maps.Values(d.rejected), func(a, b RejectedOffer) int {
		return cmp.Compare(a.Service, b.Service)
	})
}

// Confirm records that at that time all that is held was the newest.
func (d *Documents) Confirm(at time.Time) {
	if at.After(d.confirmedAt) {
		d.confirmedAt = at
	}
}

// Confirmed returns the time of the last confirmation, zero if there was none.
func (d *Documents) Confirmed() time.Time {
	return d.confirmedAt
}

// KnownVersions is how far a host's knowledge of one document reaches.
type KnownVersions struct {
	// Version is in effect, zero if none is.
	Version Version
	// Seen is the newest that has come, valid or not.
	Seen Version
}

// Known returns how far the knowledge of each document reaches.
func (d *Documents) Known() map[fleet.Service]KnownVersions {
	k := make(map[fleet.Service]KnownVersions, len(d.active))
	for s, a := range d.active {
		k[s] = KnownVersions{Version: a.Document.Version, Seen: a.Document.Version}
	}
	for s, r := range d.rejected {
		k[s] = KnownVersions{Version: k[s].Version, Seen: max(k[s].Seen, r.Version)}
	}
	return k
}

// Digest returns one number for all that Known tells. Hosts with equal sums know
// the same, but for the odds of a hash of 64 bits.
func (d *Documents) Digest() uint64 {
	sum := uint64(0)
	for s, k := range d.Known() {
		b := binary.BigEndian.AppendUint64([]byte(s), uint64(k.Version))
		sum ^= xxhash.Sum64(binary.BigEndian.AppendUint64(b, uint64(k.Seen)))
	}
	return sum
}

// Revision returns the highest revision of the store that is known from the
// versions that have come.
func (d *Documents) Revision() uint64 {
	highest := uint64(0)
	for _, a := range d.active {
		highest = max(highest, RevisionOf(a.Text, a.Document.Version))
	}
	for _, r := range d.rejected {
		highest = max(highest, RevisionOf(r.Text, r.Version))
	}
	return highest
}

// Missing returns what a host lacks whose knowledge is other, and the services
// of which that host has more.
func (d *Documents) Missing(known map[fleet.Service]KnownVersions) (offers []Offer, wanted []fleet.Service) {
	own := d.Known()
	for s := range known {
		if known[s].Version > own[s].Version || known[s].Seen > own[s].Seen {
			wanted = append(wanted, s)
		}
	}
	for s, k := range own {
		if k.Version > known[s].Version {
			offers = append(offers, d.offer(s))
		}
		if r, ok := d.rejected[s]; ok && r.Version > known[s].Seen {
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
func (d *Documents) Offers(services []fleet.Service) []Offer {
	var l []Offer
	for _, s := range services {
		if _, ok := d.active[s]; ok {
			l = append(l, d.offer(s))
		}
		if r, ok := d.rejected[s]; ok {
			l = append(l, r.Offer)
		}
	}
	return l
}

func (d *Documents) offer(s fleet.Service) Offer {
	a := d.active[s]
	return Offer{Service: s, Version: a.Document.Version, Text: a.Text, From: a.From}
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
