package mesh_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/mesh"
)

// members returns n hosts, evenly over three data centres, all of which are heard.
func members(n int) []mesh.Peer {
	out := make([]mesh.Peer, n)
	for i := range out {
		out[i] = mesh.Peer{
			Host:       fleet.Host(fmt.Sprintf("h%d", i)),
			DataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", i%3)),
			Heard:      true,
		}
	}
	return out
}

// others returns all but one.
func others(ms []mesh.Peer, n int) []mesh.Peer {
	return append(slices.Clone(ms[:n]), ms[n+1:]...)
}

func ExampleRecipients() {
	small := []mesh.Peer{{Host: "h2", DataCentre: "obihiro"}, {Host: "h3", DataCentre: "sapporo"}}
	fmt.Println(mesh.Recipients(mesh.Peer{Host: "h1", DataCentre: "obihiro"}, small))
	// Output: [h2 h3]
}

// What a host sends to other data centres doesn't grow with the fleet, and yet each report
// reaches all hosts: directly, or over a door.
func TestReportsReachAllHosts(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{2, 8, 16, 17, 80, 300} {
		ms := members(n)
		for from := range ms {
			direct := mesh.Recipients(ms[from], others(ms, from))
			reached := fleet.NewSet(direct...)
			far := 0
			for _, h := range direct {
				at := slices.IndexFunc(ms, func(m mesh.Peer) bool { return m.Host == h })
				if ms[at].DataCentre != ms[from].DataCentre {
					far++
				}
				if !mesh.ForwardsFrom(ms[at], ms[from].DataCentre, others(ms, at)) {
					continue
				}
				for _, b := range mesh.LocalRecipients(ms[at].DataCentre, others(ms, at)) {
					reached.Add(b)
				}
			}
			reached.Add(ms[from].Host)
			c.Assert(len(reached), qt.Equals, n, qt.Commentf("%d hosts, from %s", n, ms[from].Host))
			if mesh.UsesRelays(n) {
				c.Assert(far, qt.Equals, 4)
			}
		}
	}
}

// A door dies, or is about to end. Once it isn't heard, or has told so, another takes its
// place, and the other one stays.
func TestDeadDoorIsReplaced(t *testing.T) {
	c := qt.New(t)
	for _, end := range []func(m *mesh.Peer){
		func(m *mesh.Peer) { m.Heard = false },
		func(m *mesh.Peer) { m.Leaving = true },
	} {
		testReplaced(c, end)
	}
}

func testReplaced(c *qt.C, end func(m *mesh.Peer)) {
	ms := members(60)
	before := mesh.Recipients(ms[0], others(ms, 0))
	dead := before[len(before)-1]
	for n := range ms {
		if ms[n].Host == dead {
			end(&ms[n])
		}
	}
	after := mesh.Recipients(ms[0], others(ms, 0))
	c.Assert(after, qt.HasLen, len(before))
	c.Assert(slices.Contains(after, dead), qt.IsFalse)
	same := 0
	for _, h := range after {
		if slices.Contains(before, h) {
			same++
		}
	}
	c.Assert(same, qt.Equals, len(before)-1)
}

// Nobody of another data centre is heard, as after a start or a cut. Two of it are tried.
func TestUnheardDataCentreIsTried(t *testing.T) {
	c := qt.New(t)
	ms := members(60)
	for n := range ms {
		ms[n].Heard = ms[n].DataCentre == "dc0"
	}
	c.Assert(mesh.Recipients(ms[0], others(ms, 0)), qt.HasLen, 19+4)
}

// Of the hosts of a data centre one passes on at once what it hears, and the others wait for it;
// when it has died, another one does.
func TestOneDoorPassesOnAtOnce(t *testing.T) {
	c := qt.New(t)
	ms := members(60)
	first := func() []fleet.Host {
		var out []fleet.Host
		for n, m := range ms {
			if m.Heard && m.DataCentre == "dc1" && mesh.ForwardDelay(m, others(ms, n)) == mesh.IntervalsFor(len(ms)).Forward {
				out = append(out, m.Host)
			}
		}
		return out
	}
	before := first()
	c.Assert(before, qt.HasLen, 1)
	for n := range ms {
		ms[n].Heard = ms[n].Host != before[0]
	}
	after := first()
	c.Assert(after, qt.HasLen, 1)
	c.Assert(after[0], qt.Not(qt.Equals), before[0])
}

// Guards against a host whose reports take its processor and its link, the more the larger the
// fleet is.
func TestDatagramsOfAHostDoNotGrowWithTheFleet(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{30, 100, 300, 920} {
		ms := members(n)
		for h := range ms {
			to := mesh.Recipients(ms[h], others(ms, h))
			// Six are the doors of three data centres; a small data centre has no need of its own.
			c.Assert(len(to) <= max(6, n/3+4) && len(to) <= 36, qt.IsTrue, qt.Commentf("%d of %d", len(to), n))
		}
	}
}

// Guards against a door that is a small host: what a door passes on fills its link.
func TestStrongHostsAreDoors(t *testing.T) {
	c := qt.New(t)
	ms := members(300)
	for n := range ms {
		ms[n].Capacity = 0.2
	}
	strong := fleet.NewSet[fleet.Host]()
	for n := range 9 {
		ms[100+n].Capacity = 0.8
		strong.Add(ms[100+n].Host)
	}
	to := mesh.Recipients(ms[0], others(ms, 0))
	c.Assert(to, qt.HasLen, 6)
	for _, h := range to {
		c.Check(strong.Has(h), qt.IsTrue, qt.Commentf("%s", h))
	}
}
