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
	h.chooseRole(now)
	defer h.followStore(now)
	h.forget(now)
	fresh := mesh.IntervalsFor(h.peers.size()).HeardWithin
	silent := h.silentDataCentres(now)
	_, retryPause := h.linkPatience()
	wanted := h.wanted()
	var usable []relay.Peer
	for name, p := range h.peers.known {
		l := h.links[name]
		if l == nil {
			l = &link{host: name}
			h.links[name] = l
		}
		alive := (now.Sub(p.heard) < fresh || now.Sub(l.heard) < fresh) && !silent.Has(p.dataCentre)
		switch {
		case !alive && l.conn != nil:
			h.log.Info("dependency lost", zap.String("dependency", "host "+string(name)),
				zap.Duration("silent", now.Sub(p.heard)))
			l.conn.Close()
			h.dropLink(l)
		case alive && l.conn == nil && p.address != "" && (l.failed || wanted(name)) && now.Sub(l.tried) > retryPause:
			h.openLink(l, p.address)
		case l.up && !wanted(name) && now.Sub(l.used) > idleLinkTimeout:
			l.conn.Close()
			h.dropLink(l)
		}
		if alive && !p.leaving && h.usable(l, now) {
			peer := relay.Peer{Host: name, DataCentre: p.dataCentre, Capacity: p.capacity}
			if l.up {
				peer.Send = l.send
			}
			usable = append(usable, peer)
		}
	}
	missing := 0
	for name := range h.peers.addresses {
		if p := h.peers.known[name]; p != nil && now.Sub(p.heard) > fresh+missingAfter && now.Sub(p.heard) < missingFor {
			missing++
		}
	}
	h.relay.SetPeers(usable, missing)
	h.relay.SetPeersIncomplete(h.peersIncomplete(now, len(usable)))
	h.relay.SetIsolated(h.isolated(now, silent))
	h.peers.findAllHeardAt(now)
	h.relay.NoNewerPromotion(h.noNewerPromotionAt(now))
	pause := listHostsEvery + time.Duration(h.rank.Load())*listHostsStep
	if missing > 0 && h.reads() && now.Sub(h.peers.listedMissingAt) > pause {
		// One that has died is off the list by now, and its share of rates is free again.
		h.peers.listedMissingAt = now
		h.registry.ListHosts()
	}
}

// linkPatience returns how long a link may take to stand, and how long after a try the next one is due.
func (h *Host) linkPatience() (timeout, pause time.Duration) {
	if h.peers.catalog == 0 {
		return firstLinkTimeout, firstLinkPause
	}
	return linkTimeout, linkPause
}

// wanted tells which links are worth keeping.
func (h *Host) wanted() func(n fleet.Host) bool {
	if !mesh.UsesRelays(h.peers.size()) {
		return func(fleet.Host) bool { return true }
	}
	hs := h.relay.Holders()
	if reader := h.following.session.Reader; reader != "" {
		hs.Add(reader)
	}
	if n := h.catalogStatus.decision.Host; n != "" {
		hs.Add(n)
	}
	return hs.Has
}

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
	for name, p := range h.peers.known {
		if p.dataCentre == h.settings.Host.DataCentre || now.Sub(p.heard) > missingFor {
			continue
		}
		far = true
		if now.Sub(h.heardFrom(name)) < silence && !silent.Has(p.dataCentre) {
			return false
		}
	}
	return far
}

// noNewerPromotionAt returns as of when no host is known to have requested a promotion that this one doesn't
// know, zero if one has.
func (h *Host) noNewerPromotionAt(now time.Time) time.Time {
	known := h.relay.RecordRevision()
	for _, p := range h.peers.known {
		if now.Sub(p.heard) <= missingFor && p.record > known {
			return time.Time{}
		}
	}
	return h.peers.allHeardAt
}

// findAllHeardAt finds out when hosts of all data centres had last been heard.
func (p *peers) findAllHeardAt(now time.Time) {
	if p.addresses == nil {
		return
	}
	delay := mesh.UsualDelay(p.size())
	p.allHeardAt = mesh.AllHeardAt(now, maps.Values(p.centres), func(yield func(mesh.LastReport) bool) {
		for _, k := range p.known {
			r := mesh.LastReport{DataCentre: k.dataCentre, SentAt: k.heard.Add(-k.extra - delay)}
			if now.Sub(k.heard) <= missingFor && !yield(r) {
				return
			}
		}
	})
}

// hasSilentHosts reports whether some data centre isn't heard, so that changes may be known there that
// nobody tells this host of.
func (p *peers) hasSilentHosts(now time.Time) bool {
	return p.addresses != nil && now.Sub(p.allHeardAt) > mesh.IntervalsFor(p.size()).HeardWithin
}

// heardFrom returns when anything last came from a host that is known.
func (h *Host) heardFrom(n fleet.Host) time.Time {
	heard := h.peers.known[n].heard
	if l := h.links[n]; l != nil {
		heard = times.Later(heard, l.heard)
	}
	return heard
}

// silentDataCentres returns the other data centres of a large fleet that count as cut off, and asks for a
// sign of life where nothing has come for some time.
func (h *Host) silentDataCentres(now time.Time) fleet.Set[fleet.DataCentre] {
	if !mesh.UsesRelays(h.peers.size()) || now.Sub(h.resumedAt) < pauseGrace {
		return nil
	}
	last, hosts := map[fleet.DataCentre]time.Time{}, map[fleet.DataCentre]int{}
	for name, p := range h.peers.known {
		if p.dataCentre == h.settings.Host.DataCentre || now.Sub(p.heard) > missingFor {
			continue
		}
		hosts[p.dataCentre]++
		last[p.dataCentre] = times.Later(last[p.dataCentre], h.heardFrom(name))
	}
	out := fleet.NewSet[fleet.DataCentre]()
	for dc, at := range last {
		if mesh.NeedsProbe(now.Sub(at)) {
			h.sendPings(now, dc, at)
		}
		if mesh.DataCentreSilent(hosts[dc], now.Sub(at)) {
			out.Add(dc)
		}
	}
	return out
}

// sendPings asks the hosts of a data centre over the links that stand, once since it was last heard.
func (h *Host) sendPings(now time.Time, dc fleet.DataCentre, heard time.Time) {
	for name, l := range h.links {
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
	l.conn, l.up = nil, false
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
			l.heard = clock.Now()
			h.relay.HandleForwardAnswer(l.host, id, a)
		},
		Follow: func(forward.Follow) {},
		StoreUpdate: func(n forward.StoreUpdate) {
			l.heard = clock.Now()
			h.handleUpdate(l.host, n)
		},
		Ping: func(bool) { l.heard = clock.Now() },
	}
	c.Opened = func() {
		l.up, l.failed = true, false
		c.Write(forward.AppendHello(nil, h.settings.Host.Name))
		h.followStore(clock.Now())
	}
	c.Data = h.reader("host "+string(l.host), in.Decode, func(error) { c.Close() })
	c.Closed = func(error) {
		if l.conn == c {
			h.dropLink(l)
		}
	}
	timeout, _ := h.linkPatience()
	h.loop.Dial(c, address, timeout)
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
