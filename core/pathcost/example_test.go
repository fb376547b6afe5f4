package pathcost_test

import (
	"fmt"
	"time"

	"skylarkdeal/core/pathcost"
)

// A replica beside the caller that is three times as slow as a far one is still the better for a
// caller who has half a second, and not for one who has a tenth.
func ExamplePath_Cost() {
	near := pathcost.Path{Latency: 90 * time.Millisecond, Slots: 2}
	far := pathcost.Path{Latency: 30 * time.Millisecond, Slots: 2, Remote: true}
	for _, target := range []time.Duration{500 * time.Millisecond, 100 * time.Millisecond} {
		fmt.Println(target, near.Cost(target) < far.Cost(target))
	}
	// Output:
	// 500ms true
	// 100ms false
}
