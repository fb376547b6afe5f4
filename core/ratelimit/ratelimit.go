// Package ratelimit keeps each client account within its rate and burst on all hosts together, whichever of them are
// cut off, paused, lost, restarted or not known to the others.
//
// Each data centre has a share of an account's rate and burst that depends on the configuration alone. One host of the
// data centre, the account's home, grants that share in short-lived tokens (see quota.Home), to hosts of its own data
// centre and of others. A host admits an operation only for a token, so no operation depends on which hosts are heard.
// A home that can't be reached costs its share; the other ones go on.
//
// The accounts are divided into slots. A host is the home of the accounts of a slot while it holds the slot in the
// platform's store, which the caller of Hold sees to.
package ratelimit

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/quota"
)

const (
	// maxWait is how long an operation waits for its token while homes don't answer: until a request has timed out
	// and a home in another data centre has answered.
	maxWait = 250 * time.Millisecond
	// idleEntryTimeout is how long an account without operations is kept.
	idleEntryTimeout = time.Minute
	// forgetInterval is how often idle accounts and homes are dropped.
	forgetInterval = 10 * time.Second
)

// Limiter applies the accounts' rates on one host. It is not safe for concurrent use.
type Limiter struct {
	// Process is this host's process, DataCentre its data centre and DataCentres all of them.
	Process     quota.Process
	DataCentre  fleet.DataCentre
	DataCentres []fleet.DataCentre
	// Send sends a message to another host. It may be lost.
	Send func(to fleet.Host, m Message)
	// Guide returns a host that may know the homes of a data centre, false if there is none. It may be nil.
	Guide func(d fleet.DataCentre) (fleet.Host, bool)
	// RequestTick requests a call of Tick soon, as something waits for it. It may be nil.
	RequestTick func()

	entries map[fleet.Account]*entry
	// active are the entries that each tick looks at.
	active map[*entry]struct{}
	// refusedLately are the accounts refused since the last call of TakeRefused.
	refusedLately fleet.Set[fleet.Account]
	pending       pendingRequests
	homes         homes
	holders       holders
	forgotAt      time.Time
}

// Operation is an operation that is to be admitted.
type Operation struct {
	Account  catalog.Account
	Priority fleet.Priority
	// Patience is how long it is of use to wait for a token that is known to come.
	Patience time.Duration
	// Done is called once, possibly before Admit returns: with the decision, and with the time after which the
	// caller should retry if it isn't admitted.
	Done func(retryAfter time.Duration, admitted bool)
}

// Admit admits an operation for one token of its account's rate, or refuses it. An account with no rate isn't limited.
func (l *Limiter) Admit(now time.Time, o Operation) {
	if o.Account.Rate <= 0 {
		o.Done(0, true)
		return
	}
	e := l.entry(now, o.Account)
	w := waiter{priority: o.Priority.Clamp(), since: now, patience: o.Patience, done: o.Done}
	if !e.precedes(w) && e.spender.TakeAny(now, 1) {
		e.admit(w)
		l.activate(e)
		return
	}
	e.enqueue(w)
	l.step(now, e)
	l.activate(e)
}

// Refund returns the token of an operation that was admitted and not run. Otherwise the account would be charged for
// operations that were refused, for example when a primary is lost and all its callers retry.
func (l *Limiter) Refund(now time.Time, n fleet.Account) {
	if e := l.entries[n]; e != nil {
		e.spender.Refund(now)
		e.admitted--
	}
}

func (l *Limiter) entry(now time.Time, a catalog.Account) *entry {
	e := l.entries[a.Name]
	if e == nil {
		e = &entry{}
		e.spender = quota.Spender{Host: l.Process.Host, Process: l.Process, OwnDataCentre: l.DataCentre}
		if l.entries == nil {
			l.entries = map[fleet.Account]*entry{}
			l.refusedLately = fleet.Set[fleet.Account]{}
		}
		l.entries[a.Name] = e
	}
	e.account, e.usedAt = a, now
	return e
}

// activate has the next ticks look at an entry.
func (l *Limiter) activate(e *entry) {
	if l.active == nil {
		l.active = map[*entry]struct{}{}
	}
	l.active[e] = struct{}{}
	if len(e.waiters) > 0 && l.RequestTick != nil {
		l.RequestTick()
	}
}

// Waiting reports whether operations wait for tokens.
func (l *Limiter) Waiting() bool {
	for e := range l.active {
		if len(e.waiters) > 0 {
			return true
		}
	}
	return false
}

// Tick handles what depends on the time: requests that weren't answered, operations that have waited for too long and
// accounts that are no longer used.
func (l *Limiter) Tick(now time.Time) {
	for _, r := range l.pending.expire(now) {
		r.entry.spender.Failed(now, r.DataCentre)
		r.entry.failures++
		l.activate(r.entry)
	}
	for e := range l.active {
		l.step(now, e)
		if len(e.waiters) == 0 && e.spender.Idle(now, idleAfter) {
			delete(l.active, e)
		}
	}
	if now.Sub(l.forgotAt) >= forgetInterval {
		l.forgotAt = now
		l.forget(now)
	}
}

// idleAfter is how long after its last operation each tick still looks at an account: its tokens that are left have
// expired then.
const idleAfter = 2 * quota.GrantLifetime

