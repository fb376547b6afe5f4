// Package pathcost compares the ways in which an operation can reach an instance: by the time that
// each makes its caller wait, and by what a caller doesn't feel but the fleet does.
//
// It decides for many callers in several data centres before a few instances, each with some
// slots: one of them may be slow, full, far away, or the only one that can take writes.
package pathcost

import "time"

// Path is one way to an instance, by what is known of it.
type Path struct {
	// Latency is how long the instance's statements have taken lately, with their wait there; zero
	// if none has ended lately.
	Latency time.Duration
	// Running is how many statements of this host the instance works on, Slots on how many it can
	// work at a time.
	Running, Slots int
	// SetupStatements counts the proxy's own statements that have to go first, Connect is set where a
	// connection has to be made.
	SetupStatements int
	Connect         bool
	// Remote is set for an instance in another data centre.
	Remote bool
	// PrimaryRead is set where a read that a replica could run would take the primary's time.
	PrimaryRead bool
	// Silent is set for an instance that can't be reached now.
	Silent bool
	// Cold is set where a read that another instance could run would go to one that has just started.
	Cold bool
}

const (
	// stepCost is a round trip with a question ahead of the caller's statement.
	stepCost = 2 * time.Millisecond
	// connectCost is what a new connection takes.
	connectCost = 15 * time.Millisecond
	// farCost is a round trip to another data centre.
	farCost = 3 * time.Millisecond
	// leadCost keeps reads away from the primary, which alone can take writes, at least.
	leadCost = 8 * time.Millisecond
	// usualWork stands for an instance that has not worked lately.
	usualWork = 8 * time.Millisecond
	// coldCost is above the wait at an instance that is warm, and below that at one that can't be
	// reached.
	coldCost = 400 * time.Millisecond
	// silentCost is above any wait that is worth it.
	silentCost = 800 * time.Millisecond
	// nearPart is the part of its target that a caller waits rather than cross to another data
	// centre or take the primary's time: too little to be felt.
	nearPart = 8
)

// Cost returns how long a way makes its caller wait, and what the fleet would have its caller wait
// rather than take it. target is the time in which the caller wants its answer, zero if it is
// unknown.
//
// A way to another data centre costs a part of the target, not just its round trip: every
// statement that crosses takes its bytes along on links that are dear and that fail, and the
// caller of a report doesn't feel what the caller of an order does. Beyond that part the
// quicker instance is better, so a near one that is slow or full sends its reads away.
//
// A read on the primary costs as much: beside it all reads of its data centre would be its, and
// the orders of all others stand behind them. Between a primary that is near and replicas that
// are far the wait decides.
func (w Path) Cost(target time.Duration) time.Duration {
	work := w.Latency
	if work == 0 {
		work = usualWork
	}
	cost := work*time.Duration(1+w.Running)/time.Duration(max(w.Slots, 1)) + time.Duration(w.SetupStatements)*stepCost
	add := func(on bool, d time.Duration) {
		if on {
			cost += d
		}
	}
	add(w.Connect, connectCost)
	add(w.Remote, max(farCost, target/nearPart))
	add(w.PrimaryRead, max(leadCost, target/nearPart))
	add(w.Cold, coldCost)
	add(w.Silent, silentCost)
	return cost
}
