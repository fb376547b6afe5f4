package ratelimit

import (
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/quota"
)

// Message is what hosts send each other: requests for tokens, and answers. Any message may be lost, late or repeated.
type Message struct {
	Asks    []Ask
	Answers []Answer
}

// Ask is a request for tokens of one account.
type Ask struct {
	// ID identifies the request to its sender.
	ID      uint64
	Account fleet.Account
	// DataCentre is the one whose home is asked.
	DataCentre fleet.DataCentre
	quota.Ask
}

// Answer answers the request of the same ID.
type Answer struct {
	ID uint64
	// NotHome is set if the answering host isn't the account's home, Holder is then the host that it takes for it, if
	// it knows one in the data centre that was asked for.
	NotHome bool
	Holder  fleet.Host
	quota.Grant
}

// pendingRequest is a request that isn't answered yet.
type pendingRequest struct {
	quota.HomeRequest
	entry  *entry
	sentAt time.Time
	// failed is set once the answer is late. It is of use until the tokens expire.
	failed bool
}

// pendingRequests are the requests that aren't answered, by ID.
type pendingRequests struct {
	lastID uint64
	byID   map[uint64]*pendingRequest
}

func (p *pendingRequests) add(r pendingRequest) uint64 {
	if p.byID == nil {
		p.byID = map[uint64]*pendingRequest{}
	}
	p.lastID++
	p.byID[p.lastID] = &r
	return p.lastID
}

func (p *pendingRequests) take(id uint64) (*pendingRequest, bool) {
	r, ok := p.byID[id]
	delete(p.byID, id)
	return r, ok
}

// expire returns the requests that have just become late, and drops those whose tokens would have expired.
func (p *pendingRequests) expire(now time.Time) []*pendingRequest {
	var late []*pendingRequest
	for id, r := range p.byID {
		age := now.Sub(r.sentAt)
		if age >= quota.AskTimeout && !r.failed {
			r.failed = true
			late = append(late, r)
		}
		if age >= quota.GrantLifetime {
			delete(p.byID, id)
		}
	}
	return late
}
