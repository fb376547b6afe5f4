package quota

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"skylarkdeal/core/fleet"
)

// homeStatus is what a spender knows of one data centre's home.
type homeStatus struct {
	// requestSentAt is when the pending request was sent; zero when none is.
	requestSentAt time.Time
	// notBefore is the time before which the home isn't asked again: it had too
	// little, or didn't answer.
	notBefore      time.Time
	pendingReports []Report
	// refusedFrom is the most urgent priority to which notBefore applies: more urgent tokens may be granted.
	refusedFrom fleet.Priority
	// failed is set if the last request wasn't answered, callerRetryAfter what the last refusal told.
	failed           bool
	callerRetryAfter time.Duration
	// shortFor is for how long the home had too little.
	shortFor time.Duration
	// returned counts the tokens of ended grants that were returned to the home.
	returned Tokens
}

// Spender holds the tokens of one account on one host. Take may be called by
// any goroutine; all other methods belong to one.
type Spender struct {
	Host fleet.Host
	// Process identifies the spender's process to homes; the zero Process returns no tokens of ended grants.
	Process Process
	// OwnDataCentre is the host's data centre, whose home is asked first.
	OwnDataCentre fleet.DataCentre

	// current is the grant that Take spends.
	current atomic.Pointer[heldGrant]
	grants  []*heldGrant
	homes   map[fleet.DataCentre]*homeStatus
	demand  demand
	taken   atomic.Int64
	// declined is Ask.Declined of the next request to the home of the own data centre.
	declined ByPriority
	// askedAt is when the first request was sent since a home last answered.
	askedAt time.Time
	// prefetchedAt is when tokens were last requested with no exchange waiting.
	prefetchedAt time.Time
}

// HomeRequest is an Ask and the data centre whose home is to be asked.
type HomeRequest struct {
	DataCentre fleet.DataCentre
	Ask        Ask
}

// prefetchInterval is the least time between two requests that only prefetch.
const prefetchInterval = GrantLifetime / 4

// hedgeAfter is how long the answer of a home is awaited before another home is
// asked as well: some round trips between data centres. A home that has just
// failed then delays an exchange by that much, and not up to its timeout.
const hedgeAfter = 15 * time.Millisecond

// AskTimeout is how long the answer of a home is awaited before it may be asked
// again.
const AskTimeout = 100 * time.Millisecond

// Take spends n tokens of the current grant and reports whether it held them.
func (s *Spender) Take(now time.Time, n Tokens) bool {
	held := s.current.Load()
	if held == nil || !held.take(now, n) {
		return false
	}
	s.taken.Add(int64(n))
	return true
}

// TakeAny spends n tokens of the oldest grant that holds as many, and makes
// that grant the current one. It reports whether there was such a grant.
func (s *Spender) TakeAny(now time.Time, n Tokens) bool {
	s.dropEnded(now)
	for _, held := range s.grants {
		if held.take(now, n) {
			s.taken.Add(int64(n))
			s.current.Store(held)
			return true
		}
	}
	return false
}

// dropEnded drops the grants that are spent or have expired, and queues a
// report of each for its home.
func (s *Spender) dropEnded(now time.Time) {
	s.grants = slices.DeleteFunc(s.grants, func(held *heldGrant) bool {
		if held.left.Load() > 0 && now.Before(held.expiresAt) {
			return false
		}
		s.closeGrant(held)
		return true
	})
}

// closeGrant returns what is left of held with the next request to its home.
// The home ignores the report if it has expired the grant by then.
func (s *Spender) closeGrant(held *heldGrant) {
	home := s.home(held.home)
	home.pendingReports = append(home.pendingReports, Report{Grant: held.id, Left: held.close(), Closed: true})
	if n := len(home.pendingReports); n > maxPendingReports {
		home.pendingReports = slices.Delete(home.pendingReports, 0, n-maxPendingReports)
	}
}

// maxPendingReports bounds the reports kept for a home that can't be reached.
// The reports that are dropped are of grants that expire at the home anyway.
const maxPendingReports = 32

func (s *Spender) home(d fleet.DataCentre) *homeStatus {
	if s.homes == nil {
		s.homes = map[fleet.DataCentre]*homeStatus{}
	}
	status := s.homes[d]
	if status == nil {
		status = &homeStatus{}
		s.homes[d] = status
	}
	return status
}

// Next returns the request to send now, if any; waiting is the number of tokens
// that exchanges wait for.
//
// The home of the own data centre comes first, being nearest. Another is asked
// only when those before it have nothing or haven't answered within hedgeAfter,
// one at a time, so that a small demand doesn't empty several buckets. Tokens
// are prefetched for half a GrantLifetime of recent demand, from the own data
// centre only: a busy account costs a host twenty messages a second at any
// rate, an idle one none.
func (s *Spender) Next(now time.Time, waiting Tokens, all []fleet.DataCentre) (HomeRequest, bool) {
	return s.next(now, waiting, 0, all)
}

