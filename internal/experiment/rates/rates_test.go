package rates_test

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/internal/experiment/rates"
)

func ExampleWrite() {
	_ = rates.Write(os.Stdout, []rates.Row{{Case: "even load", Load: 0.9, Outcomes: []rates.Outcome{
		{Design: "static", Within: 1000, Wrongful: 27},
		{Design: "floors, lent", Within: 1000, Calls: 113.4},
	}}})
	// Output:
	// wrongful per 10,000           static  floors, lent
	// even load                      270.0           0.0   113 calls/s
}

// One run of one design let too much through, and the command's exit code has to
// tell.
func TestOneRunAboveTheRateIsAnError(t *testing.T) {
	c := qt.New(t)
	rows := []rates.Row{
		{Case: "even load", Outcomes: []rates.Outcome{{Design: "static"}, {Design: "floors, lent"}}},
		{Case: "store down", Outcomes: []rates.Outcome{{Design: "static"}, {Design: "floors, lent"}}},
	}
	c.Assert(rates.Check(rows), qt.IsNil)
	rows[1].Outcomes[0].Over = 1
	err := rates.Check(rows)
	c.Assert(err, qt.ErrorIs, rates.ErrExceeded)
	c.Assert(err, qt.ErrorMatches, "static, store down: .*")
}
