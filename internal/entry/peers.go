package entry

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/mesh"
	"skylarkdeal/internal/clock"
	"skylarkdeal/internal/pause"
	"skylarkdeal/io/gossip"
	"skylarkdeal/io/registry"
)

const (
	// wholeEvery is how many reports tell everything; those between leave out what hasn't
	// changed.
	wholeEvery = 20
	// wholeFirst is how many of the first reports tell everything: others may not know the host, and
	// any may be lost.
	wholeFirst = 5
	// doubtsEvery is how often doubts are looked at: a new one is told at once.
	doubtsEvery = 50 * time.Millisecond
	// behindFor is how long a host that hears of a newer catalog waits for its own watch
	// to bring it.
	behindFor = 250 * time.Millisecond
	// catalogFresh is how old another host's reading of the catalog may be to count.
	catalogFresh = time.Second
)

// peers is what the host knows of the others.
type peers struct {
	epoch, seq uint64
	addresses  map[fleet.Host]*net.UDPAddr
	// centres are the registered hosts' data centres.
	centres map[fleet.Host]fleet.DataCentre
	// known are the hosts that were heard.
	known map[fleet.Host]*peer
	// passing are the reports that wait to be passed on; the last were at passedAt. urgent is set
	// while one of them has news that don't wait.
	passing  []held
	passedAt time.Time
	urgent   bool
	// listed are the other hosts as the mesh wants to know them, as of listedAt.
	listed   []mesh.Member
	listedAt time.Time
	// reported is when the last report was sent, doubted how many doubts it had, reached how
	// many instances that others doubt.
	reported         time.Time
	doubted, reached int
	// catalog is the version in force here, told the one that the others know of.
	catalog, told uint64
	// looked is when the hosts were last listed because some are missing.
	looked time.Time
	// met is when hosts were added to addresses by others' word; whole is the number of hosts
	// at the last report that told everything.
	met   map[fleet.Host]time.Time
	whole int
	// forgot is when hosts that have gone were last dropped.
	forgot time.Time
	// behind is since when other hosts have a newer one.
	behind time.Time
}

// held is a report that waits to be passed on, with when it came; an urgent one doesn't wait.
type held struct {
	report gossip.Report
	at     time.Time
	urgent bool
}

// hold keeps a report until it is passed on, in place of an earlier one of its host.
func (p *peers) hold(r gossip.Report, now time.Time, urgent bool) {
	p.urgent = p.urgent || urgent
	for n := range p.passing {
		if p.passing[n].report.Host == r.Host {
			p.passing[n].report = r
			p.passing[n].urgent = p.passing[n].urgent || urgent
			return
		}
	}
	p.passing = append(p.passing, held{r, now, urgent})
}

// passedBy drops what another host has passed on.
func (p *peers) passedBy(r gossip.Report) {
	p.passing = slices.DeleteFunc(p.passing, func(o held) bool {
		return o.report.Host == r.Host && o.report.Epoch == r.Epoch && o.report.Seq <= r.Seq
	})
}

// due takes out the reports that have waited for long enough.
func (p *peers) due(now time.Time, hold time.Duration) []gossip.Report {
	var out []gossip.Report
	p.urgent = false
	p.passing = slices.DeleteFunc(p.passing, func(o held) bool {
		if now.Sub(o.at) < hold && !o.urgent {
			return false
		}
		out = append(out, o.report)
		return true
	})
	return out
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
}

// size is the number of hosts, this one included.
func (p *peers) size() int { return 1 + len(p.addresses) }

// membersFor is how long a list of the members is used: a door looks at it for each report.
const membersFor = 50 * time.Millisecond

// members returns the other hosts as the mesh wants to know them.
func (p *peers) members(now time.Time) []mesh.Member {
	if len(p.listed) != len(p.addresses) || now.Sub(p.listedAt) >= membersFor {
		p.listed, p.listedAt = p.list(now), now
	}
	return p.listed
}

