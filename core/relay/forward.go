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

// minForwardWait is what a forwarded operation may wait at least: less is nothing on the wire, and
// would be taken for no limit.
const minForwardWait = time.Millisecond

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

// streamKey names a streamKey of another host.
type streamKey struct {
	link PeerLinkID
	id   uint64
}

// forwarding is what a relay needs for running statements by and for other hosts.
type forwarding struct {
	peers []Peer
	// peersByHost has the peers by their names.
	peersByHost map[fleet.Host]Peer
	// candidates are the hosts of each data centre that may hold connections; round counts their
	// changes.
	candidates        map[fleet.DataCentre]candidates
	candidatesVersion uint64
	// missingHosts counts the hosts that ought to be there and aren't heard.
	missingHosts int
	// peersIncomplete is set while too few hosts are heard to tell which of them hold connections.
	peersIncomplete bool
	// isolated is set while no host of another data centre is heard, although there are some.
	isolated bool
	// forwardedConns are the connections over other hosts, guests the sessions run for them.
	forwardedConns  map[uint64]*Conn
	inboundSessions map[streamKey]*Session
}

// minDirectShare is how many connections to each instance a host has to have for itself
// when all are shared evenly, for callers not to wait for one too long. Below it, one
// host holds the connections to an instance and runs the statements of all: a connection
// belongs to one account, and each change of account takes 12 ms of the instance's time.
const minDirectShare = 3

// deadHostConnTimeout is how long an instance holds on to the connections of a host that has lost
// power, as the platform's pages tell.
const deadHostConnTimeout = 3 * time.Second

// direct reports whether the host uses an instance by its own connections, as there are
// enough for all hosts.
//
// A host that has just started can't have them: if all hosts have lost power, the instance
// holds on to the connections of before for some seconds, and the few that are left are
// worth more in one hand: one for an account in place of one for a host, where accounts
// take turns by connecting anew and a transaction that pauses holds up all others.
func (i *instance) direct(now time.Time) bool {
	return i.connShare() >= minDirectShare && !i.g.r.recentlyStarted(now)
}

// SetPeers tells which other hosts are heard now, and how many are missing: those that
// are registered and not heard.
func (r *Relay) SetPeers(ps []Peer, missing int) {
	f := &r.forwarding
	f.missingHosts = missing
	if f.peersByHost == nil {
		f.peersByHost = map[fleet.Host]Peer{}
	}
	unchanged := f.candidates != nil && len(ps) == len(f.peersByHost)
	for _, p := range ps {
		unchanged = unchanged && samePeer(f.peersByHost[p.Host], p)
	}
	clear(f.peersByHost)
	for _, p := range ps {
		f.peersByHost[p.Host] = p
	}
	if !unchanged {
		f.candidates = groupCandidates(append(slices.Clone(ps), r.self()))
		f.candidatesVersion++
	}
	f.peers = ps
}

// SetPeersIncomplete tells whether this host has just started in a large fleet and hears too few of its hosts
// to tell which of them hold connections. It makes none of its own then, and uses those of the
// holders that it hears.
//
// The load it is made for: hundreds of hosts that start at once. Each took itself for the holder
// of instances whose holders it didn't hear yet, and together they filled all instances.
func (r *Relay) SetPeersIncomplete(incomplete bool) { r.forwarding.peersIncomplete = incomplete }

// SetIsolated tells whether no host of another data centre has been heard for a moment, although
// there are some. An instance there that has answered outweighs that.
func (r *Relay) SetIsolated(isolated bool) {
	r.forwarding.isolated = isolated && !r.hearsRemoteInstance(r.now())
}

// hearsRemoteInstance reports whether an instance in another data centre has answered lately on a connection
// of this host's own.
func (r *Relay) hearsRemoteInstance(now time.Time) bool {
	for _, g := range r.groups {
		for _, i := range g.instances {
			if !i.local() && len(i.conns) > 0 && now.Sub(i.lastHeard) < leader.StoreSilentAfter {
				return true
			}
		}
	}
	return false
}

// isolated reports whether the host's data centre, or the host alone, looks cut off from all
// else: nothing comes from the store nor from any host elsewhere.
//
// The load it is made for: the callers of a data centre that is cut off, whose every statement
// would wait for its time limit on instances elsewhere, one after the other, until each is known
// to be silent. Either silence alone may have another cause, so both are needed; the process
// itself must not have stood still.
func (r *Relay) isolated(now time.Time) bool {
	return r.forwarding.isolated && r.lease.StoreSilent(now) && !now.Before(r.pauseGraceUntil)
}

// canReach reports whether the instance can be used, by this host's own connections or
// over another.
func (r *Relay) canReach(now time.Time, i *instance) bool {
	if !i.local() && r.isolated(now) {
		return false
	}
	if !i.doubtful(now) {
		return true
	}
	_, held := r.holder(i)
	return held
}

// knowsNoHolder reports whether this host serves an instance for itself, although others may hold
// its connections: it has not heard of them yet.
func (r *Relay) knowsNoHolder(i *instance) bool {
	return !i.direct(r.now()) && len(r.forwarding.peers) == 0
}

