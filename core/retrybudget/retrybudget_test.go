package retrybudget_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/retrybudget"
)

// Guards against retries that keep an overload going: the database fails every read,
// and without a budget each read would be sent three times.
func TestBudgetBoundsRetries(t *testing.T) {
	c := qt.New(t)
	var b retrybudget.Budget
	var retries int
	for range 1000 {
		b.Earn()
		for range 2 {
			if b.Take() {
				retries++
			}
		}
	}
	c.Assert(retries <= 110, qt.IsTrue, qt.Commentf("%d", retries))
	c.Assert(retries >= 100, qt.IsTrue, qt.Commentf("%d", retries))
}
