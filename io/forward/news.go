package forward

import (
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/follow"
	"skylarkdeal/io/forward/forwardpb"
	"skylarkdeal/io/registry"
)

// Parts are parts of the store's content, as hosts pass them on.
type Parts = map[follow.Part]follow.PartCopy[[]registry.Entry]

// StoreUpdate is what a host that reads the store passes on. All moments but EchoSent are of its clock.
type StoreUpdate struct {
	// EchoSent is when the follower sent its last question, EchoHeard when that was heard.
	EchoSent, EchoHeard time.Time
	// Renewed is when the last renewal of the reader's registration was sent that has succeeded,
	// zero if it has ended since.
	Renewed time.Time
	Parts   Parts
	// Centres are the data centres that have a registered host.
	Centres []fleet.DataCentre
}

// Follow is a follower's question for news.
type Follow struct {
	// Sent is when it was sent, by the follower's clock.
	Sent time.Time
	// Full asks for everything, whatever was passed on before.
	Full bool
}

// AppendFollow writes the question for news.
func AppendFollow(b []byte, f Follow) []byte {
	m := &forwardpb.Follow{Sent: toMoment(f.Sent), Whole: f.Full}
	return appendFrame(b, &forwardpb.Frame{Kind: &forwardpb.Frame_Follow{Follow: m}})
}

// AppendStoreUpdate writes news.
func AppendStoreUpdate(b []byte, n StoreUpdate) []byte {
	m := &forwardpb.News{
		EchoSent: toMoment(n.EchoSent), EchoHeard: toMoment(n.EchoHeard), Renewed: toMoment(n.Renewed),
	}
	for name, c := range n.Parts {
		p := &forwardpb.Part{Name: string(name), Version: uint64(c.Version), Read: toMoment(c.ReadAt), Whole: c.HasBody}
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

func news(m *forwardpb.News) StoreUpdate {
	n := StoreUpdate{
		EchoSent: fromMoment(m.GetEchoSent()), EchoHeard: fromMoment(m.GetEchoHeard()),
		Renewed: fromMoment(m.GetRenewed()), Parts: Parts{},
	}
	for _, p := range m.GetParts() {
		c := follow.PartCopy[[]registry.Entry]{
			Version: follow.Version(p.GetVersion()), ReadAt: fromMoment(p.GetRead()), HasBody: p.GetWhole(),
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

func toMoment(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromMoment(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
