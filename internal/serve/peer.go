package serve

import (
	"context"
	"strings"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"skylarkdeal/core/document"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/docsync"
	"skylarkdeal/io/host/hostpb"
)

// address returns where a host's inner protocol is. A seed of the settings is
// known by its address alone, which stands for its name until it is heard from.
func (h *Host) address(n fleet.Host) (string, bool) {
	for _, m := range h.members.Members() {
		if m.Host == n {
			return m.Peer, true
		}
	}
	if strings.Contains(string(n), ":") {
		return string(n), true
	}
	return "", false
}

// hello is the opening of messages that are made outside io/host.
func (h *Host) hello() *hostpb.Hello {
	return &hostpb.Hello{Host: string(h.settings.Host.Name), Epoch: h.epoch}
}

func (h *Host) spreadConfig() docsync.Config {
	s := h.settings
	return docsync.Config{
		Self:       h.self(),
		Hello:      h.hello(),
		Store:      h.store,
		Prefix:     document.StorePrefix(s.Store.Prefix),
		Seeds:      s.Peer.Seeds,
		IsWatcher:  h.members.IsWatcher,
		Members:    h.members.Members,
		MembersOut: h.members.Records,
		MembersIn:  h.members.Merge,
		Digest: func(ctx context.Context, peer string, q *hostpb.DigestRequest) (*hostpb.DigestResponse, error) {
			return h.peers.Digest(ctx, fleet.Host(peer), q)
		},
		Push: func(ctx context.Context, peer string, q *hostpb.PushRequest) error {
			_, err := h.peers.Push(ctx, fleet.Host(peer), q)
			return err
		},
		OnChange: h.documentChanged,
		Log:      h.log,
		Metrics:  h.registry,
		Journal:  &h.journal,
	}
}

func (h *Host) digest(_ context.Context, q *hostpb.DigestRequest) (*hostpb.DigestResponse, error) {
	return h.spread.HandleDigest(q), nil
}

func (h *Host) push(_ context.Context, q *hostpb.PushRequest) (*hostpb.PushResponse, error) {
	return h.spread.HandlePush(q), nil
}

func (h *Host) grant(ctx context.Context, q *hostpb.GrantRequest) (*hostpb.GrantResponse, error) {
	return h.grants.HandleGrant(ctx, q), nil
}

func (h *Host) view(_ context.Context, q *hostpb.ViewRequest) (*hostpb.ViewResponse, error) {
	return h.holder.HandleView(fleet.Service(q.GetService())), nil
}

func (h *Host) callGrant(ctx context.Context, m fleet.Member, q *hostpb.GrantRequest) (*hostpb.GrantResponse, error) {
	a, err := h.peers.Grant(ctx, m.Host, q)
	return a, failure.At(err, "ask for a grant", failure.Peer("host "+string(m.Host)))
}

// announcing bounds the hosts that are told of a shutdown at a time: a rack that has
// gone with its hosts would else hold up the rest for a second each.
const announcing = 32

// announce tells the other hosts of this host's shutdown, so that they stop
// forwarding to it before the next digest.
func (h *Host) announce(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(announcing)
	for _, m := range h.members.Members() {
		if m.Host == h.settings.Host.Name {
			continue
		}
		g.Go(func() error {
			_, err := h.peers.Leave(ctx, m.Host)
			if err != nil {
				h.log.Debug("peer doesn't know of the shutdown yet",
					zap.String("host", string(m.Host)), zap.Error(err))
			}
			return nil
		})
	}
	_ = g.Wait() // none of them fails
}

// leave takes in that the sender shuts down.
func (h *Host) leave(_ context.Context, q *hostpb.LeaveRequest) (*hostpb.LeaveResponse, error) {
	for _, m := range h.members.Records() {
		if m.GetHost() == q.GetHello().GetHost() && m.GetEpoch() == q.GetHello().GetEpoch() {
			m.Leaving = true
			m.Beat++
			h.members.Merge([]*hostpb.Member{m})
		}
	}
	return &hostpb.LeaveResponse{}, nil
}
