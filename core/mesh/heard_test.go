package mesh_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/mesh"
)

// Guards against taking the silence of a data centre for the proof that nobody there has promoted an instance.
func TestSilentDataCentreIsNotHeard(t *testing.T) {
	now := time.Unix(1000, 0)
	before := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, n := range []struct {
		name    string
		centres []fleet.DataCentre
		reports []mesh.LastReport
		at      time.Time
	}{
		{"no other host", nil, nil, now},
		{"one never heard", []fleet.DataCentre{"a"}, nil, time.Time{}},
		{"one data centre silent", []fleet.DataCentre{"a", "b"}, []mesh.LastReport{
			{"a", before(time.Second)}, {"b", before(20 * time.Second)},
		}, before(20 * time.Second)},
		{"one of two hosts silent", []fleet.DataCentre{"a", "a"}, []mesh.LastReport{
			{"a", before(20 * time.Second)}, {"a", before(time.Second)},
		}, before(time.Second)},
		{"data centre off the list", nil, []mesh.LastReport{{"c", before(9 * time.Second)}}, before(9 * time.Second)},
	} {
		t.Run(n.name, func(t *testing.T) {
			at := mesh.AllHeardAt(now, slices.Values(n.centres), slices.Values(n.reports))
			qt.Assert(t, at.Equal(n.at), qt.IsTrue, qt.Commentf("%v", at))
		})
	}
}

// Guards against the silence of a data centre that goes unnoticed as its hosts were heard before, and against a
// sign of life that counts as a report, which tells what is known there.
func TestCentresKeepTheLastReportOfAny(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var m mesh.Centres
	m.Heard("a", now.Add(-2*time.Second), now.Add(-3*time.Second))
	m.Heard("a", now.Add(-time.Second), time.Time{})
	m.Heard("b", now, now)
	allHeardAt := func(recent, delay time.Duration, centres ...fleet.DataCentre) time.Time {
		return m.AllHeardAt(now, slices.Values(centres), recent, delay)
	}
	c.Check(allHeardAt(time.Minute, 0, "a", "b"), qt.Equals, now.Add(-3*time.Second))
	c.Check(allHeardAt(time.Minute, 0, "a", "c").IsZero(), qt.IsTrue)
	c.Check(allHeardAt(500*time.Millisecond, time.Second, "b"), qt.Equals, now.Add(-time.Second))
	for dc, l := range m.All() {
		if dc == "a" {
			c.Check(l.At, qt.Equals, now.Add(-time.Second))
		}
	}
}
