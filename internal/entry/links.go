package entry

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/mesh"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
	"skylarkdeal/core/times"
	"skylarkdeal/internal/clock"
	"skylarkdeal/io/forward"
	"skylarkdeal/io/loop"
)

const (
	// missingAfter is how long after it stopped to count as heard a host counts as missing,
	// missingFor until when: it may have gone for good.
	missingAfter = 300 * time.Millisecond
	missingFor   = 30 * time.Second
	// listHostsEvery spaces the readings of the list of hosts while some are missing; each host
	// that goes before this one adds listHostsStep.
	listHostsEvery = 3 * time.Second
	listHostsStep  = 200 * time.Millisecond
	// linkTimeout bounds a connection to another host, linkPause the time to the next try.
	linkTimeout = 500 * time.Millisecond
	linkPause   = 300 * time.Millisecond
	// firstLinkTimeout and firstLinkPause are those of a host that has no catalog yet: those it is to
	// follow may start just now, and it can serve nobody before. What is sent to one that hasn't
	// started is lost.
	firstLinkTimeout = 100 * time.Millisecond
	firstLinkPause   = 50 * time.Millisecond
	// linkWait is how long statements wait for a link that is being made, some round trips,
	// before another host is used.
	linkWait = 100 * time.Millisecond
	// idleLinkTimeout closes a link that isn't wanted any more: longer than any statement or transaction
	// may last on it.
	idleLinkTimeout = 10 * time.Second
	// pauseThreshold is the time between two calls of maintainLinks above which this process counts as paused,
	// pauseGrace how long it then takes to read what has arrived meanwhile.
	pauseThreshold = 200 * time.Millisecond
	pauseGrace     = 200 * time.Millisecond
	// linkCheckInterval is the least time between two passes over all other hosts: hundreds, in a large fleet.
	linkCheckInterval = 45 * time.Millisecond
)

// link is the connection to another host by which this one has statements run there.
type link struct {
	host fleet.Host
	conn *loop.Conn
	// up is set once it stands, tried when it was last tried; failed is set from a try that came to
	// nothing until it stands.
	up, failed bool
	tried      time.Time
	// heard is when anything last came over it, used when anything was last sent, asked when a sign
	// of life was last asked for.
	heard, used, asked time.Time
	out                []byte
	// partialSince is since when a frame is arriving, zero if none is, partialAt when some of it last came.
	partialSince, partialAt time.Time
}

const (
	// transferPause is how long nothing of a frame may come for it to be arriving still, maxTransfer how long it may
	// take in all.
	transferPause = 300 * time.Millisecond
	maxTransfer   = 3 * time.Second
)

// receiving reports whether a frame is arriving over the link.
func (l *link) receiving(now time.Time) bool {
	return l != nil && !l.partialSince.IsZero() && now.Sub(l.partialAt) < transferPause &&
		now.Sub(l.partialSince) < maxTransfer
}

// noteFrame records whether a frame is complete: n of the received bytes have been used.
func (l *link) noteFrame(now time.Time, n int) {
	l.partialAt = now
	switch {
	case n > 0:
		l.partialSince = time.Time{}
	case l.partialSince.IsZero():
		l.partialSince = now
	}
}

// receivesUpdate reports whether an update of the reader that is followed is arriving.
func (h *Host) receivesUpdate(now time.Time) bool {
	return h.links.byHost[h.following.session.Reader].receiving(now)
}

// maintainLinks keeps a link to each host that is heard, in a large fleet only to those over which
// instances are used, and tells the relay which can be used.
//
// The guard is against a host that has died or stands still: its link resets nothing, and
// every statement sent there would wait for its time limit. A host that is alive reports
// several times a second, so that silence shows. In a large fleet its reports may be held up
// on their way while the host itself answers; then its answers count.
func (h *Host) maintainLinks() {
	now := clock.Now()
	if now.Sub(h.linksCheckedAt) < linkCheckInterval {
		return
	}
	if now.Sub(h.linksCheckedAt) > pauseThreshold && !h.linksCheckedAt.IsZero() {
		h.resumedAt = now
		h.log.Warn("process stood still", zap.Duration("for", now.Sub(h.linksCheckedAt)))
	}
	h.linksCheckedAt = now
	defer h.followStore(now)
	silent := h.silentDataCentres(now)
	if !mesh.UsesRelays(h.peers.size()) || now.Sub(h.following.chosenAt) >= linkPassInterval {
		h.chooseRole(now)
	}
	h.forget(now)
	if h.linksDue(now, silent) {
		h.links.silent, h.links.wanted = silent, h.wantedHosts()
		h.checkLinks(now)
	}
	h.relay.SetPeersIncomplete(h.peersIncomplete(now, h.links.usable))
	h.relay.SetIsolated(h.isolated(now, silent))
	h.peers.findAllHeardAt(now, h.settings.Host.DataCentre)
	h.relay.NoNewerPromotion(h.noNewerPromotionAt(now))
	pause := listHostsEvery + time.Duration(h.rank.Load())*listHostsStep
	if h.links.missing > 0 && h.reads() && now.Sub(h.peers.listedMissingAt) > pause {
		// One that has died is off the list by now, and its share of rates is free again.
		h.peers.listedMissingAt = now
		h.registry.ListHosts()
	}
}

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

