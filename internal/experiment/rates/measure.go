package rates

import (
	"math/rand/v2"
	"time"

	"skylarkdeal/core/reference"
)

// Outcome is what the callers got from one design in one case, over all runs.
type Outcome struct {
	Design string
	// Within counts exchanges within the rate, Wrongful the refusals of such.
	// Above the rate Wrongful is by how many fewer were let through than within
	// the rate, and may be negative.
	Within, Wrongful int
	// Over counts the runs that let more than rate·w + burst through.
	Over int
	// Calls is the number of calls between hosts a second.
	Calls float64
}

// Per10000 returns the wrongful refusals per 10,000 exchanges within the rate.
func (o Outcome) Per10000() float64 {
	return float64(o.Wrongful) / float64(o.Within) * 10_000
}

// Row is one case of load and fault under each design, the chosen one last.
type Row struct {
	Case string
	// Load is how many times the rate comes.
	Load     float64
	Outcomes []Outcome
}

// Chosen returns the outcome of the chosen design.
func (r Row) Chosen() Outcome { return r.Outcomes[len(r.Outcomes)-1] }

// Measure puts each design through each case, with three seeds from the given
// one on. It takes seconds.
func Measure(seed uint64) []Row {
	var rows []Row
	for _, s := range scenarios() {
		r := Row{Case: s.name, Load: s.load}
		for _, d := range designs() {
			sum := Outcome{Design: d.name}
			for n := range uint64(seeds) {
				o := measure(d, s, seed+n)
				sum.Within += o.Within
				sum.Wrongful += o.Wrongful
				sum.Over += o.Over
				sum.Calls += o.Calls / seeds
			}
			r.Outcomes = append(r.Outcomes, sum)
		}
		rows = append(rows, r)
	}
	return rows
}

// measure sends a bursty load. A refusal is wrongful if a single bucket that
// admits whatever comes within the rate had admitted the exchange. Above the rate
// it is the number that counts: which of them get the tokens is chance.
func measure(d design, s scenario, seed uint64) Outcome {
	w, arrive := d.make(seed)
	w.Run(warm)
	calls := w.calls
	w.After(measured/3, func() { s.breaks(w) })
	perfect := reference.Bucket{Rate: measuredRate, Burst: measuredBurst}
	r := rand.New(rand.NewPCG(seed, 2))
	var o Outcome
	sent := 0
	var next func()
	next = func() {
		if w.now > warm+measured {
			return
		}
		for range 1 + r.IntN(20) {
			h := s.to(w, sent)
			sent++
			ok := perfect.Admit(Epoch.Add(w.now))
			if !ok && s.load < 1 {
				continue
			}
			if !ok {
				arrive(h, func(admitted bool) {
					if admitted {
						o.Wrongful--
					}
				})
				continue
			}
			o.Within++
			arrive(h, func(admitted bool) {
				if !admitted {
					o.Wrongful++
				}
			})
		}
		w.After(time.Duration(r.ExpFloat64()*10.5/(s.load*measuredRate)*float64(time.Second)), next)
	}
	w.After(0, next)
	w.Run(warm + measured + 5*time.Second)
	o.Calls = float64(w.calls-calls) / measured.Seconds()
	if reference.FirstExcess(w.Admitted, measuredRate, measuredBurst) >= 0 {
		o.Over++
	}
	return o
}
