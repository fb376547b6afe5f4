// Package forward implements the protocol by which hosts run statements for each other: frames of a
// length and a message, over one link for each pair of hosts. It is designed for a few messages for
// each statement on small hosts, where a request over HTTP costs as much as the statement itself.
package forward

import (
	"encoding/binary"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"skylarkdeal/core/backpressure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
	"skylarkdeal/io/forward/forwardpb"
)

// maxFrame bounds the length of a frame in bytes: a statement and its values take at most a few
// MiB.
const maxFrame = 8 << 20

// lengthPrefixSize is the size in bytes of the length before each message.
const lengthPrefixSize = 4

var (
	errLongFrame = errors.New("a frame is longer than 8 MiB")
	errNoMessage = errors.New("a frame without a message")
)

// Reader decodes the frames received over a link. A callback has to be set if its frames may
// arrive.
type Reader struct {
	// Hello is called with the name of the host that opened the link.
	Hello func(h fleet.Host)
	// Request and Reply are called with each request and each answer. Before Reply, Load is called with the
	// expected waits at the sender's queue by priority, in milliseconds.
	Request func(f relay.Forward)
	Load    func(stream uint64, millis []uint32)
	Reply   func(stream uint64, a statement.Answer)
	// Follow is called with a follower's request for updates of the store, StoreUpdate with a
	// reader's update.
	Follow      func(f Follow)
	StoreUpdate func(n StoreUpdate)
	// Ping is called with a liveness probe, or with the answer to one.
	Ping func(answer bool)
}

// Decode decodes the first frame in b and returns its length in bytes, zero if it isn't complete.
// After an error the link can't be used any more.
func (r *Reader) Decode(b []byte) (int, error) {
	if len(b) < lengthPrefixSize {
		return 0, nil
	}
	n := int(binary.BigEndian.Uint32(b))
	if n > maxFrame {
		return 0, errLongFrame
	}
	if len(b) < lengthPrefixSize+n {
		return 0, nil
	}
	var m forwardpb.Frame
	if err := proto.Unmarshal(b[lengthPrefixSize:lengthPrefixSize+n], &m); err != nil {
		return 0, err
	}
	switch k := m.GetKind().(type) {
	case *forwardpb.Frame_Hello:
		r.Hello(fleet.Host(k.Hello.GetHost()))
	case *forwardpb.Frame_Request:
		r.Request(decodeRequest(k.Request))
	case *forwardpb.Frame_Reply:
		r.Load(k.Reply.GetStream(), k.Reply.GetLoad().GetWaitMs())
		r.Reply(k.Reply.GetStream(), decodeAnswer(k.Reply))
	case *forwardpb.Frame_Follow:
		r.Follow(Follow{
			Sent: fromUnixNano(k.Follow.GetSent()), Full: k.Follow.GetWhole(),
			TakesChanges: k.Follow.GetTakesChanges(),
		})
	case *forwardpb.Frame_News:
		u, err := decodeStoreUpdate(k.News)
		if err != nil {
			return 0, err
		}
		r.StoreUpdate(u)
	case *forwardpb.Frame_Ping:
		r.Ping(k.Ping.GetAnswer())
	default:
		return 0, errNoMessage
	}
	return lengthPrefixSize + n, nil
}

func appendFrame(b []byte, m *forwardpb.Frame) []byte {
	at := len(b)
	b = append(b, make([]byte, lengthPrefixSize)...)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		// Marshalling fails only for names of the fleet or the catalog that aren't UTF-8: what callers and instances
		// send goes as bytes. The other host then receives an empty frame and closes the link.
		b = b[:at+lengthPrefixSize]
	}
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at-lengthPrefixSize))
	return b
}

// AppendHello appends the frame that opens a link.
func AppendHello(b []byte, h fleet.Host) []byte {
	return appendFrame(b, &forwardpb.Frame{Kind: &forwardpb.Frame_Hello{Hello: &forwardpb.Hello{Host: string(h)}}})
}