// requestLink opens a link that something waits for, ahead of the next pass over all hosts.
func (h *Host) requestLink(n fleet.Host) {
	p, l := h.peers.known[n], h.links.byHost[n]
	_, pause := h.linkPatience()
	if p == nil || p.address == "" || l == nil || l.conn != nil || clock.Now().Sub(l.tried) <= pause {
		return
	}
	h.openLink(l, p.address)
}

// linkPatience returns how long a link may take to stand, and how long after a try the next one is due.
func (h *Host) linkPatience() (timeout, pause time.Duration) {
	if h.peers.catalog == 0 {
		return firstLinkTimeout, firstLinkPause
	}
	return linkTimeout, linkPause
}

// wantedHosts returns the hosts to which links are worth keeping, nil for all.
func (h *Host) wantedHosts() fleet.Set[fleet.Host] {
	if !mesh.UsesRelays(h.peers.size()) {
		return nil
	}
	hs := h.relay.Holders()
	if reader := h.following.session.Reader; reader != "" {
		hs.Add(reader)
	}
	if n := h.catalogStatus.decision.Host; n != "" {
		hs.Add(n)
	}
	return hs
}

// wantsLink reports whether a link to a host is worth keeping.
func (h *Host) wantsLink(n fleet.Host) bool { return h.links.wanted == nil || h.links.wanted.Has(n) }

// usable reports whether statements may be sent over a link, or may soon.
func (h *Host) usable(l *link, now time.Time) bool {
	switch {
	case l.up || !mesh.UsesRelays(h.peers.size()):
		return l.up
	case l.failed:
		return false
	default:
		return l.conn == nil || now.Sub(l.tried) < linkWait
	}
}

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

func (l *link) send(f relay.Forward) {
	if l.conn == nil {
		return
	}
	l.used = clock.Now()
	l.out = forward.AppendRequest(l.out[:0], f)
	l.conn.Write(l.out)
}

func (h *Host) dropLink(l *link) {
	l.failed = l.failed || !l.up
	l.conn, l.up, l.partialSince = nil, false, time.Time{}
	h.linksChanged()
	h.relay.SetPeerLink(l.host, nil)
	h.relay.PeerLost(l.host)
}

func (h *Host) openLink(l *link, address string) {
	l.tried = clock.Now()
	l.used = l.tried
	c := &loop.Conn{}
	l.conn = c
	in := forward.Reader{
		Hello:   func(fleet.Host) {},
		Request: func(relay.Forward) {},
		Load:    func(id uint64, millis []uint32) { h.relay.HandleForwardLoad(l.host, id, millis) },
		Reply: func(id uint64, a statement.Answer) {
			h.heardOver(l)
			h.relay.HandleForwardAnswer(l.host, id, a)
		},
		Follow: func(forward.Follow) {},
		StoreUpdate: func(n forward.StoreUpdate) {
			h.heardOver(l)
			h.handleUpdate(l.host, n)
		},
		Ping: func(bool) { h.heardOver(l) },
	}
	c.Opened = func() {
		l.up, l.failed = true, false
		h.linksChanged()
		c.Write(forward.AppendHello(nil, h.settings.Host.Name))
		h.relay.SetPeerLink(l.host, l.send)
		h.followStore(clock.Now())
	}
	decode := h.reader("host "+string(l.host), in.Decode, func(error) { c.Close() })
	c.Data = func(b []byte) int {
		n := decode(b)
		l.noteFrame(clock.Now(), n)
		h.heardOver(l)
		return n
	}
	c.Closed = func(error) {
		if l.conn == c {
			h.dropLink(l)
		}
	}
	timeout, _ := h.linkPatience()
	h.loop.Dial(c, address, timeout)
}

// heardOver records that something came over a link.
func (h *Host) heardOver(l *link) {
	l.heard = clock.Now()
	if p := h.peers.known[l.host]; p != nil {
		h.peers.heardFrom.Heard(p.dataCentre, l.heard, time.Time{})
	}
}

// acceptPeer takes the link of a host that has statements run here.
func (h *Host) acceptPeer(c *loop.Conn) {
	var from fleet.Host
	var out []byte
	h.accepted++
	id := h.accepted
	in := forward.Reader{
		Hello: func(n fleet.Host) { from = n },
		Request: func(f relay.Forward) {
			if from == "" {
				return
			}
			h.relay.HandleForward(id, f, func(a statement.Answer) {
				out = forward.AppendReply(out[:0], f.Stream, a, h.relay.Load(f.Service))
				c.Write(out)
			})
		},
		Load:        func(uint64, []uint32) {},
		Reply:       func(uint64, statement.Answer) {},
		Follow:      func(f forward.Follow) { h.handleFollow(id, f, c.Write) },
		StoreUpdate: func(forward.StoreUpdate) {},
		Ping: func(answer bool) {
			if !answer {
				c.Write(forward.AppendPing(nil, true))
			}
		},
	}
	c.Data = h.reader("another host", in.Decode, func(error) { c.Close() })
	c.Closed = func(error) {
		delete(h.following.followers, id)
		h.relay.InboundLinkClosed(id)
	}
}
