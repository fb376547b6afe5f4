package staleness_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/staleness"
)

func ExampleSamples() {
	var s staleness.Samples
	now := time.Unix(1000, 0)
	s.Add(staleness.Sample{Position: fleet.LogPosition{Term: 1, Index: 7}, AskedAt: now.Add(-2 * time.Second)})
	s.Add(staleness.Sample{Position: fleet.LogPosition{Term: 1, Index: 9}, AskedAt: now.Add(-time.Second)})
	sample, ok := s.Oldest(now.Add(-1500 * time.Millisecond))
	fmt.Println(sample.Position, ok)
	// Output: 1.9 true
}

// Guards against a sample that is too old for a read: whatever samples come in whatever order, the
// one returned was asked for no earlier than the read allows, and covers what was known then.
func TestOldestIsWithinTheAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s staleness.Samples
		base := time.Unix(1000, 0)
		for _, ms := range rapid.SliceOfN(rapid.IntRange(0, 10_000), 0, 300).Draw(t, "asked") {
			// The log index equals the time in milliseconds.
			s.Add(staleness.Sample{
				Position: fleet.LogPosition{Term: 1, Index: fleet.LogIndex(ms)},
				AskedAt:  base.Add(time.Duration(ms) * time.Millisecond),
			})
		}
		since := rapid.IntRange(0, 10_000).Draw(t, "since")
		sample, ok := s.Oldest(base.Add(time.Duration(since) * time.Millisecond))
		if ok && int(sample.Position.Index) < since {
			t.Fatalf("sample %d for a read since %d", sample.Position.Index, since)
		}
	})
}

// Guards against a newest sample that is lost when the oldest ones are dropped.
func TestNewest(t *testing.T) {
	c := qt.New(t)
	var s staleness.Samples
	_, ok := s.Newest()
	c.Assert(ok, qt.IsFalse)
	at := time.Unix(1000, 0)
	for n := range 500 {
		s.Add(staleness.Sample{
			Position: fleet.LogPosition{Term: 1, Index: fleet.LogIndex(n)}, AskedAt: at.Add(time.Duration(n) * time.Second),
		})
	}
	last, ok := s.Newest()
	c.Assert(ok, qt.IsTrue)
	c.Assert(last.Position.Index, qt.Equals, fleet.LogIndex(499))
}

// Guards against an answer that arrives late and takes the place of a newer sample.
func TestSampleThatWasAskedForEarlierIsIgnored(t *testing.T) {
	c := qt.New(t)
	var s staleness.Samples
	at := time.Unix(1000, 0)
	s.Add(staleness.Sample{AskedAt: at, Position: fleet.LogPosition{Term: 1, Index: 5}})
	s.Add(staleness.Sample{AskedAt: at.Add(-time.Millisecond), Position: fleet.LogPosition{Term: 1, Index: 4}})
	n, ok := s.Newest()
	c.Assert(ok, qt.IsTrue)
	c.Assert(n.Position, qt.Equals, fleet.LogPosition{Term: 1, Index: 5})
}
