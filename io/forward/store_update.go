package forward

import (
	"bytes"
	"compress/gzip"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

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
	// Compressed is set if the follower takes in compressed parts.
	Compressed bool
}

// minCompressed is the size in bytes from which on a part is compressed.
const minCompressed = 4 << 10

// encode returns the entries of a part as they are sent, and whether they are compressed.
//
// Designed for a catalog and a list of instances of a megabyte each, which a follower with a link of 20 Mbit/s would
// receive for a second, with the renewals behind them. They shrink to a seventh.
func encode(es []registry.Entry) ([]byte, error) {
	m := &forwardpb.Entries{Entries: toEntries(es)}
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(b); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decode returns the entries that encode has compressed.
func decode(b []byte) ([]registry.Entry, error) {
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxFrame+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxFrame {
		return nil, errLongFrame
	}
	var m forwardpb.Entries
	if err := proto.Unmarshal(plain, &m); err != nil {
		return nil, err
	}
	return fromEntries(m.GetEntries()), nil
}

func toEntries(es []registry.Entry) []*forwardpb.Entry {
	out := make([]*forwardpb.Entry, 0, len(es))
	for _, e := range es {
		out = append(out, &forwardpb.Entry{
			Key: e.Key, Value: e.Value, Revision: uint64(e.Revision), Deleted: e.Deleted,
		})
	}
	return out
}

func fromEntries(es []*forwardpb.Entry) []registry.Entry {
	var out []registry.Entry
	for _, e := range es {
		out = append(out, registry.Entry{
			Key: e.GetKey(), Value: e.GetValue(), Revision: registry.Revision(e.GetRevision()), Deleted: e.GetDeleted(),
		})
	}
	return out
}

// size returns about how many bytes entries take.
func size(es []registry.Entry) int {
	n := 0
	for _, e := range es {
		n += len(e.Key) + len(e.Value)
	}
	return n
}

// setEntries sets the entries of a part, compressed if they are large and the follower takes that in.
func setEntries(p *forwardpb.Part, c follow.PartCopy[[]registry.Entry], compressed bool) {
	if !compressed || size(c.Body) < minCompressed {
		p.Entries = toEntries(c.Body)
		return
	}
	if c.Encoded != nil && c.Encoded.Bytes != nil {
		p.Compressed = c.Encoded.Bytes
		return
	}
	b, err := encode(c.Body)
	if err != nil {
		// Only the size is lost.
		p.Entries = toEntries(c.Body)
		return
	}
	p.Compressed = b
	if c.Encoded != nil {
		c.Encoded.Bytes = b
	}
}

// Follow is a follower's request for updates.
type Follow struct {
	// Sent is when the request was sent, by the follower's clock.
	Sent time.Time
	// Full asks for all parts, also those that were passed on before.
	Full bool
	// TakesChanges is set if the follower takes in copies with only the changes.
	TakesChanges bool
}

// AppendFollow appends a request for updates.
func AppendFollow(b []byte, f Follow) []byte {
	m := &forwardpb.Follow{Sent: toUnixNano(f.Sent), Whole: f.Full, TakesChanges: f.TakesChanges}
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
			Read: toUnixNano(c.ReadAt), Whole: c.HasBody, ChangesOnly: c.ChangesOnly, Base: uint64(c.Base),
		}
		setEntries(p, c, n.Compressed)
		m.Parts = append(m.Parts, p)
	}
	for _, c := range n.Centres {
		m.Centres = append(m.Centres, string(c))
	}
	return appendFrame(b, &forwardpb.Frame{Kind: &forwardpb.Frame_News{News: m}})
}

func decodeStoreUpdate(m *forwardpb.News) (StoreUpdate, error) {
	n := StoreUpdate{
		RequestSentAt: fromUnixNano(m.GetEchoSent()), RequestReceivedAt: fromUnixNano(m.GetEchoHeard()),
		Renewed: fromUnixNano(m.GetRenewed()), Parts: Parts{},
	}
	for _, p := range m.GetParts() {
		c := follow.PartCopy[[]registry.Entry]{
			Version: follow.Version(p.GetVersion()), CompleteTo: follow.Revision(p.GetCompleteTo()),
			ReadAt: fromUnixNano(p.GetRead()), HasBody: p.GetWhole(),
			ChangesOnly: p.GetChangesOnly(), Base: follow.Version(p.GetBase()),
		}
		c.Body = fromEntries(p.GetEntries())
		if b := p.GetCompressed(); len(b) > 0 {
			var err error
			if c.Body, err = decode(b); err != nil {
				return StoreUpdate{}, err
			}
		}
		n.Parts[follow.Part(p.GetName())] = c
	}
	for _, c := range m.GetCentres() {
		n.Centres = append(n.Centres, fleet.DataCentre(c))
	}
	return n, nil
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
