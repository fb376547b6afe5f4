// Package rates puts the decisions of core/quota into a fleet in memory, with
// clocks of its own, a store and a network that can fail, and measures how many
// exchanges several designs of one rate over all hosts refuse wrongly. Nothing in
// it waits or reads a clock; the same seed gives the same figures.
package rates

import (
	"fmt"
	"math/rand/v2"
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/quota"
	"skylarkdeal/internal/eventqueue"
)

// World is a fleet around the decisions of core/quota: hosts with clocks of
// their own, a store, and a network between them that can be cut.
type World struct {
	now    time.Duration
	agenda eventqueue.Queue
	random *rand.Rand
	// Hosts stand in the order of their data centres.
	Hosts []*Host
	dcs   []fleet.DataCentre
	// Chaos makes every host claim its data centre's seat whenever it likes, and
	// messages late or lost.
	Chaos bool
	// lend is unset when hosts ask only the home of their own data centre.
	lend bool
	// Doc is the document that a new process starts with.
	Doc *document.Document

	seats map[quota.OwnershipID]quota.OwnershipRecord
	// left is what homes that gave their seat up had, as io/grants writes it
	// into the record.
	left      map[quota.OwnershipID]float64
	leases    map[fleet.Host]lease
	cut       map[fleet.DataCentre]time.Duration
	storeDown time.Duration

	// Admitted holds the true times of the admissions, in order.
	Admitted []time.Time
	// calls counts asks between hosts, those for consent too.
	calls int
}

// lease is a host's registration in the store.
type lease struct {
	name  uint64
	until time.Duration
}

// Epoch is when the true clock starts.
var Epoch = time.Unix(1_700_000_000, 0)

const account fleet.Account = "hotel"

// NewWorld returns a fleet with perDC hosts in each data centre and one account.
// Rate is in tokens a second, burst in tokens; all that is left to chance follows
// from the seed.
func NewWorld(seed uint64, perDC int, dcs []fleet.DataCentre, rate, burst float64) *World {
	w := &World{
		random: rand.New(rand.NewPCG(seed, 1)), lend: true, dcs: dcs,
		seats: map[quota.OwnershipID]quota.OwnershipRecord{}, left: map[quota.OwnershipID]float64{},
		leases: map[fleet.Host]lease{},
		cut:    map[fleet.DataCentre]time.Duration{}, Doc: NewDoc(1, dcs, rate, burst),
	}
	for _, d := range dcs {
		for i := range perDC {
			w.addHost(fleet.Host(fmt.Sprintf("%s-%d", d, i)), d)
		}
	}
	return w
}

// NewDoc returns a version of the document, with the account's rate and burst.
func NewDoc(v document.Version, dcs []fleet.DataCentre, rate, burst float64) *document.Document {
	return &document.Document{
		Service: "orders", Version: v, DataCentres: dcs,
		Accounts: []document.Account{{Name: account, Rate: rate, Burst: burst}},
	}
}

func (w *World) addHost(n fleet.Host, d fleet.DataCentre) *Host {
	h := &Host{w: w, name: n, dc: d}
	w.Hosts = append(w.Hosts, h)
	h.boot()
	return h
}

// After does f once d has passed.
func (w *World) After(d time.Duration, f func()) {
	w.agenda.Add(w.now+d, f)
}

// Run lets the world go on until the true time t.
func (w *World) Run(t time.Duration) {
	for {
		at, do, ok := w.agenda.Next(t)
		if !ok {
			break
		}
		w.now = at
		do()
	}
	w.now = t
}

// Now returns the true time since Epoch.
func (w *World) Now() time.Duration { return w.now }

// Cut parts a data centre from all others and from the store for d at least.
func (w *World) Cut(c fleet.DataCentre, d time.Duration) {
	w.cut[c] = max(w.cut[c], w.now+d)
}

// StopStore keeps the store from answering for d at least.
func (w *World) StopStore(d time.Duration) {
	w.storeDown = max(w.storeDown, w.now+d)
}
