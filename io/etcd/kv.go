package etcd

import (
	"context"
	"errors"
	"slices"

	"connectrpc.com/connect"

	"skylarkdeal/io/etcd/etcdpb"
)

// pageSize is how many entries one answer of a list holds; documents of a few
// kilobytes stay within the 4 MB that a gRPC message commonly may have.
const pageSize = 100

func entry(kv *etcdpb.KeyValue) Entry {
	return Entry{
		Key: string(kv.Key), Value: kv.Value, Revision: Revision(kv.ModRevision), Lease: LeaseID(kv.Lease),
	}
}

// prefixEnd returns the first key after all that start with prefix.
func prefixEnd(prefix string) []byte {
	e := []byte(prefix)
	for n := len(e) - 1; n >= 0; n-- {
		if e[n] < 0xff {
			e[n]++
			return e[:n+1]
		}
	}
	return []byte{0}
}

func (c *client) rangeOf(ctx context.Context, k Kind, r *etcdpb.RangeRequest) (*etcdpb.RangeResponse, error) {
	return call(ctx, c, k, func(ctx context.Context, e endpoint) (*etcdpb.RangeResponse, error) {
		a, err := e.kv.Range(ctx, connect.NewRequest(r))
		if err != nil {
			return nil, err
		}
		return a.Msg, nil
	})
}

func (c *client) get(ctx context.Context, key string) (Entry, error) {
	a, err := c.rangeOf(ctx, KindGet, &etcdpb.RangeRequest{Key: []byte(key)})
	if err != nil || len(a.Kvs) == 0 {
		return Entry{Key: key}, err
	}
	return entry(a.Kvs[0]), nil
}

// list reads page after page at the revision of the first.
func (c *client) list(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	r := &etcdpb.RangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), Limit: pageSize}
	var l []Entry
	for {
		a, err := c.rangeOf(ctx, KindList, r)
		if err != nil {
			return nil, 0, err
		}
		for _, kv := range a.Kvs {
			l = append(l, entry(kv))
		}
		if r.Revision == 0 {
			r.Revision = a.GetHeader().GetRevision()
		}
		if !a.More || len(a.Kvs) == 0 {
			return l, Revision(r.Revision), nil
		}
		r.Key = append(slices.Clone(a.Kvs[len(a.Kvs)-1].Key), 0)
	}
}

func (c *client) newest(ctx context.Context, prefix string) (Revision, Revision, error) {
	a, err := c.rangeOf(ctx, KindNewest, &etcdpb.RangeRequest{
		Key: []byte(prefix), RangeEnd: prefixEnd(prefix), Limit: 1, KeysOnly: true,
		SortOrder: etcdpb.RangeRequest_DESCEND, SortTarget: etcdpb.RangeRequest_MOD,
	})
	if err != nil {
		return 0, 0, err
	}
	at := Revision(a.GetHeader().GetRevision())
	if len(a.Kvs) == 0 {
		return 0, at, nil
	}
	return Revision(a.Kvs[0].ModRevision), at, nil
}

func putOp(p Pair, lease LeaseID) *etcdpb.RequestOp {
	return &etcdpb.RequestOp{Request: &etcdpb.RequestOp_RequestPut{
		RequestPut: &etcdpb.PutRequest{Key: []byte(p.Key), Value: p.Value, Lease: int64(lease)},
	}}
}

func (c *client) swap(ctx context.Context, s Swap) (Revision, error) {
	key := []byte(s.Key)
	r := &etcdpb.TxnRequest{
		Compare: []*etcdpb.Compare{{
			Result: etcdpb.Compare_EQUAL, Target: etcdpb.Compare_MOD, Key: key,
			TargetUnion: &etcdpb.Compare_ModRevision{ModRevision: int64(s.Expect)},
		}},
		Success: []*etcdpb.RequestOp{putOp(Pair{s.Key, s.Value}, s.Lease)},
		Failure: []*etcdpb.RequestOp{{Request: &etcdpb.RequestOp_RequestRange{
			RequestRange: &etcdpb.RangeRequest{Key: key},
		}}},
	}
	for _, p := range s.Also {
		r.Success = append(r.Success, putOp(p, 0))
	}
	a, err := call(ctx, c, KindSwap, func(ctx context.Context, e endpoint) (*etcdpb.TxnResponse, error) {
		a, err := e.kv.Txn(ctx, connect.NewRequest(r))
		if err != nil {
			return nil, err
		}
		return a.Msg, nil
	})
	switch {
	case err != nil:
		return 0, writeError(err)
	case a.Succeeded:
		return Revision(a.GetHeader().GetRevision()), nil
	}
	return 0, conflict(s.Key, a)
}

// writeError tells a write that didn't take effect, for it was never sent or
// was refused, from one that may have.
func writeError(err error) error {
	if errors.Is(err, ErrHeldBack) || errors.Is(err, errNoEndpoint) || isAnswer(err) {
		return leaseError(err)
	}
	return &Unknown{Err: err}
}

func conflict(key string, a *etcdpb.TxnResponse) error {
	c := &Conflict{Current: Entry{Key: key}}
	if len(a.Responses) == 0 {
		return &Unknown{Err: unexpected("a transaction without its reads")}
	}
	if kvs := a.Responses[0].GetResponseRange().GetKvs(); len(kvs) > 0 {
		c.Current = entry(kvs[0])
	}
	return c
}

func (c *client) put(ctx context.Context, key string, value []byte, lease LeaseID) error {
	_, err := call(ctx, c, KindPut, func(ctx context.Context, e endpoint) (*etcdpb.PutResponse, error) {
		a, err := e.kv.Put(ctx, connect.NewRequest(&etcdpb.PutRequest{
			Key: []byte(key), Value: value, Lease: int64(lease),
		}))
		if err != nil {
			return nil, err
		}
		return a.Msg, nil
	})
	return leaseError(err)
}

func (c *client) delete(ctx context.Context, key string) error {
	_, err := call(ctx, c, KindDelete, func(ctx context.Context, e endpoint) (*etcdpb.DeleteRangeResponse, error) {
		a, err := e.kv.DeleteRange(ctx, connect.NewRequest(&etcdpb.DeleteRangeRequest{Key: []byte(key)}))
		if err != nil {
			return nil, err
		}
		return a.Msg, nil
	})
	return err
}
