package caller_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"

	"skylarkdeal/core/exchange"
	"skylarkdeal/io/caller"
)

// A connection says nothing, or stops half-way through its start. It is closed
// when its time is up, by the host's clock.
func TestStartupTimeout(t *testing.T) {
	c := qt.New(t)
	f, skew := startSkewed(t, func(cfg *caller.Config) { cfg.StartupTimeout = time.Hour })
	w, open := rawConn(t, f), wireConn(t, f, "")
	until(t, "both", func() bool { return f.State().Sessions == 2 })
	skew.Store(int64(2 * time.Hour))
	c.Assert(w.read(1), qt.Equals, "FATAL(08P01) end")
	c.Assert(open.ask("get a"), qt.Equals, "T D(get a) C(GET) Z(I)")
}

// A handheld opens a transaction and says no more. Its connection is taken back
// after a while by the host's clock; a session without a transaction may stay.
func TestIdleInTransaction(t *testing.T) {
	c := qt.New(t)
	f, skew := startSkewed(t, func(cfg *caller.Config) { cfg.IdleInTransaction = time.Hour })
	idle, inTx, ended := wireConn(t, f, ""), wireConn(t, f, ""), wireConn(t, f, "")
	inTx.ask("begin")
	ended.ask("begin")
	ended.ask("commit")
	skew.Store(int64(40 * time.Minute))
	c.Assert(inTx.ask("get a"), qt.Equals, "T D(get a) C(GET) Z(T)")
	skew.Store(int64(80 * time.Minute))
	c.Assert(inTx.ask("get a"), qt.Equals, "T D(get a) C(GET) Z(T)")
	skew.Store(int64(200 * time.Minute))
	c.Assert(inTx.read(1), qt.Equals, "FATAL(25P03) end")
	c.Assert(f.fake.releasedPins(), qt.DeepEquals, []exchange.Pin{1})
	c.Assert(idle.ask("get a"), qt.Equals, "T D(get a) C(GET) Z(I)")
	c.Assert(ended.ask("get a"), qt.Equals, "T D(get a) C(GET) Z(I)")
}

// A caller sends a large message but for its end, and a large batch without
// Sync, and leaves it there. On many sessions that would be the host's memory.
// A short rest of a message costs little, and its session stays.
func TestInputWithoutEnd(t *testing.T) {
	c := qt.New(t)
	f, skew := startSkewed(t, func(*caller.Config) {})
	long := strings.Repeat("x", 100_000)
	message, batch, short := wireConn(t, f, ""), wireConn(t, f, ""), wireConn(t, f, "")
	b := must((&pgproto3.Query{String: long}).Encode(nil))
	_, _ = message.Write(b[:len(b)-1])
	batch.send(&pgproto3.Parse{Query: long})
	q := must((&pgproto3.Query{String: "get a"}).Encode(nil))
	_, _ = short.Write(q[:len(q)-1])
	until(t, "two are timed", func() bool { return f.State().Timed == 2 })
	skew.Store(int64(time.Minute))
	c.Assert(message.read(1), qt.Equals, "FATAL(08P01) end")
	c.Assert(batch.read(1), qt.Equals, "FATAL(08P01) end")
	_, _ = short.Write(q[len(q)-1:])
	c.Assert(short.read(1), qt.Equals, "T D(get a) C(GET) S Z(I)")
}

// A driver sends Bind, Execute and Flush and waits. The answer would need a
// Sync, which ends the transaction, so none comes; the caller is told why.
func TestFlushThatIsNotAnswered(t *testing.T) {
	c := qt.New(t)
	f, skew := startSkewed(t, func(cfg *caller.Config) { cfg.StartupTimeout = time.Hour })
	w := wireConn(t, f, "")
	bind := []pgproto3.FrontendMessage{&pgproto3.Parse{Query: "get a"}, &pgproto3.Bind{}, &pgproto3.Execute{}}
	w.send(append(bind, &pgproto3.Flush{}, &pgproto3.Sync{})...)
	c.Assert(w.read(1), qt.Equals, "1 2 D(get a) C(GET) S Z(I)")
	w.send(append(bind, &pgproto3.Flush{})...)
	until(t, "timed", func() bool { return f.State().Timed == 1 })
	skew.Store(int64(2 * time.Hour))
	c.Assert(w.read(1), qt.Equals, "FATAL(0A000) end")
	c.Assert(f.fake.count(), qt.Equals, 1)
}