// AppendRequest appends a request. Its durations are rounded down to milliseconds, and negative
// ones become zero.
func AppendRequest(b []byte, f relay.Forward) []byte {
	m := &forwardpb.Request{
		Stream: f.Stream, Service: string(f.Service), Instance: string(f.Instance), Account: string(f.Account),
		LeftMs: uint32(max(f.Timeout, 0).Milliseconds()), WaitMs: uint32(max(f.QueueWait, 0).Milliseconds()),
		Close: f.Close, Open: f.Open, Priority: proto.Uint32(uint32(max(f.Priority, 0))),
	}
	for _, q := range f.Statements {
		m.Statements = append(m.Statements, &forwardpb.Statement{
			Id: []byte(q.ID), Kind: string(q.Kind), Name: []byte(q.Name), Value: []byte(q.Value),
			Writes: q.Definition.Writes, Shape: []byte(q.Definition.Text), Text: []byte(q.Text),
			After: encodePosition(q.After),
			Term:  uint64(q.Term),
		})
	}
	return appendFrame(b, &forwardpb.Frame{Kind: &forwardpb.Frame_Request{Request: m}})
}

func decodeRequest(m *forwardpb.Request) relay.Forward {
	f := relay.Forward{
		Stream: m.GetStream(), Service: fleet.Service(m.GetService()), Instance: fleet.Instance(m.GetInstance()),
		Account: fleet.Account(m.GetAccount()), Timeout: time.Duration(m.GetLeftMs()) * time.Millisecond,
		QueueWait: time.Duration(m.GetWaitMs()) * time.Millisecond,
		Open:      m.GetOpen(), Close: m.GetClose(), Priority: fleet.DefaultPriority,
	}
	if m.Priority != nil {
		// The relay checks the range, and logs what is out of it.
		f.Priority = fleet.Priority(m.GetPriority())
	}
	for _, q := range m.GetStatements() {
		f.Statements = append(f.Statements, statement.Statement{
			ID: statement.ID(q.GetId()), Kind: statement.Kind(q.GetKind()), Name: string(q.GetName()),
			Value:      string(q.GetValue()),
			Definition: statement.Definition{Writes: q.GetWrites(), Text: string(q.GetShape())}, Text: string(q.GetText()),
			After: decodePosition(q.GetAfter()), Term: fleet.Term(q.GetTerm()),
		})
	}
	return f
}

// AppendReply appends the answer to the last statement of a request, with the load of the service's queue
// unless that is zero.
func AppendReply(b []byte, stream uint64, a statement.Answer, l backpressure.Load) []byte {
	m := &forwardpb.Reply{
		Stream: stream, Digest: []byte(a.Digest), Code: string(a.Code), Detail: []byte(a.Detail),
		RetryAfterMs: uint32(a.RetryAfter.Milliseconds()), State: string(a.State), Point: encodePosition(a.Position),
	}
	for _, r := range a.Rows {
		m.Rows = append(m.Rows, []byte(r))
	}
	if !l.IsZero() {
		m.Load = &forwardpb.Load{WaitMs: l.AppendMillis(nil)}
	}
	return appendFrame(b, &forwardpb.Frame{Kind: &forwardpb.Frame_Reply{Reply: m}})
}

func decodeAnswer(m *forwardpb.Reply) statement.Answer {
	a := statement.Answer{
		Digest: string(m.GetDigest()), Code: statement.Code(m.GetCode()), Detail: string(m.GetDetail()),
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
		State:      statement.TxState(m.GetState()), Position: decodePosition(m.GetPoint()),
	}
	for _, r := range m.GetRows() {
		a.Rows = append(a.Rows, string(r))
	}
	return a
}

func encodePosition(o fleet.Option[fleet.LogPosition]) *forwardpb.Point {
	p, ok := o.Get()
	if !ok {
		return nil
	}
	return &forwardpb.Point{Term: uint64(p.Term), Position: uint64(p.Index)}
}

func decodePosition(m *forwardpb.Point) fleet.Option[fleet.LogPosition] {
	if m == nil {
		return fleet.Option[fleet.LogPosition]{}
	}
	return fleet.Some(fleet.LogPosition{Term: fleet.Term(m.GetTerm()), Index: fleet.LogIndex(m.GetPosition())})
}

// AppendPing appends a liveness probe, or the answer to one.
func AppendPing(b []byte, answer bool) []byte {
	return appendFrame(b, &forwardpb.Frame{Kind: &forwardpb.Frame_Ping{Ping: &forwardpb.Ping{Answer: answer}}})
}
