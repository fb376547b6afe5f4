package entry

import (
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/follow"
	"skylarkdeal/core/mesh"
	"skylarkdeal/internal/clock"
	"skylarkdeal/io/gossip"
	"skylarkdeal/io/registry"
)

const (
	// completeReportEvery is the interval, in reports, between two complete ones; those between leave out
	// what hasn't changed.
	completeReportEvery = 20
	// completeFirstReports is how many of the first reports are complete: others may not know the host,
	// and any may be lost.
	completeFirstReports = 5
	// checkEvery is the least time between two checks whether a report is due: an instance that has
	// become unreachable is reported at once. It is a little less than the pause between two ticks of an
	// idle host.
	checkEvery = 45 * time.Millisecond
	// catalogFresh is how old another host's reading of the catalog may be to count.
	catalogFresh = time.Second
)

// report sends a report to other hosts at intervals, and at once when an instance has become unreachable or
// its ejection has changed, or the catalog or the role has changed.
func (h *Host) report() {
	now := clock.Now()
	if now.Sub(h.peers.checked) < checkEvery {
		return
	}
	h.peers.checked = now
	h.forwardReports(now)
	unreachable := h.relay.Unreachable()
	reachable := h.relay.Reachable()
	news := len(unreachable) > h.peers.reportedUnreachable || len(reachable) > h.peers.reportedReachable ||
		h.peers.reportedEjections != h.relay.EjectionChanges() || h.peers.catalog != h.peers.reportedCatalog ||
		h.peers.reportedRole != h.following.role || h.peers.reportedSlots != h.rates.Held(now)
	early := now.Sub(h.peers.reported) < mesh.IntervalsFor(h.peers.size()).Report && !news
	if early || len(h.peers.addresses) == 0 {
		return
	}
	h.peers.reported, h.peers.reportedCatalog, h.peers.reportedRole = now, h.peers.catalog, h.following.role
	h.peers.reportedSlots = h.rates.Held(now)
	h.peers.reportedUnreachable, h.peers.reportedReachable = len(unreachable), len(reachable)
	h.peers.reportedEjections = h.relay.EjectionChanges()
	h.rank.Store(int64(h.peers.rank(h.settings.Host.Name, now)))
	h.peers.seq++
	complete := h.peers.seq%completeReportEvery == 1 || h.peers.seq <= completeFirstReports ||
		h.peers.completeFor < h.peers.size()
	if complete {
		h.peers.completeFor = h.peers.size()
	}
	digest, at := h.registry.InstancesDigest()
	r := gossip.Report{
		Host: h.settings.Host.Name, Leaving: h.relay.Draining(), Epoch: h.peers.epoch, Seq: h.peers.seq,
		IsReader: h.reads(), StoreUnreachable: h.reads() && !h.registry.StoreReachable(),
		Capacity:  h.settings.Adapter.Capacity,
		HeldSlots: h.rates.Held(now), Reachable: reachable,
		CatalogRevision: h.catalogToReport(), CatalogAge: now.Sub(h.registry.CatalogReadAt()),
		RecordRevision: h.relay.RecordRevision(),
		Instances:      digest, InstancesAge: now.Sub(at), Sent: now,
		Members: h.registry.MembersDigest(), Ejected: h.relay.Ejections(),
	}
	if complete {
		r.Address, r.DataCentre = h.settings.Peer.Address, h.settings.Host.DataCentre
	}
	for i, d := range unreachable {
		r.Unreachable = append(r.Unreachable, gossip.UnreachableInstance{Instance: i, Silent: d})
	}
	to := mesh.Recipients(h.self(), h.peers.members(now))
	h.gossip.Send(r, h.peers.at(to))
}

