package entry

import (
	"encoding/json"
	"net"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/follow"
	"skylarkdeal/core/mesh"
	"skylarkdeal/core/ratelimit"
	"skylarkdeal/internal/clock"
	"skylarkdeal/io/gossip"
	"skylarkdeal/io/registry"
)

// peers is what the host knows of the others.
type peers struct {
	epoch, seq uint64
	addresses  map[fleet.Host]*net.UDPAddr
	// centres are the data centres of the hosts in addresses.
	centres map[fleet.Host]fleet.DataCentre
	// sizes counts the hosts of each data centre in centres, this host included.
	sizes map[fleet.DataCentre]int
	// known are the hosts that were heard, heardFrom is when each data centre was.
	known     map[fleet.Host]*peer
	heardFrom mesh.Centres
	// newestRecord is the revision of the newest promotion record that a report has named, newestRecordAt when one
	// named a record that was missing here.
	newestRecord   uint64
	newestRecordAt time.Time
	// added is set if hosts were added to addresses of which the other parts don't know yet.
	added bool
	// forwardQueue are the reports that wait to be forwarded, by host; the last were at forwardedAt. urgent is
	// set while one of them must not wait.
	forwardQueue map[fleet.Host]queuedReport
	forwardedAt  time.Time
	urgent       bool
	// listed are the other hosts as the mesh wants to know them, as of listedAt.
	listed   []mesh.Peer
	listedAt time.Time
	// reported is when the last report was sent, reportedUnreachable and reportedReachable how many
	// instances it named as such.
	reported                               time.Time
	reportedUnreachable, reportedReachable int
	// reportedEjections counts the changes of ejections up to the last report.
	reportedEjections uint64
	// checked is when it was last checked whether a report is due.
	checked time.Time
	// catalog is the revision of the newest change of the catalog in force here,
	// reportedCatalog the one in the last report.
	catalog, reportedCatalog uint64
	// reportedRole is the role in the last report, reportedSlots are the held slots.
	reportedRole  follow.Role
	reportedSlots ratelimit.SlotSet
	// allHeardAt is when hosts of all data centres had last been heard, zero while the hosts aren't known.
	allHeardAt time.Time
	// listedMissingAt is when the hosts were last listed because some are missing.
	listedMissingAt time.Time
	// addedAt is when hosts were added to addresses because others named them, completeFor the number
	// of hosts at the last complete report.
	addedAt     map[fleet.Host]time.Time
	completeFor int
	// forgot is when hosts that have gone were last dropped.
	forgot time.Time
}

// peer is another host as it was last heard.
type peer struct {
	address    string
	dataCentre fleet.DataCentre
	capacity   fleet.Capacity
	heard      time.Time
	leaving    bool
	storeless  bool
	// reads is set while the host reads the store.
	reads bool
	// news counts the instances of its last report that it can't reach, or can although another
	// host can't.
	news int
	// epoch and seq are those of its last report, which comes over more than one way; former
	// is the epoch of its process before.
	epoch, seq, former uint64
	// delay estimates by how much its reports are held up, extra is that of its last one.
	delay follow.ExtraDelay
	extra time.Duration
}

// size is the number of hosts, this one included.
func (p *peers) size() int { return 1 + len(p.addresses) }

// membersFor is how long a list of the members is used: a door looks at it for each report.
const membersFor = 50 * time.Millisecond

// members returns the other hosts as the mesh wants to know them.
func (p *peers) members(now time.Time) []mesh.Peer {
	if len(p.listed) != len(p.addresses) || now.Sub(p.listedAt) >= membersFor {
		p.listed, p.listedAt = p.list(now), now
	}
	return p.listed
}

func (p *peers) list(now time.Time) []mesh.Peer {
	fresh := mesh.IntervalsFor(p.size()).HeardWithin
	out := make([]mesh.Peer, 0, len(p.addresses))
	for n := range p.addresses {
		m := mesh.Peer{Host: n, DataCentre: p.centres[n]}
		if k := p.known[n]; k != nil {
			m.Heard, m.Leaving, m.Capacity = now.Sub(k.heard) < fresh, k.leaving, k.capacity
		}
		out = append(out, m)
	}
	return out
}

// rank counts the hosts that go before this one in reading the store for all: those that are
// heard, reach it, and come before it by name.
func (p *peers) rank(own fleet.Host, now time.Time) int {
	fresh := mesh.IntervalsFor(p.size()).HeardWithin
	n := 0
	for name, k := range p.known {
		if name < own && k.reads && !k.leaving && !k.storeless && now.Sub(k.heard) < fresh {
			n++
		}
	}
	return n
}

// at returns the addresses of hosts.
func (p *peers) at(hs []fleet.Host) []*net.UDPAddr {
	out := make([]*net.UDPAddr, 0, len(hs))
	for _, h := range hs {
		out = append(out, p.addresses[h])
	}
	return out
}

// older reports whether r is not newer than what was last heard of its host. Epochs tell
// processes apart but don't order them: the time of day may have been set back between two.
func (p *peers) older(r gossip.Report) bool {
	k := p.known[r.Host]
	return k != nil && (r.Epoch == k.former || r.Epoch == k.epoch && r.Seq <= k.seq)
}

