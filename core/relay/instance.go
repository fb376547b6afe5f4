package relay

import (
	"slices"
	"time"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/statement"
)

// instance is what the host knows of one database instance.
type instance struct {
	g    *group
	info catalog.Instance
	// conns are all connections to it that aren't closed.
	conns []*Conn
	// lent counts the connections over other hosts.
	lent int
	// point is the farthest that its log is known to have reached.
	point fleet.Point
	// received is the end of its log, as it last told when it was asked.
	received fleet.Point
	// leads is whether it last said that it is a primary, term the term that it said, and
	// toldAt when that was.
	leads  bool
	term   fleet.Term
	toldAt time.Time
	// termAt is when it was asked for the term.
	termAt time.Time
	// lastHeard is when anything came from it.
	lastHeard time.Time
	// failures counts failed connections in a row; the next is tried at next.
	failures int
	next     time.Time
	// doubted is when nobody last doubted it, as far as this host hears.
	doubted time.Time
	// failing is since when they do.
	failing time.Time
	// full is when it last refused a connection for want of room, and room how many
	// were open then.
	full time.Time
	room int
	// crowded counts refusals for want of room in a row.
	crowded int
	// work is how long its statements take, as a moving average.
	work   time.Duration
	workAt time.Time
	// behind is until when it is passed over for reads, as its log lacked a point, and
	// lags how often in a row that was so.
	behind time.Time
	lags   int
	// trial is the read that finds out whether the log has come as far as it needs.
	trial *operation
	// blocked are the hosts that couldn't reach it, with until when they aren't asked again.
	blocked map[fleet.Host]time.Time
	// missing is since when it isn't on the list any more.
	missing time.Time
	gone    bool
	// moved is set once another instance has answered at its address.
	moved bool
	// askedAt is when it was last asked what it is.
	askedAt time.Time
}

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
	// crowdPause is the first pause after an instance had no room: some statements' time,
	// in which another host may give a connection back.
	crowdPause = 30 * time.Millisecond
	// crowdPauseMax bounds that pause. A refusal takes 12 ms of a slot, so that one host which
	// asks again takes a tenth of one; and the room that others leave is soon used.
	crowdPauseMax = 120 * time.Millisecond
	// restFor closes a borrowed connection that rests, so that others can have it.
	restFor = 2 * time.Second
	// backoffMin and backoffMax bound the pause before the next try to connect to an
	// instance that couldn't be reached. The first is about the time that a connection
	// takes; the last bounds how late a returned instance is found.
	backoffMin = 50 * time.Millisecond
	backoffMax = 800 * time.Millisecond
)

