// Package pathcost compares the paths by which an operation can reach an instance: by the time that
// the caller waits, and by costs that the caller doesn't notice but the fleet bears.
//
// Designed for many callers in several data centres and a few instances, each with some slots. An
// instance may be slow, full, in another data centre, or the only one that can take writes.
package pathcost

import "time"

// Path is what is known of one path to an instance.
type Path struct {
	// Latency is the average time of the instance's recent statements, including their wait at the
	// instance; zero if none has ended recently.
	Latency time.Duration
	// Queued is the expected wait before the statement is sent to the instance: in the holder's queue, or in this
	// host's while the instance has as many of its statements as allowed.
	Queued time.Duration
	// Running is how many statements of this host the instance runs, Slots how many it can run at a
	// time.
	Running, Slots int
	// SetupStatements counts the proxy's own statements that have to run before the caller's. Connect
	// is set if a connection has to be opened.
	SetupStatements int
	Connect         bool
	// Remote is set for an instance in another data centre.
	Remote bool
	// PrimaryRead is set for a read at the primary that a replica could run as well.
	PrimaryRead bool
	// Unreachable is set while the host can't reach the instance.
	Unreachable bool
	// Cold is set for a read at a recently started instance that another instance could run as well.
	Cold bool
}

const (
	// setupStatementCost is the round trip of one statement of the proxy before the caller's.
	setupStatementCost = 2 * time.Millisecond
	// connectCost is the time to open a connection.
	connectCost = 15 * time.Millisecond
	// remoteCost is a round trip to another data centre.
	remoteCost = 3 * time.Millisecond
	// primaryReadCost is the minimum cost of a read at the primary, which alone can take writes.
	primaryReadCost = 8 * time.Millisecond
	// defaultLatency is assumed for an instance without recent statements.
	defaultLatency = 8 * time.Millisecond
	// coldCost is above the wait at a warm instance, and below unreachableCost, so that a cold instance is
	// preferred to an unreachable one.
	coldCost = 400 * time.Millisecond
	// unreachableCost exceeds the longest wait that is still accepted at a reachable instance.
	unreachableCost = 800 * time.Millisecond
	// targetDivisor sets the fraction of the target, an eighth, that a caller waits for a local replica
	// rather than use another data centre or the primary. A wait of that length isn't noticed.
	targetDivisor = 8
)

// Cost returns the expected wait of the caller on this path, plus a penalty, as a time, for the load
// that the path puts on the fleet. target is the time within which the caller wants its answer,
// zero if it is unknown.
//
// A path to another data centre costs a fraction of the target, not just its round trip: each such
// statement sends its data over links that are expensive and that fail, and the caller of a report
// doesn't notice a delay that the caller of an order does. Beyond that fraction the faster instance
// is better, so that reads leave a local instance that is slow or full.
//
// A read at the primary gets a penalty of the same fraction of the target: otherwise all reads of
// the primary's data centre would run there, and the writes of all data centres would queue behind
// them. Between a local primary and remote replicas the wait decides.
func (p Path) Cost(target time.Duration) time.Duration {
	latency := p.Latency
	if latency == 0 {
		latency = defaultLatency
	}
	cost := p.Queued + latency*time.Duration(1+p.Running)/time.Duration(max(p.Slots, 1)) +
		time.Duration(p.SetupStatements)*setupStatementCost
	addIf := func(on bool, d time.Duration) {
		if on {
			cost += d
		}
	}
	addIf(p.Connect, connectCost)
	addIf(p.Remote, max(remoteCost, target/targetDivisor))
	addIf(p.PrimaryRead, max(primaryReadCost, target/targetDivisor))
	addIf(p.Cold, coldCost)
	addIf(p.Unreachable, unreachableCost)
	return cost
}
