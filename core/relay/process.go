package relay

import (
	"time"

	"skylarkdeal/core/statement"
	"skylarkdeal/core/times"
)

// reliesOnStatus reports whether nothing but the instance's status tells that the operation may run there:
// a read that is sent without a log position. A plain transaction begins only on a primary, by the
// instance's own check.
func (o *operation) reliesOnStatus(i *instance) bool {
	if o.writes || o.s.tx.open && !o.s.tx.read {
		return false
	}
	if o.s.boundInstance == "" {
		return o.g.isPrimary(i.info.Name)
	}
	_, ok := o.requiredPosition.Get()
	return !ok
}

// coveredByStatus reports whether the process at the other end of the connection has itself reported that
// it leads. A status holds for the process that gave it, which is the one of a connection that was open
// when the status was asked for.
//
// Guards against reads on an instance that has started anew under its id, with nothing of what it held:
// its connections break and are made again at once, and the list tells of the new start seconds later.
func (c *Conn) coveredByStatus() bool {
	return c.inst.leads && !c.inst.termAskedAt.Before(c.openedAt)
}

// answersAsPrimary reports whether an answer of the instance that is used as the primary came from the
// process that leads. Over another host only an answer without an error shows that: its holder runs reads
// only on such a process, and the instance runs writes only as one.
func (c *Conn) answersAsPrimary(a statement.Answer) bool {
	if c.via != "" {
		return a.Code == statement.CodeNone
	}
	return c.coveredByStatus()
}

// confirmProcess requests the status of a connection's instance for an operation that relies on it, unless
// the instance has answered since the operation began.
func (g *group) confirmProcess(now time.Time, c *Conn, o *operation) {
	i := c.inst
	if c.reserved || now.Sub(c.confirmAskedAt) < statusRequestInterval {
		return
	}
	if i.termAskedAt.Before(times.Later(c.openedAt, o.startedAt)) {
		i.askedAt, c.confirmAskedAt = now, now
		c.requestStatus()
	}
}

// refuseReadsOnReplica refuses the reads of other hosts that wait for an instance which they take for the
// primary, once its status shows that it isn't.
func (g *group) refuseReadsOnReplica(i *instance) {
	for _, o := range g.waitingInOrder() {
		if o.s.boundInstance == i.info.Name && o.reliesOnStatus(i) && !o.startedAt.After(i.termAskedAt) &&
			g.queue.Remove(o.key) {
			delete(g.waiting, o.key)
			o.refuse(statement.CodeReadOnly, "the instance reports that it isn't the primary", g.r.shortRetry())
		}
	}
}
