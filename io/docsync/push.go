package docsync

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"

	"go.uber.org/zap"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/host/hostpb"
)

// The limits of a push.
//
// fanOut is made for the largest data centre, 92 hosts at the target: in two
// steps a push reaches 8 + 64 hosts and in three all, and no host sends a
// document more than 8 times, so that one of 100 KB costs its watcher under a
// megabyte. A push that finds the ring full is dropped: digests repair it in
// seconds, and a queue that grew would hold old news.
const (
	fanOut      = 8
	pushWorkers = 8
	pushRing    = 256
)

// job is one push to be made.
type job struct {
	peer  string
	relay []string
	// centre asks the peer to hand on in its own data centre.
	centre bool
	offers []document.Offer
}

// spread hands news of the store on: to all of this data centre by a tree, and
// to one host of each other data centre, which may be cut from the store.
func (s *Spread) spread(news []document.Offer) {
	s.spreadHere(news)
	others := map[fleet.DataCentre][]string{}
	for _, m := range s.cfg.Members() {
		if m.DataCentre != s.cfg.Self.DataCentre {
			others[m.DataCentre] = append(others[m.DataCentre], m.Peer)
		}
	}
	for _, l := range others {
		s.queue(job{peer: l[rand.IntN(len(l))], centre: true, offers: news})
	}
}

func (s *Spread) spreadHere(news []document.Offer) {
	var l []string
	for _, m := range s.cfg.Members() {
		if m.DataCentre == s.cfg.Self.DataCentre && m.Peer != s.cfg.Self.Peer {
			l = append(l, m.Peer)
		}
	}
	slices.Sort(l)
	s.relay(l, news)
}

// relay sends news to the first hosts of up to fanOut even parts of peers, each
// to hand on to the rest of its part.
func (s *Spread) relay(peers []string, news []document.Offer) {
	for n := range min(fanOut, len(peers)) {
		from, to := n*len(peers)/fanOut, (n+1)*len(peers)/fanOut
		if len(peers) < fanOut {
			from, to = n, n+1
		}
		s.queue(job{peer: peers[from], relay: peers[from+1 : to], offers: news})
	}
}

func (s *Spread) queue(j job) {
	if !s.pushes.TryPut(j) {
		s.metrics.pushes.WithLabelValues("dropped").Inc()
	}
}

// push is the duty of one worker.
func (s *Spread) push(ctx context.Context) {
	s.pushes.Each(ctx, func(j job) { s.pushOne(ctx, j) })
}

// pushOne makes a push. A host that doesn't take it must not cut off the hosts
// behind it: the next of them takes its place.
func (s *Spread) pushOne(ctx context.Context, j job) {
	for {
		err := s.call(ctx, j)
		if err == nil || ctx.Err() != nil {
			return
		}
		s.log.Debug("push failed", zap.String("peer", j.peer), zap.Error(err))
		if len(j.relay) == 0 {
			return
		}
		j.peer, j.relay = j.relay[0], j.relay[1:]
	}
}

func (s *Spread) call(ctx context.Context, j job) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.cfg.Push(ctx, j.peer, &hostpb.PushRequest{
		Hello: s.cfg.Hello, Documents: toWire(j.offers), Members: s.cfg.MembersOut(),
		Relay: j.relay, DataCentre: j.centre,
	})
	outcome := "sent"
	if err != nil {
		outcome = "failed"
	}
	s.metrics.pushes.WithLabelValues(outcome).Inc()
	return err
}

// HandlePush takes a push of another host and hands it on as that asks.
//
// The hosts to relay to are served whether or not the document was known here:
// two trees of one change, from two watchers, part the hosts differently, and a
// host left out by both would wait for a digest. The lists end by themselves.
// The data centre's own tree starts only at what is news, so one starts there
// for each change, besides its own watcher's.
func (s *Spread) HandlePush(r *hostpb.PushRequest) *hostpb.PushResponse {
	s.cfg.MembersIn(r.GetMembers())
	news, current := s.offer(fromWire(r.GetDocuments(), r.GetHello().GetHost()))
	if len(current) > 0 {
		s.relay(r.GetRelay(), current)
	}
	if len(news) > 0 && r.GetDataCentre() {
		s.spreadHere(news)
	}
	return &hostpb.PushResponse{Hello: s.cfg.Hello}
}

func toWire(offers []document.Offer) []*hostpb.Document {
	l := make([]*hostpb.Document, len(offers))
	for n, o := range offers {
		l[n] = &hostpb.Document{Service: string(o.Service), Version: uint64(o.Version), Text: o.Text}
	}
	return l
}

func fromWire(l []*hostpb.Document, host string) []document.Offer {
	offers := make([]document.Offer, len(l))
	for n, d := range l {
		offers[n] = document.Offer{
			Service: fleet.Service(d.GetService()), Version: document.Version(d.GetVersion()),
			Text: d.GetText(), From: document.Source("host " + host),
		}
	}
	slices.SortStableFunc(offers, func(a, b document.Offer) int { return cmp.Compare(a.Version, b.Version) })
	return offers
}
