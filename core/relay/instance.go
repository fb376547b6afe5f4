package relay

import (
	"time"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/cold"
	"skylarkdeal/core/connpool"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/limiter"
	"skylarkdeal/core/outlier"
	"skylarkdeal/core/statement"
)

// instance is what the host knows of one database instance.
type instance struct {
	g    *group
	info catalog.Instance
	// conns are this host's open connections to it, with those being dialled.
	conns []*Conn
	// pool is the demand of the accounts for them, waitingSeenAt when the waiting operations were last
	// recorded in it.
	pool          connpool.Pool
	waitingSeenAt time.Time
	// starvedAt is when an operation last found no connection and none that could be closed for it.
	starvedAt time.Time
	// forwardedCount is the number of connections over other hosts.
	forwardedCount int
	// position is the last known log position.
	position fleet.LogPosition
	// received is the end of its log, by its last status.
	received fleet.LogPosition
	// leads is set if it was a primary by its last status, term is the term of that status, and
	// statusAt is when the status was received.
	leads    bool
	term     fleet.Term
	statusAt time.Time
	// termAskedAt is when the status that term comes from was requested.
	termAskedAt time.Time
	// lastHeard is when it last responded on one of this host's own connections. Until then it is when the
	// instance was added to the list.
	lastHeard time.Time
	// failures is the number of consecutive failed connections, nextDial the earliest time of the next attempt.
	failures int
	nextDial time.Time
	// suspectedSince is the last time at which no host suspected it, as far as this host knows.
	suspectedSince time.Time
	// failingSince is when the first of these failures occurred.
	failingSince time.Time
	// connLimitAt is when it last refused a connection because its limit was reached, connsAtLimit how
	// many this host had open then.
	connLimitAt  time.Time
	connsAtLimit int
	// connLimitRefusals is the number of consecutive refusals for that reason.
	connLimitRefusals int
	// avgLatency is the moving average of the latency of its statements, avgLatencyAt when it was updated.
	avgLatency   time.Duration
	avgLatencyAt time.Time
	// laggingUntil is until when reads that its log isn't known to cover avoid it, as it lacked a required
	// position, and lagCount how often in a row it did.
	laggingUntil time.Time
	lagCount     int
	// trialRead is the read in progress that was sent although the log isn't known to cover its position.
	trialRead *operation
	// blockedHosts are the hosts that couldn't reach it, with the time until which nothing is forwarded to them.
	blockedHosts map[fleet.Host]time.Time
	// unlistedSince is since when it is missing from the list, zero while it is listed.
	unlistedSince time.Time
	removed       bool
	// addressReused is set once another instance has answered at its address.
	addressReused bool
	// held is the term up to which it receives nothing from a primary, by its last status; heldSince is since when
	// it is held back, and holdAskedAt when that was last to begin or to end. unholdable is set if it has rejected
	// the request.
	held                   fleet.Term
	heldSince, holdAskedAt time.Time
	unholdable             bool
	// askedAt is when its status was last requested.
	askedAt time.Time
	ranking ranking
	// coldUntil is until when it is slow after its start, as it announced; coldBudget counts the
	// statements sent to it meanwhile.
	coldUntil  time.Time
	coldBudget cold.SendBudget
	// disconnected is set once a connection has failed or the instance has closed all of them, until one
	// is opened; reconnectedAt is when that was.
	reconnectedAt time.Time
	disconnected  bool
	// limiter bounds the statements on this host's own connections; limitLoggedAt is when a change of it
	// was last logged.
	limiter       limiter.Limiter
	limitLoggedAt time.Time
	// outlier has the outcomes of its statements, and whether it is ejected because it fails.
	outlier outlier.Instance
}

const (
	// connLimitPause is the first pause after an instance refused a connection because its limit was
	// reached: the time of some statements, in which another host may release a connection.
	connLimitPause = 30 * time.Millisecond
	// connLimitPauseMax bounds that pause. A refusal takes 12 ms of a slot, so that a host that retries
	// at this interval takes a tenth of a slot. A released connection is noticed soon.
	connLimitPauseMax = 120 * time.Millisecond
	// dialBackoffMin and dialBackoffMax bound the pause before the next attempt to connect to an
	// unreachable instance. The minimum is about the time that a connection takes; the maximum bounds
	// how late the return of an instance is noticed.
	dialBackoffMin = 50 * time.Millisecond
	dialBackoffMax = 800 * time.Millisecond
)

// heard records a response of the instance on a connection of this host's own.
func (i *instance) heard(now time.Time) {
	i.lastHeard = now
	i.failures = 0
}

