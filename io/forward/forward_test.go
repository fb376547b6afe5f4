package forward_test

import (
	"encoding/binary"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"skylarkdeal/core/backpressure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
	"skylarkdeal/io/forward"
	"skylarkdeal/io/forward/forwardpb"
)

// received holds what a reader has decoded.
type received struct {
	hosts    []fleet.Host
	requests []relay.Forward
	streams  []uint64
	answers  []statement.Answer
	loads    [][]uint32
}

func reader() (*forward.Reader, *received) {
	g := &received{}
	return &forward.Reader{
		Hello:   func(h fleet.Host) { g.hosts = append(g.hosts, h) },
		Request: func(f relay.Forward) { g.requests = append(g.requests, f) },
		Load:    func(_ uint64, millis []uint32) { g.loads = append(g.loads, millis) },
		Reply: func(s uint64, a statement.Answer) {
			g.streams, g.answers = append(g.streams, s), append(g.answers, a)
		},
	}, g
}

func request() relay.Forward {
	return relay.Forward{
		Stream: 7, Service: "orders", Instance: "i-1", Account: "hotel", Open: true, Close: true, Priority: 3,
		Timeout: 800 * time.Millisecond, QueueWait: 200 * time.Millisecond,
		Statements: []statement.Statement{
			{ID: "a", Kind: statement.KindSet, Name: "v0", Value: "x y"},
			{Kind: statement.KindPrepare, Name: "p", Definition: statement.Definition{Writes: true, Text: "q2c"}},
			{
				ID: "b", Kind: statement.KindExecute, Name: "p", Text: "1a4 data",
				After: fleet.Some(fleet.LogPosition{Term: 3, Index: 9}),
			},
			{Kind: statement.KindStepDown, Term: 4},
		},
	}
}

func TestFramesArriveAsTheyWereSent(t *testing.T) {
	c := qt.New(t)
	a := statement.Answer{
		Rows: []string{"one", ""}, Digest: "d", Code: statement.CodeBusy, Detail: "why", RetryAfter: 300 * time.Millisecond,
		State: statement.TxOpen, Position: fleet.Some(fleet.LogPosition{Term: 1}),
	}
	b := forward.AppendHello(nil, "h1")
	b = forward.AppendRequest(b, request())
	load := backpressure.NewLoad(func(p fleet.Priority) time.Duration { return time.Duration(p) * time.Second })
	b = forward.AppendReply(b, 7, a, load)
	b = forward.AppendReply(b, 7, a, backpressure.Load{})
	rapid.Check(t, func(t *rapid.T) {
		// The messages are the same, however the bytes are split.
		in, g := reader()
		var waiting []byte
		for rest := b; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "part")
			waiting, rest = append(waiting, rest[:n]...), rest[n:]
			for {
				used, err := in.Decode(waiting)
				if err != nil {
					t.Fatal(err)
				}
				if used == 0 {
					break
				}
				waiting = waiting[used:]
			}
		}
		if len(g.hosts) != 1 || len(g.requests) != 1 || len(g.answers) != 2 {
			t.Fatalf("%+v", g)
		}
		c.Assert(g.requests[0], qt.CmpEquals(cmp.AllowUnexported(fleet.Option[fleet.LogPosition]{})), request())
		c.Assert(g.answers[0], qt.CmpEquals(cmp.AllowUnexported(fleet.Option[fleet.LogPosition]{})), a)
		c.Assert(g.streams[0], qt.Equals, uint64(7))
		c.Assert(g.loads, qt.HasLen, 2)
		got, err := backpressure.ParseMillis(g.loads[0])
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, load)
		c.Assert(g.loads[1], qt.HasLen, 0)
	})
}

// Guards against a priority that is lost or made up on the way: the most urgent is zero, and a request
// without one is of an earlier build. The relay checks the range.
func TestPriorityOfARequest(t *testing.T) {
	c := qt.New(t)
	in, g := reader()
	for n, p := range []fleet.Priority{0, 9, 77} {
		f := request()
		f.Priority = p
		_, err := in.Decode(forward.AppendRequest(nil, f))
		c.Assert(err, qt.IsNil)
		c.Check(g.requests[n].Priority, qt.Equals, p)
	}
	earlier, err := proto.Marshal(&forwardpb.Frame{Kind: &forwardpb.Frame_Request{Request: &forwardpb.Request{Stream: 1}}})
	c.Assert(err, qt.IsNil)
	_, err = in.Decode(append(binary.BigEndian.AppendUint32(nil, uint32(len(earlier))), earlier...))
	c.Assert(err, qt.IsNil)
	c.Check(g.requests[3].Priority, qt.Equals, fleet.DefaultPriority)
}

// A peer sends a length that no frame has. The host must not buffer until all of it has arrived.
func TestLongFrameIsRefused(t *testing.T) {
	c := qt.New(t)
	in, _ := reader()
	_, err := in.Decode(binary.BigEndian.AppendUint32(nil, 1<<30))
	c.Assert(err, qt.ErrorMatches, "a frame is longer than 8 MiB")
	_, err = in.Decode([]byte{0, 0, 0, 0})
	c.Assert(err, qt.ErrorMatches, "a frame without a message")
}

func FuzzReader(f *testing.F) {
	f.Add(forward.AppendRequest(nil, request()))
	f.Add([]byte{0, 0, 0, 2, 1, 1})
	f.Fuzz(func(_ *testing.T, b []byte) {
		in, _ := reader()
		_, _ = in.Decode(b)
	})
}

// Guards against a statement or a row that isn't UTF-8 and ends the link between two hosts, with all other statements
// on it.
func TestTextThatIsNotUTF8IsForwarded(t *testing.T) {
	c := qt.New(t)
	const text = "caf\xe9 \xff"
	sent := request()
	sent.Statements = []statement.Statement{{
		ID: statement.ID(text), Kind: statement.KindPrepare, Name: text, Value: text, Text: text,
		Definition: statement.Definition{Text: text},
	}}
	answer := statement.Answer{Rows: []string{text}, Digest: text, Detail: text}
	in, g := reader()
	b := forward.AppendRequest(nil, sent)
	b = forward.AppendReply(b, 7, answer, backpressure.Load{})
	for len(b) > 0 {
		used, err := in.Decode(b)
		c.Assert(err, qt.IsNil)
		c.Assert(used > 0, qt.IsTrue)
		b = b[used:]
	}
	c.Assert(g.requests, qt.HasLen, 1)
	same := qt.CmpEquals(cmp.AllowUnexported(fleet.Option[fleet.LogPosition]{}))
	c.Check(g.requests[0].Statements, same, sent.Statements)
	c.Check(g.answers, same, []statement.Answer{answer})
}
