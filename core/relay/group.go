package relay

import (
	"slices"
	"time"

	"skylarkdeal/core/admit"
	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/staleness"
	"skylarkdeal/core/statement"
)

// group is one service's instances with what waits for them and runs on them.
type group struct {
	r       *Relay
	name    fleet.Service
	service catalog.Service
	// confined are the regions of the service's databases that may not be served everywhere.
	confined  []catalog.AllowedRegions
	instances map[fleet.Instance]*instance
	belief    leader.PrimaryState
	proofs    leader.PendingAnswers
	samples   staleness.Samples

	queue   admit.Queue
	waiting map[uint64]*operation
	running map[uint64]*operation
	// unproven are the answers that wait for their proof.
	unproven map[uint64]*operation
	// inquiries are other hosts' questions that wait for a connection.
	inquiries []inquiry
	// pumping keeps pump from calling itself.
	pumping bool
	// changedAt is when the last order became known, aliveAt when the primary last
	// answered.
	changedAt, aliveAt time.Time
	// settledAt is when the primary was last settled.
	settledAt time.Time
	// unaffected is until when the last order can't have taken effect, as far as was known when
	// it became known.
	unaffected time.Time
	// doubt is the latest moment up to which an operation needs the primary to have led alone,
	// that isn't known to have.
	doubt time.Time
	// sampledAt is when the last point of the primary was taken in.
	sampledAt time.Time
	// unsure is a point of the primary that waits to be proved, as the store can't prove it.
	unsure staleness.Sample
	// verifiedAt is when the primary was last asked whether it is one.
	verifiedAt time.Time
	// ableAt is when the primary could last answer.
	ableAt time.Time
	// unsettled is since when no primary is settled.
	unsettled time.Time
	// surveyed is when the replicas were asked for an order, ordering until when another
	// one has to wait.
	surveyed, ordering time.Time
	// given is when the last order of this host was answered with success.
	given time.Time
	// listedAt is when the reading of the list of instances that is in use was begun.
	listedAt time.Time
	// readAt is when a read was last looked for a replica.
	readAt time.Time
}

func newGroup(r *Relay, s fleet.Service) *group {
	return &group{
		r: r, name: s, instances: map[fleet.Instance]*instance{},
		queue:   admit.Queue{Limits: queueLimits},
		waiting: map[uint64]*operation{}, running: map[uint64]*operation{},
		unproven: map[uint64]*operation{}, unsettled: r.now(),
	}
}

// missingFor is how long an instance may be off the list before it counts as gone: the
// store drops those that couldn't reach it for a while, and they are back within 2 s.
const missingFor = 2500 * time.Millisecond

// listed takes in the instances of the group as the list has them.
func (g *group) listed(is []catalog.Instance, read time.Time) {
	now := g.r.now()
	g.listedAt = read
	g.forget(now)
	for _, in := range is {
		i := g.instances[in.Name]
		if i == nil || i.info.Address != in.Address || i.info.Started != in.Started {
			if i != nil {
				g.drop(i, "it has another address now, or has started anew")
				// What it has said of itself was said before that.
				g.belief.AddRefusal(in.Name)
			}
			i = &instance{g: g, info: in, lastHeard: now, doubted: now}
			g.instances[in.Name] = i
			g.noteInstance(i, "use", "it is on the list")
		}
		if in.Leaving && !i.info.Leaving {
			g.noteInstance(i, "no new work", "it is leaving")
		}
		i.info, i.missing, i.gone = in, time.Time{}, i.moved
		i.coldUntil = time.Time{}
		if in.Cold > 0 {
			i.coldUntil = read.Add(in.Cold)
		}
	}
	for _, i := range g.instances {
		if slices.ContainsFunc(is, func(in catalog.Instance) bool { return in.Name == i.info.Name }) {
			continue
		}
		if i.missing.IsZero() {
			i.missing = now
		}
		if now.Sub(i.missing) >= missingFor {
			g.drop(i, "it is off the list")
		}
	}
	g.belief.SetInstances(is)
	g.dispatch()
}

func (g *group) noteInstance(i *instance, choice, why string) {
	g.r.note(Event{
		Kind: EventInstance, Service: g.name, Instance: i.info.Name, Choice: choice, Reason: why,
	})
}

// drop gives up an instance; what runs on it may end.
func (g *group) drop(i *instance, why string) {
	if i.gone {
		return
	}
	i.gone = true
	g.noteInstance(i, "give up", why)
}

// forget drops what has been gone for long.
func (g *group) forget(now time.Time) {
	for n, i := range g.instances {
		if i.gone && len(i.conns) == 0 && !i.missing.IsZero() && now.Sub(i.missing) > keepGone {
			delete(g.instances, n)
		}
	}
}

// served reports whether any instance is there. An evacuation is no reason to send callers to
// other hosts, as it holds for all.
func (g *group) served() bool {
	for _, i := range g.instances {
		if !i.gone && !i.info.Leaving {
			return true
		}
	}
	return false
}

// leads reports whether the group's answers of an instance are a primary's.
func (g *group) leads(n fleet.Instance) bool {
	if p, _, ok := g.belief.Primary(); ok && p == n {
		return true
	}
	f, _, ok := g.belief.FormerPrimary()
	return ok && f == n
}

// primary returns the instance that takes writes now. While an order is on its way the
// former primary goes on, as long as it does.
func (g *group) primary() *instance {
	if p, _, ok := g.belief.Primary(); ok {
		return g.instances[p]
	}
	if f, _, ok := g.belief.FormerPrimary(); ok {
		return g.instances[f]
	}
	return nil
}

// refusedBy takes in what a refusal tells of an instance.
func (g *group) refusedBy(c *Conn, code statement.Code, o *operation) {
	switch code {
	case statement.CodeUnreachable:
		if c.via != "" {
			c.inst.block(c.via)
		}
	case statement.CodeLagging:
		c.inst.lacked(g.r.now())
	case statement.CodeReadOnly:
		if g.leads(c.Instance) {
			g.r.note(Event{
				Kind: EventLeader, Service: g.name, Instance: c.Instance, ID: o.q.ID,
				Choice: "not the primary any more", Reason: "it refuses to write", Code: code,
			})
		}
		g.belief.AddRefusal(c.Instance)
		g.r.cfg.RefreshRecords()
	default:
	}
}

// anyAccount returns an account under which the host may connect.
func (g *group) anyAccount() (fleet.Account, bool) {
	for _, o := range g.waiting {
		return o.s.account, true
	}
	if g.r.catalog == nil {
		return "", false
	}
	var first fleet.Account
	for a := range g.r.catalog.Accounts {
		if first == "" || a < first {
			first = a
		}
	}
	return first, first != ""
}
