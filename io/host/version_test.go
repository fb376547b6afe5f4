package host_test

import (
	"net/http"
	"testing"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protowire"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/host"
	"skylarkdeal/io/host/hostpb"
	"skylarkdeal/io/host/hostpb/hostpbconnect"
)

// later returns a field that only a later version knows.
func later() []byte {
	return protowire.AppendString(protowire.AppendTag(nil, 99, protowire.BytesType), "later")
}

// stranger returns a client that is not a host.Peers.
func stranger(c *qt.C, h *holder) hostpbconnect.PeerClient {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	c.Cleanup(transport.CloseIdleConnections)
	return hostpbconnect.NewPeerClient(&http.Client{Transport: transport}, "http://"+h.address)
}

func TestLaterVersionIsUnderstood(t *testing.T) {
	// During a rolling restart hosts of two versions serve together: a frame or
	// field that one of them doesn't know must not end the stream they share.
	c := qt.New(t)
	r, runs, _, _ := recorder()
	h := serve(t, &host.Server{Runner: r})
	s := stranger(c, h).Forward(t.Context())

	hello := &hostpb.Hello{Version: host.Version + 7, Host: "entry", Epoch: 7}
	hello.ProtoReflect().SetUnknown(later())
	c.Assert(s.Send(&hostpb.ForwardRequest{Kind: &hostpb.ForwardRequest_Hello{Hello: hello}}), qt.IsNil)
	m, err := s.Receive()
	c.Assert(err, qt.IsNil)
	c.Check(m.GetHello().GetVersion(), qt.Equals, host.Version)

	unknown := &hostpb.ForwardRequest{}
	unknown.ProtoReflect().SetUnknown(later())
	c.Assert(s.Send(unknown), qt.IsNil)
	c.Assert(s.Send(&hostpb.ForwardRequest{Kind: &hostpb.ForwardRequest_Exchange{
		Exchange: &hostpb.Exchange{Seq: 1, Service: "orders"}}}), qt.IsNil)
	got := await(c, "exchange", runs)
	c.Check(got.q.Priority, qt.Equals, fleet.DefaultPriority, qt.Commentf("an earlier build states none"))
	got.reply.Done(exchange.Result{Outcome: exchange.OutcomeDone})
	m, err = s.Receive()
	c.Assert(err, qt.IsNil)
	c.Check(m.GetDone().GetOutcome(), qt.Equals, string(exchange.OutcomeDone))
	c.Assert(s.CloseRequest(), qt.IsNil)
	c.Assert(s.CloseResponse(), qt.IsNil)
}

func TestVersionBelowTheLowestIsRefused(t *testing.T) {
	c := qt.New(t)
	h := serve(t, &host.Server{})
	s := stranger(c, h).Forward(t.Context())
	c.Assert(s.Send(&hostpb.ForwardRequest{Kind: &hostpb.ForwardRequest_Hello{Hello: &hostpb.Hello{}}}), qt.IsNil)
	_, err := s.Receive()
	c.Check(connect.CodeOf(err), qt.Equals, connect.CodeFailedPrecondition)
	_ = s.CloseRequest()
	_ = s.CloseResponse()
}
