package quota_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/quota"
	"skylarkdeal/core/reference"
	"skylarkdeal/internal/experiment/rates"
)

// TestMain fixes the seed, so that each run gives the same result. A seed or a number of checks
// given on the command line takes precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	given := fleet.NewSet[string]()
	flag.Visit(func(f *flag.Flag) { given.Add(f.Name) })
	for name, v := range map[string]string{"rapid.seed": "7", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if !given.Has(name) {
			_ = flag.Set(name, v)
		}
	}
	os.Exit(m.Run())
}

// epoch is when the clocks of these tests start.
var epoch = rates.Epoch

var threeDCs = []fleet.DataCentre{"asahikawa", "obihiro", "sapporo"}

func ExampleShareOf() {
	for _, d := range threeDCs {
		fmt.Println(d, quota.ShareOf(90, 8, "orders", "hotel", d, threeDCs))
	}
	// Output:
	// asahikawa {30 3}
	// obihiro {30 2}
	// sapporo {30 3}
}

// While a document spreads, some data centres go by the old rate and burst and some by the new
// ones. Their shares must not add up to more than the greater rate and burst.
func TestSharesOfTwoDocumentsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n string) (float64, float64) {
			return rapid.Float64Range(0.1, 1e5).Draw(t, n), float64(rapid.IntRange(0, 100).Draw(t, n+" burst"))
		}
		r1, b1 := draw("old")
		r2, b2 := draw("new")
		a := fleet.Account(rapid.String().Draw(t, "account"))
		var sum quota.Share
		for _, d := range threeDCs {
			s1 := quota.ShareOf(r1, b1, "orders", a, d, threeDCs)
			s2 := quota.ShareOf(r2, b2, "orders", a, d, threeDCs)
			sum.Rate += max(s1.Rate, s2.Rate)
			sum.Burst += max(s1.Burst, s2.Burst)
		}
		if r := max(r1, r2); math.Abs(sum.Rate-r) > r*1e-9 || sum.Burst != max(b1, b2) {
			t.Fatalf("shares add up to %v", sum)
		}
	})
}

// injectFault draws a fault and injects it into the world at its present time.
func injectFault(t *rapid.T, w *rates.World) {
	h := rapid.SampledFrom(w.Hosts).Draw(t, "host")
	d := time.Duration(rapid.IntRange(50, 12_000).Draw(t, "ms")) * time.Millisecond
	switch rapid.SampledFrom([]string{"pause", "suspend", "restart", "cut", "store down", "nothing"}).Draw(t, "fault") {
	case "pause":
		h.Pause(d)
	case "suspend":
		h.Suspend(d)
	case "restart":
		h.Restart(d)
	case "cut":
		w.Cut(h.DataCentre(), d)
	case "store down":
		w.StopStore(d)
	}
}

// Callers of one account come to every host as fast as they can, while hosts are paused, suspended,
// killed and restarted, data centres are cut off, the store is down, messages are late or lost, and
// every host claims to be the home. At no time and over no window w may more than rate·w + burst be
// admitted.
func TestNeverMoreThanRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.SampledFrom([]int{20, 100, 400}).Draw(t, "rate"))
		burst := float64(rapid.IntRange(1, 60).Draw(t, "burst"))
		w := rates.NewWorld(rapid.Uint64().Draw(t, "seed"), 2, threeDCs, rate, burst)
		w.Chaos = true
		for _, h := range w.Hosts {
			h.Drift = rapid.Float64Range(-0.04, 0.04).Draw(t, "drift")
		}
		flood(w, quota.Share{Rate: rate, Burst: burst})
		for range rapid.IntRange(3, 12).Draw(t, "faults") {
			w.Run(w.Now() + time.Duration(rapid.IntRange(100, 6000).Draw(t, "wait"))*time.Millisecond)
			injectFault(t, w)
		}
		w.Run(w.Now() + 10*time.Second)
		// The homes' clocks may be fast by the drift, and so may what they grant.
		if i := reference.FirstExcess(w.Admitted, rate*1.04, burst); i >= 0 {
			t.Fatalf("admission %d at %v is too many", i, w.Admitted[i].Sub(epoch))
		}
	})
}

// flood lets exchanges come to every host for a while, then none until the burst has accrued again,
// and so on: only a burst that has just been spent leaves no slack in the bound.
func flood(w *rates.World, a quota.Share) {
	every := 2 * time.Second / time.Duration(a.Rate)
	pause := time.Duration(a.Burst/a.Rate*float64(time.Second)) + time.Second
	var step func()
	left := 0
	step = func() {
		if left--; left < 0 {
			left = int(2 * time.Second / every)
			w.After(pause, step)
			return
		}
		for _, h := range w.Hosts {
			h.Arrive(func(bool) {})
		}
		w.After(every, step)
	}
	w.After(pause, step)
}

// An account's rate is lowered or raised while callers use all of it. Hosts adopt the new document
// at different times, some while they hold grants under the old one. Until the last has adopted it
// the greater rate may be used; from then on only the new one.
func TestChangedRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n string) (float64, float64) {
			return float64(rapid.IntRange(20, 400).Draw(t, n+" rate")), float64(rapid.IntRange(1, 80).Draw(t, n+" burst"))
		}
		r1, b1 := draw("old")
		r2, b2 := draw("new")
		w := rates.NewWorld(rapid.Uint64().Draw(t, "seed"), 2, threeDCs, r1, b1)
		flood(w, quota.Share{Rate: r1, Burst: b1})
		w.Run(time.Duration(rapid.IntRange(8_000, 15_000).Draw(t, "start")) * time.Millisecond)
		d := rates.NewDoc(2, threeDCs, r2, b2)
		w.Doc = d
		last := time.Duration(0)
		for _, h := range w.Hosts {
			after := time.Duration(rapid.IntRange(0, 3000).Draw(t, "adopt")) * time.Millisecond
			last = max(last, after)
			w.After(after, func() { h.Adopt(d) })
		}
		changed, settled := w.Now(), w.Now()+last+quota.GrantCountedFor
		w.Run(settled + 15*time.Second)
		checkChange(t, w, quota.Share{Rate: r1, Burst: b1}, quota.Share{Rate: r2, Burst: b2}, changed, settled)
	})
}

func checkChange(t *rapid.T, w *rates.World, old, next quota.Share, changed, settled time.Duration) {
	b := reference.Bucket{Rate: old.Rate, Burst: max(old.Burst, next.Burst)}
	var after []time.Time
	for i, at := range w.Admitted {
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
	if i := reference.FirstExcess(after, next.Rate, next.Burst); i >= 0 {
		t.Fatalf("admission %d after the change is too many", i)
	}
}

// A report comes twice, or after a newer one. Neither may return tokens to a home that were spent.
func TestReportsCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h quota.Home
		now := epoch
		h.Start(now, 1, quota.Share{Rate: 10, Burst: 20}, 100, 0)
		now = now.Add(10 * time.Second)
		g := h.Ask(now, quota.Ask{Urgent: 10})
		old := quota.Report{Grant: g.ID, Left: 8}
		closed := quota.Report{Grant: g.ID, Left: 3, Closed: true}
		reports := rapid.SliceOfN(rapid.SampledFrom([]quota.Report{old, closed}), 1, 6).Draw(t, "reports")
		for _, r := range reports {
			h.Ask(now, quota.Ask{Reports: []quota.Report{r}})
		}
		s := h.State()
		if s.Level > 10+3 || s.Level+float64(s.Outstanding) > 20 {
			t.Fatalf("%+v after %v", s, reports)
		}
	})
}
