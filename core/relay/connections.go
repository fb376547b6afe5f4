package relay

import (
	"slices"
	"time"

	"skylarkdeal/core/fleet"
)

const (
	// minConnections is the least bound of a host's connections to an instance: one for a transaction
	// whose caller pauses, and another one beside it.
	minConnections = 2
	// discoveryPeriod is how long after its start a host waits to hear the other hosts before it makes
	// more than one connection to instances that they may hold.
	discoveryPeriod = 800 * time.Millisecond
	// nonHolderIdleTimeout is how long a connection to an instance that another host holds may be idle.
	nonHolderIdleTimeout = 200 * time.Millisecond
	// nonHolderReserveDivisor sets how many of an instance's connections its holder leaves free in a
	// fleet with more hosts than half of the connections: a quarter. Only hosts that have just started
	// have connections there.
	nonHolderReserveDivisor = 4
	// tooManyHold is how long a host keeps to the connections that it has after an instance had no room
	// for more.
	tooManyHold = 3 * time.Second
	// idleTimeout is how long a connection beyond the host's share may be idle. It is then closed, so
	// that other hosts can make one.
	idleTimeout = 2 * time.Second
)

// maxConns returns how many connections the host may have to the instance.
//
// One of the instance's connections is left free for each host. Hosts that lose power close no
// connections, and the instance keeps them for 3 s. Hosts that return earlier would find no room and
// could serve no caller. With six hosts and 16 connections, after a loss of power of all hosts, the
// share of statements served in the two worst seconds was 0.21 instead of 0.01, and no lower on quiet
// days.
func (i *instance) maxConns(now time.Time) int {
	if i.g.r.forwarding.peersIncomplete {
		return 0
	}
	n := max(minConnections, i.connShare())
	switch _, held := i.g.r.holder(i); {
	case i.direct(now):
	case i.g.r.knowsNoHolder(i) &&
		(now.Sub(i.g.r.startedAt) < discoveryPeriod || minConnections*i.g.r.hostCount > i.connLimit()):
		n = 1
	case held && minConnections*i.g.r.hostCount > i.connLimit():
		// For status requests only: if all hosts had connections, they would fill the instance without
		// running a statement.
		n = 1
	case !held:
		// Connections that other hosts still have are closed soon. The backoff bounds the cost of
		// refusals until then.
		return max(minConnections, i.connLimit()-i.nonHolderReserve())
	}
	if !i.connLimitAt.IsZero() && now.Sub(i.connLimitAt) < tooManyHold {
		return max(1, min(i.connsAtLimit, n))
	}
	return n
}

// nonHolderReserve returns how many connections the holder of an instance leaves free: one for each
// host, as long as the holder keeps at least half.
func (i *instance) nonHolderReserve() int {
	if n := i.g.r.hostCount; n <= i.connLimit()/2 {
		return n
	}
	return i.connLimit() / nonHolderReserveDivisor
}

// defaultConnections stands for the limit of a service that isn't known yet.
const defaultConnections = 8

// connShare returns this host's even share of the connections, which is kept open.
func (i *instance) connShare() int {
	return max(1, (i.connLimit()-i.g.r.hostCount)/i.g.r.hostCount)
}

// connLimit returns how many connections the instance accepts from all hosts together.
func (i *instance) connLimit() int {
	if n := i.g.service.Connections; n > 0 {
		return n
	}
	return defaultConnections
}

// openConns counts the connections that have been made.
func (i *instance) openConns() int {
	n := 0
	for _, c := range i.conns {
		if c.state != connDialling {
			n++
		}
	}
	return n
}

func (i *instance) remove(c *Conn) {
	if c.demand != nil {
		c.demand.Closed()
	}
	i.conns = slices.DeleteFunc(i.conns, func(o *Conn) bool { return o == c })
}

