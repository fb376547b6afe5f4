package quota

import (
	"math"
	"time"

	"skylarkdeal/core/fleet"
)

// ByPriority is a number of tokens of each priority, the most urgent first.
type ByPriority []Tokens

// Sum returns the number of all tokens.
func (b ByPriority) Sum() Tokens {
	var n Tokens
	for _, t := range b {
		n += t
	}
	return n
}

// MostUrgent returns the most urgent priority of which there are tokens, 0 if there are none.
func (b ByPriority) MostUrgent() fleet.Priority {
	for p, t := range b {
		if t > 0 {
			return fleet.Priority(p)
		}
	}
	return 0
}

// Without returns what remains after n tokens, the most urgent first, are taken away.
func (b ByPriority) Without(n Tokens) ByPriority {
	out := make(ByPriority, len(b))
	for p, t := range b {
		taken := min(t, max(n, 0))
		n -= taken
		out[p] = t - taken
	}
	return out
}

// firstUnmet returns the most urgent priority of which less was granted than wanted, 0 if there is none.
func (b ByPriority) firstUnmet(granted ByPriority) fleet.Priority {
	for p, t := range b {
		if p >= len(granted) || granted[p] < t {
			return fleet.Priority(p)
		}
	}
	return 0
}

const (
	// minPriorityShare is the part of the fraction granted of all tokens that each priority gets at least.
	minPriorityShare = 0.1
	// wantedWindow is the time constant with which wanted tokens are forgotten.
	wantedWindow = 2 * time.Second
	// reserveTime is for how long the more urgent tokens that are usually wanted are kept: longer than they
	// come unevenly.
	reserveTime = 500 * time.Millisecond
	// maxReserve is the most that is kept, as a fraction of the burst.
	maxReserve = 0.5
	// maxPriorityCredit bounds what a priority saves up of its share.
	maxPriorityCredit = 2
)

// priorities divides what a home grants among the priorities: the last tokens of the bucket are kept for the more
// urgent ones, and each of the others keeps minPriorityShare of what it would get without priorities. All that is kept
// comes out of the same bucket, so priorities never raise what is granted.
//
// Designed for an account that sends several times its rate over routes of different urgency. Without priorities its
// payments are refused as often as its reports, although its rate would do for all payments.
type priorities struct {
	// wanted is how many tokens a second are wanted, by priority.
	wanted [fleet.MaxPriority + 1]float64
	// credit is what each priority has saved up of its share.
	credit    [fleet.MaxPriority + 1]float64
	updatedAt time.Time
}

// note counts what is wanted, and adds to the credits for the time that has passed.
func (p *priorities) note(now time.Time, wanted ByPriority, s Share) {
	d := max(0, now.Sub(p.updatedAt).Seconds())
	if p.updatedAt.IsZero() {
		d = 0
	}
	p.updatedAt = now
	total := 0.0
	for _, w := range p.wanted {
		total += w
	}
	decay := math.Exp(-d / wantedWindow.Seconds())
	for q := range p.wanted {
		if total > 0 {
			p.credit[q] = min(p.credit[q]+d*minPriorityShare*s.Rate*p.wanted[q]/total, maxPriorityCredit)
		}
		p.wanted[q] *= decay
		if q < len(wanted) {
			p.wanted[q] += float64(wanted[q]) / wantedWindow.Seconds()
		}
	}
}

// divide returns how many tokens of each priority are granted, of those available. declined are tokens that were
// wanted too, and of which the spender knew that they wouldn't be granted.
func (p *priorities) divide(now time.Time, wanted, declined ByPriority, available Tokens, s Share) ByPriority {
	p.note(now, declined, s)
	p.note(now, wanted, s)
	out := make(ByPriority, len(wanted))
	moreUrgent := 0.0
	for q, w := range wanted {
		if w > 0 {
			kept := Tokens(min(moreUrgent*reserveTime.Seconds(), maxReserve*s.Burst))
			out[q] = min(w, max(0, available-kept))
			out[q] += p.spendCredit(q, w-out[q], available-out[q])
			available -= out[q]
		}
		moreUrgent += p.wanted[q]
	}
	return out
}

// spendCredit returns how many of the tokens that priority q lacks its credit covers.
func (p *priorities) spendCredit(q int, lacking, available Tokens) Tokens {
	n := max(0, min(lacking, available, Tokens(p.credit[q])))
	p.credit[q] -= float64(n)
	return n
}

// reserved returns how many tokens are kept for all but the least urgent priority that is wanted. Tokens ahead of need
// come out of the rest.
func (p *priorities) reserved(s Share) Tokens {
	moreUrgent, last := 0.0, 0.0
	for _, w := range p.wanted {
		if w >= minWanted {
			moreUrgent += last
			last = w
		}
	}
	return Tokens(min(moreUrgent*reserveTime.Seconds(), maxReserve*s.Burst))
}

// minWanted is how many tokens a second have to be wanted of a priority for it to count.
const minWanted = 0.1

// returns counts the tokens that spenders have returned, by process.
type returns struct {
	total map[Process]Tokens
}

// maxReturners bounds the processes whose returned tokens are counted.
const maxReturners = 4096

// take returns how many tokens a process has returned since its last request. The first total that a home learns of a
// process counts nothing, as a former home may have taken it already.
func (r *returns) take(p Process, total Tokens) Tokens {
	if p == (Process{}) {
		return 0
	}
	before, known := r.total[p]
	if known && total <= before {
		return 0
	}
	if r.total == nil || !known && len(r.total) >= maxReturners {
		r.total = map[Process]Tokens{}
	}
	r.total[p] = total
	if !known {
		return 0
	}
	return total - before
}