// cap returns how many connections the host may have to the instance.
//
// One of the instance's connections for each host is left free. Hosts that lose power
// reset nothing, and the instance holds on to their connections for 3 s; when they
// return before that, they would find no room and could serve nobody. Measured with six
// hosts and 16 connections, all hosts losing power: served in the two worst seconds 0.21
// in place of 0.01, and no less on quiet days.
func (i *instance) cap(now time.Time) int {
	n := max(leastCap, i.share())
	switch _, held := i.g.r.holder(i); {
	case i.direct(now):
	case i.g.r.alone(i) && now.Sub(i.g.r.began) < acquaintance:
		n = 1
	case !held:
		// What the others have left over from before is closed soon: the pauses between the
		// tries bound what asking again costs.
		return max(leastCap, i.total()-i.strays())
	}
	if !i.full.IsZero() && now.Sub(i.full) < fullFor {
		return max(1, min(i.room, n))
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

func (i *instance) heard(now time.Time) {
	i.lastHeard = now
	i.failures = 0
}

// heardLately reports whether anything has come from the instance a moment ago: a connection
// that breaks then tells of itself alone, and the next one is made without a pause. One whose
// instance has died is followed by a new one that fails.
func (i *instance) heardLately(now time.Time) bool {
	return now.Sub(i.lastHeard) < wonderAfter
}

func (i *instance) worked(now time.Time, took time.Duration) {
	if i.work == 0 {
		i.work = took
	}
	i.work += (took - i.work) / 8
	i.workAt = now
}

// failed takes in that a connection couldn't be made or broke while it owed an answer.
func (i *instance) failed(now time.Time, why string) {
	if i.failures == 0 {
		i.failing = now
		i.g.r.note(Event{
			Kind: EventInstance, Service: i.g.name, Instance: i.info.Name,
			Choice: "unreachable", Reason: why, Age: now.Sub(i.lastHeard),
		})
	}
	i.failures++
	pause := backoffMin << min(i.failures-1, 10)
	i.next = now.Add(min(pause, backoffMax))
}

// turned takes in that the instance has refused a connection that was begun at some moment.
func (i *instance) turned(now, begun time.Time, c statement.Code) {
	switch c {
	case statement.CodeTooMany:
		i.heard(now)
		if !begun.After(i.full) {
			// It was begun beside another that was refused, and tells nothing new.
			return
		}
		i.full, i.room = now, i.standing()
		i.next = now.Add(min(crowdPause<<min(i.crowded, 10), crowdPauseMax))
		i.crowded++
	case statement.CodeMisrouted:
		// Another instance has the address now: this one has gone, whatever the list says.
		i.moved, i.gone = true, true
		i.next = now.Add(backoffMax)
	default:
		i.failed(now, "refused: "+string(c))
	}
}

// lacked takes in that the log lacks a point that a read needs. A replica that is far
// behind would else be asked in vain by every read, while its caller waits.
func (i *instance) lacked(now time.Time) {
	i.behind = now.Add(min(lagPause<<min(i.lags, 10), lagPauseMax))
	i.lags++
}

// mayTry reports whether a read may go to the instance although its log isn't known to cover
// what the read needs: a while after it last lacked a point, and one read at a time. With
// the replicas of a group seconds behind, a dozen reads went there together at each try,
// took their turns, and came back up to half a second later with nothing.
func (i *instance) mayTry(now time.Time, o *operation) bool {
	return !now.Before(i.behind) && (i.trial == nil || i.trial == o)
}

// blockedFor is how long a host that can't reach an instance isn't asked again.
const blockedFor = 500 * time.Millisecond

// block takes in that another host can't reach the instance, and sees whether this one
// can.
func (i *instance) block(h fleet.Host) {
	now := i.g.r.now()
	if i.blocked == nil {
		i.blocked = map[fleet.Host]time.Time{}
	}
	i.blocked[h] = now.Add(blockedFor)
	if now.Sub(i.lastHeard) > wonderAfter {
		i.g.probe(now, i)
	}
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

// usable reports whether new work may go to the instance.
func (i *instance) usable() bool { return !i.gone && !i.info.Leaving }

// local reports whether it is in this host's data centre.
func (i *instance) local() bool { return i.info.DataCentre == i.g.r.cfg.DataCentre }

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

// busy counts the connections that are at work.
func (i *instance) busy() int {
	n := i.lent
	for _, c := range i.conns {
		if c.state == connBusy && c.op != nil {
			n++
		}
	}
	return n
}

// working returns for how long the instance has worked on its oldest statement.
func (i *instance) working(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, c := range i.conns {
		if len(c.owed) > 0 {
			oldest = max(oldest, now.Sub(c.owed[0].asked))
		}
	}
	return oldest
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
	paused := now.Before(i.next)
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
	keep, rest := i.share(), restFor
	if _, ok := i.g.r.holder(i); ok {
		keep, rest = 0, strayFor
	} else if !i.direct(now) && !i.g.r.alone(i) {
		keep = i.cap(now)
	}
	for _, c := range slices.Clone(i.conns) {
		if c.state == connIdle && (i.gone || len(i.conns) > keep && now.Sub(c.since) > rest) {
			c.retire()
		}
	}
}
