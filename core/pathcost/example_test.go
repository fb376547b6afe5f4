package pathcost_test

import (
	"fmt"
	"time"

	"skylarkdeal/core/pathcost"
)

// A local replica that is three times as slow as a remote one is still preferred for a caller with
// a target of half a second, but not for one with a tenth of a second.
func ExamplePath_Cost() {
	local := pathcost.Path{Latency: 90 * time.Millisecond, Slots: 2}
	remote := pathcost.Path{Latency: 30 * time.Millisecond, Slots: 2, Remote: true}
	for _, target := range []time.Duration{500 * time.Millisecond, 100 * time.Millisecond} {
		fmt.Println(target, local.Cost(target) < remote.Cost(target))
	}
	// Output:
	// 500ms true
	// 100ms false
}
