package ratelimit

import (
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/quota"
)

// AccountState is what this host knows of one account that it has refused operations of.
type AccountState struct {
	Account     fleet.Account
	Rate, Burst float64
	// Admitted and Refused count the account's operations on this host, and Failures the requests for tokens that
	// no home answered, since the account was first used here.
	Admitted, Refused, Failures uint64
	// Waiting is how many operations wait for tokens, Tokens how many are at hand.
	Waiting int
	Tokens  quota.Tokens
	// Homes are the hosts that are asked for tokens, by data centre.
	Homes map[fleet.DataCentre]fleet.Host
	// Home is the state of the home on this host, if there is one.
	Home fleet.Option[quota.HomeState]
}

// TakeRefused returns the state of the accounts that were refused operations since the last call.
func (l *Limiter) TakeRefused(now time.Time) []AccountState {
	var out []AccountState
	for n := range l.refusedLately {
		e := l.entries[n]
		if e == nil {
			continue
		}
		s := AccountState{
			Account: n, Rate: e.account.Rate, Burst: e.account.Burst,
			Admitted: e.admitted, Refused: e.refused, Failures: e.failures,
			Waiting: len(e.waiters), Tokens: e.spender.Available(now), Homes: map[fleet.DataCentre]fleet.Host{},
		}
		for _, d := range l.DataCentres {
			s.Homes[d], _ = l.holders.of(d, SlotOf(n))
		}
		if h := l.homes.byAccount[n]; h != nil && l.homes.holds(now, SlotOf(n)) {
			s.Home = fleet.Some(h.State())
		}
		out = append(out, s)
	}
	clear(l.refusedLately)
	return out
}
