package allot_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/naive"
)

// scenario is a load within the rate, with something that goes wrong.
type scenario struct {
	name string
	// to returns the host that the n-th exchange comes to.
	to func(w *world, n int) *host
	// breaks is what goes wrong after a while.
	breaks func(w *world)
	// load is how many times the rate comes; zero takes nine tenths.
	load float64
}

// design is a way to keep accounts to their rate over the fleet.
type design struct {
	name string
	// make returns a function that sends an exchange to a host.
	make func(seed uint64) (*world, func(h *host, done func(bool)))
}

const (
	measuredRate  = 200
	measuredBurst = 60
	// warm is how long the fleet runs before the load, so that buckets fill.
	warm = 10 * time.Second
	// measured is how long the load lasts; what breaks does so at a third.
	measured = 60 * time.Second
	// seeds is how many runs each figure is of.
	seeds = 3
)

var fourDCs = []fleet.DataCentre{"riga-1", "riga-2", "riga-3", "riga-4"}

func even(w *world, n int) *host { return w.hosts[n%len(w.hosts)] }

// live sends what would go to a dead host to the next one, as the platform's
// balancer does.
func live(w *world, n int) *host {
	for i := range w.hosts {
		if h := w.hosts[(n+i)%len(w.hosts)]; h.dead == 0 {
			return h
		}
	}
	return w.hosts[0]
}

func scenarios() []scenario {
	nothing := func(*world) {}
	return []scenario{
		{"even load", even, nothing, 0},
		{"3 times the rate", even, nothing, 3},
		{"all on 1 of 8 hosts", func(w *world, _ int) *host { return w.hosts[3] }, nothing, 0},
		{"host replaced", live, func(w *world) { replace(w, w.hosts[3], 15*time.Second) }, 0},
		{"home lost", live, func(w *world) { replace(w, w.hosts[0], 15*time.Second) }, 0},
		{"cut data centre", even, func(w *world) { w.cut["riga-2"] = w.now + 20*time.Second }, 0},
		{"central home cut", even, func(w *world) { w.cut["riga-1"] = w.now + 20*time.Second }, 0},
		{"cut, all on the rest", func(w *world, n int) *host { return w.hosts[(4+n%6)%8] },
			func(w *world) { w.cut["riga-2"] = w.now + 20*time.Second }, 0},
		{"store down", even, func(w *world) { w.storeDown = w.now + measured }, 0},
		{"store down, skew", func(w *world, _ int) *host { return w.hosts[3] },
			func(w *world) { w.storeDown = w.now + measured }, 0},
	}
}

func replace(w *world, h *host, after time.Duration) {
	h.dead = w.now
	w.at(after, h.boot)
}

