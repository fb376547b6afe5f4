package test_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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
