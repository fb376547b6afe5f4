package quota

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"skylarkdeal/core/fleet"
)

// source is what a spender knows of one data centre's home.
type source struct {
	// asked is when the request in flight was sent; zero when none is.
	asked time.Time
	// not is the time before which the home has nothing to give.
	not     time.Time
	reports []Report
}

// Spender holds the tokens of one account on one host. Take may be called by any
// goroutine; all else belongs to one.
type Spender struct {
	Host fleet.Host
	// Own is the host's data centre, whose home is asked first.
	Own fleet.DataCentre

	// current is the stock that Take spends.
	current atomic.Pointer[stock]
	stocks  []*stock
	sources map[fleet.DataCentre]*source
	demand  demand
	taken   atomic.Int64
	// stocked is when stock was last asked for with nothing waiting.
	stocked time.Time
}

// HomeRequest is an Ask with the data centre whose home is to be asked.
type HomeRequest struct {
	DataCentre fleet.DataCentre
	Ask        Ask
}

// stockEvery is the least time between two asks for stock alone.
const stockEvery = GrantLifetime / 4

// hedgeAfter is how long an answer is waited for before another home is asked as
// well: some round trips between data centres. A home that has just died then
// costs an exchange that much, and not its patience.
const hedgeAfter = 15 * time.Millisecond

// AskTimeout is how long an answer of a home is waited for before another ask.
const AskTimeout = 100 * time.Millisecond

// Take spends n tokens and reports whether they were at hand.
func (s *Spender) Take(now time.Time, n Tokens) bool {
	c := s.current.Load()
	if c == nil || !c.take(now, n) {
		return false
	}
	s.taken.Add(int64(n))
	return true
}

// TakeAny is Take from any of the stocks; it also makes the oldest one with
// something left the current one.
func (s *Spender) TakeAny(now time.Time, n Tokens) bool {
	s.tidy(now)
	for _, c := range s.stocks {
		if c.take(now, n) {
			s.taken.Add(int64(n))
			s.current.Store(c)
			return true
		}
	}
	return false
}

// tidy drops the stocks that are spent or have expired, and notes the report of
// each for its home.
func (s *Spender) tidy(now time.Time) {
	s.stocks = slices.DeleteFunc(s.stocks, func(c *stock) bool {
		if c.left.Load() > 0 && now.Before(c.until) {
			return false
		}
		s.settle(c)
		return true
	})
}

// settle gives back what is left of c with the next ask of its home. What the
// home has counted as expired by then it ignores.
func (s *Spender) settle(c *stock) {
	o := s.source(c.from)
	o.reports = append(o.reports, Report{Grant: c.id, Left: c.close(), Closed: true})
	if n := len(o.reports); n > maxReports {
		o.reports = slices.Delete(o.reports, 0, n-maxReports)
	}
}

// maxReports bounds the reports kept for a home that can't be reached; those
// lost would have been of grants that expire there anyway.
const maxReports = 32

func (s *Spender) source(d fleet.DataCentre) *source {
	if s.sources == nil {
		s.sources = map[fleet.DataCentre]*source{}
	}
	o := s.sources[d]
	if o == nil {
		o = &source{}
		s.sources[d] = o
	}
	return o
}

// Next returns the ask to send now, if any, when waiting tokens are wanted by
// exchanges that wait.
//
// The home of the own data centre comes first, being nearest; another is asked
// only when those before have said that they have nothing, one at a time, so
// that a small want doesn't empty several buckets. Stock is laid in for half a
// GrantLifetime of recent demand, from the own data centre only: a busy account costs
// a host twenty messages a second at any rate, an idle one none.
func (s *Spender) Next(now time.Time, waiting Tokens, all []fleet.DataCentre) (HomeRequest, bool) {
	s.tidy(now)
	s.demand.update(now, s.taken.Load())
	have := s.Left(now)
	stockUp := Tokens(math.Ceil(s.demand.perSecond * (GrantLifetime / 2).Seconds()))
	order := s.order(all)
	if waiting <= have {
		if have >= (stockUp+1)/2 || s.demand.idle(now) || now.Sub(s.stocked) < stockEvery {
			return HomeRequest{}, false
		}
		s.stocked = now
		order = order[:min(1, len(order))]
	}
	for _, d := range order {
		o := s.source(d)
		if flight := now.Sub(o.asked); !o.asked.IsZero() && flight < AskTimeout {
			if flight < hedgeAfter {
				return HomeRequest{}, false
			}
			continue
		}
		if now.Before(o.not) {
			continue
		}
		o.asked = now
		a := Ask{
			Spender: s.Host, Urgent: max(0, waiting-have),
			Ahead: max(0, stockUp-have), Reports: s.reports(d),
		}
		return HomeRequest{DataCentre: d, Ask: a}, true
	}
	return HomeRequest{}, false
}