// registered takes in the hosts that are registered. In a large fleet those that follow them are
// not, and stay as long as they are heard.
func (h *Host) registered(hs []registry.Host) {
	now := clock.Now()
	h.following.registered, h.following.centres = hs, fleet.NewSet(h.settings.Host.DataCentre)
	for _, p := range hs {
		h.following.centres.Add(p.DataCentre)
		h.expect(p, now)
	}
	if mesh.UsesRelays(h.peers.size()) {
		h.addHosts(hs)
		h.hostsChanged()
		return
	}
	at := make(map[fleet.Host]*net.UDPAddr, len(hs))
	centres := make(map[fleet.Host]fleet.DataCentre, len(hs))
	for _, p := range hs {
		if p.Name == h.settings.Host.Name {
			continue
		}
		a, err := net.ResolveUDPAddr("udp4", p.Address)
		if err != nil {
			h.log.Warn("host without an address", zap.String("host", string(p.Name)), zap.Error(err))
			continue
		}
		at[p.Name], centres[p.Name] = a, p.DataCentre
	}
	h.peers.addresses, h.peers.centres = at, centres
	h.hostsChanged()
}

// expect takes a registered host of a data centre of which none is heard for one that is, so that a
// host which starts finds a reader to follow.
func (h *Host) expect(p registry.Host, now time.Time) {
	beside := p.DataCentre == h.settings.Host.DataCentre && p.Name != h.settings.Host.Name
	if !beside || h.peers.known[p.Name] != nil || h.reads() {
		return
	}
	h.peers.known[p.Name] = &peer{
		address: p.Address, dataCentre: p.DataCentre, capacity: p.Capacity, heard: now, reads: true,
	}
}

// addHosts takes in hosts beside those that are known.
func (h *Host) addHosts(hs []registry.Host) {
	for _, p := range hs {
		h.add(p.Name, p.Address, p.DataCentre)
	}
}

// hostsCopyMaxAge is how long a copy of the known hosts is passed on to new followers, hundreds of which may begin at
// once. They hear of hosts that come later by their reports.
const hostsCopyMaxAge = time.Second

// hostsCopy returns the hosts that are known, for a new follower.
func (h *Host) hostsCopy() follow.PartCopy[[]registry.Entry] {
	f := &h.following
	if now := clock.Now(); now.Sub(f.hostsAt) > hostsCopyMaxAge {
		f.hostsAt = now
		f.hosts = follow.PartCopy[[]registry.Entry]{
			Version: 1, HasBody: true, Body: h.hostEntries(), Encoded: &follow.Encoded{},
		}
	}
	return f.hosts
}

// hostEntries returns the hosts that are known, as they would register.
func (h *Host) hostEntries() []registry.Entry {
	out := make([]registry.Entry, 0, len(h.peers.addresses))
	for n, a := range h.peers.addresses {
		b, err := json.Marshal(registry.Host{Name: n, DataCentre: h.peers.centres[n], Address: a.String()})
		if err != nil {
			h.log.Error("host not told of", zap.String("host", string(n)), zap.Error(err))
			continue
		}
		out = append(out, registry.Entry{Value: b})
	}
	return out
}

const (
	// unheardFor is how long a host of a large fleet isn't heard, while others of its data centre
	// are, before it counts as gone.
	unheardFor = 4 * time.Second
	// forgetEvery is how often that is checked.
	forgetEvery = time.Second
)

// forget drops the hosts of a large fleet that have gone. A data centre of which nobody is heard is
// cut off; its hosts stay as long as some of them are registered.
func (h *Host) forget(now time.Time) {
	if !mesh.UsesRelays(h.peers.size()) || now.Sub(h.peers.forgot) < forgetEvery {
		return
	}
	h.peers.forgot = now
	live := fleet.NewSet[fleet.DataCentre]()
	for _, k := range h.peers.known {
		if now.Sub(k.heard) < mesh.IntervalsFor(h.peers.size()).HeardWithin {
			live.Add(k.dataCentre)
		}
	}
	before := len(h.peers.addresses)
	for n := range h.peers.addresses {
		k, dc := h.peers.known[n], h.peers.centres[n]
		heard := h.peers.addedAt[n]
		if k != nil {
			heard = k.heard
		}
		if now.Sub(heard) > unheardFor && (live.Has(dc) || !h.following.centres.Has(dc)) {
			delete(h.peers.addresses, n)
			delete(h.peers.centres, n)
			delete(h.peers.addedAt, n)
		}
	}
	if len(h.peers.addresses) != before {
		h.hostsChanged()
	}
}

// applyHosts passes the hosts that were added since the last tick to the parts that use them: when a fleet starts,
// hundreds are added within a second.
func (h *Host) applyHosts() {
	if h.peers.added {
		h.hostsChanged()
	}
}

// hostsChanged passes the number of hosts and their names to the parts that use them.
func (h *Host) hostsChanged() {
	h.peers.added = false
	h.peers.sizes = h.membersBy()
	h.linksChanged()
	h.registry.SetHostCount(h.peers.size())
	h.relay.SetHostCount(1 + len(h.peers.addresses))
	h.relay.SetDataCentreSizes(h.peers.sizes)
}

// membersBy counts the hosts of each data centre, this one included.
func (h *Host) membersBy() map[fleet.DataCentre]int {
	out := map[fleet.DataCentre]int{h.settings.Host.DataCentre: 1}
	for _, dc := range h.peers.centres {
		out[dc]++
	}
	return out
}

// add adds a host to the list if it isn't there yet. The other parts learn of it at the next tick.
func (h *Host) add(n fleet.Host, address string, dc fleet.DataCentre) {
	if h.peers.addresses == nil || h.peers.addresses[n] != nil || address == "" || n == h.settings.Host.Name {
		return
	}
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		h.log.Warn("host without an address", zap.String("host", string(n)), zap.Error(err))
		return
	}
	h.peers.addresses[n], h.peers.centres[n] = a, dc
	h.peers.addedAt[n] = clock.Now()
	h.peers.added = true
}
