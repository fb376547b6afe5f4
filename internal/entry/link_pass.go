package entry

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/mesh"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/times"
)

// links are the connections to the other hosts, and what the last pass over all of them has found.
type links struct {
	byHost map[fleet.Host]*link
	// silent are the data centres that count as cut off, wanted the hosts to which links are kept.
	silent fleet.Set[fleet.DataCentre]
	wanted fleet.Set[fleet.Host]
	// usable counts the hosts over which statements may be sent, missing those that have stopped to report.
	usable, missing int
	// passedAt is when that pass was, dueAt when the next one is due: something that the last one has found may
	// change then.
	passedAt, dueAt time.Time
}

// linkPassInterval is the least time between two passes over all hosts of a large fleet: part of the time in which the
// loss of a host is noticed.
const linkPassInterval = 150 * time.Millisecond

// linksDue reports whether a pass over all hosts is due. In a small fleet it always is.
//
// Designed for a fleet of hundreds of hosts, some of which start or stop at any time: a pass over all hosts at each
// change took more of a small host's processor than its callers. A link that something waits for is opened ahead of
// the next pass.
func (h *Host) linksDue(now time.Time, silent fleet.Set[fleet.DataCentre]) bool {
	if !mesh.UsesRelays(h.peers.size()) || !maps.Equal(silent, h.links.silent) {
		return true
	}
	return now.Sub(h.links.passedAt) >= linkPassInterval && !now.Before(h.links.dueAt)
}

// linksChanged has the next check pass over all hosts.
func (h *Host) linksChanged() { h.links.dueAt = time.Time{} }

// due has the next pass be no later than at a time, if that is still to come.
func (l *links) due(now, at time.Time) {
	if at.After(now) && at.Before(l.dueAt) {
		l.dueAt = at
	}
}

// maxLinkPause is the longest time between two passes over all hosts.
const maxLinkPause = time.Second

// checkLinks opens and closes the links that are to be, and tells the relay which hosts can be used.
func (h *Host) checkLinks(now time.Time) {
	h.links.passedAt, h.links.dueAt = now, now.Add(maxLinkPause)
	usable := make([]relay.Peer, 0, len(h.peers.known))
	for name, p := range h.peers.known {
		l := h.links.byHost[name]
		if l == nil {
			l = &link{host: name}
			h.links.byHost[name] = l
		}
		alive := h.checkLink(now, l, p)
		if !alive || p.leaving || !h.usable(l, now) {
			continue
		}
		peer := relay.Peer{Host: name, DataCentre: p.dataCentre, Capacity: p.capacity}
		if l.up {
			peer.Send = l.send
		}
		usable = append(usable, peer)
	}
	h.links.usable, h.links.missing = len(usable), h.countMissing(now)
	h.relay.SetPeers(usable, h.links.missing)
}

// checkLink opens or closes the link to a host, and reports whether the host is alive.
func (h *Host) checkLink(now time.Time, l *link, p *peer) (alive bool) {
	_, retryPause := h.linkPatience()
	heard := times.Later(p.heard, l.heard)
	expires := heard.Add(mesh.IntervalsFor(h.peers.size()).HeardWithin)
	alive = now.Before(expires) && !h.links.silent.Has(p.dataCentre)
	wanted := h.wantsLink(l.host)
	switch {
	case !alive && l.conn != nil:
		h.log.Info("dependency lost", zap.String("dependency", "host "+string(l.host)),
			zap.Duration("silent", now.Sub(p.heard)))
		l.conn.Close()
		h.dropLink(l)
	case alive && l.conn == nil && p.address != "" && (l.failed || wanted) && now.Sub(l.tried) > retryPause:
		h.openLink(l, p.address)
	case l.up && !wanted && now.Sub(l.used) > idleLinkTimeout:
		l.conn.Close()
		h.dropLink(l)
	}
	h.links.due(now, expires)
	if !l.up {
		h.links.due(now, l.tried.Add(linkWait))
		h.links.due(now, l.tried.Add(retryPause))
	}
	return alive
}

// countMissing counts the hosts that have stopped to report and may return.
func (h *Host) countMissing(now time.Time) int {
	missing, after := 0, mesh.IntervalsFor(h.peers.size()).HeardWithin+missingAfter
	for name := range h.peers.addresses {
		p := h.peers.known[name]
		if p == nil {
			continue
		}
		if silence := now.Sub(p.heard); silence > after && silence < missingFor {
			missing++
		}
		h.links.due(now, p.heard.Add(after))
		h.links.due(now, p.heard.Add(missingFor))
	}
	return missing
}
