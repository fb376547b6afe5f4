package ring_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/ring"
)

func ExampleRecent() {
	r := ring.Recent[int]{Keep: 3}
	for n := range 5 {
		r.Add(n)
	}
	fmt.Println(r.All())
	// Output: [2 3 4]
}

func TestRingRejectsWhenFull(t *testing.T) {
	c := qt.New(t)
	r := ring.New[int](2)
	c.Assert(r.TryPut(1), qt.IsTrue)
	c.Assert(r.TryPut(2), qt.IsTrue)
	c.Assert(r.TryPut(3), qt.IsFalse)
	c.Assert(<-r.Out(), qt.Equals, 1)
	c.Assert(r.TryPut(3), qt.IsTrue)
	c.Assert(r.Len(), qt.Equals, 2)
}

func TestRingReturnsTheOldestValueFirst(t *testing.T) {
	c := qt.New(t)
	r := ring.New[int](2)
	_, ok := r.TryTake()
	c.Assert(ok, qt.IsFalse)
	r.TryPut(1)
	r.TryPut(2)
	v, ok := r.TryTake()
	c.Assert(ok, qt.IsTrue)
	c.Assert(v, qt.Equals, 1)
	c.Assert(r.Len(), qt.Equals, 1)
}

// Each takes the values in order, and takes no more once its context has ended.
func TestEachEndsWithItsContext(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := ring.New[int](3)
	for n := range 3 {
		r.TryPut(n)
	}
	var taken []int
	r.Each(ctx, func(n int) {
		taken = append(taken, n)
		if n == 1 {
			cancel()
		}
	})
	c.Assert(taken, qt.DeepEquals, []int{0, 1})
	c.Assert(r.Len(), qt.Equals, 1)
}
