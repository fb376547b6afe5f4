package eventqueue_test

import (
	"fmt"
	"time"

	"skylarkdeal/internal/eventqueue"
)

func ExampleQueue() {
	var a eventqueue.Queue
	say := func(s string) func() { return func() { fmt.Print(s, " ") } }
	a.Add(2*time.Second, say("c"))
	a.Add(time.Second, say("a"))
	a.Add(time.Second, say("b"))
	a.Add(time.Minute, say("late"))
	for {
		_, do, ok := a.Next(5 * time.Second)
		if !ok {
			break
		}
		do()
	}
	// Output: a b c
}