func designs() []design {
	grants := func(dcs []fleet.DataCentre, lend bool) func(uint64) (*world, func(*host, func(bool))) {
		return func(seed uint64) (*world, func(*host, func(bool))) {
			w := newWorld(seed, 2, fourDCs, measuredRate, measuredBurst)
			w.doc = newDoc(1, dcs, measuredRate, measuredBurst)
			w.lend = lend
			for _, h := range w.hosts {
				h.doc = w.doc
			}
			return w, func(h *host, done func(bool)) { h.arrive(done) }
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
func static(seed uint64) (*world, func(*host, func(bool))) {
	w := newWorld(seed, 2, fourDCs, measuredRate, measuredBurst)
	w.queue = nil
	share := func() *naive.Bucket { return &naive.Bucket{Rate: measuredRate / 8, Burst: measuredBurst / 8} }
	buckets := map[*host]*naive.Bucket{}
	booted := map[*host]uint64{}
	return w, func(h *host, done func(bool)) {
		b := buckets[h]
		if b == nil || booted[h] != h.process.Epoch {
			fresh := b == nil
			b = share()
			buckets[h], booted[h] = b, h.process.Epoch
			for !fresh && b.Admit(epoch.Add(w.now)) {
				continue
			}
		}
		ok := h.dead == 0 && b.Admit(epoch.Add(w.now))
		if ok {
			w.admitted = append(w.admitted, epoch.Add(w.now))
		}
		done(ok)
	}
}

// outcome is what the callers of one run got.
type outcome struct {
	sent, within, wrongful, over int
	calls                        float64
}

// per10000 returns the wrongful refusals per 10,000 exchanges within the rate.
func (o outcome) per10000() float64 {
	return float64(o.wrongful) / float64(o.within) * 10_000
}

// measure sends a bursty load of nine tenths of the rate. A refusal is wrongful
// if a single bucket that admits whatever comes within the rate had admitted the
// exchange. Above the rate it is the number that counts: which of them get the
// tokens is chance.
func measure(d design, s scenario, seed uint64) outcome {
	w, arrive := d.make(seed)
	w.run(warm)
	calls := w.calls
	w.at(measured/3, func() { s.breaks(w) })
	perfect := naive.Bucket{Rate: measuredRate, Burst: measuredBurst}
	r := rand.New(rand.NewPCG(seed, 2))
	load := s.load
	if load == 0 {
		load = 0.9
	}
	var o outcome
	var next func()
	next = func() {
		if w.now > warm+measured {
			return
		}
		for range 1 + r.IntN(20) {
			h := s.to(w, o.sent)
			o.sent++
			ok := perfect.Admit(epoch.Add(w.now))
			if !ok && load < 1 {
				continue
			}
			if !ok {
				arrive(h, func(admitted bool) {
					if admitted {
						o.wrongful--
					}
				})
				continue
			}
			o.within++
			arrive(h, func(admitted bool) {
				if !admitted {
					o.wrongful++
				}
			})
		}
		w.at(time.Duration(r.ExpFloat64()*10.5/(load*measuredRate)*float64(time.Second)), next)
	}
	w.at(0, next)
	w.run(warm + measured + 5*time.Second)
	o.calls = float64(w.calls-calls) / measured.Seconds()
	if naive.Exceeds(w.admitted, measuredRate, measuredBurst) >= 0 {
		o.over++
	}
	return o
}

// TestWrongfulRefusals prints the table of docs/design/rate-and-burst.md, and
// holds the chosen design to what it was chosen for.
func TestWrongfulRefusals(t *testing.T) {
	c := qt.New(t)
	var table strings.Builder
	fmt.Fprintf(&table, "\n%-22s", "wrongful per 10,000")
	for _, d := range designs() {
		fmt.Fprintf(&table, "%14s", d.name)
	}
	chosen := map[string]float64{}
	calls := map[string]float64{}
	for _, s := range scenarios() {
		fmt.Fprintf(&table, "\n%-22s", s.name)
		for _, d := range designs() {
			var sum outcome
			for seed := range uint64(seeds) {
				o := measure(d, s, seed)
				sum.within += o.within
				sum.wrongful += o.wrongful
				sum.calls += o.calls / seeds
				c.Check(o.over, qt.Equals, 0, qt.Commentf("%s, %s exceeds the rate", d.name, s.name))
			}
			fmt.Fprintf(&table, "%14.1f", sum.per10000())
			chosen[s.name], calls[s.name] = sum.per10000(), sum.calls
		}
		fmt.Fprintf(&table, "   %.0f calls/s", calls[s.name])
	}
	t.Log(table.String())
	for _, s := range scenarios() {
		c.Check(chosen[s.name] <= accepted[s.name], qt.IsTrue, qt.Commentf("%s: %.1f", s.name, chosen[s.name]))
		most := float64(mostCalls)
		if s.load > 1 {
			most = mostCallsAbove
		}
		c.Check(calls[s.name] <= most, qt.IsTrue, qt.Commentf("%s: %.0f calls/s", s.name, calls[s.name]))
	}
}

// accepted is the most wrongful refusals per 10,000 that the chosen design may
// have; scenarios that aren't listed may have none. While a quarter of the rate
// can't be had for a third of the time, some of a load of nine tenths must go.
var accepted = map[string]float64{
	"host replaced":        5,
	"home lost":            200,
	"cut, all on the rest": 600,
}

// mostCallsAbove is the same for three times the rate.
const mostCallsAbove = 800

// mostCalls is two for each exchange of the measured load.
const mostCalls = 400
