package relay

import (
	"time"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/cold"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/statement"
)

// instance is what the host knows of one database instance.
type instance struct {
	g    *group
	info catalog.Instance
	// conns are all connections to it that aren't closed.
	conns []*Conn
	// forwardedCount counts the connections over other hosts.
	forwardedCount int
	// position is the farthest that its log is known to have reached.
	position fleet.LogPosition
	// received is the end of its log, as it last told when it was asked.
	received fleet.LogPosition
	// leads is whether it last said that it is a primary, term the term that it said, and
	// toldAt when that was.
	leads    bool
	term     fleet.Term
	statusAt time.Time
	// termAskedAt is when it was asked for the term.
	termAskedAt time.Time
	// lastHeard is when anything came from it.
	lastHeard time.Time
	// failures counts failed connections in a row; the next is tried at next.
	failures int
	nextDial time.Time
	// suspectedSince is when nobody last suspectedSince it, as far as this host hears.
	suspectedSince time.Time
	// failingSince is since when they do.
	failingSince time.Time
	// connLimitAt is when it last refused a connection for want of room, and room how many
	// were open then.
	connLimitAt  time.Time
	connsAtLimit int
	// connLimitRefusals counts refusals for want of room in a row.
	connLimitRefusals int
	// avgLatency is how long its statements take, as a moving average.
	avgLatency   time.Duration
	avgLatencyAt time.Time
	// laggingUntil is until when it is passed over for reads, as its log lacked a point, and
	// lags how often in a row that was so.
	laggingUntil time.Time
	lagCount     int
	// trialRead is the read that finds out whether the log has come as far as it needs.
	trialRead *operation
	// blockedHosts are the hosts that couldn't reach it, with until when they aren't asked again.
	blockedHosts map[fleet.Host]time.Time
	// unlistedSince is since when it isn't on the list any more.
	unlistedSince time.Time
	removed       bool
	// addressReused is set once another instance has answered at its address.
	addressReused bool
	// askedAt is when it was last asked what it is.
	askedAt time.Time
	ranking ranking
	// coldUntil is until when it is slow after its start, as it has said; budget is what it was
	// sent meanwhile.
	coldUntil  time.Time
	coldBudget cold.SendBudget
	// lost is set while it couldn't be reached, or has closed all connections; reconnectedAt is when one was
	// made again.
	reconnectedAt time.Time
	disconnected  bool
}

const (
	// connLimitPause is the first pause after an instance had no room: some statements' time,
	// in which another host may give a connection back.
	connLimitPause = 30 * time.Millisecond
	// connLimitPauseMax bounds that pause. A refusal takes 12 ms of a slot, so that one host which
	// asks again takes a tenth of one; and the room that others leave is soon used.
	connLimitPauseMax = 120 * time.Millisecond
	// dialBackoffMin and backoffMax bound the pause before the next try to connect to an
	// instance that couldn't be reached. The first is about the time that a connection
	// takes; the last bounds how late a returned instance is found.
	dialBackoffMin = 50 * time.Millisecond
	dialBackoffMax = 800 * time.Millisecond
)

func (i *instance) heard(now time.Time) {
	i.lastHeard = now
	i.failures = 0
}

// heardRecently reports whether anything has come from the instance a moment ago: a connection
// that breaks then tells of itself alone, and the next one is made without a pause. One whose
// instance has died is followed by a new one that fails.
func (i *instance) heardRecently(now time.Time) bool {
	return now.Sub(i.lastHeard) < probeAfter
}

func (i *instance) addLatency(now time.Time, took time.Duration) {
	if i.avgLatency == 0 {
		i.avgLatency = took
	}
	i.avgLatency += (took - i.avgLatency) / 8
	i.avgLatencyAt = now
}

// addFailure takes in that a connection couldn't be made or broke while it owed an answer.
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

// connectRefused takes in that the instance has refused a connection that was begun at some moment.
func (i *instance) connectRefused(now, dialledAt time.Time, c statement.Code) {
	switch c {
	case statement.CodeTooMany:
		i.heard(now)
		if !dialledAt.After(i.connLimitAt) {
			// It was begun beside another that was refused, and tells nothing new.
			return
		}
		i.connLimitAt, i.connsAtLimit = now, i.standing()
		i.nextDial = now.Add(min(connLimitPause<<min(i.connLimitRefusals, 10), connLimitPauseMax))
		i.connLimitRefusals++
	case statement.CodeMisrouted:
		// Another instance has the address now: this one has gone, whatever the list says.
		i.addressReused, i.removed = true, true
		i.nextDial = now.Add(dialBackoffMax)
	default:
		i.addFailure(now, "refused: "+string(c))
	}
}

// addLag takes in that the log lacks a point that a read needs. A replica that is far
// behind would else be asked in vain by every read, while its caller waits.
func (i *instance) addLag(now time.Time) {
	i.laggingUntil = now.Add(min(lagPause<<min(i.lagCount, 10), lagPauseMax))
	i.lagCount++
}

// mayTrialRead reports whether a read may go to the instance although its log isn't known to cover
// what the read needs: a while after it last lacked a point, and one read at a time. With
// the replicas of a group seconds behind, a dozen reads went there together at each try,
// took their turns, and came back up to half a second later with nothing.
func (i *instance) mayTrialRead(now time.Time, o *operation) bool {
	return !now.Before(i.laggingUntil) && (i.trialRead == nil || i.trialRead == o)
}

// blockedHostFor is how long a host that can't reach an instance isn't asked again.
const blockedHostFor = 500 * time.Millisecond

// blockHost takes in that another host can't reach the instance, and sees whether this one
// can.
func (i *instance) blockHost(h fleet.Host) {
	now := i.g.r.now()
	if i.blockedHosts == nil {
		i.blockedHosts = map[fleet.Host]time.Time{}
	}
	i.blockedHosts[h] = now.Add(blockedHostFor)
	if now.Sub(i.lastHeard) > probeAfter && !i.spared(now) {
		i.g.probe(now, i)
	}
}

// usable reports whether new work may go to the instance.
func (i *instance) usable() bool { return !i.removed && !i.info.Leaving && !i.evacuated() }

// local reports whether it is in this host's data centre.
func (i *instance) local() bool { return i.info.DataCentre == i.g.r.cfg.DataCentre }

// busyConns counts the connections that are at work.
func (i *instance) busyConns() int {
	n := i.forwardedCount
	for _, c := range i.conns {
		if c.state == connBusy && c.op != nil {
			n++
		}
	}
	return n
}

// oldestStatementAge returns for how long the instance has worked on its oldest statement.
func (i *instance) oldestStatementAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, c := range i.conns {
		if len(c.owed) > 0 {
			oldest = max(oldest, now.Sub(c.owed[0].asked))
		}
	}
	return oldest
}
