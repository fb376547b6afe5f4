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

// poller polls three instances in three data centres every 50 ms, as a busy host does.
// Each answer arrives after the latency of its instance.
type poller struct {
	group          group.Group
	now            time.Time
	instances      []*grouptest.Instance
	latency        map[fleet.Instance]time.Duration
	unreachable    map[fleet.Instance]bool
	pendingAnswers []pendingAnswer
}

type pendingAnswer struct {
	arrivesAt, sent time.Time
	status          fleet.Status
}

func newPoller() *poller {
	p := &poller{
		now:         start,
		instances:   grouptest.New("a", "b", "c"),
		latency:     make(map[fleet.Instance]time.Duration),
		unreachable: make(map[fleet.Instance]bool),
	}
	var d []document.Instance
	for _, i := range p.instances {
		p.latency[i.Name] = 2 * time.Millisecond
		d = append(d, document.Instance{Name: i.Name, DataCentre: fleet.DataCentre("dc-" + i.Name)})
	}
	p.group.Configure(p.now, d)
	return p
}

// run advances the time by d.
func (p *poller) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(time.Millisecond) {
		p.group.Tick(p.now)
		for _, a := range p.pendingAnswers {
			if !a.arrivesAt.After(p.now) {
				p.group.StatusReceived(a.status.Instance, a.sent, p.now, a.status)
			}
		}
		p.pendingAnswers = undelivered(p.pendingAnswers, p.now)
		if p.now.Sub(start)%(50*time.Millisecond) == 0 {
			p.poll()
		}
	}
}

func undelivered(answers []pendingAnswer, now time.Time) []pendingAnswer {
	var out []pendingAnswer
	for _, a := range answers {
		if a.arrivesAt.After(now) {
			out = append(out, a)
		}
	}
	return out
}

func (p *poller) poll() {
	for _, i := range p.instances {
		p.group.StatusRequested(i.Name, p.now)
		if !p.unreachable[i.Name] {
			p.pendingAnswers = append(p.pendingAnswers, pendingAnswer{
				arrivesAt: p.now.Add(p.latency[i.Name]), sent: p.now, status: i.Status(),
			})
		}
	}
}

func (p *poller) assess(views ...group.View) group.Assessment {
	self := group.Observer{Host: "h0", DataCentre: "dc-a"}
	return group.AssessPrimary(p.now, group.Policy{}, p.group.Snapshot(p.now), self, views, []fleet.Host{"h0", "h1", "h2"})
}

// useOneDataCentre puts all instances into one data centre.
func (p *poller) useOneDataCentre() {
	var d []document.Instance
	for _, o := range p.group.Snapshot(p.now).Observations {
		o.Instance.DataCentre = "dc-a"
		d = append(d, o.Instance)
	}
	p.group.Configure(p.now, d)
}

// markLeaving marks an instance as leaving.
func (p *poller) markLeaving(n fleet.Instance) {
	var d []document.Instance
	for _, o := range p.group.Snapshot(p.now).Observations {
		o.Instance.Leaving = o.Instance.Leaving || o.Instance.Name == n
		d = append(d, o.Instance)
	}
	p.group.Configure(p.now, d)
}

// copy makes the replicas catch up with the primary.
func (p *poller) copy() {
	for _, i := range p.instances[1:] {
		_ = i.Copy(p.instances[0], 100)
	}
}

// promote runs the promotion that a calls for to its end.
func (p *poller) promote(c *qt.C, a group.Assessment) *group.Promotion {
	promotion, commands := group.Promote(p.now, p.group.Snapshot(p.now), "h0/1/1", a.Excluded)
	for len(commands) > 0 {
		command := commands[0]
		var err error
		i := p.instances[slices.IndexFunc(p.instances, func(i *grouptest.Instance) bool {
			return i.Name == command.Instance
		})]
		switch command.Act {
		case group.ActFence:
			err = i.Fence(command.Term, command.Proposer)
		case group.ActPromote:
			err = i.Promote(command.Term, command.Proposer)
		case group.ActFollow:
			err = i.Follow(command.Term, command.Primary)
		}
		c.Assert(err, qt.IsNil)
		commands = append(commands[1:], promotion.HandleAnswer(p.now, command, i.Status(), nil)...)
	}
	c.Assert(promotion.Phase, qt.Equals, group.PhaseDone)
	return promotion
}

// viewOfPrimary is the view of another host, with the primary only. A zero silent stands
// for a host that reaches it.
func viewOfPrimary(h fleet.Host, dc fleet.DataCentre, silent time.Duration) group.View {
	return group.View{Host: h, DataCentre: dc, Instances: []group.InstanceView{{
		Instance: "a", Reachable: silent == 0, Silent: silent, Term: 1,
		Last: fleet.LogPosition{Term: 1, Index: 1}, Role: fleet.RolePrimary,
	}}}
}

// viewOfPrimaryOnly is the view of a host that reaches the primary and no other instance.
func viewOfPrimaryOnly(h fleet.Host, dc fleet.DataCentre) group.View {
	v := viewOfPrimary(h, dc, 0)
	for _, n := range []fleet.Instance{"b", "c"} {
		v.Instances = append(v.Instances, group.InstanceView{Instance: n, Silent: time.Minute})
	}
	return v
}
