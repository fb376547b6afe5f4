package relay

import (
	"cmp"
	"slices"
	"time"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/outlier"
	"skylarkdeal/core/statement"
)

// outliers is what a group needs to find its instances that fail.
type outliers struct {
	// changed is set if there may be something to decide, evaluatedAt when it was last decided.
	changed     bool
	evaluatedAt time.Time
	// members are the instances of the last evaluation, in the same order. Both are kept to reuse the memory.
	members   []outlier.Member
	instances []*instance
	// targets are those of the catalog that targetsOf names.
	targets   smallestTargets
	targetsOf *catalog.Catalog
	// promotedAt is when this host last requested a promotion because hosts eject the primary.
	promotedAt time.Time
	// catchUpPosition is the log position that the successor of an ejected primary has to cover.
	catchUpPosition fleet.Option[fleet.LogPosition]
}

// smallestTargets are the smallest targets of a group's routes, zero if there are none: of all, and of those
// that a replica may serve.
type smallestTargets struct {
	all, replica time.Duration
}

// evaluateInterval is the least time between two evaluations of a group: part of the second within which an
// instance that fails is to be ejected.
const evaluateInterval = 50 * time.Millisecond

// answerOutcome returns the kind of outcome that an answer is, false if it tells nothing of the instance:
// the sender itself caused most refusals.
func answerOutcome(code statement.Code) (outlier.Kind, bool) {
	switch code {
	case statement.CodeNone:
		return outlier.OK, true
	case statement.CodeFailed:
		return outlier.Failed, true
	case statement.CodeBusy:
		return outlier.Shed, true
	case statement.CodeTimeout:
		return outlier.TimedOut, true
	default:
		return "", false
	}
}

// recordAnswer records the instance's answer to the operation.
//
// Over another host, an answer without a log position is that host's own: its queue may be full, or its
// connection may have broken. These tell nothing of the instance. Nor does the time of an answer over
// another host tell how long it held a slot, as it includes the wait in that host's queue.
func (o *operation) recordAnswer(now time.Time, took time.Duration, a statement.Answer) {
	k, ok := answerOutcome(a.Code)
	if !ok || o.conn.via != "" && !a.Position.IsSet() {
		return
	}
	x := outlier.Outcome{Kind: k, Took: took}
	if i := o.conn.inst; k == outlier.OK && o.conn.via == "" {
		senders := 1
		if i.direct(now) {
			senders = o.g.r.hostCount
		}
		x.SlotTime = outlier.SlotTime(took, o.runningAtSent, senders, i.info.Slots)
	}
	o.recordOutcome(now, x)
}

// recordOutcome records an outcome of the operation, and ends the probe if it was one. A cold instance is
// known to be slow.
func (o *operation) recordOutcome(now time.Time, x outlier.Outcome) {
	i := o.conn.inst
	if !o.g.r.cfg.DetectOutliers || x.Kind != outlier.Failed && i.isCold(now) {
		return
	}
	x.Account = o.s.account
	i.outlier.Record(now, x)
	o.g.outliers.changed = true
	if !o.probe {
		return
	}
	o.probe = false
	if i.outlier.EndProbe(now, x) {
		o.g.r.counters.OutlierReturns++
		o.g.logOutlier(i, string(outlier.ChoiceReturn), "its probes have succeeded")
		o.g.evaluateOutliers(now)
		return
	}
	o.g.logOutlier(i, "probe", "it ended: "+string(x.Kind))
}

// recordReset records that the instance has closed the connection on which the operation runs. If nothing
// has been heard of the instance lately, the link to it may be cut instead.
func (c *Conn) recordReset() {
	now := c.g.r.now()
	if c.op != nil && c.op.sent && c.via == "" && c.inst.heardRecently(now) {
		c.op.recordOutcome(now, outlier.Outcome{Kind: outlier.Failed})
	}
}

// beginProbe makes the operation a probe of the instance that it is sent to, if one is due.
func (o *operation) beginProbe() {
	i := o.conn.inst
	if o.probe || !i.outlier.MayProbe(o.g.r.now()) {
		return
	}
	i.outlier.BeginProbe()
	o.probe = true
	o.g.r.counters.OutlierProbes++
	o.g.logOutlier(i, "probe", "it is due")
}

// abortProbe ends the probe that the operation was if it has shown nothing.
func (o *operation) abortProbe() {
	if o.probe && o.conn != nil {
		o.conn.inst.outlier.AbortProbe()
	}
	o.probe = false
}

// probes reports whether the operation, if it is sent to the instance now, is a probe that is due. It is sent there
// although another instance can run it, so that only a repeatable one is.
func (o *operation) probes(now time.Time, i *instance) bool {
	if !i.outlier.MayProbe(now) || !o.isRepeatable() {
		return false
	}
	dialling := func(c *Conn) bool { return c.state == connDialling && c != o.dialling }
	return !slices.ContainsFunc(i.conns, dialling)
}

// mayTake reports whether an operation may go to an instance now, unless another one is better.
func (g *group) mayTake(now time.Time, i *instance, o *operation) bool {
	return g.canRun(now, i, o) && !g.avoids(now, i, o)
}

// avoids reports whether an operation that an ejected instance can run has to go elsewhere: another
// instance that isn't ejected can run it.
func (g *group) avoids(now time.Time, i *instance, o *operation) bool {
	return i.outlier.Avoided() && !o.probes(now, i) && g.runsElsewhere(now, i, o)
}

