package clock_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/internal/clock"
)

// fake is a machine's clocks. Each look takes a microsecond.
type fake struct {
	boot, steady, day time.Duration
	// looks counts those at the clock that counts suspension.
	looks int
}

func (f *fake) clock() *clock.Clock {
	f.boot, f.steady, f.day = time.Hour, time.Minute, 24*time.Hour
	return &clock.Clock{
		Boot: func() time.Duration {
			f.looks++
			f.pass(time.Microsecond)
			return f.boot
		},
		Steady: func() (steady, day time.Duration) {
			f.pass(time.Microsecond)
			return f.steady, f.day
		},
	}
}

func (f *fake) pass(d time.Duration) {
	f.boot += d
	f.steady += d
	f.day += d
}

func (f *fake) suspend(d time.Duration) {
	f.boot += d
	f.day += d
}

func (f *fake) check(c *qt.C, k *clock.Clock) {
	c.Helper()
	got := time.Duration(k.Now().UnixNano())
	c.Check(got <= f.boot, qt.IsTrue, qt.Commentf("%v ahead", got-f.boot))
	c.Check(f.boot-got < time.Millisecond, qt.IsTrue, qt.Commentf("%v behind", f.boot-got))
}

// Guards against a system call at each look at the clock.
func TestReadingIsCarriedOn(t *testing.T) {
	c := qt.New(t)
	var f fake
	k := f.clock()
	for range 1000 {
		f.pass(100 * time.Microsecond)
		f.check(c, k)
	}
	c.Assert(f.looks < 10, qt.IsTrue, qt.Commentf("%d", f.looks))
}

// Guards against a lease that looks valid after the machine was suspended.
func TestSuspensionShowsAtOnce(t *testing.T) {
	c := qt.New(t)
	var f fake
	k := f.clock()
	for range 50 {
		f.check(c, k)
		f.pass(time.Millisecond)
		f.suspend(3 * time.Second)
		f.check(c, k)
	}
}

// Guards against a time of day that is set forward or back and is taken for time that has passed.
func TestTimeOfDayThatIsSetChangesNothing(t *testing.T) {
	c := qt.New(t)
	var f fake
	k := f.clock()
	for _, d := range []time.Duration{time.Hour, -time.Hour, 10 * time.Millisecond, -10 * time.Millisecond} {
		f.check(c, k)
		f.day += d
		f.check(c, k)
	}
}

// Guards against a process that is held up between its looks at two clocks, and takes the one for
// as late as the other from then on.
func TestReadingThatTookLongIsNotCarriedOn(t *testing.T) {
	c := qt.New(t)
	var f fake
	k := f.clock()
	boot := k.Boot
	k.Boot = func() time.Duration {
		b := boot()
		f.pass(50 * time.Millisecond)
		return b
	}
	k.Now()
	k.Boot = boot
	f.check(c, k)
	f.check(c, k)
}

func TestTheMachinesClockMovesOn(t *testing.T) {
	c := qt.New(t)
	before := clock.Now()
	time.Sleep(30 * time.Millisecond)
	got := clock.Now().Sub(before)
	c.Assert(got >= 29*time.Millisecond && got < 10*time.Second, qt.IsTrue, qt.Commentf("%v", got))
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		clock.Now()
	}
}
