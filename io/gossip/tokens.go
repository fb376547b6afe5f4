package gossip

import (
	"math"
	"net"
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/quota"
	"skylarkdeal/core/ratelimit"
	"skylarkdeal/io/gossip/gossippb"
)

// Addresses are where hosts receive datagrams, as far as they are known.
type Addresses map[fleet.Host]*net.UDPAddr

// SendTokens sends a request for tokens or the answer to one, with the addresses of the hosts that it names. It may be
// lost.
func (g *Gossip) SendTokens(from quota.Process, m ratelimit.Message, known Addresses, to *net.UDPAddr) {
	t := &gossippb.Tokens{Host: string(from.Host), Epoch: from.Epoch}
	for _, a := range m.Asks {
		t.Asks = append(t.Asks, toAsk(a))
	}
	for _, a := range m.Answers {
		answer := toAnswer(a)
		if at := known[a.Holder]; at != nil {
			answer.Holder, answer.Address = string(a.Holder), at.String()
		}
		t.Answers = append(t.Answers, answer)
	}
	g.send(&gossippb.Datagram{Tokens: t}, []*net.UDPAddr{to})
}

func (g *Gossip) receiveTokens(t *gossippb.Tokens, address *net.UDPAddr) {
	if t.GetHost() == "" || g.cfg.Tokens == nil {
		return
	}
	var m ratelimit.Message
	known := Addresses{fleet.Host(t.GetHost()): address}
	for _, a := range t.GetAsks() {
		m.Asks = append(m.Asks, fromAsk(a))
	}
	for _, a := range t.GetAnswers() {
		answer := fromAnswer(a)
		if at, err := net.ResolveUDPAddr("udp4", a.GetAddress()); err == nil && a.GetHolder() != "" {
			answer.Holder = fleet.Host(a.GetHolder())
			known[answer.Holder] = at
		}
		m.Answers = append(m.Answers, answer)
	}
	g.cfg.Tokens(quota.Process{Host: fleet.Host(t.GetHost()), Epoch: t.GetEpoch()}, known, m)
}

func toAsk(a ratelimit.Ask) *gossippb.TokenAsk {
	m := &gossippb.TokenAsk{
		Id: a.ID, Account: string(a.Account), DataCentre: string(a.DataCentre),
		Wanted: toCounts(a.Wanted), Declined: toCounts(a.Declined),
		Ahead: toCount(a.Ahead), Fresh: toCount(a.Fresh), Returned: uint64(max(0, a.Returned)),
	}
	for _, r := range a.Reports {
		m.Reports = append(m.Reports, &gossippb.TokenReport{
			Grant: uint64(r.Grant), Left: toCount(r.Left), Closed: r.Closed,
		})
	}
	return m
}

func fromAsk(m *gossippb.TokenAsk) ratelimit.Ask {
	a := ratelimit.Ask{
		ID: m.GetId(), Account: fleet.Account(m.GetAccount()), DataCentre: fleet.DataCentre(m.GetDataCentre()),
	}
	a.Wanted, a.Declined = fromCounts(m.GetWanted()), fromCounts(m.GetDeclined())
	a.Urgent, a.Ahead = a.Wanted.Sum(), quota.Tokens(m.GetAhead())
	a.Fresh = quota.Tokens(m.GetFresh())
	a.Returned = quota.Tokens(min(m.GetReturned(), math.MaxInt64))
	for _, r := range m.GetReports() {
		a.Reports = append(a.Reports, quota.Report{
			Grant: quota.GrantID(r.GetGrant()), Left: quota.Tokens(r.GetLeft()), Closed: r.GetClosed(),
		})
	}
	return a
}

func toAnswer(a ratelimit.Answer) *gossippb.TokenAnswer {
	return &gossippb.TokenAnswer{
		Id: a.ID, NotHome: a.NotHome, Grant: uint64(a.Grant.ID), Tokens: toCount(a.Tokens), Urgent: toCounts(a.Urgent),
		RetryAfterMs: toMillis(a.RetryAfter), CallerRetryAfterMs: toMillis(a.CallerRetryAfter),
		ShortForMs: toMillis(a.ShortFor),
	}
}

func fromAnswer(m *gossippb.TokenAnswer) ratelimit.Answer {
	return ratelimit.Answer{ID: m.GetId(), NotHome: m.GetNotHome(), Grant: quota.Grant{
		ID: quota.GrantID(m.GetGrant()), Tokens: quota.Tokens(m.GetTokens()), Urgent: fromCounts(m.GetUrgent()),
		RetryAfter:       time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
		CallerRetryAfter: time.Duration(m.GetCallerRetryAfterMs()) * time.Millisecond,
		ShortFor:         time.Duration(m.GetShortForMs()) * time.Millisecond,
	}}
}

func toCount(n quota.Tokens) uint32 { return uint32(min(max(n, 0), math.MaxUint32)) }

func toCounts(b quota.ByPriority) []uint32 {
	out := make([]uint32, len(b))
	for p, n := range b {
		out[p] = toCount(n)
	}
	return out
}

// fromCounts returns the tokens by priority. It is never nil, and leaves out what is below the least priority.
func fromCounts(ns []uint32) quota.ByPriority {
	out := make(quota.ByPriority, min(len(ns), int(fleet.MaxPriority)+1))
	for p := range out {
		out[p] = quota.Tokens(ns[p])
	}
	return out
}