// order returns the data centres in the order in which they are asked.
func (s *Spender) order(all []fleet.DataCentre) []fleet.DataCentre {
	i := slices.Index(all, s.Own)
	if i <= 0 {
		return all
	}
	return append(slices.Clone(all[i:]), all[:i]...)
}

// reports returns what the home of d is to be told: the grants that have ended
// since, and what is left of the others.
func (s *Spender) reports(d fleet.DataCentre) []Report {
	o := s.source(d)
	out := slices.Clone(o.reports)
	for _, c := range s.stocks {
		if c.from == d {
			out = append(out, Report{Grant: c.id, Left: Tokens(c.left.Load())})
		}
	}
	return out
}

// Granted takes in the answer of d's home to an ask that was sent at sent. The
// grant's life counts from then, which was before the home made it.
func (s *Spender) Granted(now, sent time.Time, d fleet.DataCentre, a Ask, g Grant) {
	o := s.source(d)
	o.asked = time.Time{}
	told := len(a.Reports)
	o.reports = slices.DeleteFunc(o.reports, func(r Report) bool {
		return slices.Contains(a.Reports[:told], r)
	})
	if g.Tokens < a.Urgent || g.Tokens == 0 {
		o.not = now.Add(max(g.RetryAfter, minPause))
	}
	if g.Tokens <= 0 {
		return
	}
	c := &stock{from: d, id: g.ID, until: sent.Add(GrantLifetime)}
	c.left.Store(int64(g.Tokens))
	s.stocks = append(s.stocks, c)
	if cur := s.current.Load(); cur == nil || cur.left.Load() == 0 || !now.Before(cur.until) {
		s.current.Store(c)
	}
}

// minPause is how long a spender waits before it asks a home again that had too
// little: for an account far above its rate, whose every token is waited for at
// every host, asks would otherwise come as often as tokens. It is a sixth of the
// time that an exchange waits, so that it refuses nobody.
const minPause = 40 * time.Millisecond

// Failed notes that d's home didn't answer: it isn't asked for a while, so that
// a cut costs each exchange at most one wait.
func (s *Spender) Failed(now time.Time, d fleet.DataCentre) {
	o := s.source(d)
	o.asked = time.Time{}
	o.not = now.Add(failedPause)
}

// failedPause is how long a home that failed is not asked.
const failedPause = 100 * time.Millisecond

// Earliest returns when a home may have tokens again: now when an answer is
// awaited or a home can be asked.
func (s *Spender) Earliest(now time.Time, all []fleet.DataCentre) time.Time {
	var at time.Time
	for _, d := range all {
		o := s.source(d)
		if !o.asked.IsZero() || !now.Before(o.not) {
			return now
		}
		if at.IsZero() || o.not.Before(at) {
			at = o.not
		}
	}
	return at
}

// Left returns the tokens at hand.
func (s *Spender) Left(now time.Time) Tokens {
	var n Tokens
	for _, c := range s.stocks {
		if now.Before(c.until) {
			n += Tokens(c.left.Load())
		}
	}
	return n
}

// ReturnAll ends all stocks and returns, for each home, the ask that gives the
// unspent tokens back, so that the hosts that stay can use them at once.
func (s *Spender) ReturnAll() []HomeRequest {
	for _, c := range s.stocks {
		s.settle(c)
	}
	s.stocks = nil
	var out []HomeRequest
	for d, o := range s.sources {
		if len(o.reports) > 0 {
			out = append(out, HomeRequest{DataCentre: d, Ask: Ask{Spender: s.Host, Reports: o.reports}})
			o.reports = nil
		}
	}
	return out
}

// Idle reports whether nothing was taken for d.
func (s *Spender) Idle(now time.Time, d time.Duration) bool {
	return now.Sub(s.demand.last) > d
}

// Soonest returns the least time until n tokens may be at hand, if no other host
// wanted any: whole is the account's whole rate and burst. An exchange that has
// so many before it and itself to wait for can't be let through any earlier.
func (s *Spender) Soonest(now time.Time, whole Share, n Tokens, all []fleet.DataCentre) time.Duration {
	if whole.Rate <= 0 {
		return time.Second
	}
	wait := max(0, s.Earliest(now, all).Sub(now))
	more := float64(n - s.Left(now) - 1)
	if wait == 0 {
		more = float64(n-s.Left(now)) - whole.Burst
	}
	return wait + time.Duration(max(0, more)/whole.Rate*float64(time.Second))
}
