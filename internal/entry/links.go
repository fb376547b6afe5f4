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
	// lookEvery spaces the readings of the list of hosts while some are missing; each host
	// that goes before this one adds lookStep.
	lookEvery = 3 * time.Second
	lookStep  = 200 * time.Millisecond
	// linkTimeout bounds a connection to another host, linkPause the time to the next try.
	linkTimeout = 500 * time.Millisecond
	linkPause   = 300 * time.Millisecond
)

// link is the connection to another host by which this one has statements run there.
type link struct {
	host fleet.Host
	conn *loop.Conn
	// up is set once it stands, tried when it was last tried.
	up    bool
	tried time.Time
	// heard is when anything last came over it.
	heard time.Time
	out   []byte
}

// tendLinks keeps a link to each host that is heard, and tells the relay which can be
// used.
//
// The guard is against a host that has died or stands still: its link resets nothing, and
// every statement sent there would wait for its time limit. A host that is alive reports
// several times a second, so that silence shows. In a large fleet its reports may be held up
// on their way while the host itself answers; then its answers count.
func (h *Host) tendLinks() {
	now := clock.Now()
	fresh := mesh.PaceOf(h.peers.size()).Fresh
	var usable []relay.Peer
	for name, p := range h.peers.known {
		l := h.links[name]
		if l == nil {
			l = &link{host: name}
			h.links[name] = l
		}
		alive := now.Sub(p.heard) < fresh || now.Sub(l.heard) < fresh
		switch {
		case !alive && l.conn != nil:
			h.log.Info("dependency lost", zap.String("dependency", "host "+string(name)),
				zap.Duration("silent", now.Sub(p.heard)))
			l.conn.Close()
			h.dropLink(l)
		case alive && l.conn == nil && p.address != "" && now.Sub(l.tried) > linkPause:
			h.openLink(l, p.address)
		case alive && l.up && !p.leaving:
			usable = append(usable, relay.Peer{Host: name, DataCentre: p.dataCentre, Send: l.send})
		}
	}
	missing := 0
	for name := range h.peers.addresses {
		if p := h.peers.known[name]; p != nil && now.Sub(p.heard) > fresh+missingAfter && now.Sub(p.heard) < missingFor {
			missing++
		}
	}
	h.relay.SetPeers(usable, missing)
	h.relay.SetSecluded(h.secluded(now))
	if missing > 0 && now.Sub(h.peers.looked) > lookEvery+time.Duration(h.rank.Load())*lookStep {
		// One that has died is off the list by now, and its share of rates is free again.
		h.peers.looked = now
		h.registry.ListHosts()
	}
}

// secludedPart is the part of the time after which a host counts as not heard any more that all
// hosts elsewhere have to be silent together.
const secludedPart = 2

// secluded reports whether no host of another data centre has been heard for a moment, by report or
// over its link, although some ought to be.
func (h *Host) secluded(now time.Time) bool {
	silence := mesh.PaceOf(h.peers.size()).Fresh / secludedPart
	far := false
	for name, p := range h.peers.known {
		if p.dataCentre == h.settings.Host.DataCentre || now.Sub(p.heard) > missingFor {
			continue
		}
		if l := h.links[name]; now.Sub(p.heard) < silence || l != nil && now.Sub(l.heard) < silence {
			return false
		}
		far = true
	}
	return far
}

func (l *link) send(f relay.Forward) {
	if l.conn == nil {
		return
	}
	l.out = forward.AppendRequest(l.out[:0], f)
	l.conn.Write(l.out)
}

func (h *Host) dropLink(l *link) {
	l.conn, l.up = nil, false
	h.relay.PeerLost(l.host)
}

func (h *Host) openLink(l *link, address string) {
	l.tried = clock.Now()
	c := &loop.Conn{}
	l.conn = c
	in := forward.Reader{
		Hello:   func(fleet.Host) {},
		Request: func(relay.Forward) {},
		Reply: func(id uint64, a statement.Answer) {
			l.heard = clock.Now()
			h.relay.ForwardAnswered(l.host, id, a)
		},
	}
	c.Opened = func() {
		l.up = true
		c.Write(forward.AppendHello(nil, h.settings.Host.Name))
	}
	c.Data = h.reader("host "+string(l.host), in.Take, func(error) { c.Close() })
	c.Closed = func(error) {
		if l.conn == c {
			h.dropLink(l)
		}
	}
	h.loop.Dial(c, address, linkTimeout)
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
			h.relay.Forwarded(id, f, func(a statement.Answer) {
				out = forward.AppendReply(out[:0], f.Stream, a)
				c.Write(out)
			})
		},
		Reply: func(uint64, statement.Answer) {},
	}
	c.Data = h.reader("another host", in.Take, func(error) { c.Close() })
	c.Closed = func(error) { h.relay.GuestsGone(id) }
}
