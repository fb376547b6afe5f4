package relay_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
)

const (
	highCapacity fleet.Capacity = 0.8
	lowCapacity   fleet.Capacity = 0.2
	// highCapacityPerDataCentre is how many strong hosts each data centre of a large fleet has.
	highCapacityPerDataCentre = 3
)

// fleetSizes are those that a host's cost is compared at.
var fleetSizes = []int{30, 100, 300, 920}

// fleetOf returns n hosts in five data centres, of which the first three have the instances.
func fleetOf(n int) []relay.Peer {
	out := make([]relay.Peer, n)
	for h := range out {
		out[h] = relay.Peer{
			Host:       fleet.Host(fmt.Sprintf("h%d", h)),
			DataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", h%5)),
			Capacity:   lowCapacity, Send: func(relay.Forward) {},
		}
		if h < 5*highCapacityPerDataCentre {
			out[h].Capacity = highCapacity
		}
	}
	return out
}

// newFleetWorld returns the relay of one host of a fleet, before many groups of three instances.
func newFleetWorld(c *qt.C, hosts []relay.Peer, n, groups int) *world {
	w := worldOf(c, hosts[n], time.Minute)
	var is []catalog.Instance
	for g := range groups {
		for d := range 3 {
			is = append(is, catalog.Instance{
				Name:    fleet.Instance(fmt.Sprintf("i%d-%d", g, d)),
				Service: fleet.Service(fmt.Sprintf("s%d", g)), DataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", d)),
				Slots: 2,
			})
		}
	}
	w.relay.SetInstances(is, w.now)
	w.relay.SetHostCount(len(hosts))
	w.relay.SetPeers(append(append([]relay.Peer(nil), hosts[:n]...), hosts[n+1:]...), 0)
	return w
}

// holderByInstance returns the host over which a host uses each instance.
func (w *world) holderByInstance(self fleet.Host) map[fleet.Instance]fleet.Host {
	out := map[fleet.Instance]fleet.Host{}
	for _, g := range w.relay.State().Groups {
		if g.Service == service {
			continue
		}
		for _, i := range g.Instances {
			out[i.Instance] = i.Holder
			if i.Holder == "" {
				out[i.Instance] = self
			}
		}
	}
	return out
}

// Guards against links and holders that grow with the fleet.
func TestLinksOfAHostDoNotGrowWithTheFleet(t *testing.T) {
	c := qt.New(t)
	const groups = 20
	for _, n := range fleetSizes {
		hosts := fleetOf(n)
		var agreed map[fleet.Instance]fleet.Host
		for h := 0; h < n; h += max(n/20, 1) {
			w := newFleetWorld(c, hosts, h, groups)
			got := w.holderByInstance(hosts[h].Host)
			if agreed == nil {
				agreed = got
			}
			c.Assert(got, qt.DeepEquals, agreed)
			// The world has three more instances, where no host is.
			c.Assert(len(w.relay.Holders()) <= 3*highCapacityPerDataCentre+3, qt.IsTrue,
				qt.Commentf("%d links of %d hosts", len(w.relay.Holders()), n))
		}
	}
}

// Guards against callers who wait for a small host that holds a busy instance: its processor is
// taken by what the whole fleet sends through it.
func TestLoadOfHoldersFitsTheirCapacity(t *testing.T) {
	c := qt.New(t)
	const (
		groups = 20
		// A loaded instance runs a statement in 9 ms on each of its two slots, and each takes the
		// holder half a millisecond.
		statements     = 2 / 0.009
		holderWork     = 0.0005
		mostOfCapacity = 1.5
	)
	for _, n := range fleetSizes {
		hosts := fleetOf(n)
		of := map[fleet.Host]fleet.Capacity{}
		for _, h := range hosts {
			of[h.Host] = h.Capacity
		}
		work := map[fleet.Host]float64{}
		for _, h := range newFleetWorld(c, hosts, 0, groups).holderByInstance(hosts[0].Host) {
			work[h] += statements * holderWork
		}
		for h, cores := range work {
			c.Check(of[h], qt.Equals, highCapacity, qt.Commentf("%s of %d hosts", h, n))
			c.Check(cores/float64(of[h]) < mostOfCapacity, qt.IsTrue, qt.Commentf("%s: %g cores", h, cores))
		}
	}
}

