// Package share keeps each client account within its rate and burst over the whole
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
package share

import (
	"math"
	"math/rand/v2"
	"time"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/mesh"
)

const (
	// plenty is the part of the burst above which all operations are admitted. The other half
	// is for what the others have admitted but not told of yet: a quarter of a second of
	// an account that sends eight times its usual.
	plenty = 0.5
	// levelOver is the time over which what is left below plenty may be used up, or what was
	// admitted too much is made up for: some reports.
	levelOver = time.Second
	// forgetAfter is when a host that isn't heard, nor on the list, is left out, rememberFor
	// how long its counts are kept: it may be cut off, and come back with the same ones.
	forgetAfter = 3 * time.Second
	rememberFor = time.Minute
	// floorPart is the demand, as a part of the rate, that all hosts together are taken to have
	// at least, evenly.
	floorPart = 0.16
	// demandOver is the time over which demand is averaged.
	demandOver = time.Second
	// toldFor is how long after its last operation an account is told of in each report: two
	// reports of a large fleet, five of a small one. What is lost with both is told by the
	// next operation, or when all is told.
	toldFor = time.Second
	// overdraft is how far, as a part of the burst, the picture of the bucket may fall below
	// nothing before nothing is admitted any more; it is leastOverdraft operations at least.
	overdraft      = 0.05
	leastOverdraft = 1.5
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
	usage map[fleet.Account]told
}

// told is what a host has told of an account, and when that was heard.
type told struct {
	Usage
	at time.Time
}

// demand returns what was asked for of an account when the host was last heard. What it
// hasn't told again has not been asked for since.
func (h *host) demand(n fleet.Account) float64 {
	t := h.usage[n]
	if t.Demand == 0 {
		return 0
	}
	return t.Demand * math.Exp(-h.heard.Sub(t.at).Seconds()/demandOver.Seconds())
}

type account struct {
	rate, burst float64
	// pool is the picture of the fleet's bucket.
	pool float64
	at   time.Time
	// part is which part of the operations is admitted, credit what has come together of it:
	// one operation is admitted for each whole one.
	part, credit float64
	admitted     uint64
	// demand is the moving average of what is asked for, as of demandAt; changed is when
	// anything was last asked for or given back.
	demand   float64
	demandAt time.Time
	changed  time.Time
	// kept is the part of the rate that was asked of the hosts which can be heard, when all
	// could.
	kept float64
	// spilled is what has not come into the pool since then, because it was full or is for
	// the others.
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
		h = &host{epoch: epoch, usage: map[fleet.Account]told{}}
		f.hosts[from] = h
	}
	// What hosts have admitted before this process began is none of its matter.
	baseline := !known && now.Sub(f.began) < demandOver
	late := now.Sub(h.heard) > f.fresh()
	h.seq, h.heard = seq, now
	for _, u := range us {
		before, met := h.usage[u.Account]
		h.usage[u.Account] = told{u, now}
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
	side := f.side(now, a, c.Name)
	a.refill(now, side)
	level := a.pool - f.untold(now, a, c.Name)
	a.part = f.part(a, c.Name, level, side)
	if level < -max(a.burst*side*overdraft, leastOverdraft*side) {
		return a.wait(level, side), false
	}
	a.credit += a.part
	if a.credit < 1 {
		return a.wait(level, side), false
	}
	a.credit--
	a.pool--
	a.admitted++
	return 0, true
}

// part returns which part of an account's operations the hosts that hear each other may admit
// now, for all of them together to admit their side of the rate and, besides, what is left
// in the bucket.
func (f *Fleet) part(a *account, n fleet.Account, level, side float64) float64 {
	if level >= a.burst*side*plenty {
		return 1
	}
	rate := a.rate*side + level/levelOver.Seconds()
	return min(1, max(rate, 0)/max(f.demand(a, n), 1))
}

// demand returns what is asked for of an account, a second, on all hosts that are heard. One
// that was never heard is taken to be asked for as much as this one.
func (f *Fleet) demand(a *account, n fleet.Account) float64 {
	sum := a.demand
	for name := range f.members {
		if h := f.hosts[name]; h == nil {
			sum += a.demand
		} else {
			sum += h.demand(n)
		}
	}
	return sum
}

// wait says when a refused caller is to come back: when what was admitted too much is made
// up for, and by how much more is asked for than may be admitted.
func (a *account) wait(level, side float64) time.Duration {
	rate := a.rate * side
	d := max(-level, 0)/rate + minWait.Seconds()/max(a.part, minWait.Seconds())
	return min(max(time.Duration(d*float64(time.Second)), minWait), maxWait)
}

