package store

import (
	"context"
	"errors"
	"io"
	"time"

	"connectrpc.com/connect"

	"skylarkdeal/io/etcd/etcdpb"
)

var errNested = connect.NewError(connect.CodeUnimplemented, errors.New("transactions within transactions"))

// lease is one lease and the keys that end with it.
type lease struct {
	ttl   time.Duration
	until time.Time
	keys  map[string]bool
}

// leaseService serves the Lease calls.
type leaseService struct{ s *Server }

func (l leaseService) LeaseGrant(
	_ context.Context, r *connect.Request[etcdpb.LeaseGrantRequest],
) (*connect.Response[etcdpb.LeaseGrantResponse], error) {
	now := l.s.clock()
	d := &l.s.data
	d.mu.Lock()
	defer d.mu.Unlock()
	id := r.Msg.ID
	if id == 0 {
		id = int64(len(d.leases)) + 1
		for d.leases[id] != nil {
			id++
		}
	}
	if d.leases[id] != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("etcdserver: lease already exists"))
	}
	ttl := time.Duration(max(r.Msg.TTL, 1)) * time.Second
	d.leases[id] = &lease{ttl: ttl, until: now.Add(ttl), keys: map[string]bool{}}
	return respond(&etcdpb.LeaseGrantResponse{Header: d.header(), ID: id, TTL: int64(ttl / time.Second)}, nil)
}

func (l leaseService) LeaseRevoke(
	_ context.Context, r *connect.Request[etcdpb.LeaseRevokeRequest],
) (*connect.Response[etcdpb.LeaseRevokeResponse], error) {
	d := &l.s.data
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leases[r.Msg.ID] == nil {
		return nil, errNoLease
	}
	d.revoke(r.Msg.ID)
	return respond(&etcdpb.LeaseRevokeResponse{Header: d.header()}, nil)
}

func (d *data) revoke(id int64) {
	keys := d.leases[id].keys
	_ = d.commit(func(revision int64) error {
		for k := range keys {
			d.remove([]byte(k), nil, revision)
		}
		return nil
	})
	delete(d.leases, id)
}

func (l leaseService) LeaseKeepAlive(
	ctx context.Context, s *connect.BidiStream[etcdpb.LeaseKeepAliveRequest, etcdpb.LeaseKeepAliveResponse],
) error {
	for {
		r, err := s.Receive()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		l.s.calls.add(KindLeaseKeepAlive)
		if err := l.s.faults.before(ctx); err != nil {
			return err
		}
		if err := s.Send(l.s.data.keepAlive(r.ID, l.s.clock())); err != nil {
			return err
		}
	}
}

// keepAlive answers with a TTL of zero for a lease that is no more.
func (d *data) keepAlive(id int64, now time.Time) *etcdpb.LeaseKeepAliveResponse {
	d.expire(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	a := &etcdpb.LeaseKeepAliveResponse{Header: d.header(), ID: id}
	if l := d.leases[id]; l != nil {
		l.until = now.Add(l.ttl)
		a.TTL = int64(l.ttl / time.Second)
	}
	return a
}

func (l leaseService) LeaseTimeToLive(
	_ context.Context, r *connect.Request[etcdpb.LeaseTimeToLiveRequest],
) (*connect.Response[etcdpb.LeaseTimeToLiveResponse], error) {
	now := l.s.clock()
	d := &l.s.data
	d.mu.Lock()
	defer d.mu.Unlock()
	a := &etcdpb.LeaseTimeToLiveResponse{Header: d.header(), ID: r.Msg.ID, TTL: -1}
	h := d.leases[r.Msg.ID]
	if h == nil {
		return respond(a, nil)
	}
	a.TTL, a.GrantedTTL = int64(h.until.Sub(now)/time.Second), int64(h.ttl/time.Second)
	for k := range h.keys {
		if r.Msg.Keys {
			a.Keys = append(a.Keys, []byte(k))
		}
	}
	return respond(a, nil)
}
