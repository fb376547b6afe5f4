package share_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/share"
)

// fleetOf is some hosts that report to each other, with the operations that they admitted.
type fleetOf struct {
	now      time.Time
	hosts    []*share.Fleet
	seq      uint64
	admitted []time.Time
	refused  int
	// cut tells whether a report from one host reaches another.
	cut func(from, to int) bool
}

func newFleet(n int) *fleetOf {
	f := &fleetOf{now: time.Unix(1000, 0), cut: func(int, int) bool { return false }}
	for i := range n {
		h := &share.Fleet{}
		var others []fleet.Host
		for o := range n {
			if o != i {
				others = append(others, name(o))
			}
		}
		h.Members(f.now, others)
		f.hosts = append(f.hosts, h)
	}
	return f
}

func name(n int) fleet.Host { return fleet.Host(fmt.Sprintf("h%d", n)) }

// run plays a load for some time: perSecond is what each host is asked for.
func (f *fleetOf) run(d time.Duration, a catalog.Account, perSecond []float64) {
	const step = 10 * time.Millisecond
	r := rand.New(rand.NewPCG(1, 2))
	for n := range int(d / step) {
		f.now = f.now.Add(step)
		for i, rate := range perSecond {
			for p := rate * step.Seconds(); p > 0; p-- {
				if p < 1 && r.Float64() > p {
					break
				}
				if _, ok := f.hosts[i].Admit(f.now, a); ok {
					f.admitted = append(f.admitted, f.now)
				} else {
					f.refused++
				}
			}
		}
		if n%20 == 0 {
			f.report()
		}
	}
}

func (f *fleetOf) report() {
	f.seq++
	for i, h := range f.hosts {
		for o := range f.hosts {
			if o != i && !f.cut(i, o) {
				f.hosts[o].Heard(f.now, name(i), 1, f.seq, h.Usage(f.now))
			}
		}
	}
}

// most returns the most operations that were admitted in any window.
func (f *fleetOf) most(window time.Duration) int {
	best, from := 0, 0
	for n, t := range f.admitted {
		for t.Sub(f.admitted[from]) >= window {
			from++
		}
		best = max(best, n-from+1)
	}
	return best
}

var hotel = catalog.Account{Name: "hotel", Rate: 70, Burst: 70}

const window = 5 * time.Second

func limit(a catalog.Account) int { return int((a.Rate*window.Seconds()+a.Burst)*1.1) + 20 }

// A hotel chain sends eight times its usual, unevenly over the hosts. It gets its rate,
// and hardly more.
func TestFloodGetsItsRate(t *testing.T) {
	c := qt.New(t)
	f := newFleet(6)
	f.run(20*time.Second, hotel, []float64{5, 5, 5, 5, 5, 20})
	f.run(20*time.Second, hotel, []float64{40, 40, 40, 40, 40, 160})
	c.Assert(f.most(window) <= limit(hotel), qt.IsTrue, qt.Commentf("%d of %d", f.most(window), limit(hotel)))
	served := 0
	for _, t := range f.admitted {
		if f.now.Sub(t) < 10*time.Second {
			served++
		}
	}
	c.Assert(float64(served) >= 0.9*hotel.Rate*10, qt.IsTrue, qt.Commentf("%d in the last 10 s", served))
}

// Callers come to one host out of six, and then to another. Within the account's rate none
// is refused.
func TestSkewWithinTheRateIsServed(t *testing.T) {
	c := qt.New(t)
	f := newFleet(6)
	f.run(10*time.Second, hotel, []float64{50, 0, 0, 0, 0, 0})
	f.run(10*time.Second, hotel, []float64{0, 0, 0, 0, 50, 0})
	c.Assert(f.refused, qt.Equals, 0)
}

// The network splits while a flood goes on. Nobody hears what the other half admits; the
// shares of before hold, which add up to the whole.
func TestCutFleetStaysWithinTheRate(t *testing.T) {
	c := qt.New(t)
	f := newFleet(6)
	flood := []float64{40, 40, 40, 40, 40, 40}
	f.run(10*time.Second, hotel, flood)
	f.cut = func(from, to int) bool { return (from < 3) != (to < 3) }
	f.admitted = nil
	f.run(10*time.Second, hotel, flood)
	c.Assert(f.most(window) <= limit(hotel), qt.IsTrue, qt.Commentf("%d of %d", f.most(window), limit(hotel)))
}

// All hosts start at once and don't know each other yet. They must not each give the whole
// burst away.
func TestStartOfAllHostsGivesOneBurst(t *testing.T) {
	c := qt.New(t)
	total := 0
	for range 6 {
		var h share.Fleet
		for range 200 {
			if _, ok := h.Admit(time.Unix(1000, 0), hotel); ok {
				total++
			}
		}
	}
	c.Assert(total <= int(hotel.Burst), qt.IsTrue, qt.Commentf("%d", total))
}

// A group has no primary, and callers try again and again. What was refused unrun must not
// use up the account's rate, so that the first after the change are served.
func TestReturnedOperationsCostNothing(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1)
	f.run(time.Second, hotel, []float64{0})
	for range 500 {
		_, ok := f.hosts[0].Admit(f.now, hotel)
		c.Assert(ok, qt.IsTrue)
		f.hosts[0].Return(hotel.Name)
	}
}

func TestRefusalSaysWhenToComeBack(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1)
	small := catalog.Account{Name: "kiosk", Rate: 2, Burst: 1}
	var wait time.Duration
	for ok := true; ok; {
		wait, ok = f.hosts[0].Admit(f.now, small)
	}
	c.Assert(wait > 0 && wait <= time.Second, qt.IsTrue, qt.Commentf("%s", wait))
}

func TestLateReportChangesNothing(t *testing.T) {
	c := qt.New(t)
	f := newFleet(2)
	now := f.now
	h := f.hosts[0]
	_, _ = h.Admit(now, hotel)
	now = now.Add(2 * time.Second)
	h.Heard(now, "h1", 1, 5, []share.Usage{{Account: "hotel", Admitted: 10, Demand: 10}})
	before := h.Usage(now)
	h.Heard(now, "h1", 1, 4, []share.Usage{{Account: "hotel", Admitted: 1e6, Demand: math.MaxFloat32}})
	c.Assert(h.Usage(now), qt.DeepEquals, before)
	_, ok := h.Admit(now, hotel)
	c.Assert(ok, qt.IsTrue)
}
