// Package ratelimit keeps each client account within its rate and burst over the whole
// fleet, without a call for each operation: hosts tell each other several times a
// second what they have admitted and how much is asked for.
//
// Each host keeps a picture of the fleet's bucket of tokens for an account: what it admits is
// taken at once, what others admit when they tell of it. While plenty is left, whoever is
// asked admits. When little is left each host admits one in so many of the operations that
// it is asked for, the same part everywhere, so that all hosts together admit the rate:
// callers are spread unevenly and, of a small account, thinly, so that a part of the rate for
// each host would be left unused on most. While some hosts can't be heard, those that hear
// each other share the part of the rate that was asked of them before.
package ratelimit

import (
	"math/rand/v2"
	"time"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
)

const (
	// fullAdmissionLevel is the part of the burst above which all operations are admitted. The other half
	// is for what the others have admitted but not told of yet: a quarter of a second of
	// an account that sends eight times its usual.
	fullAdmissionLevel = 0.5
	// levelCorrectionTime is the time over which what is left below plenty may be used up, or what was
	// admitted too much is made up for: some reports.
	levelCorrectionTime = time.Second
	// unlistedHostExpiry is when a host that isn't heard, nor on the list, is left out, rememberFor
	// how long its counts are kept: it may be cut off, and come back with the same ones.
	unlistedHostExpiry = 3 * time.Second
	countsKeptFor      = time.Minute
	// demandFloor is the demand, as a part of the rate, that all hosts together are taken to have
	// at least, evenly.
	demandFloor = 0.16
	// demandWindow is the time over which demand is averaged.
	demandWindow = time.Second
	// reportedFor is how long after its last operation an account is told of in each report: two
	// reports of a large fleet, five of a small one. What is lost with both is told by the
	// next operation, or when all is told.
	reportedFor = time.Second
	// maxOverdraft is how far, as a part of the burst, the picture of the bucket may fall below
	// nothing before nothing is admitted any more; it is leastOverdraft operations at least.
	maxOverdraft = 0.05
	minOverdraft = 1.5
	// assumedHosts stands for the number of hosts until the list of them is known.
	assumedHosts = 8
	// initialFraction is the part of the burst that a process begins with: all hosts may start
	// at once, after others have spent the burst.
	initialFraction = 0.55
	// minRetryAfter keeps a refused caller from coming back at once, maxWait from staying away
	// once others have gone.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
)

// Usage is what one host tells of one account.
type Usage struct {
	Account fleet.Account
	// Admitted counts operations since the host's process began, less those returned,
	// Demand those asked for, a second.
	Admitted uint64
	Demand   float64
}

// Limiter keeps the accounts' rates on one host. The zero Limiter works.
type Limiter struct {
	accounts  map[fleet.Account]*account
	hosts     map[fleet.Host]*host
	peers     fleet.Set[fleet.Host]
	startedAt time.Time
}

func (f *Limiter) initialise(now time.Time) {
	if f.accounts == nil {
		f.accounts = map[fleet.Account]*account{}
		f.hosts = map[fleet.Host]*host{}
		f.startedAt = now
	}
}

// Admit takes one operation from an account's rate, or says when to come back.
func (f *Limiter) Admit(now time.Time, c catalog.Account) (time.Duration, bool) {
	if c.Rate <= 0 {
		return 0, true
	}
	f.initialise(now)
	a := f.account(now, c)
	a.countRequest(now)
	reachable := f.reachableFraction(now, a, c.Name)
	a.refill(now, reachable)
	level := a.tokens - f.unreported(now, a, c.Name)
	a.admittedFraction = f.admittedFraction(a, c.Name, level, reachable)
	if level < -max(a.burst*reachable*maxOverdraft, minOverdraft*reachable) {
		return a.retryAfter(level, reachable), false
	}
	a.credit += a.admittedFraction
	if a.credit < 1 {
		return a.retryAfter(level, reachable), false
	}
	a.credit--
	a.tokens--
	a.admitted++
	return 0, true
}

// admittedFraction returns which admittedFraction of an account's operations the hosts that hear each other may admit
// now, for all of them together to admit their side of the rate and, besides, what is left
// in the bucket.
func (f *Limiter) admittedFraction(a *account, n fleet.Account, level, reachable float64) float64 {
	if level >= a.burst*reachable*fullAdmissionLevel {
		return 1
	}
	rate := a.rate*reachable + level/levelCorrectionTime.Seconds()
	return min(1, max(rate, 0)/max(f.demand(a, n), 1))
}

// demand returns what is asked for of an account, a second, on all hosts that are heard. One
// that was never heard is taken to be asked for as much as this one.
func (f *Limiter) demand(a *account, n fleet.Account) float64 {
	sum := a.demand
	for name := range f.peers {
		if h := f.hosts[name]; h == nil {
			sum += a.demand
		} else {
			sum += h.demand(n)
		}
	}
	return sum
}

// Refund gives back an operation that was admitted and not run: the account would else
// pay for what it was refused, as when a primary is lost and all its callers try again.
func (f *Limiter) Refund(n fleet.Account) {
	a := f.accounts[n]
	if a == nil || a.admitted == 0 {
		return
	}
	a.admitted--
	a.changedAt = a.refilledAt
	a.tokens++
	a.credit = min(a.credit+1, 2)
}

func (f *Limiter) account(now time.Time, c catalog.Account) *account {
	a := f.accounts[c.Name]
	if a == nil {
		a = &account{refilledAt: now, demandUpdatedAt: now, admittedFraction: 1, credit: rand.Float64(), rate: c.Rate, burst: max(c.Burst, 1)}
		a.tokens = f.initialTokens(now, c) * f.reachableFraction(now, a, c.Name)
		f.accounts[c.Name] = a
	}
	a.rate, a.burst = c.Rate, max(c.Burst, 1)
	return a
}

// initialTokens guesses what the fleet's bucket holds of an account that is asked for here for
// the first time: little when the process begins, and what others have left since.
func (f *Limiter) initialTokens(now time.Time, c catalog.Account) float64 {
	left := c.Rate
	for name, h := range f.hosts {
		if f.counted(now, name, h) {
			left -= h.demand(c.Name)
		}
	}
	return min(c.Burst, c.Burst*initialFraction+max(left, 0)*now.Sub(f.startedAt).Seconds())
}

// Usage returns what this host has to tell of its accounts: of those that were asked for
// lately, or of all. Whoever hears of all now and then misses nothing for long, as counts
// are running totals.
func (f *Limiter) Usage(now time.Time, all bool) []Usage {
	var out []Usage
	for n, a := range f.accounts {
		if !all && now.Sub(a.changedAt) > reportedFor {
			continue
		}
		a.decayDemand(now)
		out = append(out, Usage{Account: n, Admitted: a.admitted, Demand: a.demand})
	}
	return out
}