// connVia returns a connection to the instance connVia another host. It costs nothing to make:
// the other host finds the real one.
func (i *instance) connVia(p Peer, a fleet.Account) *Conn {
	c := &Conn{
		Service: i.g.name, Instance: i.info.Name, Address: i.info.Address, Account: a,
		g: i.g, inst: i, values: map[string]string{}, prepared: map[string]bool{},
		via: p.Host, streamID: i.g.r.nextKey(),
	}
	c.Send = func(qs []statement.Statement) {
		f := Forward{
			Stream: c.streamID, Service: c.Service, Instance: c.Instance, Account: c.Account, Statements: qs,
		}
		f.Open = !c.streamOpened
		c.streamOpened = true
		if qs[0].Kind == statement.KindStepDown {
			c.closesAfterReply = true
		}
		if c.op != nil {
			now := i.g.r.now()
			f.Left, f.Wait = c.op.deadline.Sub(now), max(c.op.waitDeadline().Sub(now), minForwardWait)
			f.Close = !c.op.s.tx.open
			c.closesAfterReply = f.Close
		}
		p.Send(f)
	}
	c.Close = func() {
		if !c.closesAfterReply {
			p.Send(Forward{Stream: c.streamID, Service: c.Service, Instance: c.Instance, Close: true})
		}
	}
	c.setState(connIdle)
	i.g.r.forwarding.forwardedConns[c.streamID] = c
	i.lent++
	return c
}

// HandleForwardAnswer takes in the answer of another host.
func (r *Relay) HandleForwardAnswer(from fleet.Host, id uint64, a statement.Answer) {
	c := r.forwarding.forwardedConns[id]
	if c == nil || c.via != from {
		return
	}
	r.HandleAnswer(c, a)
}

// tickForwarding gives up the questions that another host doesn't answer. They take no slot, and
// that host answers within its own patience whatever it finds; one that stands still would have
// them pile up, and an answer that comes much later tells of a time long past.
func (r *Relay) tickForwarding(now time.Time) {
	for _, c := range r.forwarding.forwardedConns {
		asks := len(c.pending) > 0 && c.pending[0].kind == statement.KindStepDown
		if asks && now.Sub(c.pending[0].sentAt) > inquiryPatience+quietFor {
			c.handleClose("no answer to a question over another host")
		}
	}
}

// PeerLost takes in that the link to another host has ended: what it ran for this one has
// an unknown outcome.
func (r *Relay) PeerLost(h fleet.Host) {
	for _, c := range r.forwarding.forwardedConns {
		if c.via == h {
			c.handleClose("the host that held the connection can't be reached")
		}
	}
}

// InboundLinkClosed takes in that a link from another host has ended: what this one runs for it
// is rolled back.
func (r *Relay) InboundLinkClosed(l PeerLinkID) {
	for k, s := range r.forwarding.inboundSessions {
		if k.link == l {
			delete(r.forwarding.inboundSessions, k)
			s.Disconnected()
		}
	}
}

// HandleForward runs what another host asks for, and answers it by reply. The other host has
// admitted the operation, chosen the instance and proves the answer; this one queues it
// among its own, by account, and finds the connection.
func (r *Relay) HandleForward(from PeerLinkID, f Forward, reply func(a statement.Answer)) {
	if len(f.Statements) == 1 && f.Statements[0].Kind == statement.KindStepDown {
		r.group(f.Service).inquire(f.Instance, f.Statements[0].Term, reply)
		return
	}
	k := streamKey{from, f.Stream}
	s := r.forwarding.inboundSessions[k]
	if s == nil && f.Open {
		s = r.newInboundSession(f)
		r.forwarding.inboundSessions[k] = s
	}
	if s == nil {
		if len(f.Statements) > 0 {
			reply(statement.Answer{Code: statement.CodeAborted, Detail: "the stream has ended", State: statement.TxFailed})
		}
		return
	}
	if len(f.Statements) == 0 {
		delete(r.forwarding.inboundSessions, k)
		s.Disconnected()
		return
	}
	last := false
	s.caller.Answer = func(a statement.Answer) {
		if !last && a.Code == statement.CodeNone {
			return
		}
		if f.Close {
			delete(r.forwarding.inboundSessions, k)
			defer s.Disconnected()
		}
		reply(a)
	}
	s.route.Timeout, s.route.Target = f.Left, f.Wait/maxWaitTargets
	for n, q := range f.Statements {
		last = n == len(f.Statements)-1
		s.Query(q)
	}
}

// newInboundSession opens a session for another host, bound to one instance.
func (r *Relay) newInboundSession(f Forward) *Session {
	s := &Session{
		r: r, started: true, prepared: map[string]*prepared{}, account: f.Account, boundInstance: f.Instance,
		route: catalog.Route{Service: f.Service},
	}
	s.caller = CallerConn{
		Accept: func() {}, Close: func() {},
		Reject: func(code statement.Code, detail string) {
			s.caller.Answer(statement.Answer{Code: code, Detail: detail, State: s.state()})
		},
	}
	return s
}
