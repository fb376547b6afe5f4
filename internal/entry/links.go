package entry

import (
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/mesh"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
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
