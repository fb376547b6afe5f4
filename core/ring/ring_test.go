package ring_test

import (
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

func TestRingRefusesWhenFull(t *testing.T) {
	c := qt.New(t)
	r := ring.New[int](2)
	c.Assert(r.TryPut(1), qt.IsTrue)
	c.Assert(r.TryPut(2), qt.IsTrue)
	c.Assert(r.TryPut(3), qt.IsFalse)
	c.Assert(<-r.Out(), qt.Equals, 1)
	c.Assert(r.TryPut(3), qt.IsTrue)
	c.Assert(r.Len(), qt.Equals, 2)
}
