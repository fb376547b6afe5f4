package reference_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarkdeal/core/reference"
)

func ExampleBucket() {
	b := reference.Bucket{Rate: 10, Burst: 2}
	t := time.Unix(0, 0)
	fmt.Println(b.Admit(t), b.Admit(t), b.Admit(t), b.Admit(t.Add(100*time.Millisecond)))
	// Output: true true false true
}

// TestExceedsIsExact compares the one-pass check with a check of every window.
func TestExceedsIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := rapid.SliceOfN(rapid.IntRange(0, 2000), 0, 30).Draw(t, "ms")
		slices.Sort(ms)
		rate := float64(rapid.IntRange(1, 20).Draw(t, "rate"))
		burst := float64(rapid.IntRange(1, 6).Draw(t, "burst"))
		at := make([]time.Time, len(ms))
		for i, m := range ms {
			at[i] = time.UnixMilli(int64(m))
		}
		want := -1
		for j := range at {
			for i := 0; i <= j && want < 0; i++ {
				if float64(j-i+1) > rate*at[j].Sub(at[i]).Seconds()+burst+1e-6 {
					want = j
				}
			}
		}
		if got := reference.FirstExcess(at, rate, burst); got != want {
			t.Fatalf("Exceeds = %d, want %d", got, want)
		}
	})
}
