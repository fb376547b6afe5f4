package allot_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarkdeal/core/allot"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/naive"
)

// TestMain fixes the seed, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var threeDCs = []fleet.DataCentre{"asahikawa", "obihiro", "sapporo"}

func ExampleShareOf() {
	for _, d := range threeDCs {
		fmt.Println(d, allot.ShareOf(80, 8, "orders", "hotel", d, threeDCs))
	}
	// Output:
	// asahikawa {30 3}
	// obihiro {20 2}
	// sapporo {30 3}
}

func TestSharesAddUpToTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 1e5).Draw(t, "rate")
		burst := rapid.Float64Range(1, 1e5).Draw(t, "burst")
		dcs := threeDCs[:rapid.IntRange(1, 3).Draw(t, "data centres")]
		a := fleet.Account(rapid.String().Draw(t, "account"))
		var sum allot.Share
		for _, d := range dcs {
			s := allot.ShareOf(rate, burst, "orders", a, d, dcs)
			sum.Rate += s.Rate
			sum.Burst += s.Burst
		}
		if math.Abs(sum.Rate-rate) > rate*1e-9 || sum.Burst != math.Floor(burst) {
			t.Fatalf("shares add up to %v", sum)
		}
	})
}

// fault draws something that goes wrong in the world at its present time.
func fault(t *rapid.T, w *world) {
	h := rapid.SampledFrom(w.hosts).Draw(t, "host")
	d := time.Duration(rapid.IntRange(50, 12_000).Draw(t, "ms")) * time.Millisecond
	switch rapid.SampledFrom([]string{"pause", "suspend", "restart", "cut", "store down", "nothing"}).Draw(t, "fault") {
	case "pause":
		h.paused = max(h.paused, w.now+d)
	case "suspend":
		h.paused = max(h.paused, w.now+d)
		h.lag += d
	case "restart":
		h.dead = w.now
		w.at(d, func() {
			if h.dead > 0 {
				h.boot()
			}
		})
	case "cut":
		w.cut[h.dc] = max(w.cut[h.dc], w.now+d)
	case "store down":
		w.storeDown = max(w.storeDown, w.now+d)
	}
}

// A chain has sold its customers twice the orders that the owner of the database
// agreed to: callers come to every host as fast as they can, while hosts are
// paused, suspended, killed and restarted, data centres are cut off, the store
// is down, messages are late or lost, and every host claims to be the home. At
// no time and over no window may more than rate·w + burst get through.
func TestNeverMoreThanRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.SampledFrom([]int{5, 50, 400}).Draw(t, "rate"))
		burst := float64(rapid.IntRange(1, 60).Draw(t, "burst"))
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 2, threeDCs, rate, burst)
		w.chaos = true
		for _, h := range w.hosts {
			h.drift = rapid.Float64Range(-0.04, 0.04).Draw(t, "drift")
		}
		flood(w, 2*time.Second/time.Duration(rate))
		for range rapid.IntRange(3, 12).Draw(t, "faults") {
			w.run(w.now + time.Duration(rapid.IntRange(100, 6000).Draw(t, "wait"))*time.Millisecond)
			fault(t, w)
		}
		w.run(w.now + 10*time.Second)
		// The homes' clocks may be fast by the drift, and so may what they grant.
		if i := naive.Exceeds(w.admitted, rate*1.04, burst); i >= 0 {
			t.Fatalf("admission %d at %v is too many", i, w.admitted[i].Sub(epoch))
		}
	})
}

// flood lets an exchange come to every host again and again.
func flood(w *world, every time.Duration) {
	var again func()
	again = func() {
		for _, h := range w.hosts {
			h.arrive(func(bool) {})
		}
		w.at(every, again)
	}
	w.at(0, again)
}

// An owner halves, or raises, an account's rate while callers use all of it.
// Hosts take the new document up at different times, some with grants of the old
// one in hand. Until the last has it the greater rate may be used; from then on
// only the new one.
func TestChangedRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n string) (float64, float64) {
			return float64(rapid.IntRange(2, 400).Draw(t, n+" rate")), float64(rapid.IntRange(1, 80).Draw(t, n+" burst"))
		}
		r1, b1 := draw("old")
		r2, b2 := draw("new")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 2, threeDCs, r1, b1)
		flood(w, 2*time.Second/time.Duration(max(r1, r2)))
		w.run(15 * time.Second)
		d := newDoc(2, threeDCs, r2, b2)
		w.doc = d
		last := time.Duration(0)
		for _, h := range w.hosts {
			after := time.Duration(rapid.IntRange(0, 3000).Draw(t, "adopt")) * time.Millisecond
			last = max(last, after)
			w.at(after, func() { h.adopt(d) })
		}
		changed, settled := w.now, w.now+last+allot.Overdue
		w.run(settled + 15*time.Second)
		checkChange(t, w, allot.Share{Rate: r1, Burst: b1}, allot.Share{Rate: r2, Burst: b2}, changed, settled)
	})
}

func checkChange(t *rapid.T, w *world, old, next allot.Share, changed, settled time.Duration) {
	b := naive.Bucket{Rate: old.Rate, Burst: max(old.Burst, next.Burst)}
	var after []time.Time
	for i, at := range w.admitted {
		since := at.Sub(epoch)
		if since > changed {
			b.Set(at, max(old.Rate, next.Rate), b.Burst)
		}
		if since > settled {
			b.Set(at, next.Rate, b.Burst)
			after = append(after, at)
		}
		if !b.Admit(at) {
			t.Fatalf("admission %d at %v is too many", i, since)
		}
	}
	if i := naive.Exceeds(after, next.Rate, next.Burst); i >= 0 {
		t.Fatalf("admission %d after the change is too many", i)
	}
}

// A message of a spender comes twice, and an old one after a newer one. Neither
// may give a home tokens back that were spent.
func TestReportsCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h allot.Home
		now := epoch
		h.Start(now, 1, allot.Share{Rate: 10, Burst: 20}, 100)
		now = now.Add(10 * time.Second)
		g := h.Ask(now, allot.Ask{Urgent: 10})
		old := allot.Report{Grant: g.ID, Left: 8}
		closed := allot.Report{Grant: g.ID, Left: 3, Closed: true}
		reports := rapid.SliceOfN(rapid.SampledFrom([]allot.Report{old, closed}), 1, 6).Draw(t, "reports")
		for _, r := range reports {
			h.Ask(now, allot.Ask{Reports: []allot.Report{r}})
		}
		s := h.State()
		if s.Level > 10+3 || s.Level+float64(s.Outstanding) > 20 {
			t.Fatalf("%+v after %v", s, reports)
		}
	})
}
