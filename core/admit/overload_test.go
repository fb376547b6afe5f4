package admit_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/admit"
	"skylarkdeal/core/exchange"
	"skylarkdeal/core/fleet"
)

// route is one of the routes of docs/design/overload-parts.md.
type route struct {
	name      string
	priority  fleet.Priority
	target    time.Duration
	slotTime  time.Duration
	perSecond float64
	intent    exchange.Intent
}

var routes = []route{
	{"payments", 0, 100 * time.Millisecond, 3 * time.Millisecond, 145, exchange.IntentWrite},
	{"restocking", 1, 200 * time.Millisecond, 9 * time.Millisecond, 678, exchange.IntentRead},
	{"reports", 2, 600 * time.Millisecond, 15 * time.Millisecond, 252, exchange.IntentRead},
}

// The load is of 84 accounts, of which largeAccounts send a tenth each.
const (
	accounts      = 84
	largeAccounts = 4
)

// routeLoads returns the load of the routes by account, with factor times the rates.
func routeLoads(factor float64, equalPriorities bool) []load {
	var out []load
	for _, r := range routes {
		if equalPriorities {
			r.priority = fleet.DefaultPriority
		}
		for n := range accounts {
			share := 0.6 / (accounts - largeAccounts)
			if n < largeAccounts {
				share = 0.1
			}
			a := fleet.Account(fmt.Sprintf("a%02d", n))
			out = append(out, load{
				account: a, weight: 1000 * share, perSecond: factor * r.perSecond * share, slotTime: r.slotTime,
				intent: r.intent, priority: r.priority, target: r.target, name: r.name + " of " + string(a),
			})
		}
	}
	return out
}

// overloaded plays the routes on three instances with two slots each, which do 6 s of slot time a second
// where 10.3 s are asked for, times factor.
func overloaded(factor float64, equalPriorities bool) *service {
	s := newService()
	s.anyReads = true
	s.q.Limits = admit.Limits{PerAccount: 64, Total: 256, Slots: 6, WriteSlots: 2, LongAfter: time.Hour}
	s.run(20*second, routeLoads(factor, equalPriorities)...)
	return s
}

// ofRoute sums the outcomes of a route.
func (s *service) ofRoute(name string) outcome {
	var sum outcome
	for n, o := range s.outcomes {
		if strings.HasPrefix(string(n), name+" of ") {
			sum.sent += o.sent
			sum.served += o.served
			sum.refused += o.refused
			sum.refusedAtOnce += o.refusedAtOnce
			sum.late += o.late
		}
	}
	return sum
}

// Three routes ask for 1.5 to 2 times what the slots can do. Guards against payments, the most urgent and
// with the shortest target, that are served worst; against reports that get nothing; and against requests
// that find out only by waiting that they can't be served. With equal priorities it must fail, which the
// test checks too.
func TestUrgentRouteIsServedUnderOverload(t *testing.T) {
	for _, factor := range []float64{0.9, 1, 1.15} {
		c := qt.New(t)
		s, equal := overloaded(factor, false), overloaded(factor, true)
		got := map[string]outcome{}
		refused, atOnce := 0, 0
		for _, r := range routes {
			o, e := s.ofRoute(r.name), equal.ofRoute(r.name)
			got[r.name] = o
			refused, atOnce = refused+o.refused, atOnce+o.refusedAtOnce
			t.Logf("load %.2f: %s served %.3f (late %.3f, refused %.3f, %.3f of these at once); equal priorities %.3f",
				factor*10.3/6, r.name, o.servedFraction(), float64(o.late)/float64(o.sent),
				float64(o.refused)/float64(o.sent), float64(o.refusedAtOnce)/float64(max(o.refused, 1)), e.servedFraction())
		}
		t.Logf("busy %.3f, of equal priorities %.3f; refused at once %.3f",
			s.busy.Seconds()/120, equal.busy.Seconds()/120, float64(atOnce)/float64(refused))
		payments, restocking, reports := got["payments"], got["restocking"], got["reports"]
		c.Check(payments.servedFraction() >= 0.99, qt.IsTrue)
		c.Check(restocking.servedFraction() > reports.servedFraction(), qt.IsTrue)
		c.Check(float64(reports.served)*0.015 >= 0.08*120, qt.IsTrue, qt.Commentf("less than the guaranteed share"))
		c.Check(float64(atOnce) >= 0.9*float64(refused), qt.IsTrue, qt.Commentf("%d of %d", atOnce, refused))
		c.Check(s.busy.Seconds() >= 0.97*120, qt.IsTrue, qt.Commentf("slots idle while work was refused"))
		for n, o := range s.outcomes {
			if strings.HasPrefix(string(n), "payments of ") {
				c.Check(o.servedFraction() >= 0.9, qt.IsTrue, qt.Commentf("%s: %d of %d", n, o.served, o.sent))
			}
		}
		e := equal.ofRoute("payments")
		c.Check(e.servedFraction() < 0.99, qt.IsTrue, qt.Commentf("the load doesn't need the classes"))
	}
}
