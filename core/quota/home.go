package quota

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/times"
)

// GrantID identifies a grant of one home; it is unique within one tenure of the
// home.
type GrantID uint64

// FirstGrantID returns the first grant id of a process. It differs from the ids that a former home of the same accounts
// gave out, so that a report on one of those is ignored.
func FirstGrantID(p Process) GrantID {
	return GrantID(xxhash.Sum64String(fmt.Sprint(p.Host, p.Epoch)))
}

// Report tells a home how much of one of its grants is left.
type Report struct {
	Grant GrantID
	// Left is the number of tokens that aren't spent.
	Left Tokens
	// Closed returns the tokens that are left: the spender will never spend
	// them.
	Closed bool
}

// Ask is a spender's request for tokens.
type Ask struct {
	Spender fleet.Host
	// Urgent is the number of tokens that exchanges wait for now.
	Urgent Tokens
	// Ahead is the number of tokens that are likely to be needed within half a
	// GrantLifetime.
	Ahead   Tokens
	Reports []Report
	// Wanted divides Urgent by priority; nil if all of it has the same.
	Wanted ByPriority
	// Fresh is how many of the urgent tokens are requested for the first time.
	Fresh Tokens
	// Declined are tokens that exchanges wanted since the last request, and that weren't requested as the home had
	// too little before. They tell the home how much is wanted of each priority.
	Declined ByPriority
	// Process and Returned tell of operations that were admitted and not run: how many tokens of grants that
	// have ended the process has returned to this home since it started.
	Process  Process
	Returned Tokens
}

// Grant is the answer to an Ask.
type Grant struct {
	ID     GrantID
	Tokens Tokens
	// RetryAfter is when one more token may be granted, if fewer were granted
	// than are urgent.
	RetryAfter time.Duration
	// Urgent is what was granted of Ask.Wanted.
	Urgent ByPriority
	// CallerRetryAfter is after which time the first of the exchanges that lack a token may have one, behind those that
	// lacked one before: as far apart as tokens accrue.
	CallerRetryAfter time.Duration
	// ShortFor is for how long the home has had too little.
	ShortFor time.Duration
}

// outstandingGrant is a grant that may still be spent.
type outstandingGrant struct {
	id        GrantID
	spender   fleet.Host
	left      Tokens
	expiresAt time.Time
}

// Home grants one data centre's share of one account's rate. The zero Home
// grants nothing until Start. It is not safe for concurrent use.
//
// It is a token bucket with one additional rule: the level and the grants that
// may still be spent never exceed the burst together. All that can be spent in
// a window [s, e] is outstanding at s, in the bucket at s, or added until e,
// hence at most burst + rate·(e-s): the bound holds for every window, although
// grants are spent later than they are made.
type Home struct {
	version document.Version
	share   Share
	level   float64
	// refilledAt is the time up to which the level has been refilled.
	refilledAt  time.Time
	outstanding []outstandingGrant
	lastID      GrantID
	started     bool
	// nextShare is the share that replaces share at nextShareAt.
	nextShare   Share
	nextShareAt time.Time
	priorities  priorities
	returns     returns
	// nextCallerAt is when the next exchange that lacks a token may have one.
	nextCallerAt time.Time
	// shortSince is since when there was too little, shortAt when that was last so.
	shortSince, shortAt time.Time
}

// Start begins a tenure at now with the share s. The bucket is refilled only
// from the time at which the grants of any predecessor have expired, and starts
// with level tokens. The level is 0 unless more is known, as a host that
// restarts or takes over doesn't know what was spent before. It is what a
// predecessor had left when it gave the ownership up, or the whole burst where
// no host can have granted before. The caller has made sure that no predecessor
// grants any more (see Ownership), and uses a level once.
func (h *Home) Start(now time.Time, v document.Version, s Share, id GrantID, level float64) {
	*h = Home{version: v, share: s, nextShare: s, refilledAt: now.Add(GrantCountedFor), lastID: id, started: true}
	h.level = max(0, min(level, s.Burst))
}

// Started reports whether the home's tenure has begun.
func (h *Home) Started() bool {
	return h.started
}

// ShareIncreaseDelay is how long a share that has grown because the list of
// data centres has changed isn't used yet. A document takes some seconds to
// reach all hosts that can be reached, and until then another data centre may
// go by its old, larger share.
const ShareIncreaseDelay = 30 * time.Second

// SetShare puts the share of a newer version of the document in effect. A lower
// burst takes effect at once on what is not granted yet; the tokens of a higher
// one accrue over time. An older version changes nothing. If the list of data
// centres has changed, an increase of the share takes effect after
// ShareIncreaseDelay.
func (h *Home) SetShare(now time.Time, v document.Version, s Share, sameList bool) {
	if v <= h.version {
		return
	}
	h.refill(now)
	h.version, h.nextShare = v, s
	if !sameList {
		h.nextShareAt = now.Add(ShareIncreaseDelay)
	}
	h.applyNextShare(now)
	h.capLevel()
}

// applyNextShare puts nextShare in effect; before nextShareAt, only what of it
// is no more than the present share.
func (h *Home) applyNextShare(now time.Time) {
	if now.Before(h.nextShareAt) {
		h.share = Share{Rate: min(h.share.Rate, h.nextShare.Rate), Burst: min(h.share.Burst, h.nextShare.Burst)}
		return
	}
	h.share = h.nextShare
}

// refill adds what has accrued since the last call. A clock that steps back
// adds nothing. Tokens that exceed the burst are lost, as in any full bucket.
func (h *Home) refill(now time.Time) {
	h.dropExpired(now)
	if d := now.Sub(h.refilledAt); d > 0 {
		h.level += h.share.Rate * d.Seconds()
		h.refilledAt = now
	}
	h.applyNextShare(now)
	h.capLevel()
}

