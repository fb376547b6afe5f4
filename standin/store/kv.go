package store

import (
	"bytes"
	"cmp"
	"context"
	"slices"

	"connectrpc.com/connect"

	"skylarkdeal/io/etcd/etcdpb"
)

// kvService serves the KV calls.
type kvService struct{ s *Server }

func (k kvService) Range(
	_ context.Context, r *connect.Request[etcdpb.RangeRequest],
) (*connect.Response[etcdpb.RangeResponse], error) {
	past := k.s.faults.get().Past
	d := &k.s.data
	d.mu.Lock()
	defer d.mu.Unlock()
	if past > 0 && r.Msg.Revision == 0 {
		return respond(d.read(r.Msg, min(past, d.revision)))
	}
	return respond(d.get(r.Msg))
}

func (k kvService) Put(
	_ context.Context, r *connect.Request[etcdpb.PutRequest],
) (*connect.Response[etcdpb.PutResponse], error) {
	d := &k.s.data
	d.mu.Lock()
	defer d.mu.Unlock()
	var prev *etcdpb.KeyValue
	err := d.commit(func(revision int64) (err error) {
		prev, err = d.put(r.Msg, revision)
		return err
	})
	return respond(&etcdpb.PutResponse{Header: d.header(), PrevKv: only(r.Msg.PrevKv, prev)}, err)
}

func (k kvService) DeleteRange(
	_ context.Context, r *connect.Request[etcdpb.DeleteRangeRequest],
) (*connect.Response[etcdpb.DeleteRangeResponse], error) {
	d := &k.s.data
	d.mu.Lock()
	defer d.mu.Unlock()
	var gone []*etcdpb.KeyValue
	err := d.commit(func(revision int64) error {
		gone = d.remove(r.Msg.Key, r.Msg.RangeEnd, revision)
		return nil
	})
	a := &etcdpb.DeleteRangeResponse{Header: d.header(), Deleted: int64(len(gone))}
	if r.Msg.PrevKv {
		a.PrevKvs = gone
	}
	return respond(a, err)
}

func (k kvService) Txn(
	_ context.Context, r *connect.Request[etcdpb.TxnRequest],
) (*connect.Response[etcdpb.TxnResponse], error) {
	d := &k.s.data
	d.mu.Lock()
	defer d.mu.Unlock()
	return respond(d.txn(r.Msg))
}

func (k kvService) Compact(
	_ context.Context, r *connect.Request[etcdpb.CompactionRequest],
) (*connect.Response[etcdpb.CompactionResponse], error) {
	k.s.Compact(r.Msg.Revision)
	return respond(&etcdpb.CompactionResponse{}, nil)
}

func respond[T any](a *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(a), nil
}

func only(wanted bool, kv *etcdpb.KeyValue) *etcdpb.KeyValue {
	if !wanted {
		return nil
	}
	return kv
}

func (d *data) get(r *etcdpb.RangeRequest) (*etcdpb.RangeResponse, error) {
	switch {
	case r.Revision > d.revision:
		return nil, errFuture
	case r.Revision > 0 && r.Revision < d.compacted:
		return nil, errCompacted
	case r.Revision > 0:
		return d.read(r, r.Revision)
	}
	return d.read(r, d.revision)
}

func (d *data) read(r *etcdpb.RangeRequest, revision int64) (*etcdpb.RangeResponse, error) {
	a := &etcdpb.RangeResponse{Header: d.header()}
	a.Header.Revision = min(revision, d.revision)
	for _, k := range d.keys(r.Key, r.RangeEnd) {
		kv := d.at(k, revision)
		if kv == nil || kv.ModRevision < r.MinModRevision || r.MaxModRevision > 0 && kv.ModRevision > r.MaxModRevision {
			continue
		}
		a.Kvs = append(a.Kvs, kv)
	}
	a.Count = int64(len(a.Kvs))
	if r.SortOrder != etcdpb.RangeRequest_NONE {
		sortKeys(a.Kvs, r)
	}
	if r.Limit > 0 && a.Count > r.Limit {
		a.Kvs, a.More = a.Kvs[:r.Limit], true
	}
	switch {
	case r.CountOnly:
		a.Kvs = nil
	case r.KeysOnly:
		for n, kv := range a.Kvs {
			a.Kvs[n] = &etcdpb.KeyValue{
				Key: kv.Key, CreateRevision: kv.CreateRevision, ModRevision: kv.ModRevision,
				Version: kv.Version, Lease: kv.Lease,
			}
		}
	}
	return a, nil
}

