package holder

import (
	"context"
	"time"

	"skylarkdeal/core/admit"
	"skylarkdeal/core/failure"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
	"skylarkdeal/core/place"
	"skylarkdeal/io/database"
)

// pump starts all that can start now.
func (g *groupRun) pump() {
	if g.queue.Len() == 0 {
		return
	}
	g.dropRemoved(g.queue.Expire(g.now))
	t := g.monitor.Snapshot()
	g.refuseAbsent(t)
	g.refuseUnconnected(t)
	for {
		l := g.loads()
		i, ok := g.queue.Next(g.now, func(i admit.Item) bool { return g.fits(i, t, l) })
		if !ok {
			return
		}
		g.start(g.works[i.Key])
	}
}

// stopLost ends the attempts that nothing can come of: those on a primary that
// has been replaced, and declared reads on an instance that has fallen silent.
//
// It guards against holding back an answer that is certain: behind a cut the
// connection stays open, so an exchange shows as one that just takes long, until
// its deadline. A write on a replaced primary can't be confirmed any more, and
// its caller is told so at once; a read is run elsewhere.
func (g *groupRun) stopLost() {
	if len(g.works) == g.queue.Len() || g.now.Sub(g.looked) < lookEvery {
		return
	}
	g.looked = g.now
	t := g.monitor.Snapshot()
	for _, w := range g.works {
		if w.stop == nil || w.stopped || !g.lost(w, t) {
			continue
		}
		w.stopped = true
		w.stop()
	}
}

// lookEvery is how often attempts under way are looked at.
const lookEvery = 20 * time.Millisecond

// silentRead is how long an instance may owe a status and keep the reads that it
// was given: several times what a busy instance takes for one.
const silentRead = 300 * time.Millisecond

func (g *groupRun) lost(w *work, t group.Snapshot) bool {
	n := w.choice.Instance
	if w.choice.Role == fleet.RolePrimary && t.Term > w.term && t.Primary != n {
		return true
	}
	s, ok := t.Find(n)
	return ok && w.read() && w.pin == nil && s.Silent(g.now) > silentRead
}

// absentPatience is how long an exchange may wait for a primary that no one
// reaches. A failover is over within it; beyond it nothing speaks for waiting
// longer, and the caller is told at once when to come back.
const absentPatience = 3 * time.Second

// refuseAbsent refuses the writes that wait for a primary which can't be reached,
// or with too few instances to prove anything of, for absentPatience.
//
// The load is a data centre that was cut off with a minority of the instances:
// every write would wait for its deadline and hold a place in the queue that
// reads could use. The refusal is true, since nothing waiting has been sent.
func (g *groupRun) refuseAbsent(t group.Snapshot) {
	if t.Primary != "" && t.HasQuorum(g.now) {
		g.absent = time.Time{}
		return
	}
	if g.absent.IsZero() {
		g.absent = g.now
	}
	if g.now.Sub(g.absent) < absentPatience {
		return
	}
	for _, w := range g.works {
		if w.read() && !w.need.Latest() && w.pin == nil {
			continue
		}
		if g.queue.Remove(w.key) {
			g.drop(w, g.refusal(failure.CodeNotReady, "no primary can be reached", absentRetry))
		}
	}
}

// connectPatience is how long an exchange may wait while the instances that could run it refuse this host's
// connections: one more try, in which another host may have given up its surplus.
const connectPatience = 300 * time.Millisecond

// refuseUnconnected refuses what waits for instances to which this host has no connection, as they refuse
// them. Its entry host asks another holder.
//
// Guards against an exchange that waits for its deadline here while other holders have idle connections: the
// hosts' shares of an instance come from rosters that differ while hosts are replaced.
func (g *groupRun) refuseUnconnected(t group.Snapshot) {
	primary, all, retry := g.unconnected(t.Primary)
	if !primary && !all {
		return
	}
	for _, w := range g.works {
		if w.pin != nil || !all && w.read() && !w.need.Latest() {
			continue
		}
		if g.queue.Remove(w.key) {
			g.drop(w, g.refusal(failure.CodeNotReady, "the instances accept no more connections of this host",
				max(retry.Sub(g.now), minRetryAfter)))
		}
	}
}

// minRetryAfter keeps a refused caller from coming back at once.
const minRetryAfter = 10 * time.Millisecond

// unconnected reports whether the instance n, and whether all instances, have refused this host's connections
// for longer than connectPatience. retry is when the first one that refuses them is asked again.
func (g *groupRun) unconnected(n fleet.Instance) (one, all bool, retry time.Time) {
	all = len(g.pools) > 0
	for name, p := range g.pools {
		since, at, ok := p.Refused()
		long := ok && g.now.Sub(since) > connectPatience
		one = one || long && name == n
		all = all && long
		if ok && (retry.IsZero() || at.Before(retry)) {
			retry = at
		}
	}
	return one, all, retry
}

// longPatience is how long work that was long before leaves the last slot to
// short work. Two long exchanges that wait for each other's leave would else both
// wait for their deadlines, and an account whose statements were long once, in a
// failover, could never show that they aren't any more.
const longPatience = 250 * time.Millisecond

// fits reports whether an item can start now, and notes where.
//
// An exchange of an open transaction always can: it has its connection, and the
// statement that frees the slots which others wait for may be its COMMIT. Were
// it to wait for a slot, two statements that wait inside the database for that
// transaction's locks would hold both slots until their deadlines.
func (g *groupRun) fits(i admit.Item, t group.Snapshot, l place.Loads) bool {
	w := g.works[i.Key]
	if w.pin != nil {
		w.choice = place.Choice{Action: place.ActionRun, Instance: w.pin.instance, Role: w.pin.role}
		return true
	}
	long := i.Long && g.now.Sub(w.queued) < longPatience
	w.choice = place.Choose(g.now, w.facts(long), t, l)
	if w.choice.Action != place.ActionRun {
		return false
	}
	// An instance that has turned the exchange away is known here before the
	// table shows it; to ask it again and again would only load it.
	if w.turnedBy == w.choice.Instance && t.Term <= w.turnedIn {
		return false
	}
	p := g.pools[w.choice.Instance]
	return p != nil && p.Idle() > 0
}

func (g *groupRun) loads() place.Loads {
	l := place.Loads{Instances: make(map[fleet.Instance]place.Load, len(g.pools)), Waiting: g.queue.Len()}
	for n, p := range g.pools {
		_, _, refused := p.Refused()
		l.Instances[n] = place.Load{
			Busy: g.busy[n], Slots: g.slots[n], Latency: g.meters[n], Unconnected: refused,
		}
	}
	return l
}

// start gives w its connection and its own goroutine, of which there are no
// more than connections.
func (g *groupRun) start(w *work) {
	n := w.choice.Instance
	c, p := g.connection(w)
	if c == nil {
		g.queue.Finished(g.now, w.key, 0)
		g.enqueue(w)
		return
	}
	w.attempts++
	w.term = g.monitor.Snapshot().Term
	if w.pin != nil {
		w.term = w.pin.term
	}
	w.stopped = false
	var ctx context.Context
	ctx, w.stop = context.WithCancel(w.ctx)
	g.busy[n]++
	g.h.wait.Add(1)
	go g.serve(ctx, w, c, p)
}

// connection returns the connection for w and its pool, or nil when the idle
// one that was there has turned out to be closed.
func (g *groupRun) connection(w *work) (*database.Conn, *database.Pool) {
	if w.pin != nil {
		return w.pin.conn, w.pin.pool
	}
	p := g.pools[w.choice.Instance]
	c, ok := p.TryTake()
	if !ok {
		return nil, nil
	}
	return c, p
}
