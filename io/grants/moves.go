package grants

import (
	"context"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/roster"
	"skylarkdeal/io/host/hostpb"
)

const (
	// moveDelay is how long the roster has to assign a shard to another host before
	// the owner gives it up, so that a short change of the roster moves no shard.
	moveDelay = 3 * time.Second
	// moveTimeout bounds a request for shards: the owner answers at once, and a retry
	// follows in the next round.
	moveTimeout = time.Second
)

// requestMoves asks the owner of some shards, which the roster assigns to this host,
// to give them up, and plans the swaps of those that it has given up.
//
// Designed for a host that has just started. The owner grants until this host has
// read the record and is about to swap it, so that the shards are without an owner
// for that one swap. An owner that gave them up by itself left them without one until
// this host looked again, and for the whole of an outage if the store failed meanwhile.
func (r *Runtime) requestMoves(ctx context.Context, owner fleet.Host, shards []roster.Shard, c *recordUpdate) {
	q := &hostpb.GrantRequest{Hello: r.hello()}
	for _, h := range shards {
		q.Moves = append(q.Moves, &hostpb.MoveAsk{
			Seat: string(ownershipID(r.cfg.DataCentre, h)), Tenure: c.table[shardKey(h)].Tenure,
		})
	}
	m, ok := r.member(owner)
	if !ok {
		return
	}
	// A host that leaves gives its shards up soon, if not now.
	c.pending = c.pending || m.Leaving
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	a, err := r.cfg.Call(ctx, m, q)
	if err != nil {
		r.cfg.Logger.Warn("seats not moved", zap.Error(failure.At(err, "ask owner", failure.Peer(owner))))
		c.pending = true
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, moved := range a.GetMoves() {
		if i < len(shards) && moved.GetMoved() {
			r.planSwap(c, shards[i], c.table[shardKey(shards[i])], tokensLeft(moved))
		}
	}
}

// handleMove answers a host that wants a shard of this host. Asked again, it gives the
// same answer: the tokens left are used by the one swap of this tenure's record that
// succeeds, whoever makes it.
func (r *Runtime) handleMove(from fleet.Host, q *hostpb.MoveAsk) *hostpb.MoveAnswer {
	h, ok := r.shardOf(q.GetSeat())
	if !ok {
		return &hostpb.MoveAnswer{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.seat(h); s.ownership.Record().Tenure == q.GetTenure() && s.ownership.Held() && r.mayMove(h, from) {
		r.release(h)
		g := r.released[h]
		g.writeAfter = r.clock.monotonic().Add(moveTimeout)
		r.released[h] = g
	}
	g, ok := r.released[h]
	if !ok || g.tenure != q.GetTenure() {
		return &hostpb.MoveAnswer{}
	}
	a := &hostpb.MoveAnswer{Moved: true}
	for _, l := range g.left {
		a.Left = append(a.Left, &hostpb.TokensLeft{
			Service: string(l.Service), Account: string(l.Account), Tokens: l.Tokens,
		})
	}
	return a
}

// mayMove reports whether this host's roster has assigned the shard to the host to for
// moveDelay, or at all while this host leaves. r.mu is held.
func (r *Runtime) mayMove(h roster.Shard, to fleet.Host) bool {
	if r.preferredHome(h) != to {
		return false
	}
	if m, ok := r.member(r.cfg.Host); ok && m.Leaving {
		return true
	}
	since := r.seat(h).notPreferredSince
	return !since.IsZero() && r.clock.monotonic().Sub(since) >= moveDelay
}

// shardOf returns the shard of this data centre that an ownership id names.
func (r *Runtime) shardOf(id string) (roster.Shard, bool) {
	n, ok := strings.CutPrefix(id, string(r.cfg.DataCentre)+"/")
	h, err := strconv.Atoi(n)
	return roster.Shard(h), ok && err == nil && h >= 0 && roster.Shard(h) < roster.Shards
}

func tokensLeft(a *hostpb.MoveAnswer) []remainingTokens {
	var out []remainingTokens
	for _, l := range a.GetLeft() {
		out = append(out, remainingTokens{fleet.Service(l.GetService()), fleet.Account(l.GetAccount()), l.GetTokens()})
	}
	return out
}
