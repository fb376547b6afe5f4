package group_test

import (
	"slices"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/document"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/group"
	"skylarkdeal/core/group/grouptest"
)

// watcher asks three instances in three data centres every 50 ms, as a busy
// host does, and hears from each after its latency.
type watcher struct {
	group     group.Group
	now       time.Time
	instances []*grouptest.Instance
	latency   map[fleet.Instance]time.Duration
	dead      map[fleet.Instance]bool
	answers   []late
}

type late struct {
	at, sent time.Time
	status   fleet.Status
}

func newWatcher() *watcher {
	w := &watcher{
		now:       start,
		instances: grouptest.New("a", "b", "c"),
		latency:   make(map[fleet.Instance]time.Duration),
		dead:      make(map[fleet.Instance]bool),
	}
	var d []document.Instance
	for _, i := range w.instances {
		w.latency[i.Name] = 2 * time.Millisecond
		d = append(d, document.Instance{Name: i.Name, DataCentre: fleet.DataCentre("dc-" + i.Name)})
	}
	w.group.Configure(w.now, d)
	return w
}

// watch lets d pass.
func (w *watcher) watch(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(time.Millisecond) {
		w.group.Tick(w.now)
		for _, a := range w.answers {
			if !a.at.After(w.now) {
				w.group.StatusReceived(a.status.Instance, a.sent, w.now, a.status)
			}
		}
		w.answers = pending(w.answers, w.now)
		if w.now.Sub(start)%(50*time.Millisecond) == 0 {
			w.ask()
		}
	}
}

func pending(a []late, now time.Time) []late {
	var out []late
	for _, l := range a {
		if l.at.After(now) {
			out = append(out, l)
		}
	}
	return out
}

func (w *watcher) ask() {
	for _, i := range w.instances {
		w.group.StatusRequested(i.Name, w.now)
		if !w.dead[i.Name] {
			w.answers = append(w.answers, late{at: w.now.Add(w.latency[i.Name]), sent: w.now, status: i.Status()})
		}
	}
}

func (w *watcher) judge(views ...group.View) group.Assessment {
	me := group.Observer{Host: "h0", DataCentre: "dc-a"}
	return group.AssessPrimary(w.now, group.Policy{}, w.group.Snapshot(w.now), me, views, []fleet.Host{"h0", "h1", "h2"})
}

// near puts all instances into one data centre.
func (w *watcher) near() {
	var d []document.Instance
	for _, s := range w.group.Snapshot(w.now).Observations {
		s.Instance.DataCentre = "dc-a"
		d = append(d, s.Instance)
	}
	w.group.Configure(w.now, d)
}

// leave marks an instance as leaving.
func (w *watcher) leave(n fleet.Instance) {
	var d []document.Instance
	for _, s := range w.group.Snapshot(w.now).Observations {
		s.Instance.Leaving = s.Instance.Leaving || s.Instance.Name == n
		d = append(d, s.Instance)
	}
	w.group.Configure(w.now, d)
}

// copy has the replicas catch up.
func (w *watcher) copy() {
	for _, i := range w.instances[1:] {
		_ = i.Copy(w.instances[0], 100)
	}
}

// promote runs the promotion that j calls for to its end.
func (w *watcher) promote(c *qt.C, j group.Assessment) *group.Promotion {
	p, orders := group.Promote(w.now, w.group.Snapshot(w.now), "h0/1/1", j.Excluded)
	for len(orders) > 0 {
		o := orders[0]
		var err error
		i := w.instances[slices.IndexFunc(w.instances, func(i *grouptest.Instance) bool { return i.Name == o.Instance })]
		switch o.Act {
		case group.ActFence:
			err = i.Fence(o.Term, o.Proposer)
		case group.ActPromote:
			err = i.Promote(o.Term, o.Proposer)
		case group.ActFollow:
			err = i.Follow(o.Term, o.Primary)
		}
		c.Assert(err, qt.IsNil)
		orders = append(orders[1:], p.Done(w.now, o, i.Status(), nil)...)
	}
	c.Assert(p.Phase, qt.Equals, group.PhaseDone)
	return p
}

// view is what another host of a data centre says of the primary.
func view(h fleet.Host, dc fleet.DataCentre, silent time.Duration) group.View {
	return group.View{Host: h, DataCentre: dc, Instances: []group.InstanceView{{
		Instance: "a", Reachable: silent == 0, Silent: silent, Term: 1,
		Last: fleet.LogPosition{Term: 1, Index: 1}, Role: fleet.RolePrimary,
	}}}
}

// alone is the view of a host that reaches the primary and no other instance.
func alone(h fleet.Host, dc fleet.DataCentre) group.View {
	v := view(h, dc, 0)
	for _, n := range []fleet.Instance{"b", "c"} {
		v.Instances = append(v.Instances, group.InstanceView{Instance: n, Silent: time.Minute})
	}
	return v
}
