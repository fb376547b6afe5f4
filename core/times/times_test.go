package times_test

import (
	"fmt"
	"time"

	"skylarkdeal/core/times"
)

func ExampleLater() {
	t := time.Unix(1, 0)
	fmt.Println(times.Later(t, time.Time{}).Unix(), times.Later(time.Unix(0, 0), t).Unix())
	// Output: 1 1
}
