package serve

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/settings"
	"skylarkdeal/io/etcd"
	"skylarkdeal/io/grants"
	"skylarkdeal/io/members"
)

// keys puts the keys of membership and seats, which stand under the default prefix
// in their packages, under the prefix of the settings: two fleets may share a store.
type keys struct{ prefix string }

func (k keys) out(key string) string {
	return k.prefix + strings.TrimPrefix(key, settings.DefaultPrefix)
}

func (k keys) in(key string) string {
	return settings.DefaultPrefix + strings.TrimPrefix(key, k.prefix)
}

// memberStore keeps the hosts' records in the platform's store.
func memberStore(s *etcd.Store, k keys) members.Store {
	return members.Store{
		Register: func(ctx context.Context, key string, value []byte, ttl time.Duration) (members.LeaseID, error) {
			id, err := s.Grant(ctx, ttl)
			if err != nil {
				return 0, err
			}
			return members.LeaseID(id), s.Put(ctx, k.out(key), value, id)
		},
		Put: func(ctx context.Context, key string, value []byte, id members.LeaseID) error {
			return s.Put(ctx, k.out(key), value, etcd.LeaseID(id))
		},
		Renew: func(ctx context.Context, id members.LeaseID) error {
			_, err := s.KeepAlive(ctx, etcd.LeaseID(id))
			if errors.Is(err, etcd.ErrNoLease) {
				return members.ErrLeaseGone
			}
			return err
		},
		Revoke: func(ctx context.Context, id members.LeaseID) error {
			return s.Revoke(ctx, etcd.LeaseID(id))
		},
		List: func(ctx context.Context, prefix string) ([][]byte, error) {
			entries, _, err := s.List(ctx, k.out(prefix))
			out := make([][]byte, 0, len(entries))
			for _, e := range entries {
				out = append(out, e.Value)
			}
			return out, err
		},
	}
}

// seatStore keeps the seats of the accounts' homes in the platform's store.
func seatStore(s *etcd.Store, m *members.Runtime, k keys) grants.Store {
	return grants.Store{
		List: func(ctx context.Context, prefix string) ([]grants.Entry, error) {
			entries, _, err := s.List(ctx, k.out(prefix))
			out := make([]grants.Entry, 0, len(entries))
			for _, e := range entries {
				out = append(out, grants.Entry{Key: k.in(e.Key), Value: e.Value, Revision: uint64(e.Revision)})
			}
			return out, err
		},
		Swap: func(ctx context.Context, key string, old uint64, value []byte) (uint64, bool, error) {
			r, err := s.Swap(ctx, etcd.Swap{Key: k.out(key), Value: value, Expect: etcd.Revision(old)})
			var lost *etcd.Conflict
			if errors.As(err, &lost) {
				return uint64(lost.Current.Revision), false, nil
			}
			return uint64(r), err == nil, err
		},
		LeaseExists: m.Standing,
		Lease:       m.Lease,
		Epoch:       m.Epoch,
	}
}

// platformHosts reads the platform's own list of hosts, which lags. It returns nil
// when the settings name none.
func platformHosts(s *etcd.Store, key string) func(ctx context.Context) ([]fleet.Member, error) {
	if key == "" {
		return nil
	}
	return func(ctx context.Context) ([]fleet.Member, error) {
		e, err := s.Get(ctx, key)
		if err != nil || e.Revision == 0 {
			return nil, err
		}
		var m []fleet.Member
		if err := json.Unmarshal(e.Value, &m); err != nil {
			return nil, failure.At(err, "read list of hosts", failure.Peer("store key "+key))
		}
		return m, nil
	}
}
