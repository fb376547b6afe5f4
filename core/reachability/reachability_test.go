package reachability_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"skylarkdeal/core/fleet"
	"skylarkdeal/core/reachability"
)

func ExampleReports_Count() {
	var r reachability.Reports
	start := time.Unix(1000, 0)
	for _, after := range []time.Duration{0, 500 * time.Millisecond, time.Second} {
		r.Add(start.Add(after), "h1", []fleet.Instance{"a"}, nil)
		r.Add(start.Add(after), "h2", nil, []fleet.Instance{"a"})
	}
	fmt.Println(r.Count(start.Add(time.Second), "a"))
	// Output: 1 1
}

// Guards against a host that was cut off, and whose first reports replace a primary that all others reach.
func TestReportsAfterAGapDoNotCount(t *testing.T) {
	c := qt.New(t)
	var r reachability.Reports
	now := time.Unix(1000, 0)
	r.Add(now, "h1", []fleet.Instance{"a"}, nil)
	unreachable, _ := r.Count(now, "a")
	c.Check(unreachable, qt.Equals, 0)
	now = now.Add(900 * time.Millisecond)
	r.Add(now, "h1", []fleet.Instance{"a"}, nil)
	now = now.Add(200 * time.Millisecond)
	unreachable, _ = r.Count(now, "a")
	c.Check(unreachable, qt.Equals, 1)
	now = now.Add(2 * time.Second)
	c.Check(slices.Collect(r.Suspected(now)), qt.HasLen, 0)
	r.Add(now, "h1", []fleet.Instance{"a"}, nil)
	unreachable, _ = r.Count(now, "a")
	c.Check(unreachable, qt.Equals, 0)
	c.Check(r.Unreachable(now, "h1", "a"), qt.IsTrue)
}

// plainReports keeps each host's reports and looks through all of them for each question.
type plainReports map[fleet.Host]plainReport

type plainReport struct {
	at, since              time.Time
	unreachable, reachable []fleet.Instance
}

func (p plainReports) add(now time.Time, from fleet.Host, unreachable, reachable []fleet.Instance) {
	last, known := p[from]
	since := last.since
	if !known || now.Sub(last.at) >= reachability.Validity {
		since = now
	}
	p[from] = plainReport{now, since, unreachable, reachable}
}

func (p plainReports) count(now time.Time, i fleet.Instance) (unreachable, reachable int) {
	for _, r := range p {
		if now.Sub(r.at) >= reachability.Validity || now.Sub(r.since) < reachability.Validity {
			continue
		}
		if slices.Contains(r.unreachable, i) {
			unreachable++
		} else if slices.Contains(r.reachable, i) {
			reachable++
		}
	}
	return unreachable, reachable
}

// Guards against an index by instance that tells something else than the reports: one that is left over from
// an earlier report of a host, or missing from its last one.
func TestCountsAreThoseOfTheLastReports(t *testing.T) {
	instances := []fleet.Instance{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var r reachability.Reports
		plain := plainReports{}
		some := rapid.SliceOfNDistinct(rapid.SampledFrom(instances), 0, 2, rapid.ID)
		for range rapid.IntRange(1, 40).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			from := rapid.SampledFrom([]fleet.Host{"h1", "h2", "h3"}).Draw(t, "host")
			unreachable, reachable := some.Draw(t, "unreachable"), some.Draw(t, "reachable")
			r.Add(now, from, unreachable, reachable)
			plain.add(now, from, unreachable, reachable)
			for _, i := range instances {
				u, v := r.Count(now, i)
				wantU, wantV := plain.count(now, i)
				if u != wantU || v != wantV {
					t.Fatalf("%s: %d, %d, want %d, %d", i, u, v, wantU, wantV)
				}
			}
		}
	})
}

// Guards against the cost of a question that grows with the hosts that report: each of a thousand hosts reports
// several times a second, and the failover coordinator asks about each instance that anyone suspects.
func BenchmarkCount(b *testing.B) {
	for _, n := range []int{100, 1000} {
		b.Run(fmt.Sprintf("hosts-%d", n), func(b *testing.B) {
			var r reachability.Reports
			now := time.Unix(1000, 0)
			for h := range n {
				r.Add(now, fleet.Host(fmt.Sprint(h)), nil, nil)
			}
			r.Add(now, "h", []fleet.Instance{"a"}, nil)
			for b.Loop() {
				r.Count(now, "a")
			}
		})
	}
}
