package relay

import (
	"time"

	"skylarkdeal/core/fleet"
)

// wantConn records that an operation wants a connection of this host's own to the instance, once for each
// time that its instance changes.
func (i *instance) wantConn(now time.Time, o *operation) {
	if o.wantedAt == i || o.conn != nil && o.conn.via != "" {
		return
	}
	o.wantedAt = i
	i.pool.Want(now, o.s.account, o.route.Priority)
}

// evictable returns the idle connection to close in favour of account a, nil if there is none.
func (i *instance) evictable(now time.Time, a fleet.Account) *Conn {
	i.recordWaiting(now)
	e := i.pool.Evict(now, a, i.slotsInUse() < i.ownSlots(now))
	for n, c := range i.conns {
		if c.state == connIdle && !c.reserved {
			e.Offer(n, c.demand, c.stateSince)
		}
	}
	if n, ok := e.Choice(); ok {
		return i.conns[n]
	}
	return nil
}

// evict closes an idle connection in favour of another account.
func (i *instance) evict(c *Conn) {
	i.g.r.counters.Evictions++
	c.retire()
}

// recordWaiting records the accounts whose operations wait for a connection to the instance. It does so once
// for each round of dispatch, and only if a connection is to be evicted.
func (i *instance) recordWaiting(now time.Time) {
	if i.waitingSeenAt.Equal(now) {
		return
	}
	i.waitingSeenAt = now
	leads := i.g.isPrimary(i.info.Name)
	for _, o := range i.g.waiting {
		if o.mayWaitFor(i, leads) && i.mayBeginTx(now, o) {
			i.pool.Account(o.s.account).SetWaiting(now)
		}
	}
}

// mayWaitFor reports whether the operation, which waits, may run on the instance. leads tells whether the
// instance is the primary.
func (o *operation) mayWaitFor(i *instance, leads bool) bool {
	if o.s.boundInstance != "" {
		return o.s.boundInstance == i.info.Name
	}
	return (leads || !o.needsPrimary) && !o.excluded.Has(i.info.Name)
}

// slotsInUse counts the connections that take a slot of the instance: those that are made, and those that run
// a statement.
func (i *instance) slotsInUse() int {
	n := 0
	for _, c := range i.conns {
		if c.state == connDialling || len(c.pending) > 0 && !takesNoSlot(c.pending[0].kind) {
			n++
		}
	}
	return n
}

// ownSlots returns how many of the instance's slots this host counts on: all of them if it holds the
// connections for all hosts, its even share otherwise.
func (i *instance) ownSlots(now time.Time) int {
	if i.direct(now) {
		return max(1, i.info.Slots/i.g.r.hostCount)
	}
	return max(1, i.info.Slots)
}
