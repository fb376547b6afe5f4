package caller_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"

	"skylarkdeal/core/exchange"
	"skylarkdeal/io/caller"
)

// A caller asks for many rows and stops reading. The rest of the answer waits
// at the instance and not in the host's memory, other sessions of the same event
// loop go on, and after a while the connection is taken back.
func TestCallerThatDoesNotRead(t *testing.T) {
	c := qt.New(t)
	f := start(t, func(cfg *caller.Config) {
		cfg.EventLoops, cfg.MaxUnread, cfg.StallTimeout = 1, 64<<10, 300*time.Millisecond
	})
	ended := make(chan error, 1)
	sent := 0
	f.fake.answerBy(func(q *exchange.Request, r exchange.Reply) bool {
		if !strings.Contains(string(q.Payload), "rows") {
			return false
		}
		row := must((&pgproto3.DataRow{Values: [][]byte{make([]byte, 16<<10)}}).Encode(nil))
		for {
			if err := r.Send(row); err != nil {
				r.Done(exchange.Result{Outcome: exchange.OutcomeUnknown})
				ended <- err
				return true
			}
			sent += len(row)
		}
	})
	other := connect(t, f.url("hotel", keyA, ""))
	w := wireConn(t, f, "")
	w.send(&pgproto3.Query{String: "rows 1000000"})
	for stalled := true; stalled; {
		ping(t, other)
		select {
		case err := <-ended:
			c.Assert(err, qt.IsNotNil)
			stalled = false
		default:
		}
	}
	// What was taken fits the sockets' own buffers and the bound.
	c.Assert(sent < 32<<20, qt.IsTrue, qt.Commentf("%d", sent))
	until(t, "only the other session", func() bool { return f.State().Sessions == 1 })
	ping(t, other)
}

// A caller pipelines statements that the host answers itself and never reads.
// No runner is held up by that, so only the session's own bound keeps the
// answers out of the host's memory.
func TestCallerThatPipelinesWithoutReading(t *testing.T) {
	f := start(t, func(cfg *caller.Config) { cfg.EventLoops, cfg.MaxUnread = 1, 16<<10 })
	other := connect(t, f.url("hotel", keyA, ""))
	w := wireConn(t, f, "")
	batch := bytes.Repeat(must((&pgproto3.Query{String: "SHOW server_version"}).Encode(nil)), 1000)
	ended := func() bool {
		_, err := w.Write(batch)
		ping(t, other)
		return err != nil
	}
	until(t, "ended", ended)
	until(t, "gone", func() bool { return f.State().Sessions == 1 })
}

// A caller goes on sending while an answer is owed.
func TestCallerThatSendsAhead(t *testing.T) {
	c := qt.New(t)
	f := start(t, func(cfg *caller.Config) { cfg.MaxMessage = 64 << 10 })
	running, finish := make(chan struct{}), make(chan struct{})
	defer close(finish)
	f.fake.answerBy(holdUntil(running, finish))
	w := wireConn(t, f, "")
	w.send(&pgproto3.Query{String: "get a"})
	<-running
	_, _ = w.Write(bytes.Repeat(must((&pgproto3.Query{String: "get b"}).Encode(nil)), 20_000))
	c.Assert(w.read(1), qt.Equals, "FATAL(54000) end")
	c.Assert(f.fake.count(), qt.Equals, 1)
}

// A caller prepares a statement for each call and closes none.
func TestStatementsOfASessionAreBounded(t *testing.T) {
	c := qt.New(t)
	f := start(t, nil)
	w := wireConn(t, f, "")
	big := strings.Repeat("x", 900_000)
	prepare := func(n int) string {
		w.send(&pgproto3.Parse{Name: fmt.Sprint("s", n), Query: big}, &pgproto3.Sync{})
		return strings.ReplaceAll(w.read(1), "S Z", "Z")
	}
	for n := range 4 {
		c.Assert(prepare(n), qt.Equals, "1 Z(I)")
	}
	c.Assert(prepare(4), qt.Equals, "ERROR(54000) Z(I)")
	w.send(&pgproto3.Close{ObjectType: 'S', Name: "s0"}, &pgproto3.Sync{})
	c.Assert(w.read(1), qt.Equals, "3 Z(I)")
	c.Assert(prepare(4), qt.Equals, "1 Z(I)")

	w = wireConn(t, f, "")
	var msgs []pgproto3.FrontendMessage
	for n := range 1001 {
		msgs = append(msgs, &pgproto3.Bind{DestinationPortal: fmt.Sprint("p", n)})
	}
	w.send(append([]pgproto3.FrontendMessage{&pgproto3.Parse{Query: "get a"}}, append(msgs, &pgproto3.Sync{})...)...)
	c.Assert(w.read(1), qt.Equals, "ERROR(54000) Z(I)")

	// These add nothing to what is sent on, and so are counted.
	set := must((&pgproto3.Parse{Query: "SET x = 1"}).Encode(nil))
	_, _ = w.Write(bytes.Repeat(set, 20_001))
	c.Assert(w.read(1), qt.Equals, "FATAL(54000) end")
}
