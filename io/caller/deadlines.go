package caller

import (
	"time"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
)

// The times that a caller may take. A Config can change the first.
const (
	// DefaultIdleInTransaction is how long a caller may think within a
	// transaction. Made for handhelds that lose their radio, and programs that
	// hang, with a transaction open: each keeps one of 16 or 32 connections, and
	// a few of them stop a service. Half a minute is far above what a program
	// needs between two statements, and well below the time after which TCP
	// notices a lost caller.
	DefaultIdleInTransaction = 30 * time.Second
	// inputTimeout is how long a session may keep more than inputFree bytes of a
	// message or batch that doesn't come to its end. Made for callers that send a
	// megabyte but for its last byte on each of their sessions: half a minute
	// lets a slow handheld send a large batch, and smaller rests are within what
	// an idle session may take.
	inputTimeout = 30 * time.Second
	inputFree    = 16 << 10
	// lingerFor is how long a session with its last message sent waits for the
	// caller to close. A close with unread bytes resets the connection, and the
	// caller would lose the message that says why.
	lingerFor = time.Second
	// maxLinger is how long it waits for a caller that hasn't read all of its answer, as on a slow link.
	maxLinger = 30 * time.Second
)

var (
	errStartupTimeout = &failure.Refusal{
		Code: failure.CodeProtocol, Message: "start-up took too long", Step: "startup",
	}
	errFlush = &failure.Refusal{
		Code: failure.CodeUnsupported, Step: "flush",
		Message: "Flush after Bind or Execute is answered at Sync, which did not come",
	}
	errIdleTx = &failure.Refusal{
		Code: "25P03", Step: "idle",
		Message: "the transaction was idle for too long and is rolled back",
	}
	errInput = &failure.Refusal{
		Code: failure.CodeProtocol, Step: "read message",
		Message: "a message or batch did not come to its end in time",
	}
)

// deadlines are the times at which a session ends if nothing happens; zero ones
// don't hold.
type deadlines struct {
	startup, flush, idle, input, linger time.Time
	// armed is when the server looks at the session next. It may be early, never
	// late.
	armed time.Time
}

func (d *deadlines) first() time.Time {
	var first time.Time
	for _, t := range [...]time.Time{d.startup, d.flush, d.idle, d.input, d.linger} {
		if !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first
}

// arm has the server look at the session when its first deadline comes. A
// deadline that moves away is only noticed then, so that the statements of a
// transaction don't each touch what all sessions share.
func (x *session) arm() {
	first := x.deadlines.first()
	armed := x.deadlines.armed
	if first.Equal(armed) || (!first.IsZero() && !armed.IsZero() && armed.Before(first)) {
		return
	}
	x.deadlines.armed = first
	x.srv.waitUntil(x, first)
}

// timeUp ends a session of which a deadline has come.
func (x *session) timeUp() {
	now := x.srv.cfg.Now()
	past := func(t time.Time) bool { return !t.IsZero() && !now.Before(t) }
	d := &x.deadlines
	if x.run != nil && past(d.idle) {
		d.idle = now.Add(x.srv.cfg.IdleInTransaction)
	}
	switch {
	case past(d.linger) && x.conn.OutboundBuffered() > 0 && now.Sub(x.endedAt) < maxLinger:
		d.linger = now.Add(lingerFor)
	case past(d.linger):
		_ = x.loop.Close(x.conn)
		return
	case past(d.startup):
		x.end(errStartupTimeout)
	case past(d.flush):
		x.end(errFlush)
	case past(d.idle):
		x.end(errIdleTx)
	case past(d.input):
		x.end(errInput)
	}
	if x.phase != phaseClosed {
		d.armed = time.Time{}
		x.arm()
	}
}

// watchIdle notes that the session waits for its caller.
func (x *session) watchIdle() {
	x.deadlines.idle = time.Time{}
	if x.tx.status != exchange.TxIdle {
		x.deadlines.idle = x.srv.cfg.Now().Add(x.srv.cfg.IdleInTransaction)
	}
	x.arm()
}

// watchInput notes whether much input waits for its end.
func (x *session) watchInput() {
	if x.phase != phaseReady {
		return
	}
	n := x.conn.InboundBuffered()
	if x.batch != nil {
		n += len(x.batch.payload)
	}
	waits := x.run == nil && n > inputFree
	if waits != x.deadlines.input.IsZero() {
		return
	}
	x.deadlines.input = time.Time{}
	if waits {
		x.deadlines.input = x.srv.cfg.Now().Add(inputTimeout)
	}
	x.arm()
}
