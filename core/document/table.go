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

// Source is where a version was received from, such as "store" or "host h2".
type Source string

// Offer is one version of a document that a host has received.
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

// Verdict is the outcome of an offer.
type Verdict string

// The outcomes of an offer.
const (
	// VerdictAdopted means that the version is now in effect.
	VerdictAdopted Verdict = "adopted"
	// VerdictKnown means that the version was already in effect or already rejected.
	VerdictKnown Verdict = "known"
	// VerdictStale means that the version is older than the one in effect.
	VerdictStale Verdict = "stale"
	// VerdictInvalid means that the version is newer, but has mistakes.
	VerdictInvalid Verdict = "invalid"
	// VerdictConflict means that the version is the one in effect, with another text.
	VerdictConflict Verdict = "conflict"
)

// Documents holds the documents in effect on one host and decides which versions
// come into effect. The zero Documents is empty.
//
// A version replaces only a lower one, so a host never reverts to an older version,
// in whatever order versions arrive: from a stale peer, from a store that returns
// old data, or from a store that was reset. An invalid version changes nothing but
// the result of Rejected: the last valid one stays in effect.
type Documents struct {
	active   map[fleet.Service]ActiveDocument
	rejected map[fleet.Service]RejectedOffer
	// confirmedAt is when all documents were last known to be the newest versions.
	confirmedAt time.Time
}

// Offer adopts the version in o if it is newer than the one in effect and valid. The
// error says why a version is invalid or conflicts with the one in effect.
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

// reject keeps the newest invalid version, for the reports to operators and for other
// hosts that lack it.
func (d *Documents) reject(o Offer, now time.Time, err error) {
	if d.rejected == nil {
		d.rejected = map[fleet.Service]RejectedOffer{}
	}
	if r, ok := d.rejected[o.Service]; !ok || o.Version > r.Version {
		d.rejected[o.Service] = RejectedOffer{Offer: o, At: now, Err: err}
	}
}

// Get returns the document in effect for a service, and whether there is one.
func (d *Documents) Get(s fleet.Service) (ActiveDocument, bool) {
	a, ok := d.active[s]
	return a, ok
}

// All returns the documents in effect, sorted by service.
func (d *Documents) All() []ActiveDocument {
	return slices.SortedFunc(maps.Values(d.active), func(a, b ActiveDocument) int {
		return cmp.Compare(a.Document.Service, b.Document.Service)
	})
}

// Rejected returns the newest invalid version of each service that has one newer than
// the version in effect, sorted by service.
func (d *Documents) Rejected() []RejectedOffer {
	return slices.SortedFunc(maps.Values(d.rejected), func(a, b RejectedOffer) int {
		return cmp.Compare(a.Service, b.Service)
	})
}

// Confirm records that at that time all documents were the newest versions. Times
// before the last confirmation have no effect.
func (d *Documents) Confirm(at time.Time) {
	if at.After(d.confirmedAt) {
		d.confirmedAt = at
	}
}

// ConfirmedAt returns when all documents were last known to be the newest versions, zero
// if never.
func (d *Documents) ConfirmedAt() time.Time {
	return d.confirmedAt
}

// KnownVersions holds the newest versions of one document that a host knows.
type KnownVersions struct {
	// Version is the version in effect, zero if there is none.
	Version Version
	// Seen is the newest version received, valid or not.
	Seen Version
}

// Known returns the newest known versions of each document.
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

// Digest returns a 64-bit hash of the result of Known. Hosts with equal digests know
// the same versions, except for hash collisions.
func (d *Documents) Digest() uint64 {
	sum := uint64(0)
	for s, k := range d.Known() {
		b := binary.BigEndian.AppendUint64([]byte(s), uint64(k.Version))
		sum ^= xxhash.Sum64(binary.BigEndian.AppendUint64(b, uint64(k.Seen)))
	}
	return sum
}

// Revision returns the highest store revision among the versions in effect and the
// rejected ones.
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

// Missing compares d with the versions known to another host. It returns the versions
// that the other host lacks, and the services of which it has a newer version than d.
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

// Offers returns the versions in effect and the rejected ones of the services.
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

// Stopped reports whether the service of d is no longer to be served, because d was
// last confirmed more than CutOffAfter ago and its CutOff is CutOffStop.
//
// A host that is cut off can't learn that a key was revoked. The owners of the
// service choose whether such a host goes on serving, so that a revoked key still
// works, or stops after CutOffAfter, so that work is lost.
func (d *Document) Stopped(confirmed, now time.Time) bool {
	return d.CutOff == CutOffStop && now.Sub(confirmed) > d.CutOffAfter
}