// idleConn returns the idle connection that an operation can use with the fewest setup statements, and
// their number. A connection that isn't covered by a status comes last if the operation relies on that.
func (i *instance) idleConn(o *operation) (*Conn, int) {
	var best *Conn
	least := 0
	relies := o.reliesOnStatus(i)
	for _, c := range i.conns {
		if c.state != connIdle || c.Account != o.s.account {
			continue
		}
		n := len(c.setupStatements(o.s, o.prepared))
		better := best == nil || n < least
		if relies && best != nil && c.coveredByStatus() != best.coveredByStatus() {
			better = c.coveredByStatus()
		}
		if better {
			best, least = c, n
		}
	}
	return best, least
}

// longestIdle returns the connection that has been idle longest, of any account, except for reserved
// ones. A reserved connection that is closed to make room for another account would still be given to
// its operation, and what is sent on it would be lost.
func (i *instance) longestIdle() *Conn {
	var best *Conn
	for _, c := range i.conns {
		if c.state == connIdle && !c.reserved && (best == nil || c.stateSince.Before(best.stateSince)) {
			best = c
		}
	}
	return best
}

// dial starts a connection for an account.
func (i *instance) dial(a fleet.Account) *Conn {
	c := &Conn{
		Service: i.g.name, Instance: i.info.Name, Address: i.info.Address, Account: a,
		g: i.g, inst: i, values: map[string]string{}, prepared: map[string]bool{},
	}
	c.setState(connDialling)
	i.g.wake()
	c.demand = i.pool.Opened(a)
	i.conns = append(i.conns, c)
	i.g.r.counters.Connects++
	i.g.r.cfg.Dial(c)
	return c
}

// accountSwitchDelay is how long a connection has to have been idle before it is closed in favour of
// another account's operation, unless the operation has waited for twice as long. A new connection
// takes 12 ms of the instance's time, which is too much for every statement of accounts that alternate.
const accountSwitchDelay = 5 * time.Millisecond

// connect starts a connection for an operation, if there is room.
func (i *instance) connect(now time.Time, o *operation) *Conn {
	i.wantConn(now, o)
	paused := now.Before(i.nextDial)
	if paused && i.failures > 0 || i.saturated(o.s.account) {
		return nil
	}
	if !paused && len(i.conns) < i.maxConns(now) {
		return i.dial(o.s.account)
	}
	c := i.evictable(now, o.s.account)
	if c == nil {
		i.starvedAt = now
		return nil
	}
	if now.Sub(c.stateSince) < accountSwitchDelay && now.Sub(o.startedAt) < 2*accountSwitchDelay {
		return nil
	}
	i.evict(c)
	return i.dial(o.s.account)
}

// saturated reports whether another connection of an account would bring nothing: all slots of the
// instance are taken, one of them by a statement of that account, whose connection is free once the
// statement ends. A connection takes 12 ms of a slot, which is more than most statements take. When one
// was made for each waiting statement, connections took a third of a busy primary's time.
func (i *instance) saturated(a fleet.Account) bool {
	running, own := 0, false
	for _, c := range i.conns {
		if len(c.pending) > 0 && c.state == connBusy {
			running++
			own = own || c.Account == a
		}
	}
	return own && running >= max(i.info.Slots, 1)
}

// closeIdleConns closes connections that have been idle for too long beyond the host's share, and idle
// connections to an instance that was removed.
func (i *instance) closeIdleConns(now time.Time) {
	if len(i.conns) == 0 {
		return
	}
	keep, timeout := i.connShare(), idleTimeout
	if _, ok := i.g.r.holder(i); ok {
		keep, timeout = 0, nonHolderIdleTimeout
	} else if !i.direct(now) && !i.g.r.knowsNoHolder(i) {
		keep = i.maxConns(now)
	}
	for _, c := range slices.Clone(i.conns) {
		if c.state == connIdle && (i.removed || len(i.conns) > keep && now.Sub(c.stateSince) > timeout) {
			c.retire()
		}
	}
}
