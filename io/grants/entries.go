package grants

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"skylarkdeal/core/document"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/quota"
	"skylarkdeal/core/roster"
)

// accountID identifies an account of a service.
type accountID struct {
	service fleet.Service
	account fleet.Account
}

// entry is the state of one account for which this host spends tokens.
type entry struct {
	accountID
	shard   roster.Shard
	spender quota.Spender
	// document is the version in effect.
	document atomic.Pointer[document.Document]
	// waiting counts the waiting exchanges, so that no new exchange overtakes them.
	waiting           atomic.Int64
	admitted, refused atomic.Uint64

	// The fields below belong to the serving goroutine. failed is why the last request to each data centre
	// brought no grant, ungrantedSince since when that is so for all of them, zero while one grants.
	waiters        []waiter
	checked        time.Time
	failed         map[fleet.DataCentre]string
	ungrantedSince time.Time
}

// waiter is an exchange that waits for n tokens.
type waiter struct {
	n        quota.Tokens
	deadline time.Time
	done     func(*failure.Refusal)
	// open reports whether the exchange belongs to an open transaction.
	open bool
}

// entries maps accounts to their entries. Look-ups take no lock: a new document
// replaces the maps, which are never modified.
type entries struct {
	mu  sync.Mutex
	all atomic.Pointer[map[fleet.Service]map[fleet.Account]*entry]
}

func (e *entries) find(s fleet.Service, a fleet.Account) *entry {
	m := e.all.Load()
	if m == nil {
		return nil
	}
	return (*m)[s][a]
}

// each calls f for every entry.
func (e *entries) each(f func(*entry)) {
	m := e.all.Load()
	if m == nil {
		return
	}
	for _, s := range *m {
		for _, n := range s {
			f(n)
		}
	}
}

// DocumentChanged puts d in effect, unless the version in effect is the same or newer.
func (r *Runtime) DocumentChanged(d *document.Document) {
	old, newer := r.entries.change(d, r.newEntry)
	if newer {
		r.changeHomes(d, old)
	}
}

func (r *Runtime) newEntry(n accountID) *entry {
	e := &entry{accountID: n, shard: roster.ShardOf(n.service, n.account)}
	e.spender.Host, e.spender.OwnDataCentre = r.cfg.Host, r.cfg.DataCentre
	return e
}

// change replaces the maps, and returns the document that was in effect and
// whether d is newer. The entries of accounts that d lacks are removed; their open
// grants expire by themselves.
func (e *entries) change(d *document.Document, add func(accountID) *entry) (old *document.Document, newer bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	services := map[fleet.Service]map[fleet.Account]*entry{}
	if m := e.all.Load(); m != nil {
		services = maps.Clone(*m)
	}
	former := services[d.Service]
	for _, n := range former {
		old = n.document.Load()
		break
	}
	if old != nil && old.Version >= d.Version {
		return old, false
	}
	accounts := make(map[fleet.Account]*entry, len(d.Accounts))
	for _, a := range d.Accounts {
		n := former[a.Name]
		if n == nil {
			n = add(accountID{d.Service, a.Name})
		}
		n.document.Store(d)
		accounts[a.Name] = n
	}
	services[d.Service] = accounts
	e.all.Store(&services)
	return old, true
}
