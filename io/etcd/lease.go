package etcd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"connectrpc.com/connect"

	"skylarkdeal/io/etcd/etcdpb"
)

// leaseError adds ErrNoLease to an answer that says so.
func leaseError(err error) error {
	if err != nil && connect.CodeOf(err) == connect.CodeNotFound {
		return fmt.Errorf("%w: %w", ErrNoLease, err)
	}
	return err
}

func (c *client) grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	a, err := call(ctx, c, KindGrant, func(ctx context.Context, e endpoint) (*etcdpb.LeaseGrantResponse, error) {
		a, err := e.lease.LeaseGrant(ctx, connect.NewRequest(&etcdpb.LeaseGrantRequest{TTL: seconds}))
		if err != nil {
			return nil, err
		}
		return a.Msg, nil
	})
	if err != nil {
		return 0, err
	}
	return LeaseID(a.ID), nil
}

// keepAlive sends one message on a stream of its own, so that each renewal is
// bounded in time and meets the endpoint in use.
func (c *client) keepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	a, err := call(ctx, c, KindKeepAlive, func(ctx context.Context, e endpoint) (*etcdpb.LeaseKeepAliveResponse, error) {
		s := e.lease.LeaseKeepAlive(ctx)
		defer func() { _ = s.CloseResponse() }()
		err := s.Send(&etcdpb.LeaseKeepAliveRequest{ID: int64(id)})
		// While the request is open, net/http doesn't see that ctx has ended.
		if err = errors.Join(err, s.CloseRequest()); err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		return s.Receive()
	})
	switch {
	case err != nil:
		return 0, err
	case a.TTL <= 0:
		return 0, ErrNoLease
	}
	return time.Duration(a.TTL) * time.Second, nil
}

func (c *client) revoke(ctx context.Context, id LeaseID) error {
	_, err := call(ctx, c, KindRevoke, func(ctx context.Context, e endpoint) (*etcdpb.LeaseRevokeResponse, error) {
		a, err := e.lease.LeaseRevoke(ctx, connect.NewRequest(&etcdpb.LeaseRevokeRequest{ID: int64(id)}))
		if err != nil {
			return nil, err
		}
		return a.Msg, nil
	})
	return leaseError(err)
}