func (l *Limiter) forget(now time.Time) {
	for n, e := range l.entries {
		if len(e.waiters) == 0 && now.Sub(e.usedAt) > idleEntryTimeout {
			delete(l.entries, n)
			delete(l.active, e)
		}
	}
	l.homes.forget(now)
}

// step admits the operations that have their tokens, refuses those that get none in time, and requests tokens for the
// others.
func (l *Limiter) step(now time.Time, e *entry) {
	for {
		e.admitWaiters(now)
		l.refuseWaiters(now, e)
		r, ok := e.spender.NextByPriority(now, e.wanted(), l.DataCentres)
		if !ok {
			return
		}
		r.Ask.Fresh = e.noteAsked(r.DataCentre)
		if !l.request(now, e, r) {
			return
		}
	}
}

// request sends a request for tokens to a home. It reports whether the answer is known already.
func (l *Limiter) request(now time.Time, e *entry, r quota.HomeRequest) bool {
	n := e.account.Name
	slot := SlotOf(n)
	if r.DataCentre == l.DataCentre && l.homes.holds(now, slot) {
		g, _ := l.grant(now, n, r.Ask)
		e.granted(now, now, r, g)
		return true
	}
	to, ok := l.holders.of(r.DataCentre, slot)
	if !ok && l.Guide != nil {
		to, ok = l.Guide(r.DataCentre)
	}
	if !ok || to == l.Process.Host {
		e.spender.Failed(now, r.DataCentre)
		e.failures++
		return true
	}
	id := l.pending.add(pendingRequest{HomeRequest: r, entry: e, sentAt: now})
	l.Send(to, Message{Asks: []Ask{{ID: id, Account: n, DataCentre: r.DataCentre, Ask: r.Ask}}})
	return false
}

func (l *Limiter) refuseWaiters(now time.Time, e *entry) {
	if len(e.waiters) == 0 {
		return
	}
	if e.refuseWaiters(now, l.DataCentres, l.homeKnown(now, SlotOf(e.account.Name))) > 0 {
		l.refusedLately.Add(e.account.Name)
	}
}

// homeKnown reports whether any home of a slot's accounts is known.
func (l *Limiter) homeKnown(now time.Time, s Slot) bool {
	if l.homes.holds(now, s) {
		return true
	}
	for _, d := range l.DataCentres {
		if _, ok := l.holders.of(d, s); ok {
			return true
		}
	}
	return false
}

// Handle handles a message of another host.
func (l *Limiter) Handle(now time.Time, from quota.Process, m Message) {
	var out Message
	for _, a := range m.Asks {
		out.Answers = append(out.Answers, l.answer(now, from, a))
	}
	if len(out.Answers) > 0 {
		l.Send(from.Host, out)
	}
	for _, a := range m.Answers {
		l.handleAnswer(now, from.Host, a)
	}
}

func (l *Limiter) answer(now time.Time, from quota.Process, a Ask) Answer {
	a.Process, a.Spender = from, from.Host
	if a.DataCentre == l.DataCentre {
		if g, here := l.grant(now, a.Account, a.Ask); here {
			return Answer{ID: a.ID, Grant: g}
		}
	}
	out := Answer{ID: a.ID, NotHome: true}
	if h, ok := l.holders.of(a.DataCentre, SlotOf(a.Account)); ok && h != from.Host {
		out.Holder = h
	}
	return out
}

func (l *Limiter) handleAnswer(now time.Time, from fleet.Host, a Answer) {
	r, ok := l.pending.take(a.ID)
	if !ok {
		return
	}
	e := r.entry
	if a.NotHome {
		slot := SlotOf(e.account.Name)
		l.holders.drop(r.DataCentre, slot, from)
		if _, known := l.holders.of(r.DataCentre, slot); !known && a.Holder != "" && a.Holder != from {
			l.holders.set(r.DataCentre, slot, a.Holder)
		}
		e.spender.Failed(now, r.DataCentre)
		e.failures++
	} else {
		e.granted(now, r.sentAt, r.HomeRequest, a.Grant)
	}
	l.step(now, e)
	l.activate(e)
}

// Slots is the number of slots into which the accounts of a data centre are divided, and so the largest number of
// hosts of a data centre that are homes. Two versions with different numbers would give an account two homes in a
// data centre, so the number can't be changed in a rolling restart.
const Slots = 16

// Slot is a part of the accounts, all of which have the same home in a data centre.
type Slot int

// SlotOf returns the slot of an account.
func SlotOf(n fleet.Account) Slot { return Slot(xxhash.Sum64String(string(n)) % Slots) }

// SlotSet is a set of slots, a bit for each.
type SlotSet uint32

// Has reports whether a slot is in the set.
func (s SlotSet) Has(n Slot) bool { return s&(1<<n) != 0 }

// With returns the set with one slot more.
func (s SlotSet) With(n Slot) SlotSet { return s | 1<<n }

// Without returns the set with one slot less.
func (s SlotSet) Without(n Slot) SlotSet { return s &^ (1 << n) }

// Len returns the number of slots in the set.
func (s SlotSet) Len() int { return bits.OnesCount32(uint32(s)) }
