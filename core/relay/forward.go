package relay

import (
	"slices"
	"time"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/statement"
)

// Forward has another host run statements on an instance, on a stream that stands for a
// connection of its own. Only the last statement is answered.
type Forward struct {
	Stream     uint64
	Service    fleet.Service
	Instance   fleet.Instance
	Account    fleet.Account
	Statements []statement.Statement
	// Left is how long the last statement may take, Wait how long it may wait for its turn: as
	// long as Left if it is zero.
	Left, Wait time.Duration
	// Open begins the stream. A stream that is not open is not begun by anything else: what
	// belongs to a transaction must not run outside of it when the stream has ended.
	Open bool
	// Close ends the stream, after the answer if there are statements.
	Close bool
}

// leastWait is what a forwarded operation may wait at least: less is nothing on the wire, and
// would be taken for no limit.
const leastWait = time.Millisecond

// PeerLinkID names a connection from another host. A host that was cut off may open a new one
// before the end of the old one shows.
type PeerLinkID uint64

// Peer is another host, as this one can use it.
type Peer struct {
	Host       fleet.Host
	DataCentre fleet.DataCentre
	// Capacity is what it can carry.
	Capacity fleet.Capacity
	// Send hands it a request. It is nil while there is no link to it.
	Send func(f Forward)
}

// stream names a stream of another host.
type stream struct {
	link PeerLinkID
	id   uint64
}

// forwarding is what a relay needs for running statements by and for other hosts.
type forwarding struct {
	peers []Peer
	// byHost has the peers by their names.
	byHost map[fleet.Host]Peer
	// candidates are the hosts of each data centre that may hold connections; round counts their
	// changes.
	candidates map[fleet.DataCentre]candidates
	round      uint64
	// missing counts the hosts that ought to be there and aren't heard.
	missing int
	// unsure is set while too few hosts are heard to tell which of them hold connections.
	unsure bool
	// secluded is set while no host of another data centre is heard, although there are some.
	secluded bool
	// virtual are the connections over other hosts, guests the sessions run for them.
	virtual map[uint64]*Conn
	guests  map[stream]*Session
}

// directShare is how many connections to each instance a host has to have for itself
// when all are shared evenly, for callers not to wait for one too long. Below it, one
// host holds the connections to an instance and runs the statements of all: a connection
// belongs to one account, and each change of account takes 12 ms of the instance's time.
const directShare = 3

// lingerFor is how long an instance holds on to the connections of a host that has lost
// power, as the platform's pages tell.
const lingerFor = 3 * time.Second

// direct reports whether the host uses an instance by its own connections, as there are
// enough for all hosts.
//
// A host that has just started can't have them: if all hosts have lost power, the instance
// holds on to the connections of before for some seconds, and the few that are left are
// worth more in one hand: one for an account in place of one for a host, where accounts
// take turns by connecting anew and a transaction that pauses holds up all others.
func (i *instance) direct(now time.Time) bool {
	return i.share() >= directShare && !i.g.r.young(now)
}

// SetPeers tells which other hosts are heard now, and how many are missing: those that
// are registered and not heard.
func (r *Relay) SetPeers(ps []Peer, missing int) {
	f := &r.forwarding
	f.missing = missing
	if f.byHost == nil {
		f.byHost = map[fleet.Host]Peer{}
	}
	same := f.candidates != nil && len(ps) == len(f.byHost)
	for _, p := range ps {
		same = same && samePeer(f.byHost[p.Host], p)
	}
	clear(f.byHost)
	for _, p := range ps {
		f.byHost[p.Host] = p
	}
	if !same {
		f.candidates = candidatesOf(append(slices.Clone(ps), r.self()))
		f.round++
	}
	f.peers = ps
}

// SetPeersIncomplete tells whether this host has just started in a large fleet and hears too few of its hosts
// to tell which of them hold connections. It makes none of its own then, and uses those of the
// holders that it hears.
//
// The load it is made for: hundreds of hosts that start at once. Each took itself for the holder
// of instances whose holders it didn't hear yet, and together they filled all instances.
func (r *Relay) SetPeersIncomplete(unsure bool) { r.forwarding.unsure = unsure }

// SetIsolated tells whether no host of another data centre has been heard for a moment, although
// there are some. An instance there that has answered outweighs that.
func (r *Relay) SetIsolated(secluded bool) {
	r.forwarding.secluded = secluded && !r.hearsFar(r.now())
}

// hearsFar reports whether an instance in another data centre has answered lately on a connection
// of this host's own.
func (r *Relay) hearsFar(now time.Time) bool {
	for _, g := range r.groups {
		for _, i := range g.instances {
			if !i.local() && len(i.conns) > 0 && now.Sub(i.lastHeard) < leader.StoreSilentAfter {
				return true
			}
		}
	}
	return false
}

// secluded reports whether the host's data centre, or the host alone, looks cut off from all
// else: nothing comes from the store nor from any host elsewhere.
//
// The load it is made for: the callers of a data centre that is cut off, whose every statement
// would wait for its time limit on instances elsewhere, one after the other, until each is known
// to be silent. Either silence alone may have another cause, so both are needed; the process
// itself must not have stood still.
func (r *Relay) secluded(now time.Time) bool {
	return r.forwarding.secluded && r.lease.StoreSilent(now) && !now.Before(r.awake)
}

