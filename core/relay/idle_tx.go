package relay

import (
	"slices"
	"time"

	"skylarkdeal/core/connpool"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/statement"
)

// starvedFor is how long after an operation found no connection to an instance others count as waiting for
// one: some ticks, each of which tries again.
const starvedFor = 20 * time.Millisecond

// starved reports whether operations wait for a connection to the instance.
func (i *instance) starved(now time.Time) bool {
	return !i.starvedAt.IsZero() && now.Sub(i.starvedAt) <= starvedFor
}

// mayBeginTx reports whether an operation may begin a transaction on the instance: not while other accounts
// wait for a connection and its own holds as many in transactions as it may.
//
// Guards against an account whose callers take each connection again that its idle transactions give up.
func (i *instance) mayBeginTx(now time.Time, o *operation) bool {
	if !o.beginsTx || !i.starved(now) || i.openTxs(o.s.account) < connpool.MaxIdle(i.maxConns(now)) {
		return true
	}
	leads := i.g.isPrimary(i.info.Name)
	for _, x := range i.g.waiting {
		if x.s.account != o.s.account && x.mayWaitFor(i, leads) {
			return false
		}
	}
	return true
}

// openTxs counts the connections on which a transaction of an account is open.
func (i *instance) openTxs(a fleet.Account) int {
	n := 0
	for _, c := range i.conns {
		if c.Account == a && c.session != nil && c.session.tx.conn == c {
			n++
		}
	}
	return n
}

// idleInTx reports whether a transaction is open on the connection and no statement of it is in progress, or
// waits to be sent.
func (c *Conn) idleInTx() bool {
	s := c.session
	return s != nil && s.tx.conn == c && s.op == nil && c.op == nil && len(c.pending) == 0
}

// idleTxs counts the connections that are idle in a transaction.
func (i *instance) idleTxs() int {
	n := 0
	for _, c := range i.conns {
		if c.idleInTx() {
			n++
		}
	}
	return n
}

// tickIdleTransactions rolls back idle transactions on instances for whose connections operations wait, one at
// a time on each. They are those of this host's callers and of other hosts' that use its connections.
//
// After a pause of the process, statements that arrived meanwhile are still unread, and their transactions
// look idle.
func (r *Relay) tickIdleTransactions(now time.Time) {
	if now.Before(r.pauseGraceUntil) {
		return
	}
	for g := range r.active {
		if len(g.waiting) == 0 {
			continue
		}
		for _, i := range g.instances {
			if i.starved(now) && !i.rollingBack() {
				i.rollBackIdle(now)
			}
		}
	}
}

// rollingBack reports whether a connection is about to be free after a rollback.
func (i *instance) rollingBack() bool {
	return slices.ContainsFunc(i.conns, func(c *Conn) bool {
		return len(c.pending) > 0 && c.pending[0].kind == statement.KindRollback
	})
}

func (i *instance) rollBackIdle(now time.Time) {
	var conns []*Conn
	var txs []connpool.IdleTransaction
	for _, c := range i.conns {
		if c.idleInTx() {
			conns = append(conns, c)
			txs = append(txs, connpool.IdleTransaction{Account: c.Account, Since: c.session.tx.idleSince})
		}
	}
	limit := time.Duration(0)
	if i.g.r.catalog != nil {
		limit = i.g.r.catalog.TxIdle
	}
	n, ok := connpool.RollBack(now, txs, i.maxConns(now), limit)
	if !ok {
		return
	}
	i.g.r.counters.IdleRollbacks++
	conns[n].session.endIdle(now, "it was idle while operations waited for a connection")
}

// endIdle rolls back the session's transaction, in which no statement is in progress. Its next statement is
// answered that nothing of it is kept: what it has written is rolled back with the connection, and no commit
// of it was sent.
func (s *Session) endIdle(now time.Time, reason string) {
	e := Event{
		Kind: EventSession, Database: s.database, Account: s.account, Service: s.route.Service,
		Choice: "end the transaction", Reason: reason, Age: now.Sub(s.tx.idleSince),
	}
	if s.tx.conn != nil {
		e.Instance = s.tx.conn.Instance
	}
	s.r.logEvent(e)
	s.tx.rolledBack = true
	s.failTransaction()
}
