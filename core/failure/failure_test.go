package failure_test

import (
	"fmt"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/failure"
)

func ExampleAt() {
	err := failure.At(io.ErrUnexpectedEOF, "read status", "instance b")
	fmt.Println(failure.Where(err))
	// Output: read status instance b
}

func TestWhereKeepsInnermost(t *testing.T) {
	c := qt.New(t)
	err := failure.At(io.EOF, "dial", "instance b")
	err = fmt.Errorf("wrapped: %w", err)
	err = failure.At(err, "forward", "host h2")
	step, peer := failure.Where(err)
	c.Assert(step, qt.Equals, failure.Step("dial"))
	c.Assert(peer, qt.Equals, failure.Peer("instance b"))
	c.Assert(err, qt.ErrorIs, io.EOF)
}

func TestAsRefusalFindsTheRefusal(t *testing.T) {
	c := qt.New(t)
	r := &failure.Refusal{Code: failure.CodeOverRate, Message: "not run"}
	c.Assert(failure.AsRefusal(failure.At(r, "admit", "host h1")), qt.Equals, r)
	c.Assert(failure.AsRefusal(io.EOF).Code, qt.Equals, failure.CodeInternal)
}
