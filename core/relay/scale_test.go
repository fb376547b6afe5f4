package relay_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
	"skylarkdeal/core/relay"
	"skylarkdeal/core/statement"
)

// scaleSizes are the numbers of hosts and groups between which the work of one host is compared.
var scaleSizes = []int{100, 1000}

// scaleWorld is one small host of a fleet with as many groups as hosts. Its peers answer the status requests that are
// sent over them: the first instance of each group is its primary.
type scaleWorld struct {
	*world
	answers  []func()
	requests int
}

func newScaleWorld(c *qt.C, n int) *scaleWorld {
	w := &scaleWorld{}
	hosts := newFleet(n)
	for h := range hosts {
		from := hosts[h].Host
		hosts[h].Send = func(f relay.Forward) { w.answerStatus(from, f) }
	}
	w.world = newFleetWorld(c, hosts, n-1, n)
	w.revise(func(d *catalog.Catalog) {
		for g := range n {
			name := fleet.Service(fmt.Sprintf("s%d", g))
			route := d.Routes["rush"]
			route.Database, route.Service = catalog.Database(name), name
			d.Routes[route.Database] = route
			d.Services[name] = catalog.Service{Name: name, Connections: 285}
		}
	})
	return w
}

func (w *scaleWorld) answerStatus(from fleet.Host, f relay.Forward) {
	if len(f.Statements) != 1 || f.Statements[0].Kind != statement.KindStepDown {
		return
	}
	w.requests++
	role := fleet.RoleReplica
	if f.Instance[len(f.Instance)-1] == '0' {
		role = fleet.RolePrimary
	}
	row := fmt.Sprintf("%s 1 1 5", role)
	w.answers = append(w.answers, func() {
		w.relay.HandleForwardAnswer(from, f.Stream, statement.Answer{Rows: []string{row}, State: statement.TxNone})
	})
}

// tickFor ticks the relay every 50 ms, as on a host at rest, and delivers the answers of the peers.
func (w *scaleWorld) tickFor(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(50 * time.Millisecond)
		w.renew()
		w.relay.Tick()
		for len(w.answers) > 0 {
			answer := w.answers[0]
			w.answers = w.answers[1:]
			answer()
		}
	}
}

// listWithPrimaries passes on a list in which each instance has a role.
func (w *scaleWorld) listWithPrimaries(n int, change func(i *catalog.Instance)) {
	var is []catalog.Instance
	for g := range n {
		for d := range 3 {
			i := catalog.Instance{
				Name:    fleet.Instance(fmt.Sprintf("i%d-%d", g, d)),
				Service: fleet.Service(fmt.Sprintf("s%d", g)), DataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", d)),
				Slots: 2, Role: fleet.RoleReplica,
			}
			if d == 0 {
				i.Role = fleet.RolePrimary
			}
			change(&i)
			is = append(is, i)
		}
	}
	w.relay.SetInstances(is, w.now)
}

// promoted returns the services for which promotions were requested, without the world's own, whose instances aren't
// listed any more.
func (w *scaleWorld) promoted() []fleet.Service {
	var out []fleet.Service
	for _, o := range w.promotionRequests {
		if o.Service != service {
			out = append(out, o.Service)
		}
	}
	return out
}

func (w *scaleWorld) counts() relay.Counters { return w.relay.State().Counts }

// Guards against a host at rest whose ticks go through all groups, and which asks for the status of each primary
// although no caller of its own uses the group. Small hosts had no processor left before the first caller came.
func TestHostAtRestTicksNoGroupsAndAsksNoPrimaries(t *testing.T) {
	c := qt.New(t)
	for _, n := range scaleSizes {
		w := newScaleWorld(c, n)
		w.listWithPrimaries(n, func(*catalog.Instance) {})
		w.tickFor(time.Second)
		c.Check(w.counts().GroupTicks, qt.Equals, uint64(0), qt.Commentf("%d groups", n))
		c.Check(w.requests, qt.Equals, 0, qt.Commentf("%d groups", n))
	}
}

// Guards against a host that knows no primary of a group which it uses: its first caller would wait for the next tick.
func TestPrimaryOfAUsedGroupIsConfirmedAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newScaleWorld(c, 100)
	w.listWithPrimaries(100, func(*catalog.Instance) {})
	x := w.open("s7", "key-1")
	c.Check(w.requests, qt.Equals, 1)
	w.tickFor(time.Second)
	ticks := w.counts().GroupTicks
	c.Check(ticks > 0 && ticks <= 20, qt.IsTrue, qt.Commentf("%d ticks", ticks))
	c.Check(x.started, qt.IsTrue)
	for _, g := range w.relay.State().Groups {
		c.Check(g.PrimaryKnown, qt.Equals, g.Service == "s7", qt.Commentf("%s", g.Service))
	}
	c.Check(len(w.relay.Holders()) > 0 && len(w.relay.Holders()) <= 6, qt.IsTrue)
}

// Guards against a failover coordinator that looks at all groups on each tick, and so decides too late: it has to
// look at those whose primary is in doubt, and at the others when something about them changes.
func TestCoordinatorChecksOnlyGroupsInDoubt(t *testing.T) {
	c := qt.New(t)
	for _, n := range scaleSizes {
		w := newScaleWorld(c, n)
		w.listWithPrimaries(n, func(*catalog.Instance) {})
		w.relay.SetCoordinator(true)
		w.tickFor(500 * time.Millisecond)
		for _, g := range w.relay.State().Groups {
			c.Assert(g.PrimaryKnown, qt.Equals, g.Service != service, qt.Commentf("%s", g.Service))
		}
		before := w.counts().PromotionChecks
		suspects := []fleet.Instance{"i3-0"}
		for range 20 {
			for h := range 5 {
				w.relay.AddReachability(fleet.Host(fmt.Sprintf("h%d", h)), suspects, nil)
			}
			w.tickFor(50 * time.Millisecond)
		}
		// The world's own group, whose primary nobody can be asked for, and the suspected one.
		checks := w.counts().PromotionChecks - before
		c.Check(checks <= 2*20, qt.IsTrue, qt.Commentf("%d checks of %d groups", checks, n))
	}
}

