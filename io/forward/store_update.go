package forward

import (
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/follow"
	"skylarkdeal/io/forward/forwardpb"
	"skylarkdeal/io/registry"
)

// Parts are the parts of the store's content that a reader passes on, by name.
type Parts = map[follow.Part]follow.PartCopy[[]registry.Entry]

// StoreUpdate is what a reader forwards to a follower: what it has read from the store, and when. On
// the wire it is the message News, where RequestSentAt and RequestReceivedAt are echo_sent and
// echo_heard. All times but RequestSentAt are of the reader's clock.
type StoreUpdate struct {
	// RequestSentAt is when the follower sent its last request, by the follower's clock.
	// RequestReceivedAt is when the reader received it.
	RequestSentAt, RequestReceivedAt time.Time
	// Renewed is when the reader sent its last successful renewal, zero if its registration has
	// ended since.
	Renewed time.Time
	Parts   Parts
	// Centres are the data centres that have a registered host.
	Centres []fleet.DataCentre
}

// Follow is a follower's request for updates.
type Follow struct {
	// Sent is when the request was sent, by the follower's clock.
	Sent time.Time
	// Full asks for all parts, also those that were passed on before.
	Full bool
}

// AppendFollow appends a request for updates.
func AppendFollow(b []byte, f Follow) []byte {
	m := &forwardpb.Follow{Sent: toUnixNano(f.Sent), Whole: f.Full}
	return appendFrame(b, &forwardpb.Frame{Kind: &forwardpb.Frame_Follow{Follow: m}})
}

// AppendStoreUpdate appends a frame that tells a follower what the reader has read from the store.
func AppendStoreUpdate(b []byte, n StoreUpdate) []byte {
	m := &forwardpb.News{
		EchoSent: toUnixNano(n.RequestSentAt), EchoHeard: toUnixNano(n.RequestReceivedAt), Renewed: toUnixNano(n.Renewed),
	}
	for name, c := range n.Parts {
		p := &forwardpb.Part{
			Name: string(name), Version: uint64(c.Version), CompleteTo: uint64(c.CompleteTo),
			Read: toUnixNano(c.ReadAt), Whole: c.HasBody,
		}
		for _, e := range c.Body {
			p.Entries = append(p.Entries, &forwardpb.Entry{Key: e.Key, Value: e.Value, Revision: uint64(e.Revision)})
		}
		m.Parts = append(m.Parts, p)
	}
	for _, c := range n.Centres {
		m.Centres = append(m.Centres, string(c))
	}
	return appendFrame(b, &forwardpb.Frame{Kind: &forwardpb.Frame_News{News: m}})
}

func decodeStoreUpdate(m *forwardpb.News) StoreUpdate {
	n := StoreUpdate{
		RequestSentAt: fromUnixNano(m.GetEchoSent()), RequestReceivedAt: fromUnixNano(m.GetEchoHeard()),
		Renewed: fromUnixNano(m.GetRenewed()), Parts: Parts{},
	}
	for _, p := range m.GetParts() {
		c := follow.PartCopy[[]registry.Entry]{
			Version: follow.Version(p.GetVersion()), CompleteTo: follow.Revision(p.GetCompleteTo()),
			ReadAt: fromUnixNano(p.GetRead()), HasBody: p.GetWhole(),
		}
		for _, e := range p.GetEntries() {
			c.Body = append(c.Body, registry.Entry{
				Key: e.GetKey(), Value: e.GetValue(), Revision: registry.Revision(e.GetRevision()),
			})
		}
		n.Parts[follow.Part(p.GetName())] = c
	}
	for _, c := range m.GetCentres() {
		n.Centres = append(n.Centres, fleet.DataCentre(c))
	}
	return n
}

func toUnixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromUnixNano(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
