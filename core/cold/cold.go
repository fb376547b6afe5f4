// Package cold bounds what a fleet sends to a database instance that has just started and is slow
// until it has warmed up.
//
// The load it is made for: callers who return to an instance all at once, because it has come back
// or its data centre has. Its caches are empty; what is more than it bears piles up, and it never
// catches up.
package cold

import (
	"slices"
	"time"
)

// Limit says how far the whole fleet may go beyond the rate that a cold instance is said to bear.
// The zero Limit keeps to the rate.
type Limit struct {
	// Overshoot is a factor of the rate; zero counts as 1.
	Overshoot float64
	// Slack is how many statements more may come in one second.
	Slack int
}

const (
	// senders is how many hosts may take themselves for the one that sends: each hears half of the
	// hosts of a data centre, and a cut makes no more than two halves.
	senders = 2
	// reservedPart is the part of what may be sent that is kept for transactions under way: a
	// quarter. Their statements can't wait for another instance.
	reservedPart = 4
	// span is over what a rate is counted.
	span = time.Second
)

// MaySend reports whether a host may send to a cold instance: it hears at least half of the hosts
// among which the one that sends is chosen, itself included. All hosts that hear each other choose
// the same one, so that no more than two ever send.
func MaySend(heard, known int) bool { return heard > 0 && senders*heard >= known }

// MaxStatements returns how many statements one host may send to an instance within a second, for one that
// bears rate of them.
func (b Limit) MaxStatements(rate float64) int {
	factor := b.Overshoot
	if factor == 0 {
		factor = 1
	}
	return int((rate*factor + float64(b.Slack)) / senders)
}

// SendBudget is what one host has sent to one instance lately. The zero SendBudget is unspent.
type SendBudget struct {
	sent []time.Time
}

// Left returns how many of most are left now, and how many of these are for new operations: what is
// left besides is kept for transactions under way.
func (b *SendBudget) Left(now time.Time, most int) (all, begin int) {
	b.sent = slices.DeleteFunc(b.sent, func(at time.Time) bool { return now.Sub(at) >= span })
	all = max(0, most-len(b.sent))
	return all, max(0, all-most/reservedPart)
}

// Spend takes in that statements are sent.
func (b *SendBudget) Spend(now time.Time, n int) {
	for range n {
		b.sent = append(b.sent, now)
	}
}
