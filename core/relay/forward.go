package relay

import (
	"slices"
	"time"

	"skylarkdeal/core/backpressure"
	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/statement"
)

// Forward asks another host to run statements on an instance, on a stream that acts as a connection of
// its own. Only the last statement is answered.
type Forward struct {
	Stream     uint64
	Service    fleet.Service
	Instance   fleet.Instance
	Account    fleet.Account
	Statements []statement.Statement
	// Timeout is how long the last statement may take, QueueWait how long it may wait in the queue: as long as
	// Timeout if it is zero.
	Timeout, QueueWait time.Duration
	// Priority is that of the statement's route.
	Priority fleet.Priority
	// Open opens the stream. Nothing else does: a statement of a transaction must not run outside of it
	// when the stream has ended.
	Open bool
	// Close ends the stream, after the answer if there are statements.
	Close bool
}

// minForwardWait is the least wait of a forwarded operation. A shorter one is zero on the wire, which
// means no limit.
const minForwardWait = time.Millisecond

// PeerLinkID identifies a connection from another host. A host that was cut off may open a new one
// before the end of the old one is noticed.
type PeerLinkID uint64

// Peer is another host and the link to it.
type Peer struct {
	Host       fleet.Host
	DataCentre fleet.DataCentre
	// Capacity is what the host can carry, in processor cores; zero if it isn't known.
	Capacity fleet.Capacity
	// Send sends a request to the host. It is nil while there is no link to it.
	Send func(f Forward)
}

// streamKey identifies a stream that another host has opened.
type streamKey struct {
	link PeerLinkID
	id   uint64
}

// forwarding is the state of running statements over and for other hosts.
type forwarding struct {
	peers []Peer
	// peersByHost has the peers by their names.
	peersByHost map[fleet.Host]Peer
	// candidates are the hosts of each data centre that may hold connections; candidatesVersion counts
	// their changes.
	candidates        map[fleet.DataCentre]candidates
	candidatesVersion uint64
	// missingHosts counts the hosts that are registered and not heard.
	missingHosts int
	// peersIncomplete is set while too few hosts are heard to tell which of them hold connections.
	peersIncomplete bool
	// isolated is set while no host of another data centre is heard, although there are some.
	isolated bool
	// loads are the loads that holders have reported.
	loads backpressure.Reports
	// forwardedConns are the connections over other hosts, inboundSessions the sessions that run for
	// them.
	forwardedConns  map[uint64]*Conn
	inboundSessions map[streamKey]*Session
	// priorityLoggedAt is when a forwarded priority out of range was last logged.
	priorityLoggedAt time.Time
	// answeredAt is when each other host last answered.
	answeredAt map[fleet.Host]time.Time
}

// minDirectShare is the least number of connections per host, if those to an instance are shared
// evenly, with which each host uses its own. With fewer, callers would wait too long for a connection,
// so one host, the holder, has all connections to the instance and runs the statements of all hosts.
const minDirectShare = 3

// directShare returns the least number of connections per host with which each host uses its own: one
// for each client account at least.
//
// Designed for an account that sends many times its usual load through all hosts of a small fleet. A
// connection belongs to one account, and each change of account takes 12 ms of a slot. With fewer
// connections than accounts on each host, changes took more of the slots than statements did.
func (r *Relay) directShare() int {
	if r.catalog == nil {
		return minDirectShare
	}
	return max(minDirectShare, len(r.catalog.Accounts))
}

// deadHostConnTimeout is how long an instance keeps the connections of a host that has lost power,
// according to the platform's documentation.
const deadHostConnTimeout = 3 * time.Second

// direct reports whether the host uses an instance over its own connections, since there are enough for
// all hosts and accounts.
//
// A host that has recently started doesn't. If all hosts have lost power, the instance keeps their
// former connections for some seconds. The few that are left are of more use to a single holder: it
// needs one for an account instead of one for a host. With one for a host, accounts take turns by
// reconnecting, and a transaction that pauses holds up all others.
func (i *instance) direct(now time.Time) bool {
	return i.connShare() >= i.g.r.directShare() && !i.g.r.recentlyStarted(now)
}

// SetPeers sets the other hosts that are heard now, and how many are missing: registered but not heard.
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

// SetPeerLink sets the link to a peer, nil if there is none any more, ahead of the next list of peers. It starts what
// waits for the link.
func (r *Relay) SetPeerLink(h fleet.Host, send func(f Forward)) {
	p, ok := r.forwarding.peersByHost[h]
	if !ok {
		return
	}
	p.Send = send
	r.forwarding.peersByHost[h] = p
	if send == nil {
		return
	}
	now := r.now()
	for g := range r.active {
		if g.confirmsPrimary(now) {
			g.checkDesignatedPrimary(now)
		}
		g.dispatch()
	}
}

// requestLink requests a link to a peer that has none.
func (r *Relay) requestLink(p Peer) {
	if p.Send == nil && r.cfg.RequestLink != nil {
		r.cfg.RequestLink(p.Host)
	}
}

