package quota_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/internal/experiment/rates"
)

// TestWrongfulRefusals prints the table of docs/design/rate-and-burst.md, and
// holds the chosen design to what it was chosen for.
func TestWrongfulRefusals(t *testing.T) {
	c := qt.New(t)
	rows := rates.Measure(0)
	var table strings.Builder
	c.Assert(rates.Write(&table, rows), qt.IsNil)
	t.Log("\n" + table.String())
	c.Assert(rows, qt.HasLen, 10)
	for _, r := range rows {
		c.Assert(r.Outcomes, qt.HasLen, 4)
		for _, o := range r.Outcomes {
			c.Check(o.Over, qt.Equals, 0, qt.Commentf("%s, %s exceeds the rate", o.Design, r.Case))
		}
		o := r.Chosen()
		c.Check(o.Per10000() <= accepted[r.Case], qt.IsTrue, qt.Commentf("%s: %.1f", r.Case, o.Per10000()))
		most := float64(mostCalls)
		if r.Load > 1 {
			most = mostCallsAbove
		}
		c.Check(o.Calls <= most, qt.IsTrue, qt.Commentf("%s: %.0f calls/s", r.Case, o.Calls))
	}
}

// accepted is the most wrongful refusals per 10,000 that the chosen design may
// have; scenarios that aren't listed may have none. While a quarter of the rate
// can't be had for a third of the time, some of a load of nine tenths must go.
var accepted = map[string]float64{
	"host replaced":        5,
	"home lost":            200,
	"cut, all on the rest": 600,
}

// mostCallsAbove is the same for three times the rate.
const mostCallsAbove = 800

// mostCalls is two for each exchange of the measured load.
const mostCalls = 400
