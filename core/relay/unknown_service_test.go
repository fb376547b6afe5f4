package relay_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
)

// Guards against promotions, connections and state for a service that operators don't have: an entry among the
// instances that another writer has left names one.
func TestUnknownServiceIsLeftAlone(t *testing.T) {
	c := qt.New(t)
	for _, x := range []struct {
		role    fleet.Role
		leaving bool
	}{{fleet.RoleReplica, false}, {fleet.RolePrimary, true}, {fleet.RolePrimary, false}} {
		w := newWorld(c).withConfirmedPrimary()
		w.relay.SetCoordinator(true)
		for _, name := range []fleet.Instance{"odd", "odd-2"} {
			w.instances[name] = &node{name: name, role: x.role, term: 1}
			w.extra = append(w.extra, catalog.Instance{
				Name: name, Service: "unknown", Address: "10.0.0.1:odd", DataCentre: "obihiro", Slots: 2, Role: x.role,
				Leaving: x.leaving && name == "odd",
			})
		}
		w.listFor(20 * time.Second)
		c.Check(w.promotionRequests, qt.HasLen, 0)
		c.Check(w.relay.State().Groups, qt.HasLen, 1)
		c.Check(w.instances["odd"].dialled, qt.Equals, 0)
	}
}

// Guards against a service without instances because they were listed before the host had the catalog with it.
func TestInstancesListedBeforeTheirServiceAreUsed(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c).withConfirmedPrimary()
	w.extra = append(w.extra, catalog.Instance{
		Name: "s", Service: "stock", Address: "10.0.0.1:s", DataCentre: "obihiro", Slots: 2, Role: fleet.RolePrimary,
	})
	w.list()
	c.Check(w.relay.State().Groups, qt.HasLen, 1)
	w.addService("stock")
	groups := w.relay.State().Groups
	c.Assert(groups, qt.HasLen, 2)
	c.Check(groups[1].Instances, qt.HasLen, 1)
}