// NextByPriority is Next for exchanges of several priorities.
func (s *Spender) NextByPriority(now time.Time, waiting ByPriority, all []fleet.DataCentre) (HomeRequest, bool) {
	r, ok := s.next(now, waiting.Sum(), waiting.MostUrgent(), all)
	if ok {
		if r.DataCentre == s.OwnDataCentre {
			r.Ask.Declined, s.declined = s.declined, nil
		}
		r.Ask.Wanted = waiting.Without(waiting.Sum() - r.Ask.Urgent)
	}
	return r, ok
}

func (s *Spender) next(
	now time.Time, waiting Tokens, most fleet.Priority, all []fleet.DataCentre,
) (HomeRequest, bool) {
	s.dropEnded(now)
	s.demand.update(now, s.taken.Load())
	available := s.Available(now)
	prefetch := Tokens(math.Ceil(s.demand.perSecond * (GrantLifetime / 2).Seconds()))
	homes := s.homesInOrder(all)
	if waiting <= available {
		if available >= (prefetch+1)/2 || s.demand.idle(now) || now.Sub(s.prefetchedAt) < prefetchInterval {
			return HomeRequest{}, false
		}
		s.prefetchedAt = now
		homes = homes[:min(1, len(homes))]
	}
	for _, d := range homes {
		home := s.home(d)
		if sinceRequest := now.Sub(home.requestSentAt); !home.requestSentAt.IsZero() && sinceRequest < AskTimeout {
			if sinceRequest < hedgeAfter {
				return HomeRequest{}, false
			}
			continue
		}
		if now.Before(home.notBefore) && most >= home.refusedFrom {
			continue
		}
		home.requestSentAt = now
		if s.askedAt.IsZero() {
			s.askedAt = now
		}
		a := Ask{
			Spender: s.Host, Urgent: max(0, waiting-available),
			Ahead: max(0, prefetch-available), Reports: s.reportsFor(d),
			Process: s.Process, Returned: home.returned,
		}
		return HomeRequest{DataCentre: d, Ask: a}, true
	}
	return HomeRequest{}, false
}

// homesInOrder returns the data centres in the order in which their homes are
// asked, the own one first.
func (s *Spender) homesInOrder(all []fleet.DataCentre) []fleet.DataCentre {
	i := slices.Index(all, s.OwnDataCentre)
	if i <= 0 {
		return all
	}
	return append(slices.Clone(all[i:]), all[:i]...)
}

// reportsFor returns the reports for the home of d: on the grants that have
// ended since, and on what is left of the others.
func (s *Spender) reportsFor(d fleet.DataCentre) []Report {
	home := s.home(d)
	out := slices.Clone(home.pendingReports)
	for _, held := range s.grants {
		if held.home == d {
			held.reported = Tokens(held.left.Load())
			out = append(out, Report{Grant: held.id, Left: held.reported})
		}
	}
	return out
}

// Granted handles the answer of d's home to the request a that was sent at
// sent. The grant's lifetime counts from then, which was before the home made
// it.
func (s *Spender) Granted(now, sent time.Time, d fleet.DataCentre, a Ask, g Grant) {
	home := s.home(d)
	home.requestSentAt = time.Time{}
	reported := len(a.Reports)
	home.pendingReports = slices.DeleteFunc(home.pendingReports, func(r Report) bool {
		return slices.Contains(a.Reports[:reported], r)
	})
	home.failed = false
	s.askedAt = time.Time{}
	if g.Tokens < a.Urgent || g.Tokens == 0 {
		home.notBefore = now.Add(max(g.RetryAfter, minRetryInterval))
		home.refusedFrom = a.Wanted.firstUnmet(g.Urgent)
		home.callerRetryAfter, home.shortFor = g.CallerRetryAfter, g.ShortFor
	}
	if g.Tokens <= 0 {
		return
	}
	held := &heldGrant{home: d, id: g.ID, expiresAt: sent.Add(GrantLifetime), reported: g.Tokens}
	held.left.Store(int64(g.Tokens))
	s.grants = append(s.grants, held)
	if current := s.current.Load(); current == nil || current.left.Load() == 0 || !now.Before(current.expiresAt) {
		s.current.Store(held)
	}
}

// minRetryInterval is the least time until a spender asks a home again that had
// too little. For an account far above its rate every host waits for every
// token, and would otherwise send as many requests as there are tokens. It is a
// sixth of the time that an exchange waits, so that it causes no refusal.
const minRetryInterval = 40 * time.Millisecond

