package machines

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// PromoteAfter is what the platform takes to carry out an order.
const PromoteAfter = time.Second

// Order is an order that an instance leads its group, as it arrived.
type Order struct {
	Service, Instance, Holder string
	Fence                     uint64
}

// Orders returns the address where changes of primary are ordered.
func (m *Machines) Orders() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var b struct{ Service, Id string } //nolint:revive // the platform's name
		fence, err := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
		if err != nil || json.NewDecoder(r.Body).Decode(&b) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		o := Order{Service: b.Service, Instance: b.Id, Holder: r.Header.Get("Duty-Holder"), Fence: fence}
		if !m.order(o) {
			w.WriteHeader(http.StatusConflict)
		}
	})
}

// order takes an order and reports whether its instance runs.
func (m *Machines) order(o Order) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Ordered != nil {
		m.Ordered(o)
	}
	i := m.instances[o.Instance]
	if i == nil || i.dead || i.group.name != o.Service {
		return false
	}
	if i.group.leader != i {
		time.AfterFunc(PromoteAfter, func() { m.Promote(o.Instance) })
	}
	return true
}

// Promote has an instance lead the next term with what it has received.
func (m *Machines) Promote(instance string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := m.instances[instance]
	g := i.group
	if i.dead || g.leader == i {
		return
	}
	former := g.leader
	g.term++
	g.leader = i
	i.primary, i.term, i.applied, i.held = true, g.term, len(i.log), 0
	m.tell("promoted " + instance + " at " + i.position())
	i.replaced, former.replaced = false, true
	for _, o := range g.instances {
		o.joins = time.Now().Add(joinTime)
		for _, e := range o.log[i.common(o):] {
			e.RolledBack = true
		}
	}
	switch {
	case !former.primary && !former.split:
		former.follow(i)
	case !m.KeepFormer:
		time.AfterFunc(reachTime, func() { m.meet(former) })
	}
	m.announce()
}

// meet has a replaced primary follow its successor, once it can reach it.
func (m *Machines) meet(former *instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if former.dead || !former.replaced {
		return
	}
	if former.split || former.group.leader.dead {
		time.AfterFunc(reachTime, func() { m.meet(former) })
		return
	}
	former.follow(former.group.leader)
	m.announce()
}
