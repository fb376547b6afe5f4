package etcd

import (
	"context"
	"errors"
	"fmt"
	"io"

	"connectrpc.com/connect"

	"skylarkdeal/core/failure"
	"skylarkdeal/io/etcd/etcdpb"
)

func (c *client) watch(ctx context.Context, prefix string, after Revision, see func(Batch)) error {
	e, err := c.endpoint()
	if err != nil {
		return failure.At(err, failure.Step(KindWatch), "store")
	}
	peer := failure.Peer("store " + e.address)
	if err := c.gate.enter(ctx); err != nil {
		c.counts.held(KindWatch)
		return failure.At(err, failure.Step(KindWatch), peer)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.counts.made(KindWatch)
	err = c.follow(ctx, e, prefix, after, see)
	if ctx.Err() == nil {
		c.settle(e, KindWatch, err)
	}
	return failure.At(err, failure.Step(KindWatch), peer)
}

func (c *client) follow(ctx context.Context, e endpoint, prefix string, after Revision, see func(Batch)) error {
	s := e.watch.Watch(ctx)
	// While the request is open, net/http waits for more of it and doesn't see
	// that ctx has ended; a receive would wait for ever.
	context.AfterFunc(ctx, func() { _ = s.CloseRequest() })
	err := s.Send(&etcdpb.WatchRequest{RequestUnion: &etcdpb.WatchRequest_CreateRequest{
		CreateRequest: &etcdpb.WatchCreateRequest{
			Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: int64(after) + 1,
		},
	}})
	for err == nil {
		var a *etcdpb.WatchResponse
		if a, err = s.Receive(); err != nil {
			break
		}
		if a.CompactRevision > 0 {
			return fmt.Errorf("%w up to revision %d", ErrCompacted, a.CompactRevision)
		}
		if a.Canceled {
			return unexpected("that the watch is cancelled: " + a.CancelReason)
		}
		if a.Created {
			c.gate.succeeded()
		}
		see(batch(a))
	}
	if errors.Is(err, io.EOF) {
		return connect.NewError(connect.CodeUnavailable, io.ErrUnexpectedEOF)
	}
	return err
}

func batch(a *etcdpb.WatchResponse) Batch {
	b := Batch{}
	if !a.Created {
		b.At = Revision(a.GetHeader().GetRevision())
	}
	for _, v := range a.Events {
		b.Changes = append(b.Changes, Change{Entry: entry(v.Kv), Deleted: v.Type == etcdpb.Event_DELETE})
	}
	return b
}