func (p *peers) list(now time.Time) []mesh.Member {
	fresh := mesh.PaceOf(p.size()).Fresh
	out := make([]mesh.Member, 0, len(p.addresses))
	for n := range p.addresses {
		m := mesh.Member{Host: n, DataCentre: p.centres[n]}
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
	fresh := mesh.PaceOf(p.size()).Fresh
	n := 0
	for name, k := range p.known {
		if name < own && k.reads && !k.leaving && !k.storeless && now.Sub(k.heard) < fresh {
			n++
		}
	}
	return n
}

// at returns where hosts are to be told.
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
	if mesh.Large(h.peers.size()) {
		h.meetAll(hs)
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

// meetAll takes in hosts beside those that are known.
func (h *Host) meetAll(hs []registry.Host) {
	before := len(h.peers.addresses)
	for _, p := range hs {
		h.meet(gossip.Report{Host: p.Name, Address: p.Address, DataCentre: p.DataCentre})
	}
	if len(h.peers.addresses) == before {
		h.hostsChanged()
	}
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
	// forgetEvery is how often that is looked at.
	forgetEvery = time.Second
)

// forget drops the hosts of a large fleet that have gone. A data centre of which nobody is heard is
// cut off; its hosts stay as long as some of them are registered, as they may admit operations.
func (h *Host) forget(now time.Time) {
	if !mesh.Large(h.peers.size()) || now.Sub(h.peers.forgot) < forgetEvery {
		return
	}
	h.peers.forgot = now
	live := fleet.NewSet[fleet.DataCentre]()
	for _, k := range h.peers.known {
		if now.Sub(k.heard) < mesh.PaceOf(h.peers.size()).Fresh {
			live.Add(k.dataCentre)
		}
	}
	before := len(h.peers.addresses)
	for n := range h.peers.addresses {
		k, dc := h.peers.known[n], h.peers.centres[n]
		heard := h.peers.met[n]
		if k != nil {
			heard = k.heard
		}
		if now.Sub(heard) > unheardFor && (live.Has(dc) || !h.following.centres.Has(dc)) {
			delete(h.peers.addresses, n)
			delete(h.peers.centres, n)
			delete(h.peers.met, n)
		}
	}
	if len(h.peers.addresses) != before {
		h.hostsChanged()
	}
}

// hostsChanged tells how many hosts there are, and which.
func (h *Host) hostsChanged() {
	h.registry.SetSize(h.peers.size())
	h.relay.SetHosts(1 + len(h.peers.addresses))
	h.rates.Members(clock.Now(), slices.Collect(maps.Keys(h.peers.addresses)))
}

// report tells the others, time and again and at once when there is a new doubt.
func (h *Host) report() {
	now := clock.Now()
	h.pass(now)
	doubts := h.relay.Doubts()
	reached := h.relay.Reached()
	news := len(doubts) > h.peers.doubted || len(reached) > h.peers.reached || h.peers.catalog != h.peers.told
	early := now.Sub(h.peers.reported) < mesh.PaceOf(h.peers.size()).Report && !news
	if early || len(h.peers.addresses) == 0 {
		return
	}
	h.peers.reported, h.peers.told = now, h.peers.catalog
	h.peers.doubted, h.peers.reached = len(doubts), len(reached)
	h.rank.Store(int64(h.peers.rank(h.settings.Host.Name, now)))
	h.peers.seq++
	whole := h.peers.seq%wholeEvery == 1 || h.peers.seq <= wholeFirst || h.peers.whole < h.peers.size()
	if whole {
		h.peers.whole = h.peers.size()
	}
	digest, at := h.registry.Listing()
	r := gossip.Report{
		Host: h.settings.Host.Name, Leaving: h.relay.Draining(), Epoch: h.peers.epoch, Seq: h.peers.seq,
		Reads: h.reads(), Storeless: h.reads() && !h.registry.Up(), Capacity: h.settings.Adapter.Capacity,
		Usages: h.rates.Usage(now, whole), Catalog: h.peers.catalog, Record: h.relay.Record(),
		CatalogAge: now.Sub(h.registry.Read()), Reached: reached,
		Instances: digest, InstancesAge: now.Sub(at),
	}
	if whole {
		r.Address, r.DataCentre = h.settings.Peer.Address, h.settings.Host.DataCentre
	}
	for i, d := range doubts {
		r.Doubts = append(r.Doubts, gossip.Doubt{Instance: i, Silent: d})
	}
	to := mesh.Recipients(h.self(), h.peers.members(now))
	h.gossip.Send(r, h.peers.at(to))
}

// self is this host as the mesh wants to know it.
func (h *Host) self() mesh.Member {
	return mesh.Member{
		Host: h.settings.Host.Name, DataCentre: h.settings.Host.DataCentre, Heard: true,
		Leaving: h.relay.Draining(), Capacity: h.settings.Adapter.Capacity,
	}
}

// pass passes on what was heard from other data centres to the hosts beside this one.
func (h *Host) pass(now time.Time) {
	waits := now.Sub(h.peers.passedAt) < mesh.PaceOf(h.peers.size()).Pass && !h.peers.urgent
	if len(h.peers.passing) == 0 || waits {
		return
	}
	self, others := h.self(), h.peers.members(now)
	rs := h.peers.due(now, mesh.Hold(self, others))
	if len(rs) == 0 {
		return
	}
	h.gossip.Pass(rs, h.peers.at(mesh.Beside(self.DataCentre, others)))
	h.peers.passedAt = now
}

// heard takes in other hosts' reports. Those that came directly from another data centre of
// a large fleet are passed on.
func (h *Host) heard(rs []gossip.Report, passed bool) {
	h.loop.Do(func() {
		for _, r := range rs {
			if passed {
				h.peers.passedBy(r)
			}
			if r.Host == h.settings.Host.Name || h.peers.older(r) {
				continue
			}
			before := 0
			if k := h.peers.known[r.Host]; k != nil {
				before = k.news
			}
			h.take(r)
			if !passed && h.passes(r.Host) {
				h.peers.hold(r, clock.Now(), h.peers.known[r.Host].news > before)
			}
		}
	})
}

// passes reports whether what a host has told this one directly is to be passed on.
func (h *Host) passes(from fleet.Host) bool {
	if !mesh.Large(h.peers.size()) {
		return false
	}
	return mesh.Passes(h.self(), h.peers.known[from].dataCentre, h.peers.members(clock.Now()))
}

// take takes in another host's report.
func (h *Host) take(r gossip.Report) {
	now := clock.Now()
	h.meet(r)
	k := h.peers.known[r.Host]
	if k == nil {
		k = &peer{}
		h.peers.known[r.Host] = k
	}
	if a := h.peers.addresses[r.Host]; k.address == "" && a != nil {
		// It may have been heard before anybody told of its address.
		k.address, k.dataCentre = a.String(), h.peers.centres[r.Host]
	}
	if r.Address != "" {
		k.address, k.dataCentre = r.Address, r.DataCentre
	}
	if k.epoch != r.Epoch {
		k.former = k.epoch
	}
	k.capacity, k.news = r.Capacity, len(r.Doubts)+len(r.Reached)
	k.reads = r.Reads
	k.heard, k.leaving, k.storeless, k.epoch, k.seq = now, r.Leaving, r.Storeless, r.Epoch, r.Seq
	h.rates.Heard(now, r.Host, r.Epoch, r.Seq, r.Usages)
	is := make([]fleet.Instance, 0, len(r.Doubts))
	for _, d := range r.Doubts {
		is = append(is, d.Instance)
	}
	h.relay.Doubted(r.Host, is, r.Reached)
	if r.Record > h.relay.Record() {
		h.registry.Refresh()
	}
	h.compareCatalog(r)
}

// compareCatalog has the catalog read anew if another host has a newer one, which the
// watch doesn't bring. One that has the same may have read it later; the same goes for
// the list of instances.
//
// The age doesn't count the report's way: some ms directly, up to half a second over a door
// of a large fleet. The catalog is then read that much later than it should.
func (h *Host) compareCatalog(r gossip.Report) {
	now := clock.Now()
	if r.InstancesAge < catalogFresh {
		h.registry.ListingConfirmed(r.Instances, now.Add(-r.InstancesAge))
	}
	if r.Catalog <= h.peers.catalog {
		h.peers.behind = time.Time{}
	}
	switch {
	case r.Catalog > h.peers.catalog && h.peers.behind.IsZero():
		h.peers.behind = now
	case r.Catalog > h.peers.catalog && now.Sub(h.peers.behind) > behindFor:
		h.peers.behind = now
		h.registry.Reload()
	case r.Catalog == h.peers.catalog && r.CatalogAge < catalogFresh:
		h.registry.CatalogConfirmed(now.Add(-r.CatalogAge))
	}
}

// meet takes in a host that isn't on the list yet.
func (h *Host) meet(r gossip.Report) {
	if h.peers.addresses == nil || h.peers.addresses[r.Host] != nil || r.Address == "" || r.Host == h.settings.Host.Name {
		return
	}
	a, err := net.ResolveUDPAddr("udp4", r.Address)
	if err != nil {
		h.log.Warn("host without an address", zap.String("host", string(r.Host)), zap.Error(err))
		return
	}
	h.peers.addresses[r.Host], h.peers.centres[r.Host] = a, r.DataCentre
	h.peers.met[r.Host] = clock.Now()
	h.hostsChanged()
}

// gossips tells the others of this host until ctx ends.
func (h *Host) gossips(ctx context.Context) {
	pause.Every(ctx, doubtsEvery, func() { h.loop.Do(h.report) })
}