// Return gives back an operation that was admitted and not run: the account would else
// pay for what it was refused, as when a primary is lost and all its callers try again.
func (f *Fleet) Return(n fleet.Account) {
	a := f.accounts[n]
	if a == nil || a.admitted == 0 {
		return
	}
	a.admitted--
	a.changed = a.at
	a.pool++
	a.credit = min(a.credit+1, 2)
}

func (f *Fleet) account(now time.Time, c catalog.Account) *account {
	a := f.accounts[c.Name]
	if a == nil {
		a = &account{at: now, demandAt: now, part: 1, credit: rand.Float64(), rate: c.Rate, burst: max(c.Burst, 1)}
		a.pool = f.firstPool(now, c) * f.side(now, a, c.Name)
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
			left -= h.demand(c.Name)
		}
	}
	return min(c.Burst, c.Burst*firstPart+max(left, 0)*now.Sub(f.began).Seconds())
}

// untold guesses what the other hosts have admitted since their last reports: the same part
// as this one of what is asked of them. Without it each host gives away, in a sudden flood,
// what all believe to be left.
func (f *Fleet) untold(now time.Time, a *account, n fleet.Account) float64 {
	sum := 0.0
	for name, h := range f.hosts {
		if silent := now.Sub(h.heard); f.members.Has(name) && silent <= f.fresh() {
			sum += min(h.demand(n)*a.part, a.rate) * silent.Seconds()
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
		if h := f.hosts[n]; h == nil || now.Sub(h.heard) > f.fresh() {
			return false
		}
	}
	return true
}

// side returns the part of the rate that the hosts which are heard may admit: what was asked
// of them, of all that was asked for.
//
// While a host isn't heard that part doesn't grow: the other side of a cut sees its own
// demand grow as well, and both would add up to twice the rate.
func (f *Fleet) side(now time.Time, a *account, n fleet.Account) float64 {
	if f.members == nil {
		return 1.0 / unknownHosts
	}
	if f.whole(now) {
		a.kept, a.spilled = 1, 0
		return 1
	}
	floor := a.rate * floorPart / float64(1+len(f.members))
	heard, all := a.demand+floor, a.demand+floor
	for name := range f.members {
		h := f.hosts[name]
		if h == nil {
			all += a.demand + floor
			continue
		}
		d := h.demand(n) + floor
		all += d
		if now.Sub(h.heard) <= f.fresh() {
			heard += d
		}
	}
	s := heard / all
	if a.kept == 0 || a.kept == 1 {
		a.kept = s
	}
	return min(s, a.kept)
}

// counts reports whether a host has a share of the rates: it is on the list, or was heard
// lately.
func (f *Fleet) counts(now time.Time, n fleet.Host, h *host) bool {
	return f.members.Has(n) || now.Sub(h.heard) <= forgetAfter
}

// refill adds to the picture of the bucket what has come since, for the hosts that are heard.
func (a *account) refill(now time.Time, side float64) {
	d := now.Sub(a.at).Seconds()
	a.at = now
	a.pool += a.rate * side * d
	over := max(0, a.pool-a.burst*side)
	a.pool -= over
	a.spilled += a.rate*(1-side)*d + over
}

// ask counts one operation into the demand.
func (a *account) ask(now time.Time) {
	a.decay(now)
	a.changed = now
	a.demand += 1 / demandOver.Seconds()
}

// decay lets the demand fall by the time that has passed.
func (a *account) decay(now time.Time) {
	d := now.Sub(a.demandAt).Seconds() / demandOver.Seconds()
	a.demandAt = now
	a.demand *= math.Exp(-d)
}

// Usage returns what this host has to tell of its accounts: of those that were asked for
// lately, or of all. Whoever hears of all now and then misses nothing for long, as counts
// are running totals.
func (f *Fleet) Usage(now time.Time, all bool) []Usage {
	var out []Usage
	for n, a := range f.accounts {
		if !all && now.Sub(a.changed) > toldFor {
			continue
		}
		a.decay(now)
		out = append(out, Usage{Account: n, Admitted: a.admitted, Demand: a.demand})
	}
	return out
}

// fresh is how old the report of a host may be for the picture to count as whole.
func (f *Fleet) fresh() time.Duration { return mesh.PaceOf(1 + len(f.members)).Fresh }