// heardRecently reports whether the instance has responded within probeAfter. A connection that breaks
// then is no sign of a failed instance, and the next one is made without a pause. If the instance has
// in fact died, that next connection fails.
func (i *instance) heardRecently(now time.Time) bool {
	return now.Sub(i.lastHeard) < probeAfter
}

// addLatency adds the latency of a statement to the moving average.
func (i *instance) addLatency(now time.Time, took time.Duration) {
	if i.avgLatency == 0 {
		i.avgLatency = took
	}
	i.avgLatency += (took - i.avgLatency) / 8
	i.avgLatencyAt = now
}

// addFailure records that a connection couldn't be made, or broke with an answer pending, and sets the
// pause before the next attempt.
func (i *instance) addFailure(now time.Time, reason string) {
	if i.failures == 0 {
		i.failingSince = now
		i.g.r.logEvent(Event{
			Kind: EventInstance, Service: i.g.name, Instance: i.info.Name,
			Choice: "unreachable", Reason: reason, Age: now.Sub(i.lastHeard),
		})
	}
	i.failures++
	i.disconnected = true
	pause := dialBackoffMin << min(i.failures-1, 10)
	i.nextDial = now.Add(min(pause, dialBackoffMax))
}

// connectRefused handles a connection, begun at dialledAt, that the instance has refused.
func (i *instance) connectRefused(now, dialledAt time.Time, c statement.Code) {
	switch c {
	case statement.CodeTooMany:
		i.heard(now)
		if !dialledAt.After(i.connLimitAt) {
			// It was dialled before the last such refusal, which already set the pause.
			return
		}
		i.connLimitAt, i.connsAtLimit = now, i.openConns()
		i.nextDial = now.Add(min(connLimitPause<<min(i.connLimitRefusals, 10), connLimitPauseMax))
		i.connLimitRefusals++
	case statement.CodeMisrouted:
		// Another instance has the address now: this one is removed, even if it is still listed.
		i.addressReused = true
		i.g.removeInstance(i, "another instance has its address")
		i.nextDial = now.Add(dialBackoffMax)
	default:
		i.addFailure(now, "connection refused: "+string(c))
	}
}

// addLag records that the log lacked the required position of a read, and sets the time until which
// reads avoid the replica. Otherwise every read would try a replica that lags far behind, while its
// caller waits.
func (i *instance) addLag(now time.Time) {
	i.laggingUntil = now.Add(min(lagBackoffMin<<min(i.lagCount, 10), lagBackoffMax))
	i.lagCount++
}

// mayTrialRead reports whether a read may go to the instance although its log isn't known to cover
// the required position: only after the pause that addLag sets, and one read at a time. When the
// replicas of a group lagged by seconds, a dozen reads went to one at each attempt, queued there, and
// were refused up to half a second later.
func (i *instance) mayTrialRead(now time.Time, o *operation) bool {
	return !now.Before(i.laggingUntil) && (i.trialRead == nil || i.trialRead == o)
}

// blockedHostFor is how long statements for an instance aren't forwarded to a host that can't reach it.
const blockedHostFor = 500 * time.Millisecond

// blockHost records that another host can't reach the instance, and probes whether this host can.
func (i *instance) blockHost(h fleet.Host) {
	now := i.g.r.now()
	i.setBlocked(h, now.Add(blockedHostFor))
	if now.Sub(i.lastHeard) > probeAfter && !i.leavesProbeToHolder(now) {
		i.g.probe(now, i)
	}
}

// setBlocked sets until when nothing for the instance is forwarded to a host.
func (i *instance) setBlocked(h fleet.Host, until time.Time) {
	if i.blockedHosts == nil {
		i.blockedHosts = map[fleet.Host]time.Time{}
	}
	i.blockedHosts[h] = until
}

// usable reports whether new operations may go to the instance.
func (i *instance) usable() bool { return !i.removed && !i.info.Leaving && !i.evacuated() }

// local reports whether the instance is in this host's data centre.
func (i *instance) local() bool { return i.info.DataCentre == i.g.r.cfg.DataCentre }

// busyConns returns the number of connections that run an operation, with all those over other hosts.
func (i *instance) busyConns() int {
	n := i.forwardedCount
	for _, c := range i.conns {
		if c.state == connBusy && c.op != nil {
			n++
		}
	}
	return n
}

// oldestStatementAge returns how long ago the oldest pending statement was sent, 0 if none is pending.
func (i *instance) oldestStatementAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, c := range i.conns {
		if len(c.pending) > 0 {
			oldest = max(oldest, now.Sub(c.pending[0].sentAt))
		}
	}
	return oldest
}
