package pacing_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"skylarkdeal/core/pacing"
	"skylarkdeal/internal/eventqueue"
)

var epoch = time.Unix(1_700_000_000, 0)

// crowd is callers that are all refused at the same moment, and retry until they are served. The service
// completes one operation at a time and lets some wait.
type crowd struct {
	now      time.Duration
	events   eventqueue.Queue
	waiting  int
	attempts int
	served   int
	doneAt   time.Duration
	refuse   func(now time.Time, wait time.Duration) time.Duration
	finished func(now time.Time)
}

const (
	work       = 10 * time.Millisecond
	maxWaiting = 10
)

func (s *crowd) run(callers int) {
	for range callers {
		s.events.Add(0, s.call)
	}
	for {
		at, do, ok := s.events.Next(math.MaxInt64)
		if !ok {
			return
		}
		s.now = at
		do()
	}
}

func (s *crowd) call() {
	s.attempts++
	if s.waiting >= maxWaiting {
		after := s.refuse(epoch.Add(s.now), time.Duration(s.waiting)*work)
		s.events.Add(s.now+after, s.call)
		return
	}
	s.waiting++
	if s.waiting == 1 {
		s.start()
	}
}

func (s *crowd) start() {
	s.events.Add(s.now+work, func() {
		s.waiting--
		s.served++
		s.doneAt = s.now
		s.finished(epoch.Add(s.now))
		if s.waiting > 0 {
			s.start()
		}
	})
}

// A thousand callers are refused at the same moment. Guards against retry times at which all of them return
// together and nearly all are refused again.
func TestRefusedCallersReturnAsCapacityAllows(t *testing.T) {
	c := qt.New(t)
	const callers = 1000
	off := &crowd{
		refuse:   func(_ time.Time, wait time.Duration) time.Duration { return wait },
		finished: func(time.Time) {},
	}
	off.run(callers)
	p := &pacing.Pacer{}
	on := &crowd{refuse: p.Capacity, finished: p.Completed}
	on.run(callers)
	for n, s := range map[string]*crowd{"equal": off, "paced": on} {
		t.Logf("%s retry times: %d attempts for %d callers, last served after %v", n, s.attempts, s.served, s.doneAt)
		c.Check(s.served, qt.Equals, callers)
	}
	c.Check(on.attempts*4 < off.attempts, qt.IsTrue, qt.Commentf("%d and %d", on.attempts, off.attempts))
	c.Check(on.doneAt <= off.doneAt*11/10, qt.IsTrue, qt.Commentf("%v and %v", on.doneAt, off.doneAt))
}

// Guards against retry times before the expected wait, or so far ahead that callers give up, whatever the
// estimates are.
func TestRetryTimesStayWithinTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := &pacing.Pacer{Offset: rapid.Float64Range(0, 1).Draw(t, "offset")}, epoch
		for range rapid.IntRange(1, 300).Draw(t, "refusals") {
			now = now.Add(time.Duration(rapid.IntRange(-20, 200).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "completed") {
				p.Completed(now)
			}
			wait := time.Duration(rapid.IntRange(-100, 5000).Draw(t, "wait")) * time.Millisecond
			after := p.Capacity(now, wait)
			if after < min(wait, pacing.MaxRetryAfter) || after < 0 || after > pacing.MaxRetryAfter {
				t.Fatalf("%v with a wait of %v", after, wait)
			}
		}
	})
}

// A primary is lost, and all callers are refused for the time of the promotion. Guards against their return
// at the same moment.
func TestCallersReturnSpreadAfterAFailover(t *testing.T) {
	c := qt.New(t)
	const left = 800 * time.Millisecond
	p, buckets := &pacing.Pacer{}, map[time.Duration]int{}
	for range 200 {
		after := p.Failure(left)
		c.Assert(after >= left && after <= left+left/4, qt.IsTrue, qt.Commentf("%v", after))
		buckets[after.Truncate(10*time.Millisecond)]++
	}
	for at, n := range buckets {
		c.Check(n <= 15, qt.IsTrue, qt.Commentf("%d callers return at %v", n, at))
	}
}
