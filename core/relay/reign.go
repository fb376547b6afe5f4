package relay

import (
	"time"

	"skylarkdeal/core/fresh"
)

// joined reports whether the log of a replica is known to be of the history that a sample was
// taken in, so that covering its point means to hold what is before it.
//
// A promotion writes no entry: until its first commit, the new primary's point is of the former
// term. A replica that hasn't heard of the change covers that point by the former primary's
// history, whatever either of them lacks of the other's. A point of the new term is in no other
// history; for one of before, the replica has to have said itself that it is in the new term.
func (i *instance) joined(s fresh.Sample) bool {
	return s.Point.Term >= s.Reign || i.term >= s.Reign
}

// follow asks the replicas whether they have joined the primary's term yet, while reads come.
func (g *group) follow(now time.Time) {
	p, t, ok := g.belief.Primary()
	if !ok || now.Sub(g.readAt) > sampleFor {
		return
	}
	for _, i := range g.instances {
		if i.info.Name != p && i.usable() && i.term < t && now.Sub(i.askedAt) >= settleEvery {
			g.question(now, i)
		}
	}
}
