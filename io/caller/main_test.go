package caller_test

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	// One seed, so that each run has the same verdict.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	// The pool of workers that gnet makes when it is imported is never closed.
	goleak.VerifyTestMain(m,
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"))
}