func sortKeys(l []*etcdpb.KeyValue, r *etcdpb.RangeRequest) {
	slices.SortStableFunc(l, func(a, b *etcdpb.KeyValue) int {
		var c int
		switch r.SortTarget {
		case etcdpb.RangeRequest_VERSION:
			c = cmp.Compare(a.Version, b.Version)
		case etcdpb.RangeRequest_CREATE:
			c = cmp.Compare(a.CreateRevision, b.CreateRevision)
		case etcdpb.RangeRequest_MOD:
			c = cmp.Compare(a.ModRevision, b.ModRevision)
		case etcdpb.RangeRequest_VALUE:
			c = bytes.Compare(a.Value, b.Value)
		default:
			c = bytes.Compare(a.Key, b.Key)
		}
		if r.SortOrder == etcdpb.RangeRequest_DESCEND {
			return -c
		}
		return c
	})
}

func (d *data) txn(r *etcdpb.TxnRequest) (*etcdpb.TxnResponse, error) {
	if err := d.runnable(slices.Concat(r.Success, r.Failure)); err != nil {
		return nil, err
	}
	a := &etcdpb.TxnResponse{Succeeded: true}
	for _, c := range r.Compare {
		a.Succeeded = a.Succeeded && d.holds(c)
	}
	ops := r.Success
	if !a.Succeeded {
		ops = r.Failure
	}
	err := d.commit(func(revision int64) error {
		for _, o := range ops {
			p, err := d.run(o, revision)
			if err != nil {
				return err
			}
			a.Responses = append(a.Responses, p)
		}
		return nil
	})
	a.Header = d.header()
	return a, err
}

// runnable refuses a transaction before any part of it has run.
func (d *data) runnable(ops []*etcdpb.RequestOp) error {
	for _, o := range ops {
		if p := o.GetRequestPut(); p.GetLease() != 0 && d.leases[p.GetLease()] == nil {
			return errNoLease
		}
		if o.GetRequestTxn() != nil {
			return errNested
		}
	}
	return nil
}

// holds reports whether a comparison of a transaction holds.
func (d *data) holds(c *etcdpb.Compare) bool {
	kv := d.at(string(c.Key), d.revision)
	if kv == nil {
		kv = &etcdpb.KeyValue{}
	}
	n := 0
	switch c.Target {
	case etcdpb.Compare_VERSION:
		n = cmp.Compare(kv.Version, c.GetVersion())
	case etcdpb.Compare_CREATE:
		n = cmp.Compare(kv.CreateRevision, c.GetCreateRevision())
	case etcdpb.Compare_MOD:
		n = cmp.Compare(kv.ModRevision, c.GetModRevision())
	case etcdpb.Compare_VALUE:
		n = bytes.Compare(kv.Value, c.GetValue())
	case etcdpb.Compare_LEASE:
		n = cmp.Compare(kv.Lease, c.GetLease())
	}
	switch c.Result {
	case etcdpb.Compare_GREATER:
		return n > 0
	case etcdpb.Compare_LESS:
		return n < 0
	case etcdpb.Compare_NOT_EQUAL:
		return n != 0
	default:
		return n == 0
	}
}

func (d *data) run(o *etcdpb.RequestOp, revision int64) (*etcdpb.ResponseOp, error) {
	switch q := o.Request.(type) {
	case *etcdpb.RequestOp_RequestRange:
		a, err := d.read(q.RequestRange, revision)
		return &etcdpb.ResponseOp{Response: &etcdpb.ResponseOp_ResponseRange{ResponseRange: a}}, err
	case *etcdpb.RequestOp_RequestPut:
		prev, err := d.put(q.RequestPut, revision)
		a := &etcdpb.PutResponse{PrevKv: only(q.RequestPut.PrevKv, prev)}
		return &etcdpb.ResponseOp{Response: &etcdpb.ResponseOp_ResponsePut{ResponsePut: a}}, err
	case *etcdpb.RequestOp_RequestDeleteRange:
		gone := d.remove(q.RequestDeleteRange.Key, q.RequestDeleteRange.RangeEnd, revision)
		a := &etcdpb.DeleteRangeResponse{Deleted: int64(len(gone))}
		return &etcdpb.ResponseOp{Response: &etcdpb.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: a}}, nil
	default:
		return nil, errNested
	}
}
