package entry

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/fleet"
	"skylarkdeal/internal/clock"
	"skylarkdeal/io/gossip"
	"skylarkdeal/io/registry"
)

const (
	// reportEvery is how often a host tells the others what it has admitted. What they
	// admit meanwhile without knowing has to fit into half of an account's burst.
	reportEvery = 200 * time.Millisecond
	// doubtsEvery is how often doubts are looked at: a new one is told at once.
	doubtsEvery = 50 * time.Millisecond
)

// peers is what the host knows of the others.
type peers struct {
	epoch, seq uint64
	addresses  map[fleet.Host]*net.UDPAddr
	// reported is when the last report was sent, doubted how many doubts it had.
	reported time.Time
	doubted  int
	// catalog is the version in force here.
	catalog uint64
}

// registered takes in the hosts that are registered.
func (h *Host) registered(hs []registry.Host) {
	names := make([]fleet.Host, 0, len(hs))
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
		if at[p.Name] == nil {
			names = append(names, p.Name)
		}
		at[p.Name] = a
	}
	h.peers.addresses = at
	h.relay.SetHosts(1 + len(at))
	h.rates.Members(clock.Now(), names)
}

// report tells the others, every reportEvery and at once when there is a new doubt.
func (h *Host) report() {
	now := clock.Now()
	doubts := h.relay.Doubts()
	if now.Sub(h.peers.reported) < reportEvery && len(doubts) <= h.peers.doubted {
		return
	}
	h.peers.reported, h.peers.doubted = now, len(doubts)
	h.peers.seq++
	r := gossip.Report{
		Host: h.settings.Host.Name, Epoch: h.peers.epoch, Seq: h.peers.seq,
		Usages: h.rates.Usage(now), Catalog: h.peers.catalog, Record: h.relay.Record(),
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
		h.rates.Heard(clock.Now(), r.Host, r.Epoch, r.Seq, r.Usages)
		is := make([]fleet.Instance, 0, len(r.Doubts))
		for _, d := range r.Doubts {
			is = append(is, d.Instance)
		}
		h.relay.Doubted(r.Host, is)
		if r.Record > h.relay.Record() {
			h.registry.Refresh()
		}
		if r.Catalog > h.peers.catalog {
			h.registry.Reload()
		}
	})
}

// gossips tells the others of this host until ctx ends.
func (h *Host) gossips(ctx context.Context) {
	gossip.Every(ctx, doubtsEvery, func() { h.loop.Do(h.report) })
}
