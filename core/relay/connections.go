package relay

import (
	"slices"
	"time"

	"skylarkdeal/core/fleet"
)

const (
	// leastCap is how many connections a host may have to an instance at least: one for a
	// transaction whose caller pauses, and one beside it.
	leastCap = 2
	// acquaintance is how long after its start a host waits to hear of the others before it
	// takes more than one connection to instances that they may hold.
	acquaintance = 800 * time.Millisecond
	// strayFor is how long a connection rests to an instance that another host holds.
	strayFor = 200 * time.Millisecond
	// strayPart is the part of an instance's connections that its holder leaves free in a fleet
	// that has more hosts than half of them: a quarter. Only hosts that start have any there.
	strayPart = 4
	// fullFor is how long a host makes do with what it has after an instance had no
	// room for more.
	fullFor = 3 * time.Second
	// restFor closes a borrowed connection that rests, so that others can have it.
	restFor = 2 * time.Second
)

// cap returns how many connections the host may have to the instance.
//
// One of the instance's connections for each host is left free. Hosts that lose power
// reset nothing, and the instance holds on to their connections for 3 s; when they
// return before that, they would find no room and could serve nobody. Measured with six
// hosts and 16 connections, all hosts losing power: served in the two worst seconds 0.21
// in place of 0.01, and no less on quiet days.
func (i *instance) cap(now time.Time) int {
	if i.g.r.forwarding.unsure {
		return 0
	}
	n := max(leastCap, i.share())
	switch _, held := i.g.r.holder(i); {
	case i.direct(now):
	case i.g.r.alone(i) && (now.Sub(i.g.r.began) < acquaintance || leastCap*i.g.r.hosts > i.total()):
		n = 1
	case held && leastCap*i.g.r.hosts > i.total():
		// For questions only: all hosts together would fill the instance with no statement.
		n = 1
	case !held:
		// What the others have left over from before is closed soon: the pauses between the
		// tries bound what asking again costs.
		return max(leastCap, i.total()-i.strays())
	}
	if !i.connLimitAt.IsZero() && now.Sub(i.connLimitAt) < fullFor {
		return max(1, min(i.connsAtLimit, n))
	}
	return n
}

// strays is how many connections the holder of an instance leaves free: one for each host, as
// far as that leaves the holder a half.
func (i *instance) strays() int {
	if n := i.g.r.hosts; n <= i.total()/2 {
		return n
	}
	return i.total() / strayPart
}

// defaultConnections stands for the limit of a service that isn't known yet.
const defaultConnections = 8

// share is the part of cap that is kept open.
func (i *instance) share() int {
	return max(1, (i.total()-i.g.r.hosts)/i.g.r.hosts)
}

// total is how many connections the instance takes from all hosts.
func (i *instance) total() int {
	if n := i.g.service.Connections; n > 0 {
		return n
	}
	return defaultConnections
}

// standing counts the connections that are made.
func (i *instance) standing() int {
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

// idle returns the resting connection of an account that needs the fewest statements
// to serve s, and how many.
func (i *instance) idle(a fleet.Account, s *Session, p *prepared) (*Conn, int) {
	var best *Conn
	least := 0
	for _, c := range i.conns {
		if c.state != connIdle || c.Account != a {
			continue
		}
		if n := len(c.setup(s, p)); best == nil || n < least {
			best, least = c, n
		}
	}
	return best, least
}

// resting returns the connection that has rested longest, of whatever account, but for those
// that are offered to an operation: one that was closed to make room for another account
// would be taken all the same, and what is sent on it is lost.
func (i *instance) resting() *Conn {
	var best *Conn
	for _, c := range i.conns {
		if c.state == connIdle && !c.offered && (best == nil || c.since.Before(best.since)) {
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
	i.g.r.counts.Connects++
	i.g.r.cfg.Dial(c)
	return c
}

// swapAfter is how long a connection of another account has to have rested, or half of
// what an operation has to have waited, for the one to give way to the other: a new
// connection takes 12 ms of the instance's time, which is not to be spent on every
// statement of accounts that alternate.
const swapAfter = 5 * time.Millisecond

// connect makes a connection for an operation, if there is room.
func (i *instance) connect(now time.Time, o *operation) *Conn {
	paused := now.Before(i.nextDial)
	if paused && i.failures > 0 || i.saturated(o.s.account) {
		return nil
	}
	if !paused && len(i.conns) < i.cap(now) {
		return i.dial(o.s.account)
	}
	c := i.spare(o.s.account)
	if c == nil {
		return nil
	}
	if now.Sub(c.since) < swapAfter && now.Sub(o.asked) < 2*swapAfter {
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
		if len(c.owed) > 0 && c.state == connBusy {
			running++
			own = own || c.Account == a
		}
	}
	return own && running >= max(i.info.Slots, 1)
}

// spare returns the resting connection that is to give way to one of account a: of the
// account with the most connections, and of these the one that has rested longest. The last
// connection of a small account would be missed at its next statement.
func (i *instance) spare(a fleet.Account) *Conn {
	held := map[fleet.Account]int{}
	for _, c := range i.conns {
		held[c.Account]++
	}
	var best *Conn
	for _, c := range i.conns {
		if c.state != connIdle || c.offered || c.Account == a {
			continue
		}
		more := best != nil && held[c.Account] != held[best.Account]
		if best == nil || more && held[c.Account] > held[best.Account] || !more && c.since.Before(best.since) {
			best = c
		}
	}
	return best
}

// sweep closes borrowed connections that rest and those to an instance that has gone.
func (i *instance) sweep(now time.Time) {
	if len(i.conns) == 0 {
		return
	}
	keep, rest := i.share(), restFor
	if _, ok := i.g.r.holder(i); ok {
		keep, rest = 0, strayFor
	} else if !i.direct(now) && !i.g.r.alone(i) {
		keep = i.cap(now)
	}
	for _, c := range slices.Clone(i.conns) {
		if c.state == connIdle && (i.removed || len(i.conns) > keep && now.Sub(c.since) > rest) {
			c.retire()
		}
	}
}