// runsElsewhere reports whether an instance other than i that isn't ejected can be reached and run an
// operation. One that has closed its connections, or to which one has just failed, may not be running: the
// operation would wait for a connection until its time is over.
func (g *group) runsElsewhere(now time.Time, i *instance, o *operation) bool {
	for _, j := range g.instances {
		if j == i || j.outlier.Avoided() || j.disconnected || j.failures > 0 {
			continue
		}
		if g.canRun(now, j, o) && g.r.canReach(now, j) {
			return true
		}
	}
	return false
}

// evaluateOutliers decides which instances of the group are ejected.
func (g *group) evaluateOutliers(now time.Time) {
	s, r := &g.outliers, g.r
	if !s.changed || now.Sub(s.evaluatedAt) < evaluateInterval {
		return
	}
	s.evaluatedAt, s.changed = now, r.ejections.Expire(now)
	g.listOutlierMembers(now)
	for _, d := range outlier.Evaluate(now, s.members) {
		switch d.Choice {
		case outlier.ChoiceEject:
			r.counters.OutlierEjections++
		case outlier.ChoiceReturn:
			r.counters.OutlierReturns++
		case outlier.ChoiceAdopt:
			r.counters.OutlierAdoptions++
		case outlier.ChoiceExpire:
		}
		g.logOutlier(s.instances[d.Member], string(d.Choice), string(d.Reason))
	}
	for _, i := range s.instances {
		s.changed = s.changed || i.outlier.Avoided()
	}
}

// listOutlierMembers lists the instances of the group for an evaluation, in the order of their names, and passes on
// what other hosts report of them.
func (g *group) listOutlierMembers(now time.Time) {
	s, r := &g.outliers, g.r
	s.instances, s.members = s.instances[:0], s.members[:0]
	for _, i := range g.instances {
		s.instances = append(s.instances, i)
	}
	slices.SortFunc(s.instances, func(a, b *instance) int { return cmp.Compare(a.info.Name, b.info.Name) })
	for _, i := range s.instances {
		until, rate, _ := r.ejections.Of(now, r.cfg.DataCentre, i.info.Name)
		i.outlier.Adopt(until, rate)
		s.members = append(s.members, outlier.Member{
			Instance: &i.outlier, Usable: i.usable(), Target: g.smallestTarget(i),
		})
	}
}

// smallestTarget returns the smallest target of the routes that an instance serves.
func (g *group) smallestTarget(i *instance) time.Duration {
	s := &g.outliers
	if s.targetsOf != g.r.catalog && g.r.catalog != nil {
		s.targetsOf, s.targets = g.r.catalog, smallestTargets{}
		for _, t := range g.r.catalog.Routes {
			if t.Service != g.name || t.Target <= 0 {
				continue
			}
			s.targets.all = smaller(s.targets.all, t.Target)
			if t.Consistency != catalog.ConsistencyPrimary {
				s.targets.replica = smaller(s.targets.replica, t.Target)
			}
		}
	}
	if g.isPrimary(i.info.Name) || s.targets.replica == 0 {
		return s.targets.all
	}
	return s.targets.replica
}

// smaller returns the smaller one of two times, of which a may be missing.
func smaller(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// restartOutliers drops the outcomes of the group, whose instances have got other work by a promotion.
func (g *group) restartOutliers() {
	for _, i := range g.instances {
		i.outlier = i.outlier.Restarted()
	}
}

// AddEjections handles the instances that another host ejects, as of a time.
func (r *Relay) AddEjections(from fleet.Host, dc fleet.DataCentre, at time.Time, es []outlier.Ejection) {
	if !r.cfg.DetectOutliers || len(es) == 0 && !r.ejections.Has(from) {
		return
	}
	for _, e := range r.ejections.From(from) {
		r.reconsiderOutlier(e.Instance)
	}
	for _, e := range es {
		r.reconsiderOutlier(e.Instance)
	}
	r.ejections.Add(from, dc, at, es)
}

// reconsiderOutlier has the group of an instance evaluated.
func (r *Relay) reconsiderOutlier(n fleet.Instance) {
	if i := r.instances[n]; i != nil {
		i.g.outliers.changed = true
		i.g.wake()
	}
}

// Ejections returns the instances that this host has itself ejected, at most outlier.MaxEjections.
func (r *Relay) Ejections() []outlier.Ejection {
	now := r.now()
	var out []outlier.Ejection
	for g := range r.active {
		for _, i := range g.instances {
			if i.outlier.Ejected() && !i.removed && len(out) < outlier.MaxEjections {
				out = append(out, outlier.Ejection{
					Instance: i.info.Name, Left: i.outlier.Left(now), RatePercent: int(100 * i.outlier.Rate()),
					Primary: g.isPrimary(i.info.Name),
				})
			}
		}
	}
	return out
}

// EjectionChanges counts the changes of what Ejections returns, so that a change is reported soon.
func (r *Relay) EjectionChanges() uint64 {
	return r.counters.OutlierEjections + r.counters.OutlierReturns
}

// logOutlier logs a decision on an instance that fails.
func (g *group) logOutlier(i *instance, choice, reason string) {
	g.r.logEvent(Event{
		Kind: EventOutlier, Service: g.name, Instance: i.info.Name, Choice: choice, Reason: reason,
		FailureRate: i.outlier.Rate(),
	})
}
