package entry

import (
	"slices"
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/follow"
	"skylarkdeal/core/mesh"
	"skylarkdeal/internal/clock"
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
	// doubtsEvery is how often doubts are looked at, at most: a new one is told at once. It is a
	// little less than the pause between two ticks of a host at rest.
	doubtsEvery = 45 * time.Millisecond
	// catalogFresh is how old another host's reading of the catalog may be to count.
	catalogFresh = time.Second
)

// report tells the others, time and again and at once when there is a new doubt.
func (h *Host) report() {
	now := clock.Now()
	if now.Sub(h.peers.checked) < doubtsEvery {
		return
	}
	h.peers.checked = now
	h.pass(now)
	doubts := h.relay.Unreachable()
	reached := h.relay.Reachable()
	news := len(doubts) > h.peers.doubted || len(reached) > h.peers.reached ||
		h.peers.catalog != h.peers.told || h.peers.toldRole != h.following.role
	early := now.Sub(h.peers.reported) < mesh.IntervalsFor(h.peers.size()).Report && !news
	if early || len(h.peers.addresses) == 0 {
		return
	}
	h.peers.reported, h.peers.told, h.peers.toldRole = now, h.peers.catalog, h.following.role
	h.peers.doubted, h.peers.reached = len(doubts), len(reached)
	h.rank.Store(int64(h.peers.rank(h.settings.Host.Name, now)))
	h.peers.seq++
	whole := h.peers.seq%wholeEvery == 1 || h.peers.seq <= wholeFirst || h.peers.whole < h.peers.size()
	if whole {
		h.peers.whole = h.peers.size()
	}
	digest, at := h.registry.InstancesDigest()
	r := gossip.Report{
		Host: h.settings.Host.Name, Leaving: h.relay.Draining(), Epoch: h.peers.epoch, Seq: h.peers.seq,
		IsReader: h.reads(), StoreUnreachable: h.reads() && !h.registry.StoreReachable(),
		Capacity: h.settings.Adapter.Capacity,
		Usages:   h.rates.Usage(now, whole), CatalogRevision: h.reportedCatalog(), RecordRevision: h.relay.RecordRevision(),
		CatalogAge: now.Sub(h.registry.CatalogReadAt()), Reachable: reached,
		Instances: digest, InstancesAge: now.Sub(at), Sent: now,
	}
	if whole {
		r.Address, r.DataCentre = h.settings.Peer.Address, h.settings.Host.DataCentre
	}
	for i, d := range doubts {
		r.Unreachable = append(r.Unreachable, gossip.UnreachableInstance{Instance: i, Silent: d})
	}
	to := mesh.Recipients(h.self(), h.peers.members(now))
	h.gossip.Send(r, h.peers.at(to))
}

// reportedCatalog is the revision of the newest change of the catalog in force. It is no higher than what
// another host that lacks no change can know: the revision of a removal is a guess.
func (h *Host) reportedCatalog() uint64 {
	if known := uint64(h.registry.CatalogRevision()); known != 0 {
		return min(h.peers.catalog, known)
	}
	return h.peers.catalog
}

// self is this host as the mesh wants to know it.
func (h *Host) self() mesh.Peer {
	return mesh.Peer{
		Host: h.settings.Host.Name, DataCentre: h.settings.Host.DataCentre, Heard: true,
		Leaving: h.relay.Draining(), Capacity: h.settings.Adapter.Capacity,
	}
}

// pass passes on what was heard to the hosts beside this one.
func (h *Host) pass(now time.Time) {
	waits := now.Sub(h.peers.passedAt) < mesh.IntervalsFor(h.peers.size()).Forward && !h.peers.urgent
	if len(h.peers.passing) == 0 || waits {
		return
	}
	self, others := h.self(), h.peers.members(now)
	rs := h.peers.due(now, mesh.ForwardDelay(self, others))
	if len(rs) == 0 {
		return
	}
	h.gossip.Forward(rs, h.peers.at(mesh.LocalRecipients(self.DataCentre, others)))
	h.peers.passedAt = now
}

// heard takes in other hosts' reports. A door passes on those that came to it directly.
func (h *Host) heard(rs []gossip.Report, passed bool) {
	h.loop.Post(func() {
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
	return mesh.ForwardsFrom(h.self(), h.peers.known[from].dataCentre, h.peers.members(clock.Now()))
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
		k.delay = follow.ExtraDelay{}
	}
	k.extra = 0
	if !r.Sent.IsZero() {
		k.extra = k.delay.Observe(r.Sent, now)
	}
	r.CatalogAge, r.InstancesAge = r.CatalogAge+k.extra, r.InstancesAge+k.extra
	k.capacity, k.news = r.Capacity, len(r.Unreachable)+len(r.Reachable)
	k.reads = r.IsReader
	k.heard, k.leaving, k.storeless, k.epoch, k.seq = now, r.Leaving, r.StoreUnreachable, r.Epoch, r.Seq
	h.rates.AddReport(now, r.Host, r.Epoch, r.Seq, r.Usages)
	is := make([]fleet.Instance, 0, len(r.Unreachable))
	for _, d := range r.Unreachable {
		is = append(is, d.Instance)
	}
	h.relay.AddReachability(r.Host, is, r.Reachable)
	if r.RecordRevision > h.relay.RecordRevision() {
		h.registry.RefreshRecords()
	}
	h.compareCatalog(r)
}

// compareCatalog takes in what another host's report tells of the catalog and of the list of instances.
//
// The ages count by how much longer than usual the report took, but not the usual time: some ms directly,
// up to half a second over a door of a large fleet. What they confirm looks that much younger than it is.
func (h *Host) compareCatalog(r gossip.Report) {
	now := clock.Now()
	if at := now.Add(-r.InstancesAge); r.InstancesAge < catalogFresh && h.registry.InstancesConfirmed(r.Instances, at) {
		h.relay.InstancesConfirmed(at)
	}
	known, named := h.knownCatalog(), registry.Revision(r.CatalogRevision)
	at := now.Add(-r.CatalogAge)
	if named <= known && named != 0 && r.CatalogAge < catalogFresh {
		h.registry.CatalogConfirmed(at)
	}
	if named > known && named > h.catalogStatus.newer {
		h.catalogStatus.newer, h.catalogStatus.newerAt = named, r.Host
	}
	h.catalogMonitor.AddReport(now, known, follow.CatalogReport{
		Host: r.Host, IsReader: r.IsReader, Revision: named, ReadAt: at,
	})
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
