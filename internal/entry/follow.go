package entry

import (
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/follow"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/mesh"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/times"
	"skylarkdeal/internal/clock"
	"skylarkdeal/io/forward"
	"skylarkdeal/io/registry"
)

const (
	// followEvery is the interval at which a follower requests updates; each request also renews the
	// translation of the reader's clock.
	followEvery = time.Second
	// followFor is how long a reader sends updates after a request.
	followFor = 3 * followEvery
)

// following is what a host needs to follow a reader of the store, and to be followed.
type following struct {
	role follow.Role
	// chosenAt is when the role was last chosen.
	chosenAt time.Time
	// since is when the host took its role, renewed when the last renewal was sent that it
	// knows of, its own or a reader's.
	since, renewed time.Time
	// session is that with the reader that it follows, asked when it was last asked for updates, heard
	// when a new renewal last came, or the session began.
	session      follow.Subscription
	asked, heard time.Time
	// passedRenewal is the last renewal that the reader passed on, by its clock.
	passedRenewal time.Time
	// left is when readers were last left because nothing new came from them.
	left map[fleet.Host]time.Time
	// registered are the hosts that were registered when the store was last asked, centres their
	// data centres.
	registered []registry.Host
	centres    fleet.Set[fleet.DataCentre]

	// count is how many hosts there were when that was last written to the store.
	count int

	// hosts is the copy of the known hosts, made at hostsAt, for followers that begin.
	hosts   follow.PartCopy[[]registry.Entry]
	hostsAt time.Time
	// has are the versions of the parts that the followed reader has last passed on.
	has       map[follow.Part]follow.Version
	copies    follow.PartCache[[]registry.Entry]
	own       time.Time
	followers map[relay.PeerLinkID]*follower
}

// follower is a host that follows this one.
type follower struct {
	asked, heard time.Time
	has          map[follow.Part]follow.Version
	// takesChanges is set if it takes in copies with only the changes.
	takesChanges bool
	write        func(b []byte)
}

// reads reports whether this host reads the store.
func (h *Host) reads() bool { return h.following.role == follow.RoleReader }

// setRole sets the role that the host begins with, or has chosen.
func (h *Host) setRole(x follow.Role) {
	if h.following.role == x {
		return
	}
	h.following.role, h.following.since = x, clock.Now()
	h.following.session = follow.Subscription{}
	h.registry.SetRole(x)
	h.following.copies.Diff = nil
	if x == follow.RoleReader {
		h.following.copies.Diff = registry.Diff
	}
	if x == follow.RoleFollower {
		clear(h.following.followers)
		// The link to a reader is the first thing that it needs.
		h.linksCheckedAt = time.Time{}
		h.requestTick()
	}
}

// chooseRole chooses whether the host reads the store or follows a host that does.
func (h *Host) chooseRole(now time.Time) {
	h.following.chosenAt = now
	if h.following.role == "" {
		return
	}
	if !mesh.UsesRelays(h.peers.size()) {
		// A fleet that has just started looks small until its hosts have heard each other.
		if now.Sub(h.began) > discoveryTime {
			h.setRole(follow.RoleReader)
		}
		return
	}
	if h.reads() && (h.relay.IsCoordinator() || h.relay.Draining()) {
		return
	}
	self := follow.Candidate{
		Host: h.settings.Host.Name, Capacity: h.settings.Adapter.Capacity, IsReader: h.reads(),
		StoreUnreachable: !h.registry.StoreReachable(),
	}
	h.setRole(follow.Choose(now, follow.RoleInput{
		Self: self, Others: h.candidates(now), RoleSince: h.following.since, LastRenewal: h.following.renewed,
	}))
}

// discoveryTime is how long a host that starts waits to hear of the others before it takes its
// fleet for a small one.
const discoveryTime = 1500 * time.Millisecond

// peersIncompleteFor is how long after its start a host of a large fleet makes no connections to instances
// while it hears less than half of the others.
const peersIncompleteFor = 3 * time.Second

// peersIncomplete reports whether the host hears too few others to tell who holds connections.
func (h *Host) peersIncomplete(now time.Time, heard int) bool {
	f := &h.following
	if now.Sub(h.began) > peersIncompleteFor || f.count > 0 && !mesh.UsesRelays(f.count) {
		return false
	}
	return 2*heard < max(f.count, h.peers.size())-1
}

// candidates returns the other hosts of the data centre that are heard and stay.
func (h *Host) candidates(now time.Time) []follow.Candidate {
	return h.candidatesWhere(now, func(dc fleet.DataCentre) bool { return dc == h.settings.Host.DataCentre })
}

