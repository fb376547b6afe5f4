package syncrep_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/syncrep"
)

func at(index int) fleet.LogPosition { return fleet.LogPosition{Term: 1, Index: fleet.LogIndex(index)} }

func ExampleGroup_Judge() {
	g := syncrep.Group{Required: 1, Term: 1, Primaries: []fleet.Instance{"a"}, Members: []syncrep.Member{
		{Name: "a", Term: 1},
		{Name: "b", Term: 1, Heard: true, Received: at(99)},
		{Name: "c", Term: 1, Heard: true, Received: at(5)},
	}}
	fmt.Println(g.Judge("b").Hold, g.Judge("b").Missing)
	fmt.Println(g.Judge("c").Hold, g.Judge("c").Missing)
	// Output:
	// [c] map[]
	// [] map[b:ahead]
}

// Guards against each way in which a candidate may lack an acknowledged commit, and against a promotion that waits for
// an instance which can't have one.
func TestJudge(t *testing.T) {
	c := qt.New(t)
	for _, t := range []struct {
		name     string
		required int
		change   func(g *syncrep.Group)
		hold     []fleet.Instance
		missing  int
	}{
		{"asynchronous replicas ask for nothing", 0, func(g *syncrep.Group) { g.Members[2].Heard = false }, nil, 0},
		{"the other replica isn't held back", 1, func(*syncrep.Group) {}, []fleet.Instance{"c"}, 0},
		{"the other replica is held back", 1, func(g *syncrep.Group) { g.Members[2].Held = true }, nil, 0},
		{"the other replica rejects that", 1, func(g *syncrep.Group) { g.Members[2].Unholdable = true }, nil, 0},
		{"the other replica isn't heard", 1, func(g *syncrep.Group) { g.Members[2].Heard = false }, nil, 1},
		{"the other replica is ahead", 1, func(g *syncrep.Group) { g.Members[2].Received = at(6) }, nil, 1},
		{"the other replica is in a later term", 1, func(g *syncrep.Group) { g.Members[2].Term = 2 }, nil, 1},
		{"both replicas confirm each commit", 2, func(g *syncrep.Group) { g.Members[2].Heard = false }, nil, 0},
		{"a replica has gone", 1, func(g *syncrep.Group) {
			g.Members[2].Held = true
			g.Members = append(g.Members, syncrep.Member{Name: "d", Gone: true})
		}, nil, 1},
		{"the primary has stopped and shows its log", 1, func(g *syncrep.Group) {
			g.Members[0].Heard, g.Members[2].Heard = true, false
		}, nil, 0},
		{"the primary has stopped with a longer log", 1, func(g *syncrep.Group) {
			g.Members[0].Heard, g.Members[0].Received, g.Members[2].Heard = true, at(6), false
		}, nil, 1},
		{"the primary still leads", 1, func(g *syncrep.Group) {
			g.Members[0].Heard, g.Members[0].Leads, g.Members[2].Heard = true, true, false
		}, nil, 1},
		{"the primary has started anew without its log", 1, func(g *syncrep.Group) {
			g.Members[0].Heard, g.Members[0].Received, g.Members[2].Heard = true, at(0), false
			g.Members = append(g.Members, syncrep.Member{Name: "a", Gone: true})
		}, nil, 1},
		{"the promotion before may not have taken effect", 1, func(g *syncrep.Group) {
			g.Primaries = []fleet.Instance{"b", "a"}
			g.Members[2].Heard = false
		}, nil, 1},
		{"nothing tells who led", 1, func(g *syncrep.Group) { g.Primaries = nil }, []fleet.Instance{"c"}, 1},
	} {
		g := syncrep.Group{Required: t.required, Term: 1, Primaries: []fleet.Instance{"a"}, Members: []syncrep.Member{
			{Name: "a", Term: 1},
			{Name: "b", Term: 1, Heard: true, Received: at(5)},
			{Name: "c", Term: 1, Heard: true, Received: at(5)},
		}}
		t.change(&g)
		v := g.Judge("b")
		c.Check(v.Hold, qt.DeepEquals, t.hold, qt.Commentf("%s", t.name))
		c.Check(v.Missing, qt.HasLen, t.missing, qt.Commentf("%s", t.name))
	}
}

// replication is a group of which each commit is acknowledged once enough replicas have received it.
type replication struct {
	required int
	// received is how many commits each instance has; the first one leads.
	received []int
	held     []bool
	// acknowledged is the number of commits that were acknowledged.
	acknowledged int
}

// step has the primary commit, or one replica receive.
func (r *replication) step(i int) {
	switch {
	case i == 0:
		r.received[0]++
	case !r.held[i] && r.received[i] < r.received[0]:
		r.received[i]++
	}
	replicas := slices.Clone(r.received[1:])
	slices.Sort(replicas)
	slices.Reverse(replicas)
	if n := replicas[r.required-1]; n > r.acknowledged {
		r.acknowledged = n
	}
}

// Guards against a promotion that loses acknowledged commits, whatever the number of instances and of synchronous
// replicas, with replicas that are deaf, silent and held back, and a primary that goes on until the promotion takes
// effect; and against a group that gets no primary although all of its replicas answer.
func TestNoPromotionLosesAnAcknowledgedCommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "instances")
		r := &replication{
			required: rapid.IntRange(1, n-1).Draw(t, "required"), received: make([]int, n), held: make([]bool, n),
		}
		steps := rapid.SliceOfN(rapid.IntRange(0, n-1), 0, 40)
		for _, i := range steps.Draw(t, "before") {
			r.step(i)
		}
		silent := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "silent")
		name := func(i int) fleet.Instance { return fleet.Instance(rune('a' + i)) }
		members := make([]syncrep.Member, n)
		hear := func(i int) {
			members[i] = syncrep.Member{
				Name: name(i), Term: 1, Received: at(r.received[i]), Heard: i > 0 && !silent[i], Held: r.held[i],
			}
		}
		for i := range n {
			hear(i)
			// The statuses come from different moments.
			for _, i := range steps.Draw(t, "between") {
				r.step(i)
			}
		}
		g := syncrep.Group{Required: r.required, Term: 1, Primaries: []fleet.Instance{name(0)}, Members: members}
		candidate := 1
		for i := 1; i < n; i++ {
			if members[i].Heard && (!members[candidate].Heard || r.received[i] > r.received[candidate]) {
				candidate = i
			}
		}
		if !members[candidate].Heard {
			return
		}
		for _, h := range g.Judge(name(candidate)).Hold {
			i := int(h[0] - 'a')
			r.held[i] = true
			for _, i := range steps.Draw(t, "while they are being held back") {
				r.step(i)
			}
			hear(i)
		}
		v := g.Judge(name(candidate))
		if !v.Safe() {
			if !slices.Contains(silent[1:], true) && members[candidate].Received == at(slices.Max(r.received[1:])) {
				t.Fatalf("all replicas answer, the candidate has most, and still %v", v)
			}
			return
		}
		for _, i := range steps.Draw(t, "until the promotion takes effect") {
			r.step(i)
		}
		if r.received[candidate] < r.acknowledged {
			t.Fatalf("%s has %d of %d acknowledged commits", name(candidate), r.received[candidate], r.acknowledged)
		}
	})
}
