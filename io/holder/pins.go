package holder

import (
	"sync"
	"time"

	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
	"skylarkdeal/io/database"
)

// pin is an open transaction: it holds its connection alone until it ends.
type pin struct {
	id       exchange.Pin
	conn     *database.Conn
	pool     *database.Pool
	instance fleet.Instance
	role     fleet.Role
	// term is the group's when the transaction began.
	term    fleet.Term
	account fleet.Account
	// busy is set while an exchange of the transaction is under way.
	busy bool
	// dropped is set when the transaction was released while busy.
	dropped bool
	// opened is when the transaction began.
	opened time.Time
}

// pins are the open transactions of one group on this holder.
type pins struct {
	mu   sync.Mutex
	byID map[exchange.Pin]*pin
}

func (p *pins) add(n *pin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byID == nil {
		p.byID = map[exchange.Pin]*pin{}
	}
	p.byID[n.id] = n
}

// take returns the transaction for its next exchange. It returns nil when there
// is none of that name and account, or when an exchange of it is under way: two
// at a time would mix their statements and answers on one connection.
func (p *pins) take(id exchange.Pin, a fleet.Account) *pin {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.byID[id]
	if n == nil || n.busy || n.account != a {
		return nil
	}
	n.busy = true
	return n
}

// put gives back a transaction after an exchange. It reports false when the
// transaction was released meanwhile, and the connection has to be given up.
func (p *pins) put(n *pin) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n.busy = false
	return !n.dropped
}

// end forgets a transaction that is over.
func (p *pins) end(n *pin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byID, n.id)
}

// release forgets a transaction that its session has given up and returns it
// when its connection is free to be rolled back, else nil: whoever serves its
// exchange then finds it dropped.
func (p *pins) release(id exchange.Pin) *pin {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.byID[id]
	if n == nil {
		return nil
	}
	delete(p.byID, id)
	if n.busy {
		n.dropped = true
		return nil
	}
	return n
}

func (p *pins) len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.byID)
}

// oldest returns when the first of the open transactions began, zero if there is none.
func (p *pins) oldest() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var at time.Time
	for _, n := range p.byID {
		if at.IsZero() || n.opened.Before(at) {
			at = n.opened
		}
	}
	return at
}