// catalogToReport returns the revision of the newest change of the catalog in force. It is no higher than what
// another host that lacks no change can know: the revision of a removal is a guess.
func (h *Host) catalogToReport() uint64 {
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

// forwardReports forwards the reports that are due to the hosts of the data centre.
func (h *Host) forwardReports(now time.Time) {
	waits := now.Sub(h.peers.forwardedAt) < mesh.IntervalsFor(h.peers.size()).Forward && !h.peers.urgent
	if len(h.peers.forwardQueue) == 0 || waits {
		return
	}
	self, others := h.self(), h.peers.members(now)
	rs := h.peers.due(now, mesh.ForwardDelay(self, others))
	if len(rs) == 0 {
		return
	}
	h.gossip.Forward(rs, h.peers.at(mesh.LocalRecipients(self.DataCentre, others)))
	h.peers.forwardedAt = now
}

// handleReports handles other hosts' reports. A gossip relay forwards those that came to it directly.
func (h *Host) handleReports(rs []gossip.Report, forwarded bool) {
	h.loop.Post(func() {
		for _, r := range rs {
			if forwarded {
				h.peers.dropForwarded(r)
			}
			if r.Host == h.settings.Host.Name || h.peers.older(r) {
				continue
			}
			before := 0
			if k := h.peers.known[r.Host]; k != nil {
				before = k.news
			}
			h.handleReport(r)
			if !forwarded && h.forwardsFrom(r.Host) {
				h.peers.queue(r, clock.Now(), h.peers.known[r.Host].news > before)
			}
		}
	})
}

// forwardsFrom reports whether the reports that come directly from a host are to be forwarded.
func (h *Host) forwardsFrom(from fleet.Host) bool {
	return mesh.ForwardsFrom(h.self(), h.peers.known[from].dataCentre, h.peers.members(clock.Now()))
}

// handleReport handles another host's report.
func (h *Host) handleReport(r gossip.Report) {
	now := clock.Now()
	h.add(r.Host, r.Address, r.DataCentre)
	k := h.peers.known[r.Host]
	if k == nil {
		k = &peer{}
		h.peers.known[r.Host] = k
	}
	before := *k
	if a := h.peers.addresses[r.Host]; k.address == "" && a != nil {
		// Its reports may have arrived before one with its address.
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
	k.capacity, k.news = r.Capacity, len(r.Unreachable)+len(r.Reachable)+len(r.Ejected)
	k.reads = r.IsReader
	k.heard, k.leaving, k.storeless, k.epoch, k.seq = now, r.Leaving, r.StoreUnreachable, r.Epoch, r.Seq
	h.peers.heardFrom.Heard(k.dataCentre, now, now.Add(-k.extra))
	if now.Sub(before.heard) > mesh.IntervalsFor(h.peers.size()).HeardWithin || !k.sameLink(&before) {
		h.linksChanged()
	}
	h.noteHolder(r.Host, k.dataCentre, r.HeldSlots)
	is := make([]fleet.Instance, 0, len(r.Unreachable))
	for _, d := range r.Unreachable {
		is = append(is, d.Instance)
	}
	h.relay.AddReachability(r.Host, is, r.Reachable)
	h.relay.AddEjections(r.Host, k.dataCentre, now.Add(-k.extra), r.Ejected)
	if r.RecordRevision > h.relay.RecordRevision() {
		h.peers.newestRecord, h.peers.newestRecordAt = max(h.peers.newestRecord, r.RecordRevision), now
		h.registry.RefreshRecords()
	}
	h.compareCatalog(r)
}

// sameLink reports whether nothing has changed that a link to the host depends on.
func (k *peer) sameLink(before *peer) bool {
	return k.address == before.address && k.dataCentre == before.dataCentre && k.capacity == before.capacity &&
		k.leaving == before.leaving && k.epoch == before.epoch
}

// compareCatalog handles what another host's report tells of the catalog and of the list of instances.
//
// The ages count by how much longer than usual the report took, but not the usual time: some ms directly,
// up to half a second over a door of a large fleet. What they confirm looks that much younger than it is.
func (h *Host) compareCatalog(r gossip.Report) {
	now := clock.Now()
	if at := now.Add(-r.InstancesAge); r.InstancesAge < catalogFresh && h.registry.InstancesConfirmed(r.Instances, at) {
		h.relay.InstancesConfirmed(at)
	}
	if r.Members != 0 && r.Members == h.registry.MembersDigest() {
		h.relay.MembersConfirmed(now.Add(-r.InstancesAge))
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

// queuedReport is a report that waits to be forwarded, with when it came; an urgent one doesn't wait.
type queuedReport struct {
	report gossip.Report
	at     time.Time
	urgent bool
}

// queue keeps a report until it is forwarded, in place of an earlier one of its host.
func (p *peers) queue(r gossip.Report, now time.Time, urgent bool) {
	p.urgent = p.urgent || urgent
	if earlier, ok := p.forwardQueue[r.Host]; ok {
		now, urgent = earlier.at, urgent || earlier.urgent
	}
	if p.forwardQueue == nil {
		p.forwardQueue = map[fleet.Host]queuedReport{}
	}
	p.forwardQueue[r.Host] = queuedReport{r, now, urgent}
}

// dropForwarded drops what another host has passed on.
func (p *peers) dropForwarded(r gossip.Report) {
	if o, ok := p.forwardQueue[r.Host]; ok && o.report.Epoch == r.Epoch && o.report.Seq <= r.Seq {
		delete(p.forwardQueue, r.Host)
	}
}

// due takes out the reports that have waited for long enough.
func (p *peers) due(now time.Time, hold time.Duration) []gossip.Report {
	var out []gossip.Report
	p.urgent = false
	for n, o := range p.forwardQueue {
		if now.Sub(o.at) >= hold || o.urgent {
			out = append(out, o.report)
			delete(p.forwardQueue, n)
		}
	}
	return out
}
