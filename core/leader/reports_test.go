package leader_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/leader"
)

// Guards against taking a silent data centre, or a promotion that another host knows, for the proof that
// nobody has requested one.
func TestSilentDataCentreMayHaveRequestedAPromotion(t *testing.T) {
	now := time.Unix(1000, 0)
	before := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, n := range []struct {
		name    string
		centres []fleet.DataCentre
		reports []leader.HostReport
		at      time.Time
		ok      bool
	}{
		{"no other host", nil, nil, now, true},
		{"one never heard", []fleet.DataCentre{"a"}, nil, time.Time{}, true},
		{"one data centre silent", []fleet.DataCentre{"a", "b"}, []leader.HostReport{
			{"a", before(time.Second), 5}, {"b", before(20 * time.Second), 5},
		}, before(20 * time.Second), true},
		{"one of two hosts silent", []fleet.DataCentre{"a", "a"}, []leader.HostReport{
			{"a", before(20 * time.Second), 5}, {"a", before(time.Second), 4},
		}, before(time.Second), true},
		{"data centre off the list", nil, []leader.HostReport{
			{"c", before(9 * time.Second), 5},
		}, before(9 * time.Second), true},
		{"newer record", []fleet.DataCentre{"a"}, []leader.HostReport{
			{"a", before(time.Second), 5}, {"a", before(2 * time.Second), 6},
		}, time.Time{}, false},
	} {
		t.Run(n.name, func(t *testing.T) {
			c := qt.New(t)
			at, ok := leader.NoNewerPromotionAt(now, 5, slices.Values(n.centres), n.reports)
			c.Check(ok, qt.Equals, n.ok)
			c.Check(at.Equal(n.at), qt.IsTrue, qt.Commentf("%v", at))
		})
	}
}
