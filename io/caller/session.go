package caller

import (
	"context"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"skylarkdeal/core/document"
	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/journal"
)

// phase is how far a session has come.
type phase string

const (
	phaseStartup    phase = "startup"
	phaseScramFirst phase = "scram-first"
	phaseScramFinal phase = "scram-final"
	phaseReady      phase = "ready"
	// phaseLinger has sent its last message and drops what still comes in.
	phaseLinger phase = "linger"
	phaseClosed phase = "closed"
)

// session is one caller's connection. Its event loop owns it.
type session struct {
	srv   *Server
	conn  gnet.Conn
	loop  gnet.EventLoop
	phase phase
	id    uint32
	key   uint32
	proof *proof

	account fleet.Account
	service fleet.Service
	// verifier is that of the key which opened the session, version that of the
	// document in which it was last seen.
	verifier string
	version  document.Version
	// entered is set, under the server's lock, once the key is proved.
	entered bool

	settings settings
	// token is the greatest point seen, told the one that the caller knows.
	token, told fleet.LogPosition
	// served is what gave the last answer, servedTold what the caller knows.
	served, servedTold server

	statements statements
	portals    portals
	batch      *batch
	// skipping drops messages up to Sync, after an error answered to a Flush;
	// flushing is set while a Flush waits for Sync.
	skipping, flushing bool

	tx        transaction
	deadlines deadlines
	// run is the exchange in progress; no other begins before its answer has
	// been written.
	run *run
	// endedAt is when end was called.
	endedAt time.Time
	// ending, when set, ends the session at the next moment that allows it.
	ending *ending
}

// transaction is what a session knows of its open transaction.
type transaction struct {
	status exchange.TxStatus
	read   bool
	pin    exchange.Pin
	holder fleet.Host
	// lost is set when the transaction was given up by the proxy: its
	// connection is released, and the caller has still to end it.
	lost bool
}

// ending is why and when a session is to end.
type ending struct {
	refusal *failure.Refusal
	// afterTx lets an open transaction come to its end first.
	afterTx bool
}

func newSession(s *Server, c gnet.Conn) *session {
	return &session{
		srv: s, conn: c, loop: c.EventLoop(), phase: phaseStartup,
		tx: transaction{status: exchange.TxIdle},
	}
}

// task is a call that crosses over to the event loop of a session.
type task struct {
	x *session
	f func(*session)
}

// Run is called by the event loop.
func (t task) Run(context.Context) error {
	if t.x.phase != phaseClosed {
		t.f(t.x)
	}
	return nil
}

// post has f called on the session's event loop. After the engine has stopped
// it does nothing, as gone has been called by then.
func (x *session) post(f func(*session)) {
	_ = x.loop.Execute(context.Background(), task{x, f})
}

// process works on buffered input until an answer is owed or a message is
// incomplete.
//
// The bound on steps is made for callers that pipeline what the host answers
// itself: the other sessions of the event loop get their turn in between.
func (x *session) process() {
	for range maxSteps {
		if !x.step() {
			x.watchInput()
			return
		}
	}
	x.post((*session).process)
}

// maxSteps is about a millisecond of work.
const maxSteps = 512

func (x *session) step() bool {
	switch x.phase {
	case phaseStartup:
		return x.startupPacket()
	case phaseScramFirst, phaseScramFinal:
		return x.proofMessage()
	case phaseReady:
		return x.message()
	case phaseLinger:
		_, _ = x.conn.Discard(-1)
	case phaseClosed:
	}
	return false
}

// write hands b to the socket; what doesn't fit is buffered by gnet.
func (x *session) write(b []byte) {
	if len(b) > 0 && x.phase != phaseClosed {
		_, _ = x.conn.Write(b)
	}
}

// end sends r as a fatal error and closes the session, dropping what the
// caller has sent ahead.
func (x *session) end(r *failure.Refusal) {
	if x.phase == phaseLinger || x.phase == phaseClosed {
		return
	}
	x.srv.metrics.ended.WithLabelValues(string(r.Code)).Inc()
	x.srv.cfg.Logger.Info("session ended", zap.String("account", string(x.account)),
		zap.String("service", string(x.service)), zap.String("code", string(r.Code)),
		zap.String("reason", r.Message), zap.String("step", string(r.Step)))
	x.abandon()
	x.write(appendError(nil, severityFatal, r))
	if x.phase == phaseClosed {
		return
	}
	x.phase = phaseLinger
	_, _ = x.conn.Discard(-1)
	x.endedAt = x.srv.cfg.Now()
	x.deadlines = deadlines{linger: x.endedAt.Add(lingerFor)}
	x.arm()
	if x.conn.OutboundBuffered() == 0 {
		_ = syscall.Shutdown(x.conn.Fd(), syscall.SHUT_WR)
	}
}

// gone cleans up after the connection has closed.
func (x *session) gone() {
	x.abandon()
	x.phase = phaseClosed
	x.srv.unregister(x)
	x.statements, x.portals, x.batch, x.proof = statements{}, portals{}, nil, nil
}

// abandon gives up what runs for the session. An open transaction is released,
// by the run in progress if there is one.
func (x *session) abandon() {
	if x.run != nil {
		x.run.abandon()
		x.run = nil
		x.tx.pin, x.tx.holder = 0, ""
		return
	}
	x.release()
}

// release gives up the connection of an open transaction.
func (x *session) release() {
	if x.tx.pin == 0 {
		return
	}
	x.srv.cfg.Runner.Release(x.tx.holder, x.tx.pin)
	x.tx.pin, x.tx.holder = 0, ""
}

// endWhenAllowed ends the session for e, now or as soon as e allows.
func (x *session) endWhenAllowed(e *ending) {
	if x.phase != phaseReady {
		x.end(e.refusal)
		return
	}
	if x.ending == nil || x.ending.afterTx {
		x.ending = e
	}
	x.checkEnding()
}

// checkEnding ends the session when that is due and no answer is owed. It
// reports whether the session has ended.
func (x *session) checkEnding() bool {
	if x.ending == nil || x.run != nil {
		return false
	}
	if x.ending.afterTx && x.tx.status != exchange.TxIdle {
		return false
	}
	x.end(x.ending.refusal)
	return true
}

func (x *session) journal(choice, reason string) {
	x.srv.cfg.Journal.Add(journal.Decision{
		At: x.srv.cfg.Now(), Kind: journal.KindSession,
		Subject: "service=" + string(x.service) + " account=" + string(x.account),
		Choice:  choice, Reason: reason,
	})
}
