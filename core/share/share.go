// Package share keeps each client account within its rate and burst over the whole
// fleet, without a call for each operation: hosts tell each other several times a
// second what they have admitted and how much is asked for.
//
// Each host keeps two buckets of tokens for an account. One is its picture of the whole
// fleet's: what it admits is taken at once, what others admit when they tell of it. The
// other is its own share of the rate, by what is asked for on each host. While plenty is
// left in the first, whoever is asked admits: callers are spread unevenly, and none is
// to be refused on one host while another has tokens to spare. When little is left, or
// some host can't be heard, the shares bind, which add up to the whole.
package share

import (
	"math"
	"time"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
)

const (
	// plenty is the part of the burst above which the shares don't bind. The other half
	// is for what the others have admitted but not told of yet: a quarter of a second of
	// an account that sends eight times its usual.
	plenty = 0.5
	// freshFor is how old the report of a host may be for the picture to count as whole:
	// three reports in a row were lost otherwise.
	freshFor = 700 * time.Millisecond
	// forgetAfter is when a host that isn't heard, nor on the list, is left out, rememberFor
	// how long its counts are kept: it may be cut off, and come back with the same ones.
	forgetAfter = 3 * time.Second
	rememberFor = time.Minute
	// floorPart is the demand, as a part of the rate, that each host is taken to have at
	// least, so that the first callers on a host find some tokens.
	floorPart = 0.02
	// demandOver is the time over which demand is averaged.
	demandOver = time.Second
	// leastOwn is the least that a share holds, in operations.
	leastOwn = 1.5
	// overdraft is how far, as a part of the burst, the picture of the whole may fall below
	// nothing before shares that are out of step are stopped.
	overdraft = 0.05
	// unknownHosts stands for the number of hosts until the list of them is known.
	unknownHosts = 8
	// firstPart is the part of the burst that a process begins with: all hosts may start
	// at once, after others have spent the burst.
	firstPart = 0.55
	// minWait keeps a refused caller from coming back at once, maxWait from staying away
	// once others have gone.
	minWait = 50 * time.Millisecond
	maxWait = time.Second
)

// Usage is what one host tells of one account.
type Usage struct {
	Account fleet.Account
	// Admitted counts operations since the host's process began, less those returned,
	// Demand those asked for, a second.
	Admitted uint64
	Demand   float64
}

// Fleet keeps the accounts' rates on one host. The zero Fleet works.
type Fleet struct {
	accounts map[fleet.Account]*account
	hosts    map[fleet.Host]*host
	members  fleet.Set[fleet.Host]
	began    time.Time
}

type host struct {
	epoch uint64
	seq   uint64
	heard time.Time
	usage map[fleet.Account]Usage
}

type account struct {
	rate, burst float64
	// pool is the picture of the fleet's bucket, own the host's share of it.
	pool, own float64
	at        time.Time
	admitted  uint64
	// demand is the moving average of what is asked for, as of demandAt.
	demand   float64
	demandAt time.Time
	// kept is the share when all hosts were last heard.
	kept float64
	// spilled is what has come into the full pool since then.
	spilled float64
}

// Members tells which other hosts there are.
func (f *Fleet) Members(now time.Time, hs []fleet.Host) {
	f.start(now)
	f.members = fleet.NewSet(hs...)
	for n, h := range f.hosts {
		if !f.members.Has(n) && now.Sub(h.heard) > rememberFor {
			delete(f.hosts, n)
		}
	}
}

func (f *Fleet) start(now time.Time) {
	if f.accounts == nil {
		f.accounts = map[fleet.Account]*account{}
		f.hosts = map[fleet.Host]*host{}
		f.began = now
	}
}

// Heard takes in another host's report. Reports of one process that are late or doubled
// change nothing.
func (f *Fleet) Heard(now time.Time, from fleet.Host, epoch, seq uint64, us []Usage) {
	f.start(now)
	h := f.hosts[from]
	known := h != nil
	if known && h.epoch == epoch && seq <= h.seq {
		return
	}
	if !known || h.epoch != epoch {
		h = &host{epoch: epoch, usage: map[fleet.Account]Usage{}}
		f.hosts[from] = h
	}
	// What hosts have admitted before this process began is none of its matter.
	baseline := !known && now.Sub(f.began) < demandOver
	late := now.Sub(h.heard) > freshFor
	h.seq, h.heard = seq, now
	for _, u := range us {
		before, met := h.usage[u.Account]
		h.usage[u.Account] = u
		a := f.accounts[u.Account]
		if a == nil || baseline {
			continue
		}
		news := float64(u.Admitted) - float64(before.Admitted)
		if !met {
			// The first word of a process may count from long ago: no more than the last of
			// it is still to be made up for.
			news = min(news, u.Demand*demandOver.Seconds())
		}
		a.told(news, late)
	}
}

// told takes from the picture of the bucket what another host has admitted. late tells that
// the host wasn't heard for a while.
//
// The guard is for the end of a cut. The picture was refilled meanwhile as if the other side
// had stood still, and was full most of the time; to take all that the other side has
// admitted from it at once had callers within their rate refused on all hosts, for a second
// and more. What came when the picture was full was lost to it, and covers the late news.
func (a *account) told(news float64, late bool) {
	if late {
		covered := max(min(news, a.spilled), 0)
		a.spilled -= covered
		news -= covered
	}
	a.pool -= news
}