// candidatesWhere returns the other hosts of some data centres that are heard and stay.
func (h *Host) candidatesWhere(now time.Time, in func(dc fleet.DataCentre) bool) []follow.Candidate {
	fresh := mesh.IntervalsFor(h.peers.size()).HeardWithin
	var out []follow.Candidate
	for n, k := range h.peers.known {
		if in(k.dataCentre) && !k.leaving && now.Sub(k.heard) < fresh {
			out = append(out, follow.Candidate{
				Host: n, Capacity: k.capacity, IsReader: k.reads, StoreUnreachable: k.storeless, LeftAt: h.following.left[n],
			})
		}
	}
	return out
}

// followStore keeps the host following a reader that passes on renewals, of its own data centre if one does.
func (h *Host) followStore(now time.Time) {
	f := &h.following
	if f.role != follow.RoleFollower {
		return
	}
	if l := h.links.byHost[f.session.Reader]; l == nil || l.failed ||
		now.Sub(f.heard) > leader.StoreSilentAfter && !l.receiving(now) {
		h.chooseReader(now)
	} else if p := h.peers.known[f.session.Reader]; p != nil && p.dataCentre != h.settings.Host.DataCentre {
		if reader, ok := follow.ChooseLocalReader(now, h.settings.Host.Name, h.candidates(now)); ok {
			h.follow(now, reader)
		}
	}
	l := h.links.byHost[f.session.Reader]
	if l == nil || !l.up || now.Sub(f.asked) < followEvery {
		return
	}
	f.asked = now
	l.used = now
	l.conn.Write(forward.AppendFollow(nil, forward.Follow{
		Sent: now, Full: f.session.RequestFull(), TakesChanges: true,
	}))
}

// chooseReader takes a reader to follow, another one than the last if there is one. One elsewhere may be
// taken too while no renewal is known that still proves anything, or the catalog is behind.
func (h *Host) chooseReader(now time.Time) {
	f := &h.following
	if f.session.Reader != "" {
		f.left[f.session.Reader] = now
	}
	var elsewhere []follow.Candidate
	if now.Sub(f.renewed) > leader.LeaseValidity || !h.catalogStatus.decision.BehindSince.IsZero() {
		elsewhere = h.candidatesWhere(now, func(dc fleet.DataCentre) bool { return dc != h.settings.Host.DataCentre })
	}
	reader, ok := follow.ChooseReader(now, h.settings.Host.Name, h.candidates(now), elsewhere)
	if !ok {
		// Those that are to read may have reported before they knew.
		reader, ok = follow.ChooseReader(now, h.settings.Host.Name, h.registeredInDataCentre(), nil)
	}
	if !ok {
		f.session = follow.Subscription{}
		return
	}
	h.follow(now, reader)
}

// follow follows a reader from now on.
func (h *Host) follow(now time.Time, reader fleet.Host) {
	f := &h.following
	if reader != f.session.Reader {
		h.log.Debug("follow a reader of the store", zap.String("host", string(reader)))
		h.beginSession(reader, now)
	}
	// The request is sent as soon as the link stands; heard bounds the wait for its answer.
	f.asked, f.heard = time.Time{}, now
	h.requestLink(reader)
}

// beginSession begins a session with a reader, in which all parts are passed on first.
func (h *Host) beginSession(reader fleet.Host, now time.Time) {
	h.following.session.Begin(reader, now)
	h.following.has = map[follow.Part]follow.Version{}
}

// registeredInDataCentre returns the hosts of the data centre that were registered when this one started.
func (h *Host) registeredInDataCentre() []follow.Candidate {
	var out []follow.Candidate
	for _, r := range h.following.registered {
		if r.DataCentre == h.settings.Host.DataCentre && r.Name != h.settings.Host.Name {
			out = append(out, follow.Candidate{Host: r.Name, Capacity: r.Capacity, IsReader: true})
		}
	}
	return out
}

