package check_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"skylarkdeal/core/fleet"
	"skylarkdeal/internal/load/check"
)

const ms = time.Millisecond

// op returns an operation of session 1 that was answered at the time at.
func op(k check.Kind, at time.Duration, n uint64, outcome check.Outcome) check.Op {
	o := check.Op{Service: "orders", Account: "hotel", Session: 1, Kind: k, Key: "own-1", Number: n,
		Sent: at - ms, Answered: at, Outcome: outcome, Term: 1}
	if k == check.KindWrite {
		o.ID = fmt.Sprintf("id-%d", n)
	}
	return o
}

func good() check.Record {
	aged := op(check.KindAged, 900*ms, 1, check.OutcomeOK)
	aged.MaxAge = 500 * ms
	return check.Record{
		Ops: []check.Op{
			op(check.KindTick, 100*ms, 1, check.OutcomeOK),
			op(check.KindWrite, 110*ms, 1, check.OutcomeOK),
			op(check.KindOwn, 120*ms, 1, check.OutcomeOK),
			op(check.KindWrite, 130*ms, 2, check.OutcomeNotRun),
			op(check.KindWrite, 140*ms, 3, check.OutcomeUnknown),
			op(check.KindOwn, 150*ms, 3, check.OutcomeOK),
			op(check.KindTick, 800*ms, 2, check.OutcomeOK),
			aged,
		},
		Limits:  map[check.AccountID]check.Limit{{Service: "orders", Account: "hotel"}: {Rate: 10, Burst: 2}},
		Applied: map[fleet.Service]map[string]int{"orders": {"id-1": 1, "id-3": 1}},
	}
}

// Each planted breach changes one thing in a record without any.
func TestPlantedBreachesAreFound(t *testing.T) {
	c := qt.New(t)
	c.Assert(check.Check(good()), qt.HasLen, 0)
	for _, p := range []struct {
		want  check.Invariant
		plant func(r *check.Record)
	}{
		{check.OwnWork, func(r *check.Record) { r.Ops[2].Number = 0 }},
		{check.NotRunIsTrue, func(r *check.Record) { r.Ops[5].Number = 2 }},
		{check.NotRunIsTrue, func(r *check.Record) { r.Applied["orders"]["id-2"] = 1 }},
		{check.NothingLost, func(r *check.Record) { delete(r.Applied["orders"], "id-1") }},
		{check.NothingDoubled, func(r *check.Record) { r.Applied["orders"]["id-3"] = 2 }},
		{check.OwnAnswer, func(r *check.Record) { r.Ops[2].Want = "own-1"; r.Ops[2].Got = "own-2" }},
		{check.WithinAge, func(r *check.Record) { r.Ops[7].MaxAge = 50 * ms }},
		{check.NoReplacedPrimary, func(r *check.Record) { r.Ops[0].Term = 2 }},
		{check.WithinRate, func(r *check.Record) {
			s := check.Statement{Sent: 10 * ms, Answered: 20 * ms}
			r.Ops[0].Statements = []check.Statement{s, s, s}
		}},
	} {
		r := good()
		p.plant(&r)
		var got []check.Invariant
		for _, b := range check.Check(r) {
			got = append(got, b.Invariant)
		}
		c.Check(got, qt.Contains, p.want, qt.Commentf("%s", p.want))
	}
}

// naiveExcess tries all windows.
func naiveExcess(s []check.Statement, l check.Limit) float64 {
	over := 0.0
	for _, a := range s {
		for _, b := range s {
			n := 0
			for _, x := range s {
				if x.Sent >= a.Sent && x.Answered <= b.Answered {
					n++
				}
			}
			if b.Answered >= a.Sent {
				over = max(over, float64(n)-l.Rate*(b.Answered-a.Sent).Seconds()-l.Burst)
			}
		}
	}
	return over
}

func TestExcessAgreesWithAllWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := check.Limit{Rate: rapid.Float64Range(0.1, 200).Draw(t, "rate"), Burst: rapid.Float64Range(0, 5).Draw(t, "burst")}
		s := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) check.Statement {
			at := time.Duration(rapid.IntRange(0, 200).Draw(t, "sent")) * ms
			return check.Statement{Sent: at, Answered: at + time.Duration(rapid.IntRange(0, 50).Draw(t, "took"))*ms}
		}), 0, 30).Draw(t, "statements")
		got, _, _ := check.Excess(s, l)
		if want := naiveExcess(s, l); got < want-1e-5 || got > want+1e-5 {
			t.Fatalf("Excess = %v, all windows give %v", got, want)
		}
	})
}

func TestMeasures(t *testing.T) {
	c := qt.New(t)
	r := good()
	r.Ops[6].Term = 2
	r.Ops[7].Role, r.Ops[2].Role, r.Ops[5].Role = fleet.RoleReplica, fleet.RolePrimary, fleet.RoleReplica
	for n, s := range []check.Statement{{}, {Code: "53400"}, {}, {Code: "53400"}, {Unknown: true}} {
		s.Sent = time.Duration(n) * ms
		r.Ops[n].Statements = []check.Statement{s}
	}
	m := check.Measure(r)
	c.Check(m.ReplicaShare, qt.Equals, 2.0/3)
	c.Check(m.Failovers, qt.DeepEquals, []check.Gap{{Service: "orders", At: 800 * ms, Gap: 690 * ms, To: 2}})
	c.Check(m.WrongfulRefusals, qt.DeepEquals, map[string]int{"53400": 1})
	c.Check(m.RightfulRefusals, qt.Equals, 1)
	w, ok := m.Worst()
	c.Check(ok, qt.IsTrue)
	c.Check([]int{w.Demanded, w.Within, w.Served}, qt.DeepEquals, []int{5, 2, 2})
}
