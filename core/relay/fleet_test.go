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
	lowCapacity  fleet.Capacity = 0.2
	// highCapacityPerDataCentre is how many strong hosts each data centre of a large fleet has.
	highCapacityPerDataCentre = 3
)

// fleetSizes are the numbers of hosts for which the cost of one host is checked.
var fleetSizes = []int{30, 100, 300, 920}

// newFleet returns n hosts in five data centres. The instances are in the first three.
func newFleet(n int) []relay.Peer {
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

// newFleetWorld returns the world of host n of a fleet, with a number of groups of three instances
// each.
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

// holderByInstance returns the host through which the host self uses each instance. Instances of
// the world's own group are left out.
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

// Guards against a number of links and holders that grows with the number of hosts. All hosts must
// choose the same holders.
func TestLinksOfAHostDoNotGrowWithTheFleet(t *testing.T) {
	c := qt.New(t)
	const groups = 20
	for _, n := range fleetSizes {
		hosts := newFleet(n)
		var want map[fleet.Instance]fleet.Host
		for h := 0; h < n; h += max(n/20, 1) {
			w := newFleetWorld(c, hosts, h, groups)
			got := w.holderByInstance(hosts[h].Host)
			if want == nil {
				want = got
			}
			c.Assert(got, qt.DeepEquals, want)
			// The world's own group has three more instances, in a data centre without hosts of the fleet.
			c.Assert(len(w.relay.Holders()) <= 3*highCapacityPerDataCentre+3, qt.IsTrue,
				qt.Commentf("%d links of %d hosts", len(w.relay.Holders()), n))
		}
	}
}

// Guards against slow answers because a host with little capacity holds a busy instance: the
// statements of the whole fleet for this instance use its processor.
func TestLoadOfHoldersFitsTheirCapacity(t *testing.T) {
	c := qt.New(t)
	const (
		groups = 20
		// A loaded instance runs a statement in 9 ms on each of its two slots, and each statement
		// uses 0.5 ms of processor time of the holder.
		statementsPerSecond       = 2 / 0.009
		holderSecondsPerStatement = 0.0005
		maxLoad                   = 1.5
	)
	for _, n := range fleetSizes {
		hosts := newFleet(n)
		capacities := map[fleet.Host]fleet.Capacity{}
		for _, h := range hosts {
			capacities[h.Host] = h.Capacity
		}
		cores := map[fleet.Host]float64{}
		for _, h := range newFleetWorld(c, hosts, 0, groups).holderByInstance(hosts[0].Host) {
			cores[h] += statementsPerSecond * holderSecondsPerStatement
		}
		for h, used := range cores {
			c.Check(capacities[h], qt.Equals, highCapacity, qt.Commentf("%s of %d hosts", h, n))
			c.Check(used/float64(capacities[h]) < maxLoad, qt.IsTrue, qt.Commentf("%s: %g cores", h, used))
		}
	}
}

// Guards against a suspected instance whose connections are used up by the probes of all hosts,
// after one host has reported that it can't reach the instance.
func TestFewHostsProbeASuspectedInstance(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{300, 920} {
		hosts := newFleet(n)
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

// Guards against hosts that start and each become a holder of an instance, because they don't hear
// the actual holders yet. Until then a host serves its callers through the peers that it hears.
func TestHostWithIncompletePeersOpensNoConnections(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c)
	w.relay.SetHostCount(300)
	w.relay.SetPeersIncomplete(true)
	w.withConfirmedPrimary()
	for _, n := range w.instances {
		c.Check(n.dialled, qt.Equals, 0)
	}
	sent := 0
	w.relay.SetPeers([]relay.Peer{{
		Host: "h2", DataCentre: "obihiro", Capacity: highCapacity, Send: func(relay.Forward) { sent++ },
	}}, 0)
	w.advance(100*time.Millisecond, true)
	c.Check(sent > 0, qt.IsTrue)
	w.relay.SetPeers(nil, 0)
	w.relay.SetPeersIncomplete(false)
	w.withConfirmedPrimary()
	c.Check(w.instances["a"].dialled > 0, qt.IsTrue)
}

// Guards against hosts that start, hear no peer yet and open several connections each. The
// instances were then full and rejected the hosts that were to hold them.
func TestHostWithoutPeersLeavesConnectionsFree(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c)
	w.relay.SetHostCount(12)
	w.withConfirmedPrimary()
	w.instances["a"].hold = true
	for _, k := range []catalog.Key{"key-1", "key-1", "key-3", "key-3"} {
		w.open("rush", k).do(statement.KindRead, "", "item")
	}
	for _, i := range w.relay.State().Groups[0].Instances {
		c.Check(i.Connections <= 1, qt.IsTrue, qt.Commentf("%s: %d connections", i.Instance, i.Connections))
	}
}

// Guards against a cut off data centre that uses up the processors of all hosts. Links close and
// open again, and each time every host searched all peers for each instance of that data centre.
func BenchmarkHoldersWhileADataCentreIsCutOff(b *testing.B) {
	c := qt.New(b)
	hosts := newFleet(300)
	reachable := slices.DeleteFunc(slices.Clone(hosts), func(p relay.Peer) bool { return p.DataCentre == "dc0" })
	w := newFleetWorld(c, hosts, 1, 20)
	for n := range b.N {
		reachable[n%len(reachable)].Send = nil
		w.relay.SetPeers(slices.Clone(reachable), 60)
		w.relay.Holders()
		reachable[n%len(reachable)].Send = func(relay.Forward) {}
	}
}

// Guards against hundreds of hosts that all tick at a short interval while one group has no
// primary. Only the failover coordinator and hosts with connections of their own tick so.
func TestForwardingHostIsIdleWhileAGroupHasNoPrimary(t *testing.T) {
	c := qt.New(t)
	w := newFleetWorld(c, newFleet(300), 50, 1)
	c.Assert(w.relay.HasWaiting(), qt.IsFalse)
	w.relay.SetCoordinator(true)
	c.Assert(w.relay.HasWaiting(), qt.IsTrue)
}

// Guards against a list of instances that was read earlier than the one in use and arrives later, as
// from another reader: an instance that is leaving would get new work again, and one that has
// registered since would count as unlisted.
func TestOlderListOfInstancesIsIgnored(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c)
	earlier, older := w.now, slices.Clone(w.instancesOf("ledger", "l"))
	w.advance(10*time.Millisecond, true)
	w.instancesOf("ledger", "l-2")
	w.extra[0].Leaving = true
	w.list()
	state := func() (out []relay.InstanceState) {
		for _, g := range w.relay.State().Groups {
			if g.Service == "ledger" {
				out = g.Instances
			}
		}
		return out
	}
	want := state()
	c.Assert(want, qt.HasLen, 2)
	w.relay.SetInstances(older, earlier)
	c.Check(state(), qt.DeepEquals, want)
	w.advance(3*time.Second, true)
	w.relay.SetInstances(older, earlier)
	for _, i := range state() {
		c.Check(i.Removed, qt.IsFalse)
	}
}
