package store

import (
	"context"
	"maps"
	"sync"

	"connectrpc.com/connect"

	"skylarkdeal/io/etcd/etcdpb/etcdpbconnect"
)

// Kind is a kind of call.
type Kind string

// The kinds of calls. A watch counts once, however long it waits; each message
// of a stream of keep-alives counts.
const (
	KindRange           Kind = "range"
	KindPut             Kind = "put"
	KindDeleteRange     Kind = "delete-range"
	KindTxn             Kind = "txn"
	KindCompact         Kind = "compact"
	KindWatch           Kind = "watch"
	KindLeaseGrant      Kind = "lease-grant"
	KindLeaseRevoke     Kind = "lease-revoke"
	KindLeaseKeepAlive  Kind = "lease-keep-alive"
	KindLeaseTimeToLive Kind = "lease-time-to-live"
)

// kinds tells the kind of a unary call and whether it writes.
var kinds = map[string]struct {
	kind   Kind
	writes bool
}{
	etcdpbconnect.KVRangeProcedure:              {KindRange, false},
	etcdpbconnect.KVPutProcedure:                {KindPut, true},
	etcdpbconnect.KVDeleteRangeProcedure:        {KindDeleteRange, true},
	etcdpbconnect.KVTxnProcedure:                {KindTxn, true},
	etcdpbconnect.KVCompactProcedure:            {KindCompact, false},
	etcdpbconnect.LeaseLeaseGrantProcedure:      {KindLeaseGrant, true},
	etcdpbconnect.LeaseLeaseRevokeProcedure:     {KindLeaseRevoke, true},
	etcdpbconnect.LeaseLeaseTimeToLiveProcedure: {KindLeaseTimeToLive, false},
}

type calls struct {
	mu sync.Mutex
	n  map[Kind]int
}

func (c *calls) add(k Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[Kind]int{}
	}
	c.n[k]++
}

func (c *calls) all() map[Kind]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.n)
}

// interceptor counts the calls and applies the switches to them.
type interceptor struct{ s *Server }

func (i *interceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		k := kinds[r.Spec().Procedure]
		i.s.calls.add(k.kind)
		if err := i.s.faults.before(ctx); err != nil {
			return nil, err
		}
		i.s.data.expire(i.s.clock())
		a, err := next(ctx, r)
		if err == nil && k.writes && i.s.faults.loses() {
			return nil, errDown
		}
		return a, err
	}
}

func (i *interceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler does nothing: streams count and fail message by message.
func (i *interceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}