// Admit takes one operation from an account's rate, or says when to come back.
func (f *Fleet) Admit(now time.Time, c catalog.Account) (time.Duration, bool) {
	if c.Rate <= 0 {
		return 0, true
	}
	f.start(now)
	a := f.account(now, c)
	a.ask(now)
	s := f.share(now, a, c.Name)
	a.refill(now, c, s)
	pool := a.pool - f.untold(now, a, c.Name)
	free := pool >= a.burst*plenty && f.whole(now)
	if !free && a.own < 1 || pool < -max(a.burst*overdraft, leastOwn) {
		missing := max(1-a.own, leastOwn/2) / (a.rate * s)
		return min(max(time.Duration(missing*float64(time.Second)), minWait), maxWait), false
	}
	a.pool--
	a.own = max(a.own-1, -a.ownCap(s))
	a.admitted++
	return 0, true
}

// Return gives back an operation that was admitted and not run: the account would else
// pay for what it was refused, as when a primary is lost and all its callers try again.
func (f *Fleet) Return(n fleet.Account) {
	a := f.accounts[n]
	if a == nil || a.admitted == 0 {
		return
	}
	a.admitted--
	a.pool++
	a.own++
}

func (f *Fleet) account(now time.Time, c catalog.Account) *account {
	a := f.accounts[c.Name]
	if a == nil {
		a = &account{at: now, demandAt: now, rate: c.Rate, pool: f.firstPool(now, c)}
		a.own = a.pool * f.share(now, a, c.Name)
		f.accounts[c.Name] = a
	}
	a.rate, a.burst = c.Rate, max(c.Burst, 1)
	return a
}

// firstPool guesses what the fleet's bucket holds of an account that is asked for here for
// the first time: little when the process begins, and what others have left since.
func (f *Fleet) firstPool(now time.Time, c catalog.Account) float64 {
	left := c.Rate
	for name, h := range f.hosts {
		if f.counts(now, name, h) {
			left -= h.usage[c.Name].Demand
		}
	}
	return min(c.Burst, c.Burst*firstPart+max(left, 0)*now.Sub(f.began).Seconds())
}

// untold guesses what the other hosts have admitted since their last reports: what is
// asked of them, for as long, but no longer than it takes for the shares to bind. Without
// it each host gives away, in a sudden flood, what all believe to be left.
func (f *Fleet) untold(now time.Time, a *account, n fleet.Account) float64 {
	sum := 0.0
	for name, h := range f.hosts {
		if f.members.Has(name) {
			sum += min(h.usage[n].Demand, a.rate) * min(now.Sub(h.heard), freshFor).Seconds()
		}
	}
	return sum
}

// whole reports whether all other hosts have told lately what they admit.
func (f *Fleet) whole(now time.Time) bool {
	if f.members == nil {
		return false
	}
	for n := range f.members {
		if h := f.hosts[n]; h == nil || now.Sub(h.heard) > freshFor {
			return false
		}
	}
	return true
}

// share returns this host's part of the rate: its part of the demand.
//
// While a host isn't heard no share grows: the other side of a cut sees its own demand
// grow as well, and the shares of both would add up to twice the rate.
func (f *Fleet) share(now time.Time, a *account, n fleet.Account) float64 {
	if f.members == nil {
		return 1.0 / unknownHosts
	}
	s := f.demanded(now, a, n)
	if f.whole(now) {
		a.kept, a.spilled = s, 0
		return s
	}
	if a.kept == 0 {
		a.kept = 1 / float64(1+len(f.members))
	}
	return min(s, a.kept)
}

// counts reports whether a host has a share of the rates: it is on the list, or was heard
// lately.
func (f *Fleet) counts(now time.Time, n fleet.Host, h *host) bool {
	return f.members.Has(n) || now.Sub(h.heard) <= forgetAfter
}

// demanded returns the part of an account's demand that is asked of this host.
func (f *Fleet) demanded(now time.Time, a *account, n fleet.Account) float64 {
	floor := a.rate * floorPart
	mine := a.demand + floor
	sum := mine
	for name, h := range f.hosts {
		if f.counts(now, name, h) {
			sum += h.usage[n].Demand + floor
		}
	}
	for name := range f.members {
		if f.hosts[name] == nil {
			// A host that was never heard is taken to be asked for as much as this one.
			sum += mine
		}
	}
	return mine / sum
}

func (a *account) refill(now time.Time, c catalog.Account, s float64) {
	d := now.Sub(a.at).Seconds()
	a.at = now
	a.pool += c.Rate * d
	a.spilled += max(0, a.pool-a.burst)
	a.pool = min(a.burst, a.pool)
	a.own = min(a.ownCap(s), a.own+c.Rate*s*d)
}

// ownCap is what the host's share of the bucket holds: its part of the half that is not
// admitted freely, and no less than it takes to admit one operation now and then.
func (a *account) ownCap(s float64) float64 {
	return max(a.burst*(1-plenty)*s, leastOwn)
}

// ask counts one operation into the demand.
func (a *account) ask(now time.Time) {
	a.decay(now)
	a.demand += 1 / demandOver.Seconds()
}

// decay lets the demand fall by the time that has passed.
func (a *account) decay(now time.Time) {
	d := now.Sub(a.demandAt).Seconds() / demandOver.Seconds()
	a.demandAt = now
	a.demand *= math.Exp(-d)
}

// Usage returns what this host has to tell of its accounts.
func (f *Fleet) Usage(now time.Time) []Usage {
	out := make([]Usage, 0, len(f.accounts))
	for n, a := range f.accounts {
		a.decay(now)
		out = append(out, Usage{Account: n, Admitted: a.admitted, Demand: a.demand})
	}
	return out
}
