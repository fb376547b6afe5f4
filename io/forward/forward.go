// Package forward is the protocol by which hosts run statements for each other: frames
// of a length and a message, over one connection for each pair of hosts. It is made for
// a few messages for each statement on small hosts, where a request over HTTP costs as
// much as the statement itself.
package forward

import (
	"encoding/binary"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
	"skylarkdeal/io/forward/forwardpb"
)

// maxFrame bounds a frame: a statement and its values are at most some MiB.
const maxFrame = 8 << 20

// lengthSize is that of the length ahead of each message.
const lengthSize = 4

var (
	errLongFrame = errors.New("a frame is longer than 8 MiB")
	errNoMessage = errors.New("a frame without a message")
)

// Reader decodes what comes over a link.
type Reader struct {
	// Hello is called with the name of the host that opened the link.
	Hello func(h fleet.Host)
	// Request and Reply are called with each message.
	Request func(f relay.Forward)
	Reply   func(stream uint64, a statement.Answer)
	// Follow and StoreUpdate are called with what hosts tell each other of the store.
	Follow      func(f Follow)
	StoreUpdate func(n StoreUpdate)
	// Ping is called with a question for a sign of life, or with its answer.
	Ping func(answer bool)
}

// Take decodes the first message in b and returns the bytes that it took, zero when it
// isn't complete. After an error the link can't be read on.
func (r *Reader) Take(b []byte) (int, error) {
	if len(b) < lengthSize {
		return 0, nil
	}
	n := int(binary.BigEndian.Uint32(b))
	if n > maxFrame {
		return 0, errLongFrame
	}
	if len(b) < lengthSize+n {
		return 0, nil
	}
	var m forwardpb.Frame
	if err := proto.Unmarshal(b[lengthSize:lengthSize+n], &m); err != nil {
		return 0, err
	}
	switch k := m.GetKind().(type) {
	case *forwardpb.Frame_Hello:
		r.Hello(fleet.Host(k.Hello.GetHost()))
	case *forwardpb.Frame_Request:
		r.Request(request(k.Request))
	case *forwardpb.Frame_Reply:
		r.Reply(k.Reply.GetStream(), answer(k.Reply))
	case *forwardpb.Frame_Follow:
		r.Follow(Follow{Sent: fromMoment(k.Follow.GetSent()), Full: k.Follow.GetWhole()})
	case *forwardpb.Frame_News:
		r.StoreUpdate(news(k.News))
	case *forwardpb.Frame_Ping:
		r.Ping(k.Ping.GetAnswer())
	default:
		return 0, errNoMessage
	}
	return lengthSize + n, nil
}

func appendFrame(b []byte, m *forwardpb.Frame) []byte {
	at := len(b)
	b = append(b, make([]byte, lengthSize)...)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		// Only text that isn't UTF-8 fails here; the other end then sees an empty frame and
		// ends the link.
		b = b[:at+lengthSize]
	}
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at-lengthSize))
	return b
}

// AppendHello writes the opening of a link.
func AppendHello(b []byte, h fleet.Host) []byte {
	return appendFrame(b, &forwardpb.Frame{Kind: &forwardpb.Frame_Hello{Hello: &forwardpb.Hello{Host: string(h)}}})
}

// AppendRequest writes a request.
func AppendRequest(b []byte, f relay.Forward) []byte {
	m := &forwardpb.Request{
		Stream: f.Stream, Service: string(f.Service), Instance: string(f.Instance), Account: string(f.Account),
		LeftMs: uint32(max(f.Left, 0).Milliseconds()), WaitMs: uint32(max(f.Wait, 0).Milliseconds()),
		Close: f.Close, Open: f.Open,
	}
	for _, q := range f.Statements {
		m.Statements = append(m.Statements, &forwardpb.Statement{
			Id: string(q.ID), Kind: string(q.Kind), Name: q.Name, Value: q.Value,
			Writes: q.Definition.Writes, Shape: q.Definition.Text, Text: q.Text, After: toPoint(q.After),
			Term: uint64(q.Term),
		})
	}
	return appendFrame(b, &forwardpb.Frame{Kind: &forwardpb.Frame_Request{Request: m}})
}

func request(m *forwardpb.Request) relay.Forward {
	f := relay.Forward{
		Stream: m.GetStream(), Service: fleet.Service(m.GetService()), Instance: fleet.Instance(m.GetInstance()),
		Account: fleet.Account(m.GetAccount()), Left: time.Duration(m.GetLeftMs()) * time.Millisecond,
		Wait: time.Duration(m.GetWaitMs()) * time.Millisecond,
		Open: m.GetOpen(), Close: m.GetClose(),
	}
	for _, q := range m.GetStatements() {
		f.Statements = append(f.Statements, statement.Statement{
			ID: statement.ID(q.GetId()), Kind: statement.Kind(q.GetKind()), Name: q.GetName(), Value: q.GetValue(),
			Definition: statement.Definition{Writes: q.GetWrites(), Text: q.GetShape()}, Text: q.GetText(),
			After: fromPoint(q.GetAfter()), Term: fleet.Term(q.GetTerm()),
		})
	}
	return f
}

// AppendReply writes the answer to the last statement of a request.
func AppendReply(b []byte, stream uint64, a statement.Answer) []byte {
	m := &forwardpb.Reply{
		Stream: stream, Rows: a.Rows, Digest: a.Digest, Code: string(a.Code), Detail: a.Detail,
		RetryAfterMs: uint32(a.RetryAfter.Milliseconds()), State: string(a.State), Point: toPoint(a.Position),
	}
	return appendFrame(b, &forwardpb.Frame{Kind: &forwardpb.Frame_Reply{Reply: m}})
}

func answer(m *forwardpb.Reply) statement.Answer {
	return statement.Answer{
		Rows: m.GetRows(), Digest: m.GetDigest(), Code: statement.Code(m.GetCode()), Detail: m.GetDetail(),
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
		State:      statement.TxState(m.GetState()), Position: fromPoint(m.GetPoint()),
	}
}

func toPoint(o fleet.Option[fleet.LogPosition]) *forwardpb.Point {
	p, ok := o.Get()
	if !ok {
		return nil
	}
	return &forwardpb.Point{Term: uint64(p.Term), Position: uint64(p.Index)}
}

func fromPoint(m *forwardpb.Point) fleet.Option[fleet.LogPosition] {
	if m == nil {
		return fleet.Option[fleet.LogPosition]{}
	}
	return fleet.Some(fleet.LogPosition{Term: fleet.Term(m.GetTerm()), Index: fleet.LogIndex(m.GetPosition())})
}

// AppendPing writes a question for a sign of life, or its answer.
func AppendPing(b []byte, answer bool) []byte {
	return appendFrame(b, &forwardpb.Frame{Kind: &forwardpb.Frame_Ping{Ping: &forwardpb.Ping{Answer: answer}}})
}
