package caller

import (
	"time"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/failure"
)

// DefaultIdleInTransaction is how long a caller may think within a transaction.
//
// Made for handhelds that lose their radio, and programs that hang, with a
// transaction open: each keeps one of 16 or 32 connections, and a few of them
// stop a service. Half a minute is far above what a program needs between two
// statements, and well below the time after which TCP notices a lost caller.
const DefaultIdleInTransaction = 30 * time.Second

var errIdleTx = &failure.Refusal{
	Code: "25P03", Step: "idle",
	Message: "the transaction was idle for too long and is rolled back",
}

// watchIdle notes that the session waits for its caller. A transaction is
// entered among the sessions that end at a time when it begins, and looked at
// again at that time, so that its statements cost nothing more.
func (x *session) watchIdle() {
	open := x.tx.status != exchange.TxIdle
	if open {
		x.idleSince = x.srv.cfg.Now()
	}
	if open != x.idleWatched {
		x.idleWatched = open
		var until time.Time
		if open {
			until = x.idleSince.Add(x.srv.cfg.IdleInTransaction)
		}
		x.srv.waitUntil(x, until)
	}
}

// idleTooLong ends a session whose transaction has been idle for too long, or
// looks again later.
func (x *session) idleTooLong() {
	now := x.srv.cfg.Now()
	due := x.idleSince.Add(x.srv.cfg.IdleInTransaction)
	if x.run == nil && !now.Before(due) {
		x.end(errIdleTx)
		return
	}
	if x.run != nil {
		due = now.Add(x.srv.cfg.IdleInTransaction)
	}
	x.srv.waitUntil(x, due)
}
