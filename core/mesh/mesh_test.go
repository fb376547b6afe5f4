package mesh_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/mesh"
)

// newPeers returns n hosts, spread evenly over three data centres. All of them are heard.
func newPeers(n int) []mesh.Peer {
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

// others returns all peers but the one at index n.
func others(peers []mesh.Peer, n int) []mesh.Peer {
	return append(slices.Clone(peers[:n]), peers[n+1:]...)
}

func ExampleRecipients() {
	small := []mesh.Peer{{Host: "h2", DataCentre: "obihiro"}, {Host: "h3", DataCentre: "sapporo"}}
	fmt.Println(mesh.Recipients(mesh.Peer{Host: "h1", DataCentre: "obihiro"}, small))
	// Output: [h2 h3]
}

// Guards against hosts that a report doesn't reach, directly or through a relay, and against
// reports to other data centres that grow with the fleet.
func TestReportsReachAllHosts(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{2, 8, 16, 17, 80, 300} {
		peers := newPeers(n)
		for from := range peers {
			direct := mesh.Recipients(peers[from], others(peers, from))
			reached := fleet.NewSet(direct...)
			remote := 0
			for _, h := range direct {
				at := slices.IndexFunc(peers, func(p mesh.Peer) bool { return p.Host == h })
				if peers[at].DataCentre != peers[from].DataCentre {
					remote++
				}
				if !mesh.ForwardsFrom(peers[at], peers[from].DataCentre, others(peers, at)) {
					continue
				}
				for _, local := range mesh.LocalRecipients(peers[at].DataCentre, others(peers, at)) {
					reached.Add(local)
				}
			}
			reached.Add(peers[from].Host)
			c.Assert(len(reached), qt.Equals, n, qt.Commentf("%d hosts, from %s", n, peers[from].Host))
			if mesh.UsesRelays(n) {
				c.Assert(remote, qt.Equals, 4)
			}
		}
	}
}

// Guards against reports lost at a relay that has died or is leaving. Another host must replace it,
// and the other relays stay.
func TestDeadRelayIsReplaced(t *testing.T) {
	c := qt.New(t)
	for _, end := range []func(p *mesh.Peer){
		func(p *mesh.Peer) { p.Heard = false },
		func(p *mesh.Peer) { p.Leaving = true },
	} {
		checkRelayReplaced(c, end)
	}
}

func checkRelayReplaced(c *qt.C, end func(p *mesh.Peer)) {
	peers := newPeers(60)
	before := mesh.Recipients(peers[0], others(peers, 0))
	dead := before[len(before)-1]
	for n := range peers {
		if peers[n].Host == dead {
			end(&peers[n])
		}
	}
	after := mesh.Recipients(peers[0], others(peers, 0))
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

// No host of the other data centres is heard, as after a start or a network partition. Two hosts of
// each are tried.
func TestUnheardDataCentreIsTried(t *testing.T) {
	c := qt.New(t)
	peers := newPeers(60)
	for n := range peers {
		peers[n].Heard = peers[n].DataCentre == "dc0"
	}
	c.Assert(mesh.Recipients(peers[0], others(peers, 0)), qt.HasLen, 19+4)
}

// Guards against two hosts of a data centre that forward the same reports. One forwards without
// waiting, and the others wait for it; when it has died, another host takes over.
func TestOnlyOneRelayForwardsWithoutWaiting(t *testing.T) {
	c := qt.New(t)
	peers := newPeers(60)
	forwarders := func() []fleet.Host {
		var out []fleet.Host
		for n, p := range peers {
			if p.Heard && p.DataCentre == "dc1" &&
				mesh.ForwardDelay(p, others(peers, n)) == mesh.IntervalsFor(len(peers)).Forward {
				out = append(out, p.Host)
			}
		}
		return out
	}
	before := forwarders()
	c.Assert(before, qt.HasLen, 1)
	for n := range peers {
		peers[n].Heard = peers[n].Host != before[0]
	}
	after := forwarders()
	c.Assert(after, qt.HasLen, 1)
	c.Assert(after[0], qt.Not(qt.Equals), before[0])
}

// Guards against reports that load a host's processor and link the more, the larger the fleet is.
func TestDatagramsOfAHostDoNotGrowWithTheFleet(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{30, 100, 300, 920} {
		peers := newPeers(n)
		for h := range peers {
			to := mesh.Recipients(peers[h], others(peers, h))
			// Three data centres have six relays. A small data centre doesn't use its own.
			c.Assert(len(to) <= max(6, n/3+4) && len(to) <= 36, qt.IsTrue, qt.Commentf("%d of %d", len(to), n))
		}
	}
}

// Guards against small hosts as relays: what a relay forwards would fill their links.
func TestRelaysAreTheStrongestHosts(t *testing.T) {
	c := qt.New(t)
	peers := newPeers(300)
	for n := range peers {
		peers[n].Capacity = 0.2
	}
	strong := fleet.NewSet[fleet.Host]()
	for n := range 9 {
		peers[100+n].Capacity = 0.8
		strong.Add(peers[100+n].Host)
	}
	to := mesh.Recipients(peers[0], others(peers, 0))
	c.Assert(to, qt.HasLen, 6)
	for _, h := range to {
		c.Check(strong.Has(h), qt.IsTrue, qt.Commentf("%s", h))
	}
}
