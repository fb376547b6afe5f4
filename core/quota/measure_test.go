package quota_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/internal/experiment/rates"
)

// TestWrongfulRefusals prints the table of docs/design/rate-and-burst.md, and checks that the
// chosen design stays within its limits.
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
		c.Check(o.Per10000() <= maxWrongfulRefusals[r.Case], qt.IsTrue, qt.Commentf("%s: %.1f", r.Case, o.Per10000()))
		limit := float64(maxCalls)
		if r.Load > 1 {
			limit = maxCallsAboveRate
		}
		c.Check(o.Calls <= limit, qt.IsTrue, qt.Commentf("%s: %.0f calls/s", r.Case, o.Calls))
	}
}

// maxWrongfulRefusals bounds the wrongful refusals per 10,000 of the chosen design; scenarios that
// aren't listed may have none. While a quarter of the rate can't be used for a third of the time,
// some of a load of nine tenths must be refused.
var maxWrongfulRefusals = map[string]float64{
	"host replaced":        5,
	"home lost":            200,
	"cut, all on the rest": 600,
}

// maxCallsAboveRate bounds the calls a second at three times the rate.
const maxCallsAboveRate = 800

// maxCalls bounds the calls a second: two for each exchange of the measured load.
const maxCalls = 400