// reaches reports whether the instance can be used, by this host's own connections or
// over another.
func (r *Relay) reaches(now time.Time, i *instance) bool {
	if !i.local() && r.secluded(now) {
		return false
	}
	if !i.suspected(now) {
		return true
	}
	_, over := r.holder(i)
	return over
}

// alone reports whether this host serves an instance for itself, although others may hold
// its connections: it has not heard of them yet.
func (r *Relay) alone(i *instance) bool {
	return !i.direct(r.now()) && len(r.forwarding.peers) == 0
}

// over returns a connection to the instance over another host. It costs nothing to make:
// the other host finds the real one.
func (i *instance) over(p Peer, a fleet.Account) *Conn {
	c := &Conn{
		Service: i.g.name, Instance: i.info.Name, Address: i.info.Address, Account: a,
		g: i.g, inst: i, values: map[string]string{}, prepared: map[string]bool{},
		via: p.Host, stream: i.g.r.nextKey(),
	}
	c.Send = func(qs []statement.Statement) {
		f := Forward{
			Stream: c.stream, Service: c.Service, Instance: c.Instance, Account: c.Account, Statements: qs,
		}
		f.Open = !c.opened
		c.opened = true
		if qs[0].Kind == statement.KindStepDown {
			c.once = true
		}
		if c.op != nil {
			now := i.g.r.now()
			f.Left, f.Wait = c.op.deadline.Sub(now), max(c.op.patience().Sub(now), leastWait)
			f.Close = !c.op.s.tx.open
			c.once = f.Close
		}
		p.Send(f)
	}
	c.Close = func() {
		if !c.once {
			p.Send(Forward{Stream: c.stream, Service: c.Service, Instance: c.Instance, Close: true})
		}
	}
	c.setState(connIdle)
	i.g.r.forwarding.virtual[c.stream] = c
	i.forwardedCount++
	return c
}

// HandleForwardAnswer takes in the answer of another host.
func (r *Relay) HandleForwardAnswer(from fleet.Host, id uint64, a statement.Answer) {
	c := r.forwarding.virtual[id]
	if c == nil || c.via != from {
		return
	}
	r.HandleAnswer(c, a)
}

// tickForwarding gives up the questions that another host doesn't answer. They take no slot, and
// that host answers within its own patience whatever it finds; one that stands still would have
// them pile up, and an answer that comes much later tells of a time long past.
func (r *Relay) tickForwarding(now time.Time) {
	for _, c := range r.forwarding.virtual {
		asks := len(c.owed) > 0 && c.owed[0].kind == statement.KindStepDown
		if asks && now.Sub(c.owed[0].asked) > peerRequestTimeout+statusRequestTimeout {
			c.lost("no answer to a question over another host")
		}
	}
}

// PeerLost takes in that the link to another host has ended: what it ran for this one has
// an unknown outcome.
func (r *Relay) PeerLost(h fleet.Host) {
	for _, c := range r.forwarding.virtual {
		if c.via == h {
			c.lost("the host that held the connection can't be reached")
		}
	}
}

// InboundLinkClosed takes in that a link from another host has ended: what this one runs for it
// is rolled back.
func (r *Relay) InboundLinkClosed(l PeerLinkID) {
	for k, s := range r.forwarding.guests {
		if k.link == l {
			delete(r.forwarding.guests, k)
			s.Disconnected()
		}
	}
}

// HandleForward runs what another host asks for, and answers it by reply. The other host has
// admitted the operation, chosen the instance and proves the answer; this one queues it
// among its own, by account, and finds the connection.
func (r *Relay) HandleForward(from PeerLinkID, f Forward, reply func(a statement.Answer)) {
	if len(f.Statements) == 1 && f.Statements[0].Kind == statement.KindStepDown {
		r.group(f.Service).requestForPeer(f.Instance, f.Statements[0].Term, reply)
		return
	}
	k := stream{from, f.Stream}
	s := r.forwarding.guests[k]
	if s == nil && f.Open {
		s = r.guest(f)
		r.forwarding.guests[k] = s
	}
	if s == nil {
		if len(f.Statements) > 0 {
			reply(statement.Answer{Code: statement.CodeAborted, Detail: "the stream has ended", State: statement.TxFailed})
		}
		return
	}
	if len(f.Statements) == 0 {
		delete(r.forwarding.guests, k)
		s.Disconnected()
		return
	}
	last := false
	s.link.Answer = func(a statement.Answer) {
		if !last && a.Code == statement.CodeNone {
			return
		}
		if f.Close {
			delete(r.forwarding.guests, k)
			defer s.Disconnected()
		}
		reply(a)
	}
	s.route.Timeout, s.route.Target = f.Left, f.Wait/waitTargets
	for n, q := range f.Statements {
		last = n == len(f.Statements)-1
		s.Query(q)
	}
}

// guest opens a session for another host, bound to one instance.
func (r *Relay) guest(f Forward) *Session {
	s := &Session{
		r: r, started: true, prepared: map[string]*prepared{}, account: f.Account, instance: f.Instance,
		route: catalog.Route{Service: f.Service},
	}
	s.link = CallerConn{
		Accept: func() {}, Close: func() {},
		Reject: func(code statement.Code, detail string) {
			s.link.Answer(statement.Answer{Code: code, Detail: detail, State: s.state()})
		},
	}
	return s
}
