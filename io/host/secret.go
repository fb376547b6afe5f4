package host

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net/http"

	"connectrpc.com/connect"
)

// secretHeader carries the fleet's shared secret.
const secretHeader = "Skylarkdeal-Secret" //nolint:gosec // the name of a header

// errSecret says as little as it can to a peer that shows a wrong secret.
var errSecret = connect.NewError(connect.CodeUnauthenticated, errors.New("wrong or missing secret"))

// secret is an interceptor that shows the shared secret on calls that go out and
// checks it on those that come in. An empty secret checks nothing.
type secret string

// check compares digests, so that neither the contents nor the length of the
// secret shows in the time that it takes.
func (s secret) check(h http.Header) error {
	if s == "" {
		return nil
	}
	want, got := sha256.Sum256([]byte(s)), sha256.Sum256([]byte(h.Get(secretHeader)))
	if subtle.ConstantTimeCompare(want[:], got[:]) != 1 {
		return errSecret
	}
	return nil
}

func (s secret) show(h http.Header) {
	if s != "" {
		h.Set(secretHeader, string(s))
	}
}

// WrapUnary implements connect.Interceptor.
func (s secret) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		if r.Spec().IsClient {
			s.show(r.Header())
			return next(ctx, r)
		}
		if err := s.check(r.Header()); err != nil {
			return nil, err
		}
		return next(ctx, r)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (s secret) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, p connect.Spec) connect.StreamingClientConn {
		c := next(ctx, p)
		s.show(c.RequestHeader())
		return c
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (s secret) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, c connect.StreamingHandlerConn) error {
		if err := s.check(c.RequestHeader()); err != nil {
			return err
		}
		return next(ctx, c)
	}
}
