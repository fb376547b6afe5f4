package ratelimit

import (
	"time"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/quota"
)

// homes are the homes on this host.
type homes struct {
	held  SlotSet
	until time.Time
	// heldSince is when each slot was acquired.
	heldSince [Slots]time.Time
	byAccount map[fleet.Account]*quota.Home
	// left are the tokens that former holders have left to homes that aren't started yet.
	left   Leftovers
	lastID quota.GrantID

	version  document.Version
	accounts map[fleet.Account]catalog.Account
}

// idsPerHome is the number of grant ids reserved for one tenure of a home.
const idsPerHome = 1 << 20

// SetAccounts puts the accounts of a version of the catalog in effect.
func (l *Limiter) SetAccounts(c *catalog.Catalog) {
	l.homes.version, l.homes.accounts = document.Version(c.Version), c.Accounts
}

// Leftovers are the tokens that a holder has left in its homes, by account.
type Leftovers map[fleet.Account]float64

// Hold tells which slots this host holds, and until when. It grants nothing of other slots, and nothing after that
// time. The caller has made sure that no other host grants of these slots meanwhile, or did so less than
// quota.GrantCountedFor before this call; its tokens in use are counted as spent. left are the tokens that the last
// holders of new slots have left, which nobody else uses.
func (l *Limiter) Hold(now time.Time, held SlotSet, until time.Time, left Leftovers) {
	h := &l.homes
	for s := range Slot(Slots) {
		if held.Has(s) && !h.holds(now, s) {
			h.heldSince[s] = now
			h.drop(s)
		}
	}
	h.held, h.until = held, until
	for n, tokens := range left {
		if h.left == nil {
			h.left = Leftovers{}
		}
		h.left[n] = tokens
	}
}

// Release stops all homes and returns the tokens that are left in them, by slot.
func (l *Limiter) Release(now time.Time) map[Slot]Leftovers {
	out := map[Slot]Leftovers{}
	for n, c := range l.homes.accounts {
		s := SlotOf(n)
		if c.Rate <= 0 || !l.homes.holds(now, s) {
			continue
		}
		if level := l.homeOf(n, c).Level(now); level >= 1 {
			if out[s] == nil {
				out[s] = Leftovers{}
			}
			out[s][n] = level
		}
	}
	l.Hold(now, 0, time.Time{}, nil)
	return out
}

// Held returns the slots that this host holds.
func (l *Limiter) Held(now time.Time) SlotSet {
	if !now.Before(l.homes.until) {
		return 0
	}
	return l.homes.held
}

func (h *homes) holds(now time.Time, s Slot) bool { return h.held.Has(s) && now.Before(h.until) }

// drop forgets the homes of a slot.
func (h *homes) drop(s Slot) {
	for n := range h.byAccount {
		if SlotOf(n) == s {
			delete(h.byAccount, n)
		}
	}
	for n := range h.left {
		if SlotOf(n) == s {
			delete(h.left, n)
		}
	}
}

// forget drops the homes that would be the same if they were started again.
func (h *homes) forget(now time.Time) {
	for n, home := range h.byAccount {
		if home.Full(now) {
			delete(h.byAccount, n)
		}
	}
}

// grant answers a request if this host is the account's home.
func (l *Limiter) grant(now time.Time, n fleet.Account, a quota.Ask) (quota.Grant, bool) {
	h := &l.homes
	c, known := h.accounts[n]
	if !known || !h.holds(now, SlotOf(n)) {
		return quota.Grant{}, false
	}
	home := l.homeOf(n, c)
	home.SetShare(now, h.version, l.share(c), true)
	return home.Ask(now, a), true
}

func (l *Limiter) share(c catalog.Account) quota.Share {
	return quota.ShareOf(c.Rate, c.Burst, "", c.Name, l.DataCentre, l.DataCentres)
}

// homeOf returns the home of an account whose slot is held.
func (l *Limiter) homeOf(n fleet.Account, c catalog.Account) *quota.Home {
	if home := l.homes.byAccount[n]; home != nil {
		return home
	}
	return l.homes.start(n, l.share(c), l.Process)
}

// start starts a home as of when its slot was acquired, since when it has granted nothing, with what was left to it.
func (h *homes) start(n fleet.Account, s quota.Share, self quota.Process) *quota.Home {
	if h.byAccount == nil {
		h.byAccount = map[fleet.Account]*quota.Home{}
		h.lastID = quota.FirstGrantID(self)
	}
	h.lastID += idsPerHome
	home := &quota.Home{}
	home.Start(h.heldSince[SlotOf(n)], h.version, s, h.lastID, h.left[n])
	delete(h.left, n)
	h.byAccount[n] = home
	return home
}

// holders are the hosts that hold the slots of each data centre, as they have reported.
type holders struct {
	bySlot map[fleet.DataCentre]*[Slots]fleet.Host
}

// SetHolder notes which slots of its data centre a host reports to hold.
func (l *Limiter) SetHolder(h fleet.Host, d fleet.DataCentre, held SlotSet) {
	for s := range Slot(Slots) {
		if held.Has(s) {
			l.holders.set(d, s, h)
			continue
		}
		l.holders.drop(d, s, h)
	}
}

func (h *holders) set(d fleet.DataCentre, s Slot, host fleet.Host) {
	if h.bySlot == nil {
		h.bySlot = map[fleet.DataCentre]*[Slots]fleet.Host{}
	}
	if h.bySlot[d] == nil {
		h.bySlot[d] = &[Slots]fleet.Host{}
	}
	h.bySlot[d][s] = host
}

func (h *holders) of(d fleet.DataCentre, s Slot) (fleet.Host, bool) {
	hosts := h.bySlot[d]
	if hosts == nil || hosts[s] == "" {
		return "", false
	}
	return hosts[s], true
}

// drop forgets that a host holds a slot.
func (h *holders) drop(d fleet.DataCentre, s Slot, host fleet.Host) {
	if hosts := h.bySlot[d]; hosts != nil && hosts[s] == host {
		hosts[s] = ""
	}
}

// Holders returns the hosts that hold the slots of a data centre, as far as they are known; the name of an unknown one
// is empty.
func (l *Limiter) Holders(d fleet.DataCentre) [Slots]fleet.Host {
	if hosts := l.holders.bySlot[d]; hosts != nil {
		return *hosts
	}
	return [Slots]fleet.Host{}
}
