package leader_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
	"skylarkdeal/core/statement"
)

// member is an instance of a simulated group.
type member struct {
	up, listed, leads bool
	term              fleet.Term
}

// successors is a group whose primaries change, as seen by one coordinator after the other.
type successors struct {
	members map[fleet.Instance]*member
	// record is the store's, begun the latest term that has begun.
	record  leader.Record
	begun   fleet.Term
	pending bool
	// host is the present coordinator. own is set once it has requested the promotion of the record.
	host *leader.PrimaryState
	own  bool
	now  time.Time
}

func newSuccessors() *successors {
	g := &successors{members: map[fleet.Instance]*member{}, begun: 1, now: start}
	for _, n := range []fleet.Instance{"a", "b", "c"} {
		g.members[n] = &member{up: true, listed: true, term: 1, leads: n == "a"}
	}
	g.record = leader.Record{Primary: "a", Term: 1, Revision: 1}
	g.replaceHost()
	return g
}

// replaceHost makes a host the coordinator that has just started, or has not heard the group for long.
func (g *successors) replaceHost() {
	g.host, g.own = &leader.PrimaryState{}, false
	g.host.AddRecord(g.record)
}

// hear has the coordinator receive the statuses of the instances that it can reach.
func (g *successors) hear() {
	for n, m := range g.members {
		if m.up {
			s := statement.Status{Role: fleet.RoleReplica, Term: m.term}
			if m.leads {
				s.Role = fleet.RolePrimary
			}
			g.host.AddStatus(n, s)
		}
	}
	if p := g.members[g.host.DesignatedPrimary()]; p != nil && !p.up {
		g.host.AddRefusal(g.host.DesignatedPrimary())
	}
}

// decide has the coordinator decide, and returns the instance whose promotion it requests.
func (g *successors) decide() (fleet.Instance, bool) {
	g.hear()
	s := leader.GroupStatus{Now: g.now, Since: g.now.Add(-time.Minute), OwnRequest: g.own}
	for n, m := range g.members {
		s.Instances = append(s.Instances, leader.InstanceInfo{
			Name: n, Gone: !m.listed, Reachable: m.up, IsPrimary: m.up && m.leads, Term: m.term,
			Received: fleet.LogPosition{Term: m.term, Index: 5},
		})
		if !m.up {
			s.Instances[len(s.Instances)-1].Term = 0
			s.Instances[len(s.Instances)-1].UnreachableFrom = 3
			s.Instances[len(s.Instances)-1].UnreachableFor = time.Minute
		}
	}
	d := g.host.Decide(s)
	if !d.Ready {
		return "", false
	}
	g.record = leader.Record{
		Primary: d.Request.Primary, Former: d.Request.Former, Term: d.Request.Term, Revision: g.record.Revision + 1,
	}
	g.pending, g.own = true, true
	g.host.AddRecord(g.record)
	return d.Request.Primary, true
}

// takeEffect carries the pending promotion out.
func (g *successors) takeEffect() {
	p := g.members[g.record.Primary]
	if !g.pending || !p.up {
		return
	}
	g.pending = false
	if !p.leads || p.term != g.begun {
		g.begun = g.record.Term
		p.term, p.leads = g.begun, true
	}
	g.join()
	if g.own {
		g.hear()
	}
}

// join has all instances that run follow the primary of the latest term, if that runs.
func (g *successors) join() {
	for _, p := range g.members {
		if !p.up || !p.leads || p.term != g.begun {
			continue
		}
		for _, m := range g.members {
			if m.up && m != p {
				m.term, m.leads = g.begun, false
			}
		}
	}
}

// latestListed reports whether an instance is listed that was in the latest term.
func (g *successors) latestListed() bool {
	for _, m := range g.members {
		if m.listed && m.term == g.begun {
			return true
		}
	}
	return false
}

// Guards against a change of primary that brings back what an earlier one has rolled back, with coordinators that
// follow each other, start anew at any step, and were away while the primary changed.
func TestNoCoordinatorPromotesAnEarlierTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newSuccessors()
		g.hear()
		names := rapid.SampledFrom([]fleet.Instance{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(t *rapid.T) { g.members[names.Draw(t, "instance")].up = false },
			"leave the list": func(t *rapid.T) {
				m := g.members[names.Draw(t, "instance")]
				m.listed = m.listed && m.up
			},
			"return": func(t *rapid.T) {
				if m := g.members[names.Draw(t, "instance")]; !m.up {
					m.up, m.listed, m.leads = true, true, m.leads && m.term == g.begun
				}
			},
			"join":             func(*rapid.T) { g.join() },
			"hear":             func(*rapid.T) { g.hear() },
			"take effect":      func(*rapid.T) { g.takeEffect() },
			"replace the host": func(*rapid.T) { g.replaceHost() },
			"decide": func(t *rapid.T) {
				// A promotion that was requested while nobody of a later term was listed may still be carried out.
				repeated, ordered, listed := g.record.Primary, g.pending, g.latestListed()
				n, ok := g.decide()
				if ok && listed && g.members[n].term < g.begun && (!ordered || n != repeated) {
					t.Fatalf("%s of term %d is promoted while instances of term %d are listed", n, g.members[n].term, g.begun)
				}
			},
		})
	})
}

// Guards against a group that never has a primary again because the instances of the latest term have gone for good.
func TestGroupOfWhichOnlyAnEarlierTermIsLeftIsLedAgain(t *testing.T) {
	c := qt.New(t)
	g := newSuccessors()
	g.hear()
	g.members["a"].up = false
	g.members["c"].up = false
	g.hear()
	n, ok := g.decide()
	c.Assert(ok, qt.IsTrue)
	c.Assert(n, qt.Equals, fleet.Instance("b"))
	g.takeEffect()
	g.members["b"].up = false
	g.members["a"].up, g.members["a"].leads = true, false
	g.replaceHost()
	g.hear()
	_, ok = g.decide()
	c.Check(ok, qt.IsFalse)
	g.members["b"].listed = false
	_, ok = g.decide()
	c.Check(ok, qt.IsFalse, qt.Commentf("c may have been in the later term"))
	g.members["c"].listed = false
	n, ok = g.decide()
	c.Check(ok, qt.IsTrue)
	c.Check(n, qt.Equals, fleet.Instance("a"))
}
