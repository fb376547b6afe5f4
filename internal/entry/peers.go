package entry

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/fleet"
	"skylarkdeal/internal/clock"
	"skylarkdeal/internal/pause"
	"skylarkdeal/io/gossip"
	"skylarkdeal/io/registry"
)

const (
	// reportEvery is how often a host tells the others what it has admitted. What they
	// admit meanwhile without knowing has to fit into half of an account's burst.
	reportEvery = 200 * time.Millisecond
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
	// known are the hosts that were heard.
	known map[fleet.Host]*peer
	// reported is when the last report was sent, doubted how many doubts it had, reached how
	// many instances that others doubt.
	reported         time.Time
	doubted, reached int
	// catalog is the version in force here, told the one that the others know of.
	catalog, told uint64
	// looked is when the hosts were last listed because some are missing.
	looked time.Time
	// behind is since when other hosts have a newer one.
	behind time.Time
}

// peer is another host as it was last heard.
type peer struct {
	address    string
	dataCentre fleet.DataCentre
	heard      time.Time
	leaving    bool
}

// registered takes in the hosts that are registered.
func (h *Host) registered(hs []registry.Host) {
	at := make(map[fleet.Host]*net.UDPAddr, len(hs))
	for _, p := range hs {
		if p.Name == h.settings.Host.Name {
			continue
		}
		a, err := net.ResolveUDPAddr("udp4", p.Address)
		if err != nil {
			h.log.Warn("host without an address", zap.String("host", string(p.Name)), zap.Error(err))
			continue
		}
		at[p.Name] = a
	}
	h.peers.addresses = at
	h.hostsChanged()
}

// hostsChanged tells how many hosts there are, and which.
func (h *Host) hostsChanged() {
	h.relay.SetHosts(1 + len(h.peers.addresses))
	h.rates.Members(clock.Now(), slices.Collect(maps.Keys(h.peers.addresses)))
}

// report tells the others, every reportEvery and at once when there is a new doubt.
func (h *Host) report() {
	now := clock.Now()
	doubts := h.relay.Doubts()
	reached := h.relay.Reached()
	news := len(doubts) > h.peers.doubted || len(reached) > h.peers.reached || h.peers.catalog != h.peers.told
	if now.Sub(h.peers.reported) < reportEvery && !news {
		return
	}
	h.peers.reported, h.peers.told = now, h.peers.catalog
	h.peers.doubted, h.peers.reached = len(doubts), len(reached)
	h.peers.seq++
	digest, at := h.registry.Listing()
	r := gossip.Report{
		Host: h.settings.Host.Name, Address: h.settings.Peer.Address,
		DataCentre: h.settings.Host.DataCentre, Leaving: h.relay.Draining(), Epoch: h.peers.epoch, Seq: h.peers.seq,
		Usages: h.rates.Usage(now), Catalog: h.peers.catalog, Record: h.relay.Record(),
		CatalogAge: now.Sub(h.registry.Confirmed()), Reached: reached,
		Instances: digest, InstancesAge: now.Sub(at),
	}
	for i, d := range doubts {
		r.Doubts = append(r.Doubts, gossip.Doubt{Instance: i, Silent: d})
	}
	to := make([]*net.UDPAddr, 0, len(h.peers.addresses))
	for _, a := range h.peers.addresses {
		to = append(to, a)
	}
	h.gossip.Send(r, to)
}

// heard takes in another host's report.
func (h *Host) heard(r gossip.Report) {
	h.loop.Do(func() {
		h.meet(r)
		h.peers.known[r.Host] = &peer{
			address: r.Address, dataCentre: r.DataCentre, heard: clock.Now(), leaving: r.Leaving,
		}
		h.rates.Heard(clock.Now(), r.Host, r.Epoch, r.Seq, r.Usages)
		is := make([]fleet.Instance, 0, len(r.Doubts))
		for _, d := range r.Doubts {
			is = append(is, d.Instance)
		}
		h.relay.Doubted(r.Host, is, r.Reached)
		if r.Record > h.relay.Record() {
			h.registry.Refresh()
		}
		h.compareCatalog(r)
	})
}

// compareCatalog has the catalog read anew if another host has a newer one, which the
// watch doesn't bring. One that has the same may have read it later; the same goes for
// the list of instances.
//
// The age doesn't count the datagram's way, which is short: none is sent twice, and what
// a cut holds up is lost. A wrong age would only have the catalog read a little later.
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
	if h.peers.addresses == nil || h.peers.addresses[r.Host] != nil || r.Host == h.settings.Host.Name {
		return
	}
	a, err := net.ResolveUDPAddr("udp4", r.Address)
	if err != nil {
		h.log.Warn("host without an address", zap.String("host", string(r.Host)), zap.Error(err))
		return
	}
	h.peers.addresses[r.Host] = a
	h.hostsChanged()
}

// gossips tells the others of this host until ctx ends.
func (h *Host) gossips(ctx context.Context) {
	pause.Every(ctx, doubtsEvery, func() { h.loop.Do(h.report) })
}