// handleUpdate handles an update of the reader that the host follows.
//
// A renewal of the reader's registration proves to its followers too that no promotion was requested before
// it was sent that isn't among the records that come with it. Its time is translated so that it isn't later
// here than it was there, however long the update took.
func (h *Host) handleUpdate(from fleet.Host, n forward.StoreUpdate) {
	f := &h.following
	if h.takeCopy(from, n) && from != f.session.Reader {
		return
	}
	if f.role != follow.RoleFollower || !f.session.Accepts(from, n.RequestSentAt) {
		return
	}
	if !n.Renewed.Equal(f.passedRenewal) {
		// A reader that answers and passes on no new renewal may have lost the store.
		f.heard, f.passedRenewal = clock.Now(), n.Renewed
	}
	f.session.Clock.Observe(n.RequestSentAt, n.RequestReceivedAt)
	f.centres = fleet.NewSet(n.Centres...)
	for p, c := range n.Parts {
		read, ok := f.session.Clock.NotBefore(c.ReadAt)
		if !ok && !c.HasBody {
			continue
		}
		c.ReadAt = read
		if c, ok = h.expand(p, c); !ok {
			return
		}
		if p == follow.PartHosts {
			h.addHosts(h.registry.ParseHosts(c.Body))
			continue
		}
		if p == follow.PartCatalog {
			h.catalogReceived(from, c)
		}
		if h.registry.ApplyPart(p, c) && p == follow.PartInstances {
			h.relay.InstancesConfirmed(c.ReadAt)
		}
	}
	if n.Renewed.IsZero() {
		h.relay.LeaseLost()
		return
	}
	if at, ok := f.session.Clock.NotBefore(n.Renewed); ok {
		h.renewed(at)
	}
}

// expand returns the whole copy that changes of a part stand for. If they are from a version that this host doesn't
// have, it asks for all parts and returns false: a renewal that comes with them must not count, as it would seem to
// confirm records that are missing.
func (h *Host) expand(p follow.Part, c follow.PartCopy[[]registry.Entry]) (follow.PartCopy[[]registry.Entry], bool) {
	f := &h.following
	whole, ok := c, !c.ChangesOnly || f.has[p] == c.Base
	if ok {
		whole, ok = h.registry.Expand(p, c)
	}
	if !ok {
		h.log.Warn("changes of another version ignored", zap.String("part", string(p)),
			zap.Uint64("base", uint64(c.Base)), zap.Uint64("known", uint64(f.has[p])))
		h.requestAll(clock.Now())
		return c, false
	}
	if c.HasBody {
		f.has[p] = c.Version
	}
	return whole, true
}

// renewed records that a registration was renewed by a call that was sent at the given time.
func (h *Host) renewed(at time.Time) {
	h.following.renewed = times.Later(h.following.renewed, at)
	h.relay.LeaseRenewed(at)
}

// ownRenewed records a renewal of this host's own registration, and passes it on.
func (h *Host) ownRenewed(at time.Time) {
	h.following.own = times.Later(h.following.own, at)
	h.renewed(at)
	h.sendUpdates()
}

// ownLost records that this host's own registration has ended.
func (h *Host) ownLost() {
	h.following.own = time.Time{}
	h.relay.LeaseLost()
	h.sendUpdates()
}

// handlePart stores a part of the store that this host has read, and passes it on.
func (h *Host) handlePart(p follow.Part, c follow.PartCopy[[]registry.Entry]) {
	h.following.copies.Put(p, c)
	h.sendUpdates()
}

// handleFollow handles a host's request for updates.
func (h *Host) handleFollow(l relay.PeerLinkID, q forward.Follow, write func(b []byte)) {
	f := h.following.followers[l]
	if f == nil {
		f = &follower{has: map[follow.Part]follow.Version{}, write: write}
		h.following.followers[l] = f
	}
	if q.Full {
		clear(f.has)
	}
	f.asked, f.heard, f.takesChanges = q.Sent, clock.Now(), q.TakesChanges
	if h.reads() {
		h.sendUpdate(f)
	}
}

// sendUpdates sends an update to all followers, and drops those that have sent no request lately.
func (h *Host) sendUpdates() {
	if !h.reads() {
		return
	}
	now := clock.Now()
	for l, f := range h.following.followers {
		if now.Sub(f.heard) > followFor {
			delete(h.following.followers, l)
			continue
		}
		h.sendUpdate(f)
	}
}

func (h *Host) sendUpdate(f *follower) {
	n := forward.StoreUpdate{
		RequestSentAt: f.asked, RequestReceivedAt: f.heard, Renewed: h.following.own, Compressed: f.takesChanges,
	}
	if f.takesChanges {
		n.Parts = h.following.copies.ChangesFor(f.has)
	} else {
		n.Parts = h.following.copies.UpdatesFor(f.has)
	}
	h.catalogForwarded(n.Parts[follow.PartCatalog])
	if f.has[follow.PartHosts] == 0 {
		// The others come by the hosts' own reports.
		f.has[follow.PartHosts] = 1
		n.Parts[follow.PartHosts] = h.hostsCopy()
	}
	for c := range h.following.centres {
		n.Centres = append(n.Centres, c)
	}
	f.write(forward.AppendStoreUpdate(nil, n))
}
