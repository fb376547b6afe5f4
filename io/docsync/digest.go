package docsync

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/host/hostpb"
)

// The limits of a digest.
const (
	// answerSize bounds the texts of one message, so that a new host doesn't make
	// a peer build one of hundreds of megabytes; it asks again for the rest.
	answerSize = 1 << 20
	// rounds bounds how often a host asks one peer in a row.
	rounds = 1000
	// startTimeout bounds how long unreachable peers keep a new host from the
	// store.
	startTimeout = 3 * time.Second
)

// askPeers asks some peers for all they have before the store is asked, so that
// restarts cost the store nothing and a host that can't reach it has documents.
//
// The host is ready only when it has asked them all. One of them may have been
// paused or cut off, or have just started itself; a key that was revoked would
// open the new host until a digest repairs that.
func (s *Spread) askPeers(ctx context.Context) {
	var l []string
	for _, m := range s.cfg.Members() {
		l = append(l, m.Peer)
	}
	l = append(l, s.cfg.Seeds...)
	rand.Shuffle(len(l), func(a, b int) { l[a], l[b] = l[b], l[a] })
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	asked := 0
	for _, p := range l {
		if p == s.cfg.Self.Peer {
			continue
		}
		if s.compareWith(ctx, p) != nil {
			continue
		}
		if asked++; asked == s.cfg.AskAtStart {
			break
		}
	}
	if asked > 0 {
		s.ready.Store(true)
	}
}

// compare asks a random peer now and then.
func (s *Spread) compare(ctx context.Context) {
	for s.sleep(ctx, s.cfg.DigestEvery) {
		if p := s.pick(); p != "" {
			s.ready.CompareAndSwap(false, s.compareWith(ctx, p) == nil)
		}
	}
}

// pick returns a random peer, mostly of this data centre. The rest go to other
// data centres, so that one cut off from the store learns of changes there.
func (s *Spread) pick() string {
	var here, there []string
	for _, m := range s.cfg.Members() {
		switch {
		case m.Peer == s.cfg.Self.Peer:
		case m.DataCentre == s.cfg.Self.DataCentre:
			here = append(here, m.Peer)
		default:
			there = append(there, m.Peer)
		}
	}
	if len(here) == 0 && len(there) == 0 {
		here = s.cfg.Seeds
	}
	if len(here) == 0 || len(there) > 0 && rand.Float64() < otherCentres {
		here = there
	}
	if len(here) == 0 {
		return ""
	}
	return here[rand.IntN(len(here))]
}

// compareWith takes from a peer what it has more, hands over what it lacks, and
// takes over its confirmation once it has nothing more.
func (s *Spread) compareWith(ctx context.Context, peer string) error {
	full := false
	for range rounds {
		sent := s.cfg.Now()
		a, err := s.askDigest(ctx, peer, full)
		if err != nil {
			s.metrics.digests.WithLabelValues("failed").Inc()
			return err
		}
		s.cfg.MembersIn(a.GetMembers())
		news, _ := s.offer(fromWire(a.GetDocuments(), a.GetHello().GetHost()))
		if len(news) > 0 {
			continue
		}
		if a.GetSum() != s.currentSum() && !full {
			full = true
			continue
		}
		s.settle(ctx, peer, a, sent, full)
		return nil
	}
	return nil
}

// settle ends a comparison: the peer has nothing that is newer.
func (s *Spread) settle(ctx context.Context, peer string, a *hostpb.DigestResponse, sent time.Time, full bool) {
	outcome := "same"
	if full {
		outcome = "differed"
	}
	s.metrics.digests.WithLabelValues(outcome).Inc()
	if a.ConfirmedAgeUs != nil {
		// Counted from when the question was sent: the answer may have been
		// long on its way, or this host paused since.
		s.confirm(sent.Add(-time.Duration(a.GetConfirmedAgeUs()) * time.Microsecond))
	}
	if len(a.GetWanted()) > 0 {
		s.give(ctx, peer, a.GetWanted())
	}
}

func (s *Spread) askDigest(ctx context.Context, peer string, full bool) (*hostpb.DigestResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := &hostpb.DigestRequest{
		Hello: s.cfg.Hello, Members: s.cfg.MembersOut(), Sum: s.currentSum(), Full: full,
	}
	if full {
		r.Documents = s.known()
	}
	a, err := s.cfg.Digest(ctx, peer, r)
	if err != nil {
		s.log.Debug("digest failed", zap.String("peer", peer), zap.Error(err))
	}
	return a, err
}

// give hands over what a peer has asked for.
func (s *Spread) give(ctx context.Context, peer string, wanted []string) {
	l := make([]fleet.Service, len(wanted))
	for n, w := range wanted {
		l[n] = fleet.Service(w)
	}
	s.mu.Lock()
	offers := s.table.Offers(l)
	s.mu.Unlock()
	for len(offers) > 0 {
		n := fit(offers)
		if err := s.call(ctx, job{peer: peer, offers: offers[:n]}); err != nil {
			return
		}
		offers = offers[n:]
	}
}

// fit returns how many of the offers go into one message, at least one.
func fit(offers []document.Offer) int {
	size := 0
	for n, o := range offers {
		if size += len(o.Text); size > answerSize && n > 0 {
			return n
		}
	}
	return len(offers)
}

func (s *Spread) currentSum() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sum
}

func (s *Spread) known() []*hostpb.DocumentVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []*hostpb.DocumentVersion
	for n, k := range s.table.Known() {
		l = append(l, &hostpb.DocumentVersion{Service: string(n), Version: uint64(k.Version), Seen: uint64(k.Seen)})
	}
	return l
}

// HandleDigest answers the question of another host.
func (s *Spread) HandleDigest(r *hostpb.DigestRequest) *hostpb.DigestResponse {
	s.cfg.MembersIn(r.GetMembers())
	a := &hostpb.DigestResponse{Hello: s.cfg.Hello, Members: s.cfg.MembersOut()}
	s.mu.Lock()
	defer s.mu.Unlock()
	a.Sum = s.sum
	if c := s.table.ConfirmedAt(); !c.IsZero() {
		age := uint64(max(0, s.cfg.Now().Sub(c).Microseconds()))
		a.ConfirmedAgeUs = &age
	}
	if !r.GetFull() {
		return a
	}
	other := map[fleet.Service]document.KnownVersions{}
	for _, d := range r.GetDocuments() {
		v := document.Version(d.GetVersion())
		other[fleet.Service(d.GetService())] = document.KnownVersions{Version: v, Seen: max(v, document.Version(d.GetSeen()))}
	}
	offers, wanted := s.table.Missing(other)
	a.Documents = toWire(offers[:fit(offers)])
	for _, w := range wanted {
		a.Wanted = append(a.Wanted, string(w))
	}
	return a
}
