package relay

import (
	"slices"
	"time"

	"skylarkdeal/core/fleet"
)

const (
	// minConnections is how many connections a host may have to an instance at least: one for a
	// transaction whose caller pauses, and one beside it.
	minConnections = 2
	// discoveryPeriod is how long after its start a host waits to hear of the others before it
	// takes more than one connection to instances that they may hold.
	discoveryPeriod = 800 * time.Millisecond
	// nonHolderIdleTimeout is how long a connection rests to an instance that another host holds.
	nonHolderIdleTimeout = 200 * time.Millisecond
	// nonHolderReserveDivisor is the part of an instance's connections that its holder leaves free in a fleet
	// that has more hosts than half of them: a quarter. Only hosts that start have any there.
	nonHolderReserveDivisor = 4
	// tooManyHold is how long a host makes do with what it has after an instance had no
	// room for more.
	tooManyHold = 3 * time.Second
	// idleTimeout closes a borrowed connection that rests, so that others can have it.
	idleTimeout = 2 * time.Second
)

// maxConns returns how many connections the host may have to the instance.
//
// One of the instance's connections for each host is left free. Hosts that lose power
// reset nothing, and the instance holds on to their connections for 3 s; when they
// return before that, they would find no room and could serve nobody. Measured with six
// hosts and 16 connections, all hosts losing power: served in the two worst seconds 0.21
// in place of 0.01, and no less on quiet days.
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
		// For questions only: all hosts together would fill the instance with no statement.
		n = 1
	case !held:
		// What the others have left over from before is closed soon: the pauses between the
		// tries bound what asking again costs.
		return max(minConnections, i.connLimit()-i.nonHolderReserve())
	}
	if !i.full.IsZero() && now.Sub(i.full) < tooManyHold {
		return max(1, min(i.room, n))
	}
	return n
}

// nonHolderReserve is how many connections the holder of an instance leaves free: one for each host, as
// far as that leaves the holder a half.
func (i *instance) nonHolderReserve() int {
	if n := i.g.r.hostCount; n <= i.connLimit()/2 {
		return n
	}
	return i.connLimit() / nonHolderReserveDivisor
}

// defaultConnections stands for the limit of a service that isn't known yet.
const defaultConnections = 8

// connShare is the part of cap that is kept open.
func (i *instance) connShare() int {
	return max(1, (i.connLimit()-i.g.r.hostCount)/i.g.r.hostCount)
}

// connLimit is how many connections the instance takes from all hosts.
func (i *instance) connLimit() int {
	if n := i.g.service.Connections; n > 0 {
		return n
	}
	return defaultConnections
}

// openConns counts the connections that are made.
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
	i.conns = slices.DeleteFunc(i.conns, func(o *Conn) bool { return o == c })
}

// idleConn returns the resting connection of an account that needs the fewest statements
// to serve s, and how many.
func (i *instance) idleConn(a fleet.Account, s *Session, p *prepared) (*Conn, int) {
	var best *Conn
	least := 0
	for _, c := range i.conns {
		if c.state != connIdle || c.Account != a {
			continue
		}
		if n := len(c.setupStatements(s, p)); best == nil || n < least {
			best, least = c, n
		}
	}
	return best, least
}

// longestIdle returns the connection that has rested longest, of whatever account, but for those
// that are offered to an operation: one that was closed to make room for another account
// would be taken all the same, and what is sent on it is lost.
func (i *instance) longestIdle() *Conn {
	var best *Conn
	for _, c := range i.conns {
		if c.state == connIdle && !c.reserved && (best == nil || c.stateSince.Before(best.stateSince)) {
			best = c
		}
	}
	return best
}

// dial has a connection made for an account.
func (i *instance) dial(a fleet.Account) *Conn {
	c := &Conn{
		Service: i.g.name, Instance: i.info.Name, Address: i.info.Address, Account: a,
		g: i.g, inst: i, values: map[string]string{}, prepared: map[string]bool{},
	}
	c.setState(connDialling)
	i.conns = append(i.conns, c)
	i.g.r.counters.Connects++
	i.g.r.cfg.Dial(c)
	return c
}

// accountSwitchDelay is how long a connection of another account has to have rested, or half of
// what an operation has to have waited, for the one to give way to the other: a new
// connection takes 12 ms of the instance's time, which is not to be spent on every
// statement of accounts that alternate.
const accountSwitchDelay = 5 * time.Millisecond

// connect makes a connection for an operation, if there is room.
func (i *instance) connect(now time.Time, o *operation) *Conn {
	paused := now.Before(i.next)
	if paused && i.failures > 0 || i.saturated(o.s.account) {
		return nil
	}
	if !paused && len(i.conns) < i.maxConns(now) {
		return i.dial(o.s.account)
	}
	c := i.evictable(o.s.account)
	if c == nil {
		return nil
	}
	if now.Sub(c.stateSince) < accountSwitchDelay && now.Sub(o.startedAt) < 2*accountSwitchDelay {
		return nil
	}
	c.retire()
	return i.dial(o.s.account)
}

// saturated reports whether one more connection of an account would bring nothing: all slots
// of the instance are taken, and one of the statements on them is the account's, whose
// connection is free once it ends. A connection takes 12 ms of a slot, which is more than
// most statements; made for each statement that waits, they took a third of a busy primary.
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

// evictable returns the resting connection that is to give way to one of account a: of the
// account with the most connections, and of these the one that has rested longest. The last
// connection of a small account would be missed at its next statement.
func (i *instance) evictable(a fleet.Account) *Conn {
	counts := map[fleet.Account]int{}
	for _, c := range i.conns {
		counts[c.Account]++
	}
	var best *Conn
	for _, c := range i.conns {
		if c.state != connIdle || c.reserved || c.Account == a {
			continue
		}
		more := best != nil && counts[c.Account] != counts[best.Account]
		if best == nil || more && counts[c.Account] > counts[best.Account] || !more && c.stateSince.Before(best.stateSince) {
			best = c
		}
	}
	return best
}

// closeIdleConns closes borrowed connections that rest and those to an instance that has gone.
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
		if c.state == connIdle && (i.gone || len(i.conns) > keep && now.Sub(c.stateSince) > timeout) {
			c.retire()
		}
	}
}