// capLevel keeps level + outstanding within the burst.
func (h *Home) capLevel() {
	h.level = max(0, min(h.level, h.share.Burst-float64(h.outstandingTokens())))
}

func (h *Home) dropExpired(now time.Time) {
	h.outstanding = slices.DeleteFunc(h.outstanding, func(o outstandingGrant) bool { return now.After(o.expiresAt) })
}

// outstandingTokens returns the tokens that may still be spent.
func (h *Home) outstandingTokens() Tokens {
	var n Tokens
	for _, o := range h.outstanding {
		n += o.left
	}
	return n
}

// Ask answers a spender. Urgent tokens are granted first come, first served, as
// by a single bucket; tokens ahead of need only from half of what is left, so
// that the prefetching of one host doesn't make another one refuse.
func (h *Home) Ask(now time.Time, a Ask) Grant {
	if !h.started {
		return Grant{RetryAfter: GrantLifetime}
	}
	h.refill(now)
	h.applyReports(a.Reports)
	h.level += float64(h.returns.take(a.Process, a.Returned))
	h.capLevel()
	available := Tokens(math.Floor(h.level))
	var g Grant
	n := min(max(a.Urgent, 0), available)
	spare := available - n
	if a.Wanted != nil {
		g.Urgent = h.priorities.divide(now, a.Wanted, a.Declined, available, h.share)
		n = g.Urgent.Sum()
		spare = available - n - h.priorities.reserved(h.share)
	}
	if n < a.Urgent {
		g.RetryAfter = h.retryAfter(now, n)
		g.CallerRetryAfter = h.callerRetryAfter(now, min(a.Fresh, a.Urgent-n))
		g.ShortFor = h.noteShort(now)
	}
	n += min(max(a.Ahead, 0), max(spare, 0)/2)
	g.Tokens = n
	if n == 0 {
		return g
	}
	h.lastID++
	g.ID = h.lastID
	h.level -= float64(n)
	h.outstanding = append(h.outstanding, outstandingGrant{
		id: g.ID, spender: a.Spender, left: n, expiresAt: now.Add(GrantCountedFor),
	})
	return g
}

// retryAfter returns how long it takes until one token more than n is there. A
// bucket whose burst is wholly outstanding is refilled only when one of its
// grants ends.
func (h *Home) retryAfter(now time.Time, n Tokens) time.Duration {
	if h.share.Rate <= 0 {
		return time.Second
	}
	missing := float64(n) + 1 - h.level
	d := time.Duration(missing / h.share.Rate * float64(time.Second))
	if start := h.refilledAt.Sub(now); start > 0 {
		d += start
	}
	return max(d, time.Millisecond)
}

// noteShort notes that there is too little, and returns for how long that is so.
func (h *Home) noteShort(now time.Time) time.Duration {
	if now.Sub(h.shortAt) > shortGap {
		h.shortSince = now
	}
	h.shortAt = now
	return now.Sub(h.shortSince)
}

// shortGap is how long there must have been enough for a shortage to have ended.
const shortGap = time.Second

// maxCallerRetryAfter bounds the times that refused callers are given.
const maxCallerRetryAfter = 5 * time.Second

// callerRetryAfter returns when the first of n more exchanges that lack a token may have one.
func (h *Home) callerRetryAfter(now time.Time, n Tokens) time.Duration {
	if h.share.Rate <= 0 {
		return maxCallerRetryAfter
	}
	if start := times.Later(now, h.refilledAt); h.nextCallerAt.Before(start) {
		h.nextCallerAt = start
	}
	each := time.Duration(float64(time.Second) / h.share.Rate)
	d := h.nextCallerAt.Add(each).Sub(now)
	if latest := now.Add(maxCallerRetryAfter); h.nextCallerAt.Before(latest) {
		h.nextCallerAt = h.nextCallerAt.Add(time.Duration(max(n, 0)) * each)
	}
	return min(d, maxCallerRetryAfter)
}

// Level returns the tokens in the bucket at now.
func (h *Home) Level(now time.Time) float64 {
	h.refill(now)
	return h.level
}

// Full reports whether the bucket is full at now and no grant may still be spent. Such a home can be dropped: one
// that is started again by the same start would be full too.
func (h *Home) Full(now time.Time) bool {
	h.refill(now)
	return len(h.outstanding) == 0 && h.level >= h.share.Burst
}

// applyReports handles the reports of spenders on their grants. A report can
// come twice, or after a newer one. What is left only falls, and a closed grant
// is removed, so no token is returned twice.
func (h *Home) applyReports(reports []Report) {
	for _, r := range reports {
		i := slices.IndexFunc(h.outstanding, func(o outstandingGrant) bool { return o.id == r.Grant })
		if i < 0 {
			continue
		}
		o := &h.outstanding[i]
		o.left = min(o.left, max(r.Left, 0))
		if r.Closed {
			h.level += float64(o.left)
			h.outstanding = slices.Delete(h.outstanding, i, i+1)
		}
	}
	h.capLevel()
}

// HomeState is the part of a state dump that describes a home.
type HomeState struct {
	Version     document.Version `json:"version"`
	Share       Share            `json:"share"`
	Level       float64          `json:"level"`
	Outstanding Tokens           `json:"outstanding"`
	Grants      GrantID          `json:"grants"`
}

// State returns the home's state at its last change.
func (h *Home) State() HomeState {
	return HomeState{h.version, h.share, h.level, h.outstandingTokens(), h.lastID}
}
