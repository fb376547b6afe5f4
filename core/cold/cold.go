// Package cold limits what a fleet sends to a database instance that has just started and is slow
// until its caches are warm.
//
// Designed for callers that return to an instance all at once, because the instance or its data
// centre has come back. The instance's caches are empty. Requests beyond its rate would queue up,
// and it would never catch up.
package cold

import (
	"slices"
	"time"
)

// Limit is how far the whole fleet may exceed the rate that a cold instance is configured to bear.
// The zero Limit allows just the rate.
type Limit struct {
	// Overshoot is a factor of the rate. Zero means 1.
	Overshoot float64
	// Slack is the number of additional statements in one second.
	Slack int
}

const (
	// maxSenders is how many hosts may send at once, each taking itself for the only sender. Each
	// of them hears at least half of the hosts of a data centre, and a network partition leaves no
	// more than two such halves.
	maxSenders = 2
	// reserveDivisor gives the share of the statements that is reserved for transactions in
	// progress: a quarter. Their statements can't wait for another instance.
	reserveDivisor = 4
	// window is the time over which a rate is counted.
	window = time.Second
)

// MaySend reports whether a host may send to a cold instance. It may if it hears at least half of
// the hosts from which the sender is chosen, itself included. All hosts that hear each other choose
// the same sender, so that no more than two hosts ever send.
func MaySend(heard, known int) bool { return heard > 0 && maxSenders*heard >= known }

// MaxStatements returns how many statements one host may send within a second to an instance that
// bears rate statements a second.
func (l Limit) MaxStatements(rate float64) int {
	factor := l.Overshoot
	if factor == 0 {
		factor = 1
	}
	return int((rate*factor + float64(l.Slack)) / maxSenders)
}

// SendBudget counts what one host has sent to one instance within the last second. In the zero
// SendBudget nothing has been sent.
type SendBudget struct {
	sent []time.Time
}

// Left returns how many statements may still be sent at now, out of limit: all in total, and forNew
// of them for new operations. The difference is reserved for transactions in progress.
func (b *SendBudget) Left(now time.Time, limit int) (all, forNew int) {
	b.sent = slices.DeleteFunc(b.sent, func(at time.Time) bool { return now.Sub(at) >= window })
	all = max(0, limit-len(b.sent))
	return all, max(0, all-limit/reserveDivisor)
}

// Spend notes that n statements were sent at now.
func (b *SendBudget) Spend(now time.Time, n int) {
	for range n {
		b.sent = append(b.sent, now)
	}
}