// Failed notes that d's home didn't answer. It isn't asked for
// failedRetryInterval, so that a partition delays each exchange by at most one
// such wait.
func (s *Spender) Failed(now time.Time, d fleet.DataCentre) {
	home := s.home(d)
	home.requestSentAt = time.Time{}
	home.notBefore = now.Add(failedRetryInterval)
	home.refusedFrom, home.failed = 0, true
}

// Unanswered returns for how long no home has answered.
func (s *Spender) Unanswered(now time.Time) time.Duration {
	if s.askedAt.IsZero() {
		return 0
	}
	return now.Sub(s.askedAt)
}

// Declined notes that an exchange of priority p was refused without a request for its token.
func (s *Spender) Declined(p fleet.Priority) {
	for len(s.declined) <= int(p) {
		s.declined = append(s.declined, 0)
	}
	s.declined[p]++
}

// Refund returns the token of an exchange that was admitted and not run: to a grant that may still be spent, or with
// the next request to the home of the own data centre.
func (s *Spender) Refund(now time.Time) {
	for _, held := range s.grants {
		if held.putBack(now) {
			s.taken.Add(-1)
			return
		}
	}
	s.home(s.OwnDataCentre).returned++
}

// Shortage is what the homes that answered have told of their shortage.
type Shortage struct {
	// Wait is after which time an exchange that was told of may have its token: all homes that answered have counted
	// it, so the tokens of all of them come until then.
	Wait time.Duration
	// For is how long the shortage has lasted.
	For time.Duration
}

// Shortage reports whether an exchange of priority p needs to ask no home now: those that answered have too little for
// it, and at least one did answer.
func (s *Spender) Shortage(now time.Time, p fleet.Priority, all []fleet.DataCentre) (Shortage, bool) {
	var out Shortage
	answered := 0
	for _, d := range all {
		home := s.home(d)
		if !home.requestSentAt.IsZero() || !now.Before(home.notBefore) || p < home.refusedFrom {
			return Shortage{}, false
		}
		if home.failed {
			continue
		}
		answered++
		out.Wait += home.callerRetryAfter
		out.For = max(out.For, home.shortFor)
	}
	if answered == 0 {
		return Shortage{}, false
	}
	out.Wait /= time.Duration(answered * answered)
	return out, true
}

// failedRetryInterval is how long a home that failed is not asked.
const failedRetryInterval = 100 * time.Millisecond

// EarliestTokens returns when a home may have tokens again: now when an answer
// is pending or a home can be asked.
func (s *Spender) EarliestTokens(now time.Time, all []fleet.DataCentre) time.Time {
	var at time.Time
	for _, d := range all {
		home := s.home(d)
		if !home.requestSentAt.IsZero() || !now.Before(home.notBefore) {
			return now
		}
		if at.IsZero() || home.notBefore.Before(at) {
			at = home.notBefore
		}
	}
	return at
}

// Available returns the number of tokens at hand that haven't expired.
func (s *Spender) Available(now time.Time) Tokens {
	var n Tokens
	for _, held := range s.grants {
		if now.Before(held.expiresAt) {
			n += Tokens(held.left.Load())
		}
	}
	return n
}

// ReturnAll ends all grants and returns, for each home, the request that gives
// the unspent tokens back, so that the remaining hosts can use them at once.
func (s *Spender) ReturnAll() []HomeRequest {
	for _, held := range s.grants {
		s.closeGrant(held)
	}
	s.grants = nil
	var out []HomeRequest
	for d, o := range s.homes {
		if len(o.pendingReports) > 0 {
			out = append(out, HomeRequest{DataCentre: d, Ask: Ask{Spender: s.Host, Reports: o.pendingReports}})
			o.pendingReports = nil
		}
	}
	return out
}

// Idle reports whether no tokens have been taken for longer than d.
func (s *Spender) Idle(now time.Time, d time.Duration) bool {
	return now.Sub(s.demand.lastTakenAt) > d
}

// MinWait returns the least time until n tokens may be at hand, if no other
// host wanted any: whole is the account's whole rate and burst. An exchange
// can't be admitted any earlier if it and those that wait before it need n
// tokens.
func (s *Spender) MinWait(now time.Time, whole Share, n Tokens, all []fleet.DataCentre) time.Duration {
	if whole.Rate <= 0 {
		return time.Second
	}
	wait := max(0, s.EarliestTokens(now, all).Sub(now))
	missing := float64(n - s.Available(now) - 1)
	if wait == 0 {
		missing = float64(n-s.Available(now)) - whole.Burst
	}
	return wait + time.Duration(max(0, missing)/whole.Rate*float64(time.Second))
}