// Guards against an instance whose connections are used up by hosts that look whether they reach
// it, as all have heard that one doesn't.
func TestFewHostsProbeASuspectedInstance(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{300, 920} {
		hosts := fleetOf(n)
		dials := 0
		for h := 1; h < n; h++ {
			w := newFleetWorld(c, hosts, h, 0)
			w.now = w.now.Add(time.Second)
			w.relay.AddReachability(hosts[0].Host, []fleet.Instance{"b"}, nil)
			dials += w.instances["b"].dialled
		}
		c.Check(dials > 0 && dials <= 16, qt.IsTrue, qt.Commentf("%d connections of %d hosts", dials, n))
	}
}

// Guards against a start at which each host takes itself for the holder of an instance whose holders
// it doesn't hear yet. Over those that it hears it serves its callers.
func TestHostWithIncompletePeersOpensNoConnections(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c)
	w.relay.SetHostCount(300)
	w.relay.SetPeersIncomplete(true)
	w.settled()
	for _, n := range w.instances {
		c.Check(n.dialled, qt.Equals, 0)
	}
	sent := 0
	w.relay.SetPeers([]relay.Peer{{
		Host: "h2", DataCentre: "obihiro", Capacity: highCapacity, Send: func(relay.Forward) { sent++ },
	}}, 0)
	w.pass(100*time.Millisecond, true)
	c.Check(sent > 0, qt.IsTrue)
	w.relay.SetPeers(nil, 0)
	w.relay.SetPeersIncomplete(false)
	w.settled()
	c.Check(w.instances["a"].dialled > 0, qt.IsTrue)
}

// Guards against a start at which no host hears another yet and each takes some connections: all
// instances were full, and turned away the hosts that were to hold them.
func TestHostWithoutPeersLeavesConnectionsFree(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c)
	w.relay.SetHostCount(12)
	w.settled()
	w.instances["a"].hold = true
	for _, k := range []catalog.Key{"key-1", "key-1", "key-3", "key-3"} {
		w.open("rush", k).do(statement.KindRead, "", "item")
	}
	for _, i := range w.relay.State().Groups[0].Instances {
		c.Check(i.Connections <= 1, qt.IsTrue, qt.Commentf("%s: %d connections", i.Instance, i.Connections))
	}
}

// Guards against a cut of a data centre that takes the processors of all hosts: links come and go,
// and each time every host looked through all others for each instance of the cut data centre.
func BenchmarkHoldersWhileADataCentreIsCutOff(b *testing.B) {
	c := qt.New(b)
	hosts := fleetOf(300)
	heard := slices.DeleteFunc(slices.Clone(hosts), func(p relay.Peer) bool { return p.DataCentre == "dc0" })
	w := newFleetWorld(c, hosts, 1, 20)
	for n := range b.N {
		heard[n%len(heard)].Send = nil
		w.relay.SetPeers(slices.Clone(heard), 60)
		w.relay.Holders()
		heard[n%len(heard)].Send = func(relay.Forward) {}
	}
}

// Guards against hundreds of hosts that all tick quickly while one group has no primary.
func TestForwardingHostIsIdleWhileAGroupHasNoPrimary(t *testing.T) {
	c := qt.New(t)
	w := newFleetWorld(c, fleetOf(300), 50, 1)
	c.Assert(w.relay.HasWaiting(), qt.IsFalse)
	w.relay.SetCoordinator(true)
	c.Assert(w.relay.HasWaiting(), qt.IsTrue)
}
