package relay

import (
	"time"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/staleness"
)

// sole returns the moment up to which the instance that is used as the primary is known to
// have led alone. Commits of another can only have been acknowledged after it. It may lie ahead.
//
// Two things tell: a renewed registration, for as long as no order can take effect that was not
// known when it was renewed, and the other instances' own word that they are in no later term,
// for the moment at which they were asked. While an order is on its way, the instance that it
// names has to be asked whatever the registration tells.
func (g *group) sole() time.Time {
	known := g.r.lease.Until()
	if p, t, ok := g.belief.Primary(); ok {
		return later(known, g.disclaimed(g.others(p), t))
	}
	f, t, ok := g.belief.FormerPrimary()
	if !ok {
		return time.Time{}
	}
	named := g.belief.DesignatedPrimary()
	rest := make([]fleet.Instance, 0, len(g.instances))
	for _, n := range g.others(f) {
		if n != named {
			rest = append(rest, n)
		}
	}
	known = later(known, g.disclaimed(rest, t))
	asked := g.disclaimed([]fleet.Instance{named}, t)
	if asked.Before(known) {
		known = asked
	}
	return later(known, g.unaffected)
}

// disclaimed returns the moment at which all of some instances were in no later term than t, by
// their own word; now if there are none.
func (g *group) disclaimed(is []fleet.Instance, t fleet.Term) time.Time {
	at := g.r.now()
	for _, n := range is {
		i := g.instances[n]
		if i == nil || i.term > t || i.termAt.IsZero() {
			return time.Time{}
		}
		if i.termAt.Before(at) {
			at = i.termAt
		}
	}
	return at
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// mayLead reports whether the primary may run an operation: whether it is known to have led alone
// up to the moment whose commits the operation's reads have to show. A write needs no more
// than the proof of its answer.
//
// The guard is against a read that runs on a primary which was replaced, and lacks what its
// successor has acknowledged: its answer could be withheld afterwards, but it has run. What is
// owed is fixed when the operation begins, so that a read which is held up after this, in a queue
// or on the way, still shows all that it has to.
func (g *group) mayLead(o *operation) bool {
	if o.writes && !o.beginsTx || !g.sole().Before(o.asOf) {
		return true
	}
	g.doubt = later(g.doubt, o.asOf)
	return false
}

// vouch asks the other instances for what the operations lack that wait for mayLead.
func (g *group) vouch(now time.Time) {
	after := g.doubt
	g.doubt = time.Time{}
	p := g.primary()
	if after.IsZero() || p == nil {
		return
	}
	for _, n := range g.others(p.info.Name) {
		i := g.instances[n]
		if i == nil || !i.termAt.Before(after) || !i.askedAt.Before(after) && now.Sub(i.askedAt) < settleEvery {
			continue
		}
		g.question(now, i)
	}
}

// joined reports whether the log of a replica is known to be of the history that a sample was
// taken in, so that covering its point means to hold what is before it.
//
// A promotion writes no entry: until its first commit, the new primary's point is of the former
// term. A replica that hasn't heard of the change covers that point by the former primary's
// history, whatever either of them lacks of the other's. A point of the new term is in no other
// history; for one of before, the replica has to have said itself that it is in the new term.
func (i *instance) joined(s staleness.Sample) bool {
	return s.Position.Term >= s.PrimaryTerm || i.term >= s.PrimaryTerm
}

// followPart makes the pause between two questions whether a replica has joined grow with the time
// since the reign began: a quarter of it. Most join within a tenth of a second; of one that
// is cut off for long each host would ask twenty times a second.
const followPart = 4

// follow asks the replicas whether they have joined the primary's term yet, while reads come that
// need to know.
func (g *group) follow(now time.Time) {
	p, t, ok := g.belief.Primary()
	if !ok || now.Sub(g.readAt) > sampleFor {
		return
	}
	age := now.Sub(g.settledAt)
	if s, ok := g.samples.Newest(); ok && s.Position.Term >= t && age > sampleFor {
		return
	}
	pause := max(settleEvery, age/followPart)
	for _, i := range g.instances {
		if i.info.Name != p && i.usable() && i.term < t && now.Sub(i.askedAt) >= pause {
			g.question(now, i)
		}
	}
}