// SetPeersIncomplete sets whether this host has recently started in a large fleet and hears too few
// hosts to tell which of them hold connections. While it is set, the host makes no connections of its
// own and uses those of the holders that it hears.
//
// Designed for hundreds of hosts that start at once. Each host took itself for the holder of instances
// whose holders it didn't hear yet, and together they filled all instances.
func (r *Relay) SetPeersIncomplete(incomplete bool) { r.forwarding.peersIncomplete = incomplete }

// SetIsolated sets whether no host of another data centre was heard lately, although there are some. It
// has no effect if an instance there has answered lately.
func (r *Relay) SetIsolated(isolated bool) {
	r.forwarding.isolated = isolated && !r.hearsRemoteInstance(r.now())
}

// hearsRemoteInstance reports whether an instance in another data centre has answered lately on one of
// this host's own connections.
func (r *Relay) hearsRemoteInstance(now time.Time) bool {
	for g := range r.active {
		for _, i := range g.instances {
			if !i.local() && len(i.conns) > 0 && now.Sub(i.lastHeard) < leader.StoreSilentAfter {
				return true
			}
		}
	}
	return false
}

// isolated reports whether the host, or its whole data centre, seems to be cut off from everything
// else: neither the store nor any host of another data centre is heard.
//
// Designed for the callers of a data centre that is cut off. Each of their statements would wait for
// its timeout on instances elsewhere, one after the other, until each instance is known to be
// unreachable. Either silence alone may have another cause, so both are required, and the process
// itself must not have been paused.
func (r *Relay) isolated(now time.Time) bool {
	return r.forwarding.isolated && r.lease.StoreSilent(now) && !now.Before(r.pauseGraceUntil)
}

// canReach reports whether the instance can be used, over this host's own connections or over another
// host.
func (r *Relay) canReach(now time.Time, i *instance) bool {
	if !i.local() && r.isolated(now) {
		return false
	}
	if !i.suspected(now) {
		return true
	}
	_, held := r.holder(i)
	return held
}

// knowsNoHolder reports whether this host uses an instance by itself, although another host may hold
// its connections, because it hasn't heard any other host yet.
func (r *Relay) knowsNoHolder(i *instance) bool {
	return !i.direct(r.now()) && len(r.forwarding.peers) == 0
}

// connVia returns a connection to the instance over another host. It costs nothing to make: the other
// host finds the real connection.
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
		if qs[0].Kind.IsControl() {
			c.closesAfterReply = true
		}
		if c.op != nil {
			now := i.g.r.now()
			f.Timeout, f.QueueWait = c.op.deadline.Sub(now), max(c.op.waitDeadline().Sub(now), minForwardWait)
			f.Priority = c.op.route.Priority.Clamp()
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
	i.g.wake()
	i.g.r.forwarding.forwardedConns[c.streamID] = c
	i.forwardedCount++
	return c
}

// HandleForwardAnswer handles another host's answer on a stream.
func (r *Relay) HandleForwardAnswer(from fleet.Host, id uint64, a statement.Answer) {
	c := r.forwarding.forwardedConns[id]
	r.forwarding.answeredAt[from] = r.now()
	if c == nil || c.via != from {
		return
	}
	r.HandleAnswer(c, a)
}

// tickForwarding gives up status requests that another host doesn't answer. They take no slot, and that
// host answers within a time limit in any case. They would pile up if that host was paused, and an
// answer that comes much later describes an outdated state.
func (r *Relay) tickForwarding(now time.Time) {
	for _, c := range r.forwarding.forwardedConns {
		asks := len(c.pending) > 0 && c.pending[0].kind.IsControl()
		if asks && now.Sub(c.pending[0].sentAt) > peerRequestTimeout+statusRequestTimeout {
			c.handleClose("no answer to a question over another host")
		}
	}
}

// PeerLost handles the end of the link to another host. The outcome of what that host ran for this one
// is unknown.
func (r *Relay) PeerLost(h fleet.Host) {
	r.forwarding.loads.Lost(h)
	delete(r.forwarding.answeredAt, h)
	for _, c := range r.forwarding.forwardedConns {
		if c.via == h {
			c.handleClose("the host that held the connection can't be reached")
		}
	}
}

// InboundLinkClosed handles the end of a link from another host. What this host runs for it is rolled
// back.
func (r *Relay) InboundLinkClosed(l PeerLinkID) {
	for k, s := range r.forwarding.inboundSessions {
		if k.link == l {
			delete(r.forwarding.inboundSessions, k)
			s.Disconnected()
		}
	}
}

// HandleForward runs another host's request and passes the answer to reply. The other host has admitted
// the operation and chosen the instance, and verifies the answer. This host queues the operation among
// its own, by account, and finds the connection.
func (r *Relay) HandleForward(from PeerLinkID, f Forward, reply func(a statement.Answer)) {
	if len(f.Statements) == 1 && f.Statements[0].Kind.IsControl() {
		r.group(f.Service).requestForPeer(f.Instance, f.Statements[0].Kind, f.Statements[0].Term, reply)
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
	s.route.Timeout, s.route.Target = f.Timeout, f.QueueWait/maxWaitTargets
	s.route.Priority = r.forwardedPriority(f)
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
