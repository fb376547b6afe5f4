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
	// lent counts the connections over other hosts.
	lent int
	// point is the farthest that its log is known to have reached.
	point fleet.LogPosition
	// received is the end of its log, as it last told when it was asked.
	received fleet.LogPosition
	// leads is whether it last said that it is a primary, term the term that it said, and
	// toldAt when that was.
	leads  bool
	term   fleet.Term
	toldAt time.Time
	// termAt is when it was asked for the term.
	termAt time.Time
	// lastHeard is when anything came from it.
	lastHeard time.Time
	// failures counts failed connections in a row; the next is tried at next.
	failures int
	next     time.Time
	// doubted is when nobody last doubted it, as far as this host hears.
	doubted time.Time
	// failing is since when they do.
	failing time.Time
	// full is when it last refused a connection for want of room, and room how many
	// were open then.
	full time.Time
	room int
	// crowded counts refusals for want of room in a row.
	crowded int
	// work is how long its statements take, as a moving average.
	work   time.Duration
	workAt time.Time
	// behind is until when it is passed over for reads, as its log lacked a point, and
	// lags how often in a row that was so.
	behind time.Time
	lags   int
	// trial is the read that finds out whether the log has come as far as it needs.
	trial *operation
	// blocked are the hosts that couldn't reach it, with until when they aren't asked again.
	blocked map[fleet.Host]time.Time
	// missing is since when it isn't on the list any more.
	missing time.Time
	gone    bool
	// moved is set once another instance has answered at its address.
	moved bool
	// askedAt is when it was last asked what it is.
	askedAt time.Time
	ranking ranking
	// coldUntil is until when it is slow after its start, as it has said; budget is what it was
	// sent meanwhile.
	coldUntil time.Time
	budget    cold.SendBudget
	// lost is set while it couldn't be reached, or has closed all connections; back is when one was
	// made again.
	back time.Time
	lost bool
}

const (
	// crowdPause is the first pause after an instance had no room: some statements' time,
	// in which another host may give a connection back.
	crowdPause = 30 * time.Millisecond
	// crowdPauseMax bounds that pause. A refusal takes 12 ms of a slot, so that one host which
	// asks again takes a tenth of one; and the room that others leave is soon used.
	crowdPauseMax = 120 * time.Millisecond
	// backoffMin and backoffMax bound the pause before the next try to connect to an
	// instance that couldn't be reached. The first is about the time that a connection
	// takes; the last bounds how late a returned instance is found.
	backoffMin = 50 * time.Millisecond
	backoffMax = 800 * time.Millisecond
)

func (i *instance) heard(now time.Time) {
	i.lastHeard = now
	i.failures = 0
}

// heardLately reports whether anything has come from the instance a moment ago: a connection
// that breaks then tells of itself alone, and the next one is made without a pause. One whose
// instance has died is followed by a new one that fails.
func (i *instance) heardLately(now time.Time) bool {
	return now.Sub(i.lastHeard) < wonderAfter
}

func (i *instance) worked(now time.Time, took time.Duration) {
	if i.work == 0 {
		i.work = took
	}
	i.work += (took - i.work) / 8
	i.workAt = now
}

// failed takes in that a connection couldn't be made or broke while it owed an answer.
func (i *instance) failed(now time.Time, why string) {
	if i.failures == 0 {
		i.failing = now
		i.g.r.note(Event{
			Kind: EventInstance, Service: i.g.name, Instance: i.info.Name,
			Choice: "unreachable", Reason: why, Age: now.Sub(i.lastHeard),
		})
	}
	i.failures++
	i.lost = true
	pause := backoffMin << min(i.failures-1, 10)
	i.next = now.Add(min(pause, backoffMax))
}

// turned takes in that the instance has refused a connection that was begun at some moment.
func (i *instance) turned(now, begun time.Time, c statement.Code) {
	switch c {
	case statement.CodeTooMany:
		i.heard(now)
		if !begun.After(i.full) {
			// It was begun beside another that was refused, and tells nothing new.
			return
		}
		i.full, i.room = now, i.openConns()
		i.next = now.Add(min(crowdPause<<min(i.crowded, 10), crowdPauseMax))
		i.crowded++
	case statement.CodeMisrouted:
		// Another instance has the address now: this one has gone, whatever the list says.
		i.moved, i.gone = true, true
		i.next = now.Add(backoffMax)
	default:
		i.failed(now, "refused: "+string(c))
	}
}

// lacked takes in that the log lacks a point that a read needs. A replica that is far
// behind would else be asked in vain by every read, while its caller waits.
func (i *instance) lacked(now time.Time) {
	i.behind = now.Add(min(lagBackoffMin<<min(i.lags, 10), lagBackoffMax))
	i.lags++
}

// mayTry reports whether a read may go to the instance although its log isn't known to cover
// what the read needs: a while after it last lacked a point, and one read at a time. With
// the replicas of a group seconds behind, a dozen reads went there together at each try,
// took their turns, and came back up to half a second later with nothing.
func (i *instance) mayTry(now time.Time, o *operation) bool {
	return !now.Before(i.behind) && (i.trial == nil || i.trial == o)
}

// blockedFor is how long a host that can't reach an instance isn't asked again.
const blockedFor = 500 * time.Millisecond

// block takes in that another host can't reach the instance, and sees whether this one
// can.
func (i *instance) block(h fleet.Host) {
	now := i.g.r.now()
	if i.blocked == nil {
		i.blocked = map[fleet.Host]time.Time{}
	}
	i.blocked[h] = now.Add(blockedFor)
	if now.Sub(i.lastHeard) > wonderAfter && !i.leavesProbeToHolder(now) {
		i.g.probe(now, i)
	}
}

// usable reports whether new work may go to the instance.
func (i *instance) usable() bool { return !i.gone && !i.info.Leaving && !i.evacuated() }

// local reports whether it is in this host's data centre.
func (i *instance) local() bool { return i.info.DataCentre == i.g.r.cfg.DataCentre }

// busy counts the connections that are at work.
func (i *instance) busy() int {
	n := i.lent
	for _, c := range i.conns {
		if c.state == connBusy && c.op != nil {
			n++
		}
	}
	return n
}

// working returns for how long the instance has worked on its oldest statement.
func (i *instance) working(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, c := range i.conns {
		if len(c.pending) > 0 {
			oldest = max(oldest, now.Sub(c.pending[0].sentAt))
		}
	}
	return oldest
}
