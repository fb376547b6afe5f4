package rates

import (
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/reference"
)

// scenario is a load within the rate, with something that goes wrong.
type scenario struct {
	name string
	// to returns the host that the n-th exchange comes to.
	to func(w *World, n int) *Host
	// breaks is what goes wrong after a while.
	breaks func(w *World)
	// load is how many times the rate comes.
	load float64
}

// design is a way to keep accounts to their rate over the fleet.
type design struct {
	name string
	// make returns a function that sends an exchange to a host.
	make func(seed uint64) (*World, func(h *Host, done func(bool)))
}

const (
	measuredRate  = 200
	measuredBurst = 60
	// usual is a load that a single bucket admits nearly all of.
	usual = 0.9
	// warm is how long the fleet runs before the load, so that buckets fill.
	warm = 10 * time.Second
	// measured is how long the load lasts; what breaks does so at a third.
	measured = 60 * time.Second
	// seeds is how many runs each figure is of.
	seeds = 3
)

var fourDCs = []fleet.DataCentre{"riga-1", "riga-2", "riga-3", "riga-4"}

func even(w *World, n int) *Host { return w.Hosts[n%len(w.Hosts)] }

// live sends what would go to a dead host to the next one, as the platform's
// balancer does.
func live(w *World, n int) *Host {
	for i := range w.Hosts {
		if h := w.Hosts[(n+i)%len(w.Hosts)]; h.dead == 0 {
			return h
		}
	}
	return w.Hosts[0]
}

func scenarios() []scenario {
	nothing := func(*World) {}
	return []scenario{
		{"even load", even, nothing, usual},
		{"3 times the rate", even, nothing, 3},
		{"all on 1 of 8 hosts", func(w *World, _ int) *Host { return w.Hosts[3] }, nothing, usual},
		{"host replaced", live, func(w *World) { w.Hosts[3].Restart(15 * time.Second) }, usual},
		{"home lost", live, func(w *World) { w.Hosts[0].Restart(15 * time.Second) }, usual},
		{"cut data centre", even, func(w *World) { w.Cut("riga-2", 20*time.Second) }, usual},
		{"central home cut", even, func(w *World) { w.Cut("riga-1", 20*time.Second) }, usual},
		{"cut, all on the rest", func(w *World, n int) *Host { return w.Hosts[(4+n%6)%8] },
			func(w *World) { w.Cut("riga-2", 20*time.Second) }, usual},
		{"store down", even, func(w *World) { w.StopStore(measured) }, usual},
		{"store down, skew", func(w *World, _ int) *Host { return w.Hosts[3] },
			func(w *World) { w.StopStore(measured) }, usual},
	}
}

func designs() []design {
	grants := func(dcs []fleet.DataCentre, lend bool) func(uint64) (*World, func(*Host, func(bool))) {
		return func(seed uint64) (*World, func(*Host, func(bool))) {
			w := NewWorld(seed, 2, fourDCs, measuredRate, measuredBurst)
			w.Doc = NewDoc(1, dcs, measuredRate, measuredBurst)
			w.lend = lend
			for _, h := range w.Hosts {
				h.doc = w.Doc
			}
			return w, func(h *Host, done func(bool)) { h.Arrive(done) }
		}
	}
	return []design{
		{"static", static},
		{"central", grants(fourDCs[:1], true)},
		{"floors alone", grants(fourDCs, false)},
		{"floors, lent", grants(fourDCs, true)},
	}
}

// static gives each host an eighth of rate and burst. A host that restarts must
// not mint its burst anew, so it begins empty.
func static(seed uint64) (*World, func(*Host, func(bool))) {
	w := NewWorld(seed, 2, fourDCs, measuredRate, measuredBurst)
	w.agenda.Clear()
	share := func() *reference.Bucket { return &reference.Bucket{Rate: measuredRate / 8, Burst: measuredBurst / 8} }
	buckets := map[*Host]*reference.Bucket{}
	booted := map[*Host]uint64{}
	return w, func(h *Host, done func(bool)) {
		b := buckets[h]
		if b == nil || booted[h] != h.process.Epoch {
			fresh := b == nil
			b = share()
			buckets[h], booted[h] = b, h.process.Epoch
			for !fresh && b.Admit(Epoch.Add(w.now)) {
				continue
			}
		}
		ok := h.dead == 0 && b.Admit(Epoch.Add(w.now))
		if ok {
			w.Admitted = append(w.Admitted, Epoch.Add(w.now))
		}
		done(ok)
	}
}