// Guards against a lost primary that the coordinator doesn't replace because its group was at rest, and against one
// that is replaced before the other hosts had the time to check.
func TestCoordinatorReplacesALostPrimaryOfAGroupAtRest(t *testing.T) {
	c := qt.New(t)
	w := newScaleWorld(c, 100)
	w.listWithPrimaries(100, func(*catalog.Instance) {})
	w.relay.SetCoordinator(true)
	w.tickFor(5 * time.Second)
	for range 22 {
		// The reports before, which name nothing, are of 1.1 s.
		for h := range 5 {
			w.relay.AddReachability(fleet.Host(fmt.Sprintf("h%d", h)), nil, nil)
		}
		w.tickFor(50 * time.Millisecond)
	}
	took := time.Duration(0)
	for len(w.promoted()) == 0 && took < time.Second {
		for h := range 5 {
			w.relay.AddReachability(fleet.Host(fmt.Sprintf("h%d", h)), []fleet.Instance{"i3-0"}, nil)
		}
		w.tickFor(50 * time.Millisecond)
		took += 50 * time.Millisecond
	}
	c.Check(w.promoted(), qt.DeepEquals, []fleet.Service{"s3"})
	c.Check(took > 150*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
}

// Guards against a leaving primary that stays because its group was at rest when the list said so.
func TestCoordinatorReplacesALeavingPrimaryOfAGroupAtRest(t *testing.T) {
	c := qt.New(t)
	w := newScaleWorld(c, 100)
	w.listWithPrimaries(100, func(*catalog.Instance) {})
	w.relay.SetCoordinator(true)
	w.tickFor(5 * time.Second)
	w.listWithPrimaries(100, func(i *catalog.Instance) { i.Leaving = i.Name == "i9-0" })
	w.tickFor(500 * time.Millisecond)
	c.Check(w.promoted(), qt.DeepEquals, []fleet.Service{"s9"})
}

// Guards against a successor of the coordinator that takes each primary for lost: it has never asked for them.
func TestNewCoordinatorLeavesUnconfirmedPrimariesTheTimeToAnswer(t *testing.T) {
	c := qt.New(t)
	w := newScaleWorld(c, 100)
	w.listWithPrimaries(100, func(*catalog.Instance) {})
	w.tickFor(10 * time.Second)
	w.relay.SetCoordinator(true)
	w.tickFor(2 * time.Second)
	c.Check(w.promoted(), qt.HasLen, 0)
}

// Slopes of the work of one host over the number of hosts and groups.

func benchmarkAtScale(b *testing.B, run func(b *testing.B, w *scaleWorld, n int)) {
	for _, n := range []int{100, 300, 1000, 2000} {
		b.Run(fmt.Sprintf("hosts-%d", n), func(b *testing.B) {
			w := newScaleWorld(qt.New(b), n)
			w.listWithPrimaries(n, func(*catalog.Instance) {})
			w.tickFor(time.Second)
			b.ResetTimer()
			run(b, w, n)
		})
	}
}

func BenchmarkTickAtRest(b *testing.B) {
	benchmarkAtScale(b, func(b *testing.B, w *scaleWorld, _ int) {
		for b.Loop() {
			w.now = w.now.Add(50 * time.Millisecond)
			w.relay.HasWaiting()
			w.relay.Tick()
			w.relay.Ready()
		}
	})
}

func BenchmarkTickOfTheCoordinator(b *testing.B) {
	benchmarkAtScale(b, func(b *testing.B, w *scaleWorld, n int) {
		for h := range n - 1 {
			w.relay.AddReachability(fleet.Host(fmt.Sprintf("h%d", h)), nil, nil)
		}
		w.relay.SetCoordinator(true)
		w.tickFor(time.Second)
		b.ResetTimer()
		for b.Loop() {
			w.now = w.now.Add(50 * time.Millisecond)
			w.renew()
			w.relay.Tick()
		}
	})
}

func BenchmarkReportReceived(b *testing.B) {
	benchmarkAtScale(b, func(b *testing.B, w *scaleWorld, _ int) {
		for b.Loop() {
			w.relay.AddReachability("h1", nil, nil)
			w.relay.RecordRevision()
			w.relay.InstancesConfirmed(w.now)
		}
	})
}

func BenchmarkOwnReport(b *testing.B) {
	benchmarkAtScale(b, func(b *testing.B, w *scaleWorld, _ int) {
		for b.Loop() {
			w.relay.Unreachable()
			w.relay.Reachable()
			w.relay.Ejections()
		}
	})
}

func BenchmarkHolders(b *testing.B) {
	benchmarkAtScale(b, func(b *testing.B, w *scaleWorld, _ int) {
		for b.Loop() {
			w.relay.Holders()
		}
	})
}

func BenchmarkUnchangedList(b *testing.B) {
	benchmarkAtScale(b, func(b *testing.B, w *scaleWorld, n int) {
		for b.Loop() {
			w.now = w.now.Add(time.Second)
			w.listWithPrimaries(n, func(*catalog.Instance) {})
		}
	})
}
