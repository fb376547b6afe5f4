package caller_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/caller"
)

// A host shuts down under load. Each caller sends statements as fast as it is
// answered, so that many are on their way when the host asks to connect again.
// A caller must be able to take 57P01 for "not run": every statement that was
// run has its answer, and no caller sees any other error.
func TestDrainUnderLoadCutsNothing(t *testing.T) {
	c := qt.New(t)
	f := start(t, nil)
	var answered atomic.Int64
	var callers sync.WaitGroup
	codes := make(chan string, 32)
	for range cap(codes) {
		conn := connect(t, f.url("hotel", keyA, ""))
		callers.Go(func() {
			for {
				if _, err := conn.Exec(context.Background(), "put a 1"); err != nil {
					codes <- pgError(err).Code
					return
				}
				answered.Add(1)
			}
		})
	}
	until(t, "under load", func() bool { return answered.Load() > 500 })
	c.Assert(f.Drain(limit(t)), qt.IsNil)
	callers.Wait()
	for range cap(codes) {
		c.Assert(<-codes, qt.Equals, "57P01")
	}
	c.Assert(int64(f.fake.count()), qt.Equals, answered.Load())
}

// A caller sends its next statement just as its idle session is ended. Were the
// socket closed at once, its write would fail, and it would see a broken
// connection with an unknown outcome in place of the message that asks it to
// connect again.
func TestEndedSessionStillTakesWrites(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	f := start(t, func(cfg *caller.Config) { cfg.Now = func() time.Time { return now } })
	w := wireConn(t, f, "")
	go func() { _ = f.Drain(limit(t)) }()
	until(t, "ended", func() bool { s := f.State(); return s.Timed == 1 || s.Sessions == 0 })
	ask := must((&pgproto3.Query{String: "put a 1"}).Encode(nil))
	taken := 0
	until(t, "20 writes taken", func() bool {
		_, err := w.Write(ask)
		c.Assert(err, qt.IsNil)
		taken++
		return taken == 20
	})
	c.Assert(w.read(1), qt.Equals, "FATAL(57P01) end")
	c.Assert(f.fake.count(), qt.Equals, 0)
	_ = w.Close()
}

// Guards against an answer that a shutdown cuts off because its caller, on a slow link, still reads it.
func TestDrainLetsASlowCallerReadItsAnswer(t *testing.T) {
	c := qt.New(t)
	const rows, size = 64, 256 << 10
	f := start(t, func(cfg *caller.Config) { cfg.MaxUnread = 2 * rows * size })
	sent := make(chan struct{})
	f.fake.answerBy(func(_ *exchange.Request, r exchange.Reply) bool {
		go func() {
			row := must((&pgproto3.DataRow{Values: [][]byte{make([]byte, size)}}).Encode(nil))
			for range rows {
				_ = r.Send(row)
			}
			r.Done(exchange.Result{Outcome: exchange.OutcomeDone, Position: fleet.LogPosition{Term: 9, Index: 9}})
			close(sent)
		}()
		return true
	})
	w := wireConn(t, f, "")
	_ = w.Conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	w.send(&pgproto3.Query{String: "get a"})
	go func() { _ = f.Drain(limit(t)) }()
	<-sent
	time.Sleep(2 * time.Second)
	got, done := 0, false
	for !done {
		m, err := w.Receive()
		c.Assert(err, qt.IsNil)
		switch m.(type) {
		case *pgproto3.DataRow:
			got++
		case *pgproto3.ErrorResponse:
			done = true
		}
	}
	c.Check(got, qt.Equals, rows)
}
