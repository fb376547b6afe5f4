package test_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/roster"
)

// outageTime is longer than the hosts' leases of 3 s.
const outageTime = 5 * time.Second

// The store goes down under load for longer than the hosts' leases. Orders go on
// over every host, and a host that starts meanwhile learns documents and members
// from its peers and serves. After the store's return all orders that were
// acknowledged are in the log, once.
func TestOutageOfTheStoreBreaksNothing(t *testing.T) {
	f := startFleet(t, 4)
	g := f.addGroup(t, "outage")
	w := g.write(f.hosts, 4)
	w.more(t, 20)
	f.storeFault(t, "down=true")
	h, err := f.addHost()
	qt.Assert(t, err, qt.IsNil)
	h.ready(t)
	time.Sleep(outageTime) // the fault's own duration
	g.served(t, h)
	w.more(t, 40)
	late := g.write(f.hosts[4:], 1)
	late.more(t, 20)
	f.storeFault(t, "down=false")
	w.more(t, 40)
	all := append(w.end(), late.end()...)
	t.Log(w.summary(), late.summary())
	judge(t, g.record(t, ""), all)
}

// serviceOf returns the name of a service whose first account falls to these hosts, each among the
// hosts of its data centre.
func serviceOf(t *testing.T, all []*host, owners ...*host) fleet.Service {
	t.Helper()
	var members []fleet.Member
	for _, h := range all {
		members = append(members, fleet.Member{Host: fleet.Host(h.name), DataCentre: h.centre})
	}
	for n := range 1000 {
		name := fleet.Service(fmt.Sprintf("outage-%d", n))
		shard := roster.ShardOf(name, accounts(name)[0].Name)
		fits := true
		for _, h := range owners {
			o, _ := roster.DutyHolder(roster.InDataCentre(members, h.centre), roster.Home(h.centre, shard))
			fits = fits && o.Host == fleet.Host(h.name)
		}
		if fits {
			return name
		}
	}
	t.Fatal("no name fits")
	return ""
}

// Guards against a fleet that refuses all of an account's work for the whole outage of the store: in
// each data centre a host starts meanwhile that ought to own the account's shard and can't take it.
func TestHostsThatStartInAnOutageTakeNoShardAway(t *testing.T) {
	f := startFleet(t, 4)
	late := []*host{{name: "obihiro-5", centre: "obihiro"}, {name: "sapporo-6", centre: "sapporo"}}
	g := f.addGroup(t, serviceOf(t, append(late, f.hosts...), late...))
	f.settled(t)
	w := g.write(f.hosts, 4)
	w.more(t, 20)
	f.storeFault(t, "down=true")
	for _, l := range late {
		h, err := f.addHost()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, h.name, qt.Equals, l.name)
		h.ready(t)
	}
	time.Sleep(outageTime) // the fault's own duration
	w.more(t, 40)
	for _, h := range f.hosts {
		g.served(t, h)
	}
	f.storeFault(t, "down=false")
	w.more(t, 40)
	all := w.end()
	t.Log(w.summary())
	judge(t, g.record(t, ""), all)
}
