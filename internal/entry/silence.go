package entry

import (
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/mesh"
	"skylarkdeal/io/forward"
)

// isolationDivisor is the part of the time after which a host counts as not heard any more that all
// hosts elsewhere have to be silent together, in data centres of few hosts.
const isolationDivisor = 2

// isolated reports whether no host of another data centre has been heard for a moment, by report or
// over its link, although some ought to be.
func (h *Host) isolated(now time.Time, silent fleet.Set[fleet.DataCentre]) bool {
	silence := mesh.IntervalsFor(h.peers.size()).HeardWithin / isolationDivisor
	far := false
	for dc, last := range h.peers.heardFrom.All() {
		if dc == h.settings.Host.DataCentre || now.Sub(last.At) > missingFor {
			continue
		}
		far = true
		if now.Sub(last.At) < silence && !silent.Has(dc) {
			return false
		}
	}
	return far
}

// noNewerPromotionAt returns as of when no host is known to have requested a promotion that this one doesn't
// know, zero if one has.
func (h *Host) noNewerPromotionAt(now time.Time) time.Time {
	p := &h.peers
	if p.newestRecord > h.relay.RecordRevision() && now.Sub(p.newestRecordAt) <= missingFor {
		return time.Time{}
	}
	return p.allHeardAt
}

// findAllHeardAt finds out when hosts of all data centres had last been heard.
func (p *peers) findAllHeardAt(now time.Time, own fleet.DataCentre) {
	if p.addresses == nil {
		return
	}
	withOthers := func(yield func(fleet.DataCentre) bool) {
		for dc, n := range p.sizes {
			if (dc != own || n > 1) && !yield(dc) {
				return
			}
		}
	}
	p.allHeardAt = p.heardFrom.AllHeardAt(now, withOthers, missingFor, mesh.UsualDelay(p.size()))
}

// hasSilentHosts reports whether some data centre isn't heard, so that changes may be known there that
// nobody tells this host of.
func (p *peers) hasSilentHosts(now time.Time) bool {
	return p.addresses != nil && now.Sub(p.allHeardAt) > mesh.IntervalsFor(p.size()).HeardWithin
}

// silentDataCentres returns the other data centres of a large fleet that count as cut off, and asks for a
// sign of life where nothing has come for some time.
func (h *Host) silentDataCentres(now time.Time) fleet.Set[fleet.DataCentre] {
	if !mesh.UsesRelays(h.peers.size()) || now.Sub(h.resumedAt) < pauseGrace {
		return nil
	}
	out := fleet.NewSet[fleet.DataCentre]()
	for dc, last := range h.peers.heardFrom.All() {
		silence := now.Sub(last.At)
		if dc == h.settings.Host.DataCentre || silence > missingFor {
			continue
		}
		if mesh.NeedsProbe(silence) {
			h.sendPings(now, dc, last.At)
		}
		if mesh.DataCentreSilent(h.peers.sizes[dc], silence) {
			out.Add(dc)
		}
	}
	return out
}

// sendPings asks the hosts of a data centre over the links that stand, once since it was last heard.
func (h *Host) sendPings(now time.Time, dc fleet.DataCentre, heard time.Time) {
	for name, l := range h.links.byHost {
		if p := h.peers.known[name]; p == nil || p.dataCentre != dc || !l.up || l.asked.After(heard) {
			continue
		}
		l.asked = now
		l.conn.Write(forward.AppendPing(nil, false))
	}
}
