package host

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"skylarkdeal/io/host/hostpb"
)

// handler gives a Server the methods that connect's generated code calls.
type handler struct {
	s *Server
}

var errUnimplemented = connect.NewError(connect.CodeUnimplemented, errors.New("this host doesn't answer that call"))

type helloed interface{ GetHello() *hostpb.Hello }

// answer checks the Hello of a call and has f answer it.
func answer[Q any, A any, P interface {
	*Q
	helloed
}](ctx context.Context, s *Server, r *connect.Request[Q], f func(context.Context, *Q) (*A, error),
	greet func(*A, *hostpb.Hello)) (*connect.Response[A], error) {
	if f == nil {
		return nil, errUnimplemented
	}
	if _, err := s.Self.agree(P(r.Msg).GetHello()); err != nil {
		return nil, refuseHello(err)
	}
	a, err := f(ctx, r.Msg)
	if err != nil {
		return nil, err
	}
	greet(a, s.Self.hello())
	return connect.NewResponse(a), nil
}

// Digest implements hostpbconnect.PeerHandler.
func (h handler) Digest(ctx context.Context, r *connect.Request[hostpb.DigestRequest],
) (*connect.Response[hostpb.DigestResponse], error) {
	return answer(ctx, h.s, r, h.s.Digest, func(a *hostpb.DigestResponse, b *hostpb.Hello) { a.Hello = b })
}

// Push implements hostpbconnect.PeerHandler.
func (h handler) Push(ctx context.Context, r *connect.Request[hostpb.PushRequest],
) (*connect.Response[hostpb.PushResponse], error) {
	return answer(ctx, h.s, r, h.s.Push, func(a *hostpb.PushResponse, b *hostpb.Hello) { a.Hello = b })
}

// Grant implements hostpbconnect.PeerHandler.
func (h handler) Grant(ctx context.Context, r *connect.Request[hostpb.GrantRequest],
) (*connect.Response[hostpb.GrantResponse], error) {
	return answer(ctx, h.s, r, h.s.Grant, func(a *hostpb.GrantResponse, b *hostpb.Hello) { a.Hello = b })
}

// View implements hostpbconnect.PeerHandler.
func (h handler) View(ctx context.Context, r *connect.Request[hostpb.ViewRequest],
) (*connect.Response[hostpb.ViewResponse], error) {
	return answer(ctx, h.s, r, h.s.View, func(a *hostpb.ViewResponse, b *hostpb.Hello) { a.Hello = b })
}

// Leave implements hostpbconnect.PeerHandler.
func (h handler) Leave(ctx context.Context, r *connect.Request[hostpb.LeaveRequest],
) (*connect.Response[hostpb.LeaveResponse], error) {
	return answer(ctx, h.s, r, h.s.Leave, func(a *hostpb.LeaveResponse, b *hostpb.Hello) { a.Hello = b })
}

// Forward implements hostpbconnect.PeerHandler.
func (h handler) Forward(ctx context.Context,
	b *connect.BidiStream[hostpb.ForwardRequest, hostpb.ForwardResponse]) error {
	return h.s.forward(ctx, b)
}
